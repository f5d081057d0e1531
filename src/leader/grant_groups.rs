//! Grants that are alike, by which plans tell of them and placement counts them in.

use super::task_grants::TaskGrant;
use crate::model::{Attempt, JobId, NodeId, TaskId};

/// What grants of one job have in common. Groups are visited in the order of these fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GrantGroup<'a> {
    /// The controller.
    pub(super) node: NodeId,
    /// The job.
    pub(super) job: JobId,
    /// Set for jobs that are bound to zones.
    pub(super) zone: Option<&'a str>,
    /// Set for gangs.
    pub(super) attempt: Option<Attempt>,
    /// Whether the tasks wait for places that others are about to leave.
    pub(super) awaits_release: bool,
}

impl<'a> GrantGroup<'a> {
    /// The group of a grant.
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
