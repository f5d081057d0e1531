//! The task grants of one term: which tasks may be running, and which are proven not to.
//!
//! **The invariant:** a task is granted only if it is proven to be nowhere
//! ([`TaskGrants::is_free`]). A term begins with nothing granted, and everything that an earlier
//! term granted and that is not done is *unresolved*. It stays so until a reconciled machine shows
//! the task, it is done, or every machine that may hold it is reconciled or proven terminated. Within the
//! term a task has one grant; a revoked one blocks the task until its shard follows a plan without it.
//! The argument is in `docs/safety.md`, "When a task is free".

use rustc_hash::{FxHashMap, FxHashSet};

use super::inputs::EpochInputs;
use super::team_usage::TeamUsage;
use crate::attempts::AttemptAllocator;
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{
    Attempt, JobId, LEADER_ATTEMPTS_NODE, MonotonicTime, NodeId, PlanSeq, TaskId, TaskRanges, Term,
};
use crate::replica::Replica;
use crate::resources::Resources;
use crate::wire::JobSpec;
use std::collections::BTreeMap;

/// What a task counts for. It stays with the grant, as a job's description goes when the job ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskUse {
    /// Its team, by number.
    pub(super) team: usize,
    /// What it takes.
    pub(super) need: Resources,
}

/// A task that a controller may start.
#[derive(Clone)]
pub(super) struct TaskGrant {
    /// What it counts for.
    pub(super) usage: TaskUse,
    /// The controller.
    pub(super) node: NodeId,
    /// Set for gangs: the attempt of all their tasks.
    pub(super) attempt: Option<Attempt>,
    /// When it was granted, or the task was last on a machine.
    pub(super) at: MonotonicTime,
    /// Set for jobs that are bound to zones.
    pub(super) zone: Option<String>,
    /// Whether a worker has shown it.
    pub(super) seen: bool,
    /// Whether it waits for a place that another task is about to leave.
    pub(super) awaits_release: bool,
}

/// A task that an epoch grants. It holds once the epoch is published.
pub(super) struct NewGrant {
    /// The task.
    pub(super) task: TaskId,
    /// Where it may start, and how.
    pub(super) grant: TaskGrant,
}

/// Why a grant is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RevocationReason {
    /// Its task has been on no machine for long.
    Unused,
    /// Its task is not to start any more: the job has ended, or the task is done.
    Ended,
    /// Its gang is being stopped.
    GangStopped,
}

/// A grant that was taken back. The task may still be started until its shard follows a later plan.
pub(super) struct RevokedGrant {
    /// What it counts for until then.
    pub(super) usage: TaskUse,
    /// The controller that it was granted to.
    pub(super) node: NodeId,
    /// The first plan without the grant.
    pub(super) plan: PlanSeq,
    /// Set for jobs that are bound to zones.
    pub(super) zone: Option<String>,
}

/// How many of a job's tasks are accounted for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TaskCounts {
    /// Tasks on machines, granted or revoked but not confirmed.
    pub(super) held: u32,
    /// Tasks of earlier terms that may be running anywhere.
    pub(super) unresolved: u32,
}

/// [`TaskCounts`] by job. Jobs without such tasks are left out.
pub(super) type JobTaskCounts = FxHashMap<JobId, TaskCounts>;

/// What this leader granted in its term, and what earlier terms may have left running.
pub(super) struct TaskGrants {
    /// Granted in this term.
    pub(super) granted: BTreeMap<TaskId, TaskGrant>,
    /// Granted in this term and taken back, until that is confirmed.
    pub(super) revoked: FxHashMap<TaskId, RevokedGrant>,
    /// Granted by an earlier term and not proven to be nowhere yet.
    pub(super) unresolved: FxHashSet<TaskId>,
    /// Grants on record in the store.
    pub(super) recorded: FxHashMap<JobId, TaskRanges>,
    /// Tasks on record that were never granted: this leader recorded them ahead of time.
    pub(super) recorded_ahead: FxHashSet<TaskId>,
    /// Tasks that two machines show.
    pub(super) duplicated: FxHashSet<TaskId>,
    /// Attempts of this term, for gangs.
    pub(super) attempts: AttemptAllocator,
}

impl TaskGrants {
    /// Begins a term: nothing is granted, and whatever was is unresolved. `before` is the
    /// value of the last term that this leader led.
    pub(super) fn begin(replica: &Replica, term: Term, before: Option<(Term, TaskGrants)>) -> Self {
        let mut recorded: FxHashMap<JobId, TaskRanges> = FxHashMap::default();
        for (job, ranges) in replica.epochs.values().flat_map(|epoch| &epoch.value.granted) {
            recorded.entry(*job).or_default().extend(ranges.iter());
        }
        let mut task_grants = TaskGrants {
            granted: BTreeMap::new(),
            revoked: FxHashMap::default(),
            unresolved: replica.unfinished_granted_tasks(),
            recorded,
            recorded_ahead: FxHashSet::default(),
            duplicated: FxHashSet::default(),
            attempts: AttemptAllocator::new(term, LEADER_ATTEMPTS_NODE),
        };
        if let Some((last_term, old)) = before {
            if last_term.0 + 1 == term.0 {
                // Nobody led in between, so what this leader never granted is nowhere.
                task_grants.unresolved.retain(|task| !old.recorded_ahead.contains(task));
                task_grants.recorded_ahead = old.recorded_ahead;
            }
            // The record in the store may lag behind what this very leader granted.
            let may_run = |task: &TaskId| replica.may_run(*task);
            task_grants.unresolved.extend(old.granted.keys().copied().filter(may_run));
            task_grants.unresolved.extend(old.revoked.keys().copied().filter(may_run));
            task_grants.unresolved.extend(old.unresolved.iter().copied().filter(may_run));
        }
        task_grants
    }

    /// Whether a task may be granted: it is proven to be nowhere.
    fn is_free(&self, inputs: &EpochInputs<'_>, task: TaskId) -> bool {
        let completed = inputs.cluster.completed_tasks.get(&task.job);
        inputs.cluster.replica.may_run(task)
            && !completed.is_some_and(|completed| completed.tasks.contains(task.index))
            && !inputs.on_machines.contains_key(&task)
            && !self.granted.contains_key(&task)
            && !self.revoked.contains_key(&task)
            && !self.unresolved.contains(&task)
    }

    /// The job's tasks that may be granted, in their order.
    pub(super) fn free_tasks(
        &self,
        inputs: &EpochInputs<'_>,
        spec: &JobSpec,
    ) -> impl Iterator<Item = TaskId> {
        let job = spec.id;
        (0..spec.task_count)
            .map(move |index| TaskId { job, index })
            .filter(move |task| self.is_free(inputs, *task))
    }

    /// Tasks granted or revoked in this term that no reconciled machine shows.
    fn not_on_machines(&self, on_machines: &TasksOnMachines<'_>) -> impl Iterator<Item = &TaskId> {
        let held = self.granted.keys().chain(self.revoked.keys());
        held.filter(|task| !on_machines.contains_key(task))
    }

    /// Counts the same for their teams, by number.
    pub(super) fn count_under_way(
        &self,
        on_machines: &TasksOnMachines<'_>,
        teams: &mut [TeamUsage],
    ) {
        let is_under_way = |task: &TaskId| !on_machines.contains_key(task);
        for (_, grant) in self.granted.iter().filter(|(task, _)| is_under_way(task)) {
            if let Some(team) = teams.get_mut(grant.usage.team) {
                team.granted.add(&grant.usage.need, 1);
            }
        }
        for (_, revoked) in self.revoked.iter().filter(|(task, _)| is_under_way(task)) {
            if let Some(team) = teams.get_mut(revoked.usage.team) {
                team.revoked.add(&revoked.usage.need, 1);
            }
        }
    }

    /// How many tasks of each job are held, and how many may be running anywhere.
    pub(super) fn counts(&self, on_machines: &TasksOnMachines<'_>) -> JobTaskCounts {
        let mut counts = JobTaskCounts::default();
        for task in on_machines.keys() {
            counts.entry(task.job).or_default().held += 1;
        }
        for task in self.not_on_machines(on_machines) {
            counts.entry(task.job).or_default().held += 1;
        }
        for task in &self.unresolved {
            counts.entry(task.job).or_default().unresolved += 1;
        }
        counts
    }

    /// Takes a grant back as of a plan.
    pub(super) fn revoke(&mut self, task: TaskId, plan: PlanSeq, reason: RevocationReason) {
        if let Some(TaskGrant { usage, node, zone, .. }) = self.granted.remove(&task) {
            tracing::debug!(%task, node = node.0, plan = plan.0, ?reason, "revokes");
            self.revoked.insert(task, RevokedGrant { usage, node, plan, zone });
        }
    }

    /// Frees the tasks of revoked grants once their shard follows a plan without them and does not
    /// hold them.
    pub(super) fn free_revoked(&mut self, fleet: &Fleet, node: NodeId, applied_plan: PlanSeq) {
        let is_confirmed =
            |revoked: &RevokedGrant| revoked.node == node && revoked.plan <= applied_plan;
        let confirmed = self.revoked.iter().filter(|(_, revoked)| is_confirmed(revoked));
        let mut free: FxHashSet<TaskId> = confirmed.map(|(task, _)| *task).collect();
        if free.is_empty() {
            return;
        }
        for held in fleet.views_of(node).flat_map(|machine| &machine.tasks) {
            free.remove(&held.task);
        }
        for task in &free {
            tracing::debug!(%task, node = node.0, plan = applied_plan.0, "revocation confirmed");
            self.revoked.remove(task);
        }
    }
}
