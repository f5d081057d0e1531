//! The controller's part: summaries to the leader, announcements to machines, and messages between controllers.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::{
    MAX_SUMMARY_BYTES, STORE_MESSAGE_PERIOD, Service, TXNS_PER_STORE_SUMMARY, max_direct_commands,
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
const MAX_SUMMARY_WAIT: Duration = Duration::from_millis(200);
/// Shortest time between two summaries.
const MIN_SUMMARY_PAUSE: Duration = Duration::from_millis(60);
/// Failures after which the leader is told through the store, and how often it is still
/// tried directly then.
const FAILURES_BEFORE_STORE: u32 = 2;
const DIRECT_RETRY_MS: u64 = 2_500;
/// Time between two looks at who is to be told of a term, and how long telling may take.
const DIRECT_COMMAND_PERIOD: Duration = Duration::from_millis(100);
const DIRECT_COMMAND_LIMIT: Duration = Duration::from_millis(1_000);

/// Where a controller tells operators of its part in the warm standby, on its address for the other controllers.
pub const STATUS_PATH: &str = "/standby";

impl Service {
    pub(super) async fn send_summaries(self: Rc<Self>) {
        let mut failures = 0u32;
        let mut before: Option<NodeId> = None;
        let (mut relayed, mut tried) = (MonotonicTime(0), MonotonicTime(0));
        loop {
            let _ = timeout(MAX_SUMMARY_WAIT, self.wake_summary.notified()).await;
            let leader = self.controller.borrow().leader();
            let Some(leader) = leader else {
                sleep(MIN_SUMMARY_PAUSE).await;
                continue;
            };
            if before.replace(leader) != Some(leader) {
                failures = 0;
            }
            let now = self.now();
            let told = if leader == self.me {
                Some(self.receive_summary(self.summary(usize::MAX)))
            } else if failures < FAILURES_BEFORE_STORE || now.since(tried) >= DIRECT_RETRY_MS {
                tried = now;
                let told = self
                    .call_peer(leader, &PeerRequest::Summary(self.summary(MAX_SUMMARY_BYTES)), 600)
                    .await;
                if let Some(response) = &told {
                    self.controller.borrow_mut().record_leader_response(now, response);
                }
                failures = if told.is_some() { 0 } else { failures + 1 };
                told
            } else {
                if now.since(relayed) >= STORE_MESSAGE_PERIOD.as_millis() as u64 {
                    relayed = now;
                    let limits = &self.settings.params.state;
                    let byte_budget = message_chunks::capacity(
                        message_chunk_bytes(limits),
                        limits.txn_ops * TXNS_PER_STORE_SUMMARY,
                    );
                    let summary = self.summary(byte_budget);
                    self.send_summary_through_store(leader, &summary).await;
                }
                None
            };
            if let Some(response) = told {
                let mut controller = self.controller.borrow_mut();
                self.metrics.time(Operation::Plan, || controller.apply_leader_response(response));
            }
            sleep(MIN_SUMMARY_PAUSE).await;
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
    pub(super) async fn send_direct_commands(self: Rc<Self>) {
        let most = max_direct_commands(self.settings.params.limits.sockets);
        loop {
            sleep(DIRECT_COMMAND_PERIOD).await;
            let room = most.saturating_sub(self.direct_commands_in_flight.get());
            let due = self.controller.borrow_mut().direct_messages_due(self.now(), room);
            for a in due {
                let s = self.clone();
                s.direct_commands_in_flight.set(s.direct_commands_in_flight.get() + 1);
                spawn_local(async move {
                    s.send_direct_command(&a).await;
                    s.direct_commands_in_flight
                        .set(s.direct_commands_in_flight.get().saturating_sub(1));
                });
            }
        }
    }

    async fn send_direct_command(&self, a: &DirectMessage) {
        let Ok(addr) = a.endpoint.parse() else { return };
        let body = wire::encode(&DirectCommand {
            token: a.term,
            agent_epoch: a.agent_epoch,
            commands: a.commands.clone(),
        });
        let client = Client::new(addr, wire::BODY_LIMIT * 4);
        let Ok(answer) = client.call("POST", "/do", &body, DIRECT_COMMAND_LIMIT).await else {
            return;
        };
        if !matches!(answer.status, 200 | 409) {
            return;
        }
        if let Ok(heartbeat) = wire::decode::<wire::Heartbeat>(&answer.body) {
            let mut controller = self.controller.borrow_mut();
            let now = self.now();
            self.metrics
                .time(Operation::Heartbeat, || controller.on_direct_response(now, a, &heartbeat));
            if controller.shard.summary_due {
                self.wake_summary.notify_one();
            }
        }
    }

    /// As the leader, takes a summary and answers with the plan.
    pub(super) fn receive_summary(&self, summary: Summary) -> PeerResponse {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let (response, changed) = self
            .metrics
            .time(Operation::SummaryOutcome, || controller.receive_summary(now, summary));
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
        let response = told.as_ref().and_then(|a| peer::decode(&a.body));
        if told.is_some() && response.is_none() {
            self.warn_unreadable(self.name_of(node));
        }
        if response.is_some() {
            self.controller.borrow_mut().last_peer_contact = self.now();
        }
        response
    }

    pub(super) fn name_of(&self, node: NodeId) -> &str {
        self.names.get(usize::from(node.0)).map_or("an unknown controller", String::as_str)
    }

    /// Tells operators of a message that this version does not read, not more often than they need it.
    pub(super) fn warn_unreadable(&self, from: &str) {
        let now = self.now();
        if self.warned_unreadable_at.get().is_none_or(|at| now.since(at) >= 10_000) {
            self.warned_unreadable_at.set(Some(now));
            warn!(from, "a message that this version does not read is refused");
        }
    }

    pub(super) async fn handle_peer_request(self: &Rc<Self>, path: &str, body: &[u8]) -> Response {
        if path == STATUS_PATH {
            return self.answer_status();
        }
        if path != "/peer" {
            return Response::empty(404);
        }
        let Some(request) = peer::decode::<PeerRequest>(body) else {
            self.warn_unreadable("a controller that does not say its name");
            return Response { close: true, ..Response::empty(400) };
        };
        self.controller.borrow_mut().last_peer_contact = self.now();
        let response = match request {
            PeerRequest::Summary(s) => {
                if usize::from(s.node.0) >= self.nodes || s.node == self.me {
                    return Response::empty(400);
                }
                self.responses_through_store.borrow_mut().remove(&s.node);
                self.receive_summary(s)
            }
            PeerRequest::Reach => PeerResponse::Reach(self.controller.borrow().store_ok),
            PeerRequest::LeaderSilence(term) => PeerResponse::LeaderSilence(
                self.controller.borrow().leader_silence_ms(self.now(), term),
            ),
            PeerRequest::Leader => {
                PeerResponse::Leader(self.controller.borrow().leader_for_peer(self.now()))
            }
            PeerRequest::Submit(spec) => self.forwarded_answer(self.submit(spec, false).await),
            PeerRequest::Query(job) => self.forwarded_answer(self.query(job, false).await),
            PeerRequest::Abort(job) => self.forwarded_answer(self.abort(job, false).await),
            PeerRequest::Ended(job, progress, version) => {
                let replica_changes =
                    self.controller.borrow_mut().apply_cancellation_notice(job, &progress, version);
                self.follow_changes(&replica_changes);
                PeerResponse::Reach(self.controller.borrow().store_ok)
            }
        };
        Response::new(200, peer::encode(&response))
    }

    fn forwarded_answer(&self, response: Response) -> PeerResponse {
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
            self.confirmations.borrow_mut().push(oneshot::channel().0);
            self.wake_confirmations.notify_one();
        }
        let now = self.now();
        let answer =
            self.metrics.time(Operation::Heartbeat, || controller.on_heartbeat(now, &heartbeat));
        if controller.shard.summary_due {
            self.wake_summary.notify_one();
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
