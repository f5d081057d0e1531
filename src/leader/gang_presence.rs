//! Counts of where the tasks of gangs are: on machines, granted and not yet on a machine, revoked, or
//! unresolved.

use std::collections::BTreeMap;

use super::inputs::EpochInputs;
use super::task_grants::TaskGrants;
use crate::model::{JobId, MonotonicTime, TaskId};
use crate::wire::{JobKind, TaskState};

/// Where the tasks of one gang are, and the state of their machines.
pub(super) struct GangPresence {
    /// Tasks on reconciled machines.
    pub(super) on_machines: u32,
    /// Tasks on reconciled machines that run or save a checkpoint.
    pub(super) running: u32,
    /// Granted tasks that no reconciled machine reports.
    pub(super) starting: u32,
    /// Revoked tasks that no reconciled machine reports and whose revocation is not confirmed.
    pub(super) revoked: u32,
    /// Tasks granted by earlier terms that may be running on any unreconciled machine.
    pub(super) unresolved: u32,
    /// Whether no reconciled machine reports a granted task that a worker had reported before.
    pub(super) task_lost: bool,
    /// When the cloud preempts the first of the machines; `None` without a notice.
    pub(super) first_preemption: Option<MonotonicTime>,
    /// Whether every machine sent a heartbeat within `unavailable_after_ms`.
    pub(super) all_machines_responsive: bool,
}

impl GangPresence {
    /// Returns a gang without any task on a machine, granted or unresolved.
    fn absent() -> Self {
        GangPresence {
            on_machines: 0,
            running: 0,
            starting: 0,
            revoked: 0,
            unresolved: 0,
            task_lost: false,
            first_preemption: None,
            all_machines_responsive: true,
        }
    }

    /// Returns whether none of the tasks is or may be on a machine.
    pub(super) fn is_empty(&self) -> bool {
        self.on_machines + self.starting + self.revoked + self.unresolved == 0
    }

    /// Returns whether all `task_count` tasks are on machines or granted, and none is lost or
    /// revoked.
    pub(super) fn is_complete(&self, task_count: u32) -> bool {
        self.on_machines + self.starting == task_count && self.revoked == 0 && !self.task_lost
    }
}

impl TaskGrants {
    /// Returns where the tasks of each open gang are.
    pub(super) fn gang_presence(&self, inputs: &EpochInputs<'_>) -> BTreeMap<JobId, GangPresence> {
        let jobs = inputs.cluster.replica.jobs.iter();
        let mut gangs: BTreeMap<JobId, GangPresence> = jobs
            .filter(|(_, job)| job.spec.kind == JobKind::Gang)
            .map(|(id, _)| (*id, GangPresence::absent()))
            .collect();
        if gangs.is_empty() {
            return gangs;
        }
        count_on_machines(inputs, &mut gangs);
        let not_on_machine = |task: &&TaskId| !inputs.on_machines.contains_key(*task);
        for (task, grant) in self.granted.iter().filter(|(task, _)| not_on_machine(task)) {
            if let Some(gang) = gangs.get_mut(&task.job) {
                gang.starting += 1;
                gang.task_lost |= grant.reported;
            }
        }
        for task in self.revoked.keys().filter(not_on_machine) {
            if let Some(gang) = gangs.get_mut(&task.job) {
                gang.revoked += 1;
            }
        }
        for task in &self.unresolved {
            if let Some(gang) = gangs.get_mut(&task.job) {
                gang.unresolved += 1;
            }
        }
        gangs
    }
}

/// Counts the tasks on reconciled machines, and adds the state of these machines.
fn count_on_machines(inputs: &EpochInputs<'_>, gangs: &mut BTreeMap<JobId, GangPresence>) {
    let EpochInputs { cluster, fleet, on_machines } = inputs;
    let unavailable_after_ms = cluster.settings.timing().unavailable_after_ms;
    for (task, observed) in on_machines.iter() {
        let Some(gang) = gangs.get_mut(&task.job) else { continue };
        gang.on_machines += 1;
        let is_running = matches!(observed.state, TaskState::Running | TaskState::SavingCheckpoint);
        gang.running += u32::from(is_running);
        gang.first_preemption =
            match (gang.first_preemption, fleet.preempted_at(&observed.machine.id)) {
                (Some(first), Some(other)) => Some(first.min(other)),
                (first, other) => first.or(other),
            };
        gang.all_machines_responsive &=
            fleet.sent_heartbeat_within(cluster.now, &observed.machine.id, unavailable_after_ms);
    }
}
