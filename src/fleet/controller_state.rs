//! State of the controllers and of the machines in their shards, as shown by summaries.
//!
//! A summary is either full or contains the changes since an earlier summary. A long summary is
//! sent in several parts, which are applied together once the last part has arrived. Otherwise a
//! task in a part that has not arrived would be taken for one that is on no machine.

use std::collections::{BTreeMap, HashMap};

use super::{
    CONTROLLER_LOST_AFTER_MS, Fleet, MIN_PARTITIONED_MACHINES, RECENT_HEARTBEAT_MS,
    STORE_SILENCE_HANDOVER_MS,
};
use crate::cluster_view::ClusterView;
use crate::config::HeartbeatTiming;
use crate::model::{Incarnation, MachineId, MonotonicTime, NodeId, PlanSeq};
use crate::peer::{ForeignMachine, MachineView, Summary};

/// Milliseconds for which a controller that receives no heartbeats is excluded from owning
/// machines.
const NO_HEARTBEATS_EXCLUSION_MS: u64 = 60_000;

/// State of a controller, as shown by its last summary.
pub struct ControllerState {
    /// Incarnation of the controller's process.
    pub incarnation: Incarnation,
    /// Sequence number of the last summary.
    pub seq: u64,
    /// Last plan that the controller applied.
    pub applied_plan: PlanSeq,
    /// Reading of the leader's clock, in milliseconds, that the controller echoed; 0 if it has
    /// echoed none.
    pub echoed_clock_ms: u64,
    /// Uptime of the controller's process in milliseconds at the last summary.
    pub uptime_ms: u64,
    /// Milliseconds from the controller's last request that the state service confirmed until the
    /// last summary.
    pub since_store_response_ms: u64,
    /// Milliseconds from the last heartbeat of any worker to the controller until the last summary.
    pub since_heartbeat_ms: u64,
    /// Time at which the last summary was received.
    pub received_at: MonotonicTime,
    /// Time at which the first summary of this term was received. That summary listed every
    /// heartbeat response that the controller remembered.
    pub(super) first_received_at: MonotonicTime,
    /// Numbers of the jobs that the controller considers faulty, as their tasks failed on several
    /// machines.
    pub failing: Vec<u64>,
    /// Machines outside the controller's shard that send it heartbeats.
    pub(super) foreign_machines: Vec<ForeignMachine>,
    /// Machines that were restarted and whose heartbeats are numbered from the start again.
    pub(super) restarted: Vec<MachineId>,
    /// Time at which the cloud preempts each machine of the shard that received a notice.
    pub(super) notices: BTreeMap<MachineId, MonotonicTime>,
    pub(super) machines: BTreeMap<MachineId, OwnedMachine>,
    /// Parts of a summary whose last part has not arrived.
    pending: Option<PartialSummary>,
}

/// Parts of one summary.
#[derive(Default)]
struct PartialSummary {
    /// Whether the summary is full and replaces all earlier machine views.
    is_full: bool,
    views: Vec<MachineView>,
    /// Times at which the controller answered heartbeats, by machine.
    answered: Vec<(MachineId, MonotonicTime)>,
}

/// Machine as shown by its owner's summary.
pub(super) struct OwnedMachine {
    pub view: MachineView,
    /// Time until which the machine is quarantined, so that it receives no new tasks.
    pub quarantined_until: MonotonicTime,
    /// Time of the machine's last heartbeat that the owner answered.
    pub last_heartbeat: MonotonicTime,
}

/// Machine together with the owner that is authoritative for it.
#[derive(Clone, Copy)]
pub(super) struct OwnedView<'a> {
    pub machine: &'a OwnedMachine,
    pub owner: NodeId,
    pub controller: &'a ControllerState,
}

impl OwnedView<'_> {
    /// Whether the machine may receive tasks, judged by its heartbeats and the state of its owner.
    pub fn accepts_tasks(&self, cluster: &ClusterView<'_>) -> bool {
        let OwnedView { machine, controller, .. } = self;
        cluster.now.since(controller.received_at) < CONTROLLER_LOST_AFTER_MS
            && controller.since_store_response_ms < STORE_SILENCE_HANDOVER_MS / 2
            && cluster.now.since(machine.last_heartbeat)
                < cluster.settings.timing().unavailable_after_ms
            && machine.view.reconciled
            && !machine.view.leaving
            && machine.quarantined_until <= cluster.now
    }
}

/// Result of applying a summary.
#[derive(Debug, PartialEq, Eq)]
pub enum SummaryOutcome {
    /// The summary was applied, or stored until its remaining parts arrive.
    Applied {
        /// Whether the summary contains changes that an epoch should process soon.
        changed: bool,
    },
    /// This summary or a later one was applied before.
    Stale,
    /// The summary builds on one that was not received.
    MissingBase,
    /// The summary comes from a new incarnation of a controller that already sent summaries in this
    /// term.
    NewIncarnation,
}

impl ControllerState {
    /// Creates the state before the first summary is applied.
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

    /// Applies the fields that are valid without the remaining parts, and removes the lists among
    /// them from the summary.
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

    /// Applies the machine views and heartbeat responses from all parts of a summary.
    fn apply_machines(&mut self, now: MonotonicTime, parts: PartialSummary) {
        let mut previous = match parts.is_full {
            true => std::mem::take(&mut self.machines),
            false => BTreeMap::new(),
        };
        for view in parts.views {
            let quarantined_until = now.plus(view.quarantine_ms);
            let known = previous.remove(&view.id).or_else(|| self.machines.remove(&view.id));
            let last_heartbeat = known.map_or(MonotonicTime(0), |known| known.last_heartbeat);
            let id = view.id.clone();
            self.machines.insert(id, OwnedMachine { view, quarantined_until, last_heartbeat });
        }
        for (id, at) in parts.answered {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.last_heartbeat = machine.last_heartbeat.max(at);
            }
        }
    }
}

impl Fleet {
    /// Applies a summary, or returns the reason why it cannot be applied.
    pub fn on_summary(&mut self, now: MonotonicTime, mut summary: Summary) -> SummaryOutcome {
        if let Some(refused) = self.refuse_summary(&summary) {
            return refused;
        }
        let node = summary.node;
        let new_state = || ControllerState::new(summary.incarnation, now);
        let state = self.controllers.entry(node).or_insert_with(new_state);
        let changed = state.is_changed_by(&summary);
        state.apply_status(now, &mut summary);
        let is_incremental = summary.base_seq > 0;
        let mut parts = state.pending.take().filter(|_| is_incremental).unwrap_or_default();
        parts.is_full |= !is_incremental;
        parts.views.extend(summary.machines);
        for (id, age_ms) in summary.answered {
            let at = now.saturating_sub(age_ms);
            let last_answer = self.last_answers.entry(id.clone()).or_default();
            *last_answer = (*last_answer).max(at);
            parts.answered.push((id, at));
        }
        if summary.has_more {
            state.pending = Some(parts);
            return SummaryOutcome::Applied { changed: false };
        }
        state.applied_plan = summary.applied_plan;
        state.echoed_clock_ms = summary.echoed_clock_ms;
        state.apply_machines(now, parts);
        self.remove_reconciled(node);
        SummaryOutcome::Applied { changed }
    }

    fn refuse_summary(&self, summary: &Summary) -> Option<SummaryOutcome> {
        match self.controllers.get(&summary.node) {
            // The previous incarnation may have started tasks that no controller knows of.
            Some(known) if known.incarnation != summary.incarnation => {
                Some(SummaryOutcome::NewIncarnation)
            }
            Some(known) if summary.seq <= known.seq => Some(SummaryOutcome::Stale),
            Some(known) if summary.base_seq > known.seq => Some(SummaryOutcome::MissingBase),
            None if summary.base_seq > 0 => Some(SummaryOutcome::MissingBase),
            _ => None,
        }
    }

    /// Removes machines from `unreconciled` that showed this term's fencing token to their owner.
    fn remove_reconciled(&mut self, owner: NodeId) {
        if self.unreconciled.is_empty() {
            return;
        }
        let state = &self.controllers[&owner];
        let reconciled: Vec<MachineId> = state
            .machines
            .values()
            .map(|machine| &machine.view)
            .filter(|view| view.reconciled && self.is_authoritative(owner, state, &view.id))
            .map(|view| view.id.clone())
            .collect();
        for id in reconciled {
            self.unreconciled.remove(&id);
        }
    }

    /// Returns the controllers that are not lost.
    pub fn live_controllers(&self, now: MonotonicTime) -> Vec<NodeId> {
        let is_live =
            |state: &ControllerState| now.since(state.received_at) < CONTROLLER_LOST_AFTER_MS;
        self.controllers.iter().filter(|(_, state)| is_live(state)).map(|(id, _)| *id).collect()
    }

    /// Returns the controllers that may own machines: live, served by the state service, and
    /// reached by workers. A controller refused by the state service learns of neither new jobs nor
    /// cancellations, and its right to answer heartbeats ends soon.
    pub fn eligible_owners(&self, now: MonotonicTime) -> Vec<NodeId> {
        let served = |id: &NodeId| {
            self.controllers
                .get(id)
                .is_some_and(|state| state.since_store_response_ms < STORE_SILENCE_HANDOVER_MS)
        };
        let reached =
            |id: &NodeId| self.without_heartbeats.get(id).is_none_or(|until| *until <= now);
        let live_controllers = self.live_controllers(now).into_iter();
        live_controllers.filter(|id| served(id) && reached(id)).collect()
    }

    /// Records controllers that receive no heartbeats from their machines while other controllers
    /// do. All machines of such a controller have to be reassigned at once: if the machines were
    /// detected one by one, only a few would be reassigned in each term.
    pub fn record_controllers_without_heartbeats(
        &mut self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
    ) {
        let limit_ms = timing.foreign_machine_ttl_ms + 1_000;
        if now.since(self.started_at) < limit_ms + CONTROLLER_LOST_AFTER_MS {
            return;
        }
        let eligible_owners = self.eligible_owners(now);
        let silent_ms =
            |id: &NodeId| self.controllers.get(id).map(|state| state.since_heartbeat_ms);
        if !eligible_owners
            .iter()
            .any(|id| silent_ms(id).is_some_and(|ms| ms < RECENT_HEARTBEAT_MS))
        {
            return;
        }
        let mut machines_up: HashMap<NodeId, usize> = HashMap::new();
        for (id, owned) in &self.owners {
            if self.machines.get(id).is_some_and(|machine| machine.up) {
                *machines_up.entry(owned.owner).or_default() += 1;
            }
        }
        for id in eligible_owners {
            let silent =
                self.controllers.get(&id).is_some_and(|state| state.since_heartbeat_ms > limit_ms);
            if silent
                && machines_up.get(&id).is_some_and(|count| *count >= MIN_PARTITIONED_MACHINES)
            {
                tracing::warn!(node = id.0, "controller received no heartbeats from its machines");
                self.without_heartbeats.insert(id, now.plus(NO_HEARTBEATS_EXCLUSION_MS));
            }
        }
    }
}
