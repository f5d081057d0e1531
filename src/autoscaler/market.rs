//! What the autoscaler remembers from epoch to epoch: refused offers, load, surplus.

use std::collections::HashMap;

use super::MachineOffer;
use crate::model::MonotonicTime;
use crate::offered_load::{GangSample, LoadSample, OfferedLoad};

/// Milliseconds for which an offer that was refused is not requested again.
pub(super) const REFUSED_MS: u64 = 15_000;
/// A gap between two samples of the load counts for no more seconds than that.
const MAX_SAMPLE_S: f64 = 5.0;

/// What is remembered of the cloud's offers and of the load.
#[derive(Clone, Debug, Default)]
pub struct MarketState {
    /// Until when refused offers are not requested.
    refused_until: HashMap<MachineOffer, MonotonicTime>,
    /// Statistics of the load; stored for the next leader.
    pub load: OfferedLoad,
    load_recorded_at: MonotonicTime,
    gangs_recorded_at: MonotonicTime,
    surplus_since: Option<MonotonicTime>,
    /// The zone where room is reserved for gangs, or both zones if some have to be spread.
    pub gang_zones: Vec<String>,
}

impl MarketState {
    /// Records that an offer was refused or only partly filled.
    pub fn record_refusal(&mut self, offer: &MachineOffer, now: MonotonicTime) {
        self.refused_until.insert(offer.clone(), now.plus(REFUSED_MS));
    }

    /// Records a refusal that another leader saw and that holds for `remaining_ms` more.
    pub fn merge_refusal(&mut self, offer: &MachineOffer, now: MonotonicTime, remaining_ms: u64) {
        self.refused_until.insert(offer.clone(), now.plus(remaining_ms.min(REFUSED_MS)));
    }

    /// Offers that are not requested now, and until when.
    pub fn refusals(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&MachineOffer, MonotonicTime)> {
        let all = self.refused_until.iter().map(|(offer, until)| (offer, *until));
        all.filter(move |(_, until)| *until > now)
    }

    /// Whether an offer may be requested.
    pub fn is_open(&self, offer: &MachineOffer, now: MonotonicTime) -> bool {
        self.refused_until.get(offer).is_none_or(|until| *until <= now)
    }

    /// Records the load of now. What queues does not count: a queue from before the first machines were
    /// up says nothing about what comes.
    pub fn record_load(&mut self, now: MonotonicTime, sample: LoadSample) {
        let elapsed_s = elapsed_s(self.load_recorded_at, now);
        self.load_recorded_at = now;
        self.load.record(sample, elapsed_s);
    }

    /// Records the load of gangs: those that may not use spot machines, and those that allow them.
    pub fn record_gangs(&mut self, now: MonotonicTime, ordinary: GangSample, spot: GangSample) {
        let elapsed_s = elapsed_s(self.gangs_recorded_at, now);
        self.gangs_recorded_at = now;
        self.load.record_gangs(ordinary, spot, elapsed_s);
    }

    /// Records whether the last decision found surplus machines.
    pub fn record_surplus(&mut self, now: MonotonicTime, has_surplus: bool) {
        self.surplus_since =
            self.surplus_since.filter(|_| has_surplus).or(has_surplus.then_some(now));
    }

    /// Milliseconds for which every decision found surplus machines.
    pub(super) fn surplus_ms(&self, now: MonotonicTime) -> u64 {
        self.surplus_since.map_or(0, |since| now.since(since))
    }
}

/// Seconds that a sample stands for.
fn elapsed_s(since: MonotonicTime, now: MonotonicTime) -> f64 {
    (now.since(since) as f64 / 1000.0).min(MAX_SAMPLE_S)
}
