//! Which granted tasks are proven not to run, and which grants are taken back.

use rustc_hash::{FxHashMap, FxHashSet};

use super::{Leader, RevokedGrant};
use crate::cluster_view::ClusterView;
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{JobId, NodeId, PlanSeq, TaskId};

impl Leader {
    /// Frees grants that were taken back, once their part follows a plan without them and
    /// does not hold the task.
    pub(super) fn free_revoked(&mut self, node: NodeId, applied_plan: PlanSeq) {
        let fleet = &self.fleet;
        let held: FxHashSet<TaskId> = fleet
            .views()
            .filter(|m| fleet.owners.get(&m.id).is_some_and(|o| o.0 == node))
            .flat_map(|m| m.tasks.iter().map(|t| t.task))
            .collect();
        self.revoked.retain(|t, r| r.node != node || applied_plan < r.seq || held.contains(t));
    }

    /// Frees what is proven not to run, and takes back grants that were not used.
    pub(super) fn reconcile(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
    ) {
        let now = cluster.now;
        let replica = cluster.replica;
        self.unresolved.retain(|t| replica.may_run(*t) && !on_machines.contains_key(t));
        if fleet.unreconciled.is_empty() && !self.unresolved.is_empty() {
            let (term, tasks, evidence) = (self.term, self.unresolved.len(), fleet.evidence());
            tracing::info!(%term, tasks, %evidence, "proven not to run");
            for task in self.unresolved.drain() {
                tracing::debug!(%task, %term, "proven not to run");
            }
        }
        self.granted.retain(|t, _| replica.may_run(*t));
        self.revoked.retain(|t, _| replica.may_run(*t));
        self.recorded.retain(|job, _| replica.jobs.contains_key(job));
        self.job_runs.retain(|job, _| replica.jobs.contains_key(job));
        self.ahead.retain(|t| replica.may_run(*t));
        let next = PlanSeq(self.seq.0 + 1);
        let unused_ms = cluster.settings.timing().unused_ms;
        let mut unused: Vec<TaskId> = Vec::new();
        for (t, g) in &mut self.granted {
            if on_machines.contains_key(t) {
                g.at = now;
            } else if now.since(g.at) > unused_ms {
                unused.push(*t);
            }
        }
        for t in unused {
            if let Some(g) = self.granted.remove(&t) {
                let r = RevokedGrant { node: g.node, seq: next, zone: g.zone };
                self.revoked.insert(t, r);
            }
        }
    }

    /// Logs tasks that two machines show, once each: a rule is about to break, or has.
    pub(super) fn log_duplicated_tasks(
        &mut self,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
    ) {
        let duplicated = fleet.duplicated(on_machines);
        self.duplicated.retain(|task| duplicated.iter().any(|d| d.task == *task));
        for d in duplicated {
            if self.duplicated.insert(d.task) {
                let [first, second] = d.machines;
                tracing::error!(task = %d.task, %first, %second, term = %self.term, "on two machines");
            }
        }
    }

    /// Whether a task may be granted: it is proven to be nowhere.
    pub(super) fn is_free(
        &self,
        cluster: &ClusterView<'_>,
        on_machines: &TasksOnMachines<'_>,
        t: TaskId,
    ) -> bool {
        cluster.replica.may_run(t)
            && !cluster.completed_tasks.get(&t.job).is_some_and(|f| f.tasks.contains(t.index))
            && !on_machines.contains_key(&t)
            && !self.granted.contains_key(&t)
            && !self.revoked.contains_key(&t)
            && !self.unresolved.contains(&t)
    }

    /// Tasks of each job that are on machines or granted, and those that may be anywhere.
    pub(super) fn counts(&self, on_machines: &TasksOnMachines<'_>) -> FxHashMap<JobId, (u32, u32)> {
        let mut counts: FxHashMap<JobId, (u32, u32)> = FxHashMap::default();
        for t in on_machines.keys() {
            counts.entry(t.job).or_default().0 += 1;
        }
        let others = self.granted.keys().chain(self.revoked.keys());
        for t in others.filter(|t| !on_machines.contains_key(t)) {
            counts.entry(t.job).or_default().0 += 1;
        }
        for t in &self.unresolved {
            counts.entry(t.job).or_default().1 += 1;
        }
        counts
    }
}
