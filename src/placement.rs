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
/// Starts that differ by no more than these seconds are alike when a gang's machines are chosen.
const ALIKE_START_S: f64 = 0.5;
/// Most tasks that are counted to fit on one machine; a task that needs nothing fits without end.
const MAX_SLOTS: u64 = 10_000;

/// What it costs to place a task on a machine, in seconds.
fn cost_s(spec: &JobSpec, need: &Resources, target: &PlacementTarget) -> f64 {
    let leftover_cores = target.free.cores.less(need.cores).amount();
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

/// Seconds until a gang's task can begin on a machine, with what is worth waiting to avoid it. The fit does not
/// count: the gang as a whole is to fit.
fn gang_start_s(spec: &JobSpec, target: &PlacementTarget) -> f64 {
    let is_dearer = spec.allows_spot && !target.spot;
    let ordinary_s = if is_dearer { spec.estimated_run_s * ORDINARY_SHARE } else { 0.0 };
    target.fetch_s(spec) + target.delay_s + slowness_s(spec, target) + ordinary_s
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

/// Places up to `count` tasks of a job, each on the machine that is cheapest when its turn comes, and counts
/// them in there. A job's tasks are alike, so every machine is weighed once, and again only when it got a
/// task. Returns the index of each task's machine.
pub fn spread(
    spec: &JobSpec,
    need: &Resources,
    targets: &mut [PlacementTarget],
    zone: Option<&str>,
    count: usize,
) -> Vec<usize> {
    // Costs are not negative, so their bits sort as they do.
    let cost_bits = |target: &PlacementTarget| cost_s(spec, need, target).max(0.0).to_bits();
    let mut open: BinaryHeap<Reverse<(u64, usize)>> = targets
        .iter()
        .enumerate()
        .filter(|(_, target)| target.takes(spec, need, zone))
        .map(|(index, target)| Reverse((cost_bits(target), index)))
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < count
        && let Some(Reverse((_, index))) = open.pop()
    {
        targets[index].add(spec, need);
        chosen.push(index);
        if targets[index].takes(spec, need, zone) {
            open.push(Reverse((cost_bits(&targets[index]), index)));
        }
    }
    chosen
}

/// A machine on which some of a gang's tasks fit.
#[derive(Clone, Copy)]
struct GangBin {
    /// Seconds until tasks can begin there, as [`gang_start_s`] counts them.
    start_s: f64,
    /// Index of the machine.
    index: usize,
    /// Tasks that fit.
    slots: usize,
}

/// Machines for all of a gang's tasks, or `None` if they do not all fit: those where all can begin first, and
/// among them as few as hold it, as each further one can be late or be lost. Also says when the last can
/// begin, in seconds. `may` says which machines can be used at all.
pub fn pack(
    spec: &JobSpec,
    need: &Resources,
    targets: &[PlacementTarget],
    may: &[bool],
    zone: Option<&str>,
    count: usize,
) -> Option<(f64, Vec<usize>)> {
    let mut bins: Vec<GangBin> = targets
        .iter()
        .enumerate()
        .filter(|(index, target)| {
            may.get(*index).copied().unwrap_or(false) && target.takes(spec, need, zone)
        })
        .map(|(index, target)| {
            let slots = slots(need, &target.free) as usize;
            GangBin { start_s: gang_start_s(spec, target), index, slots }
        })
        .collect();
    bins.sort_by(|a, b| {
        let by_start = a.start_s.total_cmp(&b.start_s);
        by_start.then_with(|| targets[a.index].id.cmp(&targets[b.index].id))
    });
    pack_into_fewest(earliest_bins(&bins, count)?, count)
}

/// The bins, in order of their start, where all tasks can begin first, with those that are alike.
fn earliest_bins(bins: &[GangBin], count: usize) -> Option<Vec<GangBin>> {
    let mut slots = 0;
    let last = bins.iter().find(|bin| {
        slots += bin.slots;
        slots >= count
    })?;
    let latest_s = last.start_s + ALIKE_START_S;
    Some(bins.iter().copied().filter(|bin| bin.start_s <= latest_s).collect())
}

/// Fills few bins with all tasks: the tightest that holds the rest, else the widest. Large machines stay whole
/// for others. Returns when the last can begin, and the machine of each task.
fn pack_into_fewest(mut bins: Vec<GangBin>, count: usize) -> Option<(f64, Vec<usize>)> {
    let (mut chosen, mut last_start_s) = (Vec::with_capacity(count), 0.0f64);
    while chosen.len() < count {
        let remaining = count - chosen.len();
        let by_slots = |a: usize, b: usize| bins[a].slots.cmp(&bins[b].slots);
        let by_start = |a: usize, b: usize| bins[a].start_s.total_cmp(&bins[b].start_s);
        let tightest = (0..bins.len())
            .filter(|&position| bins[position].slots >= remaining)
            .min_by(|&a, &b| by_slots(a, b).then(by_start(a, b)));
        let widest = || (0..bins.len()).max_by(|&a, &b| by_slots(a, b).then(by_start(b, a)));
        let position = tightest.or_else(widest)?;
        let bin = bins.swap_remove(position);
        last_start_s = last_start_s.max(bin.start_s);
        chosen.extend(std::iter::repeat_n(bin.index, bin.slots.min(remaining)));
    }
    Some((last_start_s, chosen))
}

/// Packs a gang on any of some machines and counts its tasks in there at once; nothing if they do not all fit.
pub fn pack_in(
    spec: &JobSpec,
    need: &Resources,
    targets: &mut [PlacementTarget],
    zone: Option<&str>,
    count: usize,
) -> Vec<usize> {
    let all = vec![true; targets.len()];
    let chosen = pack(spec, need, targets, &all, zone, count).map_or(vec![], |(_, chosen)| chosen);
    chosen.iter().for_each(|index| targets[*index].add(spec, need));
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

/// Whether all tasks of the job could ever run at once, as far as zones tell: a gang and a service
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
