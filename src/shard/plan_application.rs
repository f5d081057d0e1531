//! Application of the plans of the term's leader.
//!
//! A plan is valid only in its own term and for the process incarnation that it names. Plans are applied in
//! the order of their sequence numbers (`docs/safety.md`, "Who may start").

use std::collections::BTreeMap;

use super::Shard;
use super::active_plan::ActivePlan;
use crate::model::{AgentEpoch, JobId, MachineId, NodeId, PlanSeq};
use crate::peer::{JobStatus, OwnershipChanges, Plan, PlanBody};

/// Job progress in the newest plan, for answers to users. It permits no action, so it is kept when a term
/// begins: completions are final, and the number of running tasks is as of that plan.
#[derive(Debug, Default)]
pub(super) struct JobProgress {
    pub(super) job_statuses: Vec<JobStatus>,
    /// Job number and number of completed tasks, for jobs whose completions are not all recorded in the state
    /// store.
    pub(super) completed: Vec<(u64, u32)>,
}

impl Shard {
    /// Applies a plan. Returns false if no new plan was applied: the plan is of another term or incarnation,
    /// is not newer than the active plan, has no body, or lacks ownership changes made since the active plan.
    pub fn apply_plan(&mut self, plan: Plan) -> bool {
        if plan.term != self.term_state.term || plan.incarnation != self.incarnation {
            return false;
        }
        self.acknowledge_summary(plan.acknowledged_summary);
        let active_plan_seq = self.term_state.plan.seq;
        if plan.seq == active_plan_seq {
            self.term_state.leader_clock_ms =
                self.term_state.leader_clock_ms.max(plan.leader_clock_ms);
            return false;
        }
        let is_next = plan.seq > active_plan_seq && plan.owners.base <= active_plan_seq;
        let Some(body) = plan.body.filter(|_| is_next) else {
            return false;
        };
        self.apply_ownership(plan.owners);
        self.apply_expired_leases(&body.expired_leases);
        self.replace_active_plan(plan.seq, body);
        self.term_state.leader_clock_ms = plan.leader_clock_ms;
        self.term_state.assignment_stale = true;
        self.term_state.announcements_pending = true;
        tracing::debug!(term = %plan.term, plan = plan.seq.0, "applied plan");
        true
    }

    /// Records that the leader has applied summary `seq`, if that summary was sent recently.
    fn acknowledge_summary(&mut self, seq: u64) {
        if let Some(sent) = self.sent_summaries.iter().find(|sent| sent.seq == seq) {
            let acknowledged = &mut self.term_state.acknowledged_summary;
            *acknowledged = (*acknowledged).max(Some(*sent));
        }
    }

    /// Replaces the active plan.
    fn replace_active_plan(&mut self, seq: PlanSeq, mut body: PlanBody) {
        self.job_progress = JobProgress {
            job_statuses: std::mem::take(&mut body.job_statuses),
            completed: std::mem::take(&mut body.completed),
        };
        let next = ActivePlan::new(self.term_state.term, seq, body);
        let previous = std::mem::replace(&mut self.term_state.plan, next);
        if self.term_state.plan.has_new_stops(&previous) {
            self.queue_gang_kills();
        }
    }

    /// Applies ownership changes and discards the state of machines that other shards now own.
    fn apply_ownership(&mut self, changes: OwnershipChanges) {
        let term_state = &mut self.term_state;
        if changes.base == PlanSeq(0) {
            let owners: BTreeMap<MachineId, NodeId> = changes.set.into_iter().collect();
            let previous = std::mem::replace(&mut term_state.owners, owners);
            let owners = &term_state.owners;
            term_state.redirects.retain(|id, _| previous.get(id) == owners.get(id));
        } else {
            term_state.owners.extend(changes.set);
            for id in &changes.removed {
                term_state.owners.remove(id);
            }
        }
        let (node_id, owners) = (self.node_id, &term_state.owners);
        // The new owner reports the tasks of a machine that this shard no longer owns. If there is no new
        // owner, the tasks ended with the machine.
        self.machines.retain(|id, _| owners.get(id) == Some(&node_id));
        term_state.foreign_machines.retain(|id, _| owners.get(id) != Some(&node_id));
        self.restarted.retain(|id| owners.contains_key(id));
    }

    /// Discards the tasks of agent epochs whose lease has expired.
    fn apply_expired_leases(&mut self, expired_leases: &[(MachineId, AgentEpoch)]) {
        for (id, agent_epoch) in expired_leases {
            if let Some(machine) = self.machines.get_mut(id)
                && machine.agent_epoch <= *agent_epoch
            {
                machine.tasks.clear();
            }
        }
    }

    /// Returns the status of a job in the newest plan, or `None` if the plan does not list the job.
    pub fn job_status(&self, job: JobId) -> Option<JobStatus> {
        self.job_progress.job_statuses.iter().find(|status| status.job == job.0).copied()
    }

    /// Returns the number of completed tasks of a job in the newest plan; 0 if all completions are recorded
    /// in the state store.
    pub fn completed_count(&self, job: JobId) -> u32 {
        self.job_progress.completed.iter().find(|c| c.0 == job.0).map_or(0, |c| c.1)
    }
}
