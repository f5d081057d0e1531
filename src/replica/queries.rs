//! Queries on the replica: capabilities of controllers, runnable tasks, running machines, and
//! conditions of transactions.

use rustc_hash::FxHashSet;

use crate::model::{MachineId, NodeId, TaskId};
use crate::wire::{Condition, JobState};

use super::{
    CAPABILITY_CANCELLATION_ACKNOWLEDGEMENT, CAPABILITY_CANCELLATION_NOTICE, CAPABILITY_GANGS,
    CAPABILITY_GRANTS_AHEAD, CAPABILITY_STANDBY, LEADER_KEY, Replica, StoreKey,
};

impl Replica {
    /// Whether a controller that is up supports gangs.
    pub fn supports_gangs(&self, node: NodeId) -> bool {
        self.member_supports(node, CAPABILITY_GANGS)
    }

    /// Whether a controller that is up starts tasks granted before their resources are released.
    pub fn supports_grants_ahead(&self, node: NodeId) -> bool {
        self.member_supports(node, CAPABILITY_GRANTS_AHEAD)
    }

    /// Whether a controller can be sent cancellation notices. The last known capabilities count,
    /// because a controller refused by the store is temporarily not a member and needs the notices
    /// most.
    pub fn supports_cancellation_notices(&self, node: NodeId) -> bool {
        self.last_supported(node, CAPABILITY_CANCELLATION_NOTICE)
    }

    /// Whether a controller acknowledges cancellations and starts no tasks while its member key is
    /// absent. The last known capabilities count, as for cancellation notices.
    pub fn supports_cancellation_acknowledgements(&self, node: NodeId) -> bool {
        self.last_supported(node, CAPABILITY_CANCELLATION_ACKNOWLEDGEMENT)
    }

    /// Whether a controller can be asked how long the leader has been silent to it. The last known
    /// capabilities count, as for cancellation notices.
    pub fn supports_standby(&self, node: NodeId) -> bool {
        self.last_supported(node, CAPABILITY_STANDBY)
    }

    fn member_supports(&self, node: NodeId, capability: u32) -> bool {
        self.members.get(&node).is_some_and(|member| member.value.capabilities >= capability)
    }

    fn last_supported(&self, node: NodeId, capability: u32) -> bool {
        self.last_capabilities.get(&node).is_some_and(|last| *last >= capability)
    }

    /// Whether the state of a task's job allows the task to start: the job has not ended, and the
    /// task is part of the job and not done.
    pub fn may_run(&self, task: TaskId) -> bool {
        self.jobs
            .get(&task.job)
            .is_some_and(|job| task.index < job.spec.task_count && !job.is_done(task.index))
    }

    /// Whether a task is durably done.
    pub fn is_done(&self, task: TaskId) -> bool {
        match self.jobs.get(&task.job) {
            Some(job) => job.is_done(task.index),
            None => self.ended.get(&task.job).is_some_and(|end| end.state == JobState::Done),
        }
    }

    /// Whether a task's outcome no longer matters: its job has ended, or the task is durably done.
    pub fn is_outcome_recorded(&self, task: TaskId) -> bool {
        self.ended.contains_key(&task.job) || self.is_done(task)
    }

    /// Returns the tasks that the leader's earlier scheduling rounds (epochs) granted and that are
    /// not done, so they may be running.
    pub fn unfinished_granted_tasks(&self) -> FxHashSet<TaskId> {
        let mut tasks = FxHashSet::default();
        for (job, ranges) in self.epochs.values().flat_map(|epoch| &epoch.value.granted) {
            let granted = ranges.iter().map(|index| TaskId { job: *job, index });
            tasks.extend(granted.filter(|task| self.may_run(*task)));
        }
        tasks
    }

    /// Whether a machine may receive tasks: it is durably recorded as up and not as terminated.
    pub fn is_machine_up(&self, id: &MachineId) -> bool {
        self.machines.get(id).is_some_and(|machine| machine.up && machine.terminated_at.is_none())
    }

    /// Whether a machine is durably recorded as terminated.
    pub fn is_machine_gone(&self, id: &MachineId) -> bool {
        self.machines.get(id).is_some_and(|machine| machine.terminated_at.is_some())
    }

    /// Returns the condition that the known leader record is unchanged; `None` without a leader.
    pub fn leader_condition(&self) -> Option<Condition> {
        let version = self.leader.as_ref()?.version;
        Some(Condition { key: LEADER_KEY.into(), version })
    }

    /// Returns the condition that a key written by the leader has the version known here. It
    /// prevents a transaction that is executed late or twice from restoring an older value.
    pub fn unchanged_condition(&self, key: &str) -> Condition {
        let version = match StoreKey::parse(key) {
            Some(StoreKey::Load) => self.load.as_ref().map(|load| load.version),
            Some(StoreKey::MachineTypes) => self.catalog.as_ref().map(|catalog| catalog.version),
            Some(StoreKey::MachineGroup(group)) => self.machine_groups.version(group),
            Some(StoreKey::Epoch(n)) => self.epochs.get(&n).map(|epoch| epoch.version),
            _ => None,
        };
        Condition { key: key.into(), version: version.unwrap_or_default() }
    }
}
