//! What an epoch fills: cores of teams, room on machines and places about to be left, and the grants
//! that come of it.

use std::collections::BTreeMap;
use std::ops::Range;

use rustc_hash::FxHashMap;

use super::expected_releases::{ExpectedRelease, take_expected_releases};
use super::machine_speed::Speed;
use super::{ClusterView, Leader, TaskGrant};
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{Attempt, Cores, JobId, NodeId, TaskId};
use crate::peer::WaitReason;
use crate::placement::PlacementTarget;
use crate::replica::Job;
use crate::resources::Resources;
use crate::{placement, wire};

/// What an epoch fills: teams' use of cores and accelerators, room on machines, and grants.
#[derive(Clone)]
pub(super) struct EpochAllocation {
    pub(super) used: Vec<(Cores, Cores)>,
    pub(super) targets: Vec<PlacementTarget>,
    /// Places that tasks are about to leave, and their cores, granted ones included.
    pub(super) expected_releases: Vec<ExpectedRelease>,
    pub(super) extra: Cores,
    pub(super) grants: Vec<(TaskId, TaskGrant)>,
    /// How many tasks of each job are held, and how many may be running somewhere.
    pub(super) counts: FxHashMap<JobId, (u32, u32)>,
}

impl EpochAllocation {
    /// Takes places for up to `count` tasks of a job: on machines with room, and, if `ahead`,
    /// where others are about to end.
    fn choose_places(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        job: &Job,
        mut zones: ZoneRule,
        count: usize,
        ahead: bool,
    ) -> Vec<GrantedPlace> {
        let need = Resources::of(&job.spec);
        let mut places = Vec::new();
        if !zones.binds() {
            for i in placement::spread(&job.spec, &need, &mut self.targets, None, count) {
                places.extend(self.place_on(fleet, i, false));
            }
            let left = if ahead { count - places.len() } else { 0 };
            let expected_releases = &mut self.expected_releases;
            for i in take_expected_releases(expected_releases, &job.spec, &need, None, left) {
                places.push(GrantedPlace {
                    node: expected_releases[i].owner,
                    ahead: true,
                    zone: None,
                });
            }
            return places;
        }
        while places.len() < count {
            let open = zones.open(&cluster.settings.params.zones);
            let Some(i) = open.iter().find_map(|zone| {
                placement::choose(&job.spec, &need, &self.targets, Some(zone.as_str()))
            }) else {
                break;
            };
            self.targets[i].add(&job.spec, &need);
            zones.count(&self.targets[i].zone);
            places.extend(self.place_on(fleet, i, true));
        }
        places
    }

    /// Whether there is a place for a task at all.
    fn may_hold(&self, spec: &wire::JobSpec, need: &Resources, ahead: bool) -> bool {
        self.targets.iter().any(|r| r.takes(spec, need, None))
            || ahead && self.expected_releases.iter().any(|t| t.takes(spec, need))
    }

    fn place_on(&self, fleet: &Fleet, target: usize, bound: bool) -> Option<GrantedPlace> {
        let target = &self.targets[target];
        let (node, _) = fleet.owners.get(&target.id).copied()?;
        Some(GrantedPlace { node, ahead: false, zone: bound.then(|| target.zone.to_string()) })
    }
}

/// Where a task is granted.
struct GrantedPlace {
    node: NodeId,
    /// Whether another task is about to leave it.
    ahead: bool,
    /// Set for jobs that are bound to zones.
    zone: Option<String>,
}

/// Where a job's tasks may be in relation to each other.
pub(super) struct ZoneRule {
    pub(super) one: bool,
    pub(super) most_per_zone: Option<u32>,
    pub(super) counts: BTreeMap<String, u32>,
}

impl ZoneRule {
    pub(super) fn of(spec: &wire::JobSpec) -> Self {
        ZoneRule {
            one: spec.one_zone,
            most_per_zone: spec.spread_zones.then(|| spec.task_count.div_ceil(2)),
            counts: BTreeMap::new(),
        }
    }
    pub(super) fn binds(&self) -> bool {
        self.one || self.most_per_zone.is_some()
    }
    pub(super) fn count(&mut self, zone: &str) {
        *self.counts.entry(zone.to_string()).or_default() += 1;
    }
    /// Zones that may take another task, emptiest first.
    pub(super) fn open(&self, zones: &[String]) -> Vec<String> {
        let mut open: Vec<String> = zones
            .iter()
            .filter(|z| {
                let here = self.counts.get(*z).copied().unwrap_or(0);
                let others = self.counts.iter().any(|(o, n)| o != *z && *n > 0);
                !(self.one && others) && self.most_per_zone.is_none_or(|m| here < m)
            })
            .cloned()
            .collect();
        open.sort_by_key(|z| self.counts.get(z).copied().unwrap_or(0));
        open
    }
}

/// Where the rooms of each controller's part are. They come part by part. Looked up for each job anew, the owners of
/// all rooms took most of an epoch at 4,000 machines.
fn shard_ranges(fleet: &Fleet, targets: &[PlacementTarget]) -> BTreeMap<NodeId, Range<usize>> {
    let mut shards: BTreeMap<NodeId, Range<usize>> = BTreeMap::new();
    for (at, target) in targets.iter().enumerate() {
        let Some((owner, _)) = fleet.owners.get(&target.id) else { continue };
        let shard = shards.entry(*owner).or_insert(at..at);
        // What is behind a gap is not taken for this part's.
        if shard.end == at {
            shard.end = at + 1;
        }
    }
    shards
}

impl Leader {
    /// Machines as placement sees them.
    pub(super) fn targets(&self, cluster: &ClusterView<'_>, fleet: &Fleet) -> Vec<PlacementTarget> {
        let mut targets = fleet.targets(cluster);
        for target in &mut targets {
            target.slow = self.speeds.get(&target.id).is_some_and(Speed::is_slow);
        }
        targets
    }

    /// Counts grants under way in where their parts would place them, first on machines with room.
    pub(super) fn place_granted(
        &self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        targets: &mut [PlacementTarget],
        expected_releases: &mut [ExpectedRelease],
    ) {
        type Alike<'a> = (NodeId, JobId, Option<&'a str>, Option<Attempt>, bool);
        let mut under_way: BTreeMap<Alike<'_>, usize> = BTreeMap::new();
        for (t, g) in self.granted.iter().filter(|(t, _)| !on_machines.contains_key(t)) {
            let alike = (g.node, t.job, g.zone.as_deref(), g.attempt, g.ahead);
            *under_way.entry(alike).or_default() += 1;
        }
        let shards = shard_ranges(fleet, targets);
        for ((node, job, zone, attempt, ahead), count) in under_way {
            let Some(job) = cluster.replica.jobs.get(&job) else { continue };
            if ahead {
                let need = Resources::of(&job.spec);
                take_expected_releases(expected_releases, &job.spec, &need, Some(node), count);
                continue;
            }
            let shard = shards.get(&node).and_then(|shard| targets.get_mut(shard.clone()));
            let shard = shard.unwrap_or_default();
            let need = Resources::of(&job.spec);
            if attempt.is_some() {
                placement::pack_in(&job.spec, &need, shard, zone, count);
            } else {
                placement::spread(&job.spec, &need, shard, zone, count);
            }
        }
    }

    /// Grants up to `more` tasks of a job, as far as its team's limit, its zones and the
    /// machines allow; `ahead` if they may also wait for places that others are about to leave.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn grant_job(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        job: &Job,
        team: usize,
        more: usize,
        ahead: bool,
        allocation: &mut EpochAllocation,
    ) {
        let id = job.spec.id;
        let need = Resources::of(&job.spec);
        if more == 0 || !allocation.may_hold(&job.spec, &need, ahead) {
            return;
        }
        let fits = self.within_limit(cluster, team, &need, allocation);
        if fits < more {
            self.wait_reasons.insert(id, WaitReason::TeamLimit);
        }
        let mut zones = ZoneRule::of(&job.spec);
        if zones.binds() {
            if self.unresolved.iter().any(|t| t.job == id) {
                return; // Where the others are is not known.
            }
            self.count_zones(id, on_machines, &mut zones);
        }
        let free: Vec<TaskId> = (0..job.spec.task_count)
            .map(|index| TaskId { job: id, index })
            .filter(|t| self.is_free(cluster, on_machines, *t))
            .take(more.min(fits))
            .collect();
        let chosen = allocation.choose_places(cluster, fleet, job, zones, free.len(), ahead);
        for (task, place) in free.into_iter().zip(chosen) {
            if let Some(u) = allocation.used.get_mut(team) {
                u.0.0 += need.cores.0;
                u.1.0 += need.accelerators.0;
            }
            let GrantedPlace { node, zone, ahead } = place;
            allocation.grants.push((
                task,
                TaskGrant { node, attempt: None, at: cluster.now, zone, seen: false, ahead },
            ));
        }
    }

    /// Counts where a job's tasks are by zone.
    pub(super) fn count_zones(
        &self,
        id: JobId,
        on_machines: &TasksOnMachines<'_>,
        zones: &mut ZoneRule,
    ) {
        for (_, s) in on_machines.iter().filter(|(t, _)| t.job == id) {
            zones.count(&s.machine.zone);
        }
        let granted = self.granted.iter().map(|(t, g)| (t, &g.zone));
        let revoked = self.revoked.iter().map(|(t, r)| (t, &r.zone));
        for (t, zone) in granted.chain(revoked) {
            if t.job == id
                && !on_machines.contains_key(t)
                && let Some(z) = zone
            {
                zones.count(z);
            }
        }
    }
}
