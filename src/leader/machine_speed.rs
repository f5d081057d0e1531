//! Observed run times of tasks: how accurate the estimates of each job class are, and which machines are slow.
//! They only influence priorities and placement. No task is started or proven ended because of them.

use super::Leader;
use super::inputs::EpochInputs;
use crate::cluster_view::ClusterView;
use crate::model::{MachineId, MonotonicTime, TaskId};
use crate::wire::TaskState;

/// Completed tasks that a job needs before further ones are compared with their mean run time.
const MIN_REFERENCE_TASKS: u32 = 3;

/// A machine is slow if its tasks take more than this many times as long as other tasks of their jobs.
const SLOW_RATIO: f64 = 1.8;

/// Compared tasks that a machine needs before it may count as slow.
const MIN_SLOW_SAMPLES: u32 = 4;

/// Run times of tasks on a machine, relative to the mean of other tasks of the same jobs.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineSlowdown {
    /// Moving average of the relative run time; 1 if tasks take as long as elsewhere.
    pub(super) ratio: f64,
    /// Number of tasks that were compared.
    pub(super) tasks: u32,
}

impl Default for MachineSlowdown {
    fn default() -> Self {
        MachineSlowdown { ratio: 1.0, tasks: 0 }
    }
}

impl MachineSlowdown {
    /// Adds a task, given how many times as long as others of its job it took.
    pub(super) fn record(&mut self, ratio: f64) {
        // The ratio is capped and weighted so that a single outlier has little effect.
        self.ratio = self.ratio * 0.75 + ratio.min(5.0) * 0.25;
        self.tasks += 1;
    }

    /// Returns whether tasks take much longer on this machine than elsewhere.
    pub(super) fn is_slow(&self) -> bool {
        self.tasks >= MIN_SLOW_SAMPLES && self.ratio > SLOW_RATIO
    }
}

/// Actual and estimated run times of the tasks of a job class. Older tasks have less weight.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassRunTimes {
    /// Sum of the actual run times, in seconds.
    pub(super) actual_s: f64,
    /// Sum of the run times that the jobs' teams had estimated, in seconds.
    pub(super) estimated_s: f64,
}

impl ClassRunTimes {
    /// Factor that reduces both sums before a task is added.
    const DECAY: f64 = 0.97;

    fn add(&mut self, actual_s: f64, estimated_s: f64) {
        self.actual_s = self.actual_s * Self::DECAY + actual_s;
        self.estimated_s = self.estimated_s * Self::DECAY + estimated_s;
    }

    /// Returns the factor that corrects an estimate; 1 if nothing is known.
    pub(super) fn ratio(&self) -> f64 {
        if self.estimated_s > 0.0 { self.actual_s / self.estimated_s } else { 1.0 }
    }
}

/// Run times of the completed tasks of a job.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct JobRunTimes {
    /// Sum in seconds.
    seconds: f64,
    /// Number of tasks.
    tasks: u32,
}

/// The machine that a task runs on, and since when.
#[derive(Clone, Debug)]
pub(super) struct RunningSince {
    since: MonotonicTime,
    machine: MachineId,
}

impl Leader {
    /// Records the run times of tasks that ended since the last epoch, and the tasks that run now. Run times
    /// are compared with the estimates, by class, and with other tasks of the same job, by machine.
    pub(super) fn observe_run_times(&mut self, inputs: &EpochInputs<'_>) {
        let now = inputs.cluster.now;
        let previous = std::mem::take(&mut self.jobs.running_since);
        for (task, running) in &previous {
            let seen = inputs.on_machines.get(task);
            if !seen.is_some_and(|seen| seen.state == TaskState::Running) {
                self.record_completion(inputs.cluster, *task, running);
            }
        }
        let on_machines = inputs.on_machines.iter();
        for (task, seen) in on_machines.filter(|(_, seen)| seen.state == TaskState::Running) {
            let machine = &seen.machine.id;
            let known = previous.get(task).filter(|running| running.machine == *machine).cloned();
            let running =
                known.unwrap_or_else(|| RunningSince { since: now, machine: machine.clone() });
            self.jobs.running_since.insert(*task, running);
        }
    }

    /// Records the run time of a task that no longer runs, if it completed.
    fn record_completion(
        &mut self,
        cluster: &ClusterView<'_>,
        task: TaskId,
        running: &RunningSince,
    ) {
        // Includes completions on this controller's own shard that are not on record yet.
        let completed = cluster.completed_tasks.get(&task.job);
        let completed = completed.is_some_and(|completed| completed.tasks.contains(task.index));
        let Some(job) = cluster.replica.jobs.get(&task.job) else { return };
        if !completed && !job.is_done(task.index) {
            return;
        }
        let run_s = cluster.now.since(running.since) as f64 / 1000.0;
        let observed = self.jobs.run_times.entry(task.job).or_default();
        if observed.tasks >= MIN_REFERENCE_TASKS {
            let mean_s = (observed.seconds / f64::from(observed.tasks)).max(0.1);
            let slowdowns = &mut self.retained.machine_slowdowns;
            slowdowns.entry(running.machine.clone()).or_default().record(run_s / mean_s);
        }
        observed.seconds += run_s;
        observed.tasks += 1;
        let class = self.retained.class_run_times.entry(job.spec.class.clone()).or_default();
        class.add(run_s, job.spec.estimated_run_s.max(0.1));
    }
}
