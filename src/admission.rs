//! Admission control: which jobs may run in an epoch, and how many tasks each (its share). The algorithm is the
//! one of the paper cited in `docs/design.md`.
//!
//! *Waterline.* A job's rank follows from its priority; rank 1 is the best. Its revised rank is the best rank among the
//! job and all jobs that depend on it. The waterline is a rank: jobs of better ranks are admitted, jobs of worse ranks
//! wait, and jobs of the waterline rank are admitted by importance per core while cores last. An admission of this
//! form is called rank-legal. [`admit`] evaluates every waterline and keeps the admission with the highest total
//! importance. Two kinds of job are exempt from the waterline: running jobs keep their tasks, and required jobs are
//! admitted by rank while cores last.
//!
//! *Shares.* The importance of a job is its weight times the value of its running tasks. Concave value curves are
//! filled greedily by marginal gain, which is optimal for them. A step curve has value only when all tasks run, so
//! the greedy algorithm does not apply to it. The choice of step jobs is a knapsack problem, which is solved by
//! dynamic programming over coarse units of cores. The cores that a choice leaves over are valued at the importance
//! that the concave jobs reach with them.
//!
//! All functions are pure: the same demands and limits give the same admission.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use crate::model::{Cores, JobId};

mod allocation;

use allocation::allocate;

/// Number of running tasks from which on a job's marginal gain stays constant.
const MAX_DISCOUNTED_TASKS: u32 = 1_000;

/// Value of a job as a function of the number of its running tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueCurve {
    /// Each task adds `gain_ratio` times the value of the task before it, which is concave for ratios up to 1.
    Concave {
        /// Ratio of a task's marginal gain to the marginal gain of the task before it.
        gain_ratio: f64,
    },
    /// No value until all tasks run at once, as for a gang.
    Step,
}

/// One job's input to admission.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The job.
    pub job: JobId,
    /// The job's revised rank, from 1; lower ranks are better.
    pub rank: u32,
    /// Importance per core of the job's first task.
    pub weight: f64,
    /// Value by number of running tasks.
    pub curve: ValueCurve,
    /// Index of the job's team in [`CoreLimits::teams`].
    pub team: usize,
    /// Cores that one task needs.
    pub cores_per_task: Cores,
    /// Number of tasks that run or may be running. The share never falls below it.
    pub min_tasks: u32,
    /// Number of tasks that could run now, including running ones.
    pub max_tasks: u32,
    /// Whether the job is admitted while cores last, even if its rank is worse than the waterline.
    pub required: bool,
}

/// The admitted jobs with their shares, and the jobs that wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admission {
    /// The worst rank that is admitted. Running and required jobs of worse ranks may be admitted as well.
    pub waterline: u32,
    /// Maximum number of running tasks of each admitted job.
    pub shares: BTreeMap<JobId, u32>,
    /// Jobs that are not admitted.
    pub waiting: Vec<JobId>,
    /// Total importance of the admitted jobs with their shares.
    pub importance: f64,
}

/// Computes revised ranks: for each job the best rank among the job and all jobs that depend on it, directly or
/// transitively. `dependencies` lists pairs of a job and a job that it depends on.
pub fn revised_ranks(
    ranks: &HashMap<JobId, u32>,
    dependencies: &[(JobId, JobId)],
) -> HashMap<JobId, u32> {
    let mut revised = ranks.clone();
    loop {
        let mut changed = false;
        for (job, dependency) in dependencies {
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

/// Limits on the cores of all shares together.
#[derive(Clone, Debug)]
pub struct CoreLimits {
    /// Cores that admission divides among the jobs.
    pub total: Cores,
    /// Core limit of each team, or `None` for a team without a limit.
    pub teams: Vec<Option<Cores>>,
}

/// Decides which jobs are admitted and how many tasks each of them may run. If several waterlines give the same total
/// importance, the worst of these ranks is kept.
pub fn admit(demands: &[Demand], limits: &CoreLimits) -> Admission {
    let worst_rank = demands.iter().map(|demand| demand.rank).max().unwrap_or(1);
    let mut best: Option<Admission> = None;
    for waterline in (1..=worst_rank).rev() {
        let Some(admission) = admit_at_waterline(demands, limits, waterline) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| admission.importance > best.importance) {
            best = Some(admission);
        }
    }
    // The default is not reached while ranks start at 1: waterline 1 is always feasible, as no rank is better.
    best.unwrap_or_else(|| allocate(demands, limits, 1, &select_jobs(demands, limits, 1)))
}

/// Returns the best admission with a given waterline, or `None` if the jobs of better ranks, each with its smallest
/// useful share, do not all fit into the total cores.
fn admit_at_waterline(
    demands: &[Demand],
    limits: &CoreLimits,
    waterline: u32,
) -> Option<Admission> {
    let mut free = limits.total;
    for demand in demands.iter().filter(|demand| demand.rank < waterline) {
        let need = demand.cores_of(demand.min_useful_share());
        if need > free {
            return None;
        }
        free = free.saturating_sub(need);
    }
    Some(allocate(demands, limits, waterline, &select_jobs(demands, limits, waterline)))
}

impl Demand {
    /// Returns the smallest share with which the job has any value, but at least its running tasks.
    fn min_useful_share(&self) -> u32 {
        match self.curve {
            ValueCurve::Concave { .. } => self.min_tasks.max(self.max_tasks.min(1)),
            ValueCurve::Step => self.max_tasks,
        }
    }

    fn cores_of(&self, tasks: u32) -> Cores {
        Cores(self.cores_per_task.0 * u64::from(tasks))
    }

    /// Returns the importance of the job with `tasks` running tasks.
    fn importance(&self, tasks: u32) -> f64 {
        match self.curve {
            ValueCurve::Step if tasks < self.max_tasks => 0.0,
            ValueCurve::Step => self.weight * self.cores_per_task.amount() * f64::from(tasks),
            ValueCurve::Concave { .. } => (0..tasks).map(|task| self.marginal_gain(task)).sum(),
        }
    }

    /// Returns the importance that one more task adds to `running` tasks.
    fn marginal_gain(&self, running: u32) -> f64 {
        let gain_ratio = match self.curve {
            ValueCurve::Concave { gain_ratio } => gain_ratio,
            ValueCurve::Step => 1.0,
        };
        self.weight
            * self.cores_per_task.amount()
            * gain_ratio.powi(running.min(MAX_DISCOUNTED_TASKS) as i32)
    }
}

/// Returns for each job whether it is admitted with a given waterline. Jobs of better ranks and running jobs are
/// always admitted. While cores last, required jobs follow by rank, then jobs of the waterline rank by importance per
/// core.
fn select_jobs(demands: &[Demand], limits: &CoreLimits, waterline: u32) -> Vec<bool> {
    let mut admitted: Vec<bool> =
        demands.iter().map(|demand| demand.rank < waterline || demand.min_tasks > 0).collect();
    let mut free = limits.total;
    for (demand, _) in demands.iter().zip(&admitted).filter(|(_, admitted)| **admitted) {
        free = free.saturating_sub(demand.cores_of(demand.min_useful_share()));
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
        let need = demands[index].cores_of(demands[index].min_useful_share());
        if need <= free {
            free = free.saturating_sub(need);
            admitted[index] = true;
        }
    }
    admitted
}

/// Orders demands by rank, then by descending importance per core, then by job id.
fn by_rank_and_weight(a: &Demand, b: &Demand) -> Ordering {
    a.rank.cmp(&b.rank).then(b.weight.total_cmp(&a.weight)).then(a.job.cmp(&b.job))
}

#[cfg(test)]
mod tests;
