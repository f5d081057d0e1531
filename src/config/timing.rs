//! Times derived from the interval at which workers send heartbeats.

use super::WorkerSettings;

/// Times derived from the heartbeat interval, in milliseconds. Their lower bounds allow for the latency of the network
/// and of a loaded controller, which do not shrink with the interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Normal time between two heartbeats of a worker.
    pub interval_ms: u64,
    /// Longest time between two heartbeats of a worker that gets responses: the normal time plus a quarter.
    pub max_interval_ms: u64,
    /// Time without a heartbeat after which a machine gets no new tasks. A longer time would assign tasks to dead
    /// machines; a shorter one would exclude healthy machines.
    pub unavailable_after_ms: u64,
    /// Time after which an unused grant is revoked. A grant is used at a heartbeat of the machine that it was meant
    /// for, and that machine may have been full.
    pub unused_grant_timeout_ms: u64,
    /// Time for which a foreign machine counts as present after its last heartbeat. A foreign machine sends its
    /// heartbeats to a controller other than its owner.
    pub foreign_machine_ttl_ms: u64,
    /// Time without a heartbeat after which a machine that was healthy is presumed to have stopped, provided that its
    /// owner receives heartbeats of other machines.
    pub presumed_stopped_after_ms: u64,
    /// Time for which a controller keeps the time of its last response to a machine. It exceeds the lease of a worker,
    /// so that every response whose lease may still be valid can be reported to the leader.
    pub response_retention_ms: u64,
}

impl HeartbeatTiming {
    /// Computes the times for workers with these settings.
    pub fn new(workers: &WorkerSettings) -> Self {
        let interval_ms = (workers.heartbeat_s * 1000.0) as u64;
        let lease_ms = (workers.lease_s * 1000.0) as u64;
        let max_interval_ms = interval_ms + interval_ms / 4;
        HeartbeatTiming {
            interval_ms,
            max_interval_ms,
            unavailable_after_ms: (max_interval_ms + 2_000).max(4_000),
            unused_grant_timeout_ms: (max_interval_ms + 2_500).max(4_500),
            foreign_machine_ttl_ms: (max_interval_ms + 1_000).max(3_000),
            presumed_stopped_after_ms: (interval_ms * 4).clamp(5_000, lease_ms.max(5_000)),
            response_retention_ms: (lease_ms * 3).max(120_000),
        }
    }

    /// Estimates the time in seconds until the next heartbeat of a machine whose last heartbeat was `since_ms`
    /// milliseconds ago. The estimate grows for an overdue heartbeat, as the machine has more likely stopped.
    pub fn expected_heartbeat_delay_s(&self, since_ms: u64) -> f64 {
        self.interval_ms.abs_diff(since_ms) as f64 / 1000.0
    }
}
