//! How long tasks take: what classes' estimates are worth, and which machines are slow.

use rustc_hash::FxHashMap;

use super::{ClusterView, Leader};
use crate::fleet::TasksOnMachines;
use crate::replica::Job;
use crate::wire::TaskState;

/// Tasks of a job that must have completed before others are compared with them.
const COMPARED: u32 = 3;

/// How much longer than others tasks take on a slow machine, and how many must have shown it.
const SLOW_RATIO: f64 = 1.8;

const SLOW_TASKS: u32 = 4;

/// How long tasks take on a machine, compared with others of their jobs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    pub(super) ratio: f64,
    pub(super) tasks: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Speed { ratio: 1.0, tasks: 0 }
    }
}

impl Speed {
    pub(super) fn note(&mut self, ratio: f64) {
        // One odd task says little.
        self.ratio = self.ratio * 0.75 + ratio.min(5.0) * 0.25;
        self.tasks += 1;
    }
    pub(super) fn is_slow(&self) -> bool {
        self.tasks >= SLOW_TASKS && self.ratio > SLOW_RATIO
    }
}

impl Leader {
    /// Learns how long tasks run compared with their owners' estimates.
    pub(super) fn learn(&mut self, cluster: &ClusterView<'_>, on_machines: &TasksOnMachines<'_>) {
        let now = cluster.now;
        for (t, (began, machine)) in &self.seen_running {
            if on_machines.get(t).is_some_and(|s| s.state == TaskState::Running) {
                continue;
            }
            // It may have completed without being on record yet.
            let heard =
                cluster.completed_tasks.get(&t.job).is_some_and(|f| f.tasks.contains(t.index));
            let done = |j: &&Job| heard || j.is_done(t.index);
            let Some(job) = cluster.replica.jobs.get(&t.job).filter(done) else {
                continue;
            };
            let took = now.since(*began) as f64 / 1000.0;
            let known = self.job_runs.entry(t.job).or_default();
            if known.1 >= COMPARED {
                let speed = self.speeds.entry(machine.clone()).or_default();
                speed.note(took / (known.0 / f64::from(known.1)).max(0.1));
            }
            *known = (known.0 + took, known.1 + 1);
            if !self.runs.contains_key(&job.spec.class) {
                self.runs.insert(job.spec.class.clone(), (0.0, 0.0));
            }
            if let Some(entry) = self.runs.get_mut(&job.spec.class) {
                entry.0 = entry.0 * 0.97 + took;
                entry.1 = entry.1 * 0.97 + job.spec.estimated_run_s.max(0.1);
            }
        }
        let mut running = FxHashMap::default();
        for (t, s) in on_machines.iter().filter(|(_, s)| s.state == TaskState::Running) {
            let seen = self.seen_running.get(t).filter(|(_, m)| *m == s.machine.id).cloned();
            running.insert(*t, seen.unwrap_or_else(|| (now, s.machine.id.clone())));
        }
        self.seen_running = running;
    }
}
