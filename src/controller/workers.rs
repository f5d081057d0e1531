//! Heartbeats and direct commands: what this controller's shard exchanges with machines.
//!
//! Whether heartbeats may be answered and tasks started is decided by [`crate::lease::LeaseRights`] alone.

use super::Controller;
use crate::model::MonotonicTime;
use crate::shard::{DirectMessage, HeartbeatOutcome, Shard, ShardContext};
use crate::wire::Heartbeat;

/// How long, in milliseconds, a controller reaches neither the store nor a peer before it sends its workers to other
/// controllers.
const ISOLATION_MS: u64 = 5_000;

impl Controller {
    /// Whether this controller has reached neither the store nor a peer for a while. It cannot distinguish that from an
    /// outage in which connections between controllers fail as well.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        self.nodes.len() > 1
            && now.since(self.last_peer_contact) > ISOLATION_MS
            && self.rights.synced_at().is_some_and(|at| now.since(at) > ISOLATION_MS)
    }

    /// Calls `act` with the shard and the context that it decides in.
    fn with_shard<T>(
        &mut self,
        now: MonotonicTime,
        act: impl FnOnce(&mut Shard, &ShardContext<'_>) -> T,
    ) -> T {
        let context = ShardContext {
            now,
            may_respond: self.loaded && self.rights.may_answer(now),
            may_start_tasks: self.loaded && self.rights.may_start(now),
            replica_age_ms: self.rights.sync_age(now),
            replica: &self.replica,
            catalog: &self.catalog,
            nodes: &self.nodes,
            is_isolated: self.is_isolated(now),
            lease_ms: self.settings.worker_lease_ms(),
            timing: self.settings.timing(),
        };
        act(&mut self.shard, &context)
    }

    /// Answers a worker's heartbeat.
    pub fn on_heartbeat(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        self.with_shard(now, |shard, context| shard.on_heartbeat(context, heartbeat))
    }

    /// Direct commands to machines that are due now, at most `limit`. Only a controller that may answer workers announces
    /// its term; any may stop tasks that are no longer wanted.
    pub fn direct_messages_due(&mut self, now: MonotonicTime, limit: usize) -> Vec<DirectMessage> {
        if !self.loaded {
            return Vec::new();
        }
        let may_answer = self.rights.may_answer(now);
        self.shard.direct_messages_due(now, &self.replica, may_answer, limit)
    }

    /// Applies a machine's answer to a direct command.
    pub fn on_direct_response(
        &mut self,
        now: MonotonicTime,
        message: &DirectMessage,
        heartbeat: &Heartbeat,
    ) {
        self.with_shard(now, |shard, context| {
            shard.on_direct_response(context, message, heartbeat)
        });
    }
}
