//! How long tasks take: what classes' estimates are worth, and which machines are slow. All of it only
//! weighs decisions; no task is started or proven ended by it.

use super::Leader;
use super::inputs::EpochInputs;
use crate::cluster_view::ClusterView;
use crate::model::{MachineId, MonotonicTime, TaskId};
use crate::wire::TaskState;

/// Tasks of a job that must have completed before others are compared with them.
const COMPARED: u32 = 3;

/// How much longer than others tasks take on a slow machine, and how many must have shown it.
const SLOW_RATIO: f64 = 1.8;

const SLOW_TASKS: u32 = 4;

/// How long tasks take on a machine, compared with others of their jobs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    /// How much longer they take than others; 1 if as long. Older ones fade.
    pub(super) ratio: f64,
    /// Tasks that were compared.
    pub(super) tasks: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Speed { ratio: 1.0, tasks: 0 }
    }
}

impl Speed {
    /// Counts a task in that took so much longer than others of its job.
    pub(super) fn record(&mut self, ratio: f64) {
        // One odd task says little.
        self.ratio = self.ratio * 0.75 + ratio.min(5.0) * 0.25;
        self.tasks += 1;
    }

    /// Whether tasks take much longer here than elsewhere.
    pub(super) fn is_slow(&self) -> bool {
        self.tasks >= SLOW_TASKS && self.ratio > SLOW_RATIO
    }
}

/// How long a class's tasks ran and were estimated to run. Older ones fade.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassRunTimes {
    /// Seconds that they ran.
    pub(super) actual_s: f64,
    /// Seconds that their owners had estimated.
    pub(super) estimated_s: f64,
}

impl ClassRunTimes {
    /// How much of the older tasks counts when another one is added.
    const FADE: f64 = 0.97;

    fn add(&mut self, actual_s: f64, estimated_s: f64) {
        self.actual_s = self.actual_s * Self::FADE + actual_s;
        self.estimated_s = self.estimated_s * Self::FADE + estimated_s;
    }

    /// By what estimates have to be corrected; 1 if nothing is known.
    pub(super) fn ratio(&self) -> f64 {
        if self.estimated_s > 0.0 { self.actual_s / self.estimated_s } else { 1.0 }
    }
}

/// How long a job's tasks ran.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct JobRunTimes {
    /// Seconds in all.
    seconds: f64,
    /// Number of tasks.
    tasks: u32,
}

/// Where a task runs, and since when.
#[derive(Clone, Debug)]
pub(super) struct RunningSince {
    since: MonotonicTime,
    machine: MachineId,
}

impl Leader {
    /// Observes how long tasks ran: compared with their owners' estimates, and, for machines, with
    /// others of their jobs.
    pub(super) fn observe_run_times(&mut self, inputs: &EpochInputs<'_>) {
        let now = inputs.cluster.now;
        let before = std::mem::take(&mut self.jobs.running_since);
        for (task, running) in &before {
            let seen = inputs.on_machines.get(task);
            if !seen.is_some_and(|seen| seen.state == TaskState::Running) {
                self.record_end(inputs.cluster, *task, running);
            }
        }
        let on_machines = inputs.on_machines.iter();
        for (task, seen) in on_machines.filter(|(_, seen)| seen.state == TaskState::Running) {
            let machine = &seen.machine.id;
            let known = before.get(task).filter(|running| running.machine == *machine).cloned();
            let running =
                known.unwrap_or_else(|| RunningSince { since: now, machine: machine.clone() });
            self.jobs.running_since.insert(*task, running);
        }
    }

    /// Records how long a task ran that runs no more, if it completed.
    fn record_end(&mut self, cluster: &ClusterView<'_>, task: TaskId, running: &RunningSince) {
        // It may have completed without being on record yet.
        let completed = cluster.completed_tasks.get(&task.job);
        let completed = completed.is_some_and(|completed| completed.tasks.contains(task.index));
        let Some(job) = cluster.replica.jobs.get(&task.job) else { return };
        if !completed && !job.is_done(task.index) {
            return;
        }
        let run_s = cluster.now.since(running.since) as f64 / 1000.0;
        let others = self.jobs.run_times.entry(task.job).or_default();
        if others.tasks >= COMPARED {
            let mean_s = (others.seconds / f64::from(others.tasks)).max(0.1);
            let speeds = &mut self.remembered.machine_speeds;
            speeds.entry(running.machine.clone()).or_default().record(run_s / mean_s);
        }
        others.seconds += run_s;
        others.tasks += 1;
        let class = self.remembered.class_run_times.entry(job.spec.class.clone()).or_default();
        class.add(run_s, job.spec.estimated_run_s.max(0.1));
    }
}
