//! Admission of jobs and sizing of their shares in an epoch, after the paper that the design names.
//!
//! *Rank-legal waterline.* A job's revised rank is the best among the jobs that depend on it. For a waterline
//! rank, all jobs of better ranks are admitted, jobs of worse ranks wait, and at the waterline itself the most
//! important jobs enter while cores last. [`admit`] tries every waterline and keeps the one with the highest
//! summed importance. Jobs that run keep their tasks, and required jobs enter by rank wherever the waterline is.
//!
//! *Shares.* Importance is weight times value. Concave values are filled greedily by marginal gain, which is
//! optimal for them. A step value counts only when all tasks run, so greedy filling does not do: which step jobs
//! run is a knapsack, solved by dynamic programming over cores in coarse units, where the cores that are left
//! count for what the concave jobs make of them.
//!
//! The module is pure: the same demands and bounds give the same admission.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use crate::model::{Cores, JobId};

mod allocation;

use allocation::allocate;

/// Tasks after which a job's marginal gain falls no further.
const MAX_FADED_TASKS: u32 = 1_000;

/// How a job's value grows with the tasks that run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Curve {
    /// Each task is worth `fade` times the one before it (concave for `fade` up to 1).
    Concave {
        /// Ratio between one task's gain and the one before.
        fade: f64,
    },
    /// Nothing until all tasks run at once.
    Step,
}

/// A job that asks for a share.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The job.
    pub job: JobId,
    /// Its rank, lower is better, from 1.
    pub rank: u32,
    /// Importance of its first task per core.
    pub weight: f64,
    /// How value grows.
    pub curve: Curve,
    /// Its team, by number.
    pub team: usize,
    /// Cores of a task.
    pub cores: Cores,
    /// Tasks that run or may be running: its share never falls below them.
    pub min: u32,
    /// Tasks that could run now, those running included.
    pub max: u32,
    /// Whether it must be admitted while cores last, wherever the waterline is.
    pub required: bool,
}

/// The outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admission {
    /// The worst rank admitted.
    pub waterline: u32,
    /// Tasks that each admitted job may have running.
    pub shares: BTreeMap<JobId, u32>,
    /// Jobs that wait below the waterline.
    pub waiting: Vec<JobId>,
    /// Summed importance.
    pub importance: f64,
}

/// Revised ranks: the best rank among a job and all jobs that depend on it, directly or not.
/// `needs` lists pairs (job, job it depends on).
pub fn revised_ranks(ranks: &HashMap<JobId, u32>, needs: &[(JobId, JobId)]) -> HashMap<JobId, u32> {
    let mut revised = ranks.clone();
    loop {
        let mut changed = false;
        for (job, dependency) in needs {
            let ranks = (revised.get(job), revised.get(dependency));
            let (Some(&rank), Some(&dependency_rank)) = ranks else {
                continue;
            };
            if rank < dependency_rank {
                revised.insert(*dependency, rank);
                changed = true;
            }
        }
        if !changed {
            return revised;
        }
    }
}

/// Bounds that hold for all shares together.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Cores held.
    pub held: Cores,
    /// What each team may use, if it is limited.
    pub teams: Vec<Option<Cores>>,
}

/// Decides which jobs are admitted and how many tasks each may run.
pub fn admit(demands: &[Demand], bounds: &Bounds) -> Admission {
    let worst_rank = demands.iter().map(|demand| demand.rank).max().unwrap_or(1);
    let mut best: Option<Admission> = None;
    for waterline in (1..=worst_rank).rev() {
        let Some(found) = admit_at_waterline(demands, bounds, waterline) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| found.importance > best.importance) {
            best = Some(found);
        }
    }
    // Even the jobs of the best rank do not all fit: the most important ones go in.
    best.unwrap_or_else(|| allocate(demands, bounds, 1, &select_jobs(demands, bounds, 1)))
}

/// The best admission with that waterline, or `None` if the jobs of better ranks do not all fit.
fn admit_at_waterline(demands: &[Demand], bounds: &Bounds, waterline: u32) -> Option<Admission> {
    let mut free = bounds.held;
    for demand in demands.iter().filter(|demand| demand.rank < waterline) {
        let need = demand.cores_of(demand.smallest_share());
        if need > free {
            return None;
        }
        free = free.saturating_sub(need);
    }
    Some(allocate(demands, bounds, waterline, &select_jobs(demands, bounds, waterline)))
}

impl Demand {
    /// The smallest share that makes admitting the job worth anything.
    fn smallest_share(&self) -> u32 {
        match self.curve {
            Curve::Concave { .. } => self.min.max(self.max.min(1)),
            Curve::Step => self.max,
        }
    }

    fn cores_of(&self, tasks: u32) -> Cores {
        Cores(self.cores.0 * u64::from(tasks))
    }

    /// Importance of the job with that many tasks running.
    fn importance(&self, tasks: u32) -> f64 {
        match self.curve {
            Curve::Step if tasks < self.max => 0.0,
            Curve::Step => self.weight * self.cores.amount() * f64::from(tasks),
            Curve::Concave { .. } => (0..tasks).map(|running| self.marginal_gain(running)).sum(),
        }
    }

    /// What the next task adds when that many run already.
    fn marginal_gain(&self, running: u32) -> f64 {
        let fade = match self.curve {
            Curve::Concave { fade } => fade,
            Curve::Step => 1.0,
        };
        self.weight * self.cores.amount() * fade.powi(running.min(MAX_FADED_TASKS) as i32)
    }
}

/// Whether each job is admitted with that waterline: all better ranks, jobs that already run, required jobs
/// by rank, and jobs at the waterline by importance per core, while cores last.
fn select_jobs(demands: &[Demand], bounds: &Bounds, waterline: u32) -> Vec<bool> {
    let mut admitted: Vec<bool> =
        demands.iter().map(|demand| demand.rank < waterline || demand.min > 0).collect();
    let mut free = bounds.held;
    for (demand, _) in demands.iter().zip(&admitted).filter(|(_, admitted)| **admitted) {
        free = free.saturating_sub(demand.cores_of(demand.smallest_share()));
    }
    let mut candidates: Vec<usize> = (0..demands.len())
        .filter(|&index| {
            let demand = &demands[index];
            !admitted[index] && (demand.required || demand.rank == waterline)
        })
        .collect();
    candidates.sort_by(|&a, &b| {
        let (a, b) = (&demands[a], &demands[b]);
        b.required.cmp(&a.required).then_with(|| by_rank_and_weight(a, b))
    });
    for index in candidates {
        let need = demands[index].cores_of(demands[index].smallest_share());
        if need <= free {
            free = free.saturating_sub(need);
            admitted[index] = true;
        }
    }
    admitted
}

/// Better ranks first, then what is more important per core, then lower job numbers.
fn by_rank_and_weight(a: &Demand, b: &Demand) -> Ordering {
    a.rank.cmp(&b.rank).then(b.weight.total_cmp(&a.weight)).then(a.job.cmp(&b.job))
}

#[cfg(test)]
mod tests;
