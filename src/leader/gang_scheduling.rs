//! Gangs: jobs whose tasks run all at once or not at all.
//!
//! A gang is granted whole, with one attempt for all of its tasks, and only while none of them is
//! on a machine, granted, or may be running. While it gathers, a start that was lost is granted
//! again with that attempt. When a task is gone that a worker had shown, or the gang does not come
//! together in time, the rest is stopped, and once all are proven gone the gang begins anew.

use std::collections::BTreeMap;

use rustc_hash::FxHashSet;

use super::allocation::{EpochAllocation, ZoneRule};
use super::{ClusterView, Leader, RevokedGrant, TaskGrant};
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{Attempt, Cores, JobId, MachineId, MonotonicTime, PlanSeq, TaskId};
use crate::peer::{GangStop, WaitReason};
use crate::placement::{self, PlacementTarget, Resources};
use crate::replica::Job;
use crate::wire::{JobKind, TaskState};

/// Part of the time that a gang's tasks wait for each other in which it has to be whole.
const GATHER_PART: f64 = 0.4;
/// What a stop's way to all controllers and machines may take, besides one report.
const STOP_WAY_MS: u64 = 1_500;
/// How long a stop is left to work before the tasks that are still there are ended at once.
const STOP_AGAIN_MS: u64 = 3_000;

/// Most of all cores that are kept free for gangs.
const MAX_RESERVED_SHARE: f64 = 0.25;

/// How long the images of gangs count as wanted after the last one.
const IMAGES_KEPT_MS: u64 = 300_000;

/// A gang that was granted in this term.
#[derive(Clone, Debug)]
pub(super) struct Gang {
    attempt: Attempt,
    since: MonotonicTime,
}

impl Gang {
    /// The attempt with which it was granted.
    pub(super) fn attempt(&self) -> Attempt {
        self.attempt
    }
}

/// A gang that is being stopped.
#[derive(Clone, Debug)]
pub(super) struct PendingStop {
    pub(super) stop: GangStop,
    until: MonotonicTime,
}

/// Where a gang's tasks are.
#[derive(Default)]
struct Presence {
    on_machines: u32,
    running: u32,
    under_way: u32,
    revoked: u32,
    unresolved: u32,
    /// A worker had shown it, and it is nowhere now.
    lost: bool,
    /// When the first of its machines goes.
    leaves: Option<MonotonicTime>,
    /// All its machines were heard lately.
    heard: bool,
}

impl Presence {
    fn is_empty(&self) -> bool {
        self.on_machines + self.under_way + self.revoked + self.unresolved == 0
    }
}

impl Leader {
    /// Looks after gangs that are under way: what is no longer whole is stopped.
    pub(super) fn supervise_gangs(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
    ) {
        let is_gang = |j: &Job| j.spec.kind == JobKind::Gang;
        let mut gangs: BTreeMap<JobId, Presence> = cluster
            .replica
            .jobs
            .iter()
            .filter(|(_, j)| is_gang(j))
            .map(|(id, _)| (*id, Presence { heard: true, ..Presence::default() }))
            .collect();
        self.gangs.retain(|id, _| gangs.contains_key(id));
        self.pending_stops.retain(|id, _| gangs.contains_key(id));
        if gangs.is_empty() {
            return;
        }
        let silent_ms = cluster.settings.timing().silent_ms;
        for (t, seen) in on_machines {
            let Some(p) = gangs.get_mut(&t.job) else { continue };
            p.on_machines += 1;
            let runs = matches!(seen.state, TaskState::Running | TaskState::SavingCheckpoint);
            p.running += u32::from(runs);
            p.leaves = match (p.leaves, fleet.leaves(&seen.machine.id)) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
            p.heard &= fleet.heard_within(cluster.now, &seen.machine.id, silent_ms);
        }
        for (t, g) in &mut self.granted {
            let Some(p) = gangs.get_mut(&t.job) else { continue };
            match on_machines.get(t) {
                Some(seen) => g.seen |= seen.state != TaskState::Unknown,
                None => {
                    p.under_way += 1;
                    p.lost |= g.seen;
                }
            }
        }
        for t in self.revoked.keys().filter(|t| !on_machines.contains_key(t)) {
            if let Some(p) = gangs.get_mut(&t.job) {
                p.revoked += 1;
            }
        }
        for t in &self.unresolved {
            if let Some(p) = gangs.get_mut(&t.job) {
                p.unresolved += 1;
            }
        }
        for (id, p) in gangs {
            self.supervise(cluster, id, &p);
        }
    }

    fn supervise(&mut self, cluster: &ClusterView<'_>, id: JobId, p: &Presence) {
        let now = cluster.now;
        if p.is_empty() {
            self.gangs.remove(&id);
            self.pending_stops.remove(&id);
            return;
        }
        // If one task is done all are, and what is left of them goes when that is on record.
        let Some(job) = cluster.replica.jobs.get(&id) else { return };
        if cluster.completed_tasks.contains_key(&id)
            || p.unresolved > 0
            || !job.progress.done.is_empty()
        {
            return;
        }
        if let Some(stop_gang) = self.pending_stops.get(&id) {
            if stop_gang.stop.leeway_ms > 0 && now >= stop_gang.until {
                self.stop_gang(cluster, id, 0, "it does not end");
            }
            return;
        }
        let whole = p.on_machines + p.under_way == job.spec.task_count && p.revoked == 0 && !p.lost;
        if whole {
            self.stop_in_order(cluster, job, p);
            return;
        }
        let workers = &cluster.settings.params.workers;
        let limit = (workers.gang_wait_s * GATHER_PART * 1000.0) as u64;
        let gathers = self.gangs.get(&id).is_some_and(|g| now.since(g.since) < limit);
        if gathers && p.running == 0 && !p.lost {
            return;
        }
        let why = match (p.lost || p.running > 0, gathers) {
            (true, _) => "a task is gone",
            (false, true) => "it is not whole",
            (false, false) => "it did not come together in time",
        };
        self.stop_gang(cluster, id, 0, why);
    }

    /// Stops a running gang whose machine is about to be taken, if all its machines can be told in
    /// time and saving is worth anything: as late as that allows.
    fn stop_in_order(&mut self, cluster: &ClusterView<'_>, job: &Job, p: &Presence) {
        let Some(leaves) = p.leaves.filter(|_| p.running == job.spec.task_count) else { return };
        if job.spec.checkpoint_interval_s <= 0.0 || !p.heard {
            return;
        }
        let timing = cluster.settings.timing();
        let peer_ms = (cluster.settings.params.workers.gang_peer_s * 1000.0) as u64;
        let save_ms = (job.spec.checkpoint_save_s * 1000.0) as u64;
        let way_ms = (timing.gap_ms + STOP_WAY_MS).min(peer_ms);
        let left = leaves.since(cluster.now);
        if left < save_ms + way_ms / 2 || left > save_ms + way_ms + STOP_AGAIN_MS {
            return; // Too late, or there is time yet.
        }
        self.stop_gang(cluster, job.spec.id, save_ms + peer_ms, "its machine is about to be taken");
    }

    /// Stops a gang wherever its tasks are and takes back what is granted of it.
    fn stop_gang(&mut self, cluster: &ClusterView<'_>, id: JobId, leeway_ms: u64, why: &str) {
        tracing::info!(job = %id, why, leeway_ms, "stopping a gang");
        let next = PlanSeq(self.seq.0 + 1);
        let taken: Vec<TaskId> = self.granted.keys().filter(|t| t.job == id).copied().collect();
        for t in taken {
            if let Some(g) = self.granted.remove(&t) {
                self.revoked.insert(t, RevokedGrant { node: g.node, seq: next, zone: g.zone });
            }
        }
        let before = self.attempts.allocate();
        let stop = GangStop { job: id.0, before, leeway_ms };
        let until = cluster.now.plus(leeway_ms + STOP_AGAIN_MS);
        self.pending_stops.insert(id, PendingStop { stop, until });
        self.gangs.remove(&id);
    }

    /// Whether a gang may be granted now, as a whole or, while it gathers, what is missing of it.
    pub(super) fn gang_tries(&self, job: &Job, held: u32, unresolved: u32) -> u32 {
        let id = job.spec.id;
        let missing = job.spec.task_count.saturating_sub(held + unresolved);
        let open = job.progress.done.is_empty()
            && unresolved == 0
            && !self.pending_stops.contains_key(&id);
        if open && (held == 0 || self.gangs.contains_key(&id)) { missing } else { 0 }
    }

    /// Grants a gang whole or not at all, or what is missing while it gathers.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn grant_gang(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        job: &Job,
        team: usize,
        more: usize,
        held: u32,
        allocation: &mut EpochAllocation,
    ) {
        let id = job.spec.id;
        if more == 0 || more < (job.spec.task_count.saturating_sub(held)) as usize {
            return;
        }
        let need = Resources::of(&job.spec);
        if self.within_limit(cluster, team, &need, allocation) < more {
            self.wait_reasons.insert(id, WaitReason::TeamLimit);
            return;
        }
        let free: Vec<TaskId> = (0..job.spec.task_count)
            .map(|index| TaskId { job: id, index })
            .filter(|t| self.is_free(cluster, on_machines, *t))
            .collect();
        if free.len() != more {
            return;
        }
        let mut zones = ZoneRule::of(&job.spec);
        self.count_zones(id, on_machines, &mut zones);
        // A controller that does not know gangs would not look after its part of one.
        let capabilities: Vec<bool> = allocation
            .targets
            .iter()
            .map(|r| {
                fleet.owners.get(&r.id).is_some_and(|(n, _)| cluster.replica.supports_gangs(*n))
            })
            .collect();
        let Some(chosen) =
            choose(cluster, job, &need, &allocation.targets, &capabilities, zones, more)
        else {
            self.wait_reasons.entry(id).or_insert(WaitReason::ForMachines);
            return;
        };
        let attempt = match self.gangs.get(&id).filter(|_| held > 0) {
            Some(gang) => gang.attempt,
            None => self.attempts.allocate(),
        };
        let binds = ZoneRule::of(&job.spec).binds();
        for (task, i) in free.into_iter().zip(chosen) {
            let target = &mut allocation.targets[i];
            target.add(&job.spec, &need);
            let Some((node, _)) = fleet.owners.get(&target.id).copied() else { continue };
            let zone = binds.then(|| target.zone.to_string());
            if let Some(u) = allocation.used.get_mut(team) {
                u.0.0 += need.cores.0;
                u.1.0 += need.accelerators.0;
            }
            let attempt = Some(attempt);
            allocation.grants.push((
                task,
                TaskGrant { node, attempt, at: cluster.now, zone, seen: false, ahead: false },
            ));
        }
    }

    /// Remembers gangs that were granted just now.
    pub(super) fn note_gang(&mut self, now: MonotonicTime, job: JobId, attempt: Attempt) {
        let known = self.gangs.get(&job).is_some_and(|g| g.attempt == attempt);
        if !known {
            self.gangs.insert(job, Gang { attempt, since: now });
        }
    }

    /// What parts are to stop.
    pub(super) fn stops(&self) -> Vec<GangStop> {
        self.pending_stops.values().map(|h| h.stop).collect()
    }

    /// Marks the machines that are kept for gangs: so much stays free there, on as few machines as
    /// hold it, in one zone as far as that goes. Work that may go elsewhere takes nothing there.
    pub(super) fn reserve_for_gangs(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        targets: &mut [PlacementTarget],
    ) {
        self.reserved.clear();
        for job in cluster.replica.jobs.values().filter(|j| j.spec.kind == JobKind::Gang) {
            self.gang_images.insert(job.spec.image.clone(), cluster.now);
            if job.spec.spread_zones {
                self.spread_gangs = Some(cluster.now);
            }
        }
        self.gang_images.retain(|_, at| cluster.now.since(*at) < IMAGES_KEPT_MS);
        self.spread_gangs.take_if(|at| cluster.now.since(*at) >= IMAGES_KEPT_MS);
        if self.gang_images.is_empty() {
            return;
        }
        let mut used = [0u64; 2];
        let mut hosts: FxHashSet<&MachineId> = FxHashSet::default();
        for (t, seen) in on_machines {
            let Some(job) = cluster.replica.jobs.get(&t.job) else { continue };
            if job.spec.kind == JobKind::Gang {
                used[usize::from(job.spec.allows_spot)] += Resources::of(&job.spec).cores.0;
                hosts.insert(&seen.machine.id);
            }
        }
        let offered = |r: &PlacementTarget| {
            cluster.catalog.get(&*r.machine_type).map_or(Cores(0), |f| Cores::offer(f.vcpus))
        };
        let open = targets.iter().filter(|r| r.open).map(|r| offered(r).amount()).sum::<f64>();
        let capabilities = |r: &PlacementTarget| {
            fleet.owners.get(&r.id).is_some_and(|(n, _)| cluster.replica.supports_gangs(*n))
        };
        for loose in [false, true] {
            let may = |r: &PlacementTarget| {
                r.open && !r.reserved && (loose || !r.spot) && capabilities(r)
            };
            let wanted = self.market.headroom(loose, Cores(used[usize::from(loose)]).amount());
            // In a small fleet others would find nothing.
            let wanted = wanted.min(open * MAX_RESERVED_SHARE);
            if wanted <= 0.0 {
                continue;
            }
            let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
            for r in targets.iter().filter(|r| may(r)) {
                *zones.entry(&*r.zone).or_default() += offered(r).0;
            }
            let zones = self.gang_zones(&zones);
            let mut order: Vec<usize> = (0..targets.len()).filter(|&i| may(&targets[i])).collect();
            order.sort_by_key(|&i| {
                let r = &targets[i];
                // What gangs need again is there already.
                let warm = r.images.iter().filter(|(i, _)| self.gang_images.contains_key(i));
                let rank = (warm.count(), hosts.contains(&r.id), offered(r), r.free.cores);
                (std::cmp::Reverse(rank), r.id.clone())
            });
            let mut lacking = wanted;
            let each = wanted / zones.len().max(1) as f64;
            let places = zones.iter().map(|z| (Some(z.as_str()), each));
            for (zone, most) in places.chain([(None, wanted)]) {
                let mut here = most.min(lacking);
                for &i in &order {
                    let r = &mut targets[i];
                    if here <= 0.0 || r.reserved || zone.is_some_and(|z| z != &*r.zone) {
                        continue;
                    }
                    here -= r.free.cores.amount();
                    lacking -= r.free.cores.amount();
                    r.reserved = true;
                    self.reserved.push(r.id.clone());
                }
            }
            self.market.gang_zones = zones;
        }
        self.reserved.sort();
    }

    /// The zone where room is kept for gangs: the one with most machines. It stays as long as it is
    /// not much the smaller one, as its machines have the images. Both, if some have to be spread.
    fn gang_zones(&self, zones: &BTreeMap<&str, u64>) -> Vec<String> {
        let mut largest: Vec<(&str, u64)> = zones.iter().map(|(z, c)| (*z, *c)).collect();
        largest.sort_by_key(|(_, c)| std::cmp::Reverse(*c));
        let most = largest.first().map_or(0, |l| l.1);
        let before = self.market.gang_zones.first();
        if let Some(i) =
            before.and_then(|b| largest.iter().position(|(z, c)| z == b && c * 2 > most))
        {
            largest[..=i].rotate_right(1);
        }
        let count = if self.spread_gangs.is_some() { 2 } else { 1 };
        largest.into_iter().take(count).map(|(z, _)| z.to_string()).collect()
    }
}

/// Machines for a gang's tasks: in one zone if the job wants that, where all can begin first.
fn choose(
    cluster: &ClusterView<'_>,
    job: &Job,
    need: &Resources,
    targets: &[PlacementTarget],
    may: &[bool],
    zones: ZoneRule,
    count: usize,
) -> Option<Vec<usize>> {
    let names = &cluster.settings.params.zones;
    if !zones.binds() {
        return placement::pack(&job.spec, need, targets, may, None, count)
            .map(|(_, chosen)| chosen);
    }
    if zones.one {
        let open = zones.open(names);
        let found = open
            .iter()
            .filter_map(|z| placement::pack(&job.spec, need, targets, may, Some(z), count));
        return found.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, chosen)| chosen);
    }
    // Spread: as many in one zone as the rule allows, the rest in another.
    let most = zones.most_per_zone.unwrap_or(u32::MAX);
    let left = |z: &str| most.saturating_sub(zones.counts.get(z).copied().unwrap_or(0)) as usize;
    let mut best: Option<(f64, Vec<usize>)> = None;
    for (first, second) in names.iter().flat_map(|a| names.iter().map(move |b| (a, b))) {
        let here = left(first).min(count);
        let rest = count - here;
        if (rest > 0 && first == second) || rest > left(second) {
            continue;
        }
        let in_zone = |z: &str, n| match n {
            0 => Some((0.0, Vec::new())),
            _ => placement::pack(&job.spec, need, targets, may, Some(z), n),
        };
        let (Some(a), Some(b)) = (in_zone(first, here), in_zone(second, rest)) else { continue };
        let when = a.0.max(b.0);
        if best.as_ref().is_none_or(|b| when < b.0) {
            best = Some((when, [a.1, b.1].concat()));
        }
    }
    best.map(|(_, chosen)| chosen)
}
