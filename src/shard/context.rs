//! Inputs that the controller provides to its shard for handling one heartbeat or one answer to a direct
//! message.

use crate::config::{HeartbeatTiming, NodeInfo};
use crate::model::MonotonicTime;
use crate::replica::Replica;
use crate::resources::MachineCatalog;

/// State and rights of the controller when a heartbeat or an answer to a direct message is received.
pub struct ShardContext<'a> {
    /// Time of receipt.
    pub now: MonotonicTime,
    /// Whether this controller may respond with 200.
    pub may_respond: bool,
    /// Whether this controller may start tasks.
    pub may_start_tasks: bool,
    /// Milliseconds since the replica was last confirmed to be current; `None` if it never was.
    pub replica_age_ms: Option<u64>,
    /// Replica of the state store.
    pub replica: &'a Replica,
    /// Machine types by name.
    pub catalog: &'a MachineCatalog,
    /// All controllers, by node id.
    pub nodes: &'a [NodeInfo],
    /// Whether this controller has recently reached neither the state store nor another controller.
    pub is_isolated: bool,
    /// Worker lease in milliseconds: the time for which a worker keeps its tasks without a response.
    pub lease_ms: u64,
    /// Heartbeat interval and the timeouts derived from it.
    pub timing: HeartbeatTiming,
}
