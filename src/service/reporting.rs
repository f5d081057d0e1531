//! The controller's part: summaries to the leader, announcements to machines, and messages between controllers.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::{
    DIRECT_BYTES, STORE_MESSAGE_PERIOD, Service, TXNS_PER_SUMMARY, announcements,
    message_chunk_bytes,
};
use crate::http::{Client, Response};
use crate::message_chunks;
use crate::metrics::Operation;
use crate::model::{MonotonicTime, NodeId};
use crate::peer::{self, PeerRequest, PeerResponse, Summary};
use crate::shard::{DirectMessage, HeartbeatOutcome};
use crate::wire::{self, DirectCommand};

/// Longest wait between two summaries of a part; news bring them sooner.
const SUMMARY: Duration = Duration::from_millis(200);
/// Shortest time between two summaries.
const SUMMARY_LEAST: Duration = Duration::from_millis(60);
/// Failures after which the leader is told through the store, and how often it is still
/// tried directly then.
const DIRECT_FAILURES: u32 = 2;
const DIRECT_AGAIN_MS: u64 = 2_500;
/// Time between two looks at who is to be told of a term, and how long telling may take.
const ANNOUNCE: Duration = Duration::from_millis(100);
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Where a controller tells operators of its part in the warm standby, on its address for the other controllers.
pub const STATUS_PATH: &str = "/standby";

impl Service {
    pub(super) async fn report_shard(self: Rc<Self>) {
        let mut failures = 0u32;
        let mut before: Option<NodeId> = None;
        let (mut relayed, mut tried) = (MonotonicTime(0), MonotonicTime(0));
        loop {
            let _ = timeout(SUMMARY, self.wake_shard_report.notified()).await;
            let leader = self.controller.borrow().leader();
            let Some(leader) = leader else {
                sleep(SUMMARY_LEAST).await;
                continue;
            };
            if before.replace(leader) != Some(leader) {
                failures = 0;
            }
            let now = self.now();
            let told = if leader == self.me {
                Some(self.take_summary(self.summary(usize::MAX)))
            } else if failures < DIRECT_FAILURES || now.since(tried) >= DIRECT_AGAIN_MS {
                tried = now;
                let told = self
                    .call_peer(leader, &PeerRequest::Summary(self.summary(DIRECT_BYTES)), 600)
                    .await;
                if let Some(response) = &told {
                    self.controller.borrow_mut().heard_leader(now, response);
                }
                failures = if told.is_some() { 0 } else { failures + 1 };
                told
            } else {
                if now.since(relayed) >= STORE_MESSAGE_PERIOD.as_millis() as u64 {
                    relayed = now;
                    let limits = &self.settings.params.store;
                    let byte_budget = message_chunks::capacity(
                        message_chunk_bytes(limits),
                        limits.txn_ops * TXNS_PER_SUMMARY,
                    );
                    let summary = self.summary(byte_budget);
                    self.send_summary_through_store(leader, &summary).await;
                }
                None
            };
            if let Some(response) = told {
                let mut controller = self.controller.borrow_mut();
                self.metrics.time(Operation::Plan, || controller.take_answer(response));
            }
            sleep(SUMMARY_LEAST).await;
        }
    }

    fn summary(&self, byte_budget: usize) -> Summary {
        let mut controller = self.controller.borrow_mut();
        controller.shard.summary_due = false;
        let now = self.now();
        self.metrics.time(Operation::Summary, || controller.summary(now, byte_budget))
    }

    /// Tells machines of a new term straight away, so that what they may still run and what may
    /// start on them does not wait for their next report.
    pub(super) async fn announce_term(self: Rc<Self>) {
        let most = announcements(self.settings.params.limits.sockets);
        loop {
            sleep(ANNOUNCE).await;
            let room = most.saturating_sub(self.announcing.get());
            let due = self.controller.borrow_mut().direct_messages_due(self.now(), room);
            for a in due {
                let s = self.clone();
                s.announcing.set(s.announcing.get() + 1);
                spawn_local(async move {
                    s.announce(&a).await;
                    s.announcing.set(s.announcing.get().saturating_sub(1));
                });
            }
        }
    }

    async fn announce(&self, a: &DirectMessage) {
        let Ok(addr) = a.endpoint.parse() else { return };
        let body = wire::encode(&DirectCommand {
            token: a.term,
            agent_epoch: a.agent_epoch,
            commands: a.commands.clone(),
        });
        let client = Client::new(addr, wire::BODY_LIMIT * 4);
        let Ok(answer) = client.call("POST", "/do", &body, ANNOUNCE_LIMIT).await else { return };
        if !matches!(answer.status, 200 | 409) {
            return;
        }
        if let Ok(heartbeat) = wire::decode::<wire::Heartbeat>(&answer.body) {
            let mut controller = self.controller.borrow_mut();
            let now = self.now();
            self.metrics
                .time(Operation::Heartbeat, || controller.on_direct_response(now, a, &heartbeat));
            if controller.shard.summary_due {
                self.wake_shard_report.notify_one();
            }
        }
    }

    /// As the leader, takes a summary and answers with the plan.
    pub(super) fn take_summary(&self, summary: Summary) -> PeerResponse {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let (response, changed) =
            self.metrics.time(Operation::SummaryOutcome, || controller.take_summary(now, summary));
        drop(controller);
        if changed {
            self.wake_epoch.notify_one();
        }
        if !self.controller.borrow().shard.completed_tasks.is_empty() {
            self.wake_completions.notify_one();
        }
        response
    }

    /// Asks another controller.
    pub(crate) async fn call_peer(
        &self,
        node: NodeId,
        request: &PeerRequest,
        limit_ms: u64,
    ) -> Option<PeerResponse> {
        let client = self.peers.get(usize::from(node.0))?;
        let body = peer::encode(request);
        let answer = client.call("POST", "/peer", &body, Duration::from_millis(limit_ms)).await;
        let told = answer.ok().filter(|a| a.status == 200);
        let response = told.as_ref().and_then(|a| peer::decode(&a.body).ok());
        if told.is_some() && response.is_none() {
            self.unread(self.name_of(node));
        }
        if response.is_some() {
            self.controller.borrow_mut().peer_heard = self.now();
        }
        response
    }

    pub(super) fn name_of(&self, node: NodeId) -> &str {
        self.names.get(usize::from(node.0)).map_or("an unknown controller", String::as_str)
    }

    /// Tells operators of a message that this version does not read, not more often than they need it.
    pub(super) fn unread(&self, from: &str) {
        let now = self.now();
        if self.told_unread.get().is_none_or(|at| now.since(at) >= 10_000) {
            self.told_unread.set(Some(now));
            warn!(from, "a message that this version does not read is refused");
        }
    }

    pub(super) async fn answer_peer(self: &Rc<Self>, path: &str, body: &[u8]) -> Response {
        if path == STATUS_PATH {
            return self.answer_status();
        }
        if path != "/peer" {
            return Response::empty(404);
        }
        let Ok(request) = peer::decode::<PeerRequest>(body) else {
            self.unread("a controller that does not say its name");
            return Response { close: true, ..Response::empty(400) };
        };
        self.controller.borrow_mut().peer_heard = self.now();
        let response = match request {
            PeerRequest::Summary(s) => {
                if usize::from(s.node.0) >= self.nodes || s.node == self.me {
                    return Response::empty(400);
                }
                self.responses_through_store.borrow_mut().remove(&s.node);
                self.take_summary(s)
            }
            PeerRequest::Reach => PeerResponse::Reach(self.controller.borrow().store_ok),
            PeerRequest::LeaderSilence(term) => PeerResponse::LeaderSilence(
                self.controller.borrow().leader_silence_ms(self.now(), term),
            ),
            PeerRequest::Leader => {
                PeerResponse::Leader(self.controller.borrow().leader_for_peer(self.now()))
            }
            PeerRequest::Submit(spec) => self.handed(self.submit(spec, false).await),
            PeerRequest::Query(job) => self.handed(self.query(job, false).await),
            PeerRequest::Abort(job) => self.handed(self.abort(job, false).await),
            PeerRequest::Ended(job, progress, version) => {
                let replica_changes =
                    self.controller.borrow_mut().hear_ended(job, &progress, version);
                self.note(&replica_changes);
                PeerResponse::Reach(self.controller.borrow().store_ok)
            }
        };
        Response::new(200, peer::encode(&response))
    }

    fn handed(&self, response: Response) -> PeerResponse {
        PeerResponse::Answer(response.status, response.body)
    }

    /// Answers a worker's report.
    pub(crate) fn on_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = wire::decode::<wire::Heartbeat>(body) else {
            return Response::empty(400);
        };
        let mut controller = self.controller.borrow_mut();
        if heartbeat.token > controller.shard.term() {
            // Somebody leads that this node does not know of yet.
            self.confirms.borrow_mut().push(oneshot::channel().0);
            self.wake_confirm.notify_one();
        }
        let now = self.now();
        let answer =
            self.metrics.time(Operation::Heartbeat, || controller.on_heartbeat(now, &heartbeat));
        if controller.shard.summary_due {
            self.wake_shard_report.notify_one();
        }
        if !controller.shard.completed_tasks.is_empty() {
            self.wake_completions.notify_one();
        }
        match answer {
            HeartbeatOutcome::Respond(reply) => Response::new(200, wire::encode(&reply)),
            HeartbeatOutcome::Redirect(name) => {
                Response::new(421, wire::encode(&wire::Redirect { controller: Some(name) }))
            }
            HeartbeatOutcome::Refuse => Response::later(1),
        }
    }
}
