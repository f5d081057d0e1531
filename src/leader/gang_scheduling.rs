//! Gangs: jobs whose tasks run all at once or not at all.
//!
//! A gang is granted whole, with one attempt for all of its tasks, and only while none of them is
//! on a machine, granted, or may be running. While it gathers, a start that was lost is granted
//! again with that attempt. When a task is lost that a worker had shown, or the gang does not come
//! together in time, the rest is stopped, and once all are proven to have ended the gang begins anew. The
//! argument is in `docs/safety.md`, "Gangs".

use super::Leader;
use super::allocation::{EpochAllocation, GrantRequest, ZoneConstraint};
use super::gang_presence::GangPresence;
use super::inputs::EpochInputs;
use super::task_grants::{RevocationReason, TaskCounts};
use crate::cluster_view::ClusterView;
use crate::model::{Attempt, JobId, MonotonicTime, TaskId};
use crate::peer::{GangStop, WaitReason};
use crate::placement::{self, GangPlacement, PlacementRequest, PlacementTarget};
use crate::replica::Job;

/// Share of the time that a gang's tasks wait for each other in which it has to be whole.
const GATHER_PART: f64 = 0.4;
/// What a stop's way to all controllers and machines may take, besides one heartbeat, in milliseconds.
const STOP_WAY_MS: u64 = 1_500;
/// How long a stop is left to work before the tasks that are still there are ended at once, in
/// milliseconds.
const STOP_AGAIN_MS: u64 = 3_000;

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
    /// As plans carry it to controllers.
    pub(super) stop: GangStop,
    /// When it is stopped at once if it has not ended.
    until: MonotonicTime,
}

impl Leader {
    /// Looks after gangs that are under way: what is no longer whole is stopped.
    pub(super) fn supervise_gangs(&mut self, inputs: &EpochInputs<'_>) {
        let presence = self.task_grants.gang_presence(inputs);
        self.gangs.granted.retain(|id, _| presence.contains_key(id));
        self.gangs.pending_stops.retain(|id, _| presence.contains_key(id));
        for (id, presence) in presence {
            self.supervise(inputs.cluster, id, &presence);
        }
    }

    /// Looks after one gang.
    fn supervise(&mut self, cluster: &ClusterView<'_>, id: JobId, presence: &GangPresence) {
        let now = cluster.now;
        if presence.is_empty() {
            self.gangs.granted.remove(&id);
            self.gangs.pending_stops.remove(&id);
            return;
        }
        // If one task is done all are, and what is left of them goes when that is on record.
        let Some(job) = cluster.replica.jobs.get(&id) else { return };
        if cluster.completed_tasks.contains_key(&id)
            || presence.unresolved > 0
            || !job.progress.done.is_empty()
        {
            return;
        }
        if let Some(pending) = self.gangs.pending_stops.get(&id) {
            if pending.stop.grace_ms > 0 && now >= pending.until {
                self.stop_gang(cluster, id, 0, "it does not end");
            }
            return;
        }
        if presence.is_whole(job.spec.task_count) {
            self.stop_in_order(cluster, job, presence);
            return;
        }
        let workers = &cluster.settings.params.workers;
        let limit_ms = (workers.gang_wait_s * GATHER_PART * 1000.0) as u64;
        let granted = self.gangs.granted.get(&id);
        let gathers = granted.is_some_and(|gang| now.since(gang.since) < limit_ms);
        if gathers && presence.running == 0 && !presence.lost {
            return;
        }
        let reason = match (presence.lost || presence.running > 0, gathers) {
            (true, _) => "a task is gone",
            (false, true) => "it is not whole",
            (false, false) => "it did not come together in time",
        };
        self.stop_gang(cluster, id, 0, reason);
    }

    /// Stops a running gang whose machine is about to be reclaimed, if all its machines can be reached in
    /// time and saving is worth anything: as late as that allows.
    fn stop_in_order(&mut self, cluster: &ClusterView<'_>, job: &Job, presence: &GangPresence) {
        let all_run = presence.running == job.spec.task_count;
        let Some(leaves) = presence.machine_leaves.filter(|_| all_run) else { return };
        if job.spec.checkpoint_interval_s <= 0.0 || !presence.machines_heard {
            return;
        }
        let timing = cluster.settings.timing();
        let peer_ms = (cluster.settings.params.workers.gang_peer_s * 1000.0) as u64;
        let save_ms = (job.spec.checkpoint_save_s * 1000.0) as u64;
        let way_ms = (timing.max_interval_ms + STOP_WAY_MS).min(peer_ms);
        let remaining_ms = leaves.since(cluster.now);
        if remaining_ms < save_ms + way_ms / 2 || remaining_ms > save_ms + way_ms + STOP_AGAIN_MS {
            return; // Too late, or there is time yet.
        }
        self.stop_gang(cluster, job.spec.id, save_ms + peer_ms, "its machine is about to be taken");
    }

    /// Stops a gang wherever its tasks are and revokes what is granted of it.
    fn stop_gang(&mut self, cluster: &ClusterView<'_>, id: JobId, grace_ms: u64, reason: &str) {
        tracing::info!(job = %id, why = reason, leeway_ms = grace_ms, "stopping a gang");
        let next_plan = self.plans.next();
        let granted = self.task_grants.granted.keys();
        let granted: Vec<TaskId> = granted.filter(|task| task.job == id).copied().collect();
        for task in granted {
            self.task_grants.revoke(task, next_plan, RevocationReason::GangStopped);
        }
        let before = self.task_grants.attempts.allocate();
        let stop = GangStop { job: id.0, before, grace_ms };
        let until = cluster.now.plus(grace_ms + STOP_AGAIN_MS);
        self.gangs.pending_stops.insert(id, PendingStop { stop, until });
        self.gangs.granted.remove(&id);
    }

    /// How many tasks of a gang may be granted now: all, or, while it gathers, what is missing of it.
    pub(super) fn gang_tries(&self, job: &Job, counts: TaskCounts) -> u32 {
        let id = job.spec.id;
        let TaskCounts { held, unresolved } = counts;
        let missing = job.spec.task_count.saturating_sub(held + unresolved);
        let open = job.progress.done.is_empty()
            && unresolved == 0
            && !self.gangs.pending_stops.contains_key(&id);
        if open && (held == 0 || self.gangs.granted.contains_key(&id)) { missing } else { 0 }
    }

    /// Grants a gang whole or not at all, or what is missing while it gathers.
    pub(super) fn grant_gang(
        &mut self,
        inputs: &EpochInputs<'_>,
        request: &GrantRequest<'_>,
        allocation: &mut EpochAllocation,
    ) {
        let GrantRequest { job, need, team, held, count, .. } = request;
        let (id, held, count) = (job.spec.id, *held, *count);
        if count == 0 || count < (job.spec.task_count.saturating_sub(held)) as usize {
            return;
        }
        if self.tasks_within_limit(inputs.cluster, *team, need, allocation) < count {
            self.jobs.wait_reasons.insert(id, WaitReason::TeamLimit);
            return;
        }
        let free: Vec<TaskId> = self.task_grants.free_tasks(inputs, &job.spec).collect();
        if free.len() != count {
            return;
        }
        let mut zones = ZoneConstraint::of(&job.spec);
        let binds = zones.is_constrained();
        self.count_tasks_by_zone(inputs, id, &mut zones);
        let Some(chosen) = choose_for_gang(inputs, request, &allocation.targets, &zones) else {
            self.jobs.wait_reasons.entry(id).or_insert(WaitReason::ForMachines);
            return;
        };
        let attempt = match self.gangs.granted.get(&id).filter(|_| held > 0) {
            Some(gang) => gang.attempt,
            None => self.task_grants.attempts.allocate(),
        };
        for (task, i) in free.into_iter().zip(chosen) {
            allocation.targets[i].add(&job.spec, need);
            let Some(placement) = allocation.placement_on(inputs, i, binds) else { continue };
            allocation.push_grant(inputs.cluster.now, request, task, placement, Some(attempt));
        }
    }

    /// Remembers a gang of which tasks were granted just now.
    pub(super) fn record_gang(&mut self, now: MonotonicTime, job: JobId, attempt: Attempt) {
        let known = self.gangs.granted.get(&job).is_some_and(|gang| gang.attempt == attempt);
        if !known {
            self.gangs.granted.insert(job, Gang { attempt, since: now });
        }
    }

    /// The gangs that shards are to stop.
    pub(super) fn stops(&self) -> Vec<GangStop> {
        self.gangs.pending_stops.values().map(|pending| pending.stop).collect()
    }
}

/// Machines for a gang's tasks, where all can begin first, under the job's rule of zones.
fn choose_for_gang(
    inputs: &EpochInputs<'_>,
    request: &GrantRequest<'_>,
    targets: &[PlacementTarget],
    zones: &ZoneConstraint,
) -> Option<Vec<usize>> {
    let capable: Vec<bool> =
        targets.iter().map(|target| inputs.owner_supports_gangs(target)).collect();
    let packing = GangPacking { request, targets, capable: &capable };
    let names = &inputs.cluster.settings.params.zones;
    let placed = if !zones.is_constrained() {
        packing.pack(None, request.count)
    } else if zones.single_zone {
        packing.pack_in_one_zone(zones, names)
    } else {
        packing.pack_spread(zones, names)
    };
    placed.map(|placed| placed.machines)
}

/// The ways to place a gang's tasks on machines.
struct GangPacking<'a> {
    request: &'a GrantRequest<'a>,
    targets: &'a [PlacementTarget],
    /// Whether each target's owner knows gangs.
    capable: &'a [bool],
}

impl GangPacking<'_> {
    /// Places so many tasks, in a zone if one is given.
    fn pack(&self, zone: Option<&str>, count: usize) -> Option<GangPlacement> {
        let GrantRequest { job, need, .. } = self.request;
        let gang = PlacementRequest { spec: &job.spec, need, zone, count };
        placement::pack_gang(&gang, self.targets, self.capable)
    }

    /// The same in a zone; none are placed whatever the zone has.
    fn pack_some(&self, zone: &str, count: usize) -> Option<GangPlacement> {
        match count {
            0 => Some(GangPlacement::default()),
            _ => self.pack(Some(zone), count),
        }
    }

    /// All in the open zone where they can begin first.
    fn pack_in_one_zone(&self, zones: &ZoneConstraint, names: &[String]) -> Option<GangPlacement> {
        let open = zones.open_zones(names);
        let found = open.iter().filter_map(|zone| self.pack(Some(zone), self.request.count));
        found.min_by(|a, b| a.last_start_s.total_cmp(&b.last_start_s))
    }

    /// As many in one zone as the rule allows, the rest in another: the first pair where they can begin first.
    fn pack_spread(&self, zones: &ZoneConstraint, names: &[String]) -> Option<GangPlacement> {
        let mut best: Option<GangPlacement> = None;
        for (first, second) in names.iter().flat_map(|a| names.iter().map(move |b| (a, b))) {
            let Some(placed) = self.pack_in_pair(zones, first, second) else { continue };
            if best.as_ref().is_none_or(|best| placed.last_start_s < best.last_start_s) {
                best = Some(placed);
            }
        }
        best
    }

    /// As many in the first zone as the rule allows, the rest in the second.
    fn pack_in_pair(
        &self,
        zones: &ZoneConstraint,
        first: &str,
        second: &str,
    ) -> Option<GangPlacement> {
        let count = self.request.count;
        let in_first = (zones.remaining_tasks(first) as usize).min(count);
        let in_second = count - in_first;
        if (in_second > 0 && first == second) || in_second > zones.remaining_tasks(second) as usize
        {
            return None;
        }
        let mut placed = self.pack_some(first, in_first)?;
        let rest = self.pack_some(second, in_second)?;
        placed.last_start_s = f64::max(placed.last_start_s, rest.last_start_s);
        placed.machines.extend(rest.machines);
        Some(placed)
    }
}
