//! How a controller follows the leader and replaces it, with the warm standby enabled.

use willowshore_standby::failover::{
    Cause, Command, Event, FenceOutcome, PeerAnswer, ProbeOutcome,
};
use willowshore_standby::failover_order::{Candidate, rank_of};
use willowshore_standby::settings::StandbySettings;
use willowshore_standby::status::{Status, VerificationCounts};

use super::Controller;
use crate::model::{ClockReading, MonotonicTime, NodeId, Term};
use crate::peer::PeerResponse;
use crate::replica::LeaderRecord;
use crate::standby::{FollowedLeader, Standby};
use crate::store_client::Committed;
use crate::wire::Txn;

/// How fresh the replica has to be for this controller to suspect the leader: one that does not know of a newer term
/// would ask about the wrong one, and one that the store refuses could not replace anybody.
const FRESH_REPLICA_MS: u64 = 2_500;

impl Controller {
    /// Enables the warm standby.
    pub fn enable_standby(&mut self, settings: StandbySettings) {
        self.standby = Some(Standby::new(settings, self.nodes.len()));
    }

    /// Whether the process of that record is this one.
    pub(super) fn is_me(&self, record: &LeaderRecord) -> bool {
        record.node == self.me && record.incarnation == self.incarnation
    }

    /// The leader answered a request that was sent then.
    pub fn heard_leader(&mut self, sent: MonotonicTime, response: &PeerResponse) {
        let Some(standby) = &mut self.standby else { return };
        match response {
            PeerResponse::Plan(plan) => {
                standby.heard_plan(sent, plan.term, plan.decisions.as_ref())
            }
            // A leader that has no plan yet, or misses a summary, says so and is alive.
            PeerResponse::NotLeading(term) => {
                standby.heard_leader(sent, *term);
            }
            PeerResponse::SendWhole => {
                standby.heard_leader(sent, self.replica.term);
            }
            _ => {}
        }
    }

    /// Lets the standby see that time passes.
    pub fn standby_tick(&mut self, now: MonotonicTime) -> Option<Command> {
        let rank = self.rank(now);
        self.standby.as_mut()?.tick(now, rank)
    }

    /// This controller's rank among those that may replace the leader now.
    fn rank(&self, now: MonotonicTime) -> Option<u64> {
        let standby = self.standby.as_ref()?;
        let fresh = self.rights.sync_age(now).is_some_and(|age| age < FRESH_REPLICA_MS);
        if !self.loaded || !fresh || !self.rights.may_lead(now) {
            return None;
        }
        let leader = &self.replica.leader.as_ref()?.value;
        if self.is_me(leader) || leader.term != self.replica.term {
            return None;
        }
        let candidate = |n: usize| {
            let node = NodeId(n as u8);
            let info = &self.nodes[n];
            let member = self.replica.members.contains_key(&node);
            Candidate {
                node,
                zone: info.zone.clone(),
                eligible: member && standby.settings().allows(&info.name),
            }
        };
        let candidates: Vec<Candidate> = (0..self.nodes.len()).map(candidate).collect();
        rank_of(self.me, leader.node, &candidates)
    }

    /// What another controller is told that asks when the leader of a term was heard.
    pub fn leader_silence_ms(&self, now: MonotonicTime, term: Term) -> Option<u64> {
        if self.leader.as_ref().is_some_and(|leader| leader.term == term) {
            return Some(0);
        }
        self.standby.as_ref()?.leader_silence_ms(now, term)
    }

    /// The question to the leader itself has an outcome.
    pub fn leader_probed(&mut self, now: MonotonicTime, outcome: ProbeOutcome) -> Option<Command> {
        self.standby.as_mut()?.step(now, Event::LeaderProbed(outcome))
    }

    /// A plan of the leader came through the store. It was alive when it wrote that; what it had decided is not told
    /// this way.
    pub fn heard_leader_through_store(&mut self, now: MonotonicTime, response: &PeerResponse) {
        if let (Some(standby), PeerResponse::Plan(plan)) = (&mut self.standby, response) {
            standby.heard_leader(now, plan.term);
        }
    }

    /// Another controller answered when it heard the leader.
    pub fn peer_answered(&mut self, now: MonotonicTime, answer: PeerAnswer) -> Option<Command> {
        self.standby.as_mut()?.step(now, Event::PeerAnswered(answer))
    }

    /// The leader's key is gone, and this controller takes the next term.
    pub fn lease_of_leader_ended(&mut self, now: MonotonicTime) {
        if let Some(standby) = &mut self.standby {
            standby.step(now, Event::LeaseEnded);
        }
    }

    /// The transaction that takes the next term has an outcome; `None` if it is not known.
    pub fn fence_answered(&mut self, now: MonotonicTime, outcome: Option<&Committed>) {
        let outcome = match outcome {
            Some(Committed::Yes(revision)) => FenceOutcome::Done(*revision),
            Some(Committed::No(_)) => FenceOutcome::Conflict,
            None => FenceOutcome::Unknown,
        };
        if let Some(standby) = &mut self.standby {
            standby.fence_answered(now, outcome);
        }
    }

    /// The transaction without changes that tells whether this process still leads; `None` if it does not, as far as
    /// it knows.
    pub fn leadership_check(&self) -> Option<Txn> {
        self.leader.as_ref()?;
        let condition = self.replica.leader_condition()?;
        Some(Txn { conditions: vec![condition], changes: Vec::new() })
    }

    /// The replica shows that another process leads.
    pub(super) fn follow_other_leader(&mut self, now: MonotonicTime) {
        let known = self.replica.leader.as_ref().map(|leader| &leader.value);
        let leader = known.filter(|r| r.term == self.replica.term && !self.is_me(r));
        let leader = leader.map(|r| FollowedLeader { node: r.node, term: r.term });
        if let (Some(leader), Some(standby)) = (leader, &mut self.standby) {
            standby.follow(now, leader);
        }
    }

    /// This process leads a new term: compares what was mirrored with the replica, gives the leadership what is left
    /// of it, and names the leader that was replaced as it was not heard.
    pub(super) fn begin_failover(&mut self, now: ClockReading, term: Term) {
        let Some(mut standby) = self.standby.take() else { return };
        let followed = standby.followed();
        let shown = Event::ReplicaShows { term, mine: true };
        let verifies = standby.step(now.steady, shown) == Some(Command::Verify(term));
        let counts = verifies.then(|| {
            let state = standby.mirror().state();
            let counts = self.with_leader(now, |leader, cluster| leader.take_hints(cluster, state));
            counts.unwrap_or_default()
        });
        standby.begin_leading(now.steady, term, counts);
        if standby.failed_over_by(Cause::Suspicion, term)
            && let (Some(followed), Some(leader)) = (followed, &mut self.leader)
        {
            leader.fleet.replaced = Some(followed.node);
        }
        self.standby = Some(standby);
    }

    /// As the leader, records the decisions that hold from now on.
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

    /// What operators are shown of the standby.
    pub fn standby_status(&self, now: ClockReading) -> Option<Status> {
        let names: Vec<String> = self.nodes.iter().map(|n| n.name.clone()).collect();
        let standby = self.standby.as_ref()?;
        Some(standby.status(now.steady, now.wall, self.me, &names))
    }

    /// What the last takeover found of the mirrored records.
    pub fn verification(&self) -> Option<VerificationCounts> {
        self.standby.as_ref().map(Standby::verification)
    }
}
