//! Which controller owns a machine, and when a new term is needed to change that.

use std::collections::HashMap;

use super::machine_records::REMOVED_KEPT;
use super::{Fleet, NODE_LOST_MS, Reassigned, UNSERVED_MS};
use crate::autoscaler::MachineOffer;
use crate::cluster_view::ClusterView;
use crate::config::HeartbeatTiming;
use crate::model::{MachineId, MonotonicTime, NodeId, PlanSeq};
use crate::peer::OwnershipChanges;

/// How long a stray must have been unable to reach its owner before it is moved.
const OUT_OF_REACH_MS: u64 = 2_500;
/// The same when it is one of a few, which may be at fault themselves: moving it costs a term.
const FEW_OUT_OF_REACH_MS: u64 = 12_000;
/// How long a machine that could not reach its owner is given to the controller that heard it.
const REASSIGNED_MS: u64 = 60_000;

impl Fleet {
    /// Why a new term is needed, if one is: an owner is lost, or machines cannot reach theirs.
    pub fn wants_new_term(
        &mut self,
        now: MonotonicTime,
        served_for: u64,
        timing: &HeartbeatTiming,
    ) -> Option<&'static str> {
        if now.since(self.began) < NODE_LOST_MS {
            return None;
        }
        let live_controllers = self.live_controllers(now);
        if self.owners.values().any(|(o, _)| !live_controllers.contains(o)) {
            return Some("the owner of machines is not heard");
        }
        let eligible_owners = self.eligible_owners(now);
        // After an outage for all, the others' last word is still of that time.
        let calm = served_for > UNSERVED_MS + 2_000;
        if calm
            && !eligible_owners.is_empty()
            && self.owners.values().any(|(o, _)| !eligible_owners.contains(o))
        {
            return Some("the store or the workers do not reach the owner of machines");
        }
        self.reassign_out_of_reach(now, &live_controllers, timing)
            .then_some("machines cannot reach their owner")
    }

    /// Notes which machines cannot reach their owner and which controller hears them instead, so that it gets them in
    /// the next term. Says whether they are enough, or have waited long enough, to take one for them.
    fn reassign_out_of_reach(
        &mut self,
        now: MonotonicTime,
        live_controllers: &[NodeId],
        timing: &HeartbeatTiming,
    ) -> bool {
        // They go back to the cloud; no owner would take them.
        let restarted: Vec<&MachineId> = self.nodes.values().flat_map(|n| &n.restarted).collect();
        let mut found: Vec<(MachineId, NodeId)> = Vec::new();
        let mut long = false;
        for node in live_controllers {
            let Some(state) = self.nodes.get(node) else { continue };
            for s in &state.foreign_machines {
                if s.since_ms > OUT_OF_REACH_MS
                    && s.silent_ms < timing.foreign_machine_ms
                    && self.owners.get(&s.id).is_some_and(|(owner, _)| owner != node)
                    && !self.owner_hears(now, &s.id, s.silent_ms)
                    && !restarted.contains(&&s.id)
                {
                    found.push((s.id.clone(), *node));
                    long |= s.since_ms > FEW_OUT_OF_REACH_MS;
                }
            }
        }
        let takes_term = found.len() > self.owners.len() / 20 || long;
        if takes_term {
            let until = now.plus(REASSIGNED_MS);
            let reassigned = found.into_iter().map(|(id, node)| (id, Reassigned { node, until }));
            self.reassigned.extend(reassigned);
        }
        takes_term
    }

    /// The controller that hears a machine which could not reach its owner.
    fn reassigned_to(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        live_controllers: &[NodeId],
    ) -> Option<NodeId> {
        let reassigned = self.reassigned.get(id).filter(|r| r.until > now)?;
        live_controllers.contains(&reassigned.node).then_some(reassigned.node)
    }

    /// Whether a machine's owner has heard it lately, or later than the controller that heard it
    /// that many milliseconds ago.
    fn owner_hears(&self, now: MonotonicTime, id: &MachineId, silent_ms: u64) -> bool {
        let owner = self.owners.get(id).and_then(|(owner, _)| self.nodes.get(owner));
        let known = owner.and_then(|n| n.machines.get(id));
        known.is_some_and(|k| now.since(k.last_heartbeat) < silent_ms.max(OUT_OF_REACH_MS))
    }

    fn zone_of<'a>(&'a self, cluster: &'a ClusterView<'_>, id: &MachineId) -> Option<&'a str> {
        let held = self.machines.get(id).map(|m| m.offer.zone.as_str());
        held.or_else(|| cluster.replica.machines.get(id).map(|m| m.zone.as_str()))
    }

    /// The owner of a machine among live controllers: the one that hears it if it could not reach its owner lately,
    /// else those of its zone if one is up, else all; the highest hash wins.
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
            .filter(|n| zone == cluster.nodes.get(usize::from(n.0)).map(|n| n.zone.as_str()))
            .collect();
        let pool = if near.is_empty() { live_controllers } else { &near };
        pool.iter().copied().max_by_key(|n| rendezvous(id, *n))
    }

    /// Gives every machine without an owner one; `next` is the plan that will say so.
    pub fn assign(&mut self, cluster: &ClusterView<'_>, next: PlanSeq) {
        let now = cluster.now;
        let mut live_controllers = self.eligible_owners(now);
        live_controllers.retain(|id| self.nodes[id].served_ms < UNSERVED_MS * 2 / 5);
        let replaced = self.replaced.filter(|id| !live_controllers.contains(id));
        let reconciliation_awaited =
            cluster.replica.members.keys().filter(|id| Some(**id) != replaced);
        let expected = reconciliation_awaited.count().min(cluster.nodes.len());
        if live_controllers.is_empty()
            || (live_controllers.len() < expected && now.since(self.began) < 1_000)
        {
            return;
        }
        let heard_ms = cluster.settings.timing().foreign_machine_ms + 2_000;
        let mut foreign_machines: HashMap<MachineId, NodeId> = HashMap::new();
        let mut found: Vec<(MachineId, MachineOffer)> = Vec::new();
        for (node, n) in self.nodes.iter().filter(|(id, _)| live_controllers.contains(id)) {
            for s in n.foreign_machines.iter().filter(|s| s.silent_ms < heard_ms) {
                let offer = MachineOffer {
                    machine_type: s.machine_type.clone(),
                    zone: s.zone.clone(),
                    spot: s.spot,
                };
                found.push((s.id.clone(), offer));
                if s.since_ms > OUT_OF_REACH_MS {
                    foreign_machines.insert(s.id.clone(), *node);
                }
            }
        }
        for (id, offer) in found {
            if !self.is_gone(cluster, &id) {
                self.add_machine(now, &id, offer);
            }
        }
        for (id, m) in &cluster.replica.machines {
            if m.gone.is_none() && !self.machines.contains_key(id) && !self.gone.contains(id) {
                let offer = MachineOffer {
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                };
                self.add_machine(now, id, offer);
                // It may be gone without the record saying so: then it is returned when its
                // silence has lasted, and does not count as one that still boots.
                if let Some(known) = self.machines.get_mut(id) {
                    known.up = m.up;
                }
            }
        }
        let open: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !self.owners.contains_key(*id) && !self.gone.contains(*id))
            .cloned()
            .collect();
        for id in open {
            let owner = foreign_machines
                .get(&id)
                .copied()
                .or_else(|| self.owner_for(cluster, &id, &live_controllers));
            if let Some(owner) = owner {
                self.owners.insert(id, (owner, next));
            }
        }
    }

    /// Owners as a part has to be told that follows that plan.
    pub fn ownership_changes(&self, applied_plan: PlanSeq) -> OwnershipChanges {
        let lost = self.removed.first().is_some_and(|r| r.1 > applied_plan)
            && self.removed.len() >= REMOVED_KEPT;
        let base = if lost { PlanSeq(0) } else { applied_plan };
        OwnershipChanges {
            base,
            set: self
                .owners
                .iter()
                .filter(|(_, (_, since))| *since > base || base == PlanSeq(0))
                .map(|(id, (owner, _))| (id.clone(), *owner))
                .collect(),
            gone: self
                .removed
                .iter()
                .filter(|(_, since)| base > PlanSeq(0) && *since > base)
                .map(|(id, _)| id.clone())
                .collect(),
        }
    }

    /// The newest plan that owners need.
    pub fn newest(&self) -> PlanSeq {
        let set = self.owners.values().map(|o| o.1);
        set.chain(self.removed.iter().map(|r| r.1)).max().unwrap_or_default()
    }
}

/// Highest-random-weight hashing of a machine over controllers.
fn rendezvous(id: &MachineId, node: NodeId) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in id.0.bytes().chain([b'#', node.0]) {
        h = (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 29)
}
