//! Inputs of an epoch.

use crate::cluster_view::ClusterView;
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{MachineId, NodeId};
use crate::placement::PlacementTarget;

/// Inputs of an epoch. None of them changes during the epoch.
#[derive(Clone, Copy)]
pub(super) struct EpochInputs<'a> {
    /// Time, the records of the state service, and the settings.
    pub(super) cluster: &'a ClusterView<'a>,
    /// The machines and their owners.
    pub(super) fleet: &'a Fleet,
    /// Tasks on reconciled machines.
    pub(super) on_machines: &'a TasksOnMachines<'a>,
}

impl EpochInputs<'_> {
    /// Returns the controller that owns a machine; `None` if no controller owns it.
    pub(super) fn owner(&self, machine: &MachineId) -> Option<NodeId> {
        self.fleet.owners.get(machine).map(|owned| owned.owner)
    }

    /// Returns whether the owner of a machine supports gangs. An owner without support would start and stop its
    /// tasks of a gang regardless of the gang's tasks on other shards.
    pub(super) fn owner_supports_gangs(&self, target: &PlacementTarget) -> bool {
        self.owner(&target.id).is_some_and(|owner| self.cluster.replica.supports_gangs(owner))
    }
}
