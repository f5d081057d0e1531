//! Selection of the tasks that a machine has to kill. Every controller kills the tasks of a cancelled job,
//! whoever owns the machine.

use super::Shard;
use super::machine::Machine;
use crate::model::{Attempt, JobId, MachineId, TaskId};
use crate::replica::Replica;
use crate::wire::{JobState, TaskState, TaskStatus, WorkerCommand};

/// Whether a job is durably cancelled.
pub(super) fn is_cancelled(replica: &Replica, job: JobId) -> bool {
    replica.ended.get(&job).is_some_and(|end| end.state == JobState::Cancelled)
}

impl Shard {
    /// Returns kills for those of `tasks` that have to end on a machine.
    pub(super) fn kills(
        &self,
        replica: &Replica,
        machine: &MachineId,
        tasks: &[TaskStatus],
    ) -> Vec<WorkerCommand> {
        tasks
            .iter()
            .filter(|status| status.state != TaskState::Exited)
            .filter_map(|status| self.kill_for(replica, machine, status.task, status.attempt))
            .collect()
    }

    /// Returns a kill if a task has to end: its job was cancelled, its outcome is already recorded, or its
    /// gang is being stopped.
    pub(super) fn kill_for(
        &self,
        replica: &Replica,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
    ) -> Option<WorkerCommand> {
        let plan = &self.term_state.plan;
        let (grace_ms, why) = match plan.stop_of(task, attempt) {
            _ if is_cancelled(replica, task.job) => (0, "its job is cancelled"),
            _ if replica.is_outcome_recorded(task) => (0, "it is done"),
            Some(stop) => (stop.grace_ms, "its gang is being stopped"),
            None => return None,
        };
        tracing::debug!(
            %task, %machine, %attempt, why, term = %plan.term, plan = plan.seq.0, "issued kill"
        );
        let grace_s = grace_ms as f64 / 1000.0;
        Some(WorkerCommand::Kill { task, attempt, grace_s })
    }

    /// Queues kills for the machines of this shard that have tasks of cancelled jobs, without waiting for
    /// heartbeats.
    pub fn queue_cancellation_kills(&mut self, jobs: &[JobId]) {
        self.queue_kills(|_, machine| machine.tasks.keys().any(|task| jobs.contains(&task.job)));
    }

    /// Queues kills for the machines of this shard that have tasks of gangs that are being stopped.
    pub(super) fn queue_gang_kills(&mut self) {
        self.queue_kills(|shard, machine| {
            let plan = &shard.term_state.plan;
            machine.tasks.iter().any(|(task, held)| plan.stop_of(*task, held.attempt).is_some())
        });
    }

    fn queue_kills(&mut self, needs_kills: impl Fn(&Shard, &Machine) -> bool) {
        let machines: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, machine)| needs_kills(self, machine))
            .map(|(id, _)| id.clone())
            .collect();
        self.kills_due.extend(machines);
    }
}
