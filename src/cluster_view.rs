//! What the leader and its view of the machines need to see besides their own state.

use std::collections::BTreeMap;

use crate::config::{NodeInfo, Settings, StoreLimits};
use crate::model::{JobId, MonotonicTime, WallTime};
use crate::replica::Replica;
use crate::resources::MachineCatalog;
use crate::shard::CompletedTasks;

/// What the leader needs to see besides its own state.
pub struct ClusterView<'a> {
    /// Now.
    pub now: MonotonicTime,
    /// Time of day.
    pub wall: WallTime,
    /// The replica.
    pub replica: &'a Replica,
    /// When the replica was last known to be current.
    pub synced: MonotonicTime,
    /// Milliseconds for which the store has served this node without a break.
    pub served_for: u64,
    /// Machine types.
    pub catalog: &'a MachineCatalog,
    /// Tasks that completed and are not on record yet.
    pub completed_tasks: &'a BTreeMap<JobId, CompletedTasks>,
    /// Settings.
    pub settings: &'a Settings,
    /// Limits of the state service that writes keep to.
    pub limits: &'a StoreLimits,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
}
