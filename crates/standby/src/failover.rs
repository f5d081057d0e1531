//! The way of a standby from following the leader to leading, as a state machine.
//!
//! ```text
//! following -> suspecting -> fencing -> catching up -> verifying -> active
//!     ^            |            |            |             |           |
//!     +------------+------------+------------+-------------+-----------+
//! ```
//!
//! A suspicion alone changes nothing. The leader itself is asked once more, with more time than a heartbeat has, as a
//! loaded leader is slow and replacing it would add to its load. It is fenced, which means that the next term is taken by a transaction
//! guarded by the leader's key, only if it does not answer and a majority of all controllers, this one included, does not hear it. So a
//! controller that is cut off from the others never replaces a leader that serves them, and two controllers that do
//! not hear each other don't replace each other in turn. Where no such majority can be had, the leader's lease in the
//! state service decides, as it does without a standby.

use std::collections::BTreeMap;
use std::fmt;

use willowshore_model::{MonotonicTime, NodeId, Revision, Term};

/// Time between two questions to the other controllers.
const PEER_QUERY_PERIOD_MS: u64 = 200;
/// Longest time for which the others are asked before the suspicion is dropped and comes up anew.
const PEER_QUERY_TIMEOUT_MS: u64 = 2_500;
/// How long an answer of another controller counts.
const OBSERVATION_VALID_MS: u64 = 600;
/// After a suspicion that others did not share, the next one waits that long.
const SUSPICION_BACKOFF_MS: u64 = 1_000;
/// How long the outcome of fencing and the replica are waited for.
const STEP_TIMEOUT_MS: u64 = 10_000;

/// Where a controller stands on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It follows the leader's decisions, or waits for a leader.
    Following,
    /// It does not hear the leader and asks the others.
    Suspecting,
    /// The transaction that takes the next term is under way.
    Fencing,
    /// The term is on record; the replica does not show it yet.
    CatchingUp,
    /// What was mirrored is compared with the replica.
    Verifying,
    /// It leads.
    Active,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Following => "following",
            Phase::Suspecting => "suspecting",
            Phase::Fencing => "fencing",
            Phase::CatchingUp => "catching up",
            Phase::Verifying => "verifying",
            Phase::Active => "active",
        })
    }
}

/// Why a controller went back to following.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandDownReason {
    /// The leader answered again.
    LeaderResponds,
    /// Another controller hears the leader.
    HeardByOther(NodeId),
    /// Too few controllers answered; the leader's lease decides.
    NoMajority,
    /// Another controller took the next term.
    TermTakenByOther(Term),
    /// The transaction failed, as the leader's key had changed.
    Conflict,
    /// The state service did not answer or refused in time.
    StoreUnavailable,
    /// It was replaced as leader.
    Replaced(Term),
}

impl fmt::Display for StandDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StandDownReason::LeaderResponds => write!(f, "the leader answers again"),
            StandDownReason::HeardByOther(node) => {
                write!(f, "controller {} hears the leader", node.0)
            }
            StandDownReason::NoMajority => write!(f, "no majority of the controllers answered"),
            StandDownReason::TermTakenByOther(term) => {
                write!(f, "another controller took term {term}")
            }
            StandDownReason::Conflict => write!(f, "the leader's key had changed"),
            StandDownReason::StoreUnavailable => write!(f, "the state service did not answer"),
            StandDownReason::Replaced(term) => write!(f, "replaced by the leader of term {term}"),
        }
    }
}

/// What started a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCause {
    /// A majority of the controllers did not hear the leader.
    Suspicion,
    /// The leader's key was gone: its lease had ended.
    LeaseExpired,
}

/// What became of the transaction that takes the next term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It was carried out at this revision.
    Done(Revision),
    /// Its conditions failed.
    Conflict,
    /// It was refused, or there was no answer; it may have been carried out or may still be.
    Unknown,
}

/// What another controller says of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// The controller.
    pub node: NodeId,
    /// Milliseconds since it heard the leader; `None` if it never did and says nothing about it.
    pub silence_ms: Option<u64>,
}

/// What became of the question to the leader itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It answered.
    Answered,
    /// Its connection was refused: there is no process, or it has no sockets left.
    Refused,
    /// It did not answer in time.
    Silent,
}

/// What happens to a standby.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// Time passes; whether the leader is suspected now, and this controller's rank if it may replace it.
    Tick {
        /// Whether the failure detector suspects the leader.
        suspected: bool,
        /// The rank among those that may replace it; `None` if this controller may not, or has no right to lead.
        rank: Option<u64>,
    },
    /// Another controller answered.
    PeerObserved(PeerObservation),
    /// The question to the leader itself has an outcome.
    ProbeCompleted(ProbeOutcome),
    /// The leader's key is gone, and this controller takes the next term.
    LeaseExpired,
    /// The transaction that takes the next term has an outcome.
    FenceCompleted(FenceOutcome),
    /// The replica shows this leader and term; `mine` if it is this process.
    ReplicaShows {
        /// The term.
        term: Term,
        /// Whether this process leads it.
        mine: bool,
    },
    /// What was mirrored has been compared with the replica.
    Verified,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCommand {
    /// Ask the leader of this term whether it is there.
    ProbeLeader(Term),
    /// Ask the other controllers when they heard the leader of this term.
    QueryPeers(Term),
    /// Take the term after this one by the guarded transaction.
    Fence(Term),
    /// Compare what was mirrored with the replica, which shows this term.
    Verify(Term),
}

/// Moments of a failover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverTimeline {
    /// The leader was suspected, or its key was gone.
    pub suspected: MonotonicTime,
    /// The transaction was sent.
    pub fencing: MonotonicTime,
    /// It was answered.
    pub fenced: MonotonicTime,
    /// The replica showed the term.
    pub caught_up: MonotonicTime,
    /// What was mirrored had been compared.
    pub verified: MonotonicTime,
}

/// A failover that came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failover {
    /// The term that was taken.
    pub term: Term,
    /// What started it.
    pub cause: FailoverCause,
    /// Its moments.
    pub timeline: FailoverTimeline,
}

/// The state machine.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    controllers: usize,
    min_silence_ms: u64,
    rank_delay_ms: u64,
    phase: Phase,
    phase_entered_at: MonotonicTime,
    term: Term,
    cause: FailoverCause,
    timeline: FailoverTimeline,
    peers_queried_at: Option<MonotonicTime>,
    observations: BTreeMap<NodeId, (u64, MonotonicTime)>,
    /// Whether the leader itself was asked and did not answer.
    probe_failed: bool,
    suspicion_paused_until: MonotonicTime,
    last_stand_down: Option<StandDownReason>,
    last_failover: Option<Failover>,
}

impl FailoverMachine {
    /// A machine for a site of so many controllers. Others count as not hearing the leader from that silence on;
    /// each rank waits that much longer.
    pub fn new(controllers: usize, min_silence_ms: u64, rank_delay_ms: u64) -> Self {
        FailoverMachine {
            controllers,
            min_silence_ms,
            rank_delay_ms,
            phase: Phase::Following,
            phase_entered_at: MonotonicTime(0),
            term: Term(0),
            cause: FailoverCause::LeaseExpired,
            timeline: FailoverTimeline::default(),
            peers_queried_at: None,
            observations: BTreeMap::new(),
            probe_failed: false,
            suspicion_paused_until: MonotonicTime(0),
            last_stand_down: None,
            last_failover: None,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The term that the replica showed last.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Why it went back to following last.
    pub fn last_stand_down(&self) -> Option<StandDownReason> {
        self.last_stand_down
    }

    /// The last failover that this controller completed.
    pub fn last_failover(&self) -> Option<Failover> {
        self.last_failover
    }

    /// Takes an event and says what is to be done.
    pub fn step(&mut self, now: MonotonicTime, event: FailoverEvent) -> Option<FailoverCommand> {
        match event {
            FailoverEvent::Tick { suspected, rank } => self.on_tick(now, suspected, rank),
            FailoverEvent::PeerObserved(answer) => self.on_peer_observation(now, answer),
            FailoverEvent::ProbeCompleted(outcome) => self.on_probe_completed(now, outcome),
            FailoverEvent::LeaseExpired => self.on_lease_expired(now),
            FailoverEvent::FenceCompleted(outcome) => {
                self.on_fence_completed(now, outcome);
                None
            }
            FailoverEvent::ReplicaShows { term, mine } => self.on_replica(now, term, mine),
            FailoverEvent::Verified => {
                self.on_verified(now);
                None
            }
        }
    }

    fn enter(&mut self, now: MonotonicTime, phase: Phase) {
        self.phase = phase;
        self.phase_entered_at = now;
    }

    fn stand_down(&mut self, now: MonotonicTime, reason: StandDownReason) {
        self.enter(now, Phase::Following);
        self.observations.clear();
        self.peers_queried_at = None;
        self.last_stand_down = Some(reason);
    }

    fn on_tick(
        &mut self,
        now: MonotonicTime,
        suspected: bool,
        rank: Option<u64>,
    ) -> Option<FailoverCommand> {
        let waited = now.since(self.phase_entered_at);
        match self.phase {
            Phase::Following => {
                if suspected && rank.is_some() && now >= self.suspicion_paused_until {
                    self.enter(now, Phase::Suspecting);
                    self.timeline =
                        FailoverTimeline { suspected: now, ..FailoverTimeline::default() };
                    self.probe_failed = false;
                    return Some(FailoverCommand::ProbeLeader(self.term));
                }
                None
            }
            Phase::Suspecting if !suspected => {
                self.stand_down(now, StandDownReason::LeaderResponds);
                None
            }
            Phase::Suspecting if waited >= PEER_QUERY_TIMEOUT_MS => {
                self.suspicion_paused_until = now.plus(SUSPICION_BACKOFF_MS);
                self.stand_down(now, StandDownReason::NoMajority);
                None
            }
            Phase::Suspecting => self.query_peers_when_due(now, rank),
            Phase::Fencing | Phase::CatchingUp if waited >= STEP_TIMEOUT_MS => {
                self.stand_down(now, StandDownReason::StoreUnavailable);
                None
            }
            Phase::Fencing | Phase::CatchingUp | Phase::Verifying | Phase::Active => None,
        }
    }

    fn query_peers_when_due(
        &mut self,
        now: MonotonicTime,
        rank: Option<u64>,
    ) -> Option<FailoverCommand> {
        let turn = rank? * self.rank_delay_ms;
        if now.since(self.phase_entered_at) < turn
            || self.peers_queried_at.is_some_and(|at| now.since(at) < PEER_QUERY_PERIOD_MS)
        {
            return None;
        }
        self.peers_queried_at = Some(now);
        Some(FailoverCommand::QueryPeers(self.term))
    }

    fn on_peer_observation(
        &mut self,
        now: MonotonicTime,
        answer: PeerObservation,
    ) -> Option<FailoverCommand> {
        if self.phase != Phase::Suspecting {
            return None;
        }
        // A controller that never heard the leader is no witness: it may have been cut off all the time.
        let silence_ms = answer.silence_ms?;
        if silence_ms < self.min_silence_ms {
            // It may just have heard the leader's last words, so it is asked again before that counts.
            self.observations.remove(&answer.node);
            if now.since(self.phase_entered_at) >= self.min_silence_ms {
                self.suspicion_paused_until = now.plus(SUSPICION_BACKOFF_MS);
                self.stand_down(now, StandDownReason::HeardByOther(answer.node));
            }
            return None;
        }
        self.observations.insert(answer.node, (silence_ms, now));
        self.fence_if_agreed(now)
    }

    fn on_probe_completed(
        &mut self,
        now: MonotonicTime,
        outcome: ProbeOutcome,
    ) -> Option<FailoverCommand> {
        if self.phase != Phase::Suspecting {
            return None;
        }
        if outcome == ProbeOutcome::Answered {
            self.suspicion_paused_until = now.plus(SUSPICION_BACKOFF_MS);
            self.stand_down(now, StandDownReason::LeaderResponds);
            return None;
        }
        self.probe_failed = true;
        self.fence_if_agreed(now)
    }

    fn fence_if_agreed(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        let agree = self
            .observations
            .values()
            .filter(|(_, at)| now.since(*at) <= OBSERVATION_VALID_MS)
            .count();
        if !self.probe_failed || (agree + 1) * 2 <= self.controllers {
            return None;
        }
        self.cause = FailoverCause::Suspicion;
        self.start_fencing(now)
    }

    fn start_fencing(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        self.enter(now, Phase::Fencing);
        self.timeline.fencing = now;
        self.observations.clear();
        self.peers_queried_at = None;
        Some(FailoverCommand::Fence(self.term))
    }

    fn on_lease_expired(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        if !matches!(self.phase, Phase::Following | Phase::Suspecting) {
            return None;
        }
        if self.phase == Phase::Following {
            self.timeline = FailoverTimeline { suspected: now, ..FailoverTimeline::default() };
        }
        self.cause = FailoverCause::LeaseExpired;
        self.start_fencing(now)
    }

    fn on_fence_completed(&mut self, now: MonotonicTime, outcome: FenceOutcome) {
        if self.phase != Phase::Fencing {
            return;
        }
        match outcome {
            FenceOutcome::Done(_) => {
                self.timeline.fenced = now;
                self.enter(now, Phase::CatchingUp);
            }
            FenceOutcome::Conflict => self.stand_down(now, StandDownReason::Conflict),
            // The replica will show whether it was carried out, and it may be carried out much later: it then
            // fails if anything came between.
            FenceOutcome::Unknown => self.stand_down(now, StandDownReason::StoreUnavailable),
        }
    }

    fn on_replica(
        &mut self,
        now: MonotonicTime,
        term: Term,
        mine: bool,
    ) -> Option<FailoverCommand> {
        if term < self.term || (term == self.term && self.phase != Phase::CatchingUp && !mine) {
            return None;
        }
        let known = std::mem::replace(&mut self.term, term);
        if !mine {
            match self.phase {
                Phase::Active => self.stand_down(now, StandDownReason::Replaced(term)),
                Phase::Following => {}
                _ => self.stand_down(now, StandDownReason::TermTakenByOther(term)),
            }
            return None;
        }
        if self.phase == Phase::Active {
            return None; // The same leader's next term: nothing was mirrored for it.
        }
        if term == known && self.phase == Phase::Verifying {
            return None;
        }
        // The term may also show before the answer of its transaction, or without any.
        if self.timeline.fenced < self.timeline.fencing {
            self.timeline.fenced = now;
        }
        self.timeline.caught_up = now;
        self.enter(now, Phase::Verifying);
        Some(FailoverCommand::Verify(term))
    }

    fn on_verified(&mut self, now: MonotonicTime) {
        if self.phase != Phase::Verifying {
            return;
        }
        self.timeline.verified = now;
        self.enter(now, Phase::Active);
        self.last_failover =
            Some(Failover { term: self.term, cause: self.cause, timeline: self.timeline });
    }
}

#[cfg(test)]
mod tests;
