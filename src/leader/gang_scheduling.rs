//! Gang scheduling: all tasks of a gang run at once, or none does.
//!
//! A gang is granted as a whole, with one attempt for all of its tasks, and only while none of its
//! tasks is on a machine, granted or unresolved. While the gang forms, a task whose start was lost
//! is granted again with the same attempt. If a task is lost that a worker had reported, or if the
//! gang does not form in time, its other tasks are stopped. Once all of them are proven to have
//! ended, the gang starts over. The argument is in `docs/safety.md`, "Gangs".

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

/// Share of `gang_wait_s`, the time for which a gang's tasks wait for each other, within which the
/// gang has to be complete.
const FORMATION_TIME_SHARE: f64 = 0.4;
/// Milliseconds that a stop may take to reach all controllers and machines, besides one heartbeat
/// interval.
const STOP_DELIVERY_MS: u64 = 1_500;
/// Milliseconds from the end of a stop's grace period until tasks of the gang that still run are
/// stopped again, without a grace period. Also how much earlier than necessary a stop before a
/// preemption may begin.
const STOP_MARGIN_MS: u64 = 3_000;

/// A gang that was granted in this term.
#[derive(Clone, Debug)]
pub(super) struct GrantedGang {
    attempt: Attempt,
    granted_at: MonotonicTime,
}

impl GrantedGang {
    /// Returns the attempt with which the gang was granted.
    pub(super) fn attempt(&self) -> Attempt {
        self.attempt
    }
}

/// A gang that is being stopped.
#[derive(Clone, Debug)]
pub(super) struct PendingStop {
    /// The stop as plans carry it to controllers.
    pub(super) stop: GangStop,
    /// When the gang is stopped without a grace period if it has not ended.
    escalate_at: MonotonicTime,
}

impl Leader {
    /// Stops gangs that have lost a task, have not formed in time or are about to lose a machine.
    pub(super) fn supervise_gangs(&mut self, inputs: &EpochInputs<'_>) {
        let presence = self.task_grants.gang_presence(inputs);
        self.gangs.granted.retain(|id, _| presence.contains_key(id));
        self.gangs.pending_stops.retain(|id, _| presence.contains_key(id));
        for (id, presence) in presence {
            self.supervise(inputs.cluster, id, &presence);
        }
    }

    /// Checks one gang and stops it if necessary.
    fn supervise(&mut self, cluster: &ClusterView<'_>, id: JobId, presence: &GangPresence) {
        let now = cluster.now;
        if presence.is_empty() {
            self.gangs.granted.remove(&id);
            self.gangs.pending_stops.remove(&id);
            return;
        }
        // If one task is done, all are. The rest of the gang is removed once its progress is on
        // record.
        let Some(job) = cluster.replica.jobs.get(&id) else { return };
        if cluster.completed_tasks.contains_key(&id)
            || presence.unresolved > 0
            || !job.progress.done.is_empty()
        {
            return;
        }
        if let Some(pending) = self.gangs.pending_stops.get(&id) {
            if pending.stop.grace_ms > 0 && now >= pending.escalate_at {
                self.stop_gang(cluster, id, 0, "it does not end");
            }
            return;
        }
        if presence.is_complete(job.spec.task_count) {
            self.stop_before_preemption(cluster, job, presence);
            return;
        }
        let workers = &cluster.settings.params.workers;
        let formation_limit_ms = (workers.gang_wait_s * FORMATION_TIME_SHARE * 1000.0) as u64;
        let granted = self.gangs.granted.get(&id);
        let is_forming =
            granted.is_some_and(|gang| now.since(gang.granted_at) < formation_limit_ms);
        if is_forming && presence.running == 0 && !presence.task_lost {
            return;
        }
        let reason = match (presence.task_lost || presence.running > 0, is_forming) {
            (true, _) => "a task is gone",
            (false, true) => "it is not whole",
            (false, false) => "it did not come together in time",
        };
        self.stop_gang(cluster, id, 0, reason);
    }

    /// Stops a running gang one of whose machines is about to be preempted, so that its tasks save
    /// checkpoints. The stop is as late as possible. It is skipped if a machine cannot be reached
    /// in time or if the job saves no checkpoints.
    fn stop_before_preemption(
        &mut self,
        cluster: &ClusterView<'_>,
        job: &Job,
        presence: &GangPresence,
    ) {
        let all_run = presence.running == job.spec.task_count;
        let Some(preempted_at) = presence.first_preemption.filter(|_| all_run) else { return };
        if job.spec.checkpoint_interval_s <= 0.0 || !presence.all_machines_responsive {
            return;
        }
        let timing = cluster.settings.timing();
        let peer_ms = (cluster.settings.params.workers.gang_peer_s * 1000.0) as u64;
        let save_ms = (job.spec.checkpoint_save_s * 1000.0) as u64;
        let delivery_ms = (timing.max_interval_ms + STOP_DELIVERY_MS).min(peer_ms);
        let remaining_ms = preempted_at.since(cluster.now);
        if remaining_ms < save_ms + delivery_ms / 2
            || remaining_ms > save_ms + delivery_ms + STOP_MARGIN_MS
        {
            return; // Too late to save, or too early to stop.
        }
        self.stop_gang(cluster, job.spec.id, save_ms + peer_ms, "its machine is about to be taken");
    }

    /// Stops all tasks of a gang and revokes its grants.
    fn stop_gang(&mut self, cluster: &ClusterView<'_>, id: JobId, grace_ms: u64, reason: &str) {
        tracing::info!(job = %id, why = reason, leeway_ms = grace_ms, "ordered a gang to stop");
        let next_plan = self.plans.next();
        let granted = self.task_grants.granted.keys();
        let granted: Vec<TaskId> = granted.filter(|task| task.job == id).copied().collect();
        for task in granted {
            self.task_grants.revoke(task, next_plan, RevocationReason::GangStopped);
        }
        let before = self.task_grants.attempts.allocate();
        let stop = GangStop { job: id.0, before, grace_ms };
        let escalate_at = cluster.now.plus(grace_ms + STOP_MARGIN_MS);
        self.gangs.pending_stops.insert(id, PendingStop { stop, escalate_at });
        self.gangs.granted.remove(&id);
    }

    /// Returns how many tasks of a gang may be granted now: all of them, or the missing ones while
    /// it forms.
    pub(super) fn grantable_gang_tasks(&self, job: &Job, counts: TaskCounts) -> u32 {
        let id = job.spec.id;
        let TaskCounts { held, unresolved } = counts;
        let missing = job.spec.task_count.saturating_sub(held + unresolved);
        let open = job.progress.done.is_empty()
            && unresolved == 0
            && !self.gangs.pending_stops.contains_key(&id);
        if open && (held == 0 || self.gangs.granted.contains_key(&id)) { missing } else { 0 }
    }

    /// Grants all tasks of a gang or none; while the gang forms, all missing ones or none.
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
        let zone_bound = zones.is_constrained();
        self.count_tasks_by_zone(inputs, id, &mut zones);
        let Some(chosen) = choose_gang_machines(inputs, request, &allocation.targets, &zones)
        else {
            self.jobs.wait_reasons.entry(id).or_insert(WaitReason::NoFreeMachines);
            return;
        };
        let attempt = match self.gangs.granted.get(&id).filter(|_| held > 0) {
            Some(gang) => gang.attempt,
            None => self.task_grants.attempts.allocate(),
        };
        for (task, i) in free.into_iter().zip(chosen) {
            allocation.targets[i].add(&job.spec, need);
            let Some(placement) = allocation.placement_on(inputs, i, zone_bound) else { continue };
            allocation.push_grant(inputs.cluster.now, request, task, placement, Some(attempt));
        }
    }

    /// Records that tasks of a gang were granted.
    pub(super) fn record_gang(&mut self, now: MonotonicTime, job: JobId, attempt: Attempt) {
        let known = self.gangs.granted.get(&job).is_some_and(|gang| gang.attempt == attempt);
        if !known {
            self.gangs.granted.insert(job, GrantedGang { attempt, granted_at: now });
        }
    }

    /// Returns the gangs that shards have to stop.
    pub(super) fn stops(&self) -> Vec<GangStop> {
        self.gangs.pending_stops.values().map(|pending| pending.stop).collect()
    }
}

/// Returns the index of the machine for each of a gang's tasks, chosen so that the last task can start
/// as early as possible within the job's zone constraint. `None` if the tasks do not all fit.
fn choose_gang_machines(
    inputs: &EpochInputs<'_>,
    request: &GrantRequest<'_>,
    targets: &[PlacementTarget],
    zones: &ZoneConstraint,
) -> Option<Vec<usize>> {
    let capable: Vec<bool> =
        targets.iter().map(|target| inputs.owner_supports_gangs(target)).collect();
    let packing = GangPacking { request, targets, capable: &capable };
    let zone_names = &inputs.cluster.settings.params.zones;
    let placed = if !zones.is_constrained() {
        packing.pack(None, request.count)
    } else if zones.single_zone {
        packing.pack_in_one_zone(zones, zone_names)
    } else {
        packing.pack_spread(zones, zone_names)
    };
    placed.map(|placed| placed.machines)
}

/// A gang to place, with the machines that are available.
struct GangPacking<'a> {
    request: &'a GrantRequest<'a>,
    targets: &'a [PlacementTarget],
    /// Whether the owner of each target supports gangs.
    capable: &'a [bool],
}

impl GangPacking<'_> {
    /// Places `count` tasks, in `zone` if one is given.
    fn pack(&self, zone: Option<&str>, count: usize) -> Option<GangPlacement> {
        let GrantRequest { job, need, .. } = self.request;
        let gang = PlacementRequest { spec: &job.spec, need, zone, count };
        placement::pack_gang(&gang, self.targets, self.capable)
    }

    /// Places `count` tasks in a zone; an empty placement if `count` is 0.
    fn pack_or_empty(&self, zone: &str, count: usize) -> Option<GangPlacement> {
        match count {
            0 => Some(GangPlacement::default()),
            _ => self.pack(Some(zone), count),
        }
    }

    /// Places all tasks in the allowed zone in which the last of them can start earliest.
    fn pack_in_one_zone(
        &self,
        zones: &ZoneConstraint,
        zone_names: &[String],
    ) -> Option<GangPlacement> {
        let open = zones.open_zones(zone_names);
        let found = open.iter().filter_map(|zone| self.pack(Some(zone), self.request.count));
        found.min_by(|a, b| a.last_start_s.total_cmp(&b.last_start_s))
    }

    /// Places as many tasks in one zone as the zone constraint allows, and the rest in another zone.
    /// Of all pairs of zones in which the tasks fit, takes the first one in which the last task can
    /// start earliest.
    fn pack_spread(&self, zones: &ZoneConstraint, zone_names: &[String]) -> Option<GangPlacement> {
        let mut best: Option<GangPlacement> = None;
        for (first, second) in
            zone_names.iter().flat_map(|a| zone_names.iter().map(move |b| (a, b)))
        {
            let Some(placed) = self.pack_in_pair(zones, first, second) else { continue };
            if best.as_ref().is_none_or(|best| placed.last_start_s < best.last_start_s) {
                best = Some(placed);
            }
        }
        best
    }

    /// Places as many tasks in the first zone as the zone constraint allows, and the rest in the
    /// second.
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
        let mut placed = self.pack_or_empty(first, in_first)?;
        let rest = self.pack_or_empty(second, in_second)?;
        placed.last_start_s = f64::max(placed.last_start_s, rest.last_start_s);
        placed.machines.extend(rest.machines);
        Some(placed)
    }
}
