//! Completed tasks whose outcome may not be on record yet.

use super::Shard;
use crate::model::{JobId, MonotonicTime, Ranges, TaskId};
use crate::replica::Replica;
use crate::wire::{ExitReason, Heartbeat, JobKind, TaskState};

/// Completed tasks of a job that are not known to be on record yet.
#[derive(Clone, Debug, Default)]
pub struct CompletedTasks {
    /// The tasks.
    pub tasks: Ranges,
    /// When the first of them was heard of.
    pub since: MonotonicTime,
}

impl Shard {
    pub(super) fn record_completions(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        heartbeat: &Heartbeat,
    ) {
        for p in &heartbeat.tasks {
            if p.state == TaskState::Exited && p.exit_reason == Some(ExitReason::Done) {
                self.record_completion(now, replica, p.task);
            }
        }
    }

    /// Notes a task that completed; if it is of a gang, all of its tasks did.
    pub fn record_completion(&mut self, now: MonotonicTime, replica: &Replica, task: TaskId) {
        let Some(job) = replica.jobs.get(&task.job) else { return };
        let gang = job.spec.kind == JobKind::Gang;
        if !gang && !replica.may_run(task) || task.index >= job.spec.task_count {
            return;
        }
        let f = self
            .completed_tasks
            .entry(task.job)
            .or_insert_with(|| CompletedTasks { tasks: Ranges::default(), since: now });
        if !gang {
            self.summary_due |= f.tasks.insert(task.index);
        } else if f.tasks.len() < job.spec.task_count {
            f.tasks = Ranges::span(0, job.spec.task_count);
            self.summary_due = true;
        }
    }

    /// Takes completions that another controller heard of.
    pub fn merge_completions(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        completed_tasks: &[(u64, Ranges)],
    ) {
        for (job, tasks) in completed_tasks {
            for index in tasks.iter() {
                self.record_completion(now, replica, TaskId { job: JobId(*job), index });
            }
        }
    }

    /// Forgets finished tasks that are durable by now and faults of jobs that have ended.
    pub fn tidy(&mut self, replica: &Replica) {
        self.completed_tasks.retain(|job, f| {
            let open = |i: &u32| replica.may_run(TaskId { job: *job, index: *i });
            if !f.tasks.iter().all(|i| open(&i)) {
                f.tasks = f.tasks.iter().filter(open).collect();
            }
            !f.tasks.is_empty()
        });
        self.job_faults.retain(|job, _| replica.jobs.contains_key(job));
    }
}
