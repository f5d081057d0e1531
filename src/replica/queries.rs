//! What the replica answers.

use rustc_hash::FxHashSet;

use crate::model::{MachineId, NodeId, TaskId};
use crate::wire::{self, Condition};

use super::{
    CAPABILITY_CANCELLATION_NOTICE, CAPABILITY_GANGS, CAPABILITY_GRANTS_AHEAD, CAPABILITY_STANDBY,
    LEADER_KEY, LOAD_KEY, MACHINE_TYPES_KEY, Replica,
};

impl Replica {
    /// All machine types on record.
    pub fn all_machine_types(&self) -> Option<wire::MachineTypes> {
        let (first, _) = self.catalog.as_ref()?;
        let more = self.further_machine_types.values().flat_map(|f| &f.machine_types);
        Some(wire::MachineTypes {
            machine_types: first.machine_types.iter().chain(more).cloned().collect(),
        })
    }

    /// Whether a controller that is up knows gangs.
    pub fn knows_gangs(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|(m, _)| m.capabilities >= CAPABILITY_GANGS)
    }

    /// Whether a controller starts what is granted ahead.
    pub fn starts_ahead(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|(m, _)| m.capabilities >= CAPABILITY_GRANTS_AHEAD)
    }

    /// Whether a controller can be told of cancellations directly. One that the store refuses is
    /// no member for a while, and needs it most.
    pub fn reads_cancellation_notices(&self, node: NodeId) -> bool {
        self.last_capabilities.get(&node).is_some_and(|s| *s >= CAPABILITY_CANCELLATION_NOTICE)
    }

    /// Whether a controller can be asked when it heard the leader.
    pub fn knows_standby(&self, node: NodeId) -> bool {
        self.last_capabilities.get(&node).is_some_and(|s| *s >= CAPABILITY_STANDBY)
    }

    /// Whether a task may be started as far as its job is concerned.
    pub fn may_run(&self, task: TaskId) -> bool {
        self.jobs
            .get(&task.job)
            .is_some_and(|j| task.index < j.spec.task_count && !j.is_done(task.index))
    }

    /// Whether a task's outcome no longer matters: its job has ended or it is durably done.
    pub fn is_outcome_recorded(&self, task: TaskId) -> bool {
        self.ended.contains_key(&task.job)
            || self.jobs.get(&task.job).is_some_and(|j| j.is_done(task.index))
    }

    /// Whether a machine may be given tasks: it is durably known to be up and not gone.
    pub fn machine_known(&self, id: &MachineId) -> bool {
        self.machines.get(id).is_some_and(|m| m.up && m.gone.is_none())
    }

    /// Whether a machine is known to be gone.
    pub fn machine_gone(&self, id: &MachineId) -> bool {
        self.machines.get(id).is_some_and(|m| m.gone.is_some())
    }

    /// The condition that a node still leads as it did.
    pub fn leader_condition(&self) -> Option<Condition> {
        let (_, version) = self.leader.as_ref()?;
        Some(Condition { key: LEADER_KEY.into(), version: *version })
    }

    /// The condition that a key which the leader writes is as it is known here: so a transaction
    /// that is carried out late, or once more, never puts an older value back.
    pub fn unchanged(&self, key: &str) -> Condition {
        let number = |kind: &str| key.strip_prefix(kind).and_then(|n| n.parse::<u32>().ok());
        let version = match key {
            LOAD_KEY => self.load.as_ref().map(|l| l.1),
            MACHINE_TYPES_KEY => self.catalog.as_ref().map(|f| f.1),
            _ => number("m/")
                .and_then(|n| self.groups.get(&n).map(|g| g.1))
                .or_else(|| number("e/").and_then(|n| self.epochs.get(&n).map(|e| e.1))),
        };
        Condition { key: key.into(), version: version.unwrap_or_default() }
    }

    /// Tasks that any earlier epoch granted and that are not done: they may be running.
    pub fn granted_before(&self) -> FxHashSet<TaskId> {
        let mut tasks = FxHashSet::default();
        for (record, _) in self.epochs.values() {
            for (job, ranges) in &record.granted {
                let ids = ranges.iter().map(|index| TaskId { job: *job, index });
                tasks.extend(ids.filter(|t| self.may_run(*t)));
            }
        }
        tasks
    }
}
