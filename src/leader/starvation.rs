//! The bound on waiting: jobs that have had no task anywhere for long go before others, and machines
//! are held back for those that fit nowhere.

use super::allocation::EpochAllocation;
use super::task_grants::JobTaskCounts;
use super::{ClusterView, Leader};
use crate::admission::Demand;
use crate::model::JobId;
use crate::placement::{self, PlacementRequest, PlacementTarget};
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::{JobKind, JobSpec};

/// How long a job waits at most before its first tasks go before others, in milliseconds.
const STARVED_MS: u64 = 100_000;

/// The same in a team at its limit, for a job without a task on a machine, whether it has begun or
/// not. What is granted then runs within a few heartbeats, and so before 90 s are over. Such a team
/// always has a few cores free between the end of a task and the start of the next one, so others
/// than the first in line would be left waiting beside them.
const STARVED_AT_LIMIT_MS: u64 = 60_000;

/// The rank that it has until it has begun.
pub(super) const STARVED_RANK: u32 = 2;

/// Importance per core that it has at least until then.
pub(super) const STARVED_WEIGHT: f64 = 1_000.0;

/// Most machines that are held back for such jobs at a time.
const STARVED_MACHINES: usize = 4;

/// How long a gang that fits nowhere waits before machines are cleared for it, in milliseconds.
const CLEARED_MS: u64 = 33_000;

/// Milliseconds since a job was accepted.
pub(super) fn waiting_ms(cluster: &ClusterView<'_>, job: &Job) -> u64 {
    cluster.wall.0.saturating_sub(job.at.0)
}

/// Cores and more that a machine offers to a job when it is empty; `None` if the job may not use it.
fn offered_to(
    cluster: &ClusterView<'_>,
    spec: &JobSpec,
    target: &PlacementTarget,
) -> Option<Resources> {
    let PlacementTarget { machine_type, zone, spot, .. } = target;
    let may_use = target.schedulable && placement::allowed(spec, machine_type, zone, *spot);
    cluster.catalog.get(&**machine_type).filter(|_| may_use).map(Resources::offered)
}

/// Closes machines to others in the zone where a gang that fits nowhere can begin first: those
/// that would hold it once they are empty.
fn hold_back_for_gang(
    cluster: &ClusterView<'_>,
    job: &Job,
    need: &Resources,
    targets: &mut [PlacementTarget],
) {
    let count = job.spec.task_count as usize;
    let all = vec![true; targets.len()];
    let zones: Vec<Option<&str>> = match job.spec.one_zone {
        true => cluster.settings.params.zones.iter().map(|zone| Some(zone.as_str())).collect(),
        false => vec![None],
    };
    let fits = |zone| {
        let gang = PlacementRequest { spec: &job.spec, need, zone, count };
        placement::pack_gang(&gang, targets, &all).is_some()
    };
    if zones.iter().any(|zone| fits(*zone)) {
        return;
    }
    // The zone that lacks least now, of those that could hold it at all.
    let mut best: Option<GangRoom> = None;
    for zone in zones {
        let room = room_for_gang(cluster, job, need, targets, zone);
        if room.slots >= count && best.as_ref().is_none_or(|best| room.free_slots > best.free_slots)
        {
            best = Some(room);
        }
    }
    for i in best.into_iter().flat_map(|best| best.machines) {
        targets[i].schedulable = false;
    }
}

/// Machines of a zone that would hold a gang once they are empty.
#[derive(Default)]
struct GangRoom {
    /// By their place among the targets.
    machines: Vec<usize>,
    /// Tasks that they hold when they are empty.
    slots: usize,
    /// Tasks that they could take now.
    free_slots: usize,
}

/// The machines of a zone that are closest to holding a gang, as many as it needs.
fn room_for_gang(
    cluster: &ClusterView<'_>,
    job: &Job,
    need: &Resources,
    targets: &[PlacementTarget],
    zone: Option<&str>,
) -> GangRoom {
    let slots = |target: &PlacementTarget| {
        offered_to(cluster, &job.spec, target)
            .map_or(0, |offered| placement::slots(need, &offered) as usize)
    };
    let mut inside: Vec<usize> = (0..targets.len())
        .filter(|&i| zone.is_none_or(|zone| *zone == *targets[i].zone) && slots(&targets[i]) > 0)
        .collect();
    inside.sort_by_key(|&i| std::cmp::Reverse((targets[i].free.cores, i)));
    let mut room = GangRoom::default();
    for i in inside {
        if room.slots >= job.spec.task_count as usize {
            break;
        }
        room.slots += slots(&targets[i]);
        room.free_slots += placement::slots(need, &targets[i].free) as usize;
        room.machines.push(i);
    }
    room
}

impl Leader {
    /// Records which jobs have nothing on machines or on its way there, and since when.
    pub(super) fn record_idle(&mut self, cluster: &ClusterView<'_>, counts: &JobTaskCounts) {
        let held = |id: &JobId| counts.get(id).is_some_and(|counts| counts.held > 0);
        self.jobs.idle_since.retain(|id, _| cluster.replica.jobs.contains_key(id) && !held(id));
        for id in cluster.replica.jobs.keys().filter(|id| !held(id)) {
            self.jobs.idle_since.entry(*id).or_insert(cluster.now);
        }
    }

    /// Whether a job has waited long without a task of it being anywhere: since it was accepted, or, in
    /// a team at its limit, since the last one ended.
    pub(super) fn starved(
        &self,
        cluster: &ClusterView<'_>,
        job: &Job,
        held: u32,
        at_limit: bool,
    ) -> bool {
        let begun = !job.progress.done.is_empty();
        let waits = if begun { 0 } else { waiting_ms(cluster, job) };
        if held > 0 || !at_limit {
            return held == 0 && waits > STARVED_MS;
        }
        let idle = self.jobs.idle_since.get(&job.spec.id).map_or(0, |at| cluster.now.since(*at));
        idle.max(waits) > STARVED_AT_LIMIT_MS
    }

    /// Keeps machines from others that jobs need which have waited long and fit nowhere: else
    /// small tasks would take every core that a large one waits for.
    pub(super) fn reserve_for_starved(
        &mut self,
        cluster: &ClusterView<'_>,
        demands: &[Demand],
        counts: &JobTaskCounts,
        allocation: &mut EpochAllocation,
    ) {
        let mut held_back = 0;
        for demand in demands {
            let Some(job) = cluster.replica.jobs.get(&demand.job) else { continue };
            let need = Resources::of(&job.spec);
            let held = counts.get(&demand.job).map_or(0, |counts| counts.held);
            if job.spec.kind == JobKind::Gang {
                if held == 0 && waiting_ms(cluster, job) > CLEARED_MS {
                    hold_back_for_gang(cluster, job, &need, &mut allocation.targets);
                }
                continue;
            }
            let fits = |target: &PlacementTarget| target.accepts(&job.spec, &need, None);
            if !self.starved(cluster, job, held, false) || allocation.targets.iter().any(fits) {
                continue;
            }
            let released = self.release_reserved(&job.spec, &need, &mut allocation.targets);
            if !released && held_back < STARVED_MACHINES {
                let machine = largest_possible(cluster, &job.spec, &need, &allocation.targets);
                if let Some(i) = machine {
                    allocation.targets[i].schedulable = false;
                    held_back += 1;
                }
            }
        }
    }

    /// Gives a machine that is reserved for gangs to work that has waited long: the reservation does not hold against that.
    /// False if none of them holds a task of it.
    fn release_reserved(
        &mut self,
        spec: &JobSpec,
        need: &Resources,
        targets: &mut [PlacementTarget],
    ) -> bool {
        let Some(target) =
            targets.iter_mut().find(|target| target.accepts_ignoring_reservation(spec, need, None))
        else {
            return false;
        };
        target.reserved = false;
        self.gangs.reserved.retain(|id| *id != target.id);
        true
    }
}

/// The machine with most free cores of those that hold a task when they are empty.
fn largest_possible(
    cluster: &ClusterView<'_>,
    spec: &JobSpec,
    need: &Resources,
    targets: &[PlacementTarget],
) -> Option<usize> {
    let holds = |target: &PlacementTarget| {
        offered_to(cluster, spec, target).is_some_and(|offered| need.fits(&offered))
    };
    (0..targets.len()).filter(|&i| holds(&targets[i])).max_by_key(|&i| targets[i].free.cores)
}
