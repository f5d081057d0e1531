//! What may start on the word of a plan, and the kinds of machines that starts are weighed by.

use std::rc::Rc;

use super::active_plan::ActivePlan;
use crate::model::{Attempt, PlanSeq, TaskId, Term};
use crate::placement::PlacementTarget;

/// Machines that the same jobs may use.
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

/// How a grant came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantKind {
    /// A machine had room for it.
    WithRoom,
    /// It awaits the release of resources by another task.
    AwaitingRelease,
    /// All tasks of a gang share its attempt.
    Gang,
}

/// A task that is to start, with the grant that allows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedStart {
    pub(super) task: TaskId,
    /// The attempt that all tasks of a gang share; `None` if the shard gives out one.
    pub(super) attempt: Option<Attempt>,
    /// The term of the plan that granted it.
    pub(super) term: Term,
    pub(super) plan: PlanSeq,
    pub(super) kind: GrantKind,
}

impl GrantedStart {
    /// The start of a task where there is room; of a gang's task if the grant has an attempt.
    pub(super) fn with_room(plan: &ActivePlan, task: TaskId, attempt: Option<Attempt>) -> Self {
        let kind = if attempt.is_some() { GrantKind::Gang } else { GrantKind::WithRoom };
        GrantedStart { task, attempt, term: plan.term, plan: plan.seq, kind }
    }

    /// The start of a task that is granted ahead of the release of the resources it needs.
    pub(super) fn awaiting_release(plan: &ActivePlan, task: TaskId) -> Self {
        let kind = GrantKind::AwaitingRelease;
        GrantedStart { task, attempt: None, term: plan.term, plan: plan.seq, kind }
    }
}
