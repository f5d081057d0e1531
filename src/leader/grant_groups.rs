//! Groups of similar grants. Plans list grants by group, and placement deducts them by group.

use super::task_grants::TaskGrant;
use crate::model::{Attempt, JobId, NodeId, TaskId};

/// Properties that grants of one job have in common. Groups are visited in the order of these fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GrantGroup<'a> {
    /// The controller that starts the tasks.
    pub(super) node: NodeId,
    /// The job.
    pub(super) job: JobId,
    /// The zone of the tasks; set for jobs with a zone constraint.
    pub(super) zone: Option<&'a str>,
    /// The attempt of all tasks; set for gangs.
    pub(super) attempt: Option<Attempt>,
    /// Whether the tasks wait for resources that other tasks are expected to release.
    pub(super) awaits_release: bool,
}

impl<'a> GrantGroup<'a> {
    /// Returns the group of a grant.
    pub(super) fn of(task: &TaskId, grant: &'a TaskGrant) -> Self {
        GrantGroup {
            node: grant.node,
            job: task.job,
            zone: grant.zone.as_deref(),
            attempt: grant.attempt,
            awaits_release: grant.awaits_release,
        }
    }
}
