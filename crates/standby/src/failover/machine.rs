//! The state machine itself: one method for each phase, and one for what the replica shows, which counts in all of
//! them.

use std::collections::BTreeMap;

use willowshore_model::{MonotonicTime, NodeId, Term};

use super::{
    Failover, FailoverCause, FailoverCommand, FailoverEvent, FailoverTimeline, FenceOutcome,
    PeerObservation, Phase, ProbeOutcome, StandDownReason,
};

/// Time between two queries of the other controllers, in milliseconds: a lost message is soon made up for, and three
/// controllers cause some ten messages a second while one suspects the leader.
const PEER_QUERY_PERIOD_MS: u64 = 200;
/// Longest time for which the others are queried, in milliseconds, before the suspicion is dropped and comes up again.
const PEER_QUERY_TIMEOUT_MS: u64 = 2_500;
/// How long an observation of another controller is valid, in milliseconds: a few query periods, as observations from
/// long ago must not add up to a majority.
const OBSERVATION_VALID_MS: u64 = 600;
/// How long the next suspicion waits after one that the leader or others refuted, in milliseconds.
const SUSPICION_BACKOFF_MS: u64 = 1_000;
/// How long the outcome of fencing, and then the replica, is waited for, in milliseconds. Beyond it the replica alone
/// says whether the term was taken.
const STEP_TIMEOUT_MS: u64 = 10_000;

/// Decides when a controller replaces the leader, and follows the failover through its phases.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    /// Controllers of the site, of which a majority has to agree.
    controllers: usize,
    /// From this silence on, in milliseconds, another controller counts as receiving nothing from the
    /// leader.
    min_silence_ms: u64,
    /// How much longer each further rank waits before it queries the others, in milliseconds.
    rank_delay_ms: u64,
    phase: Phase,
    phase_entered_at: MonotonicTime,
    /// The newest term that the replica showed.
    term: Term,
    /// What started the present or last failover.
    cause: FailoverCause,
    /// The present or last failover's timeline.
    timeline: FailoverTimeline,
    /// When the others were last queried in this suspicion.
    peers_queried_at: Option<MonotonicTime>,
    /// The others that receive nothing from the leader, and when each of them last said so.
    silent_peers: BTreeMap<NodeId, MonotonicTime>,
    /// Whether the leader itself was probed in this suspicion and did not respond.
    probe_failed: bool,
    /// No suspicion begins before this time.
    suspicion_paused_until: MonotonicTime,
    last_stand_down: Option<StandDownReason>,
    last_failover: Option<Failover>,
}

impl FailoverMachine {
    /// A machine for a site of so many controllers. Others count as receiving nothing from the leader from
    /// `min_silence_ms` on; each rank waits `rank_delay_ms` longer than the one before it.
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
            silent_peers: BTreeMap::new(),
            probe_failed: false,
            suspicion_paused_until: MonotonicTime(0),
            last_stand_down: None,
            last_failover: None,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The newest term that the replica showed.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Why it last went back to following.
    pub fn last_stand_down(&self) -> Option<StandDownReason> {
        self.last_stand_down
    }

    /// The last failover that this controller completed.
    pub fn last_failover(&self) -> Option<Failover> {
        self.last_failover
    }

    /// Applies an event and returns what is to be done. Events that the phase does not wait for change nothing.
    pub fn step(&mut self, now: MonotonicTime, event: FailoverEvent) -> Option<FailoverCommand> {
        if let FailoverEvent::ReplicaShows { term, mine } = event {
            return self.on_replica_shows(now, term, mine);
        }
        match self.phase {
            Phase::Following => self.while_following(now, event),
            Phase::Suspecting => self.while_suspecting(now, event),
            Phase::Fencing => {
                self.while_fencing(now, event);
                None
            }
            Phase::CatchingUp => {
                self.while_catching_up(now, event);
                None
            }
            Phase::Verifying => {
                self.while_verifying(now, event);
                None
            }
            // Only the replica ends a leadership.
            Phase::Active => None,
        }
    }

    fn while_following(
        &mut self,
        now: MonotonicTime,
        event: FailoverEvent,
    ) -> Option<FailoverCommand> {
        match event {
            FailoverEvent::Tick { suspected: true, rank: Some(_) }
                if now >= self.suspicion_paused_until =>
            {
                self.enter(now, Phase::Suspecting);
                self.timeline = FailoverTimeline::starting_at(now);
                self.probe_failed = false;
                Some(FailoverCommand::ProbeLeader(self.term))
            }
            FailoverEvent::LeaseExpired => {
                self.timeline = FailoverTimeline::starting_at(now);
                Some(self.fence(now, FailoverCause::LeaseExpired))
            }
            _ => None,
        }
    }

    fn while_suspecting(
        &mut self,
        now: MonotonicTime,
        event: FailoverEvent,
    ) -> Option<FailoverCommand> {
        match event {
            FailoverEvent::Tick { suspected: false, .. } => {
                self.stand_down(now, StandDownReason::LeaderResponds);
                None
            }
            FailoverEvent::Tick { .. } if self.time_in_phase(now) >= PEER_QUERY_TIMEOUT_MS => {
                self.drop_suspicion(now, StandDownReason::NoMajority);
                None
            }
            FailoverEvent::Tick { rank, .. } => self.query_peers_when_due(now, rank),
            FailoverEvent::PeerObserved(observation) => self.on_peer_observation(now, observation),
            FailoverEvent::ProbeCompleted(ProbeOutcome::Answered) => {
                self.drop_suspicion(now, StandDownReason::LeaderResponds);
                None
            }
            FailoverEvent::ProbeCompleted(ProbeOutcome::Refused | ProbeOutcome::Silent) => {
                self.probe_failed = true;
                self.fence_if_agreed(now)
            }
            FailoverEvent::LeaseExpired => Some(self.fence(now, FailoverCause::LeaseExpired)),
            _ => None,
        }
    }

    fn while_fencing(&mut self, now: MonotonicTime, event: FailoverEvent) {
        match event {
            FailoverEvent::Tick { .. } => self.stand_down_after_timeout(now),
            FailoverEvent::FenceCompleted(FenceOutcome::Done(_)) => {
                self.timeline.fenced = now;
                self.enter(now, Phase::CatchingUp);
            }
            FailoverEvent::FenceCompleted(FenceOutcome::Conflict) => {
                self.stand_down(now, StandDownReason::Conflict);
            }
            // The replica will show whether it was committed. It may also be committed much later, and fails then if
            // another leader's transaction came between.
            FailoverEvent::FenceCompleted(FenceOutcome::Unknown) => {
                self.stand_down(now, StandDownReason::StoreUnavailable);
            }
            _ => {}
        }
    }

    fn while_catching_up(&mut self, now: MonotonicTime, event: FailoverEvent) {
        if let FailoverEvent::Tick { .. } = event {
            self.stand_down_after_timeout(now);
        }
    }

    fn while_verifying(&mut self, now: MonotonicTime, event: FailoverEvent) {
        if event == FailoverEvent::Verified {
            self.timeline.verified = now;
            self.enter(now, Phase::Active);
            let failover = Failover { term: self.term, cause: self.cause, timeline: self.timeline };
            self.last_failover = Some(failover);
        }
    }

    /// The replica shows a leader. Old terms say nothing, and neither does a known term of another leader, unless this
    /// controller received the outcome that it had taken that very term.
    fn on_replica_shows(
        &mut self,
        now: MonotonicTime,
        term: Term,
        mine: bool,
    ) -> Option<FailoverCommand> {
        let is_known = term == self.term;
        if term < self.term || (is_known && !mine && self.phase != Phase::CatchingUp) {
            return None;
        }
        self.term = term;
        if !mine {
            match self.phase {
                Phase::Following => {}
                Phase::Active => self.stand_down(now, StandDownReason::Replaced(term)),
                _ => self.stand_down(now, StandDownReason::TermTakenByOther(term)),
            }
            return None;
        }
        match self.phase {
            // The same leader's next term: nothing was mirrored for it.
            Phase::Active => None,
            Phase::Verifying if is_known => None,
            _ => Some(self.verify(now, term)),
        }
    }

    fn verify(&mut self, now: MonotonicTime, term: Term) -> FailoverCommand {
        // The term may also show before the response of its transaction, or without any.
        if self.timeline.fenced < self.timeline.fencing {
            self.timeline.fenced = now;
        }
        self.timeline.caught_up = now;
        self.enter(now, Phase::Verifying);
        FailoverCommand::Verify(term)
    }

    fn query_peers_when_due(
        &mut self,
        now: MonotonicTime,
        rank: Option<u64>,
    ) -> Option<FailoverCommand> {
        let own_delay_ms = rank? * self.rank_delay_ms;
        let queried_lately =
            self.peers_queried_at.is_some_and(|at| now.since(at) < PEER_QUERY_PERIOD_MS);
        if self.time_in_phase(now) < own_delay_ms || queried_lately {
            return None;
        }
        self.peers_queried_at = Some(now);
        Some(FailoverCommand::QueryPeers(self.term))
    }

    fn on_peer_observation(
        &mut self,
        now: MonotonicTime,
        observation: PeerObservation,
    ) -> Option<FailoverCommand> {
        // A controller that never received from the leader is no witness: it may have been partitioned all the time.
        let silence_ms = observation.silence_ms?;
        if silence_ms < self.min_silence_ms {
            // It may just have received the leader's last messages, so it is queried again before that counts.
            self.silent_peers.remove(&observation.node);
            if self.time_in_phase(now) >= self.min_silence_ms {
                self.drop_suspicion(now, StandDownReason::HeardByOther(observation.node));
            }
            return None;
        }
        self.silent_peers.insert(observation.node, now);
        self.fence_if_agreed(now)
    }

    /// Fences the leader if its probe failed and a majority of the controllers, this one included, receives nothing
    /// from it.
    fn fence_if_agreed(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        let is_valid = |observed: &&MonotonicTime| now.since(**observed) <= OBSERVATION_VALID_MS;
        let agreeing = 1 + self.silent_peers.values().filter(is_valid).count();
        let is_majority = agreeing * 2 > self.controllers;
        (self.probe_failed && is_majority).then(|| self.fence(now, FailoverCause::Suspicion))
    }

    fn fence(&mut self, now: MonotonicTime, cause: FailoverCause) -> FailoverCommand {
        self.cause = cause;
        self.timeline.fencing = now;
        self.clear_observations();
        self.enter(now, Phase::Fencing);
        FailoverCommand::Fence(self.term)
    }

    fn stand_down_after_timeout(&mut self, now: MonotonicTime) {
        if self.time_in_phase(now) >= STEP_TIMEOUT_MS {
            self.stand_down(now, StandDownReason::StoreUnavailable);
        }
    }

    /// Stands down from a suspicion that was not shared; the next one waits a while.
    fn drop_suspicion(&mut self, now: MonotonicTime, reason: StandDownReason) {
        self.suspicion_paused_until = now.plus(SUSPICION_BACKOFF_MS);
        self.stand_down(now, reason);
    }

    fn stand_down(&mut self, now: MonotonicTime, reason: StandDownReason) {
        self.clear_observations();
        self.enter(now, Phase::Following);
        self.last_stand_down = Some(reason);
    }

    fn clear_observations(&mut self) {
        self.silent_peers.clear();
        self.peers_queried_at = None;
    }

    fn enter(&mut self, now: MonotonicTime, phase: Phase) {
        self.phase = phase;
        self.phase_entered_at = now;
    }

    fn time_in_phase(&self, now: MonotonicTime) -> u64 {
        now.since(self.phase_entered_at)
    }
}
