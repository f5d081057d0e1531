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
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use crate::model::{Cores, JobId};

/// Units into which the free cores are divided for the dynamic program; more are finer and slower.
const CORE_UNITS: usize = 64;
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
        free = free.less(need);
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
        free = free.less(demand.cores_of(demand.smallest_share()));
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
            free = free.less(need);
            admitted[index] = true;
        }
    }
    admitted
}

/// Better ranks first, then what is more important per core, then lower job numbers.
fn by_rank_and_weight(a: &Demand, b: &Demand) -> Ordering {
    a.rank.cmp(&b.rank).then(b.weight.total_cmp(&a.weight)).then(a.job.cmp(&b.job))
}

/// Cores that are not allocated yet, of all and of each team that is limited.
#[derive(Clone)]
struct FreeCores {
    total: Cores,
    teams: Vec<Option<Cores>>,
}

impl FreeCores {
    /// Allocates cores to a team if they are free in all bounds; says whether they were.
    fn allocate(&mut self, team: usize, cores: Cores) -> bool {
        let limit = self.teams.get(team).copied().flatten();
        if cores > self.total || limit.is_some_and(|limit| cores > limit) {
            return false;
        }
        self.allocate_in_use(team, cores);
        true
    }

    /// Allocates cores that are in use, whether they fit into the bounds or not.
    fn allocate_in_use(&mut self, team: usize, cores: Cores) {
        self.total = self.total.less(cores);
        if let Some(Some(limit)) = self.teams.get_mut(team) {
            *limit = limit.less(cores);
        }
    }
}

/// Shares as the steps of one allocation build them up.
#[derive(Clone)]
struct Allocation<'a> {
    demands: &'a [Demand],
    /// Whether each job is admitted.
    admitted: &'a [bool],
    /// Tasks of each job.
    shares: Vec<u32>,
    free: FreeCores,
}

/// Shares for the admitted jobs: running tasks first, then step jobs, required ones before those that are
/// weighed against the concave jobs, then concave jobs by marginal gain.
fn allocate(demands: &[Demand], bounds: &Bounds, waterline: u32, admitted: &[bool]) -> Admission {
    let free = FreeCores { total: bounds.held, teams: bounds.teams.clone() };
    let shares = vec![0; demands.len()];
    let mut allocation = Allocation { demands, admitted, shares, free };
    allocation.allocate_running();
    let (mut required, optional): (Vec<usize>, Vec<usize>) =
        allocation.open_steps().into_iter().partition(|&index| demands[index].required);
    required.sort_by(|&a, &b| by_rank_and_weight(&demands[a], &demands[b]));
    allocation.allocate_steps(required);
    if !optional.is_empty() {
        let chosen = allocation.best_steps(&optional);
        allocation.allocate_steps(chosen);
    }
    allocation.fill_concave(&mut |_, _| {});
    allocation.into_admission(waterline)
}

impl Allocation<'_> {
    fn allocate_running(&mut self) {
        for (demand, share) in self.demands.iter().zip(&mut self.shares) {
            if demand.min > 0 {
                *share = demand.min;
                self.free.allocate_in_use(demand.team, demand.cores_of(demand.min));
            }
        }
    }

    /// Admitted step jobs of which not all tasks run.
    fn open_steps(&self) -> Vec<usize> {
        let is_open = |index: &usize| {
            let demand = &self.demands[*index];
            self.admitted[*index] && demand.curve == Curve::Step && demand.max > self.shares[*index]
        };
        (0..self.demands.len()).filter(is_open).collect()
    }

    /// Allocates all tasks of each of these step jobs for which there are cores.
    fn allocate_steps(&mut self, steps: Vec<usize>) {
        for index in steps {
            let demand = &self.demands[index];
            if self.free.allocate(demand.team, self.missing_cores(index)) {
                self.shares[index] = demand.max;
            }
        }
    }

    /// Cores of the tasks that a job's share lacks of all.
    fn missing_cores(&self, index: usize) -> Cores {
        let demand = &self.demands[index];
        demand.cores_of(demand.max - self.shares[index])
    }

    /// Fills concave jobs by marginal gain; `on_task` is called with each task's cores and what it adds.
    fn fill_concave(&mut self, on_task: &mut dyn FnMut(Cores, f64)) {
        let mut heap: BinaryHeap<NextTask> = (0..self.demands.len())
            .filter(|&index| {
                let demand = &self.demands[index];
                self.admitted[index]
                    && matches!(demand.curve, Curve::Concave { .. })
                    && self.shares[index] < demand.max
            })
            .map(|index| self.next_task(index))
            .collect();
        while let Some(next) = heap.pop() {
            let (index, demand) = (next.index, &self.demands[next.index]);
            if !self.free.allocate(demand.team, demand.cores) {
                continue;
            }
            on_task(demand.cores, demand.marginal_gain(self.shares[index]));
            self.shares[index] += 1;
            if self.shares[index] < demand.max {
                heap.push(self.next_task(index));
            }
        }
    }

    fn next_task(&self, index: usize) -> NextTask {
        let demand = &self.demands[index];
        let cores = demand.cores.amount().max(0.001);
        let gain_per_core = demand.marginal_gain(self.shares[index]) / cores;
        NextTask { rank: demand.rank, gain_per_core, index }
    }

    /// Which step jobs to run: for each number of core units the best selection of step jobs that uses so
    /// many, and of all these the one that is best together with what the concave jobs make of the rest.
    fn best_steps(&self, steps: &[usize]) -> Vec<usize> {
        let unit = (self.free.total.0 / CORE_UNITS as u64).max(1);
        let concave = self.concave_importance();
        self.step_selections(steps, unit)
            .into_iter()
            .enumerate()
            .filter_map(|(used_units, selection)| {
                let selection = selection?;
                let rest = self.free.total.0.saturating_sub(unit * used_units as u64);
                Some((selection.importance + concave.with_cores(rest), selection.steps))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, steps)| steps)
            .unwrap_or_default()
    }

    /// The dynamic program: at each index, the most important selection that uses so many units of cores.
    fn step_selections(&self, steps: &[usize], unit: u64) -> Vec<Option<StepSelection>> {
        let mut best: Vec<Option<StepSelection>> = vec![None; CORE_UNITS + 1];
        best[0] = Some(StepSelection::default());
        for &index in steps {
            let demand = &self.demands[index];
            let units = self.missing_cores(index).0.div_ceil(unit) as usize;
            let importance = demand.importance(demand.max);
            // Downwards, so that no job is selected twice.
            for used in (units..=CORE_UNITS).rev() {
                let Some(base) = &best[used - units] else {
                    continue;
                };
                let importance = base.importance + importance;
                if best[used].as_ref().is_none_or(|best| importance > best.importance) {
                    let mut steps = base.steps.clone();
                    steps.push(index);
                    best[used] = Some(StepSelection { importance, steps });
                }
            }
        }
        best
    }

    /// What the concave jobs make of any number of cores. It follows from filling them once: they take the
    /// best first, so fewer cores are the beginning of the same order.
    fn concave_importance(&self) -> ConcaveImportance {
        let mut sums = vec![(0, 0.0)];
        self.clone().fill_concave(&mut |cores, gain| {
            let (used, importance) = sums.last().copied().unwrap_or_default();
            sums.push((used + cores.0, importance + gain));
        });
        ConcaveImportance { sums }
    }

    fn into_admission(self, waterline: u32) -> Admission {
        let mut admission = Admission { waterline, ..Admission::default() };
        for (index, demand) in self.demands.iter().enumerate() {
            if self.admitted[index] {
                admission.shares.insert(demand.job, self.shares[index]);
                admission.importance += demand.importance(self.shares[index]);
            } else {
                admission.waiting.push(demand.job);
            }
        }
        admission
    }
}

/// Step jobs that run together.
#[derive(Clone, Default)]
struct StepSelection {
    importance: f64,
    /// Their indices.
    steps: Vec<usize>,
}

/// Summed importance of the concave jobs by the cores that they get.
struct ConcaveImportance {
    /// Cores, in thousandths, and importance after each task.
    sums: Vec<(u64, f64)>,
}

impl ConcaveImportance {
    fn with_cores(&self, cores: u64) -> f64 {
        let fitting = self.sums.partition_point(|(used, _)| *used <= cores);
        self.sums.get(fitting.saturating_sub(1)).map_or(0.0, |(_, importance)| *importance)
    }
}

/// One task more for a concave job, ordered by marginal gain per core; better ranks go first.
#[derive(PartialEq)]
struct NextTask {
    rank: u32,
    gain_per_core: f64,
    index: usize,
}

impl Eq for NextTask {}

impl PartialOrd for NextTask {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for NextTask {
    fn cmp(&self, other: &Self) -> Ordering {
        self.gain_per_core
            .total_cmp(&other.gain_per_core)
            .then(other.rank.cmp(&self.rank))
            .then(other.index.cmp(&self.index))
    }
}

#[cfg(test)]
mod tests;
