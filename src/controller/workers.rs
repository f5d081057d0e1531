//! Heartbeats of workers and direct commands to them.
//!
//! [`crate::lease::LeaseRights`] alone decides whether heartbeats may be answered and tasks
//! started.

use super::Controller;
use crate::model::MonotonicTime;
use crate::shard::{DirectMessage, HeartbeatOutcome, Shard, ShardContext};
use crate::wire::Heartbeat;

/// Milliseconds without contact to the store and to every peer after which a controller redirects
/// its workers to other controllers.
const ISOLATION_TIMEOUT_MS: u64 = 5_000;

impl Controller {
    /// Whether this controller has reached neither the store nor a peer for `ISOLATION_TIMEOUT_MS`.
    /// An outage of the store in which connections between controllers fail as well looks the same.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        self.nodes.len() > 1
            && now.since(self.last_peer_contact) > ISOLATION_TIMEOUT_MS
            && self.rights.synced_at().is_some_and(|at| now.since(at) > ISOLATION_TIMEOUT_MS)
    }

    /// Calls `act` with the shard and its decision context.
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

    /// Handles a worker's heartbeat and returns the answer to it.
    pub fn on_heartbeat(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        self.with_shard(now, |shard, context| shard.on_heartbeat(context, heartbeat))
    }

    /// Returns at most `limit` direct commands to machines that are due now. Only a controller that
    /// may answer workers announces its term; every controller may stop tasks that are no longer
    /// wanted.
    pub fn direct_messages_due(&mut self, now: MonotonicTime, limit: usize) -> Vec<DirectMessage> {
        if !self.loaded {
            return Vec::new();
        }
        let may_answer = self.rights.may_answer(now);
        self.shard.direct_messages_due(now, &self.replica, may_answer, limit)
    }

    /// Applies a worker's response to a direct command.
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
