//! Scale-out: bin packing of pending tasks into free room and into machines that are to be scaled out.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use super::{MachineOffer, MachineUsage, MarketState, PendingWork, RequestedMachines};
use crate::model::MonotonicTime;
use crate::placement::{allowed, slots};
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{JobKind, JobSpec};

/// Factor on a spot machine's price for the work that is lost when it is preempted.
const SPOT_RISK: f64 = 1.15;
/// Prices per task whose ratio is between these are equal.
const CHEAPER_RATIO: f64 = 0.999;
const DEARER_RATIO: f64 = 1.001;

/// Offers that may be requested.
#[derive(Clone, Copy)]
pub(super) struct OfferFilter<'a> {
    pub market: &'a MarketState,
    pub now: MonotonicTime,
    pub spot_only: bool,
    /// Only that zone, if one is given.
    pub zone: Option<&'a str>,
}

impl OfferFilter<'_> {
    fn admits(&self, offer: &MachineOffer) -> bool {
        self.zone.is_none_or(|zone| zone == offer.zone)
            && (offer.spot || !self.spot_only)
            && self.market.is_open(offer, self.now)
    }
}

/// Free room on a machine that is held or is to be scaled out.
#[derive(Clone)]
struct CapacityBin {
    offer: MachineOffer,
    free: Resources,
    /// Whether it is reserved for gangs and for work that may not use spot machines.
    reserved: bool,
}

impl CapacityBin {
    fn admits(&self, spec: &JobSpec) -> bool {
        allowed(spec, &self.offer.machine_type, &self.offer.zone, self.offer.spot)
            && !(self.reserved && spec.allows_spot && spec.kind != JobKind::Gang)
    }
}

/// Room and requests as the steps of one decision build them up.
pub(super) struct ScaleOutPlan<'a> {
    catalog: &'a MachineCatalog,
    machines_per_zone: &'a HashMap<&'a str, usize>,
    bins: Vec<CapacityBin>,
    /// Number of machines to request by offer.
    requests: BTreeMap<MachineOffer, u32>,
}

impl<'a> ScaleOutPlan<'a> {
    /// A plan that requests nothing yet and has the free room of `machines`.
    pub fn new(
        catalog: &'a MachineCatalog,
        machines_per_zone: &'a HashMap<&'a str, usize>,
        machines: impl Iterator<Item = &'a MachineUsage>,
    ) -> Self {
        let bin = |machine: &MachineUsage| CapacityBin {
            offer: machine.offer.clone(),
            free: machine.free,
            reserved: machine.reserved,
        };
        let (bins, requests) = (machines.map(bin).collect(), BTreeMap::new());
        ScaleOutPlan { catalog, machines_per_zone, bins, requests }
    }

    /// Machines to request, in the order of their offers.
    pub fn into_requests(self) -> Vec<RequestedMachines> {
        let requested = self.requests.into_iter();
        requested.map(|(offer, count)| RequestedMachines { offer, count }).collect()
    }

    /// Packs pending tasks into free room and requests machines for the rest. Returns how many tasks
    /// are left without a machine.
    pub fn add(&mut self, work: &PendingWork<'_>, offers: OfferFilter<'_>) -> u32 {
        let need = Resources::of(work.spec);
        let mut remaining = work.tasks;
        for bin in self.bins.iter_mut().filter(|bin| bin.admits(work.spec)) {
            while remaining > 0 && need.fits(&bin.free) {
                need.take_from(&mut bin.free);
                remaining -= 1;
            }
        }
        while remaining > 0 {
            let Some((offer, offered)) = self.cheapest(work.spec, &need, remaining, offers) else {
                return remaining;
            };
            let placed = slots(&need, &offered).clamp(1, remaining);
            let mut free = offered;
            for _ in 0..placed {
                need.take_from(&mut free);
            }
            remaining -= placed;
            self.bins.push(CapacityBin { offer: offer.clone(), free, reserved: false });
            *self.requests.entry(offer).or_default() += 1;
        }
        remaining
    }

    /// Adds room for a gang that waits. One that has to be in one zone gets it in the zone where most of
    /// its tasks fit already, among those that can hold all of it; if none can, nothing is requested.
    pub fn add_for_gang(&mut self, work: &PendingWork<'_>, offers: OfferFilter<'_>) {
        if !work.spec.one_zone {
            self.add(work, offers);
            return;
        }
        for zone in self.zones_by_fit(work) {
            // What is in other zones does not help, and is left for others.
            let (inside, outside) = self.partition_bins(Some(zone));
            let mut trial = ScaleOutPlan { bins: inside, requests: self.requests.clone(), ..*self };
            if trial.add(work, OfferFilter { zone: Some(zone), ..offers }) == 0 {
                trial.bins.extend(outside);
                *self = trial;
                return;
            }
        }
    }

    /// Zones, those first where most of the gang's tasks fit into free room, then those with fewer machines.
    fn zones_by_fit(&self, work: &PendingWork<'_>) -> Vec<&'a str> {
        let need = Resources::of(work.spec);
        let catalog: &'a MachineCatalog = self.catalog;
        let mut fitting: BTreeMap<&'a str, u32> = BTreeMap::new();
        for zone in catalog.values().flat_map(|machine_type| &machine_type.zones) {
            fitting.entry(zone).or_default();
        }
        for bin in self.bins.iter().filter(|bin| bin.admits(work.spec)) {
            if let Some(tasks) = fitting.get_mut(bin.offer.zone.as_str()) {
                *tasks += slots(&need, &bin.free);
            }
        }
        let mut zones: Vec<(&'a str, u32)> = fitting.into_iter().collect();
        zones.sort_by_key(|(zone, tasks)| {
            (Reverse((*tasks).min(work.tasks)), self.machines_in_zone(zone))
        });
        zones.into_iter().map(|(zone, _)| zone).collect()
    }

    /// Adds headroom for gangs to come, of those that allow spot machines or of those that do not, in tasks
    /// like those of the gang that has most of them. It is divided over the zones where room is reserved
    /// for gangs; what they cannot hold may be anywhere.
    pub fn add_gang_headroom(
        &mut self,
        pending: &[PendingWork<'_>],
        market: &MarketState,
        allows_spot: bool,
        offers: OfferFilter<'_>,
    ) {
        let gangs =
            || pending.iter().filter(|work| work.is_gang() && work.spec.allows_spot == allows_spot);
        let in_use: f64 = gangs().map(|gang| gang.cores_per_task() * f64::from(gang.running)).sum();
        let Some(model) = gangs().max_by_key(|gang| gang.tasks + gang.running) else { return };
        let headroom = market.load.gang_headroom(allows_spot, in_use);
        let tasks = (headroom / model.cores_per_task().max(0.001)).ceil() as u32;
        let zone_count = market.gang_zones.len().max(1) as u32;
        let mut unplaced = 0;
        for index in 0..zone_count {
            let zone = market.gang_zones.get(index as usize).map(String::as_str);
            let share = tasks / zone_count + u32::from(index < tasks % zone_count);
            let (inside, outside) = self.partition_bins(zone);
            self.bins = inside;
            let work = PendingWork { tasks: share, ..model.clone() };
            unplaced += self.add(&work, OfferFilter { zone: zone.or(offers.zone), ..offers });
            self.bins.extend(outside);
        }
        if unplaced > 0 {
            self.add(&PendingWork { tasks: unplaced, ..model.clone() }, offers);
        }
    }

    /// Copies of the bins inside a zone, or of all if none is given, and of those outside.
    fn partition_bins(&self, zone: Option<&str>) -> (Vec<CapacityBin>, Vec<CapacityBin>) {
        let inside = |bin: &CapacityBin| zone.is_none_or(|zone| zone == bin.offer.zone);
        self.bins.iter().cloned().partition(inside)
    }

    fn machines_in_zone(&self, zone: &str) -> usize {
        self.machines_per_zone.get(zone).copied().unwrap_or(0)
    }

    /// The offer with the lowest price per task that it would hold of those that remain; among equals the
    /// zone with fewer machines. Also returns what a machine of it offers.
    fn cheapest(
        &self,
        spec: &JobSpec,
        need: &Resources,
        remaining: u32,
        offers: OfferFilter<'_>,
    ) -> Option<(MachineOffer, Resources)> {
        let mut best: Option<PricedOffer> = None;
        for machine_type in self.catalog.values() {
            let offered = Resources::offered(machine_type);
            let fitting = slots(need, &offered);
            if fitting == 0 {
                continue;
            }
            let zones = machine_type.zones.iter();
            for (zone, spot) in zones.flat_map(|zone| [(zone, true), (zone, false)]) {
                let name = machine_type.name.clone();
                let offer = MachineOffer { machine_type: name, zone: zone.clone(), spot };
                if !(offers.admits(&offer) && allowed(spec, &offer.machine_type, zone, spot)) {
                    continue;
                }
                let price = match spot {
                    true => machine_type.spot_hourly_price * SPOT_RISK,
                    false => machine_type.hourly_price,
                };
                let price_per_task = price / f64::from(fitting.min(remaining.max(1)));
                let requested = self.requests.get(&offer).copied().unwrap_or(0) as usize;
                let machines = self.machines_in_zone(zone) + requested;
                let found = PricedOffer { price_per_task, machines, offer, offered };
                if best.as_ref().is_none_or(|best| found.is_better_than(best)) {
                    best = Some(found);
                }
            }
        }
        best.map(|best| (best.offer, best.offered))
    }
}

/// An offer that is compared with others.
struct PricedOffer {
    /// Hourly price, with the risk of a preemption.
    price_per_task: f64,
    /// Machines in its zone, with those that are requested of this offer.
    machines: usize,
    offer: MachineOffer,
    /// What a machine of it offers.
    offered: Resources,
}

impl PricedOffer {
    fn is_better_than(&self, best: &PricedOffer) -> bool {
        self.price_per_task < best.price_per_task * CHEAPER_RATIO
            || (self.price_per_task < best.price_per_task * DEARER_RATIO
                && (self.machines, &self.offer) < (best.machines, &best.offer))
    }
}
