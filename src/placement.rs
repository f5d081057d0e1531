//! Placement: which machine a task runs on. The leader uses it to divide grants among shards, and the shards use it
//! to assign granted tasks to their machines. All functions are pure but for the free resources of the machines
//! that are passed to them.
//!
//! Placement is bin packing under a cost model. All costs are in seconds of waiting. The fetch of the task's image and
//! the delay of the start command are actual waits. Other drawbacks of a machine (cores left over, the higher price
//! of an on-demand machine, images of other jobs, slow execution) are priced at the number of seconds that a task may
//! wait to avoid them.
//!
//! - [`choose_target`] returns the machine with the lowest cost for one task.
//! - [`place_tasks`] places many tasks of a job, each on the machine with the lowest cost after the tasks before it.
//! - [`pack_gang`] chooses machines for all tasks of a gang: as few as possible among the machines that let the last
//!   task of the gang start earliest. [`place_gang`] also allocates their resources.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use crate::model::{Cores, MachineId, TaskId};
use crate::replica::Replica;
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{JobKind, JobSpec, MachineType, Priority, TaskState};

mod gangs;

pub use gangs::{GangPlacement, pack_gang, place_gang};

/// Returns whether a job may use spot or on-demand machines of a type in a zone.
pub fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.machine_types.as_ref().is_none_or(|names| names.iter().any(|name| name == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
        && (!spot || spec.allows_spot)
}

/// Returns the highest priority among the jobs that may use spot or on-demand machines of a type in a zone. Work of
/// lower priority is placed on these machines only after the jobs of this priority.
pub fn highest_priority<'a>(
    specs: impl Iterator<Item = &'a JobSpec>,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> Option<Priority> {
    specs.filter(|spec| allowed(spec, machine_type, zone, spot)).map(|spec| spec.priority).min()
}

/// A machine as its heartbeats report it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedMachine<'a> {
    /// Id of the machine.
    pub id: &'a MachineId,
    /// Name of its machine type.
    pub machine_type: &'a Rc<str>,
    /// Zone of the machine.
    pub zone: &'a Rc<str>,
    /// Whether it is a spot machine; otherwise it is an on-demand machine.
    pub spot: bool,
    /// Images in the machine's cache, with their sizes in GB.
    pub images: &'a [(Rc<str>, f64)],
    /// Whether new tasks may be placed on the machine.
    pub schedulable: bool,
}

/// A machine as a target of placement. Its state includes the tasks that were placed on it with [`Self::add`].
#[derive(Clone, Debug)]
pub struct PlacementTarget {
    /// Id of the machine.
    pub id: MachineId,
    /// Name of its machine type.
    pub machine_type: Rc<str>,
    /// Zone of the machine.
    pub zone: Rc<str>,
    /// Whether it is a spot machine; otherwise it is an on-demand machine.
    pub spot: bool,
    /// Free resources. Tasks that still fetch their image have theirs allocated.
    pub free: Resources,
    /// Images that are in the machine's cache or being fetched, with their sizes in GB.
    pub images: Vec<(Rc<str>, f64)>,
    /// Images that are being fetched.
    pub fetching: Vec<Rc<str>>,
    /// Seconds until a command to start a task can reach the machine.
    pub command_delay_s: f64,
    /// Rate of all image fetches together, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Whether new tasks may be placed on the machine.
    pub schedulable: bool,
    /// Whether tasks run much longer on this machine than on others.
    pub slow: bool,
    /// Whether the machine is reserved for gangs and for jobs that may not use spot machines.
    pub reserved: bool,
}

impl PlacementTarget {
    /// Returns whether a task of the job may start on the machine now, in `zone` if one is given.
    pub fn accepts(&self, spec: &JobSpec, need: &Resources, zone: Option<&str>) -> bool {
        !(self.reserved && spec.allows_spot && spec.kind != JobKind::Gang)
            && self.accepts_ignoring_reservation(spec, need, zone)
    }

    /// Like [`Self::accepts`], but disregards whether the machine is reserved.
    pub fn accepts_ignoring_reservation(
        &self,
        spec: &JobSpec,
        need: &Resources,
        zone: Option<&str>,
    ) -> bool {
        self.schedulable
            && need.fits(&self.free)
            && zone.is_none_or(|zone| *zone == *self.zone)
            && allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Returns the expected seconds that a task would wait for its image on the machine.
    fn fetch_s(&self, spec: &JobSpec) -> f64 {
        let rate = if self.fetch_gb_per_s > 0.0 { self.fetch_gb_per_s } else { 1.0 };
        let exclusive_fetch_s = spec.image_gb / rate;
        if self.fetching.contains(&spec.image) {
            // On average half of the image has been fetched already. All fetches share the rate.
            exclusive_fetch_s * 0.5 * self.fetching.len() as f64
        } else if self.has_image(&spec.image) {
            0.0
        } else {
            exclusive_fetch_s * (1 + self.fetching.len()) as f64
        }
    }

    /// Returns whether the job's image is in the machine's cache, so that a task would not wait for it.
    pub fn is_warm(&self, spec: &JobSpec) -> bool {
        self.has_image(&spec.image) && !self.fetching.contains(&spec.image)
    }

    /// Returns whether an image is in the machine's cache or being fetched.
    fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| **name == *image)
    }

    /// Returns the total size, in GB, of the images other than the job's.
    fn other_images_gb(&self, spec: &JobSpec) -> f64 {
        self.images.iter().filter(|(name, _)| *name != spec.image).map(|(_, gb)| gb).sum()
    }

    /// Adds a task: allocates its resources, and records the fetch of its image unless the machine has the image.
    pub fn add(&mut self, spec: &JobSpec, need: &Resources) {
        need.take_from(&mut self.free);
        if !self.has_image(&spec.image) {
            self.images.push((spec.image.clone(), spec.image_gb));
            self.fetching.push(spec.image.clone());
        }
    }

    /// Creates the target for a machine that holds the given tasks, or returns `None` if the machine's type is not in
    /// the catalog. The target is not schedulable if the needs of one of the tasks are unknown, or if the replica does
    /// not record the machine as up.
    pub fn of(
        machine: ObservedMachine<'_>,
        tasks: impl Iterator<Item = (TaskId, TaskState)>,
        catalog: &MachineCatalog,
        replica: &Replica,
    ) -> Option<Self> {
        let properties = catalog.get(&**machine.machine_type)?;
        let mut free = Resources::offered(properties);
        let mut all_needs_known = true;
        let mut fetching: Vec<Rc<str>> = Vec::new();
        for (task, state) in tasks {
            // A job without a record has ended. Its task uses an unknown amount of resources until the task has left
            // the machine.
            let Some(job) = replica.jobs.get(&task.job) else {
                all_needs_known = false;
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
            command_delay_s: 0.0,
            fetch_gb_per_s: properties.fetch_gb_per_s,
            schedulable: machine.schedulable
                && all_needs_known
                && replica.is_machine_up(machine.id),
            slow: false,
            reserved: false,
        })
    }
}

/// Tasks of one job to place.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The job's specification.
    pub spec: &'a JobSpec,
    /// Resources that each task needs.
    pub need: &'a Resources,
    /// The only zone in which the tasks may be placed, or `None` for any zone.
    pub zone: Option<&'a str>,
    /// Number of tasks.
    pub count: usize,
}

impl PlacementRequest<'_> {
    /// Returns whether one of the tasks may start on a machine now.
    fn fits_on(&self, target: &PlacementTarget) -> bool {
        target.accepts(self.spec, self.need, self.zone)
    }
}

/// Cost in seconds of each core that a placement leaves free on the machine. It is low, so that fetches of large
/// images outweigh it and the tightest fit wins among machines with equal fetches.
const LEFTOVER_CORE_COST_S: f64 = 0.05;
/// Cost of an on-demand machine, as a share of the task's estimated run time. It makes on-demand machines, which are
/// more expensive, run empty before spot machines. It does not affect tasks that may not use spot machines, since all
/// machines open to them have this cost.
const ON_DEMAND_COST_SHARE: f64 = 0.08;
/// Cost of a machine on which tasks run slowly, as a share of the task's estimated run time.
const SLOW_COST_SHARE: f64 = 1.5;
/// Cost in seconds per GB of other jobs' images on the machine. It concentrates each job on machines that have its
/// image, which makes fetches of large images rare.
const OTHER_IMAGES_COST_S_PER_GB: f64 = 0.5;
/// Like [`OTHER_IMAGES_COST_S_PER_GB`], for a machine that also has the job's own image. It is lower because avoiding
/// the fetch is usually worth more.
const OTHER_IMAGES_WARM_COST_S_PER_GB: f64 = 0.1;
/// Maximum number of tasks that count as fitting on one machine. It bounds tasks that need no resources.
const MAX_SLOTS: u64 = 10_000;

/// Returns the cost in seconds of placing a task on a machine.
fn cost_s(spec: &JobSpec, need: &Resources, target: &PlacementTarget) -> f64 {
    let leftover_cores = target.free.cores.saturating_sub(need.cores).amount();
    let other_images_s_per_gb = match target.has_image(&spec.image) {
        true => OTHER_IMAGES_WARM_COST_S_PER_GB,
        false => OTHER_IMAGES_COST_S_PER_GB,
    };
    target.fetch_s(spec)
        + target.command_delay_s
        + leftover_cores * LEFTOVER_CORE_COST_S
        + if target.spot { 0.0 } else { spec.estimated_run_s * ON_DEMAND_COST_SHARE }
        + target.other_images_gb(spec) * other_images_s_per_gb
        + slowness_s(spec, target)
}

/// Returns the cost in seconds of slow execution on a machine.
fn slowness_s(spec: &JobSpec, target: &PlacementTarget) -> f64 {
    if target.slow { spec.estimated_run_s * SLOW_COST_SHARE } else { 0.0 }
}

/// Returns the index of the machine with the lowest cost for a task, in `zone` if one is given. Ties go to the lowest
/// machine id.
pub fn choose_target(
    spec: &JobSpec,
    need: &Resources,
    targets: &[PlacementTarget],
    zone: Option<&str>,
) -> Option<usize> {
    targets
        .iter()
        .enumerate()
        .filter(|(_, target)| target.accepts(spec, need, zone))
        .map(|(index, target)| (cost_s(spec, need, target), index))
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| targets[a.1].id.cmp(&targets[b.1].id)))
        .map(|(_, index)| index)
}

/// Places as many tasks of the request as fit, one after another, each on the machine with the lowest cost. Allocates
/// their resources on the targets and returns the index of each task's machine. The tasks of a job have equal costs,
/// so each machine's cost is computed once, and again only after a task was placed on the machine.
pub fn place_tasks(request: &PlacementRequest<'_>, targets: &mut [PlacementTarget]) -> Vec<usize> {
    let PlacementRequest { spec, need, .. } = *request;
    // The bit patterns of non-negative floats have the order of their values.
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

/// Returns how many tasks that need `need` each fit into the offered resources, at most `MAX_SLOTS`.
pub fn slots(need: &Resources, offered: &Resources) -> u32 {
    let fitting = |need: Cores, offered: Cores| offered.0.checked_div(need.0).unwrap_or(u64::MAX);
    fitting(need.cores, offered.cores)
        .min(fitting(need.memory, offered.memory))
        .min(fitting(need.accelerators, offered.accelerators))
        .min(MAX_SLOTS) as u32
}

/// Returns whether a task of the job fits on an empty machine of some type that the job may use.
pub fn can_ever_run(spec: &JobSpec, catalog: &MachineCatalog) -> bool {
    suitable_types(spec, catalog).next().is_some()
}

/// Returns the machine types that the job may use in its zones and on which one of its tasks fits.
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

/// Returns whether the zones allow all tasks of the job to run at once, which gangs and services require. With
/// `spread_zones` at most half of the tasks, rounded up, may be in one zone. Two or more tasks therefore need two
/// zones, which contradicts `one_zone`.
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
