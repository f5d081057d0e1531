//! What to rent and what to return: a pure decision over what is held and what is wanted.

use std::collections::{BTreeMap, HashMap};

use crate::model::{Cores, MachineId, Steady};
use crate::place::{Flavors, Need, allowed};
use crate::wire::JobSpec;

/// A kind of machine that can be rented.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    /// Type.
    pub hull: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// A machine that is held.
#[derive(Clone, Debug)]
pub struct Held {
    /// The machine.
    pub id: MachineId,
    /// What it is.
    pub offer: Offer,
    /// Whether it has not reported yet.
    pub booting: bool,
    /// Seconds since it was rented, as far as known.
    pub age_s: f64,
    /// What is free on it.
    pub free: Need,
    /// Seconds since something ran on it; 0 if something does.
    pub idle_s: f64,
    /// Whether it is about to go: taken by the cloud, being drained, or silent.
    pub leaving: bool,
}

/// Tasks that wait for room.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// Their job.
    pub spec: &'a JobSpec,
    /// How many.
    pub tasks: u32,
    /// How long one runs, as far as known.
    pub run_s: f64,
    /// Whether they must start within seconds.
    pub urgent: bool,
}

/// What is remembered from epoch to epoch.
#[derive(Clone, Debug, Default)]
pub struct Market {
    refused: HashMap<Offer, Steady>,
    /// Recent peak of cores that urgent work used or wanted, decaying.
    urgent_peak: f64,
    /// Recent peak of all cores used or wanted, decaying.
    peak: f64,
    at: Steady,
}

/// Time in which a remembered peak halves.
const PEAK_HALVES_S: f64 = 90.0;
/// How long an offer that was refused is not asked for again.
const REFUSED_MS: u64 = 15_000;
/// What a spot machine's price counts for, as it may be lost with work on it.
const SPOT_RISK: f64 = 1.15;
/// Idle seconds after which a machine may be returned, spot and ordinary.
const IDLE_SPOT_S: f64 = 60.0;
const IDLE_ORDINARY_S: f64 = 25.0;
/// A machine that is deleted costs at least that long.
const LEAST_PAID_S: f64 = 60.0;
/// Share of the recent peak of urgent work that is kept ready.
const READY_SHARE: f64 = 1.0;

/// The decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Machines to rent.
    pub rent: Vec<(Offer, u32)>,
    /// Machines to drain and return.
    pub retire: Vec<MachineId>,
}

impl Market {
    /// Remembers that an offer was refused or only partly filled.
    pub fn refused(&mut self, offer: &Offer, now: Steady) {
        self.refused.insert(offer.clone(), now.plus(REFUSED_MS));
    }

    /// Notes what is used and wanted now.
    pub fn note(&mut self, now: Steady, urgent: Cores, all: Cores) {
        let dt = now.since(self.at) as f64 / 1000.0;
        self.at = now;
        let keep = 0.5f64.powf(dt / PEAK_HALVES_S);
        self.urgent_peak = (self.urgent_peak * keep).max(urgent.amount());
        self.peak = (self.peak * keep).max(all.amount());
    }

    fn open(&self, offer: &Offer, now: Steady) -> bool {
        self.refused.get(offer).is_none_or(|until| *until <= now)
    }
}

/// How many tasks fit on an empty machine.
fn slots(need: &Need, offered: &Need) -> u32 {
    let per = |n: Cores, o: Cores| o.0.checked_div(n.0).unwrap_or(u64::MAX);
    per(need.cores, offered.cores)
        .min(per(need.memory, offered.memory))
        .min(per(need.accelerators, offered.accelerators))
        .min(10_000) as u32
}

/// Decides what to rent and what to return.
pub fn decide(
    now: Steady,
    flavors: &Flavors,
    held: &[Held],
    wants: &[Want<'_>],
    market: &Market,
    pending: &[(Offer, u32)],
) -> Decision {
    let mut bins: Vec<(Offer, Need)> = Vec::new();
    for h in held.iter().filter(|h| !h.leaving) {
        let startup = flavors.get(&h.offer.hull).map_or(60.0, |f| f.startup_s);
        // A machine that takes much longer than usual may never come.
        if !h.booting || h.age_s < startup * 2.0 {
            bins.push((h.offer.clone(), h.free));
        }
    }
    for (offer, n) in pending {
        if let Some(f) = flavors.get(&offer.hull) {
            bins.extend((0..*n).map(|_| (offer.clone(), Need::offered(f))));
        }
    }
    let mut rent: BTreeMap<Offer, u32> = BTreeMap::new();
    let per_zone = |zone: &str| held.iter().filter(|h| h.offer.zone == zone).count();
    for want in wants {
        rent_for(now, flavors, want, market, &mut bins, &mut rent, &per_zone);
    }
    keep_ready(now, flavors, wants, market, &mut bins, &mut rent, &per_zone);
    Decision {
        retire: if rent.is_empty() { retire(flavors, held, market) } else { Vec::new() },
        rent: rent.into_iter().collect(),
    }
}

fn rent_for(
    now: Steady,
    flavors: &Flavors,
    want: &Want<'_>,
    market: &Market,
    bins: &mut Vec<(Offer, Need)>,
    rent: &mut BTreeMap<Offer, u32>,
    per_zone: &dyn Fn(&str) -> usize,
) {
    let need = Need::of(want.spec);
    let ok = |o: &Offer| allowed(want.spec, &o.hull, &o.zone, o.spot);
    let mut left = want.tasks;
    for (offer, free) in bins.iter_mut().filter(|(o, _)| ok(o)) {
        while left > 0 && need.fits(free) {
            need.take_from(free);
            left -= 1;
        }
        if left == 0 {
            return;
        }
        let _ = offer;
    }
    // What runs shorter than a machine boots will mostly find room before it is up.
    let mut guard = 0;
    while left > 0 && guard < 64 {
        guard += 1;
        let Some((offer, offered)) =
            cheapest(now, flavors, want.spec, &need, left, market, rent, per_zone)
        else {
            return;
        };
        let boot = flavors.get(&offer.hull).map_or(60.0, |f| f.startup_s).max(1.0);
        let weight = (want.run_s / boot).clamp(0.3, 1.0);
        let fit = slots(&need, &offered).max(1);
        if f64::from(left) * weight < 0.5 * f64::from(fit.min(want.tasks)) && guard > 1 {
            return;
        }
        let taken = ((f64::from(fit) / weight) as u32).clamp(1, left);
        let mut free = offered;
        for _ in 0..fit.min(left) {
            need.take_from(&mut free);
        }
        left -= taken;
        bins.push((offer.clone(), free));
        *rent.entry(offer).or_default() += 1;
    }
}

/// The offer with the lowest price per task that it would hold of those that are left.
#[allow(clippy::too_many_arguments)]
fn cheapest(
    now: Steady,
    flavors: &Flavors,
    spec: &JobSpec,
    need: &Need,
    left: u32,
    market: &Market,
    rent: &BTreeMap<Offer, u32>,
    per_zone: &dyn Fn(&str) -> usize,
) -> Option<(Offer, Need)> {
    let mut best: Option<(f64, usize, Offer, Need)> = None;
    for f in flavors.values() {
        let offered = Need::offered(f);
        let fit = slots(need, &offered);
        if fit == 0 {
            continue;
        }
        for zone in &f.yards {
            for spot in [true, false] {
                let offer = Offer { hull: f.sku.clone(), zone: zone.clone(), spot };
                if !allowed(spec, &offer.hull, zone, spot) || !market.open(&offer, now) {
                    continue;
                }
                let price = if spot { f.market_price * SPOT_RISK } else { f.hourly };
                let per_task = price / f64::from(fit.min(left.max(1)));
                let crowd = per_zone(zone) + rent.get(&offer).copied().unwrap_or(0) as usize;
                let better = best.as_ref().is_none_or(|(p, c, o, _)| {
                    per_task < p * 0.999 || (per_task < p * 1.001 && (crowd, &offer) < (*c, o))
                });
                if better {
                    best = Some((per_task, crowd, offer, offered));
                }
            }
        }
    }
    best.map(|(_, _, offer, offered)| (offer, offered))
}

/// Rents spot machines so that urgent work of the recent peak would find room at once.
fn keep_ready(
    now: Steady,
    flavors: &Flavors,
    wants: &[Want<'_>],
    market: &Market,
    bins: &mut Vec<(Offer, Need)>,
    rent: &mut BTreeMap<Offer, u32>,
    per_zone: &dyn Fn(&str) -> usize,
) {
    let Some(urgent) = wants.iter().find(|w| w.urgent) else {
        return;
    };
    let need = Need::of(urgent.spec);
    if need.cores.0 == 0 {
        return;
    }
    let in_use = market.urgent_peak;
    let tasks = (in_use * READY_SHARE / need.cores.amount()).ceil() as u32;
    let ready = Want { spec: urgent.spec, tasks, run_s: f64::INFINITY, urgent: true };
    rent_for(now, flavors, &ready, market, bins, rent, per_zone);
}

/// Machines that have been idle for long, dearest first, as long as what stays free holds
/// the urgent work of the recent peak.
fn retire(flavors: &Flavors, held: &[Held], market: &Market) -> Vec<MachineId> {
    let price = |o: &Offer| {
        flavors
            .get(&o.hull)
            .map_or(0.0, |f| (if o.spot { f.market_price } else { f.hourly }) / f.vcpus.max(0.001))
    };
    let mut free: f64 = held.iter().filter(|h| !h.leaving).map(|h| h.free.cores.amount()).sum();
    let mut idle: Vec<&Held> = held
        .iter()
        .filter(|h| !h.leaving && !h.booting && h.age_s >= LEAST_PAID_S)
        .filter(|h| h.idle_s >= if h.offer.spot { IDLE_SPOT_S } else { IDLE_ORDINARY_S })
        .collect();
    idle.sort_by(|a, b| price(&b.offer).total_cmp(&price(&a.offer)).then_with(|| a.id.cmp(&b.id)));
    let mut out = Vec::new();
    for h in idle {
        if free - h.free.cores.amount() < market.urgent_peak * READY_SHARE {
            continue;
        }
        free -= h.free.cores.amount();
        out.push(h.id.clone());
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::place::tests::flavor;
    use crate::wire::tests::spec;

    fn flavors() -> Flavors {
        [flavor("small", 8.0, 64.0)].map(|f| (f.sku.clone(), f)).into()
    }
    fn offer(zone: &str, spot: bool) -> Offer {
        Offer { hull: "small".into(), zone: zone.into(), spot }
    }
    fn held(id: &str, spot: bool, idle_s: f64) -> Held {
        Held {
            id: MachineId::new(id),
            offer: offer("a", spot),
            booting: false,
            age_s: 100.0,
            free: Need::offered(&flavor("small", 8.0, 64.0)),
            idle_s,
            leaving: false,
        }
    }

    #[test]
    fn what_does_not_fit_is_rented_where_it_is_cheap() {
        let job = spec(1, 4); // 4 cores: two fit on a machine
        let want = |tasks| Want { spec: &job, tasks, run_s: 100.0, urgent: false };
        let count = |d: Decision| d.rent.iter().map(|r| r.1).sum::<u32>();
        let mut market = Market::default();
        let f = flavors();
        let now = Steady(1_000);
        let d = decide(now, &f, &[], &[want(4)], &market, &[]);
        assert!(d.rent.iter().all(|(o, _)| o.spot));
        assert_eq!(d.rent.len(), 2, "spread over zones");
        assert_eq!(count(d), 2);
        assert_eq!(count(decide(now, &f, &[held("n-1", true, 0.0)], &[want(4)], &market, &[])), 1);
        let coming = [(offer("a", true), 2)];
        assert_eq!(count(decide(now, &f, &[], &[want(4)], &market, &coming)), 0);
        market.refused(&offer("a", true), now);
        market.refused(&offer("b", true), now);
        let d = decide(now, &f, &[], &[want(2)], &market, &[]);
        assert!(d.rent.iter().all(|(o, _)| !o.spot), "ordinary ones when spot is refused");
        let d = decide(now.plus(REFUSED_MS), &f, &[], &[want(2)], &market, &[]);
        assert!(d.rent.iter().all(|(o, _)| o.spot), "refusals pass");
    }

    #[test]
    fn idle_machines_go_unless_urgent_work_may_need_them() {
        let f = flavors();
        let mut market = Market::default();
        let now = Steady(1_000);
        let all = [held("n-1", true, 70.0), held("n-2", false, 70.0), held("n-3", true, 10.0)];
        let d = decide(now, &f, &all, &[], &market, &[]);
        assert_eq!(d.retire, [MachineId::new("n-2"), MachineId::new("n-1")]);
        market.note(now, Cores(16_000), Cores(16_000));
        let d = decide(now, &f, &all, &[], &market, &[]);
        assert_eq!(d.retire, [MachineId::new("n-2")], "the dearest goes first");
    }
}
