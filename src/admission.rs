//! Admission by a rank-legal waterline, and shares that maximize summed importance.
//!
//! A job's revised rank is the best among the jobs that depend on it. Jobs better than the
//! waterline are in, jobs worse wait; at the waterline the search decides. Required jobs
//! enter by rank while cores last. Importance is weight times value; concave curves fill by
//! marginal gain, steps are chosen by dynamic programming.

use std::collections::{BTreeMap, BinaryHeap, HashMap};

use crate::model::{Cores, JobId};

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
        for (job, on) in needs {
            let (Some(&rank), Some(&other)) = (revised.get(job), revised.get(on)) else {
                continue;
            };
            if rank < other {
                revised.insert(*on, rank);
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

/// Decides who is in and how wide.
pub fn admit(demands: &[Demand], bounds: &Bounds) -> Admission {
    let worst = demands.iter().map(|d| d.rank).max().unwrap_or(1);
    let mut best: Option<Admission> = None;
    for waterline in (1..=worst).rev() {
        let Some(found) = at_waterline(demands, bounds, waterline) else {
            continue;
        };
        if best.as_ref().is_none_or(|b| found.importance > b.importance) {
            best = Some(found);
        }
    }
    // Even the jobs of the best rank do not all fit: the most important ones go in.
    best.unwrap_or_else(|| fill(demands, bounds, 1, &choose_some(demands, bounds, 1)))
}

/// The best admission with that waterline, or `None` if the jobs that have to be in do not fit.
fn at_waterline(demands: &[Demand], bounds: &Bounds, waterline: u32) -> Option<Admission> {
    let mut room = bounds.held;
    for d in demands.iter().filter(|d| d.rank < waterline) {
        let least = first_share(d);
        let need = Cores(d.cores.0 * u64::from(least));
        if need > room {
            return None;
        }
        room = room.less(need);
    }
    Some(fill(demands, bounds, waterline, &choose_some(demands, bounds, waterline)))
}

/// The smallest share that makes admitting a job worth anything.
fn first_share(d: &Demand) -> u32 {
    match d.curve {
        Curve::Concave { .. } => d.min.max(d.max.min(1)),
        Curve::Step => d.max,
    }
}

/// Who is in with that waterline: all better ranks, jobs that already run, required jobs by
/// rank, and jobs at the waterline by importance per core, while cores last.
fn choose_some(demands: &[Demand], bounds: &Bounds, waterline: u32) -> Vec<bool> {
    let mut inside: Vec<bool> = demands.iter().map(|d| d.rank < waterline || d.min > 0).collect();
    let mut room = bounds.held;
    for (d, _) in demands.iter().zip(&inside).filter(|(_, is_in)| **is_in) {
        room = room.less(Cores(d.cores.0 * u64::from(first_share(d))));
    }
    let mut order: Vec<usize> = (0..demands.len())
        .filter(|&i| !inside[i] && (demands[i].required || demands[i].rank == waterline))
        .collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (&demands[a], &demands[b]);
        b.required
            .cmp(&a.required)
            .then(a.rank.cmp(&b.rank))
            .then(b.weight.total_cmp(&a.weight))
            .then(a.job.cmp(&b.job))
    });
    for i in order {
        let need = Cores(demands[i].cores.0 * u64::from(first_share(&demands[i])));
        if need <= room {
            room = room.less(need);
            inside[i] = true;
        }
    }
    inside
}

struct EpochAllocation {
    room: Cores,
    teams: Vec<Option<Cores>>,
}

impl EpochAllocation {
    /// Takes cores for a team if there is room in all bounds.
    fn take(&mut self, team: usize, cores: Cores) -> bool {
        let limit = self.teams.get(team).copied().flatten();
        if cores > self.room || limit.is_some_and(|l| cores > l) {
            return false;
        }
        self.take_anyway(team, cores);
        true
    }
    /// Takes cores that are in use whether there is room or not.
    fn take_anyway(&mut self, team: usize, cores: Cores) {
        self.room = self.room.less(cores);
        if let Some(Some(l)) = self.teams.get_mut(team) {
            *l = l.less(cores);
        }
    }
}

/// Shares for the jobs that are in: running tasks first, then steps by dynamic programming
/// against what the concave jobs would make of the same cores, then marginal gain.
fn fill(demands: &[Demand], bounds: &Bounds, waterline: u32, inside: &[bool]) -> Admission {
    let mut out = Admission { waterline, ..Admission::default() };
    let mut f = EpochAllocation { room: bounds.held, teams: bounds.teams.clone() };
    let mut shares: Vec<u32> = vec![0; demands.len()];
    for (i, d) in demands.iter().enumerate() {
        if d.min > 0 {
            shares[i] = d.min;
            f.take_anyway(d.team, Cores(d.cores.0 * u64::from(d.min)));
        }
    }
    let steps: Vec<usize> = (0..demands.len())
        .filter(|&i| inside[i] && demands[i].curve == Curve::Step && demands[i].max > shares[i])
        .collect();
    // Those that have to be in come before the others are weighed against concave jobs.
    let (mut first, steps): (Vec<usize>, Vec<usize>) =
        steps.into_iter().partition(|&i| demands[i].required);
    first.sort_by(|&a, &b| {
        let (a, b) = (&demands[a], &demands[b]);
        a.rank.cmp(&b.rank).then(b.weight.total_cmp(&a.weight)).then(a.job.cmp(&b.job))
    });
    for i in first {
        let d = &demands[i];
        if f.take(d.team, Cores(d.cores.0 * u64::from(d.max - shares[i]))) {
            shares[i] = d.max;
        }
    }
    if !steps.is_empty() {
        for i in best_steps(demands, &steps, inside, &shares, &f) {
            let d = &demands[i];
            if f.take(d.team, Cores(d.cores.0 * u64::from(d.max - shares[i]))) {
                shares[i] = d.max;
            }
        }
    }
    fill_concave(demands, inside, &mut shares, &mut f, &mut |_, _| {});
    for (i, d) in demands.iter().enumerate() {
        if inside[i] {
            out.shares.insert(d.job, shares[i]);
            out.importance += importance(d, shares[i]);
        } else {
            out.waiting.push(d.job);
        }
    }
    out
}

/// Importance of a job with that many tasks running.
fn importance(d: &Demand, tasks: u32) -> f64 {
    match d.curve {
        Curve::Step if tasks < d.max => 0.0,
        Curve::Step => d.weight * d.cores.amount() * f64::from(tasks),
        Curve::Concave { .. } => (0..tasks).map(|k| gain(d, k)).sum(),
    }
}

/// What the next task adds when `k` run already.
fn gain(d: &Demand, k: u32) -> f64 {
    let fade = match d.curve {
        Curve::Concave { fade } => fade,
        Curve::Step => 1.0,
    };
    d.weight * d.cores.amount() * fade.powi(k.min(1_000) as i32)
}

/// One task more for a job, ordered by gain per core; better ranks go first.
#[derive(PartialEq)]
struct Next {
    rank: u32,
    per_core: f64,
    index: usize,
}
impl Eq for Next {}
impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Next {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.per_core
            .total_cmp(&other.per_core)
            .then(other.rank.cmp(&self.rank))
            .then(other.index.cmp(&self.index))
    }
}

fn next_of(demands: &[Demand], i: usize, k: u32) -> Next {
    let d = &demands[i];
    let cores = d.cores.amount().max(0.001);
    Next { rank: d.rank, per_core: gain(d, k) / cores, index: i }
}

/// Fills concave jobs by marginal gain; `note` is told of each task's cores and what it adds.
fn fill_concave(
    demands: &[Demand],
    inside: &[bool],
    shares: &mut [u32],
    f: &mut EpochAllocation,
    note: &mut dyn FnMut(Cores, f64),
) {
    let mut heap: BinaryHeap<Next> = (0..demands.len())
        .filter(|&i| inside[i] && matches!(demands[i].curve, Curve::Concave { .. }))
        .filter(|&i| shares[i] < demands[i].max)
        .map(|i| next_of(demands, i, shares[i]))
        .collect();
    while let Some(next) = heap.pop() {
        let (i, d) = (next.index, &demands[next.index]);
        if !f.take(d.team, d.cores) {
            continue;
        }
        note(d.cores, gain(d, shares[i]));
        shares[i] += 1;
        if shares[i] < d.max {
            heap.push(next_of(demands, i, shares[i]));
        }
    }
}

/// Which step jobs to run: dynamic programming over cores in coarse units, where what is
/// left over is worth what the concave jobs make of it.
fn best_steps(
    demands: &[Demand],
    steps: &[usize],
    inside: &[bool],
    shares: &[u32],
    f: &EpochAllocation,
) -> Vec<usize> {
    const UNITS: usize = 64;
    let unit = (f.room.0 / UNITS as u64).max(1);
    let cost = |i: usize| {
        let d = &demands[i];
        (d.cores.0 * u64::from(d.max - shares[i])).div_ceil(unit) as usize
    };
    // best[c]: the most importance from steps that take c units, and which.
    let mut best: Vec<Option<(f64, Vec<usize>)>> = vec![None; UNITS + 1];
    best[0] = Some((0.0, Vec::new()));
    for &i in steps {
        let (c, worth) = (cost(i), importance(&demands[i], demands[i].max));
        for used in (c..=UNITS).rev() {
            let Some((value, chosen)) = &best[used - c] else {
                continue;
            };
            let value = value + worth;
            if best[used].as_ref().is_none_or(|b| value > b.0) {
                let mut chosen = chosen.clone();
                chosen.push(i);
                best[used] = Some((value, chosen));
            }
        }
    }
    // What the concave jobs make of any number of cores follows from filling them once: they take
    // the best first, so fewer cores are the beginning of the same order.
    let mut made: Vec<(u64, f64)> = vec![(0, 0.0)];
    let mut left = EpochAllocation { room: f.room, teams: f.teams.clone() };
    fill_concave(demands, inside, &mut shares.to_vec(), &mut left, &mut |cores, gain| {
        let (used, sum) = made.last().copied().unwrap_or_default();
        made.push((used + cores.0, sum + gain));
    });
    let rest = |used: usize| {
        let room = f.room.0.saturating_sub(unit * used as u64);
        let until = made.partition_point(|m| m.0 <= room);
        made.get(until.saturating_sub(1)).map_or(0.0, |m| m.1)
    };
    best.into_iter()
        .enumerate()
        .filter_map(|(used, b)| b.map(|(v, chosen)| (v + rest(used), chosen)))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, chosen)| chosen)
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
