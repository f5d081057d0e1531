//! Scale-out: bin packing of pending tasks into free resources and into machines to be requested.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use super::{AutoscalerState, MachineOffer, MachineUsage, PendingWork, RequestedMachines};
use crate::model::MonotonicTime;
use crate::placement::{allowed, slots};
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{JobKind, JobSpec};

/// Factor on the price of spot machines that accounts for the work lost in preemptions.
const SPOT_RISK_FACTOR: f64 = 1.15;
/// Prices per task count as equal if their ratio is above this value and below [`MAX_EQUAL_PRICE_RATIO`].
const MIN_EQUAL_PRICE_RATIO: f64 = 0.999;
/// Upper bound of the ratio of prices that count as equal.
const MAX_EQUAL_PRICE_RATIO: f64 = 1.001;

/// Filter of the offers that may be requested.
#[derive(Clone, Copy)]
pub(super) struct OfferFilter<'a> {
    pub state: &'a AutoscalerState,
    pub now: MonotonicTime,
    /// Whether only spot machines are allowed.
    pub spot_only: bool,
    /// The only allowed zone, or `None` for all zones.
    pub zone: Option<&'a str>,
}

impl OfferFilter<'_> {
    /// Returns whether an offer passes the filter and is not currently refused.
    fn admits(&self, offer: &MachineOffer) -> bool {
        self.zone.is_none_or(|zone| zone == offer.zone)
            && (offer.spot || !self.spot_only)
            && self.state.may_request(offer, self.now)
    }
}

/// Free resources of a rented machine or of a machine to be requested.
#[derive(Clone)]
struct CapacityBin {
    offer: MachineOffer,
    free: Resources,
    /// Whether the machine is reserved for gangs and for jobs that may not use spot machines.
    reserved: bool,
}

impl CapacityBin {
    /// Returns whether a job may use the machine, regardless of free resources.
    fn admits(&self, spec: &JobSpec) -> bool {
        allowed(spec, &self.offer.machine_type, &self.offer.zone, self.offer.spot)
            && !(self.reserved && spec.allows_spot && spec.kind != JobKind::Gang)
    }
}

/// Free resources and requested machines while one decision is computed.
pub(super) struct ScaleOutPlan<'a> {
    catalog: &'a MachineCatalog,
    /// Number of rented machines in each zone.
    machines_per_zone: &'a HashMap<&'a str, usize>,
    /// Rented machines and machines to be requested.
    bins: Vec<CapacityBin>,
    /// Number of machines to request of each offer.
    requests: BTreeMap<MachineOffer, u32>,
}

impl<'a> ScaleOutPlan<'a> {
    /// Creates a plan with the free resources of `machines` and without requests.
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

    /// Returns the machines to request, in the order of their offers.
    pub fn into_requests(self) -> Vec<RequestedMachines> {
        let requested = self.requests.into_iter();
        requested.map(|(offer, count)| RequestedMachines { offer, count }).collect()
    }

    /// Packs pending tasks into free resources and requests machines for the remaining tasks. Returns the number of
    /// tasks for which there is neither room nor an allowed offer.
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
            let Some((offer, offered)) = self.cheapest_offer(work.spec, &need, remaining, offers)
            else {
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

    /// Adds room for a waiting gang. A gang that has to be in one zone gets it in the zone where most of its tasks fit
    /// already, among the zones that can hold the whole gang. If no zone can, no machine is requested.
    pub fn add_for_gang(&mut self, work: &PendingWork<'_>, offers: OfferFilter<'_>) {
        if !work.spec.one_zone {
            self.add(work, offers);
            return;
        }
        for zone in self.zones_by_fit(work) {
            // The bins of other zones cannot be used by this gang and stay free for other work.
            let (inside, outside) = self.partition_bins(Some(zone));
            let mut trial = ScaleOutPlan { bins: inside, requests: self.requests.clone(), ..*self };
            if trial.add(work, OfferFilter { zone: Some(zone), ..offers }) == 0 {
                trial.bins.extend(outside);
                *self = trial;
                return;
            }
        }
    }

    /// Returns all zones, ordered by descending number of the gang's tasks that fit into free resources, then by
    /// ascending number of machines.
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

    /// Adds headroom for future gangs, either those that allow spot machines or those that do not, in tasks of the size
    /// of the gang with the most tasks. The headroom is divided equally among the zones in which machines are reserved
    /// for gangs. Tasks for which these zones have neither room nor an allowed offer may be in any zone, and so may all
    /// headroom while `gang_zones` of `state` is empty.
    pub fn add_gang_headroom(
        &mut self,
        pending: &[PendingWork<'_>],
        state: &AutoscalerState,
        allows_spot: bool,
        offers: OfferFilter<'_>,
    ) {
        let gangs =
            || pending.iter().filter(|work| work.is_gang() && work.spec.allows_spot == allows_spot);
        let in_use: f64 = gangs().map(|gang| gang.cores_per_task() * f64::from(gang.running)).sum();
        let Some(template) = gangs().max_by_key(|gang| gang.tasks + gang.running) else { return };
        let headroom = state.load.gang_headroom(allows_spot, in_use);
        let tasks = (headroom / template.cores_per_task().max(0.001)).ceil() as u32;
        let zone_count = state.gang_zones.len().max(1) as u32;
        let mut unplaced = 0;
        for index in 0..zone_count {
            let zone = state.gang_zones.get(index as usize).map(String::as_str);
            let share = tasks / zone_count + u32::from(index < tasks % zone_count);
            let (inside, outside) = self.partition_bins(zone);
            self.bins = inside;
            let work = PendingWork { tasks: share, ..template.clone() };
            unplaced += self.add(&work, OfferFilter { zone: zone.or(offers.zone), ..offers });
            self.bins.extend(outside);
        }
        if unplaced > 0 {
            self.add(&PendingWork { tasks: unplaced, ..template.clone() }, offers);
        }
    }

    /// Returns copies of the bins inside a zone, or of all bins if none is given, and of the bins outside it.
    fn partition_bins(&self, zone: Option<&str>) -> (Vec<CapacityBin>, Vec<CapacityBin>) {
        let inside = |bin: &CapacityBin| zone.is_none_or(|zone| zone == bin.offer.zone);
        self.bins.iter().cloned().partition(inside)
    }

    /// Returns the number of rented machines in a zone.
    fn machines_in_zone(&self, zone: &str) -> usize {
        self.machines_per_zone.get(zone).copied().unwrap_or(0)
    }

    /// Returns the offer with the lowest price per task, and the resources of an empty machine of this offer. The price
    /// per task is the price of a machine divided by the number of remaining tasks that fit on it. Among equal prices,
    /// the zone with fewer machines is preferred.
    fn cheapest_offer(
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
                    true => machine_type.spot_hourly_price * SPOT_RISK_FACTOR,
                    false => machine_type.hourly_price,
                };
                let price_per_task = price / f64::from(fitting.min(remaining.max(1)));
                let requested = self.requests.get(&offer).copied().unwrap_or(0) as usize;
                let machines = self.machines_in_zone(zone) + requested;
                let priced = PricedOffer { price_per_task, machines, offer, offered };
                if best.as_ref().is_none_or(|best| priced.is_preferred_over(best)) {
                    best = Some(priced);
                }
            }
        }
        best.map(|best| (best.offer, best.offered))
    }
}

/// An offer with the values by which offers are compared.
struct PricedOffer {
    /// Hourly price per task; for spot machines multiplied by [`SPOT_RISK_FACTOR`].
    price_per_task: f64,
    /// Number of rented machines in the offer's zone, plus the machines requested of this offer.
    machines: usize,
    offer: MachineOffer,
    /// Resources of an empty machine of the offer.
    offered: Resources,
}

impl PricedOffer {
    /// Returns whether the offer is cheaper than `best`, or has an equal price and is in a zone with fewer machines.
    /// Ties are resolved by the order of offers.
    fn is_preferred_over(&self, best: &PricedOffer) -> bool {
        self.price_per_task < best.price_per_task * MIN_EQUAL_PRICE_RATIO
            || (self.price_per_task < best.price_per_task * MAX_EQUAL_PRICE_RATIO
                && (self.machines, &self.offer) < (best.machines, &best.offer))
    }
}
