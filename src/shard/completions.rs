//! Completed tasks whose outcome may not be durable yet.
//!
//! A completion is final, whoever reports it and however late (`docs/safety.md`, "Durable before said"). A
//! task recorded here is not started again.

use super::Shard;
use crate::model::{JobId, MonotonicTime, TaskId, TaskRanges};
use crate::replica::Replica;
use crate::wire::{ExitReason, Heartbeat, JobKind, TaskState};

/// Completed tasks of a job that are not known to be recorded in the state store yet.
#[derive(Clone, Debug, Default)]
pub struct CompletedTasks {
    /// Indexes of the tasks.
    pub tasks: TaskRanges,
    /// Time at which the first of the tasks was reported, or of the latest attempt to record them in the
    /// store.
    pub since: MonotonicTime,
}

impl Shard {
    /// Records the tasks that a heartbeat shows as completed.
    pub(super) fn record_completions(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        heartbeat: &Heartbeat,
    ) {
        for status in &heartbeat.tasks {
            if status.state == TaskState::Exited && status.exit_reason == Some(ExitReason::Done) {
                self.record_completion(now, replica, status.task);
            }
        }
    }

    /// Records a completed task. A completed task of a gang means that all tasks of the gang completed.
    pub fn record_completion(&mut self, now: MonotonicTime, replica: &Replica, task: TaskId) {
        let Some(job) = replica.jobs.get(&task.job) else { return };
        let is_gang = job.spec.kind == JobKind::Gang;
        let task_count = job.spec.task_count;
        if !is_gang && !replica.may_run(task) || task.index >= task_count {
            return;
        }
        let completed = self
            .completed_tasks
            .entry(task.job)
            .or_insert_with(|| CompletedTasks { tasks: TaskRanges::default(), since: now });
        if !is_gang {
            self.summary_due |= completed.tasks.insert(task.index);
        } else if completed.tasks.len() < task_count {
            completed.tasks = TaskRanges::span(0, task_count);
            self.summary_due = true;
        }
    }

    /// Merges completions that another controller reports, given as job numbers with task indexes.
    pub fn merge_completions(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        completed_tasks: &[(u64, TaskRanges)],
    ) {
        for (job, tasks) in completed_tasks {
            for index in tasks.iter() {
                self.record_completion(now, replica, TaskId { job: JobId(*job), index });
            }
        }
    }

    /// Whether a task is neither durably done nor known to this controller to have completed.
    pub(super) fn is_incomplete(&self, replica: &Replica, task: TaskId) -> bool {
        let completed = self.completed_tasks.get(&task.job);
        replica.may_run(task) && !completed.is_some_and(|c| c.tasks.contains(task.index))
    }

    /// Removes completed tasks whose outcome is durable, and failure records of jobs that have ended.
    pub fn prune(&mut self, replica: &Replica) {
        self.completed_tasks.retain(|job, completed| {
            let is_open = |index: &u32| replica.may_run(TaskId { job: *job, index: *index });
            if !completed.tasks.iter().all(|index| is_open(&index)) {
                completed.tasks = completed.tasks.iter().filter(is_open).collect();
            }
            !completed.tasks.is_empty()
        });
        self.job_faults.retain(|job, _| replica.jobs.contains_key(job));
    }
}
