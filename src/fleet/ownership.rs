//! Which controller owns a machine, and when a new term is needed to change that.

use std::collections::HashMap;
use std::fmt;

use super::machine_records::REMOVED_KEPT;
use super::{Fleet, NODE_LOST_MS, Ownership, Reassigned, UNSERVED_MS};
use crate::autoscaler::MachineOffer;
use crate::cluster_view::ClusterView;
use crate::config::HeartbeatTiming;
use crate::model::{MachineId, MonotonicTime, NodeId, PlanSeq};
use crate::peer::OwnershipChanges;

/// Milliseconds for which a foreign machine must have been unable to reach its owner before it is moved.
const OUT_OF_REACH_MS: u64 = 2_500;
/// The same when it is one of a few, which may be at fault themselves: moving it costs a term.
const FEW_OUT_OF_REACH_MS: u64 = 12_000;
/// Foreign machines are few up to one of so many that are owned.
const FEW_DIVISOR: usize = 20;
/// Milliseconds for which a machine that could not reach its owner is given to the controller that receives its
/// heartbeats.
const REASSIGNED_MS: u64 = 60_000;
/// Milliseconds without service by the store after which a controller is given no more machines: it would soon
/// have to hand them over.
const ASSIGNABLE_UNSERVED_MS: u64 = UNSERVED_MS * 2 / 5;
/// Milliseconds beyond [`UNSERVED_MS`] for which the store must have served the leader before it judges others.
const SERVED_MARGIN_MS: u64 = 2_000;
/// Milliseconds of a term in which machines are assigned only if all members sent summaries.
const ALL_MEMBERS_MS: u64 = 1_000;
/// Milliseconds beyond the time to reach an owner for which a foreign machine's last heartbeat counts.
const FOREIGN_MARGIN_MS: u64 = 2_000;

/// Why the leader takes a new term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewTermReason {
    /// A controller that owns machines is lost.
    OwnerLost,
    /// A controller that owns machines is up, but the store or its workers do not reach it.
    OwnerNotReached,
    /// Machines send heartbeats to other controllers than their owner, which they cannot reach.
    MachinesOutOfReach,
    /// A controller came back as another incarnation.
    ControllerRestarted,
    /// A controller owns no machine while others own those that would be its own.
    ControllerWithoutShard,
}

impl NewTermReason {
    /// The reason as the log names it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OwnerLost => "the owner of machines is not heard",
            Self::OwnerNotReached => "the store or the workers do not reach the owner of machines",
            Self::MachinesOutOfReach => "machines cannot reach their owner",
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
    /// Why a new term is needed, if one is: an owner is lost, or machines cannot reach theirs. `served_for` is
    /// for how many milliseconds the store has served this controller.
    pub fn wants_new_term(
        &mut self,
        now: MonotonicTime,
        served_for: u64,
        timing: &HeartbeatTiming,
    ) -> Option<NewTermReason> {
        if now.since(self.began) < NODE_LOST_MS {
            return None;
        }
        let live_controllers = self.live_controllers(now);
        if self.owners.values().any(|owned| !live_controllers.contains(&owned.owner)) {
            return Some(NewTermReason::OwnerLost);
        }
        let eligible_owners = self.eligible_owners(now);
        // After an outage for all, the others' last summaries are still of that time.
        let calm = served_for > UNSERVED_MS + SERVED_MARGIN_MS;
        if calm
            && !eligible_owners.is_empty()
            && self.owners.values().any(|owned| !eligible_owners.contains(&owned.owner))
        {
            return Some(NewTermReason::OwnerNotReached);
        }
        self.reassign_out_of_reach(now, &live_controllers, timing)
            .then_some(NewTermReason::MachinesOutOfReach)
    }

    /// Records which machines cannot reach their owner and which controller receives their heartbeats instead, so
    /// that it gets them in the next term. Says whether they are enough, or have waited long enough, to take
    /// one for them.
    fn reassign_out_of_reach(
        &mut self,
        now: MonotonicTime,
        live_controllers: &[NodeId],
        timing: &HeartbeatTiming,
    ) -> bool {
        // They go back to the cloud; no owner would take them.
        let restarted: Vec<&MachineId> =
            self.controllers.values().flat_map(|state| &state.restarted).collect();
        let mut found: Vec<(MachineId, NodeId)> = Vec::new();
        let mut any_long_waiting = false;
        for node in live_controllers {
            let Some(state) = self.controllers.get(node) else { continue };
            for foreign in &state.foreign_machines {
                if foreign.since_ms > OUT_OF_REACH_MS
                    && foreign.silent_ms < timing.foreign_machine_ttl_ms
                    && self.owners.get(&foreign.id).is_some_and(|owned| owned.owner != *node)
                    && !self.reaches_owner(now, &foreign.id, foreign.silent_ms)
                    && !restarted.contains(&&foreign.id)
                {
                    found.push((foreign.id.clone(), *node));
                    any_long_waiting |= foreign.since_ms > FEW_OUT_OF_REACH_MS;
                }
            }
        }
        let needs_term = found.len() > self.owners.len() / FEW_DIVISOR || any_long_waiting;
        if needs_term {
            let until = now.plus(REASSIGNED_MS);
            let reassigned = found.into_iter().map(|(id, node)| (id, Reassigned { node, until }));
            self.reassigned.extend(reassigned);
        }
        needs_term
    }

    /// The controller that receives the heartbeats of a machine which could not reach its owner.
    fn reassigned_to(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        live_controllers: &[NodeId],
    ) -> Option<NodeId> {
        let reassigned = self.reassigned.get(id).filter(|r| r.until > now)?;
        live_controllers.contains(&reassigned.node).then_some(reassigned.node)
    }

    /// Whether a machine's owner received a heartbeat of it lately, or later than the controller that received
    /// one `silent_ms` milliseconds ago.
    fn reaches_owner(&self, now: MonotonicTime, id: &MachineId, silent_ms: u64) -> bool {
        let owner = self.owners.get(id).and_then(|owned| self.controllers.get(&owned.owner));
        let machine = owner.and_then(|state| state.machines.get(id));
        let limit_ms = silent_ms.max(OUT_OF_REACH_MS);
        machine.is_some_and(|machine| now.since(machine.last_heartbeat) < limit_ms)
    }

    fn zone_of<'a>(&'a self, cluster: &'a ClusterView<'_>, id: &MachineId) -> Option<&'a str> {
        let held = self.machines.get(id).map(|machine| machine.offer.zone.as_str());
        held.or_else(|| cluster.replica.machines.get(id).map(|record| record.zone.as_str()))
    }

    /// The owner of a machine among live controllers: the one that receives its heartbeats if it could not reach its
    /// owner lately, else those of its zone if one is up, else all; the highest hash wins.
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
        let near: Vec<NodeId> = live_controllers
            .iter()
            .copied()
            .filter(|id| {
                zone == cluster.nodes.get(usize::from(id.0)).map(|node| node.zone.as_str())
            })
            .collect();
        let pool = if near.is_empty() { live_controllers } else { &near };
        pool.iter().copied().max_by_key(|node| rendezvous(id, *node))
    }

    /// Gives every machine without an owner one; `next` is the plan that will say so.
    pub fn assign(&mut self, cluster: &ClusterView<'_>, next: PlanSeq) {
        let Some(live_controllers) = self.assignable_controllers(cluster) else { return };
        let out_of_reach = self.add_foreign_machines(cluster, &live_controllers);
        self.add_recorded_machines(cluster);
        let unowned: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !self.owners.contains_key(*id) && !self.terminated.contains(*id))
            .cloned()
            .collect();
        for id in unowned {
            let receiver = out_of_reach.get(&id).copied();
            let owner = receiver.or_else(|| self.owner_for(cluster, &id, &live_controllers));
            if let Some(owner) = owner {
                self.owners.insert(id, Ownership { owner, since: next });
            }
        }
    }

    /// Controllers that may be given machines now, or `None` if machines are not assigned yet: none may, or the
    /// term is young and members are missing.
    fn assignable_controllers(&self, cluster: &ClusterView<'_>) -> Option<Vec<NodeId>> {
        let mut controllers = self.eligible_owners(cluster.now);
        controllers
            .retain(|id| self.controllers[id].since_store_response_ms < ASSIGNABLE_UNSERVED_MS);
        let replaced = self.replaced.filter(|id| !controllers.contains(id));
        let awaited = cluster.replica.members.keys().filter(|id| Some(**id) != replaced);
        let expected = awaited.count().min(cluster.nodes.len());
        let is_young = cluster.now.since(self.began) < ALL_MEMBERS_MS;
        let too_early = controllers.is_empty() || (controllers.len() < expected && is_young);
        (!too_early).then_some(controllers)
    }

    /// Adds the machines that send heartbeats to controllers that do not own them. Returns those that have
    /// been unable to reach their owner for long, with the controller that receives their heartbeats.
    fn add_foreign_machines(
        &mut self,
        cluster: &ClusterView<'_>,
        live_controllers: &[NodeId],
    ) -> HashMap<MachineId, NodeId> {
        let limit_ms = cluster.settings.timing().foreign_machine_ttl_ms + FOREIGN_MARGIN_MS;
        let mut out_of_reach: HashMap<MachineId, NodeId> = HashMap::new();
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
                if foreign.since_ms > OUT_OF_REACH_MS {
                    out_of_reach.insert(foreign.id.clone(), *node);
                }
            }
        }
        for (id, offer) in found {
            if !self.is_gone(cluster, &id) {
                self.add_machine(cluster.now, &id, offer);
            }
        }
        out_of_reach
    }

    /// Adds the machines that are on record and not known to be gone.
    fn add_recorded_machines(&mut self, cluster: &ClusterView<'_>) {
        for (id, record) in &cluster.replica.machines {
            if record.gone.is_some()
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
            // It may be gone without the record saying so: then it is returned when its
            // silence has lasted, and does not count as one that still boots.
            if let Some(machine) = self.machines.get_mut(id) {
                machine.up = record.up;
            }
        }
    }

    /// Changes of owners for a controller that follows that plan; all owners if it missed more than is
    /// remembered.
    pub fn ownership_changes(&self, applied_plan: PlanSeq) -> OwnershipChanges {
        let missed_some = self.removed.first().is_some_and(|oldest| oldest.since > applied_plan)
            && self.removed.len() >= REMOVED_KEPT;
        let base = if missed_some { PlanSeq(0) } else { applied_plan };
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

    /// The newest plan that changes owners.
    pub fn newest_change(&self) -> PlanSeq {
        let assigned = self.owners.values().map(|owned| owned.since);
        let removed = self.removed.iter().map(|removed| removed.since);
        assigned.chain(removed).max().unwrap_or_default()
    }
}

/// Highest-random-weight hashing of a machine over controllers.
fn rendezvous(id: &MachineId, node: NodeId) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in id.0.bytes().chain([b'#', node.0]) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 29)
}
