//! Machines that are silent: when what they ran is proven over, and which are returned.
//!
//! `docs/safety.md` argues why an expired lease proves that no task of the machine runs any more. Returning a
//! machine is never a proof by itself: the cloud's answer is.

use std::collections::{HashMap, HashSet};

use super::{Fleet, FleetMachine, MANY_LEAST, OwnedView, RECEIVES_MS};
use crate::cluster_view::ClusterView;
use crate::lease::{last_possible_answer, plus_drift};
use crate::model::{AgentEpoch, MachineId, MonotonicTime, NodeId};

/// More than one of so many machines count as cut off rather than dead when they are silent together.
const CUT_OFF_DIVISOR: usize = 6;
/// Milliseconds for which machines that are cut off are waited for.
const CUT_OFF_MS: u64 = 60_000;
/// One of so many machines is returned when only such few keep a proof waiting. In a small fleet one
/// machine is much of it.
const FEW_DIVISOR: usize = 50;
/// Milliseconds beyond the time between two heartbeats for which those few are waited for.
const FEW_WAIT_MS: u64 = 6_000;
/// Milliseconds of silence beyond a lease after which a machine is returned though the term is young.
const LONG_SILENT_MS: u64 = 3_000;
/// Milliseconds beyond a lease before it counts as expired, and before a machine is returned for that.
const EXPIRY_MARGIN_MS: u64 = 500;
const RETURN_MARGIN_MS: u64 = 1_000;
/// A machine that never came up is returned after that multiple of its boot time, and at least that many
/// milliseconds.
const NEVER_UP_BOOT_MULTIPLE: f64 = 4.0;
const NEVER_UP_LEAST_MS: f64 = 90_000.0;
/// Boot time in seconds of a machine whose type the catalog does not have.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Machines that are returned at a time.
const RETURNED_AT_ONCE: usize = 100;

/// What is known of the answers to heartbeats of all controllers together. An answer renews a lease.
struct AnswerBounds {
    /// Up to that moment, all answers are known or bounded by `last_unknown`.
    known_until: MonotonicTime,
    /// No summary shows answers before that moment; each could be one to any machine.
    last_unknown: MonotonicTime,
}

impl Fleet {
    /// Declares machines empty whose lease has certainly expired: every controller says, as of a moment a whole
    /// lease after the last answer anyone gave, that it gave no later one.
    pub fn expire_leases(&mut self, cluster: &ClusterView<'_>) {
        let Some(bounds) = self.answer_bounds(cluster) else { return };
        let lease_ms = plus_drift(cluster.settings.worker_lease_ms()) + EXPIRY_MARGIN_MS;
        let expired = |id: &MachineId| {
            let last_answer = self.last_answers.get(id).copied().unwrap_or_default();
            last_answer.max(bounds.last_unknown).plus(lease_ms) < bounds.known_until
        };
        let expired_leases: Vec<(MachineId, AgentEpoch)> = self
            .views()
            .filter(|view| view.reconciled && expired(&view.id))
            .map(|view| (view.id.clone(), view.agent_epoch))
            .collect();
        let unreconciled: Vec<MachineId> =
            self.unreconciled.iter().filter(|id| expired(id)).cloned().collect();
        for (id, agent_epoch) in expired_leases {
            tracing::warn!(machine = %id, "lease has run out at every controller");
            self.expired_leases.insert(id, agent_epoch);
        }
        for id in unreconciled {
            tracing::warn!(machine = %id, "lease has run out at every controller");
            // Its agent epoch is over, so nothing of earlier terms runs there; should it come
            // back, its heartbeats carry a newer one.
            self.unreconciled.remove(&id);
        }
    }

    /// The bounds of answers of all controllers, or `None` while one neither sent a summary nor is known to be absent.
    fn answer_bounds(&self, cluster: &ClusterView<'_>) -> Option<AnswerBounds> {
        let mut known_until = MonotonicTime(u64::MAX);
        let mut last_unknown = MonotonicTime(0);
        let remembered_ms = cluster.settings.timing().answer_memory_ms;
        for index in 0..cluster.nodes.len() {
            let id = NodeId(index as u8);
            match self.controllers.get(&id) {
                Some(state) if state.echoed_clock_ms > 0 => {
                    known_until = known_until.min(MonotonicTime(state.echoed_clock_ms));
                    // Its predecessor ended before this process started.
                    last_unknown = last_unknown
                        .max(state.received_at.less(state.uptime_ms))
                        .max(state.first_received_at.less(remembered_ms));
                }
                _ => {
                    let absent = self.absent.get(&id)?;
                    known_until = known_until.min(cluster.synced_at);
                    let bound =
                        last_possible_answer(absent.since, cluster.settings.keep_alive_ms());
                    last_unknown = last_unknown.max(bound);
                }
            }
        }
        Some(AnswerBounds { known_until, last_unknown })
    }

    /// Machines that may be returned now: drained and empty, failed, silent beyond any lease, unable to
    /// receive this term's answers, or never come up. What is on them ends with them, and the cloud's answer
    /// proves it.
    pub fn machines_to_scale_in(&self, cluster: &ClusterView<'_>) -> Vec<MachineId> {
        let check = ReturnCheck::new(self, cluster);
        self.machines
            .iter()
            .filter(|(id, machine)| check.may_return(id, machine))
            .map(|(id, _)| id.clone())
            .take(RETURNED_AT_ONCE)
            .collect()
    }

    /// Whether silence of a machine can only be its own: all controllers send summaries, none of them restarted
    /// lately, and its owner receives heartbeats of others. A machine that is merely cut off for longer would
    /// lose its tasks with its lease anyway.
    fn receives_well(&self, cluster: &ClusterView<'_>, owner: NodeId) -> bool {
        let stable_ms = plus_drift(cluster.settings.worker_lease_ms()) + 5_000;
        self.controllers.len() == cluster.nodes.len()
            && self.controllers.values().all(|state| {
                cluster.now.since(state.received_at) < 1_000 && state.uptime_ms > stable_ms
            })
            && self.owned_machines().any(|owned| {
                owned.owner == owner && cluster.now.since(owned.machine.last_heartbeat) < 2_000
            })
    }
}

/// What one look for machines to return goes by.
struct ReturnCheck<'a> {
    fleet: &'a Fleet,
    cluster: &'a ClusterView<'a>,
    owned: HashMap<&'a MachineId, OwnedView<'a>>,
    /// Machines whose heartbeats count from the start again.
    restarted: HashSet<&'a MachineId>,
    /// Machines that send heartbeats to a controller that does not own them.
    foreign: HashSet<&'a MachineId>,
    /// Controllers at which silence of a machine can only be its own.
    receiving_well: Vec<NodeId>,
    /// A lease with the clocks' drift and a margin, in milliseconds.
    lease_ms: u64,
    /// Whether each machine that is up has had a whole lease to send a heartbeat to this term's controllers.
    all_had_a_lease: bool,
    /// Whether what an older controller kept alive has had time to come over, too.
    all_came_over: bool,
    /// Whether only a few machines keep the proof waiting that all are reconciled.
    few_unreconciled: bool,
    /// Whether so many machines are silent that they are cut off rather than dead.
    cut_off: bool,
}

impl<'a> ReturnCheck<'a> {
    fn new(fleet: &'a Fleet, cluster: &'a ClusterView<'a>) -> Self {
        let term_ms = cluster.now.since(fleet.began);
        let lease_ms = plus_drift(cluster.settings.worker_lease_ms()) + RETURN_MARGIN_MS;
        let keep_alive_ms = plus_drift(cluster.settings.keep_alive_ms());
        let timing = cluster.settings.timing();
        let up = fleet.machines.values().filter(|machine| machine.up).count();
        let foreign = fleet.controllers.values().flat_map(|state| &state.foreign_machines);
        let mut check = ReturnCheck {
            fleet,
            cluster,
            owned: fleet.owned_machines().map(|owned| (&owned.machine.view.id, owned)).collect(),
            restarted: fleet.controllers.values().flat_map(|state| &state.restarted).collect(),
            foreign: foreign
                .filter(|machine| machine.silent_ms < timing.foreign_machine_ms)
                .map(|machine| &machine.id)
                .collect(),
            receiving_well: fleet
                .controllers
                .keys()
                .copied()
                .filter(|node| fleet.receives_well(cluster, *node))
                .collect(),
            lease_ms,
            all_had_a_lease: term_ms > lease_ms,
            all_came_over: term_ms > lease_ms + keep_alive_ms,
            // The last few that do not show the token have mostly stopped, and what they may still run
            // keeps tasks of many jobs waiting for a whole lease.
            few_unreconciled: fleet.reconciliation_awaited
                && are_few(fleet.unreconciled.len(), up)
                && term_ms > timing.max_interval_ms + FEW_WAIT_MS,
            cut_off: false,
        };
        // Many that fall silent at once are cut off: what they ran is proven over by their
        // leases, and they will be wanted when they are back, with their images.
        let is_silent = |id: &MachineId| check.silent_ms(id) > timing.presumed_stopped_ms;
        let machines = fleet.machines.iter();
        let silent = machines.filter(|(id, machine)| machine.up && is_silent(id)).count();
        check.cut_off = silent > (up / CUT_OFF_DIVISOR).max(MANY_LEAST);
        check
    }

    /// Milliseconds since a controller last answered the machine, or since the term began.
    fn silent_ms(&self, id: &MachineId) -> u64 {
        let last_answer = self.fleet.last_answers.get(id).copied();
        self.cluster.now.since(last_answer.unwrap_or(self.fleet.began))
    }

    fn may_return(&self, id: &MachineId, machine: &FleetMachine) -> bool {
        // What ran before it was restarted is over, but nobody can distinguish its heartbeats from
        // late copies of earlier ones.
        if self.restarted.contains(id) || machine.failed {
            return true;
        }
        let gap_ms = self.cluster.settings.timing().max_interval_ms;
        if (machine.missing && self.silent_ms(id) > gap_ms) || self.stays_unreconciled(id) {
            return true;
        }
        match self.owned.get(id) {
            Some(owned) => self.may_return_owned(id, machine, owned),
            None => self.may_return_unreported(id, machine),
        }
    }

    /// Whether a machine had time enough to show this term's token, or is one of the last few that have not.
    fn stays_unreconciled(&self, id: &MachineId) -> bool {
        self.fleet.unreconciled.contains(id)
            && (self.all_came_over || self.few_unreconciled && !self.foreign.contains(id))
    }

    /// Whether a machine for which its owner speaks may be returned.
    fn may_return_owned(
        &self,
        id: &MachineId,
        machine: &FleetMachine,
        owned: &OwnedView<'_>,
    ) -> bool {
        let is_drained = machine.draining.is_some_and(|plan| owned.controller.applied_plan >= plan)
            && owned.machine.view.tasks.is_empty()
            && owned.machine.view.reconciled
            && !self.fleet.unreconciled.contains(id);
        let limit_ms = match self.receiving_well.contains(&owned.owner) {
            _ if self.cut_off => self.cut_off_lease_ms(),
            true => self.cluster.settings.timing().presumed_stopped_ms,
            false => self.lease_ms,
        };
        let silent_ms = self.silent_ms(id);
        let is_long_silent = silent_ms > self.lease_ms + LONG_SILENT_MS
            && self.cluster.now.since(self.fleet.began) > RECEIVES_MS;
        is_drained
            || (self.all_had_a_lease && machine.losing_epochs)
            || ((self.all_had_a_lease || is_long_silent) && silent_ms > limit_ms)
    }

    /// Whether a machine that no owner's summary shows may be returned.
    fn may_return_unreported(&self, id: &MachineId, machine: &FleetMachine) -> bool {
        let silent_ms = self.silent_ms(id);
        if machine.up {
            let limit_ms = if self.cut_off { self.cut_off_lease_ms() } else { self.lease_ms };
            return self.all_had_a_lease && silent_ms > limit_ms;
        }
        let machine_type = self.cluster.catalog.get(&machine.offer.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let never_up_ms =
            (boot_s * (NEVER_UP_BOOT_MULTIPLE * 1_000.0)).max(NEVER_UP_LEAST_MS) as u64;
        self.cluster.now.since(machine.rented_at) > never_up_ms && silent_ms > self.lease_ms
    }

    fn cut_off_lease_ms(&self) -> u64 {
        self.lease_ms.max(CUT_OFF_MS)
    }
}

/// Whether so many machines of all that are up can be done without.
pub(super) fn are_few(machines: usize, up: usize) -> bool {
    machines <= up / FEW_DIVISOR
}
