//! What an epoch is worked out from.

use crate::cluster_view::ClusterView;
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{MachineId, NodeId};
use crate::placement::PlacementTarget;

/// What an epoch is worked out from. None of it changes meanwhile.
#[derive(Clone, Copy)]
pub(super) struct EpochInputs<'a> {
    /// Time, the replica and settings.
    pub(super) cluster: &'a ClusterView<'a>,
    /// The machines and their owners.
    pub(super) fleet: &'a Fleet,
    /// Tasks on reconciled machines.
    pub(super) on_machines: &'a TasksOnMachines<'a>,
}

impl EpochInputs<'_> {
    /// The controller that owns a machine.
    pub(super) fn owner(&self, machine: &MachineId) -> Option<NodeId> {
        self.fleet.owners.get(machine).map(|owned| owned.owner)
    }

    /// Whether the machine's owner looks after gangs. One that does not know them would not keep its
    /// tasks of a gang together with the others.
    pub(super) fn owner_knows_gangs(&self, target: &PlacementTarget) -> bool {
        self.owner(&target.id).is_some_and(|owner| self.cluster.replica.supports_gangs(owner))
    }
}
