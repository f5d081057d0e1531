//! What the controller gives its shard for the handling of one heartbeat.

use crate::config::{HeartbeatTiming, NodeInfo};
use crate::model::MonotonicTime;
use crate::replica::Replica;
use crate::resources::MachineCatalog;

/// The controller's state and rights at the time of a heartbeat.
pub struct ShardContext<'a> {
    /// The time of receipt.
    pub now: MonotonicTime,
    /// Whether this node may respond with 200.
    pub may_answer: bool,
    /// Whether it may start tasks.
    pub may_start: bool,
    /// Milliseconds since the replica was known to be current; `None` if it never was.
    pub proof_ms: Option<u64>,
    /// The replica of the state store.
    pub replica: &'a Replica,
    /// Machine types by name.
    pub catalog: &'a MachineCatalog,
    /// All controllers, by node id.
    pub nodes: &'a [NodeInfo],
    /// Whether this node has reached neither the store nor another controller for a while.
    pub isolated: bool,
    /// Milliseconds for which workers keep tasks without a response.
    pub lease_ms: u64,
    /// The rhythm of heartbeats and what follows from it.
    pub timing: HeartbeatTiming,
}
