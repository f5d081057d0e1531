//! Placement: which machine a task goes to. Pure, and used by the leader to divide grants
//! over parts as well as by the parts themselves.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::model::{Cores, MachineId, TaskId};
use crate::replica::Replica;
use crate::wire::{JobKind, JobSpec, MachineType, Priority, TaskState};

/// Machine types by name, with what their machines offer.
pub type MachineCatalog = HashMap<String, MachineType>;

/// What a task takes. Memory and accelerators are counted in thousandths like cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Cores.
    pub cores: Cores,
    /// Accelerators.
    pub accelerators: Cores,
    /// Memory, in thousandths of a GB.
    pub memory: Cores,
}

impl Resources {
    /// What each task of a job takes.
    pub fn of(spec: &JobSpec) -> Self {
        Resources {
            cores: Cores::need(spec.vcpus),
            accelerators: Cores::need(spec.accelerators),
            memory: Cores::need(spec.mem_gb),
        }
    }
    /// What a machine of a type offers.
    pub fn offered(machine_type: &MachineType) -> Self {
        Resources {
            cores: Cores::offer(machine_type.vcpus),
            accelerators: Cores::offer(machine_type.accelerators),
            memory: Cores::offer(machine_type.mem_gb),
        }
    }
    /// Whether this fits into what is free.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cores <= free.cores
            && self.accelerators <= free.accelerators
            && self.memory <= free.memory
    }
    /// Takes this away from what is free.
    pub fn take_from(&self, free: &mut Resources) {
        free.cores = free.cores.less(self.cores);
        free.accelerators = free.accelerators.less(self.accelerators);
        free.memory = free.memory.less(self.memory);
    }
}

/// Whether a job may use machines of that type, zone and kind at all.
pub fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.machine_types.as_ref().is_none_or(|h| h.iter().any(|n| n == machine_type))
        && spec.zone.as_ref().is_none_or(|y| y == zone)
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

/// A machine as placement sees it.
#[derive(Clone, Debug)]
pub struct PlacementTarget {
    /// The machine.
    pub id: MachineId,
    /// Type.
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Spot or ordinary.
    pub spot: bool,
    /// What is free; tasks that fetch their image count as there.
    pub free: Resources,
    /// Images that it has or fetches, with their sizes in GB.
    pub images: Vec<(Rc<str>, f64)>,
    /// Images that it fetches.
    pub fetching: Vec<Rc<str>>,
    /// Seconds until it can be told of a task.
    pub delay_s: f64,
    /// Rate of fetches in GB a second.
    pub fetch_rate: f64,
    /// Whether it takes new tasks.
    pub open: bool,
    /// Whether tasks take much longer here than elsewhere.
    pub slow: bool,
    /// Whether it is kept for gangs, and for work that may not use spot machines.
    pub reserved: bool,
}

impl PlacementTarget {
    /// Whether a task of the job may start here now.
    pub fn takes(&self, spec: &JobSpec, need: &Resources, zone: Option<&str>) -> bool {
        !(self.reserved && spec.allows_spot && spec.kind != JobKind::Gang)
            && self.holds(spec, need, zone)
    }

    /// The same, whether it is kept for others or not.
    pub fn holds(&self, spec: &JobSpec, need: &Resources, zone: Option<&str>) -> bool {
        self.open
            && need.fits(&self.free)
            && zone.is_none_or(|z| *z == *self.zone)
            && allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Seconds that a task would wait here for its image.
    fn fetch_s(&self, spec: &JobSpec) -> f64 {
        let rate = if self.fetch_rate > 0.0 { self.fetch_rate } else { 1.0 };
        let alone = spec.image_gb / rate;
        if self.fetching.contains(&spec.image) {
            // Somewhere on its way, and shared with whatever else is fetched.
            alone * 0.5 * self.fetching.len() as f64
        } else if self.has(&spec.image) {
            0.0
        } else {
            alone * (1 + self.fetching.len()) as f64
        }
    }

    /// Whether a task would not wait for its image here.
    pub fn is_warm(&self, spec: &JobSpec) -> bool {
        self.has(&spec.image) && !self.fetching.contains(&spec.image)
    }

    fn has(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| **name == *image)
    }

    /// GB of images of other jobs that the machine has.
    fn others_gb(&self, spec: &JobSpec) -> f64 {
        self.images.iter().filter(|(name, _)| *name != spec.image).map(|(_, gb)| gb).sum()
    }

    /// Counts a task in.
    pub fn add(&mut self, spec: &JobSpec, need: &Resources) {
        need.take_from(&mut self.free);
        if !self.has(&spec.image) {
            self.images.push((spec.image.clone(), spec.image_gb));
            self.fetching.push(spec.image.clone());
        }
    }

    /// A machine with these tasks and images; `open` says what speaks for or against it.
    pub fn of(
        (id, machine_type, zone, spot): (&MachineId, &Rc<str>, &Rc<str>, bool),
        tasks: impl Iterator<Item = (TaskId, TaskState)>,
        images: &[(Rc<str>, f64)],
        catalog: &MachineCatalog,
        replica: &Replica,
        open: bool,
    ) -> Option<Self> {
        let properties = catalog.get(&**machine_type)?;
        let mut free = Resources::offered(properties);
        let mut known = true;
        let mut fetching: Vec<Rc<str>> = Vec::new();
        for (task, state) in tasks {
            // A task of a job that has ended still takes room until it is gone.
            let Some(job) = replica.jobs.get(&task.job) else {
                known = false;
                continue;
            };
            Resources::of(&job.spec).take_from(&mut free);
            if state == TaskState::FetchingImage && !fetching.contains(&job.spec.image) {
                fetching.push(job.spec.image.clone());
            }
        }
        Some(PlacementTarget {
            id: id.clone(),
            machine_type: machine_type.clone(),
            zone: zone.clone(),
            spot,
            free,
            images: images.to_vec(),
            fetching,
            delay_s: 0.0,
            fetch_rate: properties.fetch_gb_per_s,
            open: open && known && replica.is_machine_up(id),
            slow: false,
            reserved: false,
        })
    }
}

/// Seconds of waiting that one core left over is worth avoiding: image fetches of many GB
/// outweigh the fit, and among machines that are alike in that the tightest fit wins.
const SPARE_CORE_S: f64 = 0.05;

/// Part of a task's run time that is worth waiting for a spot machine instead of an ordinary
/// one, so that the dearer ones run empty first.
const ORDINARY_PART: f64 = 0.08;

/// The same to keep away from a machine that runs slow.
const SLOW_PART: f64 = 1.5;

/// Seconds of waiting that are worth leaving a machine to the images of other jobs that it
/// has, per GB of them. Jobs gather on machines that have their image, and fetches of large
/// images become rare.
const OTHER_IMAGES_S_PER_GB: f64 = 0.5;
/// The same where the job's own image is, too: a warm machine is mostly worth it.
const WARM_S_PER_GB: f64 = 0.1;

/// What it costs to place a task on a machine, in seconds.
fn cost(spec: &JobSpec, need: &Resources, r: &PlacementTarget) -> f64 {
    r.fetch_s(spec)
        + r.delay_s
        + r.free.cores.less(need.cores).amount() * SPARE_CORE_S
        + if r.spot { 0.0 } else { spec.estimated_run_s * ORDINARY_PART }
        + r.others_gb(spec) * if r.has(&spec.image) { WARM_S_PER_GB } else { OTHER_IMAGES_S_PER_GB }
        + if r.slow { spec.estimated_run_s * SLOW_PART } else { 0.0 }
}

/// The best machine for a task: shortest wait for the image, then the tightest fit.
pub fn choose(
    spec: &JobSpec,
    need: &Resources,
    targets: &[PlacementTarget],
    zone: Option<&str>,
) -> Option<usize> {
    targets
        .iter()
        .enumerate()
        .filter(|(_, r)| r.takes(spec, need, zone))
        .map(|(i, r)| (cost(spec, need, r), i))
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| targets[a.1].id.cmp(&targets[b.1].id)))
        .map(|(_, i)| i)
}

/// Places up to `count` tasks of a job, each on the machine that is best when its turn comes,
/// and counts them in there. A job's tasks are alike, so every machine is weighed once, and
/// again only when it got a task.
pub fn spread(
    spec: &JobSpec,
    need: &Resources,
    targets: &mut [PlacementTarget],
    zone: Option<&str>,
    count: usize,
) -> Vec<usize> {
    // Costs are not negative, so their bits sort as they do.
    let bits = |r: &PlacementTarget| cost(spec, need, r).max(0.0).to_bits();
    let mut open: BinaryHeap<Reverse<(u64, usize)>> = targets
        .iter()
        .enumerate()
        .filter(|(_, r)| r.takes(spec, need, zone))
        .map(|(i, r)| Reverse((bits(r), i)))
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < count
        && let Some(Reverse((_, i))) = open.pop()
    {
        targets[i].add(spec, need);
        chosen.push(i);
        if targets[i].takes(spec, need, zone) {
            open.push(Reverse((bits(&targets[i]), i)));
        }
    }
    chosen
}

/// Waits that differ by no more than that are alike when a gang's machines are chosen.
const ALIKE_S: f64 = 0.5;

/// Machines for all of a gang's tasks, or `None` if they do not all fit: those where all can begin
/// first, and among them as few as hold it, as each further one can be late or be lost. Also
/// says when the last can begin, in seconds. `may` says which machines can be used at all.
pub fn pack(
    spec: &JobSpec,
    need: &Resources,
    targets: &[PlacementTarget],
    may: &[bool],
    zone: Option<&str>,
    count: usize,
) -> Option<(f64, Vec<usize>)> {
    let wait = |r: &PlacementTarget| {
        let slow = if r.slow { spec.estimated_run_s * SLOW_PART } else { 0.0 };
        let dear =
            if spec.allows_spot && !r.spot { spec.estimated_run_s * ORDINARY_PART } else { 0.0 };
        r.fetch_s(spec) + r.delay_s + slow + dear
    };
    let mut open: Vec<(f64, usize, usize)> = targets
        .iter()
        .enumerate()
        .filter(|(i, r)| may.get(*i).copied().unwrap_or(false) && r.takes(spec, need, zone))
        .map(|(i, r)| (wait(r), i, slots(need, &r.free) as usize))
        .collect();
    open.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| targets[a.1].id.cmp(&targets[b.1].id)));
    let mut sum = 0;
    let last = open.iter().find(|o| {
        sum += o.2;
        sum >= count
    })?;
    let most = last.0 + ALIKE_S;
    let mut open: Vec<_> = open.iter().copied().filter(|o| o.0 <= most).collect();
    let (mut chosen, mut when) = (Vec::with_capacity(count), 0.0f64);
    while chosen.len() < count {
        let left = count - chosen.len();
        // The tightest that holds the rest, else the widest. Large machines stay whole for others.
        let holds = (0..open.len())
            .filter(|&k| open[k].2 >= left)
            .min_by(|&a, &b| open[a].2.cmp(&open[b].2).then(open[a].0.total_cmp(&open[b].0)));
        let k = holds.or_else(|| {
            (0..open.len())
                .max_by(|&a, &b| open[a].2.cmp(&open[b].2).then(open[b].0.total_cmp(&open[a].0)))
        })?;
        let (wait, i, slots) = open.swap_remove(k);
        when = when.max(wait);
        chosen.extend(std::iter::repeat_n(i, slots.min(left)));
    }
    Some((when, chosen))
}

/// The same among all of some machines, where it counts the tasks in at once.
pub fn pack_in(
    spec: &JobSpec,
    need: &Resources,
    targets: &mut [PlacementTarget],
    zone: Option<&str>,
    count: usize,
) -> Vec<usize> {
    let all = vec![true; targets.len()];
    let chosen = pack(spec, need, targets, &all, zone, count).map_or(vec![], |(_, chosen)| chosen);
    chosen.iter().for_each(|i| targets[*i].add(spec, need));
    chosen
}

/// How many tasks fit into what is offered or free.
pub fn slots(need: &Resources, offered: &Resources) -> u32 {
    let per = |n: Cores, o: Cores| o.0.checked_div(n.0).unwrap_or(u64::MAX);
    per(need.cores, offered.cores)
        .min(per(need.memory, offered.memory))
        .min(per(need.accelerators, offered.accelerators))
        .min(10_000) as u32
}

/// Whether some machine type could ever hold a task of the job.
pub fn can_ever_run(spec: &JobSpec, catalog: &MachineCatalog) -> bool {
    possible(spec, catalog).next().is_some()
}

/// Machine types that could hold a task of the job, where it may run.
fn possible<'a>(
    spec: &'a JobSpec,
    catalog: &'a MachineCatalog,
) -> impl Iterator<Item = &'a MachineType> {
    let need = Resources::of(spec);
    catalog.values().filter(move |f| {
        need.fits(&Resources::offered(f))
            && spec.machine_types.as_ref().is_none_or(|h| h.contains(&f.name))
            && spec.zone.as_ref().is_none_or(|y| f.zones.contains(y))
    })
}

/// Whether all tasks of the job could ever run at once, as far as zones tell: a gang and a service
/// need that. At most half of the tasks, rounded up, may be in one zone under `Scatter`, so two tasks
/// need two zones, and they can't all be in one as `OneZone` wants.
pub fn zones_allow_all(spec: &JobSpec, catalog: &MachineCatalog) -> bool {
    if !spec.spread_zones || spec.task_count < 2 || spec.kind == JobKind::Array {
        return true;
    }
    let mut zones: Vec<&String> = possible(spec, catalog)
        .flat_map(|f| &f.zones)
        .filter(|z| spec.zone.as_ref().is_none_or(|y| y == *z))
        .collect();
    zones.sort();
    zones.dedup();
    !spec.one_zone && zones.len() >= 2
}

#[cfg(test)]
pub(crate) mod tests;
