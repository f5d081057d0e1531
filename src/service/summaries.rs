//! Summaries of this controller's shard to the leader, and the leader's plans in response.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{MAX_SUMMARY_BYTES, STORE_MESSAGE_PERIOD, Service, message_chunk_bytes};
use crate::message_chunks;
use crate::metrics::Operation;
use crate::model::{MonotonicTime, NodeId};
use crate::peer::{PeerRequest, PeerResponse, Summary};

/// Maximum wait before a summary; a change in the shard or of the leader triggers one earlier. The
/// warm standby measures the leader's silence by summaries, so `feature_flags::HEARTBEAT_MS` has to
/// be the sum of this time and [`MIN_SUMMARY_PAUSE`].
const MAX_SUMMARY_WAIT: Duration = Duration::from_millis(200);
/// Pause after each summary, so that several changes share the next one.
const MIN_SUMMARY_PAUSE: Duration = Duration::from_millis(60);
/// Time limit for the leader's response to a summary.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of consecutive failed direct requests after which summaries are sent through the store.
const MAX_DIRECT_FAILURES: u32 = 2;
/// Time in milliseconds between two direct requests while summaries are sent through the store.
const DIRECT_RETRY_PERIOD_MS: u64 = 2_500;
/// Maximum number of transactions for one summary through the store. Machines that do not fit
/// follow in the next summary.
const MAX_TXNS_PER_STORE_SUMMARY: usize = 2;

/// Route to the leader: direct, or through the store after repeated failures.
struct LeaderRoute {
    leader: Option<NodeId>,
    direct_failures: u32,
    last_direct_at: MonotonicTime,
    last_through_store_at: MonotonicTime,
}

impl LeaderRoute {
    fn new() -> Self {
        LeaderRoute {
            leader: None,
            direct_failures: 0,
            last_direct_at: MonotonicTime(0),
            last_through_store_at: MonotonicTime(0),
        }
    }

    /// Sets the current leader, and resets the failure count if the leader changed.
    fn set_leader(&mut self, leader: NodeId) {
        if self.leader.replace(leader) != Some(leader) {
            self.direct_failures = 0;
        }
    }

    fn should_try_direct(&self, now: MonotonicTime) -> bool {
        self.direct_failures < MAX_DIRECT_FAILURES
            || now.since(self.last_direct_at) >= DIRECT_RETRY_PERIOD_MS
    }

    fn is_store_message_due(&self, now: MonotonicTime) -> bool {
        now.since(self.last_through_store_at) >= STORE_MESSAGE_PERIOD.as_millis() as u64
    }
}

impl Service {
    /// Sends summaries to the leader and applies the responses.
    pub(super) async fn send_summaries(self: Rc<Self>) {
        let mut route = LeaderRoute::new();
        loop {
            let _ = timeout(MAX_SUMMARY_WAIT, self.wake_ups.summary.notified()).await;
            let leader = self.controller.borrow().leader();
            if let Some(leader) = leader {
                route.set_leader(leader);
                if let Some(response) = self.send_summary(leader, &mut route).await {
                    let mut controller = self.controller.borrow_mut();
                    self.metrics
                        .time(Operation::Plan, || controller.apply_leader_response(response));
                }
            }
            sleep(MIN_SUMMARY_PAUSE).await;
        }
    }

    /// Sends one summary over the current route and returns the leader's response. Returns `None`
    /// after a failed request, and for a summary sent through the store, to which the leader
    /// responds with a message through the store.
    async fn send_summary(&self, leader: NodeId, route: &mut LeaderRoute) -> Option<PeerResponse> {
        let now = self.now();
        if leader == self.node_id {
            return Some(self.receive_summary(self.summary(usize::MAX)));
        }
        if route.should_try_direct(now) {
            route.last_direct_at = now;
            let request = PeerRequest::Summary(self.summary(MAX_SUMMARY_BYTES));
            let response = self.call_peer(leader, &request, SUMMARY_TIMEOUT).await.ok();
            if let Some(response) = &response {
                self.controller.borrow_mut().record_leader_response(now, response);
            }
            route.direct_failures = if response.is_some() { 0 } else { route.direct_failures + 1 };
            return response;
        }
        if route.is_store_message_due(now) {
            route.last_through_store_at = now;
            let limits = &self.settings.params.store;
            let max_chunks = limits.txn_ops * MAX_TXNS_PER_STORE_SUMMARY;
            let byte_budget =
                message_chunks::max_message_bytes(message_chunk_bytes(limits), max_chunks);
            let summary = self.summary(byte_budget);
            self.send_summary_through_store(leader, &summary).await;
        }
        None
    }

    /// Returns the next summary of this shard, of about `byte_budget` bytes.
    fn summary(&self, byte_budget: usize) -> Summary {
        let mut controller = self.controller.borrow_mut();
        controller.shard.summary_due = false;
        let now = self.now();
        self.metrics.time(Operation::Summary, || controller.summary(now, byte_budget))
    }

    /// On the leader, merges a controller's summary and returns the response with the controller's
    /// plan.
    pub(super) fn receive_summary(&self, summary: Summary) -> PeerResponse {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let (response, epoch_due) =
            self.metrics.time(Operation::SummaryMerge, || controller.receive_summary(now, summary));
        drop(controller);
        if epoch_due {
            self.wake_ups.epoch.notify_one();
        }
        if !self.controller.borrow().shard.completed_tasks.is_empty() {
            self.wake_ups.completions.notify_one();
        }
        response
    }
}
