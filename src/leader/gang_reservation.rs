//! Machines that are reserved for gangs, so that a gang that arrives finds room for all of its tasks.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use rustc_hash::FxHashSet;

use super::Leader;
use super::inputs::EpochInputs;
use crate::cluster_view::ClusterView;
use crate::model::{Cores, MachineId};
use crate::placement::PlacementTarget;
use crate::resources::Resources;
use crate::wire::JobKind;

/// Most of all cores that are reserved for gangs: in a small fleet others would find nothing.
const MAX_RESERVED_SHARE: f64 = 0.25;

/// How long the images of gangs count as wanted after the last one, in milliseconds.
const IMAGES_KEPT_MS: u64 = 300_000;

/// What gangs use now.
struct GangUse<'a> {
    /// Cores of gangs that do not allow spot machines, and of those that do.
    cores: [Cores; 2],
    /// Machines with tasks of gangs.
    hosts: FxHashSet<&'a MachineId>,
}

/// Room to reserve in one zone after the other.
struct Reservation<'a> {
    /// Machines that may be reserved, best first, by their place among the targets.
    order: Vec<usize>,
    /// Zones to reserve in first, with equal shares of it.
    zones: &'a [String],
    /// Cores that are to be free there.
    cores: f64,
}

/// Cores that a machine has in all.
fn offered_cores(cluster: &ClusterView<'_>, target: &PlacementTarget) -> Cores {
    let machine_type = cluster.catalog.get(&*target.machine_type);
    machine_type.map_or(Cores(0), |offered| Cores::offer(offered.vcpus))
}

impl<'a> GangUse<'a> {
    fn of(inputs: &EpochInputs<'a>) -> Self {
        let mut gang_use = GangUse { cores: [Cores(0); 2], hosts: FxHashSet::default() };
        for (task, seen) in inputs.on_machines {
            let Some(job) = inputs.cluster.replica.jobs.get(&task.job) else { continue };
            if job.spec.kind == JobKind::Gang {
                let cores = &mut gang_use.cores[usize::from(job.spec.allows_spot)];
                cores.0 += Resources::of(&job.spec).cores.0;
                gang_use.hosts.insert(&seen.machine.id);
            }
        }
        gang_use
    }
}

impl Leader {
    /// Marks the machines that are reserved for gangs: so much stays free there, on as few machines as
    /// hold it, in one zone as far as that goes. Work that may go elsewhere takes nothing there.
    pub(super) fn reserve_for_gangs(
        &mut self,
        inputs: &EpochInputs<'_>,
        targets: &mut [PlacementTarget],
    ) {
        let cluster = inputs.cluster;
        self.gangs.reserved.clear();
        self.observe_gang_needs(cluster);
        if self.retained.gang_images.is_empty() {
            return;
        }
        let gang_use = GangUse::of(inputs);
        let open = targets.iter().filter(|target| target.schedulable);
        let open = open.map(|target| offered_cores(cluster, target).amount()).sum::<f64>();
        for allows_spot in [false, true] {
            let in_use = gang_use.cores[usize::from(allows_spot)].amount();
            let wanted = self.retained.market.load.gang_headroom(allows_spot, in_use);
            let wanted = wanted.min(open * MAX_RESERVED_SHARE);
            if wanted <= 0.0 {
                continue;
            }
            let may_reserve = |target: &PlacementTarget| {
                target.schedulable
                    && !target.reserved
                    && (allows_spot || !target.spot)
                    && inputs.owner_supports_gangs(target)
            };
            let order: Vec<usize> =
                (0..targets.len()).filter(|&i| may_reserve(&targets[i])).collect();
            let zones = self.gang_zones(cluster, targets, &order);
            let order = self.reservation_order(cluster, targets, &gang_use, order);
            self.reserve(targets, &Reservation { order, zones: &zones, cores: wanted });
            self.retained.market.gang_zones = zones;
        }
        self.gangs.reserved.sort();
    }

    /// Notes what the gangs that are open need: their images, and whether some have to be spread.
    fn observe_gang_needs(&mut self, cluster: &ClusterView<'_>) {
        let images = &mut self.retained.gang_images;
        for job in cluster.replica.jobs.values().filter(|job| job.spec.kind == JobKind::Gang) {
            images.insert(job.spec.image.clone(), cluster.now);
            if job.spec.spread_zones {
                self.gangs.spread_gang_last_open = Some(cluster.now);
            }
        }
        images.retain(|_, at| cluster.now.since(*at) < IMAGES_KEPT_MS);
        self.gangs.spread_gang_last_open.take_if(|at| cluster.now.since(*at) >= IMAGES_KEPT_MS);
    }

    /// Sorts machines by their worth for gangs: what gangs need again is there already.
    fn reservation_order(
        &self,
        cluster: &ClusterView<'_>,
        targets: &[PlacementTarget],
        gang_use: &GangUse<'_>,
        mut order: Vec<usize>,
    ) -> Vec<usize> {
        let gang_images = &self.retained.gang_images;
        order.sort_by_key(|&i| {
            let target = &targets[i];
            let images = target.images.iter().filter(|(image, _)| gang_images.contains_key(image));
            let rank = (
                images.count(),
                gang_use.hosts.contains(&target.id),
                offered_cores(cluster, target),
                target.free.cores,
            );
            (Reverse(rank), target.id.clone())
        });
        order
    }

    /// Reserves machines until enough cores are free there: in the zones that are wanted, then
    /// anywhere.
    fn reserve(&mut self, targets: &mut [PlacementTarget], reservation: &Reservation<'_>) {
        let Reservation { order, zones, cores } = reservation;
        let mut missing = *cores;
        let each = cores / zones.len().max(1) as f64;
        let places = zones.iter().map(|zone| (Some(zone.as_str()), each));
        for (zone, limit) in places.chain([(None, *cores)]) {
            let mut missing_here = limit.min(missing);
            for &i in order {
                let target = &mut targets[i];
                if missing_here <= 0.0
                    || target.reserved
                    || zone.is_some_and(|zone| zone != &*target.zone)
                {
                    continue;
                }
                missing_here -= target.free.cores.amount();
                missing -= target.free.cores.amount();
                target.reserved = true;
                self.gangs.reserved.push(target.id.clone());
            }
        }
    }

    /// The zone where room is reserved for gangs: the one with most cores that may be reserved. It
    /// stays as long as it is not much the smaller one, as its machines have the images. Both, if some
    /// gangs have to be spread.
    fn gang_zones(
        &self,
        cluster: &ClusterView<'_>,
        targets: &[PlacementTarget],
        candidates: &[usize],
    ) -> Vec<String> {
        let mut cores_by_zone: BTreeMap<&str, u64> = BTreeMap::new();
        for target in candidates.iter().map(|&i| &targets[i]) {
            *cores_by_zone.entry(&*target.zone).or_default() += offered_cores(cluster, target).0;
        }
        let mut largest: Vec<(&str, u64)> = cores_by_zone.into_iter().collect();
        largest.sort_by_key(|(_, cores)| Reverse(*cores));
        let most_cores = largest.first().map_or(0, |(_, cores)| *cores);
        let before = self.retained.market.gang_zones.first();
        let stays = |before: &String| {
            largest.iter().position(|(zone, cores)| zone == before && cores * 2 > most_cores)
        };
        if let Some(i) = before.and_then(stays) {
            largest[..=i].rotate_right(1);
        }
        let count = if self.gangs.spread_gang_last_open.is_some() { 2 } else { 1 };
        largest.into_iter().take(count).map(|(zone, _)| zone.to_string()).collect()
    }
}
