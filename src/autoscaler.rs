//! What to rent and what to return: a pure decision over what is held and what is wanted.

use std::collections::{BTreeMap, HashMap};

use crate::model::{MachineId, MonotonicTime};
use crate::offered_load::{GangSample, LoadSample, OfferedLoad};
use crate::placement::{allowed, slots};
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{JobKind, JobSpec, Priority};

/// A kind of machine that can be rented.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineOffer {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// A machine that is held.
#[derive(Clone, Debug)]
pub struct MachineUsage {
    /// The machine.
    pub id: MachineId,
    /// What it is.
    pub offer: MachineOffer,
    /// Whether it has not reported yet.
    pub booting: bool,
    /// Seconds since it was rented, as far as known.
    pub age_s: f64,
    /// What is free on it.
    pub free: Resources,
    /// Seconds since something ran on it; 0 if something does.
    pub idle_s: f64,
    /// Whether it is kept for gangs.
    pub reserved: bool,
    /// Whether it is about to go: taken by the cloud, being drained, or silent.
    pub leaving: bool,
}

/// Tasks that wait for room.
#[derive(Clone, Debug)]
pub struct PendingWork<'a> {
    /// Their job.
    pub spec: &'a JobSpec,
    /// How many.
    pub tasks: u32,
    /// How many of the job's tasks run or are about to.
    pub running: u32,
    /// How long each runs.
    pub run_s: f64,
    /// Whether they run shorter than it takes to rent a machine for them.
    pub brief: bool,
}

/// What is remembered from epoch to epoch.
#[derive(Clone, Debug, Default)]
pub struct MarketState {
    refused: HashMap<MachineOffer, MonotonicTime>,
    /// What the load was.
    pub load: OfferedLoad,
    load_recorded_at: MonotonicTime,
    spare_since: Option<MonotonicTime>,
    gangs_recorded_at: MonotonicTime,
    /// The zone where room is kept for gangs, or both zones if some have to be spread.
    pub gang_zones: Vec<String>,
}

/// How long an offer that was refused is not asked for again.
const REFUSED_MS: u64 = 15_000;
/// What a spot machine's price counts for, as it may be lost with work on it.
const SPOT_RISK: f64 = 1.15;
/// Idle seconds after which a machine may be returned, spot and ordinary.
const IDLE_SPOT_S: f64 = 60.0;
const IDLE_ORDINARY_S: f64 = 20.0;
/// Seconds that work without urgency waits in the queue before ordinary machines are rented.
const PATIENT_S: f64 = 12.0;
/// How long machines must have been to spare before some go, ordinary and spot, what part of the cores
/// in use stays free beyond what is kept ready, and which part of the machines goes at a time.
const SPARE_MS: u64 = 12_000;
const SPARE_SPOT_MS: u64 = 25_000;
const SPARE_PART: f64 = 0.12;
const SHED_PART: usize = 40;
/// A machine that is deleted costs at least that long.
const LEAST_PAID_S: f64 = 60.0;
/// Work that runs shorter than this part of a boot time is brief: by the time a machine
/// rented for it is up, it has found room or missed its time.
const BRIEF: f64 = 0.8;
/// A gap between two samples counts for no more seconds than that.
const MAX_SAMPLE_S: f64 = 5.0;

/// Seconds that a sample stands for.
fn elapsed_s(since: MonotonicTime, now: MonotonicTime) -> f64 {
    (now.since(since) as f64 / 1000.0).min(MAX_SAMPLE_S)
}

/// The decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Machines to rent.
    pub scale_out: Vec<(MachineOffer, u32)>,
    /// Machines to drain and return.
    pub scale_in: Vec<MachineId>,
    /// Whether machines could be done without, if that lasts.
    pub spare: bool,
}

impl MarketState {
    /// Remembers that an offer was refused or only partly filled.
    pub fn refused(&mut self, offer: &MachineOffer, now: MonotonicTime) {
        self.refused.insert(offer.clone(), now.plus(REFUSED_MS));
    }

    /// The same as another leader told, for what is left of it.
    pub fn refused_for(&mut self, offer: &MachineOffer, now: MonotonicTime, left_ms: u64) {
        self.refused.insert(offer.clone(), now.plus(left_ms.min(REFUSED_MS)));
    }

    /// Offers that are not asked for now, and until when.
    pub fn refusals(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&MachineOffer, MonotonicTime)> {
        self.refused.iter().filter(move |(_, until)| **until > now).map(|(o, until)| (o, *until))
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

    /// Notes whether machines could be done without.
    pub fn note_spare(&mut self, now: MonotonicTime, spare: bool) {
        self.spare_since = self.spare_since.filter(|_| spare).or(spare.then_some(now));
    }

    /// Whether an offer may be asked for.
    pub fn open(&self, offer: &MachineOffer, now: MonotonicTime) -> bool {
        self.refused.get(offer).is_none_or(|until| *until <= now)
    }
}

/// Whether work is brief in comparison with how long machines boot.
pub fn is_brief(catalog: &MachineCatalog, spec: &JobSpec, run_s: f64) -> bool {
    let need = Resources::of(spec);
    let boots = catalog.values().filter(|f| slots(&need, &Resources::offered(f)) > 0);
    boots.map(|f| f.boot_s).min_by(f64::total_cmp).is_some_and(|boot| run_s < boot * BRIEF)
}

/// Decides what to rent and what to return.
pub fn decide(
    now: MonotonicTime,
    catalog: &MachineCatalog,
    held: &[MachineUsage],
    wants: &[PendingWork<'_>],
    market: &MarketState,
) -> ScalingDecision {
    let mut bins: Vec<Bin> = Vec::new();
    for h in held.iter().filter(|h| !h.leaving) {
        let startup = catalog.get(&h.offer.machine_type).map_or(60.0, |f| f.boot_s);
        // A machine that takes much longer than usual may never come.
        if !h.booting || h.age_s < startup * 2.0 {
            bins.push(Bin { offer: h.offer.clone(), free: h.free, reserved: h.reserved });
        }
    }
    let mut scale_out: BTreeMap<MachineOffer, u32> = BTreeMap::new();
    let any = |o: &MachineOffer| market.open(o, now);
    let spot_only = |o: &MachineOffer| o.spot && market.open(o, now);
    // Counted once: each machine that is rented asks for it.
    let mut zones: HashMap<&str, usize> = HashMap::new();
    for h in held {
        *zones.entry(&h.offer.zone).or_default() += 1;
    }
    let per_zone = |zone: &str| zones.get(zone).copied().unwrap_or(0);
    let queues = queues(catalog, held, wants);
    // Gangs first: what they need is whole, and nothing else fits where it has to be.
    for want in wants.iter().filter(|w| w.spec.kind == JobKind::Gang && w.tasks > 0) {
        scale_out_for_gang(catalog, want, &any, &mut bins, &mut scale_out, &per_zone);
    }
    for loose in [false, true] {
        keep_ready(catalog, wants, market, loose, &any, &mut bins, &mut scale_out, &per_zone);
    }
    let others = |w: &PendingWork<'_>| !w.brief && w.spec.kind != JobKind::Gang;
    for (want, queue_s) in wants.iter().zip(&queues).filter(|(w, _)| others(w)) {
        // What waits for a short time only is not worth an ordinary machine.
        let patient = want.spec.priority >= Priority::Normal && *queue_s < PATIENT_S;
        let offers: &dyn Fn(&MachineOffer) -> bool = if patient { &spot_only } else { &any };
        scale_out_for(catalog, want, offers, &mut bins, &mut scale_out, &per_zone);
    }
    // What is free or brief work already has counts for the cores kept ready for it.
    let in_use: f64 = wants
        .iter()
        .filter(|w| w.brief && w.spec.kind != JobKind::Gang)
        .map(|w| Resources::of(w.spec).cores.amount() * f64::from(w.running))
        .sum();
    let models = wants.iter().filter(|w| w.brief && w.spec.kind != JobKind::Gang);
    if let Some(model) = models.max_by_key(|w| w.tasks + w.running) {
        let each = Resources::of(model.spec).cores.amount();
        let tasks = |spot| {
            let lacking = (market.load.ready_cores(spot) - in_use).max(0.0);
            if each > 0.0 { (lacking / each).round() as u32 } else { 0 }
        };
        let (on_spot, on_any) = (tasks(true), tasks(false));
        let ready = |tasks| PendingWork { tasks, ..model.clone() };
        let left = scale_out_for(
            catalog,
            &ready(on_spot),
            &spot_only,
            &mut bins,
            &mut scale_out,
            &per_zone,
        );
        let more = left.saturating_sub(on_spot - on_any);
        scale_out_for(catalog, &ready(more), &any, &mut bins, &mut scale_out, &per_zone);
    }
    let mut scale_in =
        if scale_out.is_empty() { scale_in(catalog, held, market, in_use) } else { vec![] };
    let long = wants.iter().zip(&queues).filter(|(w, _)| others(w) && w.tasks > 0);
    let waiting = long.map(|(_, q)| *q).fold(0.0, f64::max) > PATIENT_S / 3.0;
    let mut spare = false;
    if scale_out.is_empty() && !waiting {
        let lacking = |spot| (market.load.ready_cores(spot) - in_use).max(0.0);
        let long = |machine_type: &str| {
            let fits = |w: &&PendingWork<'_>| {
                let offered = catalog.get(machine_type).map(Resources::offered);
                !w.brief && offered.is_some_and(|o| Resources::of(w.spec).fits(&o))
            };
            if wants.iter().any(|w| fits(&w)) { market.load.long_running_mean() } else { 0.0 }
        };
        let since = market.spare_since.map_or(0, |at| now.since(at));
        let ordinary = consolidate(catalog, held, false, lacking(false), &long);
        let cheap = consolidate(catalog, held, true, lacking(true), &long);
        spare = !ordinary.is_empty() || !cheap.is_empty();
        if scale_in.is_empty() && since >= SPARE_MS && !ordinary.is_empty() {
            scale_in = ordinary;
        } else if scale_in.is_empty() && since >= SPARE_SPOT_MS {
            scale_in = cheap;
        }
    }
    ScalingDecision { scale_in, spare, scale_out: scale_out.into_iter().collect() }
}

/// What is free on a machine, or on one that is to be rented.
#[derive(Clone)]
struct Bin {
    offer: MachineOffer,
    free: Resources,
    reserved: bool,
}

impl Bin {
    fn takes(&self, spec: &JobSpec) -> bool {
        allowed(spec, &self.offer.machine_type, &self.offer.zone, self.offer.spot)
            && !(self.reserved && spec.allows_spot && spec.kind != JobKind::Gang)
    }
}

/// Room for a gang that waits: where most of it fits already, all in one zone if it wants that.
fn scale_out_for_gang(
    catalog: &MachineCatalog,
    want: &PendingWork<'_>,
    to_be_had: &dyn Fn(&MachineOffer) -> bool,
    bins: &mut Vec<Bin>,
    scale_out: &mut BTreeMap<MachineOffer, u32>,
    per_zone: &dyn Fn(&str) -> usize,
) {
    if !want.spec.one_zone {
        scale_out_for(catalog, want, to_be_had, bins, scale_out, per_zone);
        return;
    }
    let need = Resources::of(want.spec);
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for zone in catalog.values().flat_map(|f| &f.zones) {
        zones.entry(zone).or_default();
    }
    for bin in bins.iter().filter(|b| b.takes(want.spec)) {
        if let Some(n) = zones.get_mut(bin.offer.zone.as_str()) {
            *n += slots(&need, &bin.free);
        }
    }
    let mut order: Vec<(&str, u32)> = zones.into_iter().collect();
    order.sort_by_key(|(z, n)| (std::cmp::Reverse((*n).min(want.tasks)), per_zone(z)));
    for (zone, _) in order {
        // What is in other zones does not help, and is left for others.
        let (mut inside, outside): (Vec<Bin>, Vec<Bin>) =
            bins.iter().cloned().partition(|b| b.offer.zone == zone);
        let mut rented = scale_out.clone();
        let here = |o: &MachineOffer| o.zone == zone && to_be_had(o);
        let left = scale_out_for(catalog, want, &here, &mut inside, &mut rented, per_zone);
        if left == 0 {
            inside.extend(outside);
            (*bins, *scale_out) = (inside, rented);
            return;
        }
    }
}

/// Cores for gangs, to be there when they come: for those that may use spot machines, or may not.
#[allow(clippy::too_many_arguments)]
fn keep_ready(
    catalog: &MachineCatalog,
    wants: &[PendingWork<'_>],
    market: &MarketState,
    loose: bool,
    to_be_had: &dyn Fn(&MachineOffer) -> bool,
    bins: &mut Vec<Bin>,
    scale_out: &mut BTreeMap<MachineOffer, u32>,
    per_zone: &dyn Fn(&str) -> usize,
) {
    let gangs =
        || wants.iter().filter(|w| w.spec.kind == JobKind::Gang && w.spec.allows_spot == loose);
    let cores = |w: &PendingWork<'_>| Resources::of(w.spec).cores.amount();
    let in_use: f64 = gangs().map(|w| cores(w) * f64::from(w.running)).sum();
    let Some(model) = gangs().max_by_key(|w| w.tasks + w.running) else { return };
    let zones = &market.gang_zones;
    let tasks = (market.load.gang_headroom(loose, in_use) / cores(model).max(0.001)).ceil() as u32;
    let parts = zones.len().max(1) as u32;
    let mut left = 0;
    for k in 0..parts {
        let zone = zones.get(k as usize);
        let near = |o: &MachineOffer| zone.is_none_or(|z| *z == o.zone) && to_be_had(o);
        let here =
            PendingWork { tasks: tasks / parts + u32::from(k < tasks % parts), ..model.clone() };
        let (mut inside, outside): (Vec<Bin>, Vec<Bin>) =
            bins.iter().cloned().partition(|b| zone.is_none_or(|z| *z == b.offer.zone));
        left += scale_out_for(catalog, &here, &near, &mut inside, scale_out, per_zone);
        inside.extend(outside);
        *bins = inside;
    }
    if left > 0 {
        scale_out_for(
            catalog,
            &PendingWork { tasks: left, ..model.clone() },
            to_be_had,
            bins,
            scale_out,
            per_zone,
        );
    }
}

/// For each want, the seconds for which the machines that can take it are busy with all that
/// waits now.
fn queues(catalog: &MachineCatalog, held: &[MachineUsage], wants: &[PendingWork<'_>]) -> Vec<f64> {
    let cores = |w: &PendingWork<'_>| Resources::of(w.spec).cores.amount();
    let work: f64 = wants.iter().map(|w| f64::from(w.tasks) * cores(w) * w.run_s).sum();
    let mut of_type: BTreeMap<&str, f64> = BTreeMap::new();
    for h in held.iter().filter(|h| !h.leaving) {
        let offered = catalog.get(&h.offer.machine_type).map_or(0.0, |f| f.vcpus);
        *of_type.entry(h.offer.machine_type.as_str()).or_default() += offered;
    }
    let takes = |w: &PendingWork<'_>, machine_type: &str| {
        let offered = catalog.get(machine_type).map(Resources::offered);
        offered.is_some_and(|o| Resources::of(w.spec).fits(&o))
    };
    wants
        .iter()
        .map(|w| {
            let all: f64 = of_type.iter().filter(|(h, _)| takes(w, h)).map(|(_, c)| c).sum();
            if all > 0.0 { work / all } else { f64::INFINITY }
        })
        .collect()
}

/// Fills what is free with the wanted tasks and rents for the rest; says how many are left.
fn scale_out_for(
    catalog: &MachineCatalog,
    want: &PendingWork<'_>,
    to_be_had: &dyn Fn(&MachineOffer) -> bool,
    bins: &mut Vec<Bin>,
    scale_out: &mut BTreeMap<MachineOffer, u32>,
    per_zone: &dyn Fn(&str) -> usize,
) -> u32 {
    let need = Resources::of(want.spec);
    let mut left = want.tasks;
    for bin in bins.iter_mut().filter(|b| b.takes(want.spec)) {
        while left > 0 && need.fits(&bin.free) {
            need.take_from(&mut bin.free);
            left -= 1;
        }
    }
    while left > 0 {
        let open =
            |o: &MachineOffer| to_be_had(o) && allowed(want.spec, &o.machine_type, &o.zone, o.spot);
        let Some((offer, offered)) = cheapest(catalog, &need, left, &open, scale_out, per_zone)
        else {
            return left;
        };
        let fit = slots(&need, &offered).clamp(1, left);
        let mut free = offered;
        for _ in 0..fit {
            need.take_from(&mut free);
        }
        left -= fit;
        bins.push(Bin { offer: offer.clone(), free, reserved: false });
        *scale_out.entry(offer).or_default() += 1;
    }
    left
}

/// The offer with the lowest price per task that it would hold of those that are left; among
/// equals the zone with fewer machines.
fn cheapest(
    catalog: &MachineCatalog,
    need: &Resources,
    left: u32,
    open: &dyn Fn(&MachineOffer) -> bool,
    scale_out: &BTreeMap<MachineOffer, u32>,
    per_zone: &dyn Fn(&str) -> usize,
) -> Option<(MachineOffer, Resources)> {
    let mut best: Option<(f64, usize, MachineOffer, Resources)> = None;
    for f in catalog.values() {
        let offered = Resources::offered(f);
        let fit = slots(need, &offered);
        if fit == 0 {
            continue;
        }
        for (zone, spot) in f.zones.iter().flat_map(|z| [(z, true), (z, false)]) {
            let offer = MachineOffer { machine_type: f.name.clone(), zone: zone.clone(), spot };
            if !open(&offer) {
                continue;
            }
            let price = if spot { f.spot_hourly_price * SPOT_RISK } else { f.hourly_price };
            let per_task = price / f64::from(fit.min(left.max(1)));
            let crowd = per_zone(zone) + scale_out.get(&offer).copied().unwrap_or(0) as usize;
            let better = best.as_ref().is_none_or(|(p, c, o, _)| {
                per_task < p * 0.999 || (per_task < p * 1.001 && (crowd, &offer) < (*c, o))
            });
            if better {
                best = Some((per_task, crowd, offer, offered));
            }
        }
    }
    best.map(|(_, _, offer, offered)| (offer, offered))
}

/// Machines, spot or ordinary, whose work others of their type would hold as well, least used
/// first and a few at a time: they take nothing new, and go when they are empty. What long work
/// used lately is counted as if it still did.
fn consolidate(
    catalog: &MachineCatalog,
    held: &[MachineUsage],
    spot: bool,
    lacking: f64,
    long: &dyn Fn(&str) -> f64,
) -> Vec<MachineId> {
    let up = || held.iter().filter(|h| !h.leaving && !h.booting);
    let cores = |h: &MachineUsage| catalog.get(&h.offer.machine_type).map_or(0.0, |f| f.vcpus);
    let used = |h: &MachineUsage| cores(h) - h.free.cores.amount();
    // In a small fleet one job is much of the load, and what is spare now is wanted again soon.
    let most = up().count() / SHED_PART;
    let mut out = Vec::new();
    for machine_type in catalog.keys() {
        let of_type = || up().filter(|h| h.offer.machine_type == *machine_type);
        let in_use = of_type().map(used).sum::<f64>().max(long(machine_type)) * (1.0 + SPARE_PART);
        let mut spare = of_type().map(cores).sum::<f64>() - in_use - lacking;
        let mut some: Vec<&MachineUsage> = of_type()
            .filter(|h| h.offer.spot == spot && !h.reserved && h.age_s >= LEAST_PAID_S)
            .collect();
        some.sort_by(|a, b| used(a).total_cmp(&used(b)).then_with(|| a.id.cmp(&b.id)));
        for h in some.into_iter().take(most) {
            spare -= cores(h);
            if spare < 0.0 {
                break;
            }
            out.push(h.id.clone());
        }
    }
    out
}

/// Machines that have been idle for long, dearest first, as long as what stays holds the
/// brief work that is to be expected.
fn scale_in(
    catalog: &MachineCatalog,
    held: &[MachineUsage],
    market: &MarketState,
    in_use: f64,
) -> Vec<MachineId> {
    let price = |o: &MachineOffer| {
        catalog.get(&o.machine_type).map_or(0.0, |f| {
            (if o.spot { f.spot_hourly_price } else { f.hourly_price }) / f.vcpus.max(0.001)
        })
    };
    let mut room: f64 =
        in_use + held.iter().filter(|h| !h.leaving).map(|h| h.free.cores.amount()).sum::<f64>();
    let mut idle: Vec<&MachineUsage> = held
        .iter()
        .filter(|h| !h.leaving && !h.booting && !h.reserved && h.age_s >= LEAST_PAID_S)
        .filter(|h| h.idle_s >= if h.offer.spot { IDLE_SPOT_S } else { IDLE_ORDINARY_S })
        .collect();
    idle.sort_by(|a, b| price(&b.offer).total_cmp(&price(&a.offer)).then_with(|| a.id.cmp(&b.id)));
    let mut out = Vec::new();
    for h in idle {
        if room - h.free.cores.amount() < market.load.ready_cores(h.offer.spot) {
            continue;
        }
        room -= h.free.cores.amount();
        out.push(h.id.clone());
    }
    out
}

#[cfg(test)]
mod tests;
