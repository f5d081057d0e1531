//! Which tasks are to end on a machine.

use super::Shard;
use crate::model::{Attempt, JobId, MachineId, TaskId};
use crate::replica::Replica;
use crate::wire::{JobState, TaskState, TaskStatus, WorkerCommand};

impl Shard {
    /// Kills for what is to end on a machine.
    pub(super) fn kills(
        &self,
        replica: &Replica,
        machine: &MachineId,
        tasks: &[TaskStatus],
    ) -> Vec<WorkerCommand> {
        let on = tasks.iter().filter(|p| p.state != TaskState::Exited);
        on.filter_map(|p| self.kill_for(replica, machine, p.task, p.attempt)).collect()
    }

    /// The kill for a task that is to end: its job was cancelled, it is durably done already, or it is of a gang that is
    /// being stopped.
    pub(super) fn kill_for(
        &self,
        replica: &Replica,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
    ) -> Option<WorkerCommand> {
        let plan = &self.term_state.plan;
        let (leeway_ms, why) = match plan.stop_of(task, attempt) {
            _ if is_cancelled(replica, task.job) => (0, "its job is cancelled"),
            _ if replica.is_outcome_recorded(task) => (0, "it is done"),
            Some(stop) => (stop.leeway_ms, "its gang is being stopped"),
            None => return None,
        };
        tracing::debug!(
            %task, %machine, %attempt, why, term = %plan.term, plan = plan.seq.0, "stops"
        );
        let grace_s = leeway_ms as f64 / 1000.0;
        Some(WorkerCommand::Kill { task, attempt, grace_s })
    }
}

pub(super) fn is_cancelled(replica: &Replica, job: JobId) -> bool {
    matches!(replica.ended.get(&job), Some((JobState::Cancelled, _)))
}
