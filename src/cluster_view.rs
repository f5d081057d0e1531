//! What the leader and its fleet need to see besides their own state.
//!
//! A view is made for one step and borrows from its [`crate::controller::Controller`], so that all parts of a
//! step see the same time, replica and settings.

use std::collections::BTreeMap;

use crate::config::{NodeInfo, Settings, StoreLimits};
use crate::model::{JobId, MonotonicTime, WallTime};
use crate::replica::Replica;
use crate::resources::MachineCatalog;
use crate::shard::CompletedTasks;

/// What one step of the leader sees.
pub struct ClusterView<'a> {
    /// When the step takes place, by the monotonic clock.
    pub now: MonotonicTime,
    /// The same by the time of day.
    pub wall: WallTime,
    /// The records of the state service.
    pub replica: &'a Replica,
    /// When the replica was last known to be current; 0 if it never was.
    pub synced: MonotonicTime,
    /// Milliseconds for which the state service has served this controller without a break.
    pub served_for: u64,
    /// The cloud's machine types by name.
    pub catalog: &'a MachineCatalog,
    /// Tasks that completed on this controller's shard and are not on record yet.
    pub completed_tasks: &'a BTreeMap<JobId, CompletedTasks>,
    /// The settings of the deployment.
    pub settings: &'a Settings,
    /// Limits of the state service that writes keep to.
    pub limits: &'a StoreLimits,
    /// All controllers, by their place in [`crate::model::NodeId`].
    pub nodes: &'a [NodeInfo],
}
