//! Requests to and from other controllers, over the address that only controllers use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tracing::warn;

use super::{STATUS_PATH, Service};
use crate::api::RequestLimits;
use crate::config::NodeInfo;
use crate::http::{CallError, Client, Response};
use crate::model::{JobId, MonotonicTime, NodeId, Revision};
use crate::peer::{self, CancellationNotice, PeerRequest, PeerResponse};
use crate::replica::Progress;

/// Minimum time in milliseconds between two warnings about unreadable messages. During an upgrade,
/// such messages may arrive many times per second.
const UNREADABLE_WARNING_PERIOD_MS: u64 = 10_000;
/// Maximum size in bytes of a peer's response. A plan with decisions is larger than any request.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Reason why a request to another controller failed.
#[derive(Debug, Error)]
pub(crate) enum PeerCallError {
    /// The cluster has no controller with this index.
    #[error("the cluster has no controller with this index")]
    UnknownController,
    /// There was no response. The request may have been carried out unless the connection failed.
    #[error(transparent)]
    NoResponse(#[from] CallError),
    /// The controller rejected the request with this HTTP status.
    #[error("request rejected with status {0}")]
    Refused(u16),
    /// This version of the program cannot read the response.
    #[error("response has a form that this version cannot read")]
    Unreadable,
}

/// Clients and names of all controllers, by index, including this one.
pub(super) struct Peers {
    clients: Vec<Rc<Client>>,
    names: Vec<String>,
    /// Time of the last warning about an unreadable message; `None` before the first.
    last_unreadable_warning: Cell<Option<MonotonicTime>>,
}

impl Peers {
    /// Creates the clients of all controllers. A client connects on its first request.
    pub(super) fn new(nodes: &[NodeInfo]) -> Self {
        let client = |node: &NodeInfo| Rc::new(Client::new(node.peer_addr, MAX_RESPONSE_BYTES));
        Peers {
            clients: nodes.iter().map(client).collect(),
            names: nodes.iter().map(|node| node.name.clone()).collect(),
            last_unreadable_warning: Cell::new(None),
        }
    }

    /// Returns the client of a controller; `None` if the cluster has no controller with this index.
    pub(super) fn client(&self, node: NodeId) -> Option<Rc<Client>> {
        self.clients.get(usize::from(node.0)).cloned()
    }
}

/// Wraps the response to a forwarded user request for the controller that forwarded it.
fn forwarded_response(response: Response) -> PeerResponse {
    PeerResponse::Answer(response.status, response.body)
}

impl Service {
    /// Returns all controllers of the cluster except this one.
    pub(crate) fn other_nodes(&self) -> impl Iterator<Item = NodeId> + use<> {
        let own_id = self.node_id;
        (0..self.settings.params.nodes as u8).map(NodeId).filter(move |node| *node != own_id)
    }

    /// Sends a request to another controller and waits up to `limit` for the response.
    ///
    /// # Errors
    /// [`PeerCallError`] if there is no readable response with status 200.
    pub(crate) async fn call_peer(
        &self,
        node: NodeId,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, PeerCallError> {
        let client = self.peers.client(node).ok_or(PeerCallError::UnknownController)?;
        let body = peer::encode(request);
        let http_response = client.call("POST", "/peer", &body, limit).await?;
        if http_response.status != 200 {
            return Err(PeerCallError::Refused(http_response.status));
        }
        let Ok(response) = peer::decode(&http_response.body) else {
            self.warn_unreadable_message(self.node_name(node));
            return Err(PeerCallError::Unreadable);
        };
        self.controller.borrow_mut().last_peer_contact = self.now();
        Ok(response)
    }

    /// Returns the name of a controller, for logs.
    pub(super) fn node_name(&self, node: NodeId) -> &str {
        self.peers.names.get(usize::from(node.0)).map_or("unknown controller", String::as_str)
    }

    /// Logs a warning about an unreadable message, at most once per
    /// [`UNREADABLE_WARNING_PERIOD_MS`].
    pub(super) fn warn_unreadable_message(&self, from: &str) {
        let now = self.now();
        if self
            .peers
            .last_unreadable_warning
            .get()
            .is_none_or(|at| now.since(at) >= UNREADABLE_WARNING_PERIOD_MS)
        {
            self.peers.last_unreadable_warning.set(Some(now));
            warn!(from, "rejected a message of a form that this version cannot read");
        }
    }

    /// Answers a request on the address for other controllers.
    pub(super) async fn handle_peer_request(self: &Rc<Self>, path: &str, body: &[u8]) -> Response {
        if path == STATUS_PATH {
            return self.status_response();
        }
        if path != "/peer" {
            return Response::empty(404);
        }
        let Ok(request) = peer::decode::<PeerRequest>(body) else {
            self.warn_unreadable_message("unidentified controller");
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

    /// Whether `node` is the index of another controller of the cluster.
    fn is_other_controller(&self, node: NodeId) -> bool {
        usize::from(node.0) < self.controller_count && node != self.node_id
    }

    /// Carries out another controller's request. The sender of a summary is already known to be
    /// another controller of the cluster.
    async fn respond_to_peer(self: &Rc<Self>, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Summary(summary) => {
                // The sender has a direct connection again and needs no plans through the store.
                self.store_summary_responses.borrow_mut().remove(&summary.node);
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
                forwarded_response(self.submit(spec, RequestLimits::for_forwarded()).await)
            }
            PeerRequest::Query(job) => {
                forwarded_response(self.query(job, RequestLimits::for_forwarded()).await)
            }
            PeerRequest::Cancel(job) => {
                forwarded_response(self.abort(job, RequestLimits::for_forwarded()).await)
            }
            PeerRequest::JobCancelled(job, progress, version) => {
                self.receive_cancellation(job, &progress, version)
            }
            PeerRequest::CancellationNotices(notices) => {
                self.receive_cancellation_notices(&notices)
            }
        }
    }

    /// Applies another controller's notice of a durable cancellation.
    fn receive_cancellation(
        &self,
        job: JobId,
        progress: &Progress,
        version: Revision,
    ) -> PeerResponse {
        let replica_changes =
            self.controller.borrow_mut().apply_cancellation_notice(job, progress, version);
        self.on_replica_changes(&replica_changes);
        PeerResponse::StoreReachable(self.controller.borrow().store_ok)
    }

    /// Applies another controller's notices of durable cancellations, and acknowledges those that
    /// this controller knows from now on.
    fn receive_cancellation_notices(&self, notices: &[CancellationNotice]) -> PeerResponse {
        let (replica_changes, known) =
            self.controller.borrow_mut().apply_cancellation_notices(notices);
        self.on_replica_changes(&replica_changes);
        PeerResponse::CancellationsKnown(known)
    }
}
