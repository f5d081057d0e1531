//! The autoscaler: which machines to scale out and which to scale in.
//!
//! [`decide`] is a pure function of the machines that are held, the work that is pending and what
//! [`MarketState`] remembers from epoch to epoch. Its steps are bin packing: pending tasks are packed
//! first into free room, then into machines that are to be scaled out, each of the type with the lowest price
//! per task. Gangs come first, then headroom for the next gangs, then long-running work, then ready
//! capacity for short-running work. Machines are scaled in only when nothing is scaled out.
//!
//! Nothing here affects safety: a machine that is scaled in is drained first, and what ran on it ends only
//! with the proofs that `fleet` collects.

use std::collections::{BTreeMap, HashMap};

use crate::model::{MachineId, MonotonicTime};
use crate::placement::slots;
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{JobKind, JobSpec, Priority};

mod market;
mod scale_in;
mod scale_out;

pub use market::MarketState;
use scale_in::ScaleInPlanner;
use scale_out::{OfferFilter, ScaleOutPlan};

/// Seconds that work without urgency waits in the queue before ordinary machines are scaled out.
const PATIENT_S: f64 = 12.0;
/// Machines are not consolidated while pending work would keep them busy for longer than that.
const CONSOLIDATION_QUEUE_S: f64 = PATIENT_S / 3.0;
/// Milliseconds for which ordinary machines must have been surplus before some are scaled in, and spot
/// machines, which cost little.
const SURPLUS_MS: u64 = 12_000;
const SURPLUS_SPOT_MS: u64 = 25_000;
/// Work that runs shorter than this share of a boot time is short-running: by the time a machine scaled out
/// for it is up, it has found room or missed its time.
const SHORT_RUNNING_BOOT_SHARE: f64 = 0.8;
/// Boot time in seconds of a machine whose type the catalog does not have.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A machine that boots for longer than this multiple of the usual time may never come up.
const OVERDUE_BOOT_MULTIPLE: f64 = 2.0;

/// A kind of machine that the cloud offers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineOffer {
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// A machine that is held, and how it is used.
#[derive(Clone, Debug)]
pub struct MachineUsage {
    /// The machine.
    pub id: MachineId,
    /// The offer that it is of.
    pub offer: MachineOffer,
    /// Whether it has not sent a heartbeat yet.
    pub booting: bool,
    /// Seconds since it was scaled out, as far as known.
    pub age_s: f64,
    /// Free resources.
    pub free: Resources,
    /// Seconds since something ran on it; 0 if something does.
    pub idle_s: f64,
    /// Whether it is reserved for gangs.
    pub reserved: bool,
    /// Whether it takes nothing new as it is preempted, drained or silent.
    pub leaving: bool,
}

impl MachineUsage {
    /// Whether it is up and may take tasks.
    fn in_service(&self) -> bool {
        !self.leaving && !self.booting
    }
}

/// A job's tasks that wait for resources.
#[derive(Clone, Debug)]
pub struct PendingWork<'a> {
    /// Their job.
    pub spec: &'a JobSpec,
    /// Number of tasks that wait.
    pub tasks: u32,
    /// Number of the job's tasks that run or are about to.
    pub running: u32,
    /// Expected run time of a task, in seconds.
    pub run_s: f64,
    /// Whether a task runs shorter than it takes to boot a machine for it.
    pub short_running: bool,
}

impl PendingWork<'_> {
    fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether ready capacity serves it.
    fn needs_ready_capacity(&self) -> bool {
        self.short_running && !self.is_gang()
    }

    /// Whether machines are scaled out for it when it waits.
    fn is_long_running(&self) -> bool {
        !self.short_running && !self.is_gang()
    }

    fn cores_per_task(&self) -> f64 {
        Resources::of(self.spec).cores.amount()
    }

    /// Whether a task fits on an empty machine of that type.
    fn fits_type(&self, catalog: &MachineCatalog, machine_type: &str) -> bool {
        let offered = catalog.get(machine_type).map(Resources::offered);
        offered.is_some_and(|offered| Resources::of(self.spec).fits(&offered))
    }
}

/// Machines of one offer that are to be scaled out.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedMachines {
    /// The offer.
    pub offer: MachineOffer,
    /// Number of machines.
    pub count: u32,
}

/// What is to be scaled out and scaled in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Machines to scale out; each offer comes once.
    pub scale_out: Vec<RequestedMachines>,
    /// Machines to drain and return.
    pub scale_in: Vec<MachineId>,
    /// Whether some machines are surplus; they are scaled in if that lasts.
    pub has_surplus: bool,
}

/// Whether work is short-running in comparison with the boot time of the machines that it fits on.
pub fn is_short_running(catalog: &MachineCatalog, spec: &JobSpec, run_s: f64) -> bool {
    let need = Resources::of(spec);
    let suitable = catalog.values().filter(|t| slots(&need, &Resources::offered(t)) > 0);
    let boot_s = suitable.map(|t| t.boot_s).min_by(f64::total_cmp);
    boot_s.is_some_and(|boot_s| run_s < boot_s * SHORT_RUNNING_BOOT_SHARE)
}

/// Decides what to scale out and what to scale in.
pub fn decide(
    now: MonotonicTime,
    catalog: &MachineCatalog,
    machines: &[MachineUsage],
    pending: &[PendingWork<'_>],
    market: &MarketState,
) -> ScalingDecision {
    let queues_s = queue_times(catalog, machines, pending);
    let short_running_in_use = pending
        .iter()
        .filter(|work| work.needs_ready_capacity())
        .map(|work| work.cores_per_task() * f64::from(work.running))
        .sum();
    let inputs = Inputs { now, catalog, machines, pending, market, queues_s, short_running_in_use };
    let scale_out = inputs.scale_out();
    if !scale_out.is_empty() {
        return ScalingDecision { scale_out, ..ScalingDecision::default() };
    }
    let (scale_in, has_surplus) = inputs.scale_in();
    ScalingDecision { scale_out, scale_in, has_surplus }
}

/// What one decision is made of.
struct Inputs<'a> {
    now: MonotonicTime,
    catalog: &'a MachineCatalog,
    machines: &'a [MachineUsage],
    pending: &'a [PendingWork<'a>],
    market: &'a MarketState,
    /// Seconds of queue before each entry of `pending`.
    queues_s: Vec<f64>,
    /// Cores that short-running work uses now.
    short_running_in_use: f64,
}

impl Inputs<'_> {
    /// Machines to scale out.
    fn scale_out(&self) -> Vec<RequestedMachines> {
        // Counted once: each machine that is to be scaled out asks for it.
        let mut machines_per_zone: HashMap<&str, usize> = HashMap::new();
        for machine in self.machines {
            *machines_per_zone.entry(&machine.offer.zone).or_default() += 1;
        }
        let usable = self.machines.iter().filter(|machine| self.counts_as_room(machine));
        let mut plan = ScaleOutPlan::new(self.catalog, &machines_per_zone, usable);
        // Gangs first: what they need is whole, and nothing else fits where it has to be.
        for work in self.pending.iter().filter(|work| work.is_gang() && work.tasks > 0) {
            plan.add_for_gang(work, self.any_offer());
        }
        for allows_spot in [false, true] {
            plan.add_gang_headroom(self.pending, self.market, allows_spot, self.any_offer());
        }
        self.add_for_long_running(&mut plan);
        self.add_ready_capacity(&mut plan);
        plan.into_requests()
    }

    /// Whether tasks can be packed on a machine. One that takes much longer than usual to boot may
    /// never come.
    fn counts_as_room(&self, machine: &MachineUsage) -> bool {
        let machine_type = self.catalog.get(&machine.offer.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |t| t.boot_s);
        !machine.leaving && (!machine.booting || machine.age_s < boot_s * OVERDUE_BOOT_MULTIPLE)
    }

    fn any_offer(&self) -> OfferFilter<'_> {
        OfferFilter { market: self.market, now: self.now, spot_only: false, zone: None }
    }

    fn spot_offers(&self) -> OfferFilter<'_> {
        OfferFilter { spot_only: true, ..self.any_offer() }
    }

    fn add_for_long_running(&self, plan: &mut ScaleOutPlan<'_>) {
        let queued = self.pending.iter().zip(&self.queues_s);
        for (work, queue_s) in queued.filter(|(work, _)| work.is_long_running()) {
            // What waits for a short time only is not worth an ordinary machine.
            let patient = work.spec.priority >= Priority::Normal && *queue_s < PATIENT_S;
            plan.add(work, if patient { self.spot_offers() } else { self.any_offer() });
        }
    }

    /// Adds ready capacity for short-running work, in tasks like those of the job that has most of them:
    /// up to the amount for spot machines on those, and up to the smaller amount on any.
    fn add_ready_capacity(&self, plan: &mut ScaleOutPlan<'_>) {
        let short_running = self.pending.iter().filter(|work| work.needs_ready_capacity());
        let Some(model) = short_running.max_by_key(|work| work.tasks + work.running) else {
            return;
        };
        let cores_per_task = model.cores_per_task();
        let missing_tasks = |spot| match cores_per_task > 0.0 {
            true => (self.missing_ready_cores(spot) / cores_per_task).round() as u32,
            false => 0,
        };
        let (on_spot, on_any) = (missing_tasks(true), missing_tasks(false));
        let ready = |tasks| PendingWork { tasks, ..model.clone() };
        let unplaced = plan.add(&ready(on_spot), self.spot_offers());
        let on_ordinary = unplaced.saturating_sub(on_spot - on_any);
        plan.add(&ready(on_ordinary), self.any_offer());
    }

    /// Cores of ready capacity for short-running work, on spot machines or on any, beyond what such
    /// work uses already.
    fn missing_ready_cores(&self, spot: bool) -> f64 {
        (self.market.load.ready_cores(spot) - self.short_running_in_use).max(0.0)
    }

    /// Machines to drain, and whether some are surplus. Idle machines go at once; those whose work others
    /// could hold go when that has lasted, ordinary ones before spot machines.
    fn scale_in(&self) -> (Vec<MachineId>, bool) {
        let planner = ScaleInPlanner { catalog: self.catalog, machines: self.machines };
        let idle = planner.idle(&self.market.load, self.short_running_in_use);
        let queued = self.pending.iter().zip(&self.queues_s);
        let waiting = queued.filter(|(work, _)| work.is_long_running() && work.tasks > 0);
        if waiting.map(|(_, queue_s)| *queue_s).fold(0.0, f64::max) > CONSOLIDATION_QUEUE_S {
            return (idle, false);
        }
        let long_running = |machine_type: &str| self.long_running_mean(machine_type);
        let surplus =
            |spot| planner.consolidate(spot, self.missing_ready_cores(spot), &long_running);
        let (ordinary, spot) = (surplus(false), surplus(true));
        let has_surplus = !ordinary.is_empty() || !spot.is_empty();
        let surplus_ms = self.market.surplus_ms(self.now);
        let scale_in = if !idle.is_empty() {
            idle
        } else if surplus_ms >= SURPLUS_MS && !ordinary.is_empty() {
            ordinary
        } else if surplus_ms >= SURPLUS_SPOT_MS {
            spot
        } else {
            idle
        };
        (scale_in, has_surplus)
    }

    /// Cores that long-running work used lately, if some that is pending or runs fits on that type.
    fn long_running_mean(&self, machine_type: &str) -> f64 {
        let fits = |work: &PendingWork<'_>| {
            !work.short_running && work.fits_type(self.catalog, machine_type)
        };
        if self.pending.iter().any(fits) { self.market.load.long_running_mean() } else { 0.0 }
    }
}

/// For each entry of `pending`, the seconds for which the machines that can take it are busy with all
/// that is pending now.
fn queue_times(
    catalog: &MachineCatalog,
    machines: &[MachineUsage],
    pending: &[PendingWork<'_>],
) -> Vec<f64> {
    let core_seconds: f64 =
        pending.iter().map(|work| f64::from(work.tasks) * work.cores_per_task() * work.run_s).sum();
    let mut cores_by_type: BTreeMap<&str, f64> = BTreeMap::new();
    for machine in machines.iter().filter(|machine| !machine.leaving) {
        let cores = catalog.get(&machine.offer.machine_type).map_or(0.0, |t| t.vcpus);
        *cores_by_type.entry(machine.offer.machine_type.as_str()).or_default() += cores;
    }
    let queue_time = |work: &PendingWork<'_>| {
        let suitable = cores_by_type.iter().filter(|(name, _)| work.fits_type(catalog, name));
        let cores: f64 = suitable.map(|(_, cores)| cores).sum();
        if cores > 0.0 { core_seconds / cores } else { f64::INFINITY }
    };
    pending.iter().map(queue_time).collect()
}

#[cfg(test)]
mod tests;
