//! Following the plans of a term's leader.

use std::collections::BTreeMap;

use super::Shard;
use super::active_plan::ActivePlan;
use super::machine::Machine;
use crate::model::{AgentEpoch, JobId, MachineId, NodeId, PlanSeq};
use crate::peer::{JobStatus, OwnershipChanges, Plan};

/// How jobs stand as the newest plan told, for users. It grants nothing, so it stays when a term begins: completions
/// are true forever, and the number of running tasks is of that time.
#[derive(Debug, Default)]
pub(super) struct LeaderProgress {
    pub(super) job_statuses: Vec<JobStatus>,
    /// Jobs and how many of their tasks have completed, where not all of that is on record.
    pub(super) completed: Vec<(u64, u32)>,
}

impl Shard {
    /// Follows a plan, unless it is of another term or life, or older than the last.
    pub fn follow(&mut self, plan: Plan) -> bool {
        if plan.term != self.term_state.term || plan.incarnation != self.incarnation {
            return false;
        }
        if let Some(sent) = self.sent_summaries.iter().find(|s| s.0 == plan.heard) {
            self.term_state.acknowledged_summary =
                self.term_state.acknowledged_summary.max(Some(*sent));
        }
        let active_plan_seq = self.term_state.plan.seq;
        if plan.seq == active_plan_seq {
            self.term_state.leader_clock_ms = self.term_state.leader_clock_ms.max(plan.clock_ms);
            return false;
        }
        let is_next = plan.seq > active_plan_seq && plan.owners.base <= active_plan_seq;
        let Some(mut body) = plan.body.filter(|_| is_next) else {
            return false;
        };
        self.apply_ownership(plan.owners);
        self.apply_expired_leases(&body.expired_leases);
        self.leader_progress = LeaderProgress {
            job_statuses: std::mem::take(&mut body.job_statuses),
            completed: std::mem::take(&mut body.completed),
        };
        let next = ActivePlan::new(plan.term, plan.seq, body);
        let before = std::mem::replace(&mut self.term_state.plan, next);
        if self.term_state.plan.stops_more_than(&before) {
            self.queue_gang_kills();
        }
        self.term_state.leader_clock_ms = plan.clock_ms;
        self.term_state.assignment_stale = true;
        self.term_state.announcements_pending = true;
        tracing::debug!(term = %plan.term, plan = plan.seq.0, "follows a plan");
        true
    }

    /// Follows what a plan says of owners, and forgets what is no longer this part's to tell.
    fn apply_ownership(&mut self, news: OwnershipChanges) {
        let term_state = &mut self.term_state;
        if news.base == PlanSeq(0) {
            let owners: BTreeMap<MachineId, NodeId> = news.set.into_iter().collect();
            let before = std::mem::replace(&mut term_state.owners, owners);
            let owners = &term_state.owners;
            term_state.redirects.retain(|id, _| before.get(id) == owners.get(id));
        } else {
            term_state.owners.extend(news.set);
            for id in &news.gone {
                term_state.owners.remove(id);
            }
        }
        let (me, owners) = (self.me, &term_state.owners);
        // Whatever was on a machine that this part no longer has is its new owner's to tell,
        // or is gone with the machine.
        self.machines.retain(|id, _| owners.get(id) == Some(&me));
        term_state.foreign_machines.retain(|id, _| owners.get(id) != Some(&me));
        self.restarted.retain(|id| owners.contains_key(id));
    }

    /// Forgets the tasks of sessions whose lease has run out.
    fn apply_expired_leases(&mut self, expired_leases: &[(MachineId, AgentEpoch)]) {
        for (id, agent_epoch) in expired_leases {
            if let Some(m) = self.machines.get_mut(id).filter(|m| m.agent_epoch <= *agent_epoch) {
                m.tasks.clear();
            }
        }
    }

    /// Machines with tasks of gangs that are being stopped are told straight away, and in the answers to their
    /// reports.
    fn queue_gang_kills(&mut self) {
        let plan = &self.term_state.plan;
        let has = |m: &Machine| m.tasks.iter().any(|(t, h)| plan.stop_of(*t, h.attempt).is_some());
        let on = self.machines.iter().filter(|(_, m)| has(m)).map(|(id, _)| id.clone());
        self.kills_due.extend(on);
    }

    /// How a job stands as the leader last told.
    pub fn job_status(&self, job: JobId) -> Option<JobStatus> {
        self.leader_progress.job_statuses.iter().find(|s| s.job == job.0).copied()
    }

    /// How many tasks of a job have completed as the leader last told, if not all of that is on record.
    pub fn completed(&self, job: JobId) -> u32 {
        self.leader_progress.completed.iter().find(|c| c.0 == job.0).map_or(0, |c| c.1)
    }
}
