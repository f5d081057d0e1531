//! Silent machines: when their tasks are proven to have ended, and which machines are returned to
//! the cloud.
//!
//! `docs/safety.md` argues why an expired lease proves that no task of the machine still runs.
//! Returning a machine proves nothing by itself; only the cloud's confirmation does.

use std::collections::{HashMap, HashSet};

use super::{Fleet, FleetMachine, MIN_PARTITIONED_MACHINES, OwnedView, RECENT_HEARTBEAT_MS};
use crate::cluster_view::ClusterView;
use crate::lease::{last_possible_answer, plus_drift};
use crate::model::{AgentEpoch, MachineId, MonotonicTime, NodeId};

/// Silence of more than one in this many running machines indicates a network partition rather than
/// machine failures.
const PARTITION_DIVISOR: usize = 6;
/// Milliseconds for which machines in a suspected network partition are kept.
const PARTITION_GRACE_MS: u64 = 60_000;
/// Unreconciled machines are few, and may be returned early, up to one in this many running
/// machines. In a small fleet, one machine is a large share of the capacity.
const FEW_UNRECONCILED_DIVISOR: usize = 50;
/// Milliseconds beyond the longest heartbeat interval to wait before the last few unreconciled
/// machines are returned.
const FEW_UNRECONCILED_WAIT_MS: u64 = 6_000;
/// Milliseconds of silence beyond a lease after which a machine is returned even early in a term.
const LONG_SILENCE_MARGIN_MS: u64 = 3_000;
/// Milliseconds added to a worker lease before the lease counts as expired.
const LEASE_EXPIRY_MARGIN_MS: u64 = 500;
/// Milliseconds added to a worker lease before a silent machine is returned.
const RETURN_MARGIN_MS: u64 = 1_000;
/// A machine that has sent no heartbeat is returned after its boot time multiplied by this factor,
/// but not before [`NEVER_UP_MIN_MS`].
const NEVER_UP_BOOT_MULTIPLE: f64 = 4.0;
/// Minimum number of milliseconds before a machine that has sent no heartbeat is returned.
const NEVER_UP_MIN_MS: f64 = 90_000.0;
/// Boot time in seconds assumed for a machine type that is not in the catalog.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Maximum number of machines returned in one call.
const MAX_RETURNED_AT_ONCE: usize = 100;

/// Bounds on the heartbeat responses of all controllers together. A response renews the machine's
/// lease.
struct AnswerBounds {
    /// All responses sent before this time are known or were sent before `unknown_before`.
    known_until: MonotonicTime,
    /// Responses sent before this time may be missing from summaries, and each may have gone to any
    /// machine.
    unknown_before: MonotonicTime,
}

impl Fleet {
    /// Records machines whose worker lease has certainly expired, so that no task runs on them. The
    /// lease counts from the last response that any controller sent or may have sent to the
    /// machine. It has certainly expired once what is known of all controllers covers a whole lease
    /// from this response on and shows no later one.
    pub fn expire_leases(&mut self, cluster: &ClusterView<'_>) {
        let Some(bounds) = self.answer_bounds(cluster) else { return };
        let lease_ms = plus_drift(cluster.settings.worker_lease_ms()) + LEASE_EXPIRY_MARGIN_MS;
        let expired = |id: &MachineId| {
            let last_answer = self.last_answers.get(id).copied().unwrap_or_default();
            last_answer.max(bounds.unknown_before).plus(lease_ms) < bounds.known_until
        };
        let expired_leases: Vec<(MachineId, AgentEpoch)> = self
            .views()
            .filter(|view| view.reconciled && expired(&view.id))
            .map(|view| (view.id.clone(), view.agent_epoch))
            .collect();
        let unreconciled: Vec<MachineId> =
            self.unreconciled.iter().filter(|id| expired(id)).cloned().collect();
        for (id, agent_epoch) in expired_leases {
            tracing::warn!(machine = %id, "worker lease expired at every controller");
            self.expired_leases.insert(id, agent_epoch);
        }
        for id in unreconciled {
            tracing::warn!(machine = %id, "worker lease expired at every controller");
            // The machine's agent epoch ended with the lease, so no task of an earlier term runs on
            // the machine. If the machine returns, its heartbeats carry a newer epoch.
            self.unreconciled.remove(&id);
        }
    }

    /// Returns the bounds on the heartbeat responses of all controllers; `None` while a controller
    /// has neither sent a summary that echoes the leader's clock nor is known to be absent.
    fn answer_bounds(&self, cluster: &ClusterView<'_>) -> Option<AnswerBounds> {
        let mut known_until = MonotonicTime(u64::MAX);
        let mut unknown_before = MonotonicTime(0);
        let response_retention_ms = cluster.settings.timing().response_retention_ms;
        for index in 0..cluster.nodes.len() {
            let id = NodeId(index as u8);
            match self.controllers.get(&id) {
                Some(state) if state.echoed_clock_ms > 0 => {
                    known_until = known_until.min(MonotonicTime(state.echoed_clock_ms));
                    // The previous incarnation of the controller, whose responses are unknown,
                    // ended before the present one started.
                    unknown_before = unknown_before
                        .max(state.received_at.saturating_sub(state.uptime_ms))
                        .max(state.first_received_at.saturating_sub(response_retention_ms));
                }
                _ => {
                    let absent = self.absent.get(&id)?;
                    known_until = known_until.min(cluster.synced_at);
                    let bound =
                        last_possible_answer(absent.since, cluster.settings.keep_alive_ms());
                    unknown_before = unknown_before.max(bound);
                }
            }
        }
        Some(AnswerBounds { known_until, unknown_before })
    }

    /// Returns the machines that may be returned to the cloud now: drained and empty, failed,
    /// restarted, missing from the cloud's list, repeatedly losing their agent epoch, silent beyond
    /// any lease, unable to receive this term's responses, or never up. Tasks on a returned machine
    /// end with it, which the cloud's confirmation proves.
    pub fn machines_to_scale_in(&self, cluster: &ClusterView<'_>) -> Vec<MachineId> {
        let check = ReturnCheck::new(self, cluster);
        self.machines
            .iter()
            .filter(|(id, machine)| check.may_return(id, machine))
            .map(|(id, _)| id.clone())
            .take(MAX_RETURNED_AT_ONCE)
            .collect()
    }

    /// Whether a machine's silence can only have its cause in the machine itself: all controllers
    /// send summaries, none of them restarted recently, and the machine's owner receives heartbeats
    /// from other machines. A machine that is merely cut off for longer would lose its tasks with
    /// its lease anyway.
    fn is_silence_conclusive(&self, cluster: &ClusterView<'_>, owner: NodeId) -> bool {
        let min_uptime_ms = plus_drift(cluster.settings.worker_lease_ms()) + 5_000;
        self.controllers.len() == cluster.nodes.len()
            && self.controllers.values().all(|state| {
                cluster.now.since(state.received_at) < 1_000 && state.uptime_ms > min_uptime_ms
            })
            && self.owned_machines().any(|owned| {
                owned.owner == owner && cluster.now.since(owned.machine.last_heartbeat) < 2_000
            })
    }
}

/// Inputs for selecting the machines to return.
struct ReturnCheck<'a> {
    fleet: &'a Fleet,
    cluster: &'a ClusterView<'a>,
    /// Machines whose owner is authoritative for them.
    owned: HashMap<&'a MachineId, OwnedView<'a>>,
    /// Machines that were restarted and whose heartbeats are numbered from the start again.
    restarted: HashSet<&'a MachineId>,
    /// Machines that recently sent heartbeats to a controller that does not own them.
    foreign: HashSet<&'a MachineId>,
    /// Controllers for whose machines silence can only have its cause in the machine itself.
    conclusive_owners: Vec<NodeId>,
    /// Worker lease in milliseconds, including clock drift and a margin.
    lease_ms: u64,
    /// Whether the term is older than a worker lease, so that each running machine has had time to
    /// send a heartbeat to a controller of this term.
    term_outlasts_lease: bool,
    /// Whether the term is older than a worker lease plus the keep-alive time, so that machines
    /// kept alive by a controller of an earlier term have had time for such a heartbeat, too.
    term_outlasts_keep_alive: bool,
    /// Whether only a few machines delay the proof that all machines are reconciled.
    few_unreconciled: bool,
    /// Whether so many machines are silent that a network partition is more likely than machine
    /// failures.
    is_partitioned: bool,
}

impl<'a> ReturnCheck<'a> {
    fn new(fleet: &'a Fleet, cluster: &'a ClusterView<'a>) -> Self {
        let term_ms = cluster.now.since(fleet.started_at);
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
                .filter(|machine| machine.silent_ms < timing.foreign_machine_ttl_ms)
                .map(|machine| &machine.id)
                .collect(),
            conclusive_owners: fleet
                .controllers
                .keys()
                .copied()
                .filter(|node| fleet.is_silence_conclusive(cluster, *node))
                .collect(),
            lease_ms,
            term_outlasts_lease: term_ms > lease_ms,
            term_outlasts_keep_alive: term_ms > lease_ms + keep_alive_ms,
            // The last few machines that do not show the fencing token have usually stopped. Tasks
            // that they may still run would delay tasks of many jobs for a whole lease.
            few_unreconciled: fleet.reconciliation_awaited
                && is_small_share(fleet.unreconciled.len(), up)
                && term_ms > timing.max_interval_ms + FEW_UNRECONCILED_WAIT_MS,
            is_partitioned: false,
        };
        // Many machines that fall silent at once are probably cut off by a network partition. The
        // expiry of their leases proves that their tasks ended, and the machines are needed with
        // their cached images once they are reachable again.
        let is_silent = |id: &MachineId| check.silent_ms(id) > timing.presumed_stopped_after_ms;
        let machines = fleet.machines.iter();
        let silent = machines.filter(|(id, machine)| machine.up && is_silent(id)).count();
        check.is_partitioned = silent > (up / PARTITION_DIVISOR).max(MIN_PARTITIONED_MACHINES);
        check
    }

    /// Returns the milliseconds since a controller last answered the machine, or since the term
    /// started if none did.
    fn silent_ms(&self, id: &MachineId) -> u64 {
        let last_answer = self.fleet.last_answers.get(id).copied();
        self.cluster.now.since(last_answer.unwrap_or(self.fleet.started_at))
    }

    fn may_return(&self, id: &MachineId, machine: &FleetMachine) -> bool {
        // Tasks from before the restart have ended, but the machine's new heartbeats cannot be
        // distinguished from delayed copies of earlier ones.
        if self.restarted.contains(id) || machine.failed {
            return true;
        }
        let max_interval_ms = self.cluster.settings.timing().max_interval_ms;
        if (machine.missing && self.silent_ms(id) > max_interval_ms) || self.stays_unreconciled(id)
        {
            return true;
        }
        match self.owned.get(id) {
            Some(owned) => self.may_return_owned(id, machine, owned),
            None => self.may_return_unreported(id, machine),
        }
    }

    /// Whether an unreconciled machine has had enough time to show this term's fencing token, or is
    /// one of the last few unreconciled machines.
    fn stays_unreconciled(&self, id: &MachineId) -> bool {
        self.fleet.unreconciled.contains(id)
            && (self.term_outlasts_keep_alive
                || self.few_unreconciled && !self.foreign.contains(id))
    }

    /// Whether a machine with an authoritative owner may be returned.
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
        let limit_ms = match self.conclusive_owners.contains(&owned.owner) {
            _ if self.is_partitioned => self.partition_limit_ms(),
            true => self.cluster.settings.timing().presumed_stopped_after_ms,
            false => self.lease_ms,
        };
        let silent_ms = self.silent_ms(id);
        let is_long_silent = silent_ms > self.lease_ms + LONG_SILENCE_MARGIN_MS
            && self.cluster.now.since(self.fleet.started_at) > RECENT_HEARTBEAT_MS;
        is_drained
            || (self.term_outlasts_lease && machine.repeatedly_lost_epoch)
            || ((self.term_outlasts_lease || is_long_silent) && silent_ms > limit_ms)
    }

    /// Whether a machine that appears in no owner's summary may be returned.
    fn may_return_unreported(&self, id: &MachineId, machine: &FleetMachine) -> bool {
        let silent_ms = self.silent_ms(id);
        if machine.up {
            let limit_ms =
                if self.is_partitioned { self.partition_limit_ms() } else { self.lease_ms };
            return self.term_outlasts_lease && silent_ms > limit_ms;
        }
        let machine_type = self.cluster.catalog.get(&machine.offer.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let never_up_ms = (boot_s * (NEVER_UP_BOOT_MULTIPLE * 1_000.0)).max(NEVER_UP_MIN_MS) as u64;
        self.cluster.now.since(machine.provisioned_at) > never_up_ms && silent_ms > self.lease_ms
    }

    /// Returns the milliseconds of silence after which a machine is returned despite a suspected
    /// network partition.
    fn partition_limit_ms(&self) -> u64 {
        self.lease_ms.max(PARTITION_GRACE_MS)
    }
}

/// Whether a number of machines is a small share of all running machines.
pub(super) fn is_small_share(machines: usize, up: usize) -> bool {
    machines <= up / FEW_UNRECONCILED_DIVISOR
}
