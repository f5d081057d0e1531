//! Read-only inputs of the leader and its [`crate::fleet`], besides their own state.
//!
//! A view is created for one step of the leader and borrows from its [`crate::controller::Controller`]. All parts of
//! the step therefore see the same time, replica and settings.

use std::collections::BTreeMap;

use crate::config::{NodeInfo, Settings, StoreLimits};
use crate::model::{JobId, MonotonicTime, WallTime};
use crate::replica::Replica;
use crate::resources::MachineCatalog;
use crate::shard::CompletedTasks;

/// Read-only inputs of one step of the leader.
pub struct ClusterView<'a> {
    /// Time of the step, by the monotonic clock.
    pub now: MonotonicTime,
    /// Time of the step, by the wall clock.
    pub wall: WallTime,
    /// Local replica of the state store's records.
    pub replica: &'a Replica,
    /// Latest time at which the replica was known to be current; 0 if it never was.
    pub synced_at: MonotonicTime,
    /// Milliseconds for which the state store has answered this controller without a break.
    pub served_for_ms: u64,
    /// Machine types of the cloud, by name.
    pub catalog: &'a MachineCatalog,
    /// Tasks that completed on this controller's shard and whose completion is not yet recorded in the state store,
    /// by job.
    pub completed_tasks: &'a BTreeMap<JobId, CompletedTasks>,
    /// Settings of the deployment.
    pub settings: &'a Settings,
    /// Limits of the state store that writes respect now. They fall below the limits in `settings` when the store
    /// rejects a write that respects the settings.
    pub limits: &'a StoreLimits,
    /// All controllers, indexed by [`crate::model::NodeId`].
    pub nodes: &'a [NodeInfo],
}
