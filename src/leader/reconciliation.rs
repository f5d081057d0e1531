//! Reconciliation: finds tasks that are proven not to run, and revokes grants that are unused or
//! obsolete. The proofs are argued in `docs/safety.md`, "When a task is free".

use super::Leader;
use super::inputs::EpochInputs;
use super::task_grants::{RevocationReason, TaskGrants};
use crate::model::{PlanSeq, TaskId, Term};
use crate::replica::Replica;
use crate::wire::TaskState;

impl Leader {
    /// Frees tasks that are proven not to run, and revokes grants of ended tasks and unused grants.
    pub(super) fn reconcile(&mut self, inputs: &EpochInputs<'_>) {
        let replica = inputs.cluster.replica;
        let next_plan = self.plans.next();
        self.task_grants.resolve(inputs, self.term);
        self.task_grants.revoke_ended(replica, next_plan);
        self.jobs.run_times.retain(|job, _| replica.jobs.contains_key(job));
        self.task_grants.revoke_unused(inputs, next_plan);
    }

    /// Logs each task that two machines report, once. Such a task violates at-most-once execution
    /// or is about to.
    pub(super) fn log_duplicated_tasks(&mut self, inputs: &EpochInputs<'_>) {
        let duplicated_tasks = inputs.fleet.duplicated(inputs.on_machines);
        let logged = &mut self.task_grants.duplicated;
        logged.retain(|task| duplicated_tasks.iter().any(|duplicated| duplicated.task == *task));
        for duplicated in duplicated_tasks {
            if logged.insert(duplicated.task) {
                let [first, second] = duplicated.machines;
                tracing::error!(
                    task = %duplicated.task, %first, %second, term = %self.term,
                    "task reported by two machines"
                );
            }
        }
    }
}

impl TaskGrants {
    /// Resolves tasks of earlier terms that are done or that a reconciled machine reports. Once no
    /// machine is unreconciled, resolves all of them.
    fn resolve(&mut self, inputs: &EpochInputs<'_>, term: Term) {
        let EpochInputs { cluster, fleet, on_machines } = inputs;
        self.unresolved
            .retain(|task| cluster.replica.may_run(*task) && !on_machines.contains_key(task));
        if fleet.unreconciled.is_empty() && !self.unresolved.is_empty() {
            let (tasks, evidence) = (self.unresolved.len(), fleet.evidence());
            tracing::info!(%term, tasks, %evidence, "proved that unresolved tasks do not run");
            for task in self.unresolved.drain() {
                tracing::debug!(%task, %term, "proved that an unresolved task does not run");
            }
        }
    }

    /// Revokes grants of tasks that must no longer start. Until their shards confirm the
    /// revocation, such a task may start or have started without being reported. A grant whose task
    /// was reported and is done is dropped without a revocation.
    fn revoke_ended(&mut self, replica: &Replica, next_plan: PlanSeq) {
        let ended = self.granted.iter().filter(|(task, _)| !replica.may_run(**task));
        let ended: Vec<(TaskId, bool)> =
            ended.map(|(task, grant)| (*task, grant.reported)).collect();
        for (task, reported) in ended {
            if reported && replica.is_done(task) {
                self.granted.remove(&task);
            } else {
                self.revoke(task, next_plan, RevocationReason::Ended);
            }
        }
        self.recorded.retain(|job, _| replica.jobs.contains_key(job));
        self.recorded_ahead.retain(|task| replica.may_run(*task));
    }

    /// Revokes grants whose tasks no machine has reported for longer than `unused_grant_timeout_ms`.
    fn revoke_unused(&mut self, inputs: &EpochInputs<'_>, next_plan: PlanSeq) {
        let now = inputs.cluster.now;
        let unused_ms = inputs.cluster.settings.timing().unused_grant_timeout_ms;
        let mut unused: Vec<TaskId> = Vec::new();
        for (task, grant) in &mut self.granted {
            if let Some(seen) = inputs.on_machines.get(task) {
                grant.last_used_at = now;
                grant.reported |= seen.state != TaskState::Unknown;
            } else if now.since(grant.last_used_at) > unused_ms {
                unused.push(*task);
            }
        }
        for task in unused {
            self.revoke(task, next_plan, RevocationReason::Unused);
        }
    }
}
