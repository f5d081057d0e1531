//! The newest plan that a shard follows: what it may start, stop and use.

use std::collections::HashSet;

use crate::model::{Attempt, MachineId, PlanSeq, TaskId, Term};
use crate::peer::{GangStop, Grant, PlanBody};

/// The newest plan that a shard follows, with the term of its leader.
#[derive(Clone, Debug)]
pub(super) struct ActivePlan {
    /// The term of the leader that made it.
    pub(super) term: Term,
    /// Its number; 0 before the first one of the term.
    pub(super) seq: PlanSeq,
    grants: Vec<Grant>,
    /// Grants that take effect once other tasks release their resources.
    grants_awaiting_release: Vec<Grant>,
    slow: Vec<MachineId>,
    /// Sorted.
    reserved: Vec<MachineId>,
    stops: Vec<GangStop>,
    drained: HashSet<MachineId>,
    /// The attempts of the gangs among the grants.
    gang_attempts: HashSet<Attempt>,
}

impl ActivePlan {
    /// Before the first plan of a term: nothing is granted or stopped.
    pub(super) fn none(term: Term) -> Self {
        ActivePlan {
            term,
            seq: PlanSeq(0),
            grants: Vec::new(),
            grants_awaiting_release: Vec::new(),
            slow: Vec::new(),
            reserved: Vec::new(),
            stops: Vec::new(),
            drained: HashSet::new(),
            gang_attempts: HashSet::new(),
        }
    }

    /// The plan of that number.
    pub(super) fn new(term: Term, seq: PlanSeq, body: PlanBody) -> Self {
        ActivePlan {
            term,
            seq,
            drained: body.drain.into_iter().collect(),
            gang_attempts: body.grants.iter().filter_map(|g| g.attempt).collect(),
            grants: body.grants,
            grants_awaiting_release: body.grants_awaiting_release,
            slow: body.slow,
            reserved: body.reserved,
            stops: body.stops,
        }
    }

    /// What may start where there is room.
    pub(super) fn grants(&self) -> &[Grant] {
        &self.grants
    }

    /// What may start as soon as other tasks leave room for it.
    pub(super) fn grants_awaiting_release(&self) -> &[Grant] {
        &self.grants_awaiting_release
    }

    /// Whether a machine is used last, as tasks run slow on it.
    pub(super) fn is_slow(&self, machine: &MachineId) -> bool {
        self.slow.contains(machine)
    }

    /// Whether a machine is reserved for gangs.
    pub(super) fn is_reserved(&self, machine: &MachineId) -> bool {
        self.reserved.binary_search(machine).is_ok()
    }

    /// Whether a machine takes nothing new.
    pub(super) fn is_drained(&self, machine: &MachineId) -> bool {
        self.drained.contains(machine)
    }

    /// The stop of a gang's attempt, if it is being stopped.
    pub(super) fn stop_of(&self, task: TaskId, attempt: Attempt) -> Option<&GangStop> {
        self.stops.iter().find(|s| s.job == task.job.0 && attempt < s.before)
    }

    /// Whether it has a stop that the previous plan did not have.
    pub(super) fn stops_more_than(&self, previous: &ActivePlan) -> bool {
        self.stops.iter().any(|s| !previous.stops.contains(s))
    }

    /// Whether it grants a gang with that attempt.
    pub(super) fn grants_gang(&self, attempt: Attempt) -> bool {
        self.gang_attempts.contains(&attempt)
    }

    /// Whether it grants any gang.
    pub(super) fn has_gangs(&self) -> bool {
        !self.gang_attempts.is_empty()
    }
}
