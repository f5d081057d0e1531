//! Machines that are silent: when what they ran is proven over, and which are returned.

use std::collections::{HashMap, HashSet};

use super::{ControllerState, Fleet, FleetMachine, HEARS_MS, MANY_LEAST, OwnedMachine};
use crate::cluster_view::ClusterView;
use crate::lease::{last_possible_answer, plus_drift};
use crate::model::{AgentEpoch, MachineId, MonotonicTime, NodeId};

/// Part of the machines that are cut off rather than dead when they are silent together; how long they
/// are waited for then.
const MANY_PART: usize = 6;
const CUT_OFF_MS: u64 = 60_000;
/// Part of the machines that are returned when only they keep a proof waiting; how long that is
/// waited for beyond a report. In a small fleet one machine is much of it.
const FEW_PART: usize = 50;
const FEW_WAIT_MS: u64 = 6_000;
/// Silence beyond a lease after which a machine is returned though the term is young.
const LONG_SILENT_MS: u64 = 3_000;

impl Fleet {
    /// Declares machines empty whose lease has certainly run out: every controller says, as of
    /// a moment a whole lease after the last answer anyone gave, that it gave no later one.
    pub fn expire_leases(&mut self, cluster: &ClusterView<'_>) {
        let lease = plus_drift(cluster.settings.worker_lease_ms()) + 500;
        let mut told_until = MonotonicTime(u64::MAX);
        // Nobody tells of answers before that moment; each could be one to any machine.
        let mut last_other = MonotonicTime(0);
        let kept = cluster.settings.timing().answers_ms;
        for n in 0..cluster.nodes.len() {
            let id = NodeId(n as u8);
            match self.nodes.get(&id) {
                Some(n) if n.echo_ms > 0 => {
                    told_until = told_until.min(MonotonicTime(n.echo_ms));
                    // Its predecessor ended before this process started.
                    last_other = last_other.max(n.at.less(n.up_ms)).max(n.first.less(kept));
                }
                _ => match self.absent.get(&id) {
                    Some((_, since)) => {
                        told_until = told_until.min(cluster.synced);
                        let bound = last_possible_answer(*since, cluster.settings.keep_alive_ms());
                        last_other = last_other.max(bound);
                    }
                    None => return,
                },
            }
        }
        let over = |id: &MachineId| {
            let last = self.heard.get(id).copied().unwrap_or_default().max(last_other);
            last.plus(lease) < told_until
        };
        let expired_leases: Vec<(MachineId, AgentEpoch)> = self
            .known()
            .filter(|(k, _, _)| k.view.reconciled && over(&k.view.id))
            .map(|(k, _, _)| (k.view.id.clone(), k.view.agent_epoch))
            .collect();
        let silent: Vec<MachineId> =
            self.unreconciled.iter().filter(|id| over(id)).cloned().collect();
        for (id, agent_epoch) in expired_leases {
            tracing::warn!(machine = %id, "lease has run out at every controller");
            self.expired_leases.insert(id, agent_epoch);
        }
        for id in silent {
            tracing::warn!(machine = %id, "lease has run out at every controller");
            // Its session is over, so nothing of earlier terms runs there; should it come
            // back, it reports a newer session.
            self.unreconciled.remove(&id);
        }
    }

    /// Machines that may be returned now: drained and empty, failed, silent beyond any lease,
    /// deaf, or never come up. What is on them dies with them, and the cloud's answer proves it.
    pub fn machines_to_scale_in(&self, cluster: &ClusterView<'_>) -> Vec<MachineId> {
        let now = cluster.now;
        let views: HashMap<&MachineId, (&OwnedMachine, NodeId, &ControllerState)> =
            self.known().map(|(k, id, n)| (&k.view.id, (k, id, n))).collect();
        let lease = plus_drift(cluster.settings.worker_lease_ms()) + 1_000;
        // Whoever is up has had a whole lease to report to this term's controllers.
        let calm = now.since(self.began) > lease;
        // Whatever an older controller kept alive has had time to come over.
        let deaf = now.since(self.began) > lease + plus_drift(cluster.settings.keep_alive_ms());
        let timing = cluster.settings.timing();
        let quick = timing.quick_ms;
        // The last few that do not show the token have mostly stopped, and what they may still run
        // keeps tasks of many jobs waiting for a whole lease.
        let up = self.machines.values().filter(|m| m.up).count();
        let few = self.reconciliation_awaited
            && are_few(self.unreconciled.len(), up)
            && now.since(self.began) > timing.gap_ms + FEW_WAIT_MS;
        let restarted: HashSet<&MachineId> =
            self.nodes.values().flat_map(|n| &n.restarted).collect();
        let all_foreign_machines = self.nodes.values().flat_map(|n| &n.foreign_machines);
        let foreign_machines: HashSet<&MachineId> = all_foreign_machines
            .filter(|s| s.silent_ms < timing.out_of_reach_ms)
            .map(|s| &s.id)
            .collect();
        let well: Vec<NodeId> =
            self.nodes.keys().copied().filter(|node| self.hears_well(cluster, *node)).collect();
        let silent_ms =
            |id: &MachineId| now.since(self.heard.get(id).copied().unwrap_or(self.began));
        // Many that fall silent at once are cut off: what they ran is proven over by their
        // leases, and they will be wanted when they are back, with their images.
        let mute = self.machines.iter().filter(|(id, m)| m.up && silent_ms(id) > quick).count();
        let cut_off = mute > (up / MANY_PART).max(MANY_LEAST);
        let over = |id: &MachineId, m: &FleetMachine| {
            let startup = cluster.catalog.get(&m.offer.machine_type).map_or(60.0, |f| f.boot_s);
            let silent = silent_ms(id);
            // What ran before it was restarted is over, but nobody can tell its reports from
            // late copies of earlier ones.
            if restarted.contains(id) || (m.missing && silent > timing.gap_ms) {
                return true;
            }
            if m.failed
                || (self.unreconciled.contains(id)
                    && (deaf || few && !foreign_machines.contains(id)))
            {
                return true;
            }
            match views.get(id) {
                Some((k, node, n)) => {
                    let drained = m.draining.is_some_and(|s| n.applied_plan >= s)
                        && k.view.tasks.is_empty()
                        && k.view.reconciled
                        && !self.unreconciled.contains(id);
                    let limit = match (cut_off, well.contains(node)) {
                        (true, _) => lease.max(CUT_OFF_MS),
                        (false, true) => quick,
                        (false, false) => lease,
                    };
                    let long = silent > lease + LONG_SILENT_MS && now.since(self.began) > HEARS_MS;
                    drained || (calm && m.losing) || ((calm || long) && silent > limit)
                }
                None => {
                    let never = (startup * 4_000.0).max(90_000.0) as u64;
                    if m.up {
                        calm && silent > if cut_off { lease.max(CUT_OFF_MS) } else { lease }
                    } else {
                        now.since(m.since) > never && silent > lease
                    }
                }
            }
        };
        self.machines
            .iter()
            .filter(|(id, m)| over(id, m))
            .map(|(id, _)| id.clone())
            .take(100)
            .collect()
    }

    /// Whether silence of a machine can only be its own: all controllers are heard, none of
    /// them restarted lately, and its owner hears others. A machine that is merely cut off
    /// for longer would lose its tasks with its lease anyway.
    fn hears_well(&self, cluster: &ClusterView<'_>, owner: NodeId) -> bool {
        let reconciled_ms = plus_drift(cluster.settings.worker_lease_ms()) + 5_000;
        self.nodes.len() == cluster.nodes.len()
            && self
                .nodes
                .values()
                .all(|n| cluster.now.since(n.at) < 1_000 && n.up_ms > reconciled_ms)
            && self.known().any(|(k, node, _)| node == owner && cluster.now.since(k.heard) < 2_000)
    }
}

/// Whether so many machines of all that are up can be done without.
pub(super) fn are_few(machines: usize, up: usize) -> bool {
    machines <= up / FEW_PART
}
