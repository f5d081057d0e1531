//! Placement of a gang: all of its tasks at once, on few machines.

use super::{ORDINARY_SHARE, PlacementRequest, PlacementTarget, slots, slowness_s};
use crate::wire::JobSpec;

/// Starts that differ by no more than these seconds are alike when a gang's machines are chosen.
const ALIKE_START_S: f64 = 0.5;

/// Seconds until a gang's task can begin on a machine, with what is worth waiting to avoid it. The fit does not
/// count: the gang as a whole is to fit.
fn gang_start_s(spec: &JobSpec, target: &PlacementTarget) -> f64 {
    let is_dearer = spec.allows_spot && !target.spot;
    let ordinary_s = if is_dearer { spec.estimated_run_s * ORDINARY_SHARE } else { 0.0 };
    target.fetch_s(spec) + target.delay_s + slowness_s(spec, target) + ordinary_s
}

/// A machine on which some of a gang's tasks fit.
#[derive(Clone, Copy)]
struct GangBin {
    /// Seconds until tasks can begin there, as [`gang_start_s`] counts them.
    start_s: f64,
    /// Index of the machine.
    index: usize,
    /// Tasks that fit.
    slots: usize,
}

/// Machines for all tasks of a gang.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GangPlacement {
    /// Seconds until the last task can begin.
    pub last_start_s: f64,
    /// Index of each task's machine.
    pub machines: Vec<usize>,
}

/// Machines for all of a gang's tasks, or `None` if they do not all fit: those where all can begin first, and
/// among them as few as hold it, as each further one can be late or be lost. `usable` says for each machine
/// whether it can be used at all.
pub fn pack(
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

/// The bins, in order of their start, where all tasks can begin first, with those that are alike.
fn earliest_bins(bins: &[GangBin], count: usize) -> Option<Vec<GangBin>> {
    let mut slots = 0;
    let last = bins.iter().find(|bin| {
        slots += bin.slots;
        slots >= count
    })?;
    let latest_s = last.start_s + ALIKE_START_S;
    Some(bins.iter().copied().filter(|bin| bin.start_s <= latest_s).collect())
}

/// Fills few bins with all tasks: the tightest that holds the rest, else the widest. Large machines stay whole
/// for others.
fn pack_into_fewest(mut bins: Vec<GangBin>, count: usize) -> Option<GangPlacement> {
    let (mut machines, mut last_start_s) = (Vec::with_capacity(count), 0.0f64);
    while machines.len() < count {
        let remaining = count - machines.len();
        let by_slots = |a: usize, b: usize| bins[a].slots.cmp(&bins[b].slots);
        let by_start = |a: usize, b: usize| bins[a].start_s.total_cmp(&bins[b].start_s);
        let tightest = (0..bins.len())
            .filter(|&position| bins[position].slots >= remaining)
            .min_by(|&a, &b| by_slots(a, b).then(by_start(a, b)));
        let widest = || (0..bins.len()).max_by(|&a, &b| by_slots(a, b).then(by_start(b, a)));
        let position = tightest.or_else(widest)?;
        let bin = bins.swap_remove(position);
        last_start_s = last_start_s.max(bin.start_s);
        machines.extend(std::iter::repeat_n(bin.index, bin.slots.min(remaining)));
    }
    Some(GangPlacement { last_start_s, machines })
}

/// Packs a gang on any of some machines and counts its tasks in there at once; nothing if they do not all fit.
/// Returns the index of each task's machine.
pub fn pack_in(request: &PlacementRequest<'_>, targets: &mut [PlacementTarget]) -> Vec<usize> {
    let all = vec![true; targets.len()];
    let machines = pack(request, targets, &all).map_or(vec![], |placed| placed.machines);
    machines.iter().for_each(|index| targets[*index].add(request.spec, request.need));
    machines
}
