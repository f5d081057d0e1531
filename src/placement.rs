//! Placement: which machine a task goes to. It is pure, and used by the leader to divide grants over shards as
//! well as by the shards themselves.
//!
//! Placement is bin packing under a cost model. All costs are in seconds of waiting: the fetch of the task's
//! image and the machine's delay are waits as such, and what makes a machine less suitable otherwise (cores left
//! over, the higher price of an ordinary machine, images of other jobs, slowness) is priced in the seconds that
//! are worth waiting to avoid it.
//!
//! - [`choose`] finds the cheapest machine for one task.
//! - [`spread`] places many tasks of a job, each on the machine that is cheapest when its turn comes.
//! - [`pack`] places all tasks of a gang at once on as few machines as hold it, among those where all can
//!   begin first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use crate::model::{Cores, MachineId, TaskId};
use crate::replica::Replica;
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{JobKind, JobSpec, MachineType, Priority, TaskState};

mod gangs;

pub use gangs::{GangPlacement, pack, pack_in};

/// Whether a job may use machines of that type, zone and kind at all.
pub fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.machine_types.as_ref().is_none_or(|names| names.iter().any(|name| name == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
        && (!spot || spec.allows_spot)
}

/// The most urgent of some jobs that may use machines of that type, zone and kind. Less urgent work takes
/// places there only after it.
pub fn highest_priority<'a>(
    specs: impl Iterator<Item = &'a JobSpec>,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> Option<Priority> {
    specs.filter(|spec| allowed(spec, machine_type, zone, spot)).map(|spec| spec.priority).min()
}

/// A machine as heartbeats show it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedMachine<'a> {
    /// The machine.
    pub id: &'a MachineId,
    /// Name of its machine type.
    pub machine_type: &'a Rc<str>,
    /// Zone.
    pub zone: &'a Rc<str>,
    /// Spot or ordinary.
    pub spot: bool,
    /// Images that it has, with their sizes in GB.
    pub images: &'a [(Rc<str>, f64)],
    /// Whether it may be given tasks.
    pub open: bool,
}

/// A machine as placement sees it, with the tasks counted in that were placed on it.
#[derive(Clone, Debug)]
pub struct PlacementTarget {
    /// The machine.
    pub id: MachineId,
    /// Name of its machine type.
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Spot or ordinary.
    pub spot: bool,
    /// Free resources; tasks that fetch their image count as running.
    pub free: Resources,
    /// Images that it has or fetches, with their sizes in GB.
    pub images: Vec<(Rc<str>, f64)>,
    /// Images that it fetches.
    pub fetching: Vec<Rc<str>>,
    /// Seconds until a command to start a task can reach it.
    pub delay_s: f64,
    /// Rate of fetches in GB a second.
    pub fetch_rate: f64,
    /// Whether it takes new tasks.
    pub open: bool,
    /// Whether tasks take much longer here than elsewhere.
    pub slow: bool,
    /// Whether it is reserved for gangs and for work that may not use spot machines.
    pub reserved: bool,
}

impl PlacementTarget {
    /// Whether a task of the job may start here now.
    pub fn takes(&self, spec: &JobSpec, need: &Resources, zone: Option<&str>) -> bool {
        !(self.reserved && spec.allows_spot && spec.kind != JobKind::Gang)
            && self.holds(spec, need, zone)
    }

    /// The same, whether it is reserved for others or not.
    pub fn holds(&self, spec: &JobSpec, need: &Resources, zone: Option<&str>) -> bool {
        self.open
            && need.fits(&self.free)
            && zone.is_none_or(|zone| *zone == *self.zone)
            && allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Seconds that a task would wait here for its image.
    fn fetch_s(&self, spec: &JobSpec) -> f64 {
        let rate = if self.fetch_rate > 0.0 { self.fetch_rate } else { 1.0 };
        let alone_s = spec.image_gb / rate;
        if self.fetching.contains(&spec.image) {
            // Half of it is there on average, and the rate is shared with whatever else is fetched.
            alone_s * 0.5 * self.fetching.len() as f64
        } else if self.has_image(&spec.image) {
            0.0
        } else {
            alone_s * (1 + self.fetching.len()) as f64
        }
    }

    /// Whether a task would not wait for its image here.
    pub fn is_warm(&self, spec: &JobSpec) -> bool {
        self.has_image(&spec.image) && !self.fetching.contains(&spec.image)
    }

    fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| **name == *image)
    }

    /// GB of images of other jobs that the machine has.
    fn other_images_gb(&self, spec: &JobSpec) -> f64 {
        self.images.iter().filter(|(name, _)| *name != spec.image).map(|(_, gb)| gb).sum()
    }

    /// Counts a task in.
    pub fn add(&mut self, spec: &JobSpec, need: &Resources) {
        need.take_from(&mut self.free);
        if !self.has_image(&spec.image) {
            self.images.push((spec.image.clone(), spec.image_gb));
            self.fetching.push(spec.image.clone());
        }
    }

    /// The room on a machine that has these tasks, or `None` if the catalog does not have its type. It is
    /// closed to new tasks if a task's needs are not known.
    pub fn of(
        machine: ObservedMachine<'_>,
        tasks: impl Iterator<Item = (TaskId, TaskState)>,
        catalog: &MachineCatalog,
        replica: &Replica,
    ) -> Option<Self> {
        let properties = catalog.get(&**machine.machine_type)?;
        let mut free = Resources::offered(properties);
        let mut all_known = true;
        let mut fetching: Vec<Rc<str>> = Vec::new();
        for (task, state) in tasks {
            // A task of a job that has ended still takes room until it is gone.
            let Some(job) = replica.jobs.get(&task.job) else {
                all_known = false;
                continue;
            };
            Resources::of(&job.spec).take_from(&mut free);
            if state == TaskState::FetchingImage && !fetching.contains(&job.spec.image) {
                fetching.push(job.spec.image.clone());
            }
        }
        Some(PlacementTarget {
            id: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free,
            images: machine.images.to_vec(),
            fetching,
            delay_s: 0.0,
            fetch_rate: properties.fetch_gb_per_s,
            open: machine.open && all_known && replica.is_machine_up(machine.id),
            slow: false,
            reserved: false,
        })
    }
}

/// Tasks of a job that are to be placed.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The job's specification.
    pub spec: &'a JobSpec,
    /// What each task needs.
    pub need: &'a Resources,
    /// The only zone in which they may run, if one is given.
    pub zone: Option<&'a str>,
    /// Number of tasks.
    pub count: usize,
}

impl PlacementRequest<'_> {
    /// Whether one of the tasks may start on a machine now.
    fn fits_on(&self, target: &PlacementTarget) -> bool {
        target.takes(self.spec, self.need, self.zone)
    }
}

/// Seconds that one core left over costs: image fetches of many GB outweigh the fit, and among machines that are
/// alike in that the tightest fit wins.
const LEFTOVER_CORE_S: f64 = 0.05;
/// Cost of an ordinary machine for a task that could use a spot machine, as a share of its run time, so that
/// the dearer ones run empty first.
const ORDINARY_SHARE: f64 = 0.08;
/// Cost of a machine that runs slow, as a share of the task's run time.
const SLOW_SHARE: f64 = 1.5;
/// Seconds that a machine costs per GB of other jobs' images that it has. Jobs gather on machines that have
/// their image, and fetches of large images become rare.
const OTHER_IMAGES_S_PER_GB: f64 = 0.5;
/// The same where the job's own image is, too: a warm machine is mostly worth it.
const OTHER_IMAGES_WARM_S_PER_GB: f64 = 0.1;
/// Most tasks that are counted to fit on one machine; a task that needs nothing fits without end.
const MAX_SLOTS: u64 = 10_000;

/// What it costs to place a task on a machine, in seconds.
fn cost_s(spec: &JobSpec, need: &Resources, target: &PlacementTarget) -> f64 {
    let leftover_cores = target.free.cores.saturating_sub(need.cores).amount();
    let other_images_s_per_gb = match target.has_image(&spec.image) {
        true => OTHER_IMAGES_WARM_S_PER_GB,
        false => OTHER_IMAGES_S_PER_GB,
    };
    target.fetch_s(spec)
        + target.delay_s
        + leftover_cores * LEFTOVER_CORE_S
        + if target.spot { 0.0 } else { spec.estimated_run_s * ORDINARY_SHARE }
        + target.other_images_gb(spec) * other_images_s_per_gb
        + slowness_s(spec, target)
}

/// What a machine's slowness costs a task, in seconds.
fn slowness_s(spec: &JobSpec, target: &PlacementTarget) -> f64 {
    if target.slow { spec.estimated_run_s * SLOW_SHARE } else { 0.0 }
}

/// The index of the cheapest machine for a task, in a zone if one is given; among equals the first by id.
pub fn choose(
    spec: &JobSpec,
    need: &Resources,
    targets: &[PlacementTarget],
    zone: Option<&str>,
) -> Option<usize> {
    targets
        .iter()
        .enumerate()
        .filter(|(_, target)| target.takes(spec, need, zone))
        .map(|(index, target)| (cost_s(spec, need, target), index))
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| targets[a.1].id.cmp(&targets[b.1].id)))
        .map(|(_, index)| index)
}

/// Places tasks of a job, each on the machine that is cheapest when its turn comes, as many of them as fit, and
/// counts them in there. A job's tasks are alike, so every machine is weighed once, and again only when it got
/// a task. Returns the index of each task's machine.
pub fn spread(request: &PlacementRequest<'_>, targets: &mut [PlacementTarget]) -> Vec<usize> {
    let PlacementRequest { spec, need, .. } = *request;
    // Costs are not negative, so their bits sort as they do.
    let cost_bits = |target: &PlacementTarget| cost_s(spec, need, target).max(0.0).to_bits();
    let mut open: BinaryHeap<Reverse<(u64, usize)>> = targets
        .iter()
        .enumerate()
        .filter(|(_, target)| request.fits_on(target))
        .map(|(index, target)| Reverse((cost_bits(target), index)))
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < request.count
        && let Some(Reverse((_, index))) = open.pop()
    {
        targets[index].add(spec, need);
        chosen.push(index);
        if request.fits_on(&targets[index]) {
            open.push(Reverse((cost_bits(&targets[index]), index)));
        }
    }
    chosen
}

/// How many tasks fit into what is offered or free.
pub fn slots(need: &Resources, offered: &Resources) -> u32 {
    let fitting = |need: Cores, offered: Cores| offered.0.checked_div(need.0).unwrap_or(u64::MAX);
    fitting(need.cores, offered.cores)
        .min(fitting(need.memory, offered.memory))
        .min(fitting(need.accelerators, offered.accelerators))
        .min(MAX_SLOTS) as u32
}

/// Whether some machine type could ever hold a task of the job.
pub fn can_ever_run(spec: &JobSpec, catalog: &MachineCatalog) -> bool {
    suitable_types(spec, catalog).next().is_some()
}

/// Machine types that could hold a task of the job, where it may run.
fn suitable_types<'a>(
    spec: &'a JobSpec,
    catalog: &'a MachineCatalog,
) -> impl Iterator<Item = &'a MachineType> {
    let need = Resources::of(spec);
    catalog.values().filter(move |machine_type| {
        need.fits(&Resources::offered(machine_type))
            && spec.machine_types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
            && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
    })
}

/// Whether all tasks of the job could ever run at once, as far as zones show: a gang and a service
/// need that. At most half of the tasks, rounded up, may be in one zone under `Scatter`, so two tasks
/// need two zones, and they can't all be in one as `OneZone` wants.
pub fn zones_allow_all(spec: &JobSpec, catalog: &MachineCatalog) -> bool {
    if !spec.spread_zones || spec.task_count < 2 || spec.kind == JobKind::Array {
        return true;
    }
    let mut zones: Vec<&String> = suitable_types(spec, catalog)
        .flat_map(|machine_type| &machine_type.zones)
        .filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone))
        .collect();
    zones.sort();
    zones.dedup();
    !spec.one_zone && zones.len() >= 2
}

#[cfg(test)]
pub(crate) mod tests;
