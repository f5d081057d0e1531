//! The plans that controllers receive for an epoch. A plan contains nothing of an epoch before the
//! epoch is on record (`docs/safety.md`, "Durable before said").

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::grant_groups::GrantGroup;
use super::task_grants::{NewGrant, TaskGrant};
use super::{ClusterView, Epoch, Leader};
use crate::model::{JobId, MonotonicTime, NodeId, PlanSeq, TaskRanges};
use crate::peer::{Grant, JobStatus, Plan, PlanBody, WaitReason};
use crate::wire::TaskState;

/// Minimum milliseconds between a plan and a next one that is published only because job statuses have
/// changed. Users see these statuses. A plan with changed commands is published without this delay.
const JOB_STATUS_PERIOD_MS: u64 = 1_000;

/// The grants of one controller.
#[derive(Default)]
struct NodeGrants {
    /// Grants that machines with free resources can serve now.
    with_room: Vec<Grant>,
    /// Grants that start once other tasks release their resources.
    awaiting_release: Vec<Grant>,
}

/// The tasks of one [`GrantGroup`].
struct GroupedTasks {
    /// Earliest [`TaskGrant::last_used_at`] of the tasks.
    earliest_last_used_at: MonotonicTime,
    tasks: TaskRanges,
}

impl Leader {
    /// Puts an epoch into effect. To be called once its transaction is known to be committed.
    pub fn publish(&mut self, cluster: &ClusterView<'_>, epoch: Epoch) {
        self.task_grants.recorded.extend(epoch.recorded);
        self.task_grants.recorded_ahead.extend(epoch.recorded_ahead);
        let (term, plan) = (self.term, self.plans.next().0);
        for NewGrant { task, grant } in epoch.grants {
            tracing::debug!(%task, node = grant.node.0, %term, plan, "granted");
            self.task_grants.recorded_ahead.remove(&task);
            if let Some(attempt) = grant.attempt {
                self.record_gang(cluster.now, task.job, attempt);
            }
            self.task_grants.granted.insert(task, TaskGrant { last_used_at: cluster.now, ..grant });
        }
        let mut bodies = self.bodies_without_job_statuses();
        let is_unchanged = |id: &NodeId, body: &PlanBody| {
            self.plans.bodies.get(id).is_some_and(|known| known.has_same_commands(body))
        };
        // A plan without any change would cost messages and have no effect.
        let status_due = cluster.now.since(self.plans.job_statuses_sent) >= JOB_STATUS_PERIOD_MS;
        let commands_changed = self.plans.seq == PlanSeq(0)
            || self.fleet.newest_ownership_change() > self.plans.seq
            || self.task_grants.revoked.values().any(|revoked| revoked.plan > self.plans.seq)
            || bodies.iter().any(|(id, body)| !is_unchanged(id, body));
        if !commands_changed && !status_due {
            return;
        }
        let (job_statuses, completed) = (self.job_statuses(cluster), completed_counts(cluster));
        let is_current =
            |body: &PlanBody| body.job_statuses == job_statuses && body.completed == completed;
        if !commands_changed && self.plans.bodies.values().all(is_current) {
            return;
        }
        self.plans.job_statuses_sent = cluster.now;
        for body in bodies.values_mut() {
            body.job_statuses = job_statuses.clone();
            body.completed = completed.clone();
        }
        self.plans.bodies = bodies;
        self.plans.seq = self.plans.next();
    }

    /// Returns the body of the next plan for each controller, without the job statuses.
    fn bodies_without_job_statuses(&self) -> BTreeMap<NodeId, PlanBody> {
        let machines = &self.fleet.machines;
        let draining = machines.iter().filter(|(_, m)| m.draining.is_some());
        let slow = self.retained.machine_slowdowns.iter().filter(|(_, speed)| speed.is_slow());
        let expired_leases = self.fleet.expired_leases.iter();
        let mut common = PlanBody {
            drain: draining.map(|(id, _)| id.clone()).collect(),
            slow: slow.map(|(id, _)| id.clone()).collect(),
            expired_leases: expired_leases
                .map(|(id, agent_epoch)| (id.clone(), *agent_epoch))
                .collect(),
            stops: self.stops(),
            reserved: self.gangs.reserved.clone(),
            ..PlanBody::default()
        };
        common.slow.sort();
        let mut grants = self.grants_by_node();
        let body = |id: &NodeId| {
            let NodeGrants { with_room, awaiting_release } = grants.remove(id).unwrap_or_default();
            let grants_awaiting_release = awaiting_release;
            (*id, PlanBody { grants: with_room, grants_awaiting_release, ..common.clone() })
        };
        self.fleet.controllers.keys().map(body).collect()
    }

    /// Returns the grants of each controller. Grants that await a release are ordered by
    /// [`GroupedTasks::earliest_last_used_at`], because shards use them in that order.
    fn grants_by_node(&self) -> BTreeMap<NodeId, NodeGrants> {
        let mut groups: BTreeMap<GrantGroup<'_>, GroupedTasks> = BTreeMap::new();
        for (task, grant) in &self.task_grants.granted {
            let group = groups.entry(GrantGroup::of(task, grant)).or_insert_with(|| GroupedTasks {
                earliest_last_used_at: grant.last_used_at,
                tasks: TaskRanges::default(),
            });
            group.earliest_last_used_at = grant.last_used_at.min(group.earliest_last_used_at);
            group.tasks.insert(task.index);
        }
        let mut awaiting_release: Vec<(MonotonicTime, NodeId, Grant)> = Vec::new();
        let mut by_node: BTreeMap<NodeId, NodeGrants> = BTreeMap::new();
        for (group, GroupedTasks { earliest_last_used_at, tasks }) in groups {
            let zone = group.zone.map(str::to_string);
            let grant = Grant { job: group.job.0, tasks, zone, attempt: group.attempt };
            if group.awaits_release {
                awaiting_release.push((earliest_last_used_at, group.node, grant));
            } else {
                by_node.entry(group.node).or_default().with_room.push(grant);
            }
        }
        awaiting_release.sort_by_key(|(earliest_last_used_at, _, _)| *earliest_last_used_at);
        for (_, node, grant) in awaiting_release {
            by_node.entry(node).or_default().awaiting_release.push(grant);
        }
        by_node
    }

    /// Returns the status of each open job, for answers to users.
    fn job_statuses(&self, cluster: &ClusterView<'_>) -> Vec<JobStatus> {
        let on_machines = self.fleet.on_machines();
        let mut running: FxHashMap<JobId, u32> = FxHashMap::default();
        // A task that fetches its image or waits for its gang does not run yet.
        let is_running =
            |state: TaskState| matches!(state, TaskState::Running | TaskState::SavingCheckpoint);
        for (task, _) in on_machines.iter().filter(|(_, seen)| is_running(seen.state)) {
            *running.entry(task.job).or_default() += 1;
        }
        cluster
            .replica
            .jobs
            .keys()
            .map(|job| JobStatus {
                job: job.0,
                running: running.get(job).copied().unwrap_or(0),
                wait_reason: self
                    .jobs
                    .wait_reasons
                    .get(job)
                    .copied()
                    .unwrap_or(WaitReason::NotWaiting),
            })
            .collect()
    }

    /// Returns the current plan for a controller, without the parts that the controller has applied
    /// already. `None` before the first publication and for unknown controllers.
    pub fn plan_for(&self, node: NodeId, now: MonotonicTime) -> Option<Plan> {
        let state = self.fleet.controllers.get(&node).filter(|_| self.plans.seq > PlanSeq(0))?;
        let body = self.plans.bodies.get(&node)?;
        Some(Plan {
            term: self.term,
            incarnation: state.incarnation,
            seq: self.plans.seq,
            leader_clock_ms: now.0,
            acknowledged_summary: state.seq,
            owners: self.fleet.ownership_changes(state.applied_plan),
            body: (state.applied_plan != self.plans.seq).then(|| body.clone()),
            decisions: None,
        })
    }
}

/// Returns the number of completed tasks of each open job that has completions which may not be on
/// record yet.
fn completed_counts(cluster: &ClusterView<'_>) -> Vec<(u64, u32)> {
    let completed_tasks = cluster.completed_tasks.iter();
    let counts = completed_tasks.filter_map(|(id, completed_tasks)| {
        let job = cluster.replica.jobs.get(id)?;
        let unrecorded = completed_tasks.tasks.iter().filter(|index| !job.is_done(*index)).count();
        Some((id.0, job.progress.done.len() + unrecorded as u32))
    });
    counts.collect()
}
