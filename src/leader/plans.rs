//! What controllers are told of an epoch once it is on record.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::{ClusterView, Epoch, Leader, TaskGrant};
use crate::model::{Attempt, JobId, MonotonicTime, NodeId, PlanSeq, TaskRanges};
use crate::peer::{Grant, JobStatus, Plan, PlanBody, WaitReason};
use crate::wire::TaskState;

/// Longest time for which parts are not told how jobs stand.
const JOB_STATUS_PERIOD_MS: u64 = 1_000;

/// What a controller is granted.
#[derive(Default)]
struct NodeGrants {
    with_room: Vec<Grant>,
    ahead: Vec<Grant>,
}

impl Leader {
    /// Makes an epoch hold, once its transaction is known to be carried out.
    pub fn publish(&mut self, cluster: &ClusterView<'_>, epoch: Epoch) {
        self.recorded.extend(epoch.recorded);
        self.ahead.extend(epoch.ahead);
        for (task, g) in epoch.grants {
            self.ahead.remove(&task);
            if let Some(attempt) = g.attempt {
                self.note_gang(cluster.now, task.job, attempt);
            }
            self.granted.insert(task, TaskGrant { at: cluster.now, ..g });
        }
        let mut bodies = self.bodies_without_job_statuses();
        let same = |id: &NodeId, body: &PlanBody| {
            self.bodies.get(id).is_some_and(|known| known.has_same_commands(body))
        };
        // A plan that tells nothing new would only be sent around.
        let due = cluster.now.since(self.job_statuses_sent) >= JOB_STATUS_PERIOD_MS;
        let news = self.seq == PlanSeq(0)
            || self.fleet.newest() > self.seq
            || self.revoked.values().any(|r| r.seq > self.seq)
            || bodies.iter().any(|(id, b)| !same(id, b));
        if !news && !due {
            return;
        }
        let (job_statuses, completed) = (self.job_statuses(cluster), completed(cluster));
        let told = |b: &PlanBody| b.job_statuses == job_statuses && b.completed == completed;
        if !news && self.bodies.values().all(told) {
            return;
        }
        self.job_statuses_sent = cluster.now;
        for body in bodies.values_mut() {
            body.job_statuses = job_statuses.clone();
            body.completed = completed.clone();
        }
        self.bodies = bodies;
        self.seq = PlanSeq(self.seq.0 + 1);
    }

    /// What each controller may do now, without how jobs stand.
    fn bodies_without_job_statuses(&self) -> BTreeMap<NodeId, PlanBody> {
        let machines = &self.fleet.machines;
        let draining = machines.iter().filter(|(_, m)| m.draining.is_some());
        let slow = self.speeds.iter().filter(|(_, s)| s.is_slow());
        let expired_leases = self.fleet.expired_leases.iter();
        let mut common = PlanBody {
            drain: draining.map(|(id, _)| id.clone()).collect(),
            slow: slow.map(|(id, _)| id.clone()).collect(),
            expired_leases: expired_leases
                .map(|(id, agent_epoch)| (id.clone(), *agent_epoch))
                .collect(),
            stops: self.stops(),
            reserved: self.reserved.clone(),
            ..PlanBody::default()
        };
        common.slow.sort();
        let mut grants = self.grants_by_node();
        let body = |id: &NodeId| {
            let NodeGrants { with_room, ahead } = grants.remove(id).unwrap_or_default();
            (*id, PlanBody { grants: with_room, ahead, ..common.clone() })
        };
        self.fleet.nodes.keys().map(body).collect()
    }

    /// What each controller is granted: where there is room, and ahead of it, first what was granted first.
    fn grants_by_node(&self) -> BTreeMap<NodeId, NodeGrants> {
        type Alike<'a> = (NodeId, JobId, Option<&'a str>, Option<Attempt>, bool);
        let mut alike: BTreeMap<Alike<'_>, (MonotonicTime, TaskRanges)> = BTreeMap::new();
        for (t, g) in &self.granted {
            let key = (g.node, t.job, g.zone.as_deref(), g.attempt, g.ahead);
            let (oldest, tasks) = alike.entry(key).or_insert((g.at, TaskRanges::default()));
            *oldest = g.at.min(*oldest);
            tasks.insert(t.index);
        }
        let mut ahead_by_age: Vec<(MonotonicTime, NodeId, Grant)> = Vec::new();
        let mut by_node: BTreeMap<NodeId, NodeGrants> = BTreeMap::new();
        for ((node, job, zone, attempt, ahead), (oldest, tasks)) in alike {
            let grant = Grant { job: job.0, tasks, zone: zone.map(str::to_string), attempt };
            if ahead {
                ahead_by_age.push((oldest, node, grant));
            } else {
                by_node.entry(node).or_default().with_room.push(grant);
            }
        }
        ahead_by_age.sort_by_key(|(oldest, _, _)| *oldest);
        for (_, node, grant) in ahead_by_age {
            by_node.entry(node).or_default().ahead.push(grant);
        }
        by_node
    }

    fn job_statuses(&self, cluster: &ClusterView<'_>) -> Vec<JobStatus> {
        let on_machines = self.fleet.on_machines();
        let mut running: FxHashMap<JobId, u32> = FxHashMap::default();
        // What still fetches its image or waits for its gang does not run.
        let runs = |s: TaskState| matches!(s, TaskState::Running | TaskState::SavingCheckpoint);
        for (t, _) in on_machines.iter().filter(|(_, s)| runs(s.state)) {
            *running.entry(t.job).or_default() += 1;
        }
        cluster
            .replica
            .jobs
            .keys()
            .map(|job| JobStatus {
                job: job.0,
                running: running.get(job).copied().unwrap_or(0),
                wait_reason: self.wait_reasons.get(job).copied().unwrap_or(WaitReason::No),
            })
            .collect()
    }

    /// A node's plan as of now, with what it does not follow yet.
    pub fn plan_for(&self, node: NodeId, now: MonotonicTime) -> Option<Plan> {
        let state = self.fleet.nodes.get(&node).filter(|_| self.seq > PlanSeq(0))?;
        let body = self.bodies.get(&node)?;
        Some(Plan {
            term: self.term,
            incarnation: state.incarnation,
            seq: self.seq,
            clock_ms: now.0,
            heard: state.number,
            owners: self.fleet.ownership_changes(state.applied_plan),
            body: (state.applied_plan != self.seq).then(|| body.clone()),
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
