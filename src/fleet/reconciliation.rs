//! Evidence for the locations of tasks, for the log.

use std::collections::BTreeMap;
use std::fmt;

use rustc_hash::FxHashMap;

use super::{Fleet, TasksOnMachines};
use crate::model::{MachineId, NodeId, PlanSeq, TaskId};

/// Machines that showed the term's fencing token to one controller.
struct OwnerEvidence {
    /// Plan that the controller applied last.
    plan: PlanSeq,
    machines: usize,
}

/// Evidence that no machine runs a task that was started in an earlier term and that no machine
/// shows: every machine that was up has shown the term's fencing token to its owner, or is gone.
/// See `docs/safety.md`.
pub struct ReconciliationEvidence {
    owners: BTreeMap<NodeId, OwnerEvidence>,
    expired_leases: usize,
    gone: usize,
}

impl fmt::Display for ReconciliationEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (node, evidence) in &self.owners {
            write!(f, "node {}: {} by plan {}; ", node.0, evidence.machines, evidence.plan.0)?;
        }
        write!(f, "leases ended: {}; gone: {}", self.expired_leases, self.gone)
    }
}

/// Task shown by two reconciled machines.
pub struct DuplicatedTask {
    /// Task that is shown twice.
    pub task: TaskId,
    /// Machines that show the task.
    pub machines: [MachineId; 2],
}

impl Fleet {
    /// Evidence that all machines are reconciled.
    pub fn evidence(&self) -> ReconciliationEvidence {
        let mut owners: BTreeMap<NodeId, OwnerEvidence> = BTreeMap::new();
        for owned in self.owned_machines().filter(|owned| owned.machine.view.reconciled) {
            let plan = owned.controller.applied_plan;
            let evidence = owners.entry(owned.owner).or_insert(OwnerEvidence { plan, machines: 0 });
            evidence.machines += 1;
        }
        ReconciliationEvidence {
            owners,
            expired_leases: self.expired_leases.len(),
            gone: self.terminated.len(),
        }
    }

    /// Tasks shown by more than one reconciled machine; `on_machines` holds the locations of tasks.
    pub fn duplicated(&self, on_machines: &TasksOnMachines<'_>) -> Vec<DuplicatedTask> {
        let reconciled = || self.views().filter(|view| view.reconciled);
        if reconciled().map(|view| view.tasks.len()).sum::<usize>() == on_machines.len() {
            return Vec::new();
        }
        let mut first_machines: FxHashMap<TaskId, &MachineId> = FxHashMap::default();
        let mut duplicated = Vec::new();
        for (view, held) in reconciled().flat_map(|view| view.tasks.iter().map(move |t| (view, t)))
        {
            match first_machines.get(&held.task) {
                Some(other) if **other != view.id => {
                    let machines = [(*other).clone(), view.id.clone()];
                    duplicated.push(DuplicatedTask { task: held.task, machines });
                }
                Some(_) => {}
                None => {
                    first_machines.insert(held.task, &view.id);
                }
            }
        }
        duplicated
    }
}
