//! What may start on the word of a plan.

use std::rc::Rc;

use super::active_plan::ActivePlan;
use crate::model::{Attempt, PlanSeq, TaskId, Term};

/// A type of machines, a zone, and whether they are spot machines.
pub(super) type MachineKind = (Rc<str>, Rc<str>, bool);

/// A task that is to start, with the grant that allows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedStart {
    pub(super) task: TaskId,
    /// The attempt that all tasks of a gang share.
    pub(super) attempt: Option<Attempt>,
    /// The term and the number of the plan that granted it.
    pub(super) term: Term,
    pub(super) plan: PlanSeq,
    pub(super) kind: GrantKind,
}

impl GrantedStart {
    pub(super) fn of(
        plan: &ActivePlan,
        task: TaskId,
        attempt: Option<Attempt>,
        ahead: bool,
    ) -> Self {
        let kind = match (attempt, ahead) {
            (Some(_), _) => GrantKind::Gang,
            (None, true) => GrantKind::Ahead,
            (None, false) => GrantKind::WithRoom,
        };
        GrantedStart { task, attempt, term: plan.term, plan: plan.seq, kind }
    }
}

/// How a grant came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantKind {
    /// A machine had room for it.
    WithRoom,
    /// It waits for a place that another task is about to leave.
    Ahead,
    /// All tasks of a gang share its attempt.
    Gang,
}
