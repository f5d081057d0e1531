//! Placement of gangs: all tasks at once, on few machines.

use super::{ON_DEMAND_COST_SHARE, PlacementRequest, PlacementTarget, slots, slowness_s};
use crate::wire::JobSpec;

/// Machines whose start times differ by at most this many seconds count as equally early for a gang.
const START_TOLERANCE_S: f64 = 0.5;

/// Returns the start time of a gang's task on a machine: seconds from now until the task can start, plus the cost in
/// seconds of slow execution and, if the gang allows spot machines, of an on-demand machine. Cores left over are not
/// counted, as the gang is fitted as a whole.
fn gang_start_s(spec: &JobSpec, target: &PlacementTarget) -> f64 {
    let is_more_expensive = spec.allows_spot && !target.spot;
    let on_demand_s =
        if is_more_expensive { spec.estimated_run_s * ON_DEMAND_COST_SHARE } else { 0.0 };
    target.fetch_s(spec) + target.command_delay_s + slowness_s(spec, target) + on_demand_s
}

/// A machine on which some of a gang's tasks fit.
#[derive(Clone, Copy)]
struct GangBin {
    /// Start time of a task on the machine, from [`gang_start_s`].
    start_s: f64,
    /// Index of the machine among the targets.
    index: usize,
    /// Number of the gang's tasks that fit on the machine.
    slots: usize,
}

/// The machines chosen for all tasks of a gang.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GangPlacement {
    /// Latest start time of a task in seconds from now, which includes the costs of on-demand and slow machines.
    pub last_start_s: f64,
    /// Index of each task's machine among the targets.
    pub machines: Vec<usize>,
}

/// Chooses machines for all tasks of a gang, or returns `None` if the tasks do not all fit. The machines that let the
/// last task start earliest are preferred. Among them as few as possible are used, because each additional machine can
/// delay the gang or fail. `usable` tells for each target whether it may be used at all.
pub fn pack_gang(
    request: &PlacementRequest<'_>,
    targets: &[PlacementTarget],
    usable: &[bool],
) -> Option<GangPlacement> {
    let is_usable = |index: usize| usable.get(index).copied().unwrap_or(false);
    let mut bins: Vec<GangBin> = targets
        .iter()
        .enumerate()
        .filter(|(index, target)| is_usable(*index) && request.fits_on(target))
        .map(|(index, target)| {
            let slots = slots(request.need, &target.free) as usize;
            GangBin { start_s: gang_start_s(request.spec, target), index, slots }
        })
        .collect();
    bins.sort_by(|a, b| {
        let by_start = a.start_s.total_cmp(&b.start_s);
        by_start.then_with(|| targets[a.index].id.cmp(&targets[b.index].id))
    });
    pack_into_fewest(earliest_bins(&bins, request.count)?, request.count)
}

/// Returns the earliest bins that together hold `count` tasks, and all bins whose start time is within
/// [`START_TOLERANCE_S`] of the last of them. Expects the bins in order of their start times. Returns `None` if all
/// bins together hold fewer than `count` tasks.
fn earliest_bins(bins: &[GangBin], count: usize) -> Option<Vec<GangBin>> {
    let mut slots = 0;
    let last = bins.iter().find(|bin| {
        slots += bin.slots;
        slots >= count
    })?;
    let latest_s = last.start_s + START_TOLERANCE_S;
    Some(bins.iter().copied().filter(|bin| bin.start_s <= latest_s).collect())
}

/// Packs all tasks into few bins. Each step fills the smallest bin that holds all remaining tasks, or else the largest
/// bin. Choosing the smallest bin keeps large machines free for other work.
fn pack_into_fewest(mut bins: Vec<GangBin>, count: usize) -> Option<GangPlacement> {
    let (mut machines, mut last_start_s) = (Vec::with_capacity(count), 0.0f64);
    while machines.len() < count {
        let remaining = count - machines.len();
        let by_slots = |a: usize, b: usize| bins[a].slots.cmp(&bins[b].slots);
        let by_start = |a: usize, b: usize| bins[a].start_s.total_cmp(&bins[b].start_s);
        let smallest = (0..bins.len())
            .filter(|&position| bins[position].slots >= remaining)
            .min_by(|&a, &b| by_slots(a, b).then(by_start(a, b)));
        let largest = || (0..bins.len()).max_by(|&a, &b| by_slots(a, b).then(by_start(b, a)));
        let position = smallest.or_else(largest)?;
        let bin = bins.swap_remove(position);
        last_start_s = last_start_s.max(bin.start_s);
        machines.extend(std::iter::repeat_n(bin.index, bin.slots.min(remaining)));
    }
    Some(GangPlacement { last_start_s, machines })
}

/// Places all tasks of a gang and allocates their resources on the targets. Returns the index of each task's machine,
/// or no index if the tasks do not all fit.
pub fn place_gang(request: &PlacementRequest<'_>, targets: &mut [PlacementTarget]) -> Vec<usize> {
    let all = vec![true; targets.len()];
    let machines = pack_gang(request, targets, &all).map_or(vec![], |placed| placed.machines);
    machines.iter().for_each(|index| targets[*index].add(request.spec, request.need));
    machines
}
