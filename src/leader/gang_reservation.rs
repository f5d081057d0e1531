//! The reservation of machines for gangs, so that a gang that arrives finds room for all of its
//! tasks.

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

/// Largest share of the cores of open machines that is reserved for each of two kinds of gangs: those
/// that may use spot machines and those that may not. Open machines accept new tasks. Without a
/// limit, other work would find no machine in a small fleet.
const MAX_RESERVED_SHARE: f64 = 0.25;

/// Milliseconds for which the needs of gangs are remembered after the last gang with such needs was
/// open. Needs are the gangs' images, and whether the gangs have to be spread over zones.
const GANG_NEEDS_RETENTION_MS: u64 = 300_000;

/// The resources that gangs use now.
struct GangUse<'a> {
    /// Cores of tasks of gangs that may not use spot machines, and of gangs that may.
    cores: [Cores; 2],
    /// Machines with tasks of gangs.
    hosts: FxHashSet<&'a MachineId>,
}

/// Free room that is to be reserved, zone by zone.
struct Reservation<'a> {
    /// Indices of the machines that may be reserved, best first.
    order: Vec<usize>,
    /// Zones in which room is reserved first, with equal shares of `cores`.
    zones: &'a [String],
    /// Free cores to reserve.
    cores: f64,
}

/// Returns all cores of a machine, free or not; 0 if its type is not in the catalog.
fn offered_cores(cluster: &ClusterView<'_>, target: &PlacementTarget) -> Cores {
    let machine_type = cluster.catalog.get(&*target.machine_type);
    machine_type.map_or(Cores(0), |offered| Cores::round_down(offered.vcpus))
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
    /// Marks the machines that are reserved for gangs: as few as hold the wanted free cores,
    /// preferably in one zone. Only gangs and jobs that may not use spot machines are placed on them.
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
        let open_cores = open.map(|target| offered_cores(cluster, target).amount()).sum::<f64>();
        for allows_spot in [false, true] {
            let in_use = gang_use.cores[usize::from(allows_spot)].amount();
            let wanted_cores = self.retained.market.load.gang_headroom(allows_spot, in_use);
            let wanted_cores = wanted_cores.min(open_cores * MAX_RESERVED_SHARE);
            if wanted_cores <= 0.0 {
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
            self.reserve(targets, &Reservation { order, zones: &zones, cores: wanted_cores });
            self.retained.market.gang_zones = zones;
        }
        self.gangs.reserved.sort();
    }

    /// Records the images of open gangs, and whether some of them have to be spread over zones.
    fn observe_gang_needs(&mut self, cluster: &ClusterView<'_>) {
        let images = &mut self.retained.gang_images;
        for job in cluster.replica.jobs.values().filter(|job| job.spec.kind == JobKind::Gang) {
            images.insert(job.spec.image.clone(), cluster.now);
            if job.spec.spread_zones {
                self.gangs.spread_gang_last_open = Some(cluster.now);
            }
        }
        images.retain(|_, at| cluster.now.since(*at) < GANG_NEEDS_RETENTION_MS);
        self.gangs
            .spread_gang_last_open
            .take_if(|at| cluster.now.since(*at) >= GANG_NEEDS_RETENTION_MS);
    }

    /// Sorts machines by their suitability for gangs: most of the needed images first, next
    /// machines with tasks of gangs, next the largest. Such machines already have what the next
    /// gangs need.
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

    /// Reserves machines until enough cores are free on them: first in the zones of the
    /// reservation, next in any zone.
    fn reserve(&mut self, targets: &mut [PlacementTarget], reservation: &Reservation<'_>) {
        let Reservation { order, zones, cores } = reservation;
        let mut missing = *cores;
        let cores_per_zone = cores / zones.len().max(1) as f64;
        let places = zones.iter().map(|zone| (Some(zone.as_str()), cores_per_zone));
        for (zone, limit) in places.chain([(None, *cores)]) {
            let mut missing_in_zone = limit.min(missing);
            for &i in order {
                let target = &mut targets[i];
                if missing_in_zone <= 0.0
                    || target.reserved
                    || zone.is_some_and(|zone| zone != &*target.zone)
                {
                    continue;
                }
                missing_in_zone -= target.free.cores.amount();
                missing -= target.free.cores.amount();
                target.reserved = true;
                self.gangs.reserved.push(target.id.clone());
            }
        }
    }

    /// Returns the zones in which room is reserved for gangs: the zone with most cores that may be
    /// reserved, or the two largest if gangs have to be spread. The first zone of the last
    /// reservation is kept while it has more than half of the cores of the largest, because its
    /// machines have the images.
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
        let mut zones_by_cores: Vec<(&str, u64)> = cores_by_zone.into_iter().collect();
        zones_by_cores.sort_by_key(|(_, cores)| Reverse(*cores));
        let most_cores = zones_by_cores.first().map_or(0, |(_, cores)| *cores);
        let previous = self.retained.market.gang_zones.first();
        let may_stay = |previous: &String| {
            zones_by_cores
                .iter()
                .position(|(zone, cores)| zone == previous && cores * 2 > most_cores)
        };
        if let Some(i) = previous.and_then(may_stay) {
            zones_by_cores[..=i].rotate_right(1);
        }
        let count = if self.gangs.spread_gang_last_open.is_some() { 2 } else { 1 };
        zones_by_cores.into_iter().take(count).map(|(zone, _)| zone.to_string()).collect()
    }
}
