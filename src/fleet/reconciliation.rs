//! What proves where tasks are, for the log.

use std::collections::BTreeMap;
use std::fmt;

use rustc_hash::FxHashMap;

use super::{Fleet, OnMachines};
use crate::model::{MachineId, NodeId, PlanSeq, TaskId};

/// Machines that showed the term's token to one controller.
struct OwnerProof {
    plan: PlanSeq,
    machines: usize,
}

/// Why no machine holds what an earlier term had started and none shows: every machine that was up showed the term's
/// token to its owner, or is gone.
pub struct SettledProof {
    owners: BTreeMap<NodeId, OwnerProof>,
    lapsed: usize,
    gone: usize,
}

impl fmt::Display for SettledProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (node, proof) in &self.owners {
            write!(f, "node {}: {} by plan {}; ", node.0, proof.machines, proof.plan.0)?;
        }
        write!(f, "leases ended: {}; gone: {}", self.lapsed, self.gone)
    }
}

/// A task that two settled machines show.
pub struct DoubledTask {
    /// The task.
    pub task: TaskId,
    /// The machines.
    pub machines: [MachineId; 2],
}

impl Fleet {
    /// What shows that all machines have settled.
    pub fn proof(&self) -> SettledProof {
        let mut owners: BTreeMap<NodeId, OwnerProof> = BTreeMap::new();
        for (_, node, state) in self.known().filter(|(k, _, _)| k.view.settled) {
            let proof = owners.entry(node);
            proof.or_insert(OwnerProof { plan: state.followed, machines: 0 }).machines += 1;
        }
        SettledProof { owners, lapsed: self.lapsed.len(), gone: self.gone.len() }
    }

    /// Tasks that more than one settled machine shows; `on` is where tasks are.
    pub fn doubled(&self, on: &OnMachines<'_>) -> Vec<DoubledTask> {
        let settled = || self.known().map(|(k, _, _)| &k.view).filter(|view| view.settled);
        if settled().map(|view| view.tasks.len()).sum::<usize>() == on.len() {
            return Vec::new();
        }
        let mut first: FxHashMap<TaskId, &MachineId> = FxHashMap::default();
        let mut doubled = Vec::new();
        for (view, held) in settled().flat_map(|view| view.tasks.iter().map(move |t| (view, t))) {
            match first.get(&held.task) {
                Some(other) if **other != view.id => {
                    let machines = [(*other).clone(), view.id.clone()];
                    doubled.push(DoubledTask { task: held.task, machines });
                }
                Some(_) => {}
                None => {
                    first.insert(held.task, &view.id);
                }
            }
        }
        doubled
    }
}
