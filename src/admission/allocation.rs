//! Shares of admitted jobs: running tasks, step jobs by dynamic programming, concave jobs by marginal gain.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::{Admission, Bounds, Curve, Demand, by_rank_and_weight};
use crate::model::Cores;

/// Units into which the free cores are divided for the dynamic program; more are finer and slower.
const CORE_UNITS: usize = 64;

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
        self.total = self.total.saturating_sub(cores);
        if let Some(Some(limit)) = self.teams.get_mut(team) {
            *limit = limit.saturating_sub(cores);
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
pub(super) fn allocate(
    demands: &[Demand],
    bounds: &Bounds,
    waterline: u32,
    admitted: &[bool],
) -> Admission {
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
