//! Summaries of this controller's shard to the leader, and the plans that come back.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{MAX_SUMMARY_BYTES, STORE_MESSAGE_PERIOD, Service, message_chunk_bytes};
use crate::message_chunks;
use crate::metrics::Operation;
use crate::model::{MonotonicTime, NodeId};
use crate::peer::{PeerRequest, PeerResponse, Summary};

/// Longest wait between two summaries; changes in the shard bring them forward. Summaries are what the leader's silence
/// is measured by, so `feature_flags::SUMMARY_INTERVAL_MAX_MS` counts on this period and on [`MIN_PAUSE`].
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Shortest pause between two summaries, so that many changes share one.
const MIN_PAUSE: Duration = Duration::from_millis(60);
/// How long the leader has to answer a summary.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// Failed direct attempts after which summaries go through the store.
const FAILURES_BEFORE_STORE: u32 = 2;
/// Time, in milliseconds, between two direct attempts while summaries go through the store.
const DIRECT_RETRY_MS: u64 = 2_500;
/// Transactions that one summary through the store fills at most; what does not fit follows in the next.
const TXNS_PER_STORE_SUMMARY: usize = 2;

/// How the leader is reached: directly, or through the store after repeated failures.
struct LeaderRoute {
    leader: Option<NodeId>,
    failures: u32,
    last_direct_attempt: MonotonicTime,
    last_through_store: MonotonicTime,
}

impl LeaderRoute {
    fn new() -> Self {
        LeaderRoute {
            leader: None,
            failures: 0,
            last_direct_attempt: MonotonicTime(0),
            last_through_store: MonotonicTime(0),
        }
    }

    /// Forgets failures when another controller leads.
    fn follow(&mut self, leader: NodeId) {
        if self.leader.replace(leader) != Some(leader) {
            self.failures = 0;
        }
    }

    fn tries_directly(&self, now: MonotonicTime) -> bool {
        self.failures < FAILURES_BEFORE_STORE
            || now.since(self.last_direct_attempt) >= DIRECT_RETRY_MS
    }

    fn is_store_message_due(&self, now: MonotonicTime) -> bool {
        now.since(self.last_through_store) >= STORE_MESSAGE_PERIOD.as_millis() as u64
    }
}

impl Service {
    /// Sends summaries to the leader and applies its answers.
    pub(super) async fn send_summaries(self: Rc<Self>) {
        let mut route = LeaderRoute::new();
        loop {
            let _ = timeout(MAX_WAIT, self.wake_ups.summary.notified()).await;
            let leader = self.controller.borrow().leader();
            if let Some(leader) = leader {
                route.follow(leader);
                if let Some(response) = self.send_summary(leader, &mut route).await {
                    let mut controller = self.controller.borrow_mut();
                    self.metrics
                        .time(Operation::Plan, || controller.apply_leader_response(response));
                }
            }
            sleep(MIN_PAUSE).await;
        }
    }

    /// Sends one summary the way that the route has; `None` without an answer now.
    async fn send_summary(&self, leader: NodeId, route: &mut LeaderRoute) -> Option<PeerResponse> {
        let now = self.now();
        if leader == self.me {
            return Some(self.receive_summary(self.summary(usize::MAX)));
        }
        if route.tries_directly(now) {
            route.last_direct_attempt = now;
            let request = PeerRequest::Summary(self.summary(MAX_SUMMARY_BYTES));
            let response = self.call_peer(leader, &request, ANSWER_LIMIT).await.ok();
            if let Some(response) = &response {
                self.controller.borrow_mut().record_leader_response(now, response);
            }
            route.failures = if response.is_some() { 0 } else { route.failures + 1 };
            return response;
        }
        if route.is_store_message_due(now) {
            route.last_through_store = now;
            let limits = &self.settings.params.store;
            let chunks = limits.txn_ops * TXNS_PER_STORE_SUMMARY;
            let byte_budget = message_chunks::capacity(message_chunk_bytes(limits), chunks);
            let summary = self.summary(byte_budget);
            self.send_summary_through_store(leader, &summary).await;
        }
        None
    }

    /// This shard's summary in about `byte_budget` bytes.
    fn summary(&self, byte_budget: usize) -> Summary {
        let mut controller = self.controller.borrow_mut();
        controller.shard.summary_due = false;
        let now = self.now();
        self.metrics.time(Operation::Summary, || controller.summary(now, byte_budget))
    }

    /// As the leader, merges a controller's summary and answers with its plan.
    pub(super) fn receive_summary(&self, summary: Summary) -> PeerResponse {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let (response, changed) =
            self.metrics.time(Operation::SummaryMerge, || controller.receive_summary(now, summary));
        drop(controller);
        if changed {
            self.wake_ups.epoch.notify_one();
        }
        if !self.controller.borrow().shard.completed_tasks.is_empty() {
            self.wake_ups.completions.notify_one();
        }
        response
    }
}
