//! Gangs on the workers: how their tasks begin together, end together and save checkpoints.

use super::*;

impl World {
    /// Gangs begin when all tasks of an attempt wait, and break when one has ended or hangs.
    pub(super) fn step_gangs(&mut self) {
        let now = self.now;
        type OnWorker = (usize, TaskId, TaskState);
        let mut gangs: BTreeMap<(JobId, Attempt), Vec<OnWorker>> = BTreeMap::new();
        for (w, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.active(now)) {
            for (task, attempt, state) in worker.gang_tasks() {
                let of = self.jobs.get(&task.job.0);
                if of.is_some_and(|j| j.kind == JobKind::Gang) {
                    gangs.entry((task.job, attempt)).or_default().push((w, task, state));
                }
            }
        }
        self.broken_gangs.retain(|g, _| gangs.contains_key(g));
        for ((job, attempt), tasks) in gangs {
            let task_count = self.jobs[&job.0].task_count as usize;
            let runs = tasks.iter().any(|t| t.2 == TaskState::Running);
            if tasks.len() == task_count && !runs {
                for (w, task, _) in tasks {
                    self.workers[w].run_gang_task(task, attempt, now + self.gang_run_ms, now);
                    self.gangs_begun += 1;
                }
            } else if tasks.len() < task_count && runs && !self.completed.contains(&tasks[0].1) {
                let since = *self.broken_gangs.entry((job, attempt)).or_insert(now);
                if now - since >= GANG_NOTICE_MS {
                    for (w, task, _) in tasks {
                        let changes = self.workers[w].stop_gang_task(task, attempt, now);
                        self.see(w, changes);
                    }
                }
            }
        }
    }

    /// Records when tasks of a gang are commanded to save a checkpoint: all have to get the command within
    /// `gang_peer_s`, or nothing is saved.
    pub(super) fn record_checkpoint_commands(&mut self, w: usize) {
        let now = self.now;
        for (task, attempt) in self.workers[w].take_checkpoint_commands() {
            let first = *self.saves.entry((task.job, attempt)).or_insert(now);
            self.latest_save = self.latest_save.max(now - first);
        }
    }
}
