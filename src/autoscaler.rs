//! The autoscaler: which machines to request from the cloud (scale-out) and which to return (scale-in).
//!
//! [`decide`] is a pure function of the rented machines, the pending work and the [`AutoscalerState`], which is kept
//! from epoch to epoch. It packs pending tasks first into the free resources of rented machines, then into machines to
//! be requested, each of the offer with the lowest price per task. The order is: gangs, headroom for future gangs,
//! long-running work, ready capacity for short-running work. Headroom and ready capacity are kept up before work
//! arrives, see [`crate::offered_load`]. Machines are scaled in only when none are scaled out.
//!
//! Decisions do not affect safety: a machine is drained before it is returned, and its tasks count as ended only with
//! the proofs that [`crate::fleet`] collects.

use std::collections::{BTreeMap, HashMap};

use crate::model::{MachineId, MonotonicTime};
use crate::placement::slots;
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{JobKind, JobSpec, Priority};

mod scale_in;
mod scale_out;
mod state;

use scale_in::ScaleInPlanner;
use scale_out::{OfferFilter, ScaleOutPlan};
pub use state::AutoscalerState;

/// Minimum queue time in seconds, see [`queue_times_s`], at which on-demand machines are scaled out for work of normal
/// or lower priority.
const ON_DEMAND_MIN_QUEUE_S: f64 = 12.0;
/// Machines are not consolidated while pending work would keep them busy for longer than this many seconds.
const CONSOLIDATION_MAX_QUEUE_S: f64 = ON_DEMAND_MIN_QUEUE_S / 3.0;
/// Milliseconds for which a surplus must have lasted before on-demand machines are scaled in.
const ON_DEMAND_SURPLUS_MS: u64 = 12_000;
/// Milliseconds for which a surplus must have lasted before spot machines are scaled in. It is longer because spot
/// machines cost little.
const SPOT_SURPLUS_MS: u64 = 25_000;
/// Work is short-running if its run time is below this share of the boot time. By the time a machine requested for such
/// work is up, the work has found room elsewhere or has missed its time limit.
const SHORT_RUNNING_BOOT_SHARE: f64 = 0.8;
/// Boot time in seconds that is assumed for a machine whose type is not in the catalog.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A machine that has been booting for longer than this multiple of its type's boot time may never come up.
const OVERDUE_BOOT_MULTIPLE: f64 = 2.0;

/// A kind of machine that can be requested from the cloud.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineOffer {
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine; otherwise it is an on-demand machine.
    pub spot: bool,
}

/// A rented machine and its usage.
#[derive(Clone, Debug)]
pub struct MachineUsage {
    /// Id of the machine.
    pub id: MachineId,
    /// The offer under which the machine was rented.
    pub offer: MachineOffer,
    /// Whether the machine has not sent a heartbeat yet.
    pub booting: bool,
    /// Seconds since the machine was rented, as far as known.
    pub age_s: f64,
    /// Free resources.
    pub free: Resources,
    /// Seconds since a task last ran on the machine; 0 if one runs now.
    pub idle_s: f64,
    /// Whether the machine is reserved for gangs and for jobs that may not use spot machines.
    pub reserved: bool,
    /// Whether the machine takes no new tasks, for instance because it is being preempted, is draining or sends no
    /// heartbeats.
    pub unavailable: bool,
}

impl MachineUsage {
    /// Returns whether the machine is up and may take new tasks.
    fn in_service(&self) -> bool {
        !self.unavailable && !self.booting
    }
}

/// Tasks of one job that wait for resources.
#[derive(Clone, Debug)]
pub struct PendingWork<'a> {
    /// Specification of the job.
    pub spec: &'a JobSpec,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Number of the job's tasks that run or are granted.
    pub running: u32,
    /// Expected run time of a task, in seconds.
    pub run_s: f64,
    /// Whether the work is short-running, see [`is_short_running`].
    pub short_running: bool,
}

impl PendingWork<'_> {
    fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Returns whether ready capacity is kept for work of this kind: short-running work other than gangs.
    fn needs_ready_capacity(&self) -> bool {
        self.short_running && !self.is_gang()
    }

    /// Returns whether machines are scaled out for the work while it waits: long-running work other than gangs.
    fn is_long_running(&self) -> bool {
        !self.short_running && !self.is_gang()
    }

    fn cores_per_task(&self) -> f64 {
        Resources::of(self.spec).cores.amount()
    }

    /// Returns whether a task fits on an empty machine of a type.
    fn fits_type(&self, catalog: &MachineCatalog, machine_type: &str) -> bool {
        let offered = catalog.get(machine_type).map(Resources::offered);
        offered.is_some_and(|offered| Resources::of(self.spec).fits(&offered))
    }
}

/// Machines of one offer to request from the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedMachines {
    /// The offer to request.
    pub offer: MachineOffer,
    /// Number of machines.
    pub count: u32,
}

/// The machines to scale out and to scale in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Machines to request, at most one entry per offer.
    pub scale_out: Vec<RequestedMachines>,
    /// Machines to drain and return.
    pub scale_in: Vec<MachineId>,
    /// Whether there are surplus machines, which are scaled in once the surplus has lasted long enough.
    pub has_surplus: bool,
}

/// Returns whether work with a run time of `run_s` seconds is short-running in comparison with the shortest boot time
/// among the machine types on which its tasks fit.
pub fn is_short_running(catalog: &MachineCatalog, spec: &JobSpec, run_s: f64) -> bool {
    let need = Resources::of(spec);
    let suitable =
        catalog.values().filter(|machine_type| slots(&need, &Resources::offered(machine_type)) > 0);
    let boot_s = suitable.map(|machine_type| machine_type.boot_s).min_by(f64::total_cmp);
    boot_s.is_some_and(|boot_s| run_s < boot_s * SHORT_RUNNING_BOOT_SHARE)
}

/// Decides which machines to scale out and which to scale in.
pub fn decide(
    now: MonotonicTime,
    catalog: &MachineCatalog,
    machines: &[MachineUsage],
    pending: &[PendingWork<'_>],
    state: &AutoscalerState,
) -> ScalingDecision {
    let queue_times_s = queue_times_s(catalog, machines, pending);
    let short_running_in_use = pending
        .iter()
        .filter(|work| work.needs_ready_capacity())
        .map(|work| work.cores_per_task() * f64::from(work.running))
        .sum();
    let inputs = ScalingInputs {
        now,
        catalog,
        machines,
        pending,
        state,
        queue_times_s,
        short_running_in_use,
    };
    let scale_out = inputs.scale_out();
    if !scale_out.is_empty() {
        return ScalingDecision { scale_out, ..ScalingDecision::default() };
    }
    let (scale_in, has_surplus) = inputs.scale_in();
    ScalingDecision { scale_out, scale_in, has_surplus }
}

/// Inputs of one scaling decision.
struct ScalingInputs<'a> {
    now: MonotonicTime,
    catalog: &'a MachineCatalog,
    machines: &'a [MachineUsage],
    pending: &'a [PendingWork<'a>],
    state: &'a AutoscalerState,
    /// Queue time in seconds of each entry of `pending`.
    queue_times_s: Vec<f64>,
    /// Cores in use by short-running work.
    short_running_in_use: f64,
}

impl ScalingInputs<'_> {
    /// Returns the machines to request.
    fn scale_out(&self) -> Vec<RequestedMachines> {
        // Counted once in advance, as it is read for each machine to be requested.
        let mut machines_per_zone: HashMap<&str, usize> = HashMap::new();
        for machine in self.machines {
            *machines_per_zone.entry(&machine.offer.zone).or_default() += 1;
        }
        let usable = self.machines.iter().filter(|machine| self.has_usable_capacity(machine));
        let mut plan = ScaleOutPlan::new(self.catalog, &machines_per_zone, usable);
        // Gangs go first: all tasks of a gang must fit at once, and other work could take part of the room that they
        // need.
        for work in self.pending.iter().filter(|work| work.is_gang() && work.tasks > 0) {
            plan.add_for_gang(work, self.all_offers());
        }
        for allows_spot in [false, true] {
            plan.add_gang_headroom(self.pending, self.state, allows_spot, self.all_offers());
        }
        self.add_for_long_running(&mut plan);
        self.add_ready_capacity(&mut plan);
        plan.into_requests()
    }

    /// Returns whether tasks can be packed on a machine. A machine that takes much longer than usual to boot is
    /// excluded, as it may never come up.
    fn has_usable_capacity(&self, machine: &MachineUsage) -> bool {
        let machine_type = self.catalog.get(&machine.offer.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        !machine.unavailable && (!machine.booting || machine.age_s < boot_s * OVERDUE_BOOT_MULTIPLE)
    }

    /// Returns a filter that allows spot and on-demand machines in all zones.
    fn all_offers(&self) -> OfferFilter<'_> {
        OfferFilter { state: self.state, now: self.now, spot_only: false, zone: None }
    }

    /// Returns a filter that allows only spot machines, in all zones.
    fn spot_offers(&self) -> OfferFilter<'_> {
        OfferFilter { spot_only: true, ..self.all_offers() }
    }

    /// Adds room for the pending long-running work.
    fn add_for_long_running(&self, plan: &mut ScaleOutPlan<'_>) {
        let queued = self.pending.iter().zip(&self.queue_times_s);
        for (work, queue_s) in queued.filter(|(work, _)| work.is_long_running()) {
            // An on-demand machine costs too much for work that waits for a short time only.
            let spot_only =
                work.spec.priority >= Priority::Normal && *queue_s < ON_DEMAND_MIN_QUEUE_S;
            plan.add(work, if spot_only { self.spot_offers() } else { self.all_offers() });
        }
    }

    /// Adds ready capacity for short-running work, in tasks of the size of the job with the most tasks. At first only
    /// spot machines are requested, until there is room for the ready capacity for spot machines. If the cloud refuses
    /// spot machines, machines of any kind are requested, until there is room for the smaller ready capacity for
    /// machines of any kind.
    fn add_ready_capacity(&self, plan: &mut ScaleOutPlan<'_>) {
        let short_running = self.pending.iter().filter(|work| work.needs_ready_capacity());
        let Some(template) = short_running.max_by_key(|work| work.tasks + work.running) else {
            return;
        };
        let cores_per_task = template.cores_per_task();
        let missing_tasks = |spot_only| match cores_per_task > 0.0 {
            true => (self.missing_ready_cores(spot_only) / cores_per_task).round() as u32,
            false => 0,
        };
        // Ready capacity for spot machines is never the smaller one, so `on_spot - on_any` does not underflow.
        let (on_spot, on_any) = (missing_tasks(true), missing_tasks(false));
        let ready = |tasks| PendingWork { tasks, ..template.clone() };
        let unplaced = plan.add(&ready(on_spot), self.spot_offers());
        let unplaced_on_any = unplaced.saturating_sub(on_spot - on_any);
        plan.add(&ready(unplaced_on_any), self.all_offers());
    }

    /// Returns the cores by which the ready capacity for short-running work, on spot machines or on machines of any
    /// kind, exceeds the cores in use by short-running work.
    fn missing_ready_cores(&self, spot_only: bool) -> f64 {
        (self.state.load.ready_cores(spot_only) - self.short_running_in_use).max(0.0)
    }

    /// Returns the machines to drain, and whether there are surplus machines. Idle machines are drained at once.
    /// Surplus machines, whose work other machines could hold, are drained once the surplus has lasted long enough and
    /// no idle machine is left to drain. On-demand machines are drained before spot machines. No machine counts as
    /// surplus while long-running work has a queue time above [`CONSOLIDATION_MAX_QUEUE_S`].
    fn scale_in(&self) -> (Vec<MachineId>, bool) {
        let planner = ScaleInPlanner { catalog: self.catalog, machines: self.machines };
        let idle = planner.idle_machines(&self.state.load, self.short_running_in_use);
        let queued = self.pending.iter().zip(&self.queue_times_s);
        let waiting = queued.filter(|(work, _)| work.is_long_running() && work.tasks > 0);
        if waiting.map(|(_, queue_s)| *queue_s).fold(0.0, f64::max) > CONSOLIDATION_MAX_QUEUE_S {
            return (idle, false);
        }
        let long_running = |machine_type: &str| self.long_running_mean(machine_type);
        let surplus =
            |spot| planner.surplus_machines(spot, self.missing_ready_cores(spot), &long_running);
        let (on_demand, spot) = (surplus(false), surplus(true));
        let has_surplus = !on_demand.is_empty() || !spot.is_empty();
        let surplus_ms = self.state.surplus_ms(self.now);
        let scale_in = if !idle.is_empty() {
            idle
        } else if surplus_ms >= ON_DEMAND_SURPLUS_MS && !on_demand.is_empty() {
            on_demand
        } else if surplus_ms >= SPOT_SURPLUS_MS {
            spot
        } else {
            idle
        };
        (scale_in, has_surplus)
    }

    /// Returns the recent mean of the cores in use by long-running work, or 0 if no job of such work, pending or
    /// running, fits on the machine type.
    fn long_running_mean(&self, machine_type: &str) -> f64 {
        let fits = |work: &PendingWork<'_>| {
            !work.short_running && work.fits_type(self.catalog, machine_type)
        };
        if self.pending.iter().any(fits) { self.state.load.long_running_mean() } else { 0.0 }
    }
}

/// Returns the queue time of each entry of `pending`: the seconds for which the machines that can run its tasks would
/// be busy with all pending work. It is infinite if no such machine is available.
fn queue_times_s(
    catalog: &MachineCatalog,
    machines: &[MachineUsage],
    pending: &[PendingWork<'_>],
) -> Vec<f64> {
    let core_seconds: f64 =
        pending.iter().map(|work| f64::from(work.tasks) * work.cores_per_task() * work.run_s).sum();
    let mut cores_by_type: BTreeMap<&str, f64> = BTreeMap::new();
    for machine in machines.iter().filter(|machine| !machine.unavailable) {
        let cores =
            catalog.get(&machine.offer.machine_type).map_or(0.0, |machine_type| machine_type.vcpus);
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
