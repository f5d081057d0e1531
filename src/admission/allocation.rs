//! Shares of admitted jobs. Running tasks get their cores first, step jobs are chosen by dynamic programming, and
//! concave jobs get the remaining cores by marginal gain. A step job is one whose value curve is
//! [`ValueCurve::Step`], a concave job one whose value curve is [`ValueCurve::Concave`].

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::{Admission, CoreLimits, Demand, ValueCurve, by_rank_and_weight};
use crate::model::Cores;

/// Number of units into which the dynamic program divides the free cores. More units are more exact and slower.
const KNAPSACK_UNITS: usize = 64;

/// Cores that are not allocated yet.
#[derive(Clone)]
struct FreeCores {
    total: Cores,
    /// Unallocated cores of each team's limit, or `None` for a team without a limit.
    teams: Vec<Option<Cores>>,
}

impl FreeCores {
    /// Allocates cores to a team if both the total and the team's limit allow it. Returns whether they do.
    fn allocate(&mut self, team: usize, cores: Cores) -> bool {
        let limit = self.teams.get(team).copied().flatten();
        if cores > self.total || limit.is_some_and(|limit| cores > limit) {
            return false;
        }
        self.allocate_unchecked(team, cores);
        true
    }

    /// Allocates cores to a team without checking the limits, for tasks that already run.
    fn allocate_unchecked(&mut self, team: usize, cores: Cores) {
        self.total = self.total.saturating_sub(cores);
        if let Some(Some(limit)) = self.teams.get_mut(team) {
            *limit = limit.saturating_sub(cores);
        }
    }
}

/// Shares of all jobs while one allocation is computed.
#[derive(Clone)]
struct Allocation<'a> {
    demands: &'a [Demand],
    /// Whether each job is admitted.
    admitted: &'a [bool],
    /// Number of tasks allocated to each job.
    shares: Vec<u32>,
    free: FreeCores,
}

/// Allocates cores to the admitted jobs and returns their shares. Running tasks come first, then required step
/// jobs by rank, then the other step jobs as far as they gain more than the concave jobs, then concave jobs by
/// marginal gain.
pub(super) fn allocate(
    demands: &[Demand],
    limits: &CoreLimits,
    waterline: u32,
    admitted: &[bool],
) -> Admission {
    let free = FreeCores { total: limits.total, teams: limits.teams.clone() };
    let shares = vec![0; demands.len()];
    let mut allocation = Allocation { demands, admitted, shares, free };
    allocation.allocate_running();
    let (mut required, optional): (Vec<usize>, Vec<usize>) =
        allocation.incomplete_step_jobs().into_iter().partition(|&index| demands[index].required);
    required.sort_by(|&a, &b| by_rank_and_weight(&demands[a], &demands[b]));
    allocation.allocate_step_jobs(required);
    if !optional.is_empty() {
        let chosen = allocation.select_step_jobs(&optional);
        allocation.allocate_step_jobs(chosen);
    }
    allocation.allocate_concave(&mut |_, _| {});
    allocation.into_admission(waterline)
}

impl Allocation<'_> {
    /// Allocates the cores of all running tasks, which keep them even beyond the limits.
    fn allocate_running(&mut self) {
        for (demand, share) in self.demands.iter().zip(&mut self.shares) {
            if demand.min_tasks > 0 {
                *share = demand.min_tasks;
                self.free.allocate_unchecked(demand.team, demand.cores_of(demand.min_tasks));
            }
        }
    }

    /// Returns the indices of the admitted step jobs whose share lacks some of their tasks.
    fn incomplete_step_jobs(&self) -> Vec<usize> {
        let is_incomplete = |index: &usize| {
            let demand = &self.demands[*index];
            self.admitted[*index]
                && demand.curve == ValueCurve::Step
                && demand.max_tasks > self.shares[*index]
        };
        (0..self.demands.len()).filter(is_incomplete).collect()
    }

    /// Allocates all tasks of each given step job whose missing tasks fit into the free cores, in the given order.
    fn allocate_step_jobs(&mut self, step_jobs: Vec<usize>) {
        for index in step_jobs {
            let demand = &self.demands[index];
            if self.free.allocate(demand.team, self.missing_cores_of(index)) {
                self.shares[index] = demand.max_tasks;
            }
        }
    }

    /// Returns the cores that a job's share lacks to the job's maximum number of tasks.
    fn missing_cores_of(&self, index: usize) -> Cores {
        let demand = &self.demands[index];
        demand.cores_of(demand.max_tasks - self.shares[index])
    }

    /// Allocates tasks of concave jobs by descending marginal gain per core. Calls `on_allocated` with the cores and
    /// the marginal gain of each task.
    fn allocate_concave(&mut self, on_allocated: &mut dyn FnMut(Cores, f64)) {
        let mut heap: BinaryHeap<NextTask> = (0..self.demands.len())
            .filter(|&index| {
                let demand = &self.demands[index];
                self.admitted[index]
                    && matches!(demand.curve, ValueCurve::Concave { .. })
                    && self.shares[index] < demand.max_tasks
            })
            .map(|index| self.next_task(index))
            .collect();
        while let Some(next) = heap.pop() {
            let (index, demand) = (next.index, &self.demands[next.index]);
            if !self.free.allocate(demand.team, demand.cores_per_task) {
                continue;
            }
            on_allocated(demand.cores_per_task, demand.marginal_gain(self.shares[index]));
            self.shares[index] += 1;
            if self.shares[index] < demand.max_tasks {
                heap.push(self.next_task(index));
            }
        }
    }

    fn next_task(&self, index: usize) -> NextTask {
        let demand = &self.demands[index];
        let cores = demand.cores_per_task.amount().max(0.001);
        let gain_per_core = demand.marginal_gain(self.shares[index]) / cores;
        NextTask { rank: demand.rank, gain_per_core, index }
    }

    /// Chooses the step jobs to run and returns their indices. For each number of core units, the dynamic program gives
    /// the best selection that uses this number. The selection with the highest sum of its own importance and the
    /// importance that the concave jobs reach with the remaining cores is chosen. The dynamic program disregards the
    /// limits of teams; [`Self::allocate_step_jobs`] skips a chosen job that exceeds its team's limit.
    fn select_step_jobs(&self, step_jobs: &[usize]) -> Vec<usize> {
        let unit = (self.free.total.0 / KNAPSACK_UNITS as u64).max(1);
        let concave = self.concave_importance();
        self.best_selections(step_jobs, unit)
            .into_iter()
            .enumerate()
            .filter_map(|(used_units, selection)| {
                let selection = selection?;
                let remaining = self.free.total.0.saturating_sub(unit * used_units as u64);
                Some((selection.importance + concave.at_cores(remaining), selection.step_jobs))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, step_jobs)| step_jobs)
            .unwrap_or_default()
    }

    /// Runs the dynamic program. The entry at index `n` is the most important selection that uses `n` units of
    /// `unit` thousandths of a core, or `None` if there is none.
    fn best_selections(&self, step_jobs: &[usize], unit: u64) -> Vec<Option<StepSelection>> {
        let mut best: Vec<Option<StepSelection>> = vec![None; KNAPSACK_UNITS + 1];
        best[0] = Some(StepSelection::default());
        for &index in step_jobs {
            let demand = &self.demands[index];
            let units = self.missing_cores_of(index).0.div_ceil(unit) as usize;
            let importance = demand.importance(demand.max_tasks);
            // In descending order, so that no job is selected twice.
            for used in (units..=KNAPSACK_UNITS).rev() {
                let Some(base) = &best[used - units] else {
                    continue;
                };
                let importance = base.importance + importance;
                if best[used].as_ref().is_none_or(|best| importance > best.importance) {
                    let mut step_jobs = base.step_jobs.clone();
                    step_jobs.push(index);
                    best[used] = Some(StepSelection { importance, step_jobs });
                }
            }
        }
        best
    }

    /// Computes the importance that the concave jobs reach for any number of cores. One allocation is enough: tasks
    /// are allocated in order of marginal gain per core, so with fewer cores a prefix of the same tasks is allocated.
    fn concave_importance(&self) -> ConcaveImportance {
        let mut sums = vec![(0, 0.0)];
        self.clone().allocate_concave(&mut |cores, gain| {
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

/// A set of step jobs to run.
#[derive(Clone, Default)]
struct StepSelection {
    /// Total importance of the jobs when all their tasks run.
    importance: f64,
    /// Indices of the jobs among the demands.
    step_jobs: Vec<usize>,
}

/// Total importance of the concave jobs as a function of the cores allocated to them.
struct ConcaveImportance {
    /// Cumulative cores, in thousandths, and cumulative importance after each allocated task.
    sums: Vec<(u64, f64)>,
}

impl ConcaveImportance {
    /// Returns the importance that the concave jobs reach with `cores` thousandths of a core.
    fn at_cores(&self, cores: u64) -> f64 {
        let fitting = self.sums.partition_point(|(used, _)| *used <= cores);
        self.sums.get(fitting.saturating_sub(1)).map_or(0.0, |(_, importance)| *importance)
    }
}

/// The next task of a concave job in the allocation queue. The greatest entry is allocated first: the one with the
/// highest marginal gain per core, then the best rank, then the lowest index.
#[derive(PartialEq)]
struct NextTask {
    rank: u32,
    gain_per_core: f64,
    /// Index of the job among the demands.
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
