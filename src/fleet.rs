//! The machines as the leader knows them: who owns them, what their owners tell of them, and
//! the proofs that a machine, or what was on it, is gone.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::autoscaler::MachineOffer;
use crate::cluster_view::ClusterView;
use crate::config::HeartbeatTiming;
use crate::model::{AgentEpoch, Incarnation, MachineId, MonotonicTime, NodeId, PlanSeq, TaskId};
use crate::peer::{MachineView, Summary};
use crate::placement::PlacementTarget;
use crate::wire::{self, MachineListPage, TaskState};

mod lease_expiry;
mod ownership;
mod reconciliation;

/// A controller that has not been heard for that long is taken as lost.
pub const NODE_LOST_MS: u64 = 3_000;
/// A controller that the store has not served for that long hands its machines over; for half
/// of it, nothing new is granted to it.
const UNSERVED_MS: u64 = 5_000;
/// Time within which a machine must lose its session twice to be taken for one that is not
/// worth keeping.
const LOSING_MS: u64 = 60_000;
/// Least number of machines that are cut off rather than dead when they are silent together.
const MANY_LEAST: usize = 8;
/// How long a controller that hears no workers gets no part.
const UNHEARD_MS: u64 = 60_000;
/// A controller hears workers if one reported within that time.
const HEARS_MS: u64 = 2_000;
/// What is added to twice the lag of the cloud's list before a machine counts as missing in it.
const LIST_MARGIN_MS: u64 = 2_000;
/// Removed machines of which parts are told, before they are told all owners anew.
const GONE_TOLD: usize = 400;

/// What a controller told last.
pub struct ControllerState {
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its last summary's number.
    pub number: u64,
    /// The plan that it follows.
    pub applied_plan: PlanSeq,
    /// The leader's clock that it echoed.
    pub echo_ms: u64,
    /// How long its process had been up.
    pub up_ms: u64,
    /// How long the store had not served it.
    pub served_ms: u64,
    /// How long no worker had reported to it.
    pub heard_ms: u64,
    /// When that was heard.
    pub at: MonotonicTime,
    /// When its first summary of this term was, which told of all answers that it remembered.
    first: MonotonicTime,
    /// Jobs that fail wherever it tries them.
    pub failing: Vec<u64>,
    foreign_machines: Vec<crate::peer::ForeignMachine>,
    restarted: Vec<MachineId>,
    /// When the cloud takes machines of its part.
    notices: BTreeMap<MachineId, MonotonicTime>,
    machines: BTreeMap<MachineId, OwnedMachine>,
    /// What the first pieces of a summary told whose last one has not come.
    pending: Option<PartialSummary>,
}

/// Pieces of a summary.
#[derive(Default)]
struct PartialSummary {
    /// Whether all that was known before is replaced.
    whole: bool,
    views: Vec<MachineView>,
    answered: Vec<(MachineId, MonotonicTime)>,
}

/// A machine as its owner told of it.
struct OwnedMachine {
    view: MachineView,
    quarantined_until: MonotonicTime,
    /// When it last reported to its owner.
    heard: MonotonicTime,
}

/// What is known of a machine besides its reports.
#[derive(Clone, Debug)]
pub struct FleetMachine {
    /// What it is.
    pub offer: MachineOffer,
    /// When it was rented, as far as known.
    pub since: MonotonicTime,
    /// Whether it has reported.
    pub up: bool,
    /// Where its worker listens, once it has.
    pub endpoint: Rc<str>,
    /// When something last ran on it.
    pub busy: MonotonicTime,
    /// The plan from which on it takes nothing new.
    pub draining: Option<PlanSeq>,
    /// Whether the cloud says that it stopped by itself.
    pub failed: bool,
    agent_epoch: AgentEpoch,
    lost_agent_epoch: Option<MonotonicTime>,
    /// It lost its session twice in a short time.
    pub losing: bool,
    /// When the cloud first listed it.
    listed: Option<MonotonicTime>,
    /// A later list does not have it any more.
    pub missing: bool,
}

/// Whom a machine is given to that could not reach its owner.
struct Reassigned {
    /// The controller that heard it.
    node: NodeId,
    until: MonotonicTime,
}

/// A task that is on a machine.
#[derive(Clone, Copy)]
pub struct ObservedTask<'a> {
    /// The machine.
    pub machine: &'a MachineView,
    /// Its state there.
    pub state: TaskState,
}

/// Tasks on settled machines.
pub type TasksOnMachines<'a> = FxHashMap<TaskId, ObservedTask<'a>>;

/// What became of a summary.
#[derive(Debug, PartialEq, Eq)]
pub enum SummaryOutcome {
    /// It was taken; whether it tells anything that an epoch should look at.
    Yes(bool),
    /// It is late.
    Late,
    /// It adds to one that is not known.
    Gap,
    /// It comes from a new life of a controller that was counted with.
    NewIncarnation,
}

/// The machines in one term.
pub struct Fleet {
    began: MonotonicTime,
    /// What controllers told in this term.
    pub nodes: BTreeMap<NodeId, ControllerState>,
    /// Owner of each machine, and the first plan that names it.
    pub owners: BTreeMap<MachineId, (NodeId, PlanSeq)>,
    removed: Vec<(MachineId, PlanSeq)>,
    /// Machines that may still take or run what earlier terms ordered.
    pub unreconciled: BTreeSet<MachineId>,
    /// Machines that the cloud confirmed to be gone.
    pub gone: HashSet<MachineId>,
    heard: HashMap<MachineId, MonotonicTime>,
    /// Machines whose lease has run out, and the session that ended with it: what their owner
    /// still remembers of that session is over.
    pub expired_leases: BTreeMap<MachineId, AgentEpoch>,
    absent: HashMap<NodeId, (u64, MonotonicTime)>,
    /// Controllers that hear no workers, and until when they get no part for that.
    unheard: HashMap<NodeId, MonotonicTime>,
    /// Machines that could not reach their owner.
    reassigned: HashMap<MachineId, Reassigned>,
    /// Whether tasks wait for the proof that they are not on an unsettled machine.
    pub reconciliation_awaited: bool,
    /// The leader that was replaced as a majority did not hear it: its summary is not waited for.
    pub replaced: Option<NodeId>,
    /// All machines that are held.
    pub machines: BTreeMap<MachineId, FleetMachine>,
}

impl Fleet {
    /// Begins a term. What was known of machines stays; what was told of tasks does not.
    pub fn begin(cluster: &ClusterView<'_>, before: Option<Fleet>) -> Self {
        let mut fleet = Fleet {
            began: cluster.now,
            nodes: BTreeMap::new(),
            owners: BTreeMap::new(),
            removed: Vec::new(),
            unreconciled: BTreeSet::new(),
            gone: HashSet::new(),
            heard: HashMap::new(),
            expired_leases: BTreeMap::new(),
            absent: HashMap::new(),
            unheard: HashMap::new(),
            reassigned: HashMap::new(),
            reconciliation_awaited: false,
            replaced: None,
            machines: BTreeMap::new(),
        };
        if let Some(old) = before {
            fleet.gone = old.gone;
            fleet.heard = old.heard;
            fleet.absent = old.absent;
            fleet.unheard = old.unheard;
            fleet.reassigned = old.reassigned;
            fleet.reassigned.retain(|_, r| r.until > cluster.now);
            fleet.machines = old.machines;
            for m in fleet.machines.values_mut() {
                m.draining = m.draining.map(|_| PlanSeq(1));
            }
        }
        let may_hold = cluster
            .replica
            .machines
            .iter()
            .filter(|(id, m)| m.up && m.gone.is_none() && !fleet.gone.contains(*id));
        fleet.unreconciled = may_hold.map(|(id, _)| id.clone()).collect();
        fleet
    }

    /// Takes a summary.
    pub fn on_summary(&mut self, now: MonotonicTime, s: Summary) -> SummaryOutcome {
        match self.nodes.get(&s.node) {
            // Its predecessor may have started tasks that nobody knows of.
            Some(known) if known.incarnation != s.incarnation => {
                return SummaryOutcome::NewIncarnation;
            }
            Some(known) if s.number <= known.number => return SummaryOutcome::Late,
            Some(known) if s.base > known.number => return SummaryOutcome::Gap,
            None if s.base > 0 => return SummaryOutcome::Gap,
            _ => {}
        }
        let state = self.nodes.entry(s.node).or_insert_with(|| ControllerState {
            incarnation: s.incarnation,
            number: 0,
            applied_plan: PlanSeq(0),
            echo_ms: 0,
            up_ms: 0,
            served_ms: 0,
            heard_ms: 0,
            at: now,
            first: now,
            failing: Vec::new(),
            foreign_machines: Vec::new(),
            restarted: Vec::new(),
            notices: BTreeMap::new(),
            machines: BTreeMap::new(),
            pending: None,
        });
        let mut changed =
            state.foreign_machines.len() != s.foreign_machines.len() || !s.machines.is_empty();
        changed |= state.applied_plan != s.applied_plan;
        state.number = s.number;
        state.up_ms = s.up_ms;
        state.served_ms = s.served_ms;
        state.heard_ms = s.heard_ms;
        state.at = now;
        state.failing = s.failing;
        state.foreign_machines = s.foreign_machines;
        state.restarted = s.restarted;
        state.notices = s.notices.into_iter().map(|(id, ms)| (id, now.plus(ms))).collect();
        let answered = s.answered.into_iter().map(|(id, age)| (id, now.less(age)));
        let mut pieces = state.pending.take().filter(|_| s.base > 0).unwrap_or_default();
        pieces.whole |= s.base == 0;
        pieces.views.extend(s.machines);
        for (id, at) in answered {
            let heard = self.heard.entry(id.clone()).or_default();
            *heard = (*heard).max(at);
            pieces.answered.push((id, at));
        }
        if s.more {
            // What was known stays until all is there: a task that is missing for a while
            // would be taken for one that is nowhere.
            state.pending = Some(pieces);
            return SummaryOutcome::Yes(false);
        }
        state.applied_plan = s.applied_plan;
        state.echo_ms = s.echo_ms;
        let mut before = match pieces.whole {
            true => std::mem::take(&mut state.machines),
            false => BTreeMap::new(),
        };
        for view in pieces.views {
            let quarantined_until = now.plus(view.quarantine_ms);
            let old = before.remove(&view.id).or_else(|| state.machines.remove(&view.id));
            let heard = old.map_or(MonotonicTime(0), |k| k.heard);
            state.machines.insert(view.id.clone(), OwnedMachine { view, quarantined_until, heard });
        }
        for (id, at) in pieces.answered {
            if let Some(known) = state.machines.get_mut(&id) {
                known.heard = known.heard.max(at);
            }
        }
        let state = &self.nodes[&s.node];
        if !self.unreconciled.is_empty() {
            let reconciled: Vec<MachineId> = state
                .machines
                .values()
                .filter(|k| k.view.reconciled && self.speaks_for(s.node, state, &k.view.id))
                .map(|k| k.view.id.clone())
                .collect();
            for id in reconciled {
                self.unreconciled.remove(&id);
            }
        }
        SummaryOutcome::Yes(changed)
    }

    /// Controllers that are heard.
    pub fn live_controllers(&self, now: MonotonicTime) -> Vec<NodeId> {
        let heard = self.nodes.iter().filter(|(_, n)| now.since(n.at) < NODE_LOST_MS);
        heard.map(|(id, _)| *id).collect()
    }

    /// Controllers that may own machines: they are heard, the store serves them, and workers reach
    /// them. One that the store refuses knows neither new jobs nor cancellations, and its right to
    /// answer ends soon.
    pub fn eligible_owners(&self, now: MonotonicTime) -> Vec<NodeId> {
        let served = |id: &NodeId| self.nodes.get(id).is_some_and(|n| n.served_ms < UNSERVED_MS);
        let heard = |id: &NodeId| self.unheard.get(id).is_none_or(|until| *until <= now);
        self.live_controllers(now).into_iter().filter(|id| served(id) && heard(id)).collect()
    }

    /// Notes controllers that hear none of their machines while others hear theirs: all their
    /// machines have to move at once. Found one by one, they would move a few in every term.
    pub fn note_controllers_without_heartbeats(
        &mut self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
    ) {
        let limit = timing.out_of_reach_ms + 1_000;
        if now.since(self.began) < limit + NODE_LOST_MS {
            return;
        }
        let eligible_owners = self.eligible_owners(now);
        let hears = |id: &NodeId| self.nodes.get(id).is_some_and(|n| n.heard_ms < HEARS_MS);
        if !eligible_owners.iter().any(hears) {
            return;
        }
        let mut owned: HashMap<NodeId, usize> = HashMap::new();
        for (id, (owner, _)) in &self.owners {
            if self.machines.get(id).is_some_and(|m| m.up) {
                *owned.entry(*owner).or_default() += 1;
            }
        }
        for id in eligible_owners {
            let silent = self.nodes.get(&id).is_some_and(|n| n.heard_ms > limit);
            if silent && owned.get(&id).is_some_and(|n| *n >= MANY_LEAST) {
                tracing::warn!(node = id.0, "hears none of its machines");
                self.unheard.insert(id, now.plus(UNHEARD_MS));
            }
        }
    }

    /// Whether a controller speaks for a machine: it owns it and follows a plan of this term
    /// that says so. What it remembers from an earlier term may be missing in its next
    /// summary without having ended.
    fn speaks_for(&self, node: NodeId, state: &ControllerState, id: &MachineId) -> bool {
        self.owners
            .get(id)
            .is_some_and(|(owner, since)| *owner == node && state.applied_plan >= *since)
            && !self.gone.contains(id)
    }

    fn known(&self) -> impl Iterator<Item = (&OwnedMachine, NodeId, &ControllerState)> {
        self.nodes.iter().flat_map(move |(node, n)| {
            let told = n.machines.values();
            let over = |k: &&OwnedMachine| {
                self.expired_leases.get(&k.view.id).is_some_and(|s| k.view.agent_epoch <= *s)
            };
            told.filter(move |k| self.speaks_for(*node, n, &k.view.id) && !over(k))
                .map(move |k| (k, *node, n))
        })
    }

    /// Machine views from owners, as they last told.
    pub fn views(&self) -> impl Iterator<Item = &MachineView> {
        self.known().map(|(k, _, _)| &k.view)
    }

    /// Where tasks are. Only a machine that reported with this term's token tells that: what
    /// is known of others may have ended and been started elsewhere since.
    pub fn on_machines(&self) -> TasksOnMachines<'_> {
        let mut on = TasksOnMachines::default();
        for (k, _, _) in self.known().filter(|(k, _, _)| k.view.reconciled) {
            for t in &k.view.tasks {
                on.insert(t.task, ObservedTask { machine: &k.view, state: t.state });
            }
        }
        on
    }

    fn owner_state(&self, id: &MachineId) -> Option<&ControllerState> {
        self.nodes.get(&self.owners.get(id)?.0)
    }

    /// When the cloud takes a machine, if it gave notice.
    pub fn leaves(&self, id: &MachineId) -> Option<MonotonicTime> {
        self.owner_state(id)?.notices.get(id).copied()
    }

    /// Whether a machine reported to its owner, and its owner here, within that time.
    pub fn heard_within(&self, now: MonotonicTime, id: &MachineId, ms: u64) -> bool {
        let owner = self.owner_state(id).filter(|n| now.since(n.at) < NODE_LOST_MS);
        let known = owner.and_then(|n| n.machines.get(id));
        known.is_some_and(|k| now.since(k.heard) < ms)
    }

    /// Machines as placement sees them.
    pub fn targets(&self, cluster: &ClusterView<'_>) -> Vec<PlacementTarget> {
        let timing = cluster.settings.timing();
        self.known()
            .filter_map(|(k, _, n)| {
                let m = self.machines.get(&k.view.id)?;
                let v = &k.view;
                let open = cluster.now.since(n.at) < NODE_LOST_MS
                    && n.served_ms < UNSERVED_MS / 2
                    && cluster.now.since(k.heard) < timing.silent_ms
                    && m.draining.is_none()
                    && v.reconciled
                    && !v.leaving
                    && k.quarantined_until <= cluster.now;
                let tasks = v.tasks.iter().map(|t| (t.task, t.state));
                let what = (&v.id, &v.machine_type, &v.zone, v.spot);
                PlacementTarget::of(what, tasks, &v.images, cluster.catalog, cluster.replica, open)
            })
            .collect()
    }

    /// Follows which controllers are members.
    pub fn follow_members(&mut self, cluster: &ClusterView<'_>) {
        for n in 0..cluster.nodes.len() {
            let id = NodeId(n as u8);
            if cluster.replica.members.contains_key(&id) {
                self.absent.remove(&id);
            } else {
                let moves = cluster.replica.membership_changes.get(&id).copied().unwrap_or(0);
                let absent = self.absent.entry(id).or_insert((moves, cluster.now));
                // It came and went unseen: its last renewal may be that much younger.
                if absent.0 != moves {
                    *absent = (moves, cluster.now);
                }
            }
        }
    }

    fn is_gone(&self, cluster: &ClusterView<'_>, id: &MachineId) -> bool {
        self.gone.contains(id) || cluster.replica.is_machine_gone(id)
    }

    fn note_machine(&mut self, now: MonotonicTime, id: &MachineId, offer: MachineOffer) {
        if self.machines.contains_key(id) {
            return;
        }
        let machine = FleetMachine {
            offer,
            since: now,
            up: false,
            endpoint: "".into(),
            busy: now,
            draining: None,
            failed: false,
            agent_epoch: AgentEpoch(0),
            lost_agent_epoch: None,
            losing: false,
            listed: None,
            missing: false,
        };
        self.machines.insert(id.clone(), machine);
    }

    /// Takes machines that a rental brought or the cloud listed.
    pub fn add_provisioned(&mut self, now: MonotonicTime, ids: &[MachineId], offer: &MachineOffer) {
        for id in ids {
            if !self.gone.contains(id) {
                self.note_machine(now, id, offer.clone());
            }
        }
    }

    /// Takes what the cloud's list says of a machine. The list is old: it only adds machines
    /// and tells of failed ones.
    fn listed(&mut self, cluster: &ClusterView<'_>, listed: &wire::ListedMachine) {
        if self.is_gone(cluster, &listed.id) {
            return;
        }
        let offer = MachineOffer {
            machine_type: listed.machine_type.clone(),
            zone: listed.zone.clone(),
            spot: listed.spot,
        };
        let age = (listed.age_s.max(0.0) * 1000.0) as u64;
        self.note_machine(cluster.now, &listed.id, offer);
        if let Some(m) = self.machines.get_mut(&listed.id) {
            m.since = m.since.min(cluster.now.less(age));
            m.listed.get_or_insert(cluster.now);
            m.missing = false;
            m.failed |= listed.state == wire::CloudMachineState::Failed;
        }
    }

    /// Takes a page of the cloud's list as a whole: the machines after `after`, up to its last one
    /// unless it is the last page. A machine that was listed once stays listed until it is gone, but
    /// a list may be older than the one before, by twice the lag at most. That is no
    /// proof, only a reason to return it.
    pub fn listed_page(
        &mut self,
        cluster: &ClusterView<'_>,
        after: Option<&MachineId>,
        page: &MachineListPage,
    ) {
        page.machines.iter().for_each(|listed| self.listed(cluster, listed));
        let names: HashSet<&MachineId> = page.machines.iter().map(|h| &h.id).collect();
        let last = page.machines.last().map(|h| &h.id).filter(|_| page.truncated);
        let sure_ms = (cluster.settings.params.cloud.list_lag_s * 2_000.0) as u64 + LIST_MARGIN_MS;
        for (id, m) in &mut self.machines {
            let covered = after.is_none_or(|a| id > a) && last.is_none_or(|l| id <= l);
            let known = m.listed.is_some_and(|at| cluster.now.since(at) > sure_ms);
            m.missing |= covered && known && !names.contains(id);
        }
    }

    /// The cloud confirmed that these machines and all on them are gone; `next` is the plan
    /// that will say so.
    pub fn machines_gone(&mut self, ids: &[MachineId], next: PlanSeq) {
        for id in ids {
            self.gone.insert(id.clone());
            if self.owners.remove(id).is_some() {
                self.removed.push((id.clone(), next));
            }
            if self.removed.len() > GONE_TOLD {
                self.removed.remove(0);
            }
            self.unreconciled.remove(id);
            self.machines.remove(id);
            self.heard.remove(id);
            self.expired_leases.remove(id);
        }
    }

    /// Learns from reports whether machines are up, busy, and able to keep their sessions.
    pub fn learn(&mut self, now: MonotonicTime) {
        let mut machines = std::mem::take(&mut self.machines);
        for (k, _, _) in self.known() {
            let Some(m) = machines.get_mut(&k.view.id) else { continue };
            if !m.up || !k.view.tasks.is_empty() {
                m.busy = now;
            }
            m.up = true;
            if m.endpoint.is_empty() {
                m.endpoint = k.view.endpoint.clone();
            }
            if k.view.agent_epoch > m.agent_epoch {
                if m.agent_epoch > AgentEpoch(0) {
                    m.losing |= m.lost_agent_epoch.is_some_and(|at| now.since(at) < LOSING_MS);
                    m.lost_agent_epoch = Some(now);
                }
                m.agent_epoch = k.view.agent_epoch;
            }
        }
        self.machines = machines;
    }
}

#[cfg(test)]
mod tests;
