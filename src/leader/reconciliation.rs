//! Reconciliation: which tasks are proven not to run, and which unused grants are revoked. Why these
//! proofs hold: `docs/safety.md`, "When a task is free".

use super::Leader;
use super::inputs::EpochInputs;
use super::task_grants::TaskGrants;
use crate::model::{PlanSeq, TaskId, Term};
use crate::replica::Replica;

impl Leader {
    /// Frees what is proven not to run, and revokes grants that were not used.
    pub(super) fn reconcile(&mut self, inputs: &EpochInputs<'_>) {
        let replica = inputs.cluster.replica;
        self.task_grants.resolve(inputs, self.term);
        self.task_grants.forget_ended(replica);
        self.jobs.run_times.retain(|job, _| replica.jobs.contains_key(job));
        self.task_grants.revoke_unused(inputs, self.plans.next());
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

    /// Forgets tasks that are done and jobs that have ended.
    fn forget_ended(&mut self, replica: &Replica) {
        self.granted.retain(|task, _| replica.may_run(*task));
        self.revoked.retain(|task, _| replica.may_run(*task));
        self.recorded.retain(|job, _| replica.jobs.contains_key(job));
        self.recorded_ahead.retain(|task| replica.may_run(*task));
    }

    /// Revokes grants whose task has not been on a machine for too long.
    fn revoke_unused(&mut self, inputs: &EpochInputs<'_>, next_plan: PlanSeq) {
        let now = inputs.cluster.now;
        let unused_ms = inputs.cluster.settings.timing().unused_grant_ms;
        let mut unused: Vec<TaskId> = Vec::new();
        for (task, grant) in &mut self.granted {
            if inputs.on_machines.contains_key(task) {
                grant.at = now;
            } else if now.since(grant.at) > unused_ms {
                unused.push(*task);
            }
        }
        for task in unused {
            self.revoke(task, next_plan);
        }
    }
}
