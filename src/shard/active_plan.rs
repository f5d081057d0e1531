//! The newest plan that a shard has applied: the tasks it may start, the gangs it stops and the machines it
//! may use.

use std::collections::HashSet;

use crate::model::{Attempt, MachineId, PlanSeq, TaskId, Term};
use crate::peer::{GangStop, Grant, PlanBody};

/// The newest applied plan and the term of its leader.
#[derive(Clone, Debug)]
pub(super) struct ActivePlan {
    /// Term of the leader that made the plan.
    pub(super) term: Term,
    /// Sequence number of the plan; 0 before the first plan of the term.
    pub(super) seq: PlanSeq,
    grants: Vec<Grant>,
    /// Grants that become usable when other tasks release their resources.
    grants_awaiting_release: Vec<Grant>,
    slow: Vec<MachineId>,
    /// Sorted, for binary search.
    reserved: Vec<MachineId>,
    stops: Vec<GangStop>,
    drained: HashSet<MachineId>,
    /// Attempts of the gangs in `grants`.
    gang_attempts: HashSet<Attempt>,
}

impl ActivePlan {
    /// The state before the first plan of a term: nothing is granted or stopped.
    pub(super) fn empty(term: Term) -> Self {
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

    /// Creates the active plan from the body of plan `seq`.
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

    /// Grants that are usable on free capacity.
    pub(super) fn grants(&self) -> &[Grant] {
        &self.grants
    }

    /// Grants that become usable when other tasks release their resources.
    pub(super) fn grants_awaiting_release(&self) -> &[Grant] {
        &self.grants_awaiting_release
    }

    /// Whether tasks run slowly on a machine, which is therefore used last.
    pub(super) fn is_slow(&self, machine: &MachineId) -> bool {
        self.slow.contains(machine)
    }

    /// Whether a machine is reserved for gangs and for work that may not use spot machines.
    pub(super) fn is_reserved(&self, machine: &MachineId) -> bool {
        self.reserved.binary_search(machine).is_ok()
    }

    /// Whether a machine accepts no new tasks.
    pub(super) fn is_drained(&self, machine: &MachineId) -> bool {
        self.drained.contains(machine)
    }

    /// Returns the stop of a gang's attempt, if the attempt is being stopped.
    pub(super) fn stop_of(&self, task: TaskId, attempt: Attempt) -> Option<&GangStop> {
        self.stops.iter().find(|s| s.job == task.job.0 && attempt < s.before)
    }

    /// Whether the plan contains a stop that `previous` does not contain.
    pub(super) fn has_new_stops(&self, previous: &ActivePlan) -> bool {
        self.stops.iter().any(|s| !previous.stops.contains(s))
    }

    /// Whether the plan grants a gang with this attempt.
    pub(super) fn grants_gang_attempt(&self, attempt: Attempt) -> bool {
        self.gang_attempts.contains(&attempt)
    }

    /// Whether the plan grants any gang.
    pub(super) fn has_gang_grants(&self) -> bool {
        !self.gang_attempts.is_empty()
    }
}
