//! What the controllers' summaries show: their own state, and the machines of their shard.
//!
//! A controller sends summaries, each whole or a difference to the one before, in pieces if it is long. The
//! pieces are applied together when the last one is there: a task that is missing for a while would be taken
//! for one that is nowhere.

use std::collections::{BTreeMap, HashMap};

use super::{Fleet, MANY_LEAST, NODE_LOST_MS, RECEIVES_MS, UNSERVED_MS};
use crate::cluster_view::ClusterView;
use crate::config::HeartbeatTiming;
use crate::model::{Incarnation, MachineId, MonotonicTime, NodeId, PlanSeq};
use crate::peer::{ForeignMachine, MachineView, Summary};

/// Milliseconds for which a controller that receives no heartbeats owns no machines.
const WITHOUT_HEARTBEATS_MS: u64 = 60_000;

/// What a controller's last summary showed.
pub struct ControllerState {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of its last summary.
    pub seq: u64,
    /// The plan that it follows.
    pub applied_plan: PlanSeq,
    /// The leader's clock that it echoed, in milliseconds.
    pub echoed_clock_ms: u64,
    /// Milliseconds for which its process had been up.
    pub uptime_ms: u64,
    /// Milliseconds since the store had last responded to it.
    pub since_store_response_ms: u64,
    /// Milliseconds since any worker had last sent it a heartbeat.
    pub since_heartbeat_ms: u64,
    /// When its last summary was received.
    pub received_at: MonotonicTime,
    /// When its first summary of this term was received, which contained all answers that it remembered.
    pub(super) first_received_at: MonotonicTime,
    /// Jobs that fail wherever it tries them.
    pub failing: Vec<u64>,
    /// Machines that send it heartbeats without being of its shard.
    pub(super) foreign_machines: Vec<ForeignMachine>,
    pub(super) restarted: Vec<MachineId>,
    /// When the cloud preempts machines of its shard.
    pub(super) notices: BTreeMap<MachineId, MonotonicTime>,
    pub(super) machines: BTreeMap<MachineId, OwnedMachine>,
    /// The first pieces of a summary whose last one has not come.
    pending: Option<PartialSummary>,
}

/// Pieces of a summary.
#[derive(Default)]
struct PartialSummary {
    /// Whether all that was known before is replaced.
    whole: bool,
    views: Vec<MachineView>,
    /// When the controller answered heartbeats of machines.
    answered: Vec<(MachineId, MonotonicTime)>,
}

/// A machine as its owner's summary shows it.
pub(super) struct OwnedMachine {
    pub view: MachineView,
    pub quarantined_until: MonotonicTime,
    /// When it last sent its owner a heartbeat.
    pub last_heartbeat: MonotonicTime,
}

/// A machine with the owner that speaks for it.
#[derive(Clone, Copy)]
pub(super) struct OwnedView<'a> {
    pub machine: &'a OwnedMachine,
    pub owner: NodeId,
    pub controller: &'a ControllerState,
}

impl OwnedView<'_> {
    /// Whether the machine may be given tasks, as far as its heartbeats and its owner show.
    pub fn accepts_tasks(&self, cluster: &ClusterView<'_>) -> bool {
        let OwnedView { machine, controller, .. } = self;
        cluster.now.since(controller.received_at) < NODE_LOST_MS
            && controller.since_store_response_ms < UNSERVED_MS / 2
            && cluster.now.since(machine.last_heartbeat)
                < cluster.settings.timing().unavailable_after_ms
            && machine.view.reconciled
            && !machine.view.leaving
            && machine.quarantined_until <= cluster.now
    }
}

/// What became of a summary.
#[derive(Debug, PartialEq, Eq)]
pub enum SummaryOutcome {
    /// It was applied, or held back until its other pieces are there.
    Applied {
        /// Whether it shows anything that an epoch should look at soon.
        changed: bool,
    },
    /// A later one was applied before.
    Late,
    /// The summary that it adds to was not received.
    MissingBase,
    /// It comes from a new incarnation of a controller that was counted with.
    NewIncarnation,
}

impl ControllerState {
    /// The state before the first summary is applied.
    fn new(incarnation: Incarnation, now: MonotonicTime) -> Self {
        ControllerState {
            incarnation,
            seq: 0,
            applied_plan: PlanSeq(0),
            echoed_clock_ms: 0,
            uptime_ms: 0,
            since_store_response_ms: 0,
            since_heartbeat_ms: 0,
            received_at: now,
            first_received_at: now,
            failing: Vec::new(),
            foreign_machines: Vec::new(),
            restarted: Vec::new(),
            notices: BTreeMap::new(),
            machines: BTreeMap::new(),
            pending: None,
        }
    }

    fn is_changed_by(&self, summary: &Summary) -> bool {
        self.foreign_machines.len() != summary.foreign_machines.len()
            || !summary.machines.is_empty()
            || self.applied_plan != summary.applied_plan
    }

    /// Applies what holds at once, whether more pieces follow or not; takes it out of the summary.
    fn apply_status(&mut self, now: MonotonicTime, summary: &mut Summary) {
        self.seq = summary.seq;
        self.uptime_ms = summary.uptime_ms;
        self.since_store_response_ms = summary.since_store_response_ms;
        self.since_heartbeat_ms = summary.since_heartbeat_ms;
        self.received_at = now;
        self.failing = std::mem::take(&mut summary.failing);
        self.foreign_machines = std::mem::take(&mut summary.foreign_machines);
        self.restarted = std::mem::take(&mut summary.restarted);
        let notices = std::mem::take(&mut summary.notices).into_iter();
        self.notices = notices.map(|(id, in_ms)| (id, now.plus(in_ms))).collect();
    }

    /// Applies all pieces of a summary to the machines.
    fn apply_machines(&mut self, now: MonotonicTime, pieces: PartialSummary) {
        let mut replaced = match pieces.whole {
            true => std::mem::take(&mut self.machines),
            false => BTreeMap::new(),
        };
        for view in pieces.views {
            let quarantined_until = now.plus(view.quarantine_ms);
            let known = replaced.remove(&view.id).or_else(|| self.machines.remove(&view.id));
            let last_heartbeat = known.map_or(MonotonicTime(0), |known| known.last_heartbeat);
            let id = view.id.clone();
            self.machines.insert(id, OwnedMachine { view, quarantined_until, last_heartbeat });
        }
        for (id, at) in pieces.answered {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.last_heartbeat = machine.last_heartbeat.max(at);
            }
        }
    }
}

impl Fleet {
    /// Applies a summary, or says why it cannot be applied.
    pub fn on_summary(&mut self, now: MonotonicTime, mut summary: Summary) -> SummaryOutcome {
        if let Some(refused) = self.refuse_summary(&summary) {
            return refused;
        }
        let node = summary.node;
        let new_state = || ControllerState::new(summary.incarnation, now);
        let state = self.controllers.entry(node).or_insert_with(new_state);
        let changed = state.is_changed_by(&summary);
        state.apply_status(now, &mut summary);
        let is_difference = summary.base_seq > 0;
        let mut pieces = state.pending.take().filter(|_| is_difference).unwrap_or_default();
        pieces.whole |= !is_difference;
        pieces.views.extend(summary.machines);
        for (id, age_ms) in summary.answered {
            let at = now.less(age_ms);
            let last_answer = self.last_answers.entry(id.clone()).or_default();
            *last_answer = (*last_answer).max(at);
            pieces.answered.push((id, at));
        }
        if summary.has_more {
            state.pending = Some(pieces);
            return SummaryOutcome::Applied { changed: false };
        }
        state.applied_plan = summary.applied_plan;
        state.echoed_clock_ms = summary.echoed_clock_ms;
        state.apply_machines(now, pieces);
        self.remove_reconciled(node);
        SummaryOutcome::Applied { changed }
    }

    fn refuse_summary(&self, summary: &Summary) -> Option<SummaryOutcome> {
        match self.controllers.get(&summary.node) {
            // Its predecessor may have started tasks that nobody knows of.
            Some(known) if known.incarnation != summary.incarnation => {
                Some(SummaryOutcome::NewIncarnation)
            }
            Some(known) if summary.seq <= known.seq => Some(SummaryOutcome::Late),
            Some(known) if summary.base_seq > known.seq => Some(SummaryOutcome::MissingBase),
            None if summary.base_seq > 0 => Some(SummaryOutcome::MissingBase),
            _ => None,
        }
    }

    /// Takes the machines out of `unreconciled` that showed this term's fencing token to their owner.
    fn remove_reconciled(&mut self, owner: NodeId) {
        if self.unreconciled.is_empty() {
            return;
        }
        let state = &self.controllers[&owner];
        let reconciled: Vec<MachineId> = state
            .machines
            .values()
            .map(|machine| &machine.view)
            .filter(|view| view.reconciled && self.speaks_for(owner, state, &view.id))
            .map(|view| view.id.clone())
            .collect();
        for id in reconciled {
            self.unreconciled.remove(&id);
        }
    }

    /// Controllers that are not lost.
    pub fn live_controllers(&self, now: MonotonicTime) -> Vec<NodeId> {
        let is_live = |state: &ControllerState| now.since(state.received_at) < NODE_LOST_MS;
        self.controllers.iter().filter(|(_, state)| is_live(state)).map(|(id, _)| *id).collect()
    }

    /// Controllers that may own machines: they are live, the store serves them, and workers reach them. One
    /// that the store refuses knows neither new jobs nor cancellations, and its right to answer ends soon.
    pub fn eligible_owners(&self, now: MonotonicTime) -> Vec<NodeId> {
        let served = |id: &NodeId| {
            self.controllers
                .get(id)
                .is_some_and(|state| state.since_store_response_ms < UNSERVED_MS)
        };
        let reached =
            |id: &NodeId| self.without_heartbeats.get(id).is_none_or(|until| *until <= now);
        let live_controllers = self.live_controllers(now).into_iter();
        live_controllers.filter(|id| served(id) && reached(id)).collect()
    }

    /// Records controllers that receive no heartbeats of their machines while others do: all their
    /// machines have to move at once. Found one by one, they would move a few in every term.
    pub fn record_controllers_without_heartbeats(
        &mut self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
    ) {
        let limit = timing.foreign_machine_ttl_ms + 1_000;
        if now.since(self.began) < limit + NODE_LOST_MS {
            return;
        }
        let eligible_owners = self.eligible_owners(now);
        let silent_ms =
            |id: &NodeId| self.controllers.get(id).map(|state| state.since_heartbeat_ms);
        if !eligible_owners.iter().any(|id| silent_ms(id).is_some_and(|ms| ms < RECEIVES_MS)) {
            return;
        }
        let mut owned_up: HashMap<NodeId, usize> = HashMap::new();
        for (id, owned) in &self.owners {
            if self.machines.get(id).is_some_and(|machine| machine.up) {
                *owned_up.entry(owned.owner).or_default() += 1;
            }
        }
        for id in eligible_owners {
            let silent =
                self.controllers.get(&id).is_some_and(|state| state.since_heartbeat_ms > limit);
            if silent && owned_up.get(&id).is_some_and(|count| *count >= MANY_LEAST) {
                tracing::warn!(node = id.0, "hears none of its machines");
                self.without_heartbeats.insert(id, now.plus(WITHOUT_HEARTBEATS_MS));
            }
        }
    }
}
