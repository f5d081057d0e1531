//! Ownership of machines, and the conditions for a new term that changes it.
//!
//! A foreign machine is one that sends heartbeats to a controller that does not own it.

use std::collections::HashMap;
use std::fmt;

use super::machine_records::MAX_REMOVED_MACHINES;
use super::{CONTROLLER_LOST_AFTER_MS, Fleet, Ownership, Reassignment, STORE_SILENCE_HANDOVER_MS};
use crate::autoscaler::MachineOffer;
use crate::cluster_view::ClusterView;
use crate::config::HeartbeatTiming;
use crate::model::{MachineId, MonotonicTime, NodeId, PlanSeq};
use crate::peer::OwnershipChanges;

/// Milliseconds for which a foreign machine must have been unable to reach its owner before it is
/// reassigned.
const OWNER_UNREACHABLE_MS: u64 = 2_500;
/// Like [`OWNER_UNREACHABLE_MS`], if only a few machines are affected: the machines themselves may
/// be at fault, and reassigning them costs a term.
const FEW_OWNER_UNREACHABLE_MS: u64 = 12_000;
/// Foreign machines count as few up to one in this many owned machines.
const FEW_FOREIGN_DIVISOR: usize = 20;
/// Milliseconds for which a machine that could not reach its owner is assigned to the controller
/// that receives its heartbeats.
const REASSIGNMENT_MS: u64 = 60_000;
/// Milliseconds without a response from the state service after which a controller is assigned no
/// further machines, because it would soon have to hand them over.
const ASSIGNABLE_SILENCE_MS: u64 = STORE_SILENCE_HANDOVER_MS * 2 / 5;
/// Milliseconds beyond [`STORE_SILENCE_HANDOVER_MS`] for which the state service must have served
/// the leader before the leader judges other controllers by it.
const STORE_SERVICE_MARGIN_MS: u64 = 2_000;
/// Milliseconds from the start of a term in which machines are assigned only if all members sent
/// summaries.
const AWAIT_ALL_MEMBERS_MS: u64 = 1_000;
/// Milliseconds beyond `foreign_machine_ttl_ms` for which a foreign machine's last heartbeat counts.
const FOREIGN_MACHINE_MARGIN_MS: u64 = 2_000;

/// Reason for the leader to start a new term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewTermReason {
    /// A controller that owns machines is lost.
    OwnerLost,
    /// A controller that owns machines is live, but the state service or its workers do not reach
    /// it.
    OwnerIsolated,
    /// Machines cannot reach their owner and send heartbeats to other controllers.
    MachinesCannotReachOwner,
    /// A controller restarted as a new incarnation.
    ControllerRestarted,
    /// A controller owns no machines while others own the machines that would be assigned to it.
    ControllerWithoutShard,
}

impl NewTermReason {
    /// Returns the text of the reason in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OwnerLost => "the owner of machines is not heard",
            Self::OwnerIsolated => "the store or the workers do not reach the owner of machines",
            Self::MachinesCannotReachOwner => "machines cannot reach their owner",
            Self::ControllerRestarted => "a controller restarted",
            Self::ControllerWithoutShard => "a controller came back and has no shard",
        }
    }
}

impl fmt::Display for NewTermReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Fleet {
    /// Returns the reason for a new term, if one is needed: an owner is lost or isolated, or
    /// machines cannot reach their owner. `store_served_ms` is the time in milliseconds for which
    /// the state service has served this controller without a break.
    pub fn new_term_reason(
        &mut self,
        now: MonotonicTime,
        store_served_ms: u64,
        timing: &HeartbeatTiming,
    ) -> Option<NewTermReason> {
        if now.since(self.started_at) < CONTROLLER_LOST_AFTER_MS {
            return None;
        }
        let live_controllers = self.live_controllers(now);
        if self.owners.values().any(|owned| !live_controllers.contains(&owned.owner)) {
            return Some(NewTermReason::OwnerLost);
        }
        let eligible_owners = self.eligible_owners(now);
        // After an outage for all controllers, the last summaries of the others still describe the
        // outage.
        let leader_served_long_enough =
            store_served_ms > STORE_SILENCE_HANDOVER_MS + STORE_SERVICE_MARGIN_MS;
        if leader_served_long_enough
            && !eligible_owners.is_empty()
            && self.owners.values().any(|owned| !eligible_owners.contains(&owned.owner))
        {
            return Some(NewTermReason::OwnerIsolated);
        }
        self.record_reassignments(now, &live_controllers, timing)
            .then_some(NewTermReason::MachinesCannotReachOwner)
    }

    /// Records machines that cannot reach their owner, with the controller that receives their
    /// heartbeats and is assigned the machines in the next term. Returns whether the machines are
    /// enough, or one has waited long enough, to justify a new term; records nothing otherwise.
    fn record_reassignments(
        &mut self,
        now: MonotonicTime,
        live_controllers: &[NodeId],
        timing: &HeartbeatTiming,
    ) -> bool {
        // Restarted machines are returned to the cloud and need no owner.
        let restarted: Vec<&MachineId> =
            self.controllers.values().flat_map(|state| &state.restarted).collect();
        let mut found: Vec<(MachineId, NodeId)> = Vec::new();
        let mut any_long_unreachable = false;
        for node in live_controllers {
            let Some(state) = self.controllers.get(node) else { continue };
            for foreign in &state.foreign_machines {
                if foreign.since_ms > OWNER_UNREACHABLE_MS
                    && foreign.silent_ms < timing.foreign_machine_ttl_ms
                    && self.owners.get(&foreign.id).is_some_and(|owned| owned.owner != *node)
                    && !self.reaches_owner(now, &foreign.id, foreign.silent_ms)
                    && !restarted.contains(&&foreign.id)
                {
                    found.push((foreign.id.clone(), *node));
                    any_long_unreachable |= foreign.since_ms > FEW_OWNER_UNREACHABLE_MS;
                }
            }
        }
        let needs_term =
            found.len() > self.owners.len() / FEW_FOREIGN_DIVISOR || any_long_unreachable;
        if needs_term {
            let until = now.plus(REASSIGNMENT_MS);
            let reassigned = found.into_iter().map(|(id, node)| (id, Reassignment { node, until }));
            self.reassignments.extend(reassigned);
        }
        needs_term
    }

    /// Returns the live controller that a machine is reassigned to because the machine could not
    /// reach its owner.
    fn reassigned_to(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        live_controllers: &[NodeId],
    ) -> Option<NodeId> {
        let reassigned = self.reassignments.get(id).filter(|r| r.until > now)?;
        live_controllers.contains(&reassigned.node).then_some(reassigned.node)
    }

    /// Whether a machine's owner received a heartbeat from the machine recently, or later than the
    /// controller that received one `silent_ms` milliseconds ago.
    fn reaches_owner(&self, now: MonotonicTime, id: &MachineId, silent_ms: u64) -> bool {
        let owner = self.owners.get(id).and_then(|owned| self.controllers.get(&owned.owner));
        let machine = owner.and_then(|state| state.machines.get(id));
        let limit_ms = silent_ms.max(OWNER_UNREACHABLE_MS);
        machine.is_some_and(|machine| now.since(machine.last_heartbeat) < limit_ms)
    }

    fn zone_of<'a>(&'a self, cluster: &'a ClusterView<'_>, id: &MachineId) -> Option<&'a str> {
        let held = self.machines.get(id).map(|machine| machine.offer.zone.as_str());
        held.or_else(|| cluster.replica.machines.get(id).map(|record| record.zone.as_str()))
    }

    /// Selects a machine's owner among live controllers. A machine that could not reach its owner
    /// goes to the controller that receives its heartbeats. Otherwise the highest rendezvous hash
    /// among the controllers in the machine's zone decides, or among all if none is live there.
    pub fn owner_for(
        &self,
        cluster: &ClusterView<'_>,
        id: &MachineId,
        live_controllers: &[NodeId],
    ) -> Option<NodeId> {
        if let Some(node) = self.reassigned_to(cluster.now, id, live_controllers) {
            return Some(node);
        }
        let zone = self.zone_of(cluster, id);
        let in_zone: Vec<NodeId> = live_controllers
            .iter()
            .copied()
            .filter(|id| {
                zone == cluster.nodes.get(usize::from(id.0)).map(|node| node.zone.as_str())
            })
            .collect();
        let candidates = if in_zone.is_empty() { live_controllers } else { &in_zone };
        candidates.iter().copied().max_by_key(|node| rendezvous_hash(id, *node))
    }

    /// Assigns an owner to each machine without one; `next_plan` is the first plan that names the
    /// new owners.
    pub fn assign(&mut self, cluster: &ClusterView<'_>, next_plan: PlanSeq) {
        let Some(live_controllers) = self.assignable_controllers(cluster) else { return };
        let heartbeat_receivers = self.add_foreign_machines(cluster, &live_controllers);
        self.add_recorded_machines(cluster);
        let unowned: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !self.owners.contains_key(*id) && !self.terminated.contains(*id))
            .cloned()
            .collect();
        for id in unowned {
            let receiver = heartbeat_receivers.get(&id).copied();
            let owner = receiver.or_else(|| self.owner_for(cluster, &id, &live_controllers));
            if let Some(owner) = owner {
                self.owners.insert(id, Ownership { owner, since: next_plan });
            }
        }
    }

    /// Returns the controllers that may be assigned machines; `None` if no controller is eligible,
    /// or if members are missing and the term is young.
    fn assignable_controllers(&self, cluster: &ClusterView<'_>) -> Option<Vec<NodeId>> {
        let mut controllers = self.eligible_owners(cluster.now);
        controllers
            .retain(|id| self.controllers[id].since_store_response_ms < ASSIGNABLE_SILENCE_MS);
        let replaced = self.replaced_leader.filter(|id| !controllers.contains(id));
        let awaited = cluster.replica.members.keys().filter(|id| Some(**id) != replaced);
        let expected = awaited.count().min(cluster.nodes.len());
        let is_young = cluster.now.since(self.started_at) < AWAIT_ALL_MEMBERS_MS;
        let too_early = controllers.is_empty() || (controllers.len() < expected && is_young);
        (!too_early).then_some(controllers)
    }

    /// Adds the machines that send heartbeats to controllers that do not own them. Returns the
    /// machines that have been unable to reach their owner for [`OWNER_UNREACHABLE_MS`], with the
    /// controller that receives their heartbeats.
    fn add_foreign_machines(
        &mut self,
        cluster: &ClusterView<'_>,
        live_controllers: &[NodeId],
    ) -> HashMap<MachineId, NodeId> {
        let limit_ms = cluster.settings.timing().foreign_machine_ttl_ms + FOREIGN_MACHINE_MARGIN_MS;
        let mut heartbeat_receivers: HashMap<MachineId, NodeId> = HashMap::new();
        let mut found: Vec<(MachineId, MachineOffer)> = Vec::new();
        let live = self.controllers.iter().filter(|(id, _)| live_controllers.contains(id));
        for (node, state) in live {
            let recent = state.foreign_machines.iter().filter(|m| m.silent_ms < limit_ms);
            for foreign in recent {
                let offer = MachineOffer {
                    machine_type: foreign.machine_type.clone(),
                    zone: foreign.zone.clone(),
                    spot: foreign.spot,
                };
                found.push((foreign.id.clone(), offer));
                if foreign.since_ms > OWNER_UNREACHABLE_MS {
                    heartbeat_receivers.insert(foreign.id.clone(), *node);
                }
            }
        }
        for (id, offer) in found {
            if !self.is_gone(cluster, &id) {
                self.add_machine(cluster.now, &id, offer);
            }
        }
        heartbeat_receivers
    }

    /// Adds the machines with a stored record that are not known to be terminated.
    fn add_recorded_machines(&mut self, cluster: &ClusterView<'_>) {
        for (id, record) in &cluster.replica.machines {
            if record.terminated_at.is_some()
                || self.machines.contains_key(id)
                || self.terminated.contains(id)
            {
                continue;
            }
            let offer = MachineOffer {
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
            };
            self.add_machine(cluster.now, id, offer);
            // The machine may be terminated although its record does not say so. With `up` from the
            // record, the machine is returned after prolonged silence and does not count as still
            // booting.
            if let Some(machine) = self.machines.get_mut(id) {
                machine.up = record.up;
            }
        }
    }

    /// Returns the ownership changes since `applied_plan`, or all owners if the controller missed
    /// more removals than are kept.
    pub fn ownership_changes(&self, applied_plan: PlanSeq) -> OwnershipChanges {
        let missed_removals =
            self.removed.first().is_some_and(|oldest| oldest.since > applied_plan)
                && self.removed.len() >= MAX_REMOVED_MACHINES;
        let base = if missed_removals { PlanSeq(0) } else { applied_plan };
        OwnershipChanges {
            base,
            set: self
                .owners
                .iter()
                .filter(|(_, owned)| owned.since > base || base == PlanSeq(0))
                .map(|(id, owned)| (id.clone(), owned.owner))
                .collect(),
            removed: self
                .removed
                .iter()
                .filter(|removed| base > PlanSeq(0) && removed.since > base)
                .map(|removed| removed.id.clone())
                .collect(),
        }
    }

    /// Returns the newest plan that changes owners.
    pub fn newest_ownership_change(&self) -> PlanSeq {
        let assigned = self.owners.values().map(|owned| owned.since);
        let removed = self.removed.iter().map(|removed| removed.since);
        assigned.chain(removed).max().unwrap_or_default()
    }
}

/// Returns the rendezvous (highest-random-weight) hash of a machine and a controller.
fn rendezvous_hash(id: &MachineId, node: NodeId) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in id.0.bytes().chain([b'#', node.0]) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 29)
}
