//! Whether a submitted job can ever run.

use crate::model::Cores;
use crate::placement;
use crate::resources::Resources;
use crate::service::Service;
use crate::wire::{JobKind, JobSpec};

/// Whether a job can ever run, given the limits of its team and the machine types.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Feasibility {
    /// The job can run once machines are free.
    Feasible,
    /// The job can never run, for this reason, which the user is shown.
    Infeasible(&'static str),
    /// The machine types have not been loaded yet.
    Unknown,
}

impl Service {
    /// Determines whether a job can ever run.
    pub(super) fn feasibility(&self, spec: &JobSpec) -> Feasibility {
        let Some(team) = self.settings.team(&spec.team) else {
            return Feasibility::Infeasible("unknown team");
        };
        let controller = self.controller.borrow();
        if controller.catalog.is_empty() {
            return Feasibility::Unknown;
        }
        if !placement::can_ever_run(spec, &controller.catalog) {
            return Feasibility::Infeasible("a task fits no allowed machine type");
        }
        if !placement::zones_allow_all(spec, &controller.catalog) {
            return Feasibility::Infeasible(
                "its tasks can't all run at once in the zones it may use",
            );
        }
        // An array job may run its tasks one after the other.
        let min_concurrent_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Service | JobKind::Gang => u64::from(spec.task_count),
        };
        let need = Resources::of(spec);
        let exceeds = |limit: Option<Cores>, per_task: u64| {
            limit.is_some_and(|limit| per_task.saturating_mul(min_concurrent_tasks) > limit.0)
        };
        if exceeds(team.core_limit(), need.cores.0)
            || exceeds(team.accelerator_limit(), need.accelerators.0)
        {
            return Feasibility::Infeasible("beyond the team's limit");
        }
        Feasibility::Feasible
    }
}
