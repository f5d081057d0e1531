//! What an epoch fills: cores of teams, room on machines and places about to be left, and the grants
//! that come of it. It is worked out anew in each epoch and holds nothing that a task's safety rests on.

use std::collections::BTreeMap;
use std::ops::Range;

use super::Leader;
use super::expected_releases::{ExpectedRelease, take_expected_releases};
use super::grant_groups::GrantGroup;
use super::inputs::EpochInputs;
use super::machine_speed::Speed;
use super::task_grants::{NewGrant, TaskGrant, TaskUse};
use super::team_use::TeamUse;
use crate::model::{Attempt, Cores, JobId, MonotonicTime, NodeId, TaskId};
use crate::peer::WaitReason;
use crate::placement::{self, PlacementRequest, PlacementTarget};
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::JobSpec;

/// What an epoch fills: teams' use of cores and accelerators, room on machines, and grants.
pub(super) struct EpochAllocation {
    /// What each team may be using.
    pub(super) team_use: Vec<TeamUse>,
    /// The machines.
    pub(super) targets: Vec<PlacementTarget>,
    /// Places that tasks are about to leave.
    pub(super) expected_releases: Vec<ExpectedRelease>,
    /// Their cores, granted ones included.
    pub(super) expected_cores: Cores,
    /// What this epoch grants.
    pub(super) grants: Vec<NewGrant>,
}

/// What is to be granted of a job.
pub(super) struct GrantRequest<'a> {
    /// The job.
    pub(super) job: &'a Job,
    /// What each of its tasks takes.
    pub(super) need: Resources,
    /// Its team, by number.
    pub(super) team: usize,
    /// Tasks that it holds already.
    pub(super) held: u32,
    /// Tasks to grant at most.
    pub(super) count: usize,
    /// Whether they may also wait for places that others are about to leave.
    pub(super) may_await_release: bool,
}

/// Where a task is granted.
pub(super) struct GrantedPlace {
    /// The controller.
    pub(super) node: NodeId,
    /// Whether another task is about to leave it.
    pub(super) awaits_release: bool,
    /// Set for jobs that are bound to zones.
    pub(super) zone: Option<String>,
}

impl EpochAllocation {
    /// Takes places for up to `count` tasks of a job: on machines with room, and, if they may await
    /// a release, where others are about to end.
    fn choose_places(
        &mut self,
        inputs: &EpochInputs<'_>,
        request: &GrantRequest<'_>,
        zones: ZoneRule,
        count: usize,
    ) -> Vec<GrantedPlace> {
        if zones.binds() {
            return self.choose_places_in_zones(inputs, request, zones, count);
        }
        let GrantRequest { job, need, .. } = request;
        let mut places = Vec::new();
        let spread = PlacementRequest { spec: &job.spec, need, zone: None, count };
        for index in placement::place_tasks(&spread, &mut self.targets) {
            places.extend(self.place_on(inputs, index, false));
        }
        let missing = if request.may_await_release { count - places.len() } else { 0 };
        let releases = &mut self.expected_releases;
        for i in take_expected_releases(releases, &job.spec, need, None, missing) {
            let node = releases[i].owner;
            places.push(GrantedPlace { node, awaits_release: true, zone: None });
        }
        places
    }

    /// The same for a job that is bound to zones, one task after the other.
    fn choose_places_in_zones(
        &mut self,
        inputs: &EpochInputs<'_>,
        request: &GrantRequest<'_>,
        mut zones: ZoneRule,
        count: usize,
    ) -> Vec<GrantedPlace> {
        let GrantRequest { job, need, .. } = request;
        let mut places = Vec::new();
        while places.len() < count {
            let open = zones.open(&inputs.cluster.settings.params.zones);
            let Some(i) = open.iter().find_map(|zone| {
                placement::choose_target(&job.spec, need, &self.targets, Some(zone.as_str()))
            }) else {
                break;
            };
            self.targets[i].add(&job.spec, need);
            zones.count(&self.targets[i].zone);
            places.extend(self.place_on(inputs, i, true));
        }
        places
    }

    /// Whether there is a place for a task at all.
    fn may_hold(&self, request: &GrantRequest<'_>) -> bool {
        let GrantRequest { job: Job { spec, .. }, need, .. } = request;
        self.targets.iter().any(|target| target.accepts(spec, need, None))
            || request.may_await_release
                && self.expected_releases.iter().any(|release| release.takes(spec, need))
    }

    /// The place on a machine; `None` if nobody owns it. `bound` if the job is bound to zones.
    pub(super) fn place_on(
        &self,
        inputs: &EpochInputs<'_>,
        target: usize,
        bound: bool,
    ) -> Option<GrantedPlace> {
        let target = &self.targets[target];
        let node = inputs.owner(&target.id)?;
        let zone = bound.then(|| target.zone.to_string());
        Some(GrantedPlace { node, awaits_release: false, zone })
    }

    /// Grants a task and counts it for its team.
    pub(super) fn push_grant(
        &mut self,
        now: MonotonicTime,
        request: &GrantRequest<'_>,
        task: TaskId,
        place: GrantedPlace,
        attempt: Option<Attempt>,
    ) {
        let usage = TaskUse { team: request.team, need: request.need };
        let GrantedPlace { node, awaits_release, zone } = place;
        if let Some(used) = self.team_use.get_mut(usage.team) {
            used.granted.add(&usage.need, 1);
            let team = &request.job.spec.team;
            tracing::debug!(%task, node = node.0, %team, %used, "grants");
        }
        let grant = TaskGrant { usage, node, attempt, at: now, zone, seen: false, awaits_release };
        self.grants.push(NewGrant { task, grant });
    }
}

/// Where a job's tasks may be in relation to each other.
pub(super) struct ZoneRule {
    /// Whether all have to be in one.
    pub(super) one: bool,
    /// Tasks that a zone may hold if they have to be spread.
    most_per_zone: Option<u32>,
    /// Tasks that are there, by zone.
    counts: BTreeMap<String, u32>,
}

impl ZoneRule {
    /// The rule of a job, before any of its tasks is counted in.
    pub(super) fn of(spec: &JobSpec) -> Self {
        ZoneRule {
            one: spec.one_zone,
            most_per_zone: spec.spread_zones.then(|| spec.task_count.div_ceil(2)),
            counts: BTreeMap::new(),
        }
    }

    /// Whether it restricts anything.
    pub(super) fn binds(&self) -> bool {
        self.one || self.most_per_zone.is_some()
    }

    /// Counts a task in.
    pub(super) fn count(&mut self, zone: &str) {
        *self.counts.entry(zone.to_string()).or_default() += 1;
    }

    /// How many more tasks a zone may take as far as spreading goes.
    pub(super) fn room(&self, zone: &str) -> u32 {
        let limit = self.most_per_zone.unwrap_or(u32::MAX);
        limit.saturating_sub(self.counts.get(zone).copied().unwrap_or(0))
    }

    /// Zones that may take another task, emptiest first.
    pub(super) fn open(&self, zones: &[String]) -> Vec<String> {
        let mut open: Vec<String> = zones
            .iter()
            .filter(|zone| {
                let others = self.counts.iter().any(|(other, tasks)| other != *zone && *tasks > 0);
                !(self.one && others) && self.room(zone) > 0
            })
            .cloned()
            .collect();
        open.sort_by_key(|zone| self.counts.get(zone).copied().unwrap_or(0));
        open
    }
}

/// Where the machines of each controller's shard are among the targets. They come shard by shard. Looked
/// up for each job anew, the owners of all machines took most of an epoch at 4,000 machines.
fn shard_ranges(
    inputs: &EpochInputs<'_>,
    targets: &[PlacementTarget],
) -> BTreeMap<NodeId, Range<usize>> {
    let mut shards: BTreeMap<NodeId, Range<usize>> = BTreeMap::new();
    for (at, target) in targets.iter().enumerate() {
        let Some(owner) = inputs.owner(&target.id) else { continue };
        let shard = shards.entry(owner).or_insert(at..at);
        // What is behind a gap is not taken for this shard's.
        if shard.end == at {
            shard.end = at + 1;
        }
    }
    shards
}

impl Leader {
    /// Machines as placement sees them.
    pub(super) fn targets(&self, inputs: &EpochInputs<'_>) -> Vec<PlacementTarget> {
        let mut targets = inputs.fleet.targets(inputs.cluster);
        let speeds = &self.remembered.machine_speeds;
        for target in &mut targets {
            target.slow = speeds.get(&target.id).is_some_and(Speed::is_slow);
        }
        targets
    }

    /// Counts grants under way in where their shards would place them, first on machines with room.
    pub(super) fn place_granted(
        &self,
        inputs: &EpochInputs<'_>,
        targets: &mut [PlacementTarget],
        expected_releases: &mut [ExpectedRelease],
    ) {
        let mut under_way: BTreeMap<GrantGroup<'_>, usize> = BTreeMap::new();
        let granted = self.task_grants.granted.iter();
        for (task, grant) in granted.filter(|(task, _)| !inputs.on_machines.contains_key(task)) {
            *under_way.entry(GrantGroup::of(task, grant)).or_default() += 1;
        }
        let shards = shard_ranges(inputs, targets);
        for (group, count) in under_way {
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

    /// Grants tasks of an array or a service, as far as its team's limit, its zones and the machines
    /// allow.
    pub(super) fn grant_job(
        &mut self,
        inputs: &EpochInputs<'_>,
        request: &GrantRequest<'_>,
        allocation: &mut EpochAllocation,
    ) {
        let spec = &request.job.spec;
        if request.count == 0 || !allocation.may_hold(request) {
            return;
        }
        let within_limit =
            self.within_limit(inputs.cluster, request.team, &request.need, allocation);
        if within_limit < request.count {
            self.jobs.wait_reasons.insert(spec.id, WaitReason::TeamLimit);
        }
        let mut zones = ZoneRule::of(spec);
        if zones.binds() {
            if self.task_grants.unresolved.iter().any(|task| task.job == spec.id) {
                return; // Where the others are is not known.
            }
            self.count_zones(inputs, spec.id, &mut zones);
        }
        let count = request.count.min(within_limit);
        let free: Vec<TaskId> = self.task_grants.free_tasks(inputs, spec).take(count).collect();
        let places = allocation.choose_places(inputs, request, zones, free.len());
        for (task, place) in free.into_iter().zip(places) {
            allocation.push_grant(inputs.cluster.now, request, task, place, None);
        }
    }

    /// Counts where a job's tasks are by zone.
    pub(super) fn count_zones(&self, inputs: &EpochInputs<'_>, id: JobId, zones: &mut ZoneRule) {
        for (_, seen) in inputs.on_machines.iter().filter(|(task, _)| task.job == id) {
            zones.count(&seen.machine.zone);
        }
        let granted = self.task_grants.granted.iter().map(|(task, grant)| (task, &grant.zone));
        let revoked = self.task_grants.revoked.iter().map(|(task, revoked)| (task, &revoked.zone));
        for (task, zone) in granted.chain(revoked) {
            if task.job == id
                && !inputs.on_machines.contains_key(task)
                && let Some(zone) = zone
            {
                zones.count(zone);
            }
        }
    }
}
