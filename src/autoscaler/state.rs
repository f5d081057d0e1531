//! State that the autoscaler keeps from epoch to epoch: refused offers, load statistics, surplus.

use std::collections::HashMap;

use super::MachineOffer;
use crate::model::MonotonicTime;
use crate::offered_load::{GangSample, LoadSample, OfferedLoad};

/// Milliseconds for which an offer is not requested again after the cloud refused it or fulfilled only part of it.
pub(super) const REFUSAL_MS: u64 = 15_000;
/// Maximum time in seconds for which one sample of the load counts, whatever the gap since the sample before it.
const MAX_SAMPLE_INTERVAL_S: f64 = 5.0;

/// State of the autoscaler that is kept from epoch to epoch.
#[derive(Clone, Debug, Default)]
pub struct AutoscalerState {
    /// Time until which each refused offer is not requested.
    refused_until: HashMap<MachineOffer, MonotonicTime>,
    /// Statistics of the offered load. Stored for the next leader.
    pub load: OfferedLoad,
    /// Time of the last load sample.
    load_recorded_at: MonotonicTime,
    /// Time of the last sample of the gangs' load.
    gangs_recorded_at: MonotonicTime,
    /// Time since which every decision found surplus machines, if the last one did.
    surplus_since: Option<MonotonicTime>,
    /// Zones in which machines are reserved for gangs: one, or two if some gangs have to be spread over zones.
    pub gang_zones: Vec<String>,
}

impl AutoscalerState {
    /// Records that the cloud refused a request for an offer or fulfilled only part of it.
    pub fn record_refusal(&mut self, offer: &MachineOffer, now: MonotonicTime) {
        self.refused_until.insert(offer.clone(), now.plus(REFUSAL_MS));
    }

    /// Records a refusal that another leader received. It holds for another `remaining_ms` milliseconds, at most for
    /// `REFUSAL_MS`.
    pub fn merge_refusal(&mut self, offer: &MachineOffer, now: MonotonicTime, remaining_ms: u64) {
        self.refused_until.insert(offer.clone(), now.plus(remaining_ms.min(REFUSAL_MS)));
    }

    /// Returns the refused offers that are not requested now, each with the time until which it is not requested.
    pub fn refusals(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&MachineOffer, MonotonicTime)> {
        let refusals = self.refused_until.iter().map(|(offer, until)| (offer, *until));
        refusals.filter(move |(_, until)| *until > now)
    }

    /// Returns whether an offer may be requested now.
    pub fn may_request(&self, offer: &MachineOffer, now: MonotonicTime) -> bool {
        self.refused_until.get(offer).is_none_or(|until| *until <= now)
    }

    /// Records the current load. The sample must not include a backlog of queued work: a queue that formed before the
    /// first machines were up does not predict future load.
    pub fn record_load(&mut self, now: MonotonicTime, sample: LoadSample) {
        let elapsed_s = elapsed_s(self.load_recorded_at, now);
        self.load_recorded_at = now;
        self.load.record(sample, elapsed_s);
    }

    /// Records the current load of gangs. `on_demand` covers gangs that may not use spot machines, and `spot` gangs
    /// that allow them.
    pub fn record_gangs(&mut self, now: MonotonicTime, on_demand: GangSample, spot: GangSample) {
        let elapsed_s = elapsed_s(self.gangs_recorded_at, now);
        self.gangs_recorded_at = now;
        self.load.record_gangs(on_demand, spot, elapsed_s);
    }

    /// Records whether the decision at `now` found surplus machines.
    pub fn record_surplus(&mut self, now: MonotonicTime, has_surplus: bool) {
        self.surplus_since =
            self.surplus_since.filter(|_| has_surplus).or(has_surplus.then_some(now));
    }

    /// Returns the milliseconds for which every decision has found surplus machines, or 0 if the last one found none.
    pub(super) fn surplus_ms(&self, now: MonotonicTime) -> u64 {
        self.surplus_since.map_or(0, |since| now.since(since))
    }
}

/// Returns the seconds for which a sample at `now` counts if the sample before it was taken at `since`.
fn elapsed_s(since: MonotonicTime, now: MonotonicTime) -> f64 {
    (now.since(since) as f64 / 1000.0).min(MAX_SAMPLE_INTERVAL_S)
}
