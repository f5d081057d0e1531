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
const ASK_AGAIN_MS: u64 = 200;
/// Longest time for which the others are asked before the suspicion is dropped and comes up anew.
const ASK_LIMIT_MS: u64 = 2_500;
/// How long an answer of another controller counts.
const ANSWER_COUNTS_MS: u64 = 600;
/// After a suspicion that others did not share, the next one waits that long.
const PAUSE_MS: u64 = 1_000;
/// How long the outcome of fencing and the replica are waited for.
const STEP_LIMIT_MS: u64 = 10_000;

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
pub enum BackReason {
    /// The leader answered again.
    LeaderAnswers,
    /// Another controller hears the leader.
    OthersHearIt(NodeId),
    /// Too few controllers answered; the leader's lease decides.
    NoMajority,
    /// Another controller took the next term.
    TermTaken(Term),
    /// The transaction failed, as the leader's key had changed.
    Conflict,
    /// The state service did not answer or refused in time.
    StoreUnavailable,
    /// It was replaced as leader.
    Replaced(Term),
}

impl fmt::Display for BackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BackReason::LeaderAnswers => write!(f, "the leader answers again"),
            BackReason::OthersHearIt(node) => write!(f, "controller {} hears the leader", node.0),
            BackReason::NoMajority => write!(f, "no majority of the controllers answered"),
            BackReason::TermTaken(term) => write!(f, "another controller took term {term}"),
            BackReason::Conflict => write!(f, "the leader's key had changed"),
            BackReason::StoreUnavailable => write!(f, "the state service did not answer"),
            BackReason::Replaced(term) => write!(f, "replaced by the leader of term {term}"),
        }
    }
}

/// What started a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A majority of the controllers did not hear the leader.
    Suspicion,
    /// The leader's key was gone: its lease had ended.
    LeaseEnded,
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
pub struct PeerAnswer {
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
pub enum Event {
    /// Time passes; whether the leader is suspected now, and this controller's rank if it may replace it.
    Tick {
        /// Whether the failure detector suspects the leader.
        suspected: bool,
        /// The rank among those that may replace it; `None` if this controller may not, or has no right to lead.
        rank: Option<u64>,
    },
    /// Another controller answered.
    PeerAnswered(PeerAnswer),
    /// The question to the leader itself has an outcome.
    LeaderProbed(ProbeOutcome),
    /// The leader's key is gone, and this controller takes the next term.
    LeaseEnded,
    /// The transaction that takes the next term has an outcome.
    FenceAnswered(FenceOutcome),
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
pub enum Command {
    /// Ask the leader of this term whether it is there.
    ProbeLeader(Term),
    /// Ask the other controllers when they heard the leader of this term.
    AskPeers(Term),
    /// Take the term after this one by the guarded transaction.
    Fence(Term),
    /// Compare what was mirrored with the replica, which shows this term.
    Verify(Term),
}

/// Moments of a takeover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moments {
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

/// A takeover that came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failover {
    /// The term that was taken.
    pub term: Term,
    /// What started it.
    pub cause: Cause,
    /// Its moments.
    pub moments: Moments,
}

/// The state machine.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    controllers: usize,
    least_silence_ms: u64,
    rank_delay_ms: u64,
    phase: Phase,
    entered: MonotonicTime,
    term: Term,
    cause: Cause,
    moments: Moments,
    asked: Option<MonotonicTime>,
    answers: BTreeMap<NodeId, (u64, MonotonicTime)>,
    /// Whether the leader itself was asked and did not answer.
    probe_failed: bool,
    paused_until: MonotonicTime,
    last_back: Option<BackReason>,
    last_failover: Option<Failover>,
}

impl FailoverMachine {
    /// A machine for a site of so many controllers. Others count as not hearing the leader from that silence on;
    /// each rank waits that much longer.
    pub fn new(controllers: usize, least_silence_ms: u64, rank_delay_ms: u64) -> Self {
        FailoverMachine {
            controllers,
            least_silence_ms,
            rank_delay_ms,
            phase: Phase::Following,
            entered: MonotonicTime(0),
            term: Term(0),
            cause: Cause::LeaseEnded,
            moments: Moments::default(),
            asked: None,
            answers: BTreeMap::new(),
            probe_failed: false,
            paused_until: MonotonicTime(0),
            last_back: None,
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
    pub fn last_back(&self) -> Option<BackReason> {
        self.last_back
    }

    /// The last takeover that this controller completed.
    pub fn last_failover(&self) -> Option<Failover> {
        self.last_failover
    }

    /// Takes an event and says what is to be done.
    pub fn step(&mut self, now: MonotonicTime, event: Event) -> Option<Command> {
        match event {
            Event::Tick { suspected, rank } => self.on_tick(now, suspected, rank),
            Event::PeerAnswered(answer) => self.on_answer(now, answer),
            Event::LeaderProbed(outcome) => self.on_probed(now, outcome),
            Event::LeaseEnded => self.on_lease_ended(now),
            Event::FenceAnswered(outcome) => {
                self.on_fence_answered(now, outcome);
                None
            }
            Event::ReplicaShows { term, mine } => self.on_replica(now, term, mine),
            Event::Verified => {
                self.on_verified(now);
                None
            }
        }
    }

    fn enter(&mut self, now: MonotonicTime, phase: Phase) {
        self.phase = phase;
        self.entered = now;
    }

    fn go_back(&mut self, now: MonotonicTime, reason: BackReason) {
        self.enter(now, Phase::Following);
        self.answers.clear();
        self.asked = None;
        self.last_back = Some(reason);
    }

    fn on_tick(
        &mut self,
        now: MonotonicTime,
        suspected: bool,
        rank: Option<u64>,
    ) -> Option<Command> {
        let waited = now.since(self.entered);
        match self.phase {
            Phase::Following => {
                if suspected && rank.is_some() && now >= self.paused_until {
                    self.enter(now, Phase::Suspecting);
                    self.moments = Moments { suspected: now, ..Moments::default() };
                    self.probe_failed = false;
                    return Some(Command::ProbeLeader(self.term));
                }
                None
            }
            Phase::Suspecting if !suspected => {
                self.go_back(now, BackReason::LeaderAnswers);
                None
            }
            Phase::Suspecting if waited >= ASK_LIMIT_MS => {
                self.paused_until = now.plus(PAUSE_MS);
                self.go_back(now, BackReason::NoMajority);
                None
            }
            Phase::Suspecting => self.ask_when_due(now, rank),
            Phase::Fencing | Phase::CatchingUp if waited >= STEP_LIMIT_MS => {
                self.go_back(now, BackReason::StoreUnavailable);
                None
            }
            Phase::Fencing | Phase::CatchingUp | Phase::Verifying | Phase::Active => None,
        }
    }

    fn ask_when_due(&mut self, now: MonotonicTime, rank: Option<u64>) -> Option<Command> {
        let turn = rank? * self.rank_delay_ms;
        if now.since(self.entered) < turn
            || self.asked.is_some_and(|at| now.since(at) < ASK_AGAIN_MS)
        {
            return None;
        }
        self.asked = Some(now);
        Some(Command::AskPeers(self.term))
    }

    fn on_answer(&mut self, now: MonotonicTime, answer: PeerAnswer) -> Option<Command> {
        if self.phase != Phase::Suspecting {
            return None;
        }
        // A controller that never heard the leader is no witness: it may have been cut off all the time.
        let silence_ms = answer.silence_ms?;
        if silence_ms < self.least_silence_ms {
            // It may just have heard the leader's last words, so it is asked again before that counts.
            self.answers.remove(&answer.node);
            if now.since(self.entered) >= self.least_silence_ms {
                self.paused_until = now.plus(PAUSE_MS);
                self.go_back(now, BackReason::OthersHearIt(answer.node));
            }
            return None;
        }
        self.answers.insert(answer.node, (silence_ms, now));
        self.fence_if_agreed(now)
    }

    fn on_probed(&mut self, now: MonotonicTime, outcome: ProbeOutcome) -> Option<Command> {
        if self.phase != Phase::Suspecting {
            return None;
        }
        if outcome == ProbeOutcome::Answered {
            self.paused_until = now.plus(PAUSE_MS);
            self.go_back(now, BackReason::LeaderAnswers);
            return None;
        }
        self.probe_failed = true;
        self.fence_if_agreed(now)
    }

    fn fence_if_agreed(&mut self, now: MonotonicTime) -> Option<Command> {
        let agree =
            self.answers.values().filter(|(_, at)| now.since(*at) <= ANSWER_COUNTS_MS).count();
        if !self.probe_failed || (agree + 1) * 2 <= self.controllers {
            return None;
        }
        self.cause = Cause::Suspicion;
        self.start_fencing(now)
    }

    fn start_fencing(&mut self, now: MonotonicTime) -> Option<Command> {
        self.enter(now, Phase::Fencing);
        self.moments.fencing = now;
        self.answers.clear();
        self.asked = None;
        Some(Command::Fence(self.term))
    }

    fn on_lease_ended(&mut self, now: MonotonicTime) -> Option<Command> {
        if !matches!(self.phase, Phase::Following | Phase::Suspecting) {
            return None;
        }
        if self.phase == Phase::Following {
            self.moments = Moments { suspected: now, ..Moments::default() };
        }
        self.cause = Cause::LeaseEnded;
        self.start_fencing(now)
    }

    fn on_fence_answered(&mut self, now: MonotonicTime, outcome: FenceOutcome) {
        if self.phase != Phase::Fencing {
            return;
        }
        match outcome {
            FenceOutcome::Done(_) => {
                self.moments.fenced = now;
                self.enter(now, Phase::CatchingUp);
            }
            FenceOutcome::Conflict => self.go_back(now, BackReason::Conflict),
            // The replica will show whether it was carried out, and it may be carried out much later: it then
            // fails if anything came between.
            FenceOutcome::Unknown => self.go_back(now, BackReason::StoreUnavailable),
        }
    }

    fn on_replica(&mut self, now: MonotonicTime, term: Term, mine: bool) -> Option<Command> {
        if term < self.term || (term == self.term && self.phase != Phase::CatchingUp && !mine) {
            return None;
        }
        let known = std::mem::replace(&mut self.term, term);
        if !mine {
            match self.phase {
                Phase::Active => self.go_back(now, BackReason::Replaced(term)),
                Phase::Following => {}
                _ => self.go_back(now, BackReason::TermTaken(term)),
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
        if self.moments.fenced < self.moments.fencing {
            self.moments.fenced = now;
        }
        self.moments.caught_up = now;
        self.enter(now, Phase::Verifying);
        Some(Command::Verify(term))
    }

    fn on_verified(&mut self, now: MonotonicTime) {
        if self.phase != Phase::Verifying {
            return;
        }
        self.moments.verified = now;
        self.enter(now, Phase::Active);
        self.last_failover =
            Some(Failover { term: self.term, cause: self.cause, moments: self.moments });
    }
}

#[cfg(test)]
mod tests;
