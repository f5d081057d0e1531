//! Following the plans of the term's leader.
//!
//! A plan counts only in its term and for the incarnation of the process that it names, and plans are followed in
//! order of their numbers (`docs/safety.md`, "Who may start").

use std::collections::BTreeMap;

use super::Shard;
use super::active_plan::ActivePlan;
use crate::model::{AgentEpoch, JobId, MachineId, NodeId, PlanSeq};
use crate::peer::{JobStatus, OwnershipChanges, Plan, PlanBody};

/// How jobs stand by the newest plan, for users. It grants nothing, so it stays when a term begins: completions
/// are true forever, and the number of running tasks is of that time.
#[derive(Debug, Default)]
pub(super) struct LeaderProgress {
    pub(super) job_statuses: Vec<JobStatus>,
    /// Jobs and how many of their tasks have completed, where not all of that is on record.
    pub(super) completed: Vec<(u64, u32)>,
}

impl Shard {
    /// Follows a plan. False if nothing new is followed: it is of another term or incarnation, not newer than the last,
    /// or without the ownership changes since the last.
    pub fn follow(&mut self, plan: Plan) -> bool {
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
        self.activate(plan.seq, body);
        self.term_state.leader_clock_ms = plan.leader_clock_ms;
        self.term_state.assignment_stale = true;
        self.term_state.announcements_pending = true;
        tracing::debug!(term = %plan.term, plan = plan.seq.0, "follows a plan");
        true
    }

    /// Records that the leader has applied the summary of that sequence number, if it was sent lately.
    fn acknowledge_summary(&mut self, seq: u64) {
        if let Some(sent) = self.sent_summaries.iter().find(|sent| sent.seq == seq) {
            let acknowledged = &mut self.term_state.acknowledged_summary;
            *acknowledged = (*acknowledged).max(Some(*sent));
        }
    }

    /// Replaces the active plan.
    fn activate(&mut self, seq: PlanSeq, mut body: PlanBody) {
        self.leader_progress = LeaderProgress {
            job_statuses: std::mem::take(&mut body.job_statuses),
            completed: std::mem::take(&mut body.completed),
        };
        let next = ActivePlan::new(self.term_state.term, seq, body);
        let previous = std::mem::replace(&mut self.term_state.plan, next);
        if self.term_state.plan.stops_more_than(&previous) {
            self.queue_gang_kills();
        }
    }

    /// Applies changes of owners, and forgets what other shards answer for now.
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
        let (me, owners) = (self.me, &term_state.owners);
        // The tasks of a machine that this shard no longer has are its new owner's to summarize, or ended with the machine.
        self.machines.retain(|id, _| owners.get(id) == Some(&me));
        term_state.foreign_machines.retain(|id, _| owners.get(id) != Some(&me));
        self.restarted.retain(|id| owners.contains_key(id));
    }

    /// Forgets the tasks of agent epochs whose lease has expired.
    fn apply_expired_leases(&mut self, expired_leases: &[(MachineId, AgentEpoch)]) {
        for (id, agent_epoch) in expired_leases {
            if let Some(machine) = self.machines.get_mut(id)
                && machine.agent_epoch <= *agent_epoch
            {
                machine.tasks.clear();
            }
        }
    }

    /// How a job stands by the newest plan; `None` if the plan does not mention it.
    pub fn job_status(&self, job: JobId) -> Option<JobStatus> {
        self.leader_progress.job_statuses.iter().find(|status| status.job == job.0).copied()
    }

    /// How many tasks of a job have completed by the newest plan; 0 if all of that is on record.
    pub fn completed(&self, job: JobId) -> u32 {
        self.leader_progress.completed.iter().find(|c| c.0 == job.0).map_or(0, |c| c.1)
    }
}
