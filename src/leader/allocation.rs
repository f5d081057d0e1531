//! Resources that an epoch may grant (cores and accelerators of teams, room on machines, and expected
//! releases), and the grants that it makes. Everything here is computed anew in each epoch. No proof that a
//! task may be granted safely depends on it.

use std::collections::BTreeMap;
use std::ops::Range;

use super::Leader;
use super::expected_releases::{ExpectedRelease, take_expected_releases};
use super::grant_groups::GrantGroup;
use super::inputs::EpochInputs;
use super::machine_speed::MachineSlowdown;
use super::task_grants::{NewGrant, TaskGrant, TaskUse};
use super::team_usage::TeamUsage;
use crate::model::{Attempt, Cores, JobId, MonotonicTime, NodeId, TaskId};
use crate::peer::WaitReason;
use crate::placement::{self, PlacementRequest, PlacementTarget};
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::JobSpec;

/// The resources that an epoch divides, and the grants that it makes of them.
pub(super) struct EpochAllocation {
    /// Upper bounds of the teams' usage, by the team's index in the settings.
    pub(super) team_usage: Vec<TeamUsage>,
    /// The machines as placement sees them.
    pub(super) targets: Vec<PlacementTarget>,
    /// Resources that running tasks are expected to release soon.
    pub(super) expected_releases: Vec<ExpectedRelease>,
    /// Cores of the expected releases, including those that are granted already.
    pub(super) expected_cores: Cores,
    /// Grants that this epoch makes.
    pub(super) grants: Vec<NewGrant>,
}

/// A request to grant tasks of one job.
pub(super) struct GrantRequest<'a> {
    /// The job.
    pub(super) job: &'a Job,
    /// Resources that each task needs.
    pub(super) need: Resources,
    /// Index of the job's team in the settings.
    pub(super) team: usize,
    /// Tasks that the job holds already.
    pub(super) held: u32,
    /// Maximum number of tasks to grant.
    pub(super) count: usize,
    /// Whether tasks may also be granted to expected releases.
    pub(super) may_await_release: bool,
}

/// Where a granted task is to run.
pub(super) struct GrantPlacement {
    /// The controller that starts the task.
    pub(super) node: NodeId,
    /// Whether the task waits for resources that another task is expected to release.
    pub(super) awaits_release: bool,
    /// The zone of the machine; set for jobs with a zone constraint.
    pub(super) zone: Option<String>,
}

impl EpochAllocation {
    /// Chooses placements for up to `count` tasks of a job: on machines with room, and, if the request
    /// allows it, on expected releases.
    fn choose_placements(
        &mut self,
        inputs: &EpochInputs<'_>,
        request: &GrantRequest<'_>,
        zones: ZoneConstraint,
        count: usize,
    ) -> Vec<GrantPlacement> {
        if zones.is_constrained() {
            return self.choose_placements_in_zones(inputs, request, zones, count);
        }
        let GrantRequest { job, need, .. } = request;
        let mut placements = Vec::new();
        let spread_request = PlacementRequest { spec: &job.spec, need, zone: None, count };
        for index in placement::place_tasks(&spread_request, &mut self.targets) {
            placements.extend(self.placement_on(inputs, index, false));
        }
        let missing = if request.may_await_release { count - placements.len() } else { 0 };
        let releases = &mut self.expected_releases;
        for i in take_expected_releases(releases, &job.spec, need, None, missing) {
            let node = releases[i].owner;
            placements.push(GrantPlacement { node, awaits_release: true, zone: None });
        }
        placements
    }

    /// Chooses placements for a job with a zone constraint, one task after the other.
    fn choose_placements_in_zones(
        &mut self,
        inputs: &EpochInputs<'_>,
        request: &GrantRequest<'_>,
        mut zones: ZoneConstraint,
        count: usize,
    ) -> Vec<GrantPlacement> {
        let GrantRequest { job, need, .. } = request;
        let mut placements = Vec::new();
        while placements.len() < count {
            let open = zones.open_zones(&inputs.cluster.settings.params.zones);
            let Some(i) = open.iter().find_map(|zone| {
                placement::choose_target(&job.spec, need, &self.targets, Some(zone.as_str()))
            }) else {
                break;
            };
            self.targets[i].add(&job.spec, need);
            zones.add_task(&self.targets[i].zone);
            placements.extend(self.placement_on(inputs, i, true));
        }
        placements
    }

    /// Returns whether at least one task of the job can be placed.
    fn can_place_any(&self, request: &GrantRequest<'_>) -> bool {
        let GrantRequest { job: Job { spec, .. }, need, .. } = request;
        self.targets.iter().any(|target| target.accepts(spec, need, None))
            || request.may_await_release
                && self.expected_releases.iter().any(|release| release.fits(spec, need))
    }

    /// Returns the placement on a machine, with its zone if `zone_bound` is set. `None` if no controller owns
    /// the machine.
    pub(super) fn placement_on(
        &self,
        inputs: &EpochInputs<'_>,
        target: usize,
        zone_bound: bool,
    ) -> Option<GrantPlacement> {
        let target = &self.targets[target];
        let node = inputs.owner(&target.id)?;
        let zone = zone_bound.then(|| target.zone.to_string());
        Some(GrantPlacement { node, awaits_release: false, zone })
    }

    /// Grants a task and adds it to the usage of its team.
    pub(super) fn push_grant(
        &mut self,
        now: MonotonicTime,
        request: &GrantRequest<'_>,
        task: TaskId,
        placement: GrantPlacement,
        attempt: Option<Attempt>,
    ) {
        let usage = TaskUse { team: request.team, need: request.need };
        let GrantPlacement { node, awaits_release, zone } = placement;
        if let Some(used) = self.team_usage.get_mut(usage.team) {
            used.granted.add(&usage.need, 1);
            let team = &request.job.spec.team;
            tracing::debug!(%task, node = node.0, %team, %used, "task grant added to the epoch");
        }
        let grant = TaskGrant {
            usage,
            node,
            attempt,
            last_used_at: now,
            zone,
            reported: false,
            awaits_release,
        };
        self.grants.push(NewGrant { task, grant });
    }
}

/// The zone constraint of a job, with the number of its tasks in each zone.
pub(super) struct ZoneConstraint {
    /// Whether all tasks have to be in one zone.
    pub(super) single_zone: bool,
    /// Maximum number of tasks in one zone; `None` if the tasks need not be spread over zones.
    max_tasks_per_zone: Option<u32>,
    /// Number of the job's tasks in each zone.
    tasks_by_zone: BTreeMap<String, u32>,
}

impl ZoneConstraint {
    /// Creates the constraint of a job, with no tasks counted yet.
    pub(super) fn of(spec: &JobSpec) -> Self {
        ZoneConstraint {
            single_zone: spec.one_zone,
            max_tasks_per_zone: spec.spread_zones.then(|| spec.task_count.div_ceil(2)),
            tasks_by_zone: BTreeMap::new(),
        }
    }

    /// Returns whether the job is restricted in its zones at all.
    pub(super) fn is_constrained(&self) -> bool {
        self.single_zone || self.max_tasks_per_zone.is_some()
    }

    /// Counts a task in its zone.
    pub(super) fn add_task(&mut self, zone: &str) {
        *self.tasks_by_zone.entry(zone.to_string()).or_default() += 1;
    }

    /// Returns how many more tasks the limit per zone allows in a zone.
    pub(super) fn remaining_tasks(&self, zone: &str) -> u32 {
        let limit = self.max_tasks_per_zone.unwrap_or(u32::MAX);
        limit.saturating_sub(self.tasks_by_zone.get(zone).copied().unwrap_or(0))
    }

    /// Returns the zones that may take another task, those with the fewest tasks first.
    pub(super) fn open_zones(&self, zones: &[String]) -> Vec<String> {
        let mut open: Vec<String> = zones
            .iter()
            .filter(|zone| {
                let others =
                    self.tasks_by_zone.iter().any(|(other, tasks)| other != *zone && *tasks > 0);
                !(self.single_zone && others) && self.remaining_tasks(zone) > 0
            })
            .cloned()
            .collect();
        open.sort_by_key(|zone| self.tasks_by_zone.get(zone).copied().unwrap_or(0));
        open
    }
}

/// Returns the range of each controller's shard within the targets, which are grouped by shard. Looking up
/// the owners of all machines for each job again took most of an epoch at 4,000 machines.
fn shard_ranges(
    inputs: &EpochInputs<'_>,
    targets: &[PlacementTarget],
) -> BTreeMap<NodeId, Range<usize>> {
    let mut shards: BTreeMap<NodeId, Range<usize>> = BTreeMap::new();
    for (at, target) in targets.iter().enumerate() {
        let Some(owner) = inputs.owner(&target.id) else { continue };
        let shard = shards.entry(owner).or_insert(at..at);
        // Only the first contiguous range of targets with this owner is taken as its shard.
        if shard.end == at {
            shard.end = at + 1;
        }
    }
    shards
}

impl Leader {
    /// Returns the machines as placement sees them, with the slow ones marked.
    pub(super) fn targets(&self, inputs: &EpochInputs<'_>) -> Vec<PlacementTarget> {
        let mut targets = inputs.fleet.targets(inputs.cluster);
        let speeds = &self.retained.machine_slowdowns;
        for target in &mut targets {
            target.slow = speeds.get(&target.id).is_some_and(MachineSlowdown::is_slow);
        }
        targets
    }

    /// Deducts grants whose tasks no machine shows yet from the resources that their shards would use for
    /// them: for each job, room on machines first, then expected releases.
    pub(super) fn deduct_pending_grants(
        &self,
        inputs: &EpochInputs<'_>,
        targets: &mut [PlacementTarget],
        expected_releases: &mut [ExpectedRelease],
    ) {
        let mut pending: BTreeMap<GrantGroup<'_>, usize> = BTreeMap::new();
        let granted = self.task_grants.granted.iter();
        for (task, grant) in granted.filter(|(task, _)| !inputs.on_machines.contains_key(task)) {
            *pending.entry(GrantGroup::of(task, grant)).or_default() += 1;
        }
        let shards = shard_ranges(inputs, targets);
        for (group, count) in pending {
            let Some(job) = inputs.cluster.replica.jobs.get(&group.job) else { continue };
            let need = Resources::of(&job.spec);
            if group.awaits_release {
                let owner = Some(group.node);
                take_expected_releases(expected_releases, &job.spec, &need, owner, count);
                continue;
            }
            let shard = shards.get(&group.node).and_then(|shard| targets.get_mut(shard.clone()));
            let shard = shard.unwrap_or_default();
            let zone = group.zone;
            let request = PlacementRequest { spec: &job.spec, need: &need, zone, count };
            if group.attempt.is_some() {
                placement::place_gang(&request, shard);
            } else {
                placement::place_tasks(&request, shard);
            }
        }
    }

    /// Grants tasks of an array or a service, within the limit of its team, its zone constraint and the room
    /// on machines.
    pub(super) fn grant_tasks(
        &mut self,
        inputs: &EpochInputs<'_>,
        request: &GrantRequest<'_>,
        allocation: &mut EpochAllocation,
    ) {
        let spec = &request.job.spec;
        if request.count == 0 || !allocation.can_place_any(request) {
            return;
        }
        let within_limit =
            self.tasks_within_limit(inputs.cluster, request.team, &request.need, allocation);
        if within_limit < request.count {
            self.jobs.wait_reasons.insert(spec.id, WaitReason::TeamLimit);
        }
        let mut zones = ZoneConstraint::of(spec);
        if zones.is_constrained() {
            if self.task_grants.unresolved.iter().any(|task| task.job == spec.id) {
                return; // The zones of unresolved tasks are not known.
            }
            self.count_tasks_by_zone(inputs, spec.id, &mut zones);
        }
        let count = request.count.min(within_limit);
        let free: Vec<TaskId> = self.task_grants.free_tasks(inputs, spec).take(count).collect();
        let placements = allocation.choose_placements(inputs, request, zones, free.len());
        for (task, placement) in free.into_iter().zip(placements) {
            allocation.push_grant(inputs.cluster.now, request, task, placement, None);
        }
    }

    /// Counts a job's tasks in their zones: on machines, granted, and revoked but not confirmed.
    pub(super) fn count_tasks_by_zone(
        &self,
        inputs: &EpochInputs<'_>,
        id: JobId,
        zones: &mut ZoneConstraint,
    ) {
        for (_, seen) in inputs.on_machines.iter().filter(|(task, _)| task.job == id) {
            zones.add_task(&seen.machine.zone);
        }
        let granted = self.task_grants.granted.iter().map(|(task, grant)| (task, &grant.zone));
        let revoked = self.task_grants.revoked.iter().map(|(task, revoked)| (task, &revoked.zone));
        for (task, zone) in granted.chain(revoked) {
            if task.job == id
                && !inputs.on_machines.contains_key(task)
                && let Some(zone) = zone
            {
                zones.add_task(zone);
            }
        }
    }
}
