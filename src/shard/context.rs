//! What a shard is given of its controller while it handles a heartbeat.

use crate::config::{HeartbeatTiming, NodeInfo};
use crate::model::MonotonicTime;
use crate::placement::MachineCatalog;
use crate::replica::Replica;

/// What the outside of a part looks like while it handles a report.
pub struct ShardContext<'a> {
    /// Now.
    pub now: MonotonicTime,
    /// Whether this node may answer with 200.
    pub may_answer: bool,
    /// Whether it may start tasks.
    pub may_start: bool,
    /// Milliseconds since the replica was known to be current.
    pub proof_ms: Option<u64>,
    /// The replica.
    pub replica: &'a Replica,
    /// Machine types.
    pub catalog: &'a MachineCatalog,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
    /// Whether this node has reached neither the store nor another controller for a while.
    pub isolated: bool,
    /// Milliseconds for which workers keep tasks without an answer.
    pub lease_ms: u64,
    /// How often workers report.
    pub timing: HeartbeatTiming,
}
