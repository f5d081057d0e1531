//! How a controller follows the leader and replaces it, with the warm standby enabled. Without it, all of this does
//! nothing.
//!
//! Whoever suspects the leader asks the others first, and takes the next term only through the store; `docs/safety.md` has
//! the argument.

use willowshore_standby::failover::{
    FailoverCause, FailoverCommand, FailoverEvent, FenceOutcome, PeerObservation, ProbeOutcome,
};
use willowshore_standby::failover_order::{Candidate, rank_of};
use willowshore_standby::settings::StandbySettings;
use willowshore_standby::status::{Status, VerificationCounts};

use super::Controller;
use crate::config::NodeInfo;
use crate::model::{ClockReading, MonotonicTime, NodeId, Term};
use crate::peer::PeerResponse;
use crate::replica::LeaderRecord;
use crate::standby::{FollowedLeader, Standby};
use crate::store_client::TxnOutcome;
use crate::wire::Txn;

/// How old, in milliseconds, the proof may be that the replica is current for this controller to suspect the leader: one that does not know of a newer term
/// would ask about the wrong one, and one that the store refuses could not replace anybody.
const REPLICA_FRESHNESS_MS: u64 = 2_500;

impl Controller {
    /// Enables the warm standby.
    pub fn enable_standby(&mut self, settings: StandbySettings) {
        self.standby = Some(Standby::new(settings, self.nodes.len()));
    }

    /// Whether that record is of this very process.
    pub(super) fn is_this_process(&self, record: &LeaderRecord) -> bool {
        record.node == self.me && record.incarnation == self.incarnation
    }

    /// The leader answered a request that was sent at `sent`.
    pub fn record_leader_response(&mut self, sent: MonotonicTime, response: &PeerResponse) {
        let Some(standby) = &mut self.standby else { return };
        match response {
            PeerResponse::Plan(plan) => {
                standby.receive_plan(sent, plan.term, plan.decisions.as_ref())
            }
            // A leader that has no plan yet, or misses a summary, says so and is alive.
            PeerResponse::NotLeading(term) => {
                standby.record_heartbeat(sent, *term);
            }
            PeerResponse::SendWhole => {
                standby.record_heartbeat(sent, self.replica.term);
            }
            _ => {}
        }
    }

    /// Advances the standby to this time; what it commands is to be carried out.
    pub fn standby_tick(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        let rank = self.rank(now);
        self.standby.as_mut()?.tick(now, rank)
    }

    /// This controller's rank among those that may replace the leader now.
    fn rank(&self, now: MonotonicTime) -> Option<u64> {
        let standby = self.standby.as_ref()?;
        let fresh = self.rights.sync_age(now).is_some_and(|age| age < REPLICA_FRESHNESS_MS);
        if !self.loaded || !fresh || !self.rights.may_lead(now) {
            return None;
        }
        let leader = &self.replica.leader.as_ref()?.value;
        if self.is_this_process(leader) || leader.term != self.replica.term {
            return None;
        }
        let candidate = |(index, info): (usize, &NodeInfo)| {
            let node = NodeId(index as u8);
            let member = self.replica.members.contains_key(&node);
            Candidate {
                node,
                zone: info.zone.clone(),
                eligible: member && standby.settings().allows(&info.name),
            }
        };
        let candidates: Vec<Candidate> = self.nodes.iter().enumerate().map(candidate).collect();
        rank_of(self.me, leader.node, &candidates)
    }

    /// Milliseconds since the leader of a term was last heard, for another controller that asks; 0 from the leader itself,
    /// `None` if this controller does not follow it.
    pub fn leader_silence_ms(&self, now: MonotonicTime, term: Term) -> Option<u64> {
        if self.leader.as_ref().is_some_and(|leader| leader.term == term) {
            return Some(0);
        }
        self.standby.as_ref()?.leader_silence_ms(now, term)
    }

    /// The probe of the leader itself has an outcome.
    pub fn on_probe_completed(
        &mut self,
        now: MonotonicTime,
        outcome: ProbeOutcome,
    ) -> Option<FailoverCommand> {
        self.standby.as_mut()?.step(now, FailoverEvent::ProbeCompleted(outcome))
    }

    /// A plan of the leader came through the store: it was alive when it wrote that. Decisions do not come this way.
    pub fn record_leader_message_from_store(
        &mut self,
        now: MonotonicTime,
        response: &PeerResponse,
    ) {
        if let (Some(standby), PeerResponse::Plan(plan)) = (&mut self.standby, response) {
            standby.record_heartbeat(now, plan.term);
        }
    }

    /// Another controller answered when it last heard the leader.
    pub fn on_peer_observation(
        &mut self,
        now: MonotonicTime,
        answer: PeerObservation,
    ) -> Option<FailoverCommand> {
        self.standby.as_mut()?.step(now, FailoverEvent::PeerObserved(answer))
    }

    /// The leader's key has ended with its lease, and this controller runs for the next term.
    pub fn on_leader_lease_expired(&mut self, now: MonotonicTime) {
        if let Some(standby) = &mut self.standby {
            standby.step(now, FailoverEvent::LeaseExpired);
        }
    }

    /// The transaction that takes the next term has an outcome; `None` if it is not known.
    pub fn on_fence_outcome(&mut self, now: MonotonicTime, outcome: Option<&TxnOutcome>) {
        let outcome = match outcome {
            Some(TxnOutcome::Committed(revision)) => FenceOutcome::Done(*revision),
            Some(TxnOutcome::ConditionsFailed(_)) => FenceOutcome::Conflict,
            None => FenceOutcome::Unknown,
        };
        if let Some(standby) = &mut self.standby {
            standby.on_fence_outcome(now, outcome);
        }
    }

    /// A transaction without changes that succeeds only while this process leads; `None` if it already knows that it does
    /// not.
    pub fn leadership_check(&self) -> Option<Txn> {
        self.leader.as_ref()?;
        let condition = self.replica.leader_condition()?;
        Some(Txn { conditions: vec![condition], changes: Vec::new() })
    }

    /// Has the standby follow the leader that the replica shows, if that is another process.
    pub(super) fn follow_another_leader(&mut self, now: MonotonicTime) {
        let known = self.replica.leader.as_ref().map(|leader| &leader.value);
        let leader = known
            .filter(|record| record.term == self.replica.term && !self.is_this_process(record));
        let leader = leader.map(|record| FollowedLeader { node: record.node, term: record.term });
        if let (Some(leader), Some(standby)) = (leader, &mut self.standby) {
            standby.follow(now, leader);
        }
    }

    /// This process leads a new term: compares what was mirrored with the replica, gives the new leader what holds of it,
    /// and names the previous leader if it was replaced because it was not heard.
    pub(super) fn begin_failover(&mut self, now: ClockReading, term: Term) {
        let Some(mut standby) = self.standby.take() else { return };
        let followed = standby.followed();
        let shown = FailoverEvent::ReplicaShows { term, mine: true };
        let verifies = standby.step(now.steady, shown) == Some(FailoverCommand::Verify(term));
        let counts = verifies.then(|| {
            let state = standby.mirror().state();
            let counts = self.with_leader(now, |leader, cluster| leader.take_hints(cluster, state));
            counts.unwrap_or_default()
        });
        standby.begin_leading(now.steady, term, counts);
        if standby.failed_over_by(FailoverCause::Suspicion, term)
            && let (Some(followed), Some(leader)) = (followed, &mut self.leader)
        {
            leader.fleet.replaced = Some(followed.node);
        }
        self.standby = Some(standby);
    }

    /// As the leader, records the decisions that hold now for the standbys.
    pub(super) fn record_decisions(&mut self, now: ClockReading) {
        let Some(mut standby) = self.standby.take() else { return };
        if standby.is_record_due(now.steady) {
            let known = standby.log().map(|log| log.state().clone()).unwrap_or_default();
            let target =
                self.with_leader(now, |leader, cluster| leader.decision_target(cluster, &known));
            if let Some(target) = target {
                standby.record(now, &target);
            }
        }
        self.standby = Some(standby);
    }

    /// The status of the standby for operators; `None` if it is not enabled.
    pub fn standby_status(&self, now: ClockReading) -> Option<Status> {
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let standby = self.standby.as_ref()?;
        Some(standby.status(now.steady, now.wall, self.me, &names))
    }

    /// What the last failover found of the mirrored records.
    pub fn verification(&self) -> Option<VerificationCounts> {
        self.standby.as_ref().map(Standby::verification)
    }
}
