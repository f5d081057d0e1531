//! Connects a controller to its warm standby: forwards responses, replica changes and transaction
//! outcomes to [`Standby`], and starts the leadership after a failover. Does nothing if the standby
//! is not enabled.
//!
//! Responses of the leader and of peers are hints. They trigger a failover and provide values that
//! a new leader would otherwise have to measure again. Only the store proves who leads: the guarded
//! transaction of every election (`Controller::election_txn`) takes the next term, and the term
//! begins once the replica shows it. The argument is in `docs/safety.md`, "Replacing a leader that
//! is not heard".

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

/// Maximum age, in milliseconds, of the proof that the replica is current for this controller to
/// suspect the leader. A controller with an older replica may not know of a newer term and would
/// query its peers about the wrong one. A controller that the store refuses could not replace the
/// leader.
const MAX_REPLICA_AGE_MS: u64 = 2_500;

impl Controller {
    /// Enables the warm standby.
    pub fn enable_standby(&mut self, settings: StandbySettings) {
        self.standby = Some(Standby::new(settings, self.nodes.len()));
    }

    /// Whether a leader record names this process, and not an earlier incarnation of this
    /// controller.
    pub(super) fn is_this_process(&self, record: &LeaderRecord) -> bool {
        record.node == self.local_node && record.incarnation == self.incarnation
    }

    /// Records the leader's response to a request that was sent at `sent`.
    pub fn record_leader_response(&mut self, sent: MonotonicTime, response: &PeerResponse) {
        let Some(standby) = &mut self.standby else { return };
        match response {
            PeerResponse::Plan(plan) => {
                standby.receive_plan(sent, plan.term, plan.decisions.as_ref())
            }
            // A leader that has no plan yet, or that lacks a summary, is alive as well.
            PeerResponse::NotLeading(term) => {
                standby.record_heartbeat(sent, *term);
            }
            PeerResponse::SendFullSummary => {
                standby.record_heartbeat(sent, self.replica.term);
            }
            _ => {}
        }
    }

    /// Advances the standby to `now`. The caller executes the returned command.
    pub fn standby_tick(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        let rank = self.rank(now);
        self.standby.as_mut()?.tick(now, rank)
    }

    /// Returns this controller's rank in the failover order; `None` if it may not replace the
    /// leader now.
    fn rank(&self, now: MonotonicTime) -> Option<u64> {
        let standby = self.standby.as_ref()?;
        let is_current = self.rights.sync_age(now).is_some_and(|age| age < MAX_REPLICA_AGE_MS);
        if !self.loaded || !is_current || !self.rights.may_lead(now) {
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
        rank_of(self.local_node, leader.node, &candidates)
    }

    /// Returns the milliseconds since the last heartbeat of the leader of `term`, for another
    /// controller's query. The leader itself returns 0; a controller that does not follow this
    /// leader returns `None`.
    pub fn leader_silence_ms(&self, now: MonotonicTime, term: Term) -> Option<u64> {
        if self.leader.as_ref().is_some_and(|leader| leader.term == term) {
            return Some(0);
        }
        self.standby.as_ref()?.leader_silence_ms(now, term)
    }

    /// Handles the outcome of a probe of the leader. The caller executes the returned command.
    pub fn on_probe_completed(
        &mut self,
        now: MonotonicTime,
        outcome: ProbeOutcome,
    ) -> Option<FailoverCommand> {
        self.standby.as_mut()?.step(now, FailoverEvent::ProbeCompleted(outcome))
    }

    /// Records a plan received through the store, which shows that the leader was alive when it
    /// wrote the plan. Decisions are never sent through the store.
    pub fn record_leader_message_from_store(
        &mut self,
        now: MonotonicTime,
        response: &PeerResponse,
    ) {
        if let (Some(standby), PeerResponse::Plan(plan)) = (&mut self.standby, response) {
            standby.record_heartbeat(now, plan.term);
        }
    }

    /// Handles a peer's answer on when it last heard the leader. The caller executes the returned
    /// command.
    pub fn on_peer_observation(
        &mut self,
        now: MonotonicTime,
        observation: PeerObservation,
    ) -> Option<FailoverCommand> {
        self.standby.as_mut()?.step(now, FailoverEvent::PeerObserved(observation))
    }

    /// Records that the leader key expired with its lease and that this controller runs for the
    /// next term.
    pub fn on_leader_lease_expired(&mut self, now: MonotonicTime) {
        if let Some(standby) = &mut self.standby {
            standby.step(now, FailoverEvent::LeaseExpired);
        }
    }

    /// Handles the outcome of the transaction that takes the next term; `outcome` is `None` if it is
    /// unknown.
    pub fn on_fence_completed(&mut self, now: MonotonicTime, outcome: Option<&TxnOutcome>) {
        let outcome = match outcome {
            Some(TxnOutcome::Committed(revision)) => FenceOutcome::Committed(*revision),
            Some(TxnOutcome::ConditionsFailed(_)) => FenceOutcome::ConditionsFailed,
            None => FenceOutcome::Unknown,
        };
        if let Some(standby) = &mut self.standby {
            standby.on_fence_completed(now, outcome);
        }
    }

    /// Returns a transaction without changes that commits only while this process leads, and thus
    /// proves that it leads. Returns `None` if this process knows that it does not lead.
    pub fn leadership_check_txn(&self) -> Option<Txn> {
        self.leader.as_ref()?;
        let condition = self.replica.leader_condition()?;
        Some(Txn { conditions: vec![condition], changes: Vec::new() })
    }

    /// Lets the standby follow the leader in the replica, unless this process is the leader.
    pub(super) fn follow_another_leader(&mut self, now: MonotonicTime) {
        let recorded = self.replica.leader.as_ref().map(|leader| &leader.value);
        let leader = recorded
            .filter(|record| record.term == self.replica.term && !self.is_this_process(record));
        let leader = leader.map(|record| FollowedLeader { node: record.node, term: record.term });
        if let (Some(leader), Some(standby)) = (leader, &mut self.standby) {
            standby.follow(now, leader);
        }
    }

    /// Starts the term that the replica shows as led by this process. Verifies the mirrored
    /// decisions against the replica, passes the confirmed ones to the new leader as hints, and
    /// tells it which leader was replaced on suspicion.
    pub(super) fn begin_failover(&mut self, now: ClockReading, term: Term) {
        let Some(mut standby) = self.standby.take() else { return };
        let followed = standby.followed_leader();
        let event = FailoverEvent::TermRecorded { term, is_own: true };
        let is_failover = standby.step(now.monotonic, event) == Some(FailoverCommand::Verify(term));
        let counts = is_failover.then(|| {
            let state = standby.mirror().state();
            let counts =
                self.with_leader(now, |leader, cluster| leader.apply_hints(cluster, state));
            counts.unwrap_or_default()
        });
        standby.begin_leading(now.monotonic, term, counts);
        if standby.completed_failover(FailoverCause::Suspicion, term)
            && let (Some(followed), Some(leader)) = (followed, &mut self.leader)
        {
            leader.fleet.replaced_leader = Some(followed.node);
        }
        self.standby = Some(standby);
    }

    /// As the leader, records the current decisions for the standbys.
    pub(super) fn record_decisions(&mut self, now: ClockReading) {
        let Some(mut standby) = self.standby.take() else { return };
        if standby.is_record_due(now.monotonic) {
            let recorded =
                standby.decision_log().map(|log| log.state().clone()).unwrap_or_default();
            let target =
                self.with_leader(now, |leader, cluster| leader.decision_target(cluster, &recorded));
            if let Some(target) = target {
                standby.record_decisions(now, &target);
            }
        }
        self.standby = Some(standby);
    }

    /// Returns the standby's status for operators; `None` if the standby is not enabled.
    pub fn standby_status(&self, now: ClockReading) -> Option<Status> {
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let standby = self.standby.as_ref()?;
        Some(standby.status(now.monotonic, now.wall, self.local_node, &names))
    }

    /// Returns the result of the last failover's verification of the mirrored decisions; `None` if
    /// the standby is not enabled.
    pub fn verification(&self) -> Option<VerificationCounts> {
        self.standby.as_ref().map(Standby::verification)
    }
}
