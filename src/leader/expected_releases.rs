//! Places that running tasks are about to leave. Tasks are granted to them ahead of time, so that a
//! controller fills such a place in the very response to the heartbeat that shows it empty. Without
//! that, a place stays empty until the leader knows of it and its machine has sent
//! another heartbeat, which is much of the run time of short tasks.
//!
//! Such a grant names no machine; it is recorded, counted for limits and revoked as any other. Where more
//! urgent work may go, nothing is granted ahead: small tasks would fill every core as it gets free, and
//! none of the larger places that the more urgent work needs would ever come about.

use std::collections::BTreeMap;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::Leader;
use super::inputs::EpochInputs;
use crate::model::{Cores, MachineId, NodeId};
use crate::placement::{self, PlacementTarget};
use crate::resources::Resources;
use crate::wire::{JobKind, JobSpec, Priority, TaskState};

/// Seconds of expected completions that are granted ahead: some epochs, so that there is always
/// something to start, and little enough to be used before it is taken back.
const RELEASE_HORIZON_S: f64 = 1.5;

/// How many urgencies there are.
const PRIORITIES: usize = Priority::BestEffort as usize + 1;

/// Places of one size on alike machines of one controller.
#[derive(Clone, Debug)]
pub(super) struct ExpectedRelease {
    /// The controller that owns the machines.
    pub(super) owner: NodeId,
    zone: Rc<str>,
    machine_type: Rc<str>,
    spot: bool,
    /// The largest task that one of these places holds.
    each: Resources,
    /// What they hold all together and is not granted yet to work of an urgency or of a better one,
    /// by urgency. A controller starts urgent work first, so less urgent grants take nothing from it.
    free: [Resources; PRIORITIES],
}

impl ExpectedRelease {
    /// Whether a task can be granted here.
    pub(super) fn takes(&self, spec: &JobSpec, need: &Resources) -> bool {
        need.fits(&self.each)
            && need.fits(&self.free[spec.priority as usize])
            && placement::allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Cores that are not granted yet to any work.
    pub(super) fn free_cores(&self) -> Cores {
        self.free.iter().map(|free| free.cores).max().unwrap_or_default()
    }

    /// Counts a task of that urgency in.
    fn count_in(&mut self, need: &Resources, priority: Priority) {
        for free in &mut self.free[priority as usize..] {
            need.take_from(free);
        }
    }
}

/// What machines have in common that jobs care for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachineClass<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// Releases that count as one kind. They are visited in the order of these fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReleaseGroup<'a> {
    owner: NodeId,
    class: MachineClass<'a>,
    /// The size of the tasks that leave: the power of two of their cores.
    size: u32,
}

/// What is expected to end on alike machines.
#[derive(Default)]
struct ExpectedEnds {
    each: Resources,
    /// Cores, accelerators and memory in thousandths.
    sum: [f64; 3],
}

impl ExpectedEnds {
    fn add(&mut self, need: &Resources, tasks: f64) {
        self.each.cores = self.each.cores.max(need.cores);
        self.each.accelerators = self.each.accelerators.max(need.accelerators);
        self.each.memory = self.each.memory.max(need.memory);
        let amounts = [need.cores, need.accelerators, need.memory];
        for (sum, amount) in self.sum.iter_mut().zip(amounts) {
            *sum += amount.0 as f64 * tasks;
        }
    }

    fn free(&self) -> Resources {
        let [cores, accelerators, memory] = self.sum.map(|s| Cores(s as u64));
        Resources { cores, accelerators, memory }
    }
}

impl Leader {
    /// The places that tasks are expected to leave soon, on machines that take new ones.
    pub(super) fn expected_releases(
        &self,
        inputs: &EpochInputs<'_>,
        targets: &[PlacementTarget],
    ) -> Vec<ExpectedRelease> {
        let specs = || inputs.cluster.replica.jobs.values().map(|job| &job.spec);
        let mut most_urgent: BTreeMap<MachineClass<'_>, Option<Priority>> = BTreeMap::new();
        let groups = self.expected_ends(inputs, targets);
        let mut releases = Vec::with_capacity(groups.len());
        for (ReleaseGroup { owner, class, .. }, ends) in groups {
            let MachineClass { machine_type, zone, spot } = class;
            let highest_priority = *most_urgent
                .entry(class)
                .or_insert_with(|| placement::highest_priority(specs(), machine_type, zone, spot));
            let mut free = [Resources::default(); PRIORITIES];
            let until = highest_priority.map_or(PRIORITIES, |priority| priority as usize + 1);
            free[..until].fill(ends.free());
            releases.push(ExpectedRelease {
                owner,
                zone: zone.into(),
                machine_type: machine_type.into(),
                spot,
                each: ends.each,
                free,
            });
        }
        releases
    }

    /// What running tasks of arrays are expected to leave within [`RELEASE_HORIZON_S`], on open machines
    /// whose owners start what is granted ahead.
    fn expected_ends<'a>(
        &self,
        inputs: &EpochInputs<'_>,
        targets: &'a [PlacementTarget],
    ) -> BTreeMap<ReleaseGroup<'a>, ExpectedEnds> {
        let replica = inputs.cluster.replica;
        let reserved =
            |target: &PlacementTarget| self.gangs.reserved.binary_search(&target.id).is_ok();
        let open = targets.iter().filter(|target| target.schedulable && !reserved(target));
        let open: FxHashMap<&MachineId, &PlacementTarget> =
            open.map(|target| (&target.id, target)).collect();
        let mut groups: BTreeMap<ReleaseGroup<'_>, ExpectedEnds> = BTreeMap::new();
        let on_machines = inputs.on_machines.iter();
        for (task, seen) in on_machines.filter(|(_, seen)| seen.state == TaskState::Running) {
            let Some(target) = open.get(&seen.machine.id).copied() else { continue };
            let owner =
                inputs.owner(&target.id).filter(|owner| replica.supports_grants_ahead(*owner));
            let Some(owner) = owner else { continue };
            let job = replica.jobs.get(&task.job).filter(|job| job.spec.kind == JobKind::Array);
            let Some(job) = job else { continue };
            let need = Resources::of(&job.spec);
            let size = need.cores.0.checked_ilog2().unwrap_or(0);
            let PlacementTarget { machine_type, zone, spot, .. } = target;
            let class = MachineClass { machine_type, zone, spot: *spot };
            let ends = groups.entry(ReleaseGroup { owner, class, size }).or_default();
            ends.add(&need, RELEASE_HORIZON_S / self.run_s(job));
        }
        groups
    }
}

/// Takes places for up to `count` tasks of a job, where most are left first, and says which.
/// `owner` is set if they have to be of that controller.
pub(super) fn take_expected_releases(
    expected_releases: &mut [ExpectedRelease],
    spec: &JobSpec,
    need: &Resources,
    owner: Option<NodeId>,
    count: usize,
) -> Vec<usize> {
    let mut taken = Vec::new();
    while taken.len() < count {
        let best = (0..expected_releases.len())
            .filter(|&i| owner.is_none_or(|o| o == expected_releases[i].owner))
            .filter(|&i| expected_releases[i].takes(spec, need))
            .max_by_key(|&i| expected_releases[i].free[spec.priority as usize].cores);
        let Some(i) = best else { break };
        expected_releases[i].count_in(need, spec.priority);
        taken.push(i);
    }
    taken
}
