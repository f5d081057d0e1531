//! State of all machines as the leader knows it during one term.
//!
//! [`Fleet`] holds the owner of each machine (`ownership`), the machine state from the owners'
//! summaries (`controller_state`), the leader's own record of each machine (`machine_records`), and
//! the proofs that a machine, or the tasks on it, are gone (`lease_expiry`, `reconciliation`).
//!
//! Invariants, argued in `docs/safety.md`:
//! - A controller is authoritative for a machine only if it owns the machine and has applied a plan
//!   of the current term that says so.
//! - A machine is removed from `unreconciled` only when it showed the current term's fencing token,
//!   its worker's lease expired at every controller, or the cloud confirmed its termination.

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

/// Milliseconds without a summary after which a controller is considered lost.
pub const CONTROLLER_LOST_AFTER_MS: u64 = 3_000;
/// Milliseconds without a response from the state service after which a controller's machines are
/// reassigned. From half of this time on, the controller's machines get no new tasks.
const STORE_SILENCE_HANDOVER_MS: u64 = 5_000;
/// Number of machines whose simultaneous silence indicates a network partition rather than machine
/// failures: at least this many at one controller, or more than this many in the whole fleet.
const MIN_PARTITIONED_MACHINES: usize = 8;
/// Milliseconds within which a heartbeat must have arrived for a controller to count as receiving
/// heartbeats.
const RECENT_HEARTBEAT_MS: u64 = 2_000;

/// Owner of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Controller that owns the machine.
    pub owner: NodeId,
    /// First plan that names this owner.
    pub since: PlanSeq,
}

/// Machine that had an owner until the cloud confirmed its termination.
struct RemovedMachine {
    id: MachineId,
    /// First plan that lists the machine as removed.
    since: PlanSeq,
}

/// Controller that a machine is assigned to next because the machine could not reach its owner.
struct Reassignment {
    /// Controller that received the machine's heartbeats.
    node: NodeId,
    /// Time at which the reassignment expires.
    until: MonotonicTime,
}

/// Task on a machine, as shown by the owner's summary.
#[derive(Clone, Copy)]
pub struct ObservedTask<'a> {
    /// Machine that holds the task.
    pub machine: &'a MachineView,
    /// State of the task on the machine.
    pub state: TaskState,
}

/// Tasks on reconciled machines.
pub type TasksOnMachines<'a> = FxHashMap<TaskId, ObservedTask<'a>>;

/// Controller without a member record.
#[derive(Clone, Copy)]
struct AbsentController {
    /// Number of times the controller had become a member or left when its absence was recorded.
    membership_changes: u64,
    /// Time at which the absence was recorded.
    since: MonotonicTime,
}

/// Machines and their owners during one term.
pub struct Fleet {
    /// Time at which the term started at this leader.
    started_at: MonotonicTime,
    /// State of each controller from the summaries received in this term.
    pub controllers: BTreeMap<NodeId, ControllerState>,
    /// Owner of each machine.
    pub owners: BTreeMap<MachineId, Ownership>,
    /// Owned machines whose termination was confirmed, in order of removal; only the most recent
    /// ones are kept.
    removed: Vec<RemovedMachine>,
    /// Machines that may still accept commands of earlier terms or run tasks started by such
    /// commands.
    pub unreconciled: BTreeSet<MachineId>,
    /// Machines whose termination the cloud confirmed.
    pub terminated: HashSet<MachineId>,
    /// Time of the last heartbeat response from any controller to each machine.
    last_answers: HashMap<MachineId, MonotonicTime>,
    /// Machines whose lease expired, with the agent epoch that ended with the lease. Any state of
    /// that epoch still known to the machine's owner is obsolete.
    pub expired_leases: BTreeMap<MachineId, AgentEpoch>,
    /// Controllers without a member record.
    absent: HashMap<NodeId, AbsentController>,
    /// Controllers that receive no heartbeats, with the time until which they own no machines for
    /// this reason.
    without_heartbeats: HashMap<NodeId, MonotonicTime>,
    /// Machines that could not reach their owner, with the controller they are assigned to next.
    reassignments: HashMap<MachineId, Reassignment>,
    /// Whether any task waits for the proof that it is not on an unreconciled machine.
    pub reconciliation_awaited: bool,
    /// Former leader that was replaced because it did not reach a majority. Machine assignment does
    /// not wait for its summary.
    pub replaced_leader: Option<NodeId>,
    /// All provisioned machines whose termination is not confirmed.
    pub machines: BTreeMap<MachineId, FleetMachine>,
}

impl Fleet {
    /// Starts a term. Keeps what is known about machines and discards the task state from
    /// summaries.
    pub fn begin(cluster: &ClusterView<'_>, before: Option<Fleet>) -> Self {
        let mut fleet = Fleet {
            started_at: cluster.now,
            controllers: BTreeMap::new(),
            owners: BTreeMap::new(),
            removed: Vec::new(),
            unreconciled: BTreeSet::new(),
            terminated: HashSet::new(),
            last_answers: HashMap::new(),
            expired_leases: BTreeMap::new(),
            absent: HashMap::new(),
            without_heartbeats: HashMap::new(),
            reassignments: HashMap::new(),
            reconciliation_awaited: false,
            replaced_leader: None,
            machines: BTreeMap::new(),
        };
        if let Some(old) = before {
            fleet.terminated = old.terminated;
            fleet.last_answers = old.last_answers;
            fleet.absent = old.absent;
            fleet.without_heartbeats = old.without_heartbeats;
            fleet.reassignments = old.reassignments;
            fleet.reassignments.retain(|_, r| r.until > cluster.now);
            fleet.machines = old.machines;
            // Draining machines are drained from the first plan of the new term on.
            for machine in fleet.machines.values_mut() {
                machine.draining = machine.draining.map(|_| PlanSeq(1));
            }
        }
        let may_hold = cluster.replica.machines.iter().filter(|(id, record)| {
            record.up && record.terminated_at.is_none() && !fleet.terminated.contains(*id)
        });
        fleet.unreconciled = may_hold.map(|(id, _)| id.clone()).collect();
        fleet
    }

    /// Whether a controller is authoritative for a machine: the controller owns the machine and has
    /// applied a plan of this term that says so. Tasks that the controller knows from an earlier
    /// term may be missing in its next summary without having ended.
    fn is_authoritative(&self, node: NodeId, state: &ControllerState, id: &MachineId) -> bool {
        self.owners
            .get(id)
            .is_some_and(|owned| owned.owner == node && state.applied_plan >= owned.since)
            && !self.terminated.contains(id)
    }

    /// Returns the machines as shown by their owners' summaries, without machines whose lease has
    /// expired since.
    fn owned_machines(&self) -> impl Iterator<Item = OwnedView<'_>> {
        self.controllers.iter().flat_map(|(owner, controller)| self.machines_of(*owner, controller))
    }

    /// Returns the machines of one controller, selected as in [`Self::owned_machines`].
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
            self.is_authoritative(owner, controller, &machine.view.id) && !expired(machine)
        };
        let machines = controller.machines.values().filter(owned);
        machines.map(move |machine| OwnedView { machine, owner, controller })
    }

    /// Returns the views of all machines from their owners' last summaries.
    pub fn views(&self) -> impl Iterator<Item = &MachineView> {
        self.owned_machines().map(|owned| &owned.machine.view)
    }

    /// Returns the views of one owner's machines from the owner's last summary.
    pub fn views_of(&self, owner: NodeId) -> impl Iterator<Item = &MachineView> {
        let controller = self.controllers.get(&owner).into_iter();
        let machines = controller.flat_map(move |controller| self.machines_of(owner, controller));
        machines.map(|owned| &owned.machine.view)
    }

    /// Returns the locations of tasks on reconciled machines. Only a machine whose heartbeat
    /// carried this term's fencing token proves a location: tasks known from other machines may
    /// have ended and been started elsewhere since.
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

    /// Returns the time at which the cloud preempts a machine, if it sent a preemption notice.
    pub fn preempted_at(&self, id: &MachineId) -> Option<MonotonicTime> {
        self.owner_state(id)?.notices.get(id).copied()
    }

    /// Whether a machine sent its owner a heartbeat within the last `ms` milliseconds and the owner
    /// is not lost.
    pub fn sent_heartbeat_within(&self, now: MonotonicTime, id: &MachineId, ms: u64) -> bool {
        let owner = self
            .owner_state(id)
            .filter(|state| now.since(state.received_at) < CONTROLLER_LOST_AFTER_MS);
        let machine = owner.and_then(|state| state.machines.get(id));
        machine.is_some_and(|machine| now.since(machine.last_heartbeat) < ms)
    }

    /// Returns the machines as placement targets.
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

    /// Updates the absent controllers from the replica's member records.
    pub fn update_absent_controllers(&mut self, cluster: &ClusterView<'_>) {
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
            // The controller joined and left unobserved, so its last renewal may be later than the
            // recorded absence allows. The absence starts anew.
            if absent.membership_changes != membership_changes {
                *absent = now_absent;
            }
        }
    }
}

#[cfg(test)]
mod tests;
