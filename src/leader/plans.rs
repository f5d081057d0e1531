//! The plans that controllers get of an epoch once it is on record. Nothing of an epoch reaches a plan
//! before that (`docs/safety.md`, "Durable before said").

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::grant_groups::GrantGroup;
use super::task_grants::{NewGrant, TaskGrant};
use super::{ClusterView, Epoch, Leader};
use crate::model::{JobId, MonotonicTime, NodeId, PlanSeq, TaskRanges};
use crate::peer::{Grant, JobStatus, Plan, PlanBody, WaitReason};
use crate::wire::TaskState;

/// Longest time between two plans with the jobs' status, in milliseconds. Users see that status.
const JOB_STATUS_PERIOD_MS: u64 = 1_000;

/// What a controller is granted.
#[derive(Default)]
struct NodeGrants {
    /// Where there is room now.
    with_room: Vec<Grant>,
    /// For places that other tasks are about to leave.
    awaiting_release: Vec<Grant>,
}

/// Tasks of one [`GrantGroup`].
struct GroupedTasks {
    /// When the first of them was granted.
    oldest: MonotonicTime,
    tasks: TaskRanges,
}

impl Leader {
    /// Makes an epoch hold, once its transaction is known to be carried out.
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
            self.task_grants.granted.insert(task, TaskGrant { at: cluster.now, ..grant });
        }
        let mut bodies = self.bodies_without_job_statuses();
        let same = |id: &NodeId, body: &PlanBody| {
            self.plans.bodies.get(id).is_some_and(|known| known.has_same_commands(body))
        };
        // A plan that tells nothing new would only be sent around.
        let due = cluster.now.since(self.plans.job_statuses_sent) >= JOB_STATUS_PERIOD_MS;
        let news = self.plans.seq == PlanSeq(0)
            || self.fleet.newest_change() > self.plans.seq
            || self.task_grants.revoked.values().any(|revoked| revoked.plan > self.plans.seq)
            || bodies.iter().any(|(id, body)| !same(id, body));
        if !news && !due {
            return;
        }
        let (job_statuses, completed) = (self.job_statuses(cluster), completed(cluster));
        let told =
            |body: &PlanBody| body.job_statuses == job_statuses && body.completed == completed;
        if !news && self.plans.bodies.values().all(told) {
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

    /// What each controller may do now, without how jobs stand.
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

    /// What each controller is granted. Grants that await a release stand in the order in which they
    /// were granted, as the first ones are used first.
    fn grants_by_node(&self) -> BTreeMap<NodeId, NodeGrants> {
        let mut groups: BTreeMap<GrantGroup<'_>, GroupedTasks> = BTreeMap::new();
        for (task, grant) in &self.task_grants.granted {
            let group = groups
                .entry(GrantGroup::of(task, grant))
                .or_insert_with(|| GroupedTasks { oldest: grant.at, tasks: TaskRanges::default() });
            group.oldest = grant.at.min(group.oldest);
            group.tasks.insert(task.index);
        }
        let mut awaiting_release: Vec<(MonotonicTime, NodeId, Grant)> = Vec::new();
        let mut by_node: BTreeMap<NodeId, NodeGrants> = BTreeMap::new();
        for (group, GroupedTasks { oldest, tasks }) in groups {
            let zone = group.zone.map(str::to_string);
            let grant = Grant { job: group.job.0, tasks, zone, attempt: group.attempt };
            if group.awaits_release {
                awaiting_release.push((oldest, group.node, grant));
            } else {
                by_node.entry(group.node).or_default().with_room.push(grant);
            }
        }
        awaiting_release.sort_by_key(|(oldest, _, _)| *oldest);
        for (_, node, grant) in awaiting_release {
            by_node.entry(node).or_default().awaiting_release.push(grant);
        }
        by_node
    }

    /// How jobs stand, for users.
    fn job_statuses(&self, cluster: &ClusterView<'_>) -> Vec<JobStatus> {
        let on_machines = self.fleet.on_machines();
        let mut running: FxHashMap<JobId, u32> = FxHashMap::default();
        // What still fetches its image or waits for its gang does not run.
        let runs =
            |state: TaskState| matches!(state, TaskState::Running | TaskState::SavingCheckpoint);
        for (task, _) in on_machines.iter().filter(|(_, seen)| runs(seen.state)) {
            *running.entry(task.job).or_default() += 1;
        }
        cluster
            .replica
            .jobs
            .keys()
            .map(|job| JobStatus {
                job: job.0,
                running: running.get(job).copied().unwrap_or(0),
                wait_reason: self.jobs.wait_reasons.get(job).copied().unwrap_or(WaitReason::No),
            })
            .collect()
    }

    /// A node's plan as of now, with what it does not follow yet.
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

/// Completed tasks of the jobs of which some are not on record yet.
fn completed(cluster: &ClusterView<'_>) -> Vec<(u64, u32)> {
    let completed_tasks = cluster.completed_tasks.iter();
    let counts = completed_tasks.filter_map(|(id, completed_tasks)| {
        let job = cluster.replica.jobs.get(id)?;
        let new = completed_tasks.tasks.iter().filter(|index| !job.is_done(*index)).count();
        Some((id.0, job.progress.done.len() + new as u32))
    });
    counts.collect()
}
