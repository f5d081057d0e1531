//! Reconciliation: which tasks are proven not to run, and which grants are revoked. Why these
//! proofs hold: `docs/safety.md`, "When a task is free".

use super::Leader;
use super::inputs::EpochInputs;
use super::task_grants::{RevocationReason, TaskGrants};
use crate::model::{PlanSeq, TaskId, Term};
use crate::replica::Replica;
use crate::wire::TaskState;

impl Leader {
    /// Frees what is proven not to run, and revokes grants that were not used.
    pub(super) fn reconcile(&mut self, inputs: &EpochInputs<'_>) {
        let replica = inputs.cluster.replica;
        let next_plan = self.plans.next();
        self.task_grants.resolve(inputs, self.term);
        self.task_grants.revoke_ended(replica, next_plan);
        self.jobs.run_times.retain(|job, _| replica.jobs.contains_key(job));
        self.task_grants.revoke_unused(inputs, next_plan);
    }

    /// Logs tasks that two machines show, once each: a rule is about to break, or has.
    pub(super) fn log_duplicated_tasks(&mut self, inputs: &EpochInputs<'_>) {
        let found = inputs.fleet.duplicated(inputs.on_machines);
        let logged = &mut self.task_grants.duplicated;
        logged.retain(|task| found.iter().any(|duplicated| duplicated.task == *task));
        for duplicated in found {
            if logged.insert(duplicated.task) {
                let [first, second] = duplicated.machines;
                tracing::error!(
                    task = %duplicated.task, %first, %second, term = %self.term, "on two machines"
                );
            }
        }
    }
}

impl TaskGrants {
    /// Resolves tasks of earlier terms that are done or shown by a reconciled machine, and all of
    /// them once no machine is left that may hold one unseen.
    fn resolve(&mut self, inputs: &EpochInputs<'_>, term: Term) {
        let EpochInputs { cluster, fleet, on_machines } = inputs;
        self.unresolved
            .retain(|task| cluster.replica.may_run(*task) && !on_machines.contains_key(task));
        if fleet.unreconciled.is_empty() && !self.unresolved.is_empty() {
            let (tasks, evidence) = (self.unresolved.len(), fleet.evidence());
            tracing::info!(%term, tasks, %evidence, "proven not to run");
            for task in self.unresolved.drain() {
                tracing::debug!(%task, %term, "proven not to run");
            }
        }
    }

    /// Revokes grants of tasks that are not to start any more: until their shards confirm that, the tasks may start
    /// or have been started unseen. Those that were seen and are done have no further use.
    fn revoke_ended(&mut self, replica: &Replica, next_plan: PlanSeq) {
        let ended = self.granted.iter().filter(|(task, _)| !replica.may_run(**task));
        let ended: Vec<(TaskId, bool)> = ended.map(|(task, grant)| (*task, grant.seen)).collect();
        for (task, seen) in ended {
            if seen && replica.is_done(task) {
                self.granted.remove(&task);
            } else {
                self.revoke(task, next_plan, RevocationReason::Ended);
            }
        }
        self.recorded.retain(|job, _| replica.jobs.contains_key(job));
        self.recorded_ahead.retain(|task| replica.may_run(*task));
    }

    /// Revokes grants whose task has not been on a machine for too long.
    fn revoke_unused(&mut self, inputs: &EpochInputs<'_>, next_plan: PlanSeq) {
        let now = inputs.cluster.now;
        let unused_ms = inputs.cluster.settings.timing().unused_grant_timeout_ms;
        let mut unused: Vec<TaskId> = Vec::new();
        for (task, grant) in &mut self.granted {
            if let Some(seen) = inputs.on_machines.get(task) {
                grant.at = now;
                grant.seen |= seen.state != TaskState::Unknown;
            } else if now.since(grant.at) > unused_ms {
                unused.push(*task);
            }
        }
        for task in unused {
            self.revoke(task, next_plan, RevocationReason::Unused);
        }
    }
}
