//! Places that running tasks are about to leave. Tasks are granted to them ahead of time, so that a
//! controller fills such a place in the very response to the report that shows it empty. Without
//! that, a place stays empty until the leader has heard of it and its machine has
//! reported once more, which is much of the run time of short tasks.
//!
//! Such a grant names no machine; it is kept, counted for limits and taken back as any other. Where more
//! urgent work may go, nothing is granted ahead: small tasks would fill every core as it gets free, and
//! none of the larger places that the more urgent work needs would ever come about.

use std::collections::BTreeMap;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::{ClusterView, Leader};
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{Cores, MachineId, NodeId};
use crate::placement::{self, PlacementTarget, Resources};
use crate::wire::{JobKind, JobSpec, Priority, TaskState};

/// Seconds of expected completions that are granted ahead: some epochs, so that there is always
/// something to start, and little enough to be used before it is taken back.
const AHEAD_S: f64 = 1.5;

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

    /// Grants a place to a task of that urgency.
    fn take(&mut self, need: &Resources, priority: Priority) {
        for free in &mut self.free[priority as usize..] {
            need.take_from(free);
        }
    }
}

/// Machines that count as one, and the size of tasks as a power of two of their cores.
type Alike<'a> = (NodeId, &'a str, &'a str, bool, u32);

/// What is expected to end on alike machines.
#[derive(Default)]
struct Ending {
    each: Resources,
    /// Cores, accelerators and memory in thousandths.
    sum: [f64; 3],
}

impl Ending {
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
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        targets: &[PlacementTarget],
    ) -> Vec<ExpectedRelease> {
        let reserved = |r: &PlacementTarget| self.reserved.binary_search(&r.id).is_ok();
        let open: FxHashMap<&MachineId, &PlacementTarget> =
            targets.iter().filter(|r| r.open && !reserved(r)).map(|r| (&r.id, r)).collect();
        let mut ending: BTreeMap<Alike<'_>, Ending> = BTreeMap::new();
        for (task, seen) in on_machines.iter().filter(|(_, s)| s.state == TaskState::Running) {
            let Some(target) = open.get(&seen.machine.id) else { continue };
            let owner = fleet.owners.get(&target.id).map(|(owner, _)| *owner);
            let Some(owner) = owner.filter(|o| cluster.replica.supports_grants_ahead(*o)) else {
                continue;
            };
            let job = cluster.replica.jobs.get(&task.job);
            let Some(job) = job.filter(|j| j.spec.kind == JobKind::Array) else { continue };
            let need = Resources::of(&job.spec);
            let size = need.cores.0.checked_ilog2().unwrap_or(0);
            let alike = (owner, &*target.machine_type, &*target.zone, target.spot, size);
            ending.entry(alike).or_default().add(&need, AHEAD_S / self.run_s(job));
        }
        let specs = || cluster.replica.jobs.values().map(|j| &j.spec);
        let mut first: BTreeMap<(&str, &str, bool), Option<Priority>> = BTreeMap::new();
        let mut places = Vec::with_capacity(ending.len());
        for ((owner, machine_type, zone, spot, _), e) in ending {
            let highest_priority = *first
                .entry((machine_type, zone, spot))
                .or_insert_with(|| placement::highest_priority(specs(), machine_type, zone, spot));
            let mut free = [Resources::default(); PRIORITIES];
            let until = highest_priority.map_or(PRIORITIES, |u| u as usize + 1);
            free[..until].fill(e.free());
            let (zone, machine_type) = (zone.into(), machine_type.into());
            places.push(ExpectedRelease { owner, zone, machine_type, spot, each: e.each, free });
        }
        places
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
        expected_releases[i].take(need, spec.priority);
        taken.push(i);
    }
    taken
}
