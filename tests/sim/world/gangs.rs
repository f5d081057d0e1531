//! Gangs on the workers: their tasks start together, end together and save checkpoints.

use super::*;

impl World {
    /// Starts each gang when all tasks of an attempt wait on active machines. Ends the remaining tasks of a running
    /// gang that has been incomplete for [`GANG_LOSS_DETECTION_MS`] because a task has ended or its machine hangs.
    pub(super) fn step_gangs(&mut self) {
        let now = self.now;
        type OnWorker = (usize, TaskId, TaskState);
        let mut gangs: BTreeMap<(JobId, Attempt), Vec<OnWorker>> = BTreeMap::new();
        for (w, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.active(now)) {
            for (task, attempt, state) in worker.running_or_waiting_tasks() {
                let job = self.jobs.get(&task.job.0);
                if job.is_some_and(|j| j.kind == JobKind::Gang) {
                    gangs.entry((task.job, attempt)).or_default().push((w, task, state));
                }
            }
        }
        self.broken_gangs.retain(|g, _| gangs.contains_key(g));
        for ((job, attempt), tasks) in gangs {
            let task_count = self.jobs[&job.0].task_count as usize;
            let is_running = tasks.iter().any(|t| t.2 == TaskState::Running);
            if tasks.len() == task_count && !is_running {
                for (w, task, _) in tasks {
                    self.workers[w].run_gang_task(task, attempt, now + self.gang_run_ms, now);
                    self.gang_tasks_started += 1;
                }
            } else if tasks.len() < task_count
                && is_running
                && !self.completed.contains(&tasks[0].1)
            {
                let since = *self.broken_gangs.entry((job, attempt)).or_insert(now);
                if now - since >= GANG_LOSS_DETECTION_MS {
                    for (w, task, _) in tasks {
                        let changes = self.workers[w].stop_gang_task(task, attempt, now);
                        self.record_worker_changes(w, changes);
                    }
                }
            }
        }
    }

    /// Records when the tasks of a gang on worker `w` are commanded to save a checkpoint. All tasks of a gang have to
    /// receive the command within `gang_peer_s`, or nothing is saved.
    pub(super) fn record_checkpoint_commands(&mut self, w: usize) {
        let now = self.now;
        for (task, attempt) in self.workers[w].take_checkpoint_commands() {
            let first = *self.first_checkpoint_commands.entry((task.job, attempt)).or_insert(now);
            self.max_checkpoint_command_lag_ms =
                self.max_checkpoint_command_lag_ms.max(now - first);
        }
    }
}
