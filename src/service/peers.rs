//! Requests between controllers, both ways, on the address that only controllers use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tracing::warn;

use super::{STATUS_PATH, Service};
use crate::config::NodeInfo;
use crate::http::{CallError, Client, Response};
use crate::model::{JobId, MonotonicTime, NodeId, Revision};
use crate::peer::{self, Forwarding, PeerRequest, PeerResponse};
use crate::replica::Progress;

/// Least time, in milliseconds, between two warnings of messages that this version does not read: while versions are
/// exchanged, such messages may come many times a second.
const UNREADABLE_WARNING_MS: u64 = 10_000;
/// Most bytes of a peer's answer: a plan with decisions is larger than any request.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why a request to another controller brought no response.
#[derive(Debug, Error)]
pub(crate) enum PeerCallError {
    /// The site has no controller of that index.
    #[error("no such controller")]
    UnknownController,
    /// There was no answer; the request may have been carried out unless no connection was made.
    #[error(transparent)]
    NoAnswer(#[from] CallError),
    /// The controller did not accept the request and answered with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// This version does not read the response.
    #[error("the response is of a form that this version does not read")]
    Unreadable,
}

/// All controllers by index, this one included.
pub(super) struct Peers {
    clients: Vec<Rc<Client>>,
    names: Vec<String>,
    /// When operators were last warned of a message that was not understood.
    warned_unreadable_at: Cell<Option<MonotonicTime>>,
}

impl Peers {
    /// Clients for all controllers; they connect when they are first used.
    pub(super) fn new(nodes: &[NodeInfo]) -> Self {
        let client = |node: &NodeInfo| Rc::new(Client::new(node.peer_addr, MAX_RESPONSE_BYTES));
        Peers {
            clients: nodes.iter().map(client).collect(),
            names: nodes.iter().map(|node| node.name.clone()).collect(),
            warned_unreadable_at: Cell::new(None),
        }
    }

    /// The client for a controller; `None` for an index that the site does not have.
    pub(super) fn client(&self, node: NodeId) -> Option<Rc<Client>> {
        self.clients.get(usize::from(node.0)).cloned()
    }
}

/// What a user's answer becomes for the controller that forwarded the request.
fn forwarded_answer(response: Response) -> PeerResponse {
    PeerResponse::Answer(response.status, response.body)
}

impl Service {
    /// All controllers but this one.
    pub(crate) fn others(&self) -> impl Iterator<Item = NodeId> + use<> {
        let me = self.me;
        (0..self.settings.params.nodes as u8).map(NodeId).filter(move |node| *node != me)
    }

    /// Sends a request to another controller, which has `limit` to answer.
    pub(crate) async fn call_peer(
        &self,
        node: NodeId,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, PeerCallError> {
        let client = self.peers.client(node).ok_or(PeerCallError::UnknownController)?;
        let body = peer::encode(request);
        let answer = client.call("POST", "/peer", &body, limit).await?;
        if answer.status != 200 {
            return Err(PeerCallError::Refused(answer.status));
        }
        let Ok(response) = peer::decode(&answer.body) else {
            self.warn_unreadable(self.name_of(node));
            return Err(PeerCallError::Unreadable);
        };
        self.controller.borrow_mut().last_peer_contact = self.now();
        Ok(response)
    }

    /// The name of a controller, for logs.
    pub(super) fn name_of(&self, node: NodeId) -> &str {
        self.peers.names.get(usize::from(node.0)).map_or("an unknown controller", String::as_str)
    }

    /// Warns operators of a message that this version does not read, at most once per [`UNREADABLE_WARNING_MS`].
    pub(super) fn warn_unreadable(&self, from: &str) {
        let now = self.now();
        if self
            .peers
            .warned_unreadable_at
            .get()
            .is_none_or(|at| now.since(at) >= UNREADABLE_WARNING_MS)
        {
            self.peers.warned_unreadable_at.set(Some(now));
            warn!(from, "a message that this version does not read is refused");
        }
    }

    /// Answers a request on the address for the other controllers.
    pub(super) async fn handle_peer_request(self: &Rc<Self>, path: &str, body: &[u8]) -> Response {
        if path == STATUS_PATH {
            return self.answer_status();
        }
        if path != "/peer" {
            return Response::empty(404);
        }
        let Ok(request) = peer::decode::<PeerRequest>(body) else {
            self.warn_unreadable("a controller that does not say its name");
            return Response { close: true, ..Response::empty(400) };
        };
        self.controller.borrow_mut().last_peer_contact = self.now();
        if let PeerRequest::Summary(summary) = &request
            && !self.is_other_controller(summary.node)
        {
            return Response::empty(400);
        }
        let response = self.respond_to_peer(request).await;
        Response::new(200, peer::encode(&response))
    }

    /// Whether the site has a controller of that index, and it is not this one.
    fn is_other_controller(&self, node: NodeId) -> bool {
        usize::from(node.0) < self.nodes && node != self.me
    }

    /// Carries out another controller's request; a summary is known to be of a controller of this site.
    async fn respond_to_peer(self: &Rc<Self>, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Summary(summary) => {
                self.responses_through_store.borrow_mut().remove(&summary.node);
                self.receive_summary(summary)
            }
            PeerRequest::StoreReachable => {
                PeerResponse::StoreReachable(self.controller.borrow().store_ok)
            }
            PeerRequest::LeaderSilence(term) => PeerResponse::LeaderSilence(
                self.controller.borrow().leader_silence_ms(self.now(), term),
            ),
            PeerRequest::Leader => {
                PeerResponse::Leader(self.controller.borrow().leader_for_peer(self.now()))
            }
            PeerRequest::Submit(spec) => {
                forwarded_answer(self.submit(spec, Forwarding::Forbidden).await)
            }
            PeerRequest::Query(job) => {
                forwarded_answer(self.query(job, Forwarding::Forbidden).await)
            }
            PeerRequest::Cancel(job) => {
                forwarded_answer(self.abort(job, Forwarding::Forbidden).await)
            }
            PeerRequest::JobCancelled(job, progress, version) => {
                self.receive_cancellation(job, &progress, version)
            }
        }
    }

    /// Applies another controller's notice that a job has been cancelled, durably.
    fn receive_cancellation(
        &self,
        job: JobId,
        progress: &Progress,
        version: Revision,
    ) -> PeerResponse {
        let replica_changes =
            self.controller.borrow_mut().apply_cancellation_notice(job, progress, version);
        self.follow_changes(&replica_changes);
        PeerResponse::StoreReachable(self.controller.borrow().store_ok)
    }
}
