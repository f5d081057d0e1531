//! Resources that running tasks are expected to release soon. Tasks are granted ahead of the release, so that a
//! controller can start one in its response to the very heartbeat that shows the release. Otherwise the
//! resources stay unused until the leader learns of the release and the machine sends another heartbeat,
//! which takes much of the run time of short tasks.
//!
//! A grant ahead names no machine. It is recorded, counted for limits and revoked like any other grant. Nothing
//! is granted ahead to tasks of lower priority than that of the most urgent open job that may use the machines.
//! Otherwise small tasks would take every core as it is released, and the larger room that the more urgent
//! work needs would never become free.

use std::collections::BTreeMap;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::Leader;
use super::inputs::EpochInputs;
use crate::model::{Cores, MachineId, NodeId};
use crate::placement::{self, PlacementTarget};
use crate::resources::Resources;
use crate::wire::{JobKind, JobSpec, Priority, TaskState};

/// Tasks are granted ahead for the completions expected within this time, in seconds. It spans some epochs, so
/// that there is always something to start, and is short enough for grants to be used before they are revoked.
const RELEASE_HORIZON_S: f64 = 1.5;

/// Number of priorities.
const PRIORITY_COUNT: usize = Priority::BestEffort as usize + 1;

/// Expected releases of similar size on machines of one class that one controller owns.
#[derive(Clone, Debug)]
pub(super) struct ExpectedRelease {
    /// The controller that owns the machines.
    pub(super) owner: NodeId,
    zone: Rc<str>,
    machine_type: Rc<str>,
    spot: bool,
    /// The largest amounts that one of the tasks releases. A task granted here must fit within them.
    largest_task: Resources,
    /// For each priority, the resources of all the releases that are not granted yet to tasks of this or a
    /// higher priority. Zero for priorities that are not granted anything here. A controller starts tasks of
    /// higher priority first, so grants of lower priority do not reduce these amounts.
    free_by_priority: [Resources; PRIORITY_COUNT],
}

impl ExpectedRelease {
    /// Returns whether a task can be granted here.
    pub(super) fn fits(&self, spec: &JobSpec, need: &Resources) -> bool {
        need.fits(&self.largest_task)
            && need.fits(&self.free_by_priority[spec.priority as usize])
            && placement::allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Returns the cores that are free for the priority with the most free cores.
    pub(super) fn free_cores(&self) -> Cores {
        self.free_by_priority.iter().map(|free| free.cores).max().unwrap_or_default()
    }

    /// Deducts a task that needs `need` from the resources free for its priority and for lower ones.
    fn deduct(&mut self, need: &Resources, priority: Priority) {
        for free in &mut self.free_by_priority[priority as usize..] {
            need.take_from(free);
        }
    }
}

/// Properties of machines that jobs may restrict.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachineClass<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// Expected releases of similar size on machines of one class. Groups are visited in the order of these fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReleaseGroup<'a> {
    owner: NodeId,
    class: MachineClass<'a>,
    /// Size of the tasks: base-2 logarithm of their cores (in thousandths), rounded down.
    size_class: u32,
}

/// Completions that are expected on the machines of a group.
#[derive(Default)]
struct ExpectedCompletions {
    /// The largest amount of each resource that one of the tasks releases.
    largest_task: Resources,
    /// Expected total of cores, accelerators and memory that are released, in thousandths.
    totals: [f64; 3],
}

impl ExpectedCompletions {
    fn add(&mut self, need: &Resources, tasks: f64) {
        self.largest_task.cores = self.largest_task.cores.max(need.cores);
        self.largest_task.accelerators = self.largest_task.accelerators.max(need.accelerators);
        self.largest_task.memory = self.largest_task.memory.max(need.memory);
        let amounts = [need.cores, need.accelerators, need.memory];
        for (total, amount) in self.totals.iter_mut().zip(amounts) {
            *total += amount.0 as f64 * tasks;
        }
    }

    fn free(&self) -> Resources {
        let [cores, accelerators, memory] = self.totals.map(|total| Cores(total as u64));
        Resources { cores, accelerators, memory }
    }
}

impl Leader {
    /// Returns the expected releases on machines that accept new tasks.
    pub(super) fn expected_releases(
        &self,
        inputs: &EpochInputs<'_>,
        targets: &[PlacementTarget],
    ) -> Vec<ExpectedRelease> {
        let specs = || inputs.cluster.replica.jobs.values().map(|job| &job.spec);
        let mut highest_priorities: BTreeMap<MachineClass<'_>, Option<Priority>> = BTreeMap::new();
        let groups = self.expected_completions(inputs, targets);
        let mut releases = Vec::with_capacity(groups.len());
        for (ReleaseGroup { owner, class, .. }, completions) in groups {
            let MachineClass { machine_type, zone, spot } = class;
            let highest_priority = *highest_priorities
                .entry(class)
                .or_insert_with(|| placement::highest_priority(specs(), machine_type, zone, spot));
            let mut free_by_priority = [Resources::default(); PRIORITY_COUNT];
            let eligible_priorities =
                highest_priority.map_or(PRIORITY_COUNT, |priority| priority as usize + 1);
            free_by_priority[..eligible_priorities].fill(completions.free());
            releases.push(ExpectedRelease {
                owner,
                zone: zone.into(),
                machine_type: machine_type.into(),
                spot,
                largest_task: completions.largest_task,
                free_by_priority,
            });
        }
        releases
    }

    /// Groups what running tasks of arrays are expected to release within [`RELEASE_HORIZON_S`], on open
    /// machines that were not reserved for gangs in the last epoch and whose owners support grants ahead.
    fn expected_completions<'a>(
        &self,
        inputs: &EpochInputs<'_>,
        targets: &'a [PlacementTarget],
    ) -> BTreeMap<ReleaseGroup<'a>, ExpectedCompletions> {
        let replica = inputs.cluster.replica;
        let reserved =
            |target: &PlacementTarget| self.gangs.reserved.binary_search(&target.id).is_ok();
        let open = targets.iter().filter(|target| target.schedulable && !reserved(target));
        let open: FxHashMap<&MachineId, &PlacementTarget> =
            open.map(|target| (&target.id, target)).collect();
        let mut groups: BTreeMap<ReleaseGroup<'_>, ExpectedCompletions> = BTreeMap::new();
        let on_machines = inputs.on_machines.iter();
        for (task, seen) in on_machines.filter(|(_, seen)| seen.state == TaskState::Running) {
            let Some(target) = open.get(&seen.machine.id).copied() else { continue };
            let owner =
                inputs.owner(&target.id).filter(|owner| replica.supports_grants_ahead(*owner));
            let Some(owner) = owner else { continue };
            let job = replica.jobs.get(&task.job).filter(|job| job.spec.kind == JobKind::Array);
            let Some(job) = job else { continue };
            let need = Resources::of(&job.spec);
            let size_class = need.cores.0.checked_ilog2().unwrap_or(0);
            let PlacementTarget { machine_type, zone, spot, .. } = target;
            let class = MachineClass { machine_type, zone, spot: *spot };
            let completions = groups.entry(ReleaseGroup { owner, class, size_class }).or_default();
            completions.add(&need, RELEASE_HORIZON_S / self.expected_run_s(job));
        }
        groups
    }
}

/// Deducts up to `count` tasks of a job from the expected releases, each where most cores are free. Returns the
/// index of the release for each task. Considers only releases of `owner` if it is set.
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
            .filter(|&i| expected_releases[i].fits(spec, need))
            .max_by_key(|&i| expected_releases[i].free_by_priority[spec.priority as usize].cores);
        let Some(i) = best else { break };
        expected_releases[i].deduct(need, spec.priority);
        taken.push(i);
    }
    taken
}
