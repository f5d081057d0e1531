//! Where the tasks of gangs are: on machines, on their way there, or unaccounted for.

use std::collections::BTreeMap;

use super::inputs::EpochInputs;
use super::task_grants::TaskGrants;
use crate::model::{JobId, MonotonicTime, TaskId};
use crate::wire::{JobKind, TaskState};

/// Where a gang's tasks are.
pub(super) struct GangPresence {
    /// Tasks on machines.
    pub(super) on_machines: u32,
    /// Those of them that run or save a checkpoint.
    pub(super) running: u32,
    /// Granted tasks that no machine shows.
    pub(super) under_way: u32,
    /// Revoked tasks that no machine shows and whose end is not confirmed.
    pub(super) revoked: u32,
    /// Tasks of earlier terms that may be running anywhere.
    pub(super) unresolved: u32,
    /// A worker had shown one of its tasks, and that is nowhere now.
    pub(super) lost: bool,
    /// When the cloud takes the first of its machines.
    pub(super) machine_leaves: Option<MonotonicTime>,
    /// All its machines reported lately.
    pub(super) machines_heard: bool,
}

impl GangPresence {
    /// A gang that is nowhere.
    fn nowhere() -> Self {
        GangPresence {
            on_machines: 0,
            running: 0,
            under_way: 0,
            revoked: 0,
            unresolved: 0,
            lost: false,
            machine_leaves: None,
            machines_heard: true,
        }
    }

    /// Whether nothing of it is or may be anywhere.
    pub(super) fn is_empty(&self) -> bool {
        self.on_machines + self.under_way + self.revoked + self.unresolved == 0
    }

    /// Whether all of its `task_count` tasks are on machines or on their way there.
    pub(super) fn is_whole(&self, task_count: u32) -> bool {
        self.on_machines + self.under_way == task_count && self.revoked == 0 && !self.lost
    }
}

impl TaskGrants {
    /// Where the tasks of all open gangs are.
    pub(super) fn gang_presence(&self, inputs: &EpochInputs<'_>) -> BTreeMap<JobId, GangPresence> {
        let jobs = inputs.cluster.replica.jobs.iter();
        let mut gangs: BTreeMap<JobId, GangPresence> = jobs
            .filter(|(_, job)| job.spec.kind == JobKind::Gang)
            .map(|(id, _)| (*id, GangPresence::nowhere()))
            .collect();
        if gangs.is_empty() {
            return gangs;
        }
        count_on_machines(inputs, &mut gangs);
        let not_shown = |task: &&TaskId| !inputs.on_machines.contains_key(*task);
        for (task, grant) in self.granted.iter().filter(|(task, _)| not_shown(task)) {
            if let Some(gang) = gangs.get_mut(&task.job) {
                gang.under_way += 1;
                gang.lost |= grant.seen;
            }
        }
        for task in self.revoked.keys().filter(not_shown) {
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

/// Counts tasks on machines, and how these machines stand.
fn count_on_machines(inputs: &EpochInputs<'_>, gangs: &mut BTreeMap<JobId, GangPresence>) {
    let EpochInputs { cluster, fleet, on_machines } = inputs;
    let silent_ms = cluster.settings.timing().unavailable_after_ms;
    for (task, seen) in on_machines.iter() {
        let Some(gang) = gangs.get_mut(&task.job) else { continue };
        gang.on_machines += 1;
        let runs = matches!(seen.state, TaskState::Running | TaskState::SavingCheckpoint);
        gang.running += u32::from(runs);
        gang.machine_leaves = match (gang.machine_leaves, fleet.preempted_at(&seen.machine.id)) {
            (Some(first), Some(other)) => Some(first.min(other)),
            (first, other) => first.or(other),
        };
        gang.machines_heard &=
            fleet.sent_heartbeat_within(cluster.now, &seen.machine.id, silent_ms);
    }
}
