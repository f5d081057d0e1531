//! The task grants of one term: which tasks may be running, and which are proven not to run.
//!
//! **Invariant:** a task is granted only if it is proven to be on no machine
//! ([`TaskGrants::is_free`]). A term begins with no grants, and every task that an earlier term
//! granted and that is not done is *unresolved*. An unresolved task becomes resolved when a
//! reconciled machine reports it, when it is done, or when every machine that may hold it is
//! reconciled or proven terminated. A machine is reconciled once one of its heartbeats has carried
//! the fencing token of the current term, because it refuses commands of earlier terms from then
//! on. Within a term a task has at most one grant. A revoked grant blocks the task until the shard
//! that held it follows a plan without it. The argument is in `docs/safety.md`, "When a task is
//! free".

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

/// The resources that a task uses and the team that they count for. Kept with the grant, because
/// the job's spec is dropped when the job ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskUse {
    /// Index of the team in the settings.
    pub(super) team: usize,
    /// Resources of one task.
    pub(super) need: Resources,
}

/// A task that one controller may start.
#[derive(Clone)]
pub(super) struct TaskGrant {
    /// Resources and team that the task counts for.
    pub(super) usage: TaskUse,
    /// The controller that may start the task.
    pub(super) node: NodeId,
    /// The attempt that all tasks of a gang share; `None` if the job is not a gang.
    pub(super) attempt: Option<Attempt>,
    /// When a reconciled machine last reported the task; until one does, when it was granted.
    pub(super) last_used_at: MonotonicTime,
    /// The zone that the task has to start in; `None` unless the job is bound to zones.
    pub(super) zone: Option<String>,
    /// Whether a worker has reported the task.
    pub(super) reported: bool,
    /// Whether the task starts only once another task releases its resources.
    pub(super) awaits_release: bool,
}

/// A grant that an epoch decides on. It takes effect once the epoch is published.
pub(super) struct NewGrant {
    /// The granted task.
    pub(super) task: TaskId,
    /// Where it may start, and under which conditions.
    pub(super) grant: TaskGrant,
}

/// Why a grant is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RevocationReason {
    /// The task has been on no machine for longer than `unused_grant_timeout_ms`.
    Unused,
    /// The task must no longer start: its job has ended, or the task is done.
    Ended,
    /// The task's gang is being stopped.
    GangStopped,
}

/// A revoked grant. The controller may still start the task until it follows a plan without the
/// grant.
pub(super) struct RevokedGrant {
    /// Resources and team that the task counts for until the revocation is confirmed.
    pub(super) usage: TaskUse,
    /// The controller that held the grant.
    pub(super) node: NodeId,
    /// The first plan without the grant.
    pub(super) plan: PlanSeq,
    /// The zone that the task had to start in; `None` unless the job is bound to zones.
    pub(super) zone: Option<String>,
}

/// Counts of one job's tasks that are running or may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TaskCounts {
    /// Tasks that are on reconciled machines, are granted, or whose revocation is not confirmed.
    pub(super) held: u32,
    /// Tasks granted by earlier terms that may be running on any unreconciled machine.
    pub(super) unresolved: u32,
}

/// [`TaskCounts`] by job; jobs without such tasks have no entry.
pub(super) type JobTaskCounts = FxHashMap<JobId, TaskCounts>;

/// The grants of the current term, and the tasks that earlier terms may have left running.
pub(super) struct TaskGrants {
    /// Grants of this term that are in force.
    pub(super) granted: BTreeMap<TaskId, TaskGrant>,
    /// Grants of this term that are revoked and whose revocation is not confirmed.
    pub(super) revoked: FxHashMap<TaskId, RevokedGrant>,
    /// Tasks granted by earlier terms and not yet proven to be on no machine.
    pub(super) unresolved: FxHashSet<TaskId>,
    /// Tasks that the state service has on record as granted, by job.
    pub(super) recorded: FxHashMap<JobId, TaskRanges>,
    /// Tasks on record that this leader recorded ahead of time and has never granted.
    pub(super) recorded_ahead: FxHashSet<TaskId>,
    /// Tasks that two machines report and that were logged as such.
    pub(super) duplicated: FxHashSet<TaskId>,
    /// Allocator of this term's attempts, which gangs use.
    pub(super) attempts: AttemptAllocator,
}

impl TaskGrants {
    /// Begins a term: nothing is granted, and every unfinished task that an earlier term granted is
    /// unresolved. `previous` is the last term that this leader led, with its grants.
    pub(super) fn begin(
        replica: &Replica,
        term: Term,
        previous: Option<(Term, TaskGrants)>,
    ) -> Self {
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
        if let Some((previous_term, previous_grants)) = previous {
            if previous_term.0 + 1 == term.0 {
                // No other leader led in between, so tasks that were recorded ahead and never
                // granted are on no machine.
                task_grants
                    .unresolved
                    .retain(|task| !previous_grants.recorded_ahead.contains(task));
                task_grants.recorded_ahead = previous_grants.recorded_ahead;
            }
            // The record in the state service may lag behind what this leader granted itself.
            let may_run = |task: &TaskId| replica.may_run(*task);
            task_grants.unresolved.extend(previous_grants.granted.keys().copied().filter(may_run));
            task_grants.unresolved.extend(previous_grants.revoked.keys().copied().filter(may_run));
            task_grants
                .unresolved
                .extend(previous_grants.unresolved.iter().copied().filter(may_run));
        }
        task_grants
    }

    /// Returns whether a task may be granted: it is not done and proven to be on no machine.
    fn is_free(&self, inputs: &EpochInputs<'_>, task: TaskId) -> bool {
        let completed = inputs.cluster.completed_tasks.get(&task.job);
        inputs.cluster.replica.may_run(task)
            && !completed.is_some_and(|completed| completed.tasks.contains(task.index))
            && !inputs.on_machines.contains_key(&task)
            && !self.granted.contains_key(&task)
            && !self.revoked.contains_key(&task)
            && !self.unresolved.contains(&task)
    }

    /// Returns the job's tasks that may be granted, in ascending order.
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

    /// Returns the tasks granted or revoked in this term that no reconciled machine reports.
    fn not_on_machines(&self, on_machines: &TasksOnMachines<'_>) -> impl Iterator<Item = &TaskId> {
        let held = self.granted.keys().chain(self.revoked.keys());
        held.filter(|task| !on_machines.contains_key(task))
    }

    /// Adds tasks granted or revoked in this term that no reconciled machine reports to the usage of
    /// their teams. `teams` has the order of the teams in the settings.
    pub(super) fn count_not_on_machines(
        &self,
        on_machines: &TasksOnMachines<'_>,
        teams: &mut [TeamUsage],
    ) {
        let not_on_machine = |task: &TaskId| !on_machines.contains_key(task);
        for (_, grant) in self.granted.iter().filter(|(task, _)| not_on_machine(task)) {
            if let Some(team) = teams.get_mut(grant.usage.team) {
                team.granted.add(&grant.usage.need, 1);
            }
        }
        for (_, revoked) in self.revoked.iter().filter(|(task, _)| not_on_machine(task)) {
            if let Some(team) = teams.get_mut(revoked.usage.team) {
                team.revoked.add(&revoked.usage.need, 1);
            }
        }
    }

    /// Counts the held and the unresolved tasks of each job.
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

    /// Revokes a grant; `plan` is the first plan without it.
    pub(super) fn revoke(&mut self, task: TaskId, plan: PlanSeq, reason: RevocationReason) {
        if let Some(TaskGrant { usage, node, zone, .. }) = self.granted.remove(&task) {
            tracing::debug!(%task, node = node.0, plan = plan.0, ?reason, "revoked a grant");
            self.revoked.insert(task, RevokedGrant { usage, node, plan, zone });
        }
    }

    /// Frees the tasks of revoked grants that a controller held, once the controller follows a plan
    /// without them and its machines do not report them.
    pub(super) fn free_revoked(&mut self, fleet: &Fleet, node: NodeId, applied_plan: PlanSeq) {
        let is_confirmed =
            |revoked: &RevokedGrant| revoked.node == node && revoked.plan <= applied_plan;
        let confirmed = self.revoked.iter().filter(|(_, revoked)| is_confirmed(revoked));
        let mut freed: FxHashSet<TaskId> = confirmed.map(|(task, _)| *task).collect();
        if freed.is_empty() {
            return;
        }
        for held in fleet.views_of(node).flat_map(|machine| &machine.tasks) {
            freed.remove(&held.task);
        }
        for task in &freed {
            tracing::debug!(%task, node = node.0, plan = applied_plan.0, "confirmed a revocation");
            self.revoked.remove(task);
        }
    }
}
