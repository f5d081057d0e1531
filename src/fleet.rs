//! The machines as the leader knows them in one term.
//!
//! [`Fleet`] owns four things: which controller owns each machine, what their owners' summaries show of them
//! (`controller_state`), what the leader itself records of each machine (`machine_records`), and the proofs that
//! a machine, or what ran on it, is gone (`lease_expiry`, `reconciliation`).
//!
//! Invariants, argued in `docs/safety.md`: only an owner that follows a plan of this term speaks for a machine;
//! a machine leaves `unreconciled` only when it showed this term's fencing token, its lease expired at every
//! controller, or the cloud confirmed that it is gone.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use rustc_hash::FxHashMap;

use crate::cluster_view::ClusterView;
use crate::model::{AgentEpoch, MachineId, MonotonicTime, NodeId, PlanSeq, TaskId};
use crate::peer::MachineView;
use crate::placement::{ObservedMachine, PlacementTarget};
use crate::wire::TaskState;

mod controller_state;
mod lease_expiry;
mod machine_records;
mod ownership;
mod reconciliation;

pub use controller_state::{ControllerState, SummaryOutcome};
use controller_state::{OwnedMachine, OwnedView};
pub use machine_records::FleetMachine;
pub use ownership::NewTermReason;

/// Milliseconds without a summary after which a controller is taken as lost.
pub const NODE_LOST_MS: u64 = 3_000;
/// Milliseconds without service by the store after which a controller hands its machines over; for half of
/// it, nothing new is granted to it.
const UNSERVED_MS: u64 = 5_000;
/// Least number of machines that count as cut off rather than dead when they are silent together.
const MANY_LEAST: usize = 8;
/// A controller receives heartbeats if it got one within that many milliseconds.
const RECEIVES_MS: u64 = 2_000;

/// Who owns a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The controller that owns it.
    pub owner: NodeId,
    /// The first plan that names this owner.
    pub since: PlanSeq,
}

/// A machine that was owned until the cloud confirmed that it is gone.
struct RemovedMachine {
    id: MachineId,
    /// The first plan that says so.
    since: PlanSeq,
}

/// The next owner of a machine that could not reach its owner.
struct Reassigned {
    /// The controller that received its heartbeats.
    node: NodeId,
    until: MonotonicTime,
}

/// A task on a machine.
#[derive(Clone, Copy)]
pub struct ObservedTask<'a> {
    /// The machine.
    pub machine: &'a MachineView,
    /// Its state there.
    pub state: TaskState,
}

/// Tasks on reconciled machines.
pub type TasksOnMachines<'a> = FxHashMap<TaskId, ObservedTask<'a>>;

/// A controller that is no member.
#[derive(Clone, Copy)]
struct AbsentController {
    /// How often it had become a member or left when it was found absent.
    membership_changes: u64,
    since: MonotonicTime,
}

/// The machines in one term.
pub struct Fleet {
    began: MonotonicTime,
    /// What controllers' summaries showed in this term.
    pub controllers: BTreeMap<NodeId, ControllerState>,
    /// Who owns each machine.
    pub owners: BTreeMap<MachineId, Ownership>,
    /// Machines that are gone, in the order in which they were removed; the newest ones only.
    removed: Vec<RemovedMachine>,
    /// Machines that may still accept or run what earlier terms commanded.
    pub unreconciled: BTreeSet<MachineId>,
    /// Machines that the cloud confirmed to be gone.
    pub terminated: HashSet<MachineId>,
    /// When any controller last answered a heartbeat of each machine.
    last_answers: HashMap<MachineId, MonotonicTime>,
    /// Machines whose lease has expired, and the agent epoch that ended with it: what their owner still
    /// remembers of that epoch is over.
    pub expired_leases: BTreeMap<MachineId, AgentEpoch>,
    /// Controllers that are no members.
    absent: HashMap<NodeId, AbsentController>,
    /// Controllers that receive no heartbeats, and until when they own no machines for that.
    without_heartbeats: HashMap<NodeId, MonotonicTime>,
    /// Machines that could not reach their owner.
    reassigned: HashMap<MachineId, Reassigned>,
    /// Whether tasks wait for the proof that they are not on an unreconciled machine.
    pub reconciliation_awaited: bool,
    /// The leader that was replaced as it did not reach a majority: its summary is not waited for.
    pub replaced: Option<NodeId>,
    /// All machines that are held.
    pub machines: BTreeMap<MachineId, FleetMachine>,
}

impl Fleet {
    /// Begins a term. What was known of machines stays; what summaries showed of tasks does not.
    pub fn begin(cluster: &ClusterView<'_>, before: Option<Fleet>) -> Self {
        let mut fleet = Fleet {
            began: cluster.now,
            controllers: BTreeMap::new(),
            owners: BTreeMap::new(),
            removed: Vec::new(),
            unreconciled: BTreeSet::new(),
            terminated: HashSet::new(),
            last_answers: HashMap::new(),
            expired_leases: BTreeMap::new(),
            absent: HashMap::new(),
            without_heartbeats: HashMap::new(),
            reassigned: HashMap::new(),
            reconciliation_awaited: false,
            replaced: None,
            machines: BTreeMap::new(),
        };
        if let Some(old) = before {
            fleet.terminated = old.terminated;
            fleet.last_answers = old.last_answers;
            fleet.absent = old.absent;
            fleet.without_heartbeats = old.without_heartbeats;
            fleet.reassigned = old.reassigned;
            fleet.reassigned.retain(|_, r| r.until > cluster.now);
            fleet.machines = old.machines;
            for machine in fleet.machines.values_mut() {
                machine.draining = machine.draining.map(|_| PlanSeq(1));
            }
        }
        let may_hold = cluster.replica.machines.iter().filter(|(id, record)| {
            record.up && record.gone.is_none() && !fleet.terminated.contains(*id)
        });
        fleet.unreconciled = may_hold.map(|(id, _)| id.clone()).collect();
        fleet
    }

    /// Whether a controller speaks for a machine: it owns it and follows a plan of this term that says so.
    /// What it remembers from an earlier term may be missing in its next summary without having ended.
    fn speaks_for(&self, node: NodeId, state: &ControllerState, id: &MachineId) -> bool {
        self.owners
            .get(id)
            .is_some_and(|owned| owned.owner == node && state.applied_plan >= owned.since)
            && !self.terminated.contains(id)
    }

    /// Machines as their owners' summaries show them, without those whose lease has expired since.
    fn owned_machines(&self) -> impl Iterator<Item = OwnedView<'_>> {
        self.controllers.iter().flat_map(|(owner, controller)| self.machines_of(*owner, controller))
    }

    /// The same of one controller.
    fn machines_of<'a>(
        &'a self,
        owner: NodeId,
        controller: &'a ControllerState,
    ) -> impl Iterator<Item = OwnedView<'a>> {
        let expired = |machine: &OwnedMachine| {
            let expired = self.expired_leases.get(&machine.view.id);
            expired.is_some_and(|epoch| machine.view.agent_epoch <= *epoch)
        };
        let owned = move |machine: &&OwnedMachine| {
            self.speaks_for(owner, controller, &machine.view.id) && !expired(machine)
        };
        let machines = controller.machines.values().filter(owned);
        machines.map(move |machine| OwnedView { machine, owner, controller })
    }

    /// Machine views from owners, as of their last summaries.
    pub fn views(&self) -> impl Iterator<Item = &MachineView> {
        self.owned_machines().map(|owned| &owned.machine.view)
    }

    /// Views of one owner's machines, as of its last summary.
    pub fn views_of(&self, owner: NodeId) -> impl Iterator<Item = &MachineView> {
        let controller = self.controllers.get(&owner).into_iter();
        let machines = controller.flat_map(move |controller| self.machines_of(owner, controller));
        machines.map(|owned| &owned.machine.view)
    }

    /// Where tasks are. Only a machine whose heartbeat carried this term's fencing token shows that: what is
    /// known of others may have ended and been started elsewhere since.
    pub fn on_machines(&self) -> TasksOnMachines<'_> {
        let mut on_machines = TasksOnMachines::default();
        for machine in self.views().filter(|view| view.reconciled) {
            for task in &machine.tasks {
                on_machines.insert(task.task, ObservedTask { machine, state: task.state });
            }
        }
        on_machines
    }

    fn owner_state(&self, id: &MachineId) -> Option<&ControllerState> {
        self.controllers.get(&self.owners.get(id)?.owner)
    }

    /// When the cloud preempts a machine, if it gave notice.
    pub fn preempted_at(&self, id: &MachineId) -> Option<MonotonicTime> {
        self.owner_state(id)?.notices.get(id).copied()
    }

    /// Whether a machine sent its owner a heartbeat within `ms` milliseconds, and its owner is not lost.
    pub fn sent_heartbeat_within(&self, now: MonotonicTime, id: &MachineId, ms: u64) -> bool {
        let owner =
            self.owner_state(id).filter(|state| now.since(state.received_at) < NODE_LOST_MS);
        let machine = owner.and_then(|state| state.machines.get(id));
        machine.is_some_and(|machine| now.since(machine.last_heartbeat) < ms)
    }

    /// Machines as placement sees them.
    pub fn targets(&self, cluster: &ClusterView<'_>) -> Vec<PlacementTarget> {
        let target = |owned: OwnedView<'_>| {
            let view = &owned.machine.view;
            let draining = self.machines.get(&view.id)?.draining.is_some();
            let machine = ObservedMachine {
                id: &view.id,
                machine_type: &view.machine_type,
                zone: &view.zone,
                spot: view.spot,
                images: &view.images,
                schedulable: !draining && owned.accepts_tasks(cluster),
            };
            let tasks = view.tasks.iter().map(|task| (task.task, task.state));
            PlacementTarget::of(machine, tasks, cluster.catalog, cluster.replica)
        };
        self.owned_machines().filter_map(target).collect()
    }

    /// Follows which controllers are members.
    pub fn follow_members(&mut self, cluster: &ClusterView<'_>) {
        for index in 0..cluster.nodes.len() {
            let id = NodeId(index as u8);
            if cluster.replica.members.contains_key(&id) {
                self.absent.remove(&id);
                continue;
            }
            let membership_changes =
                cluster.replica.membership_changes.get(&id).copied().unwrap_or(0);
            let now_absent = AbsentController { membership_changes, since: cluster.now };
            let absent = self.absent.entry(id).or_insert(now_absent);
            // It came and went unseen: its last renewal may be that much younger.
            if absent.membership_changes != membership_changes {
                *absent = now_absent;
            }
        }
    }
}

#[cfg(test)]
mod tests;
