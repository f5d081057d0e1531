//! Times that follow from how often workers send heartbeats.

use super::WorkerSettings;

/// Times that follow from the interval of heartbeats, in milliseconds. The least values are those
/// that a loaded controller and the way of a message need, however short the interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Usual time between two heartbeats.
    pub interval_ms: u64,
    /// Longest time between two heartbeats of a worker that is answered: a quarter more.
    pub max_interval_ms: u64,
    /// A machine that has sent no heartbeat for that long takes no new tasks. A longer time gives tasks
    /// to machines that are dead, a shorter one closes machines that are well.
    pub unavailable_after_ms: u64,
    /// A grant that was not used for that long is withdrawn: it waits for a heartbeat of
    /// the machine that it was meant for, and that machine may have been full.
    pub unused_grant_ms: u64,
    /// A foreign machine, which sends its heartbeats to a controller other than its owner, counts as being
    /// there for that long after one.
    pub foreign_machine_ms: u64,
    /// A machine that was well and has sent no heartbeat for that long is presumed to have stopped, if its
    /// owner gets those of others.
    pub presumed_stopped_ms: u64,
    /// How long a controller remembers which machines it answered: whoever asks is given every
    /// answer whose lease may still run.
    pub answer_memory_ms: u64,
}

impl HeartbeatTiming {
    /// The times for workers with these settings.
    pub fn of(workers: &WorkerSettings) -> Self {
        let interval_ms = (workers.heartbeat_s * 1000.0) as u64;
        let lease_ms = (workers.lease_s * 1000.0) as u64;
        let max_interval_ms = interval_ms + interval_ms / 4;
        HeartbeatTiming {
            interval_ms,
            max_interval_ms,
            unavailable_after_ms: (max_interval_ms + 2_000).max(4_000),
            unused_grant_ms: (max_interval_ms + 2_500).max(4_500),
            foreign_machine_ms: (max_interval_ms + 1_000).max(3_000),
            presumed_stopped_ms: (interval_ms * 4).clamp(5_000, lease_ms.max(5_000)),
            answer_memory_ms: (lease_ms * 3).max(120_000),
        }
    }

    /// Seconds until the next heartbeat of a machine that sent its last one so many milliseconds ago. The longer
    /// one is overdue, the likelier the machine has stopped.
    pub fn delay_s(&self, since_ms: u64) -> f64 {
        self.interval_ms.abs_diff(since_ms) as f64 / 1000.0
    }
}
