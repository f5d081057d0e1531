//! Bound on waiting: jobs that have held no task for long take precedence, and machines are held back for jobs
//! that fit on no machine.

use super::allocation::EpochAllocation;
use super::task_grants::JobTaskCounts;
use super::{ClusterView, Leader};
use crate::admission::Demand;
use crate::model::JobId;
use crate::placement::{self, PlacementRequest, PlacementTarget};
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::{JobKind, JobSpec};

/// How long a job waits at most before its first tasks take precedence, in milliseconds.
const STARVATION_TIMEOUT_MS: u64 = 100_000;

/// How long a job without a task on a machine waits at most in a team at its limit, whether or not it has begun,
/// in milliseconds. What is granted after 60 s runs within a few heartbeats, so less than 90 s after the job
/// began to wait. A team at its limit always has a few cores free between the end of a task and the start of the
/// next one. Without this bound, jobs that are not first in line would be left waiting beside these free cores.
const STARVATION_TIMEOUT_AT_LIMIT_MS: u64 = 60_000;

/// Rank of a job while it is starved, unless its own rank is better.
pub(super) const STARVED_RANK: u32 = 2;

/// Minimum importance per core of a job while it is starved.
pub(super) const STARVED_WEIGHT: f64 = 1_000.0;

/// Maximum number of machines that are held back at a time for starved arrays and services.
const MAX_MACHINES_HELD_BACK: usize = 4;

/// How long a gang that fits nowhere waits before machines are held back for it, in milliseconds.
const GANG_HOLD_BACK_DELAY_MS: u64 = 33_000;

/// Returns the milliseconds since a job was accepted.
pub(super) fn since_accepted_ms(cluster: &ClusterView<'_>, job: &Job) -> u64 {
    cluster.wall.0.saturating_sub(job.at.0)
}

/// Returns the resources that a machine offers to a job when it is empty; `None` if the job may not use it.
fn offered_to(
    cluster: &ClusterView<'_>,
    spec: &JobSpec,
    target: &PlacementTarget,
) -> Option<Resources> {
    let PlacementTarget { machine_type, zone, spot, .. } = target;
    let may_use = target.schedulable && placement::allowed(spec, machine_type, zone, *spot);
    cluster.catalog.get(&**machine_type).filter(|_| may_use).map(Resources::offered)
}

/// Closes machines to new tasks for a gang that fits nowhere. These machines hold the gang once they are empty;
/// they are all in one zone if the gang has to be.
fn hold_back_for_gang(
    cluster: &ClusterView<'_>,
    job: &Job,
    need: &Resources,
    targets: &mut [PlacementTarget],
) {
    let count = job.spec.task_count as usize;
    let all_targets = vec![true; targets.len()];
    let zones: Vec<Option<&str>> = match job.spec.one_zone {
        true => cluster.settings.params.zones.iter().map(|zone| Some(zone.as_str())).collect(),
        false => vec![None],
    };
    let fits = |zone| {
        let gang = PlacementRequest { spec: &job.spec, need, zone, count };
        placement::pack_gang(&gang, targets, &all_targets).is_some()
    };
    if zones.iter().any(|zone| fits(*zone)) {
        return;
    }
    // Prefers the zone where most of the tasks fit now, among those that could hold all of them.
    let mut best: Option<GangCapacity> = None;
    for zone in zones {
        let capacity = gang_capacity(cluster, job, need, targets, zone);
        if capacity.slots >= count
            && best.as_ref().is_none_or(|best| capacity.free_slots > best.free_slots)
        {
            best = Some(capacity);
        }
    }
    for i in best.into_iter().flat_map(|best| best.machines) {
        targets[i].schedulable = false;
    }
}

/// Machines that hold a gang once they are empty.
#[derive(Default)]
struct GangCapacity {
    /// Indices of the machines within the targets.
    machines: Vec<usize>,
    /// Number of tasks that the machines hold when they are empty.
    slots: usize,
    /// Number of tasks that the machines could take now.
    free_slots: usize,
}

/// Selects machines for a gang, those with most free cores first, until it fits on them when empty. All are in
/// `zone` if it is set.
fn gang_capacity(
    cluster: &ClusterView<'_>,
    job: &Job,
    need: &Resources,
    targets: &[PlacementTarget],
    zone: Option<&str>,
) -> GangCapacity {
    let slots = |target: &PlacementTarget| {
        offered_to(cluster, &job.spec, target)
            .map_or(0, |offered| placement::slots(need, &offered) as usize)
    };
    let mut suitable: Vec<usize> = (0..targets.len())
        .filter(|&i| zone.is_none_or(|zone| *zone == *targets[i].zone) && slots(&targets[i]) > 0)
        .collect();
    suitable.sort_by_key(|&i| std::cmp::Reverse((targets[i].free.cores, i)));
    let mut capacity = GangCapacity::default();
    for i in suitable {
        if capacity.slots >= job.spec.task_count as usize {
            break;
        }
        capacity.slots += slots(&targets[i]);
        capacity.free_slots += placement::slots(need, &targets[i].free) as usize;
        capacity.machines.push(i);
    }
    capacity
}

impl Leader {
    /// Records since when each open job has held no task: none on a machine, granted, or revoked without
    /// confirmation.
    pub(super) fn record_idle_jobs(&mut self, cluster: &ClusterView<'_>, counts: &JobTaskCounts) {
        let held = |id: &JobId| counts.get(id).is_some_and(|counts| counts.held > 0);
        self.jobs.idle_since.retain(|id, _| cluster.replica.jobs.contains_key(id) && !held(id));
        for id in cluster.replica.jobs.keys().filter(|id| !held(id)) {
            self.jobs.idle_since.entry(*id).or_insert(cluster.now);
        }
    }

    /// Returns whether a job has waited for too long without holding a task: since it was accepted if none
    /// of its tasks is done, or, in a team at its limit, also since it last held one.
    pub(super) fn is_starved(
        &self,
        cluster: &ClusterView<'_>,
        job: &Job,
        held: u32,
        at_limit: bool,
    ) -> bool {
        let begun = !job.progress.done.is_empty();
        let waited_ms = if begun { 0 } else { since_accepted_ms(cluster, job) };
        if held > 0 || !at_limit {
            return held == 0 && waited_ms > STARVATION_TIMEOUT_MS;
        }
        let idle_ms = self.jobs.idle_since.get(&job.spec.id).map_or(0, |at| cluster.now.since(*at));
        idle_ms.max(waited_ms) > STARVATION_TIMEOUT_AT_LIMIT_MS
    }

    /// Holds machines back for jobs that have waited for long and fit nowhere. Otherwise small tasks would
    /// take every core that a large task waits for.
    pub(super) fn hold_back_for_starved(
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
                if held == 0 && since_accepted_ms(cluster, job) > GANG_HOLD_BACK_DELAY_MS {
                    hold_back_for_gang(cluster, job, &need, &mut allocation.targets);
                }
                continue;
            }
            let fits = |target: &PlacementTarget| target.accepts(&job.spec, &need, None);
            if !self.is_starved(cluster, job, held, false) || allocation.targets.iter().any(fits) {
                continue;
            }
            let released = self.release_gang_reservation(&job.spec, &need, &mut allocation.targets);
            if !released && held_back < MAX_MACHINES_HELD_BACK {
                let machine =
                    largest_suitable_machine(cluster, &job.spec, &need, &allocation.targets);
                if let Some(i) = machine {
                    allocation.targets[i].schedulable = false;
                    held_back += 1;
                }
            }
        }
    }

    /// Gives up the reservation for gangs on one machine that has room for a task of a starved job, which
    /// takes precedence over the reservation. Returns whether there is such a machine.
    fn release_gang_reservation(
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

/// Returns the machine with the most free cores among those that hold a task when they are empty.
fn largest_suitable_machine(
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
