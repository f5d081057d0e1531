//! Summaries, epochs and plans that the leader and the shards exchange.
//!
//! An epoch is computed, written to the store, and published to the shards only once it is durable.

use super::Controller;
use crate::leader::Epoch;
use crate::model::{ClockReading, MonotonicTime, NodeId, Term};
use crate::peer::{PeerResponse, Plan, Summary};
use crate::standby::Standby;
use crate::wire::Condition;

impl Controller {
    /// Returns the shard's summary for the leader, of about `byte_budget` bytes.
    pub fn summary(&mut self, now: MonotonicTime, byte_budget: usize) -> Summary {
        let timing = self.settings.timing();
        let is_follower = self.leader.is_none();
        let follow = self.standby.as_ref().filter(|_| is_follower).map(Standby::request);
        Summary {
            since_store_response_ms: self.rights.since_served_ms(now),
            follow,
            ..self.shard.summary(now, &timing, byte_budget)
        }
    }

    /// As the leader, merges a controller's summary. Returns the response with the controller's
    /// plan, and whether the next epoch should start early.
    pub fn receive_summary(
        &mut self,
        now: MonotonicTime,
        summary: Summary,
    ) -> (PeerResponse, bool) {
        let term = self.replica.term;
        let Some(leader) = &mut self.leader else {
            return (PeerResponse::NotLeading(term), false);
        };
        if summary.node != self.local_node {
            self.shard.merge_completions(now, &self.replica, &summary.completed_tasks);
        }
        let (follow, term) = (summary.follow, leader.term);
        let (mut response, changed) = leader.on_summary(now, summary);
        if let (PeerResponse::Plan(plan), Some(request), Some(standby)) =
            (&mut response, &follow, &mut self.standby)
        {
            plan.decisions = standby.batch_for(term, request);
        }
        (response, changed)
    }

    /// Applies the leader's response to a summary.
    pub fn apply_leader_response(&mut self, response: PeerResponse) {
        match response {
            PeerResponse::Plan(plan) => {
                self.shard.apply_plan(*plan);
            }
            PeerResponse::SendFullSummary => self.shard.request_full_summary(),
            _ => {}
        }
    }

    /// Computes an epoch. Returns `None` if this controller does not lead or may no longer lead.
    pub fn epoch(&mut self, now: ClockReading) -> Option<(Epoch, Term)> {
        if !self.rights.may_lead(now.monotonic) {
            return None;
        }
        self.with_leader(now, |leader, cluster| (leader.epoch(cluster), leader.term))
    }

    /// Publishes an epoch that has become durable, unless its term has ended in the meantime.
    pub fn publish(&mut self, now: ClockReading, epoch: Epoch, term: Term) {
        self.with_leader(now, |leader, cluster| {
            if leader.term == term {
                leader.publish(cluster, epoch);
            }
        });
        self.record_decisions(now);
    }

    /// Returns a controller's plan for sending through the store, and the condition that this
    /// process still leads.
    pub fn plan_for(&self, node: NodeId, now: MonotonicTime) -> Option<(Plan, Condition)> {
        let plan = self.leader.as_ref()?.plan_for(node, now)?;
        Some((plan, self.replica.leader_condition()?))
    }
}
