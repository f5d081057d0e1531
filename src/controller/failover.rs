//! The controller's side of the warm standby: what it tells [`Standby`] of responses, the replica and transactions, and
//! how it begins to lead. Without the standby, all of this does nothing.
//!
//! What responses and peers say is a hint: it starts a failover and gives a new leader what it need not measure again.
//! Only the store proves who leads: the next term is taken by the guarded transaction of any election
//! (`Controller::election_txn`), and begins once the replica shows it. The argument is in `docs/safety.md`, "Replacing
//! a leader that is not heard".

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

/// Longest time since the replica was proven current, in milliseconds, for this controller to suspect the leader: a
/// controller that does not know of a newer term would query its peers about the wrong one, and one that the store
/// refuses could not replace anybody.
const REPLICA_FRESHNESS_MS: u64 = 2_500;

impl Controller {
    /// Enables the warm standby.
    pub fn enable_standby(&mut self, settings: StandbySettings) {
        self.standby = Some(Standby::new(settings, self.nodes.len()));
    }

    /// Whether the record names this very process, and not an earlier incarnation of the controller.
    pub(super) fn is_this_process(&self, record: &LeaderRecord) -> bool {
        record.node == self.me && record.incarnation == self.incarnation
    }

    /// The leader responded to a request that was sent at `sent`.
    pub fn record_leader_response(&mut self, sent: MonotonicTime, response: &PeerResponse) {
        let Some(standby) = &mut self.standby else { return };
        match response {
            PeerResponse::Plan(plan) => {
                standby.receive_plan(sent, plan.term, plan.decisions.as_ref())
            }
            // A leader that has no plan yet, or lacks a summary, is alive as well.
            PeerResponse::NotLeading(term) => {
                standby.record_heartbeat(sent, *term);
            }
            PeerResponse::SendWhole => {
                standby.record_heartbeat(sent, self.replica.term);
            }
            _ => {}
        }
    }

    /// Advances the standby to this time; the caller executes its command.
    pub fn standby_tick(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        let rank = self.rank(now);
        self.standby.as_mut()?.tick(now, rank)
    }

    /// This controller's rank among those that may replace the leader; `None` if it may not do so now.
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

    /// Milliseconds since the last heartbeat of the leader of a term, for another controller's query; 0 from the leader
    /// itself, `None` if this controller does not follow it.
    pub fn leader_silence_ms(&self, now: MonotonicTime, term: Term) -> Option<u64> {
        if self.leader.as_ref().is_some_and(|leader| leader.term == term) {
            return Some(0);
        }
        self.standby.as_ref()?.leader_silence_ms(now, term)
    }

    /// The probe of the leader has an outcome. The caller executes the command.
    pub fn on_probe_completed(
        &mut self,
        now: MonotonicTime,
        outcome: ProbeOutcome,
    ) -> Option<FailoverCommand> {
        self.standby.as_mut()?.step(now, FailoverEvent::ProbeCompleted(outcome))
    }

    /// A plan of the leader was received through the store: the leader was alive when it wrote that. Decisions are
    /// never sent this way.
    pub fn record_leader_message_from_store(
        &mut self,
        now: MonotonicTime,
        response: &PeerResponse,
    ) {
        if let (Some(standby), PeerResponse::Plan(plan)) = (&mut self.standby, response) {
            standby.record_heartbeat(now, plan.term);
        }
    }

    /// Another controller responded when it last heard the leader. The caller executes the command.
    pub fn on_peer_observation(
        &mut self,
        now: MonotonicTime,
        answer: PeerObservation,
    ) -> Option<FailoverCommand> {
        self.standby.as_mut()?.step(now, FailoverEvent::PeerObserved(answer))
    }

    /// The leader's key expired with its lease, and this controller runs for the next term.
    pub fn on_leader_lease_expired(&mut self, now: MonotonicTime) {
        if let Some(standby) = &mut self.standby {
            standby.step(now, FailoverEvent::LeaseExpired);
        }
    }

    /// The transaction that takes the next term has an outcome; `None` if it is not known.
    pub fn on_fence_completed(&mut self, now: MonotonicTime, outcome: Option<&TxnOutcome>) {
        let outcome = match outcome {
            Some(TxnOutcome::Committed(revision)) => FenceOutcome::Done(*revision),
            Some(TxnOutcome::ConditionsFailed(_)) => FenceOutcome::Conflict,
            None => FenceOutcome::Unknown,
        };
        if let Some(standby) = &mut self.standby {
            standby.on_fence_completed(now, outcome);
        }
    }

    /// A transaction without changes that commits only while this process leads, and so proves that it does; `None` if
    /// it already knows that it does not.
    pub fn leadership_check(&self) -> Option<Txn> {
        self.leader.as_ref()?;
        let condition = self.replica.leader_condition()?;
        Some(Txn { conditions: vec![condition], changes: Vec::new() })
    }

    /// The standby follows the leader that the replica shows, if that is another process.
    pub(super) fn follow_another_leader(&mut self, now: MonotonicTime) {
        let known = self.replica.leader.as_ref().map(|leader| &leader.value);
        let leader = known
            .filter(|record| record.term == self.replica.term && !self.is_this_process(record));
        let leader = leader.map(|record| FollowedLeader { node: record.node, term: record.term });
        if let (Some(leader), Some(standby)) = (leader, &mut self.standby) {
            standby.follow(now, leader);
        }
    }

    /// This process leads a new term, as the replica shows: compares the mirrored decisions with the replica, gives the
    /// new leader those that hold as hints, and names the previous leader if it was replaced on suspicion.
    pub(super) fn begin_failover(&mut self, now: ClockReading, term: Term) {
        let Some(mut standby) = self.standby.take() else { return };
        let followed = standby.followed();
        let shows = FailoverEvent::ReplicaShows { term, mine: true };
        let is_failover = standby.step(now.steady, shows) == Some(FailoverCommand::Verify(term));
        let counts = is_failover.then(|| {
            let state = standby.mirror().state();
            let counts =
                self.with_leader(now, |leader, cluster| leader.apply_hints(cluster, state));
            counts.unwrap_or_default()
        });
        standby.begin_leading(now.steady, term, counts);
        if standby.completed_failover(FailoverCause::Suspicion, term)
            && let (Some(followed), Some(leader)) = (followed, &mut self.leader)
        {
            leader.fleet.replaced_leader = Some(followed.node);
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

    /// The standby's status for operators; `None` if the standby is not enabled.
    pub fn standby_status(&self, now: ClockReading) -> Option<Status> {
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let standby = self.standby.as_ref()?;
        Some(standby.status(now.steady, now.wall, self.me, &names))
    }

    /// What the last failover found of the mirrored decisions; `None` if the standby is not enabled.
    pub fn verification(&self) -> Option<VerificationCounts> {
        self.standby.as_ref().map(Standby::verification)
    }
}
