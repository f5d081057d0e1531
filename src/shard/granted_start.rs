//! Starts that a plan permits, and the kinds of machines by which the priorities of starts are compared.

use std::rc::Rc;

use super::active_plan::ActivePlan;
use crate::model::{Attempt, PlanSeq, TaskId, Term};
use crate::placement::PlacementTarget;

/// Machines that are equivalent with respect to which jobs may use them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineKind {
    pub(super) machine_type: Rc<str>,
    pub(super) zone: Rc<str>,
    pub(super) spot: bool,
}

impl MachineKind {
    pub(super) fn of(target: &PlacementTarget) -> Self {
        MachineKind {
            machine_type: target.machine_type.clone(),
            zone: target.zone.clone(),
            spot: target.spot,
        }
    }
}

/// The basis on which a task was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantKind {
    /// A machine had free capacity for the task.
    WithRoom,
    /// The task awaits the release of resources by another task.
    AwaitingRelease,
    /// The task belongs to a gang, whose tasks share one attempt.
    Gang,
}

/// A task to start, and the grant that permits the start.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedStart {
    pub(super) task: TaskId,
    /// The attempt shared by all tasks of a gang; `None` if the shard allocates one.
    pub(super) attempt: Option<Attempt>,
    /// Term of the plan that granted the task.
    pub(super) term: Term,
    pub(super) plan: PlanSeq,
    pub(super) kind: GrantKind,
}

impl GrantedStart {
    /// Creates the start of a task for which a machine has free capacity. A grant with an attempt belongs to
    /// a gang.
    pub(super) fn with_room(plan: &ActivePlan, task: TaskId, attempt: Option<Attempt>) -> Self {
        let kind = if attempt.is_some() { GrantKind::Gang } else { GrantKind::WithRoom };
        GrantedStart { task, attempt, term: plan.term, plan: plan.seq, kind }
    }

    /// Creates the start of a task that is granted ahead of the release of the resources it needs.
    pub(super) fn awaiting_release(plan: &ActivePlan, task: TaskId) -> Self {
        let kind = GrantKind::AwaitingRelease;
        GrantedStart { task, attempt: None, term: plan.term, plan: plan.seq, kind }
    }
}
