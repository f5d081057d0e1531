//! The bound on waiting: jobs that have had no task anywhere for long go before others, and machines
//! are held back for those that fit nowhere.

use rustc_hash::FxHashMap;

use super::allocation::EpochAllocation;
use super::{ClusterView, Leader};
use crate::admission::Demand;
use crate::model::JobId;
use crate::placement;
use crate::placement::PlacementTarget;
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::JobKind;

/// How long a job waits at most before its first tasks go before others.
const STARVED_MS: u64 = 100_000;

/// The same in a team at its limit, for a job without a task on a machine, whether it has begun or
/// not. What is granted then runs within a few reports, and so before 90 s are over. Such a team
/// always has a few cores free between the end of a task and the start of the next one, so others
/// than the first in line would be left waiting beside them.
const STARVED_AT_LIMIT_MS: u64 = 60_000;

/// The rank that it has until it has begun.
pub(super) const STARVED_RANK: u32 = 2;

/// Importance per core that it has at least until then.
pub(super) const STARVED_WEIGHT: f64 = 1_000.0;

/// Most machines that are held back for such jobs at a time.
const STARVED_ROOMS: usize = 4;

/// How long a gang that fits nowhere waits before machines are cleared for it.
const CLEARED_MS: u64 = 33_000;

/// Milliseconds since a job was accepted.
pub(super) fn waiting_ms(cluster: &ClusterView<'_>, job: &Job) -> u64 {
    cluster.wall.0.saturating_sub(job.at.0)
}

/// Keeps machines from others in the zone where a gang that fits nowhere can begin first: those
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
        true => cluster.settings.params.zones.iter().map(|z| Some(z.as_str())).collect(),
        false => vec![None],
    };
    if zones.iter().any(|z| placement::pack(&job.spec, need, targets, &all, *z, count).is_some()) {
        return;
    }
    let slots = |r: &PlacementTarget| {
        let offered =
            cluster.catalog.get(&*r.machine_type).map(Resources::offered).unwrap_or_default();
        let may = r.open && placement::allowed(&job.spec, &r.machine_type, &r.zone, r.spot);
        if may { placement::slots(need, &offered) as usize } else { 0 }
    };
    // The zone that lacks least now, of those that could hold it at all.
    let mut best: Option<(usize, Vec<usize>)> = None;
    for zone in zones {
        let mut inside: Vec<usize> = (0..targets.len())
            .filter(|&i| zone.is_none_or(|z| *z == *targets[i].zone) && slots(&targets[i]) > 0)
            .collect();
        inside.sort_by_key(|&i| std::cmp::Reverse((targets[i].free.cores, i)));
        let (mut could, mut can, mut chosen) = (0, 0, Vec::new());
        for i in inside {
            if could >= count {
                break;
            }
            could += slots(&targets[i]);
            can += placement::slots(need, &targets[i].free) as usize;
            chosen.push(i);
        }
        if could >= count && best.as_ref().is_none_or(|b| can > b.0) {
            best = Some((can, chosen));
        }
    }
    for i in best.into_iter().flat_map(|b| b.1) {
        targets[i].open = false;
    }
}

impl Leader {
    /// Notes which jobs have nothing on machines or on its way there, and since when.
    pub(super) fn note_idle(
        &mut self,
        cluster: &ClusterView<'_>,
        counts: &FxHashMap<JobId, (u32, u32)>,
    ) {
        let held = |id: &JobId| counts.get(id).is_some_and(|c| c.0 > 0);
        self.idle.retain(|id, _| cluster.replica.jobs.contains_key(id) && !held(id));
        for id in cluster.replica.jobs.keys().filter(|id| !held(id)) {
            self.idle.entry(*id).or_insert(cluster.now);
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
        let idle = self.idle.get(&job.spec.id).map_or(0, |at| cluster.now.since(*at));
        idle.max(waits) > STARVED_AT_LIMIT_MS
    }

    /// Keeps machines from others that jobs need which have waited long and fit nowhere: else
    /// small tasks would take every core that a large one waits for.
    pub(super) fn reserve_for_starved(
        &mut self,
        cluster: &ClusterView<'_>,
        demands: &[Demand],
        counts: &FxHashMap<JobId, (u32, u32)>,
        allocation: &mut EpochAllocation,
    ) {
        let mut held = 0;
        for d in demands {
            let Some(job) = cluster.replica.jobs.get(&d.job) else { continue };
            let need = Resources::of(&job.spec);
            let running = counts.get(&d.job).map_or(0, |c| c.0);
            if job.spec.kind == JobKind::Gang {
                if running == 0 && waiting_ms(cluster, job) > CLEARED_MS {
                    hold_back_for_gang(cluster, job, &need, &mut allocation.targets);
                }
                continue;
            }
            let fits = |r: &PlacementTarget| r.takes(&job.spec, &need, None);
            if !self.starved(cluster, job, running, false) || allocation.targets.iter().any(fits) {
                continue;
            }
            // What is kept for gangs is not kept from work that has waited long.
            let free = |r: &&mut PlacementTarget| r.holds(&job.spec, &need, None);
            if let Some(target) = allocation.targets.iter_mut().find(free) {
                target.reserved = false;
                self.reserved.retain(|id| *id != target.id);
                continue;
            }
            if held >= STARVED_ROOMS {
                continue;
            }
            let could = |r: &PlacementTarget| {
                let offered = cluster.catalog.get(&*r.machine_type).map(Resources::offered);
                r.open
                    && offered.is_some_and(|o| need.fits(&o))
                    && placement::allowed(&job.spec, &r.machine_type, &r.zone, r.spot)
            };
            let best = (0..allocation.targets.len())
                .filter(|&i| could(&allocation.targets[i]))
                .max_by_key(|&i| allocation.targets[i].free.cores);
            if let Some(i) = best {
                allocation.targets[i].open = false;
                held += 1;
            }
        }
    }
}
