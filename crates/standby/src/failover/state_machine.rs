//! The failover state machine: one method for each phase, and one for [`FailoverEvent::TermRecorded`], which is
//! handled in every phase.

use std::collections::BTreeMap;

use willowshore_model::{MonotonicTime, NodeId, Term};

use super::{
    Failover, FailoverCause, FailoverCommand, FailoverEvent, FailoverTimeline, FenceOutcome,
    PeerObservation, Phase, ProbeOutcome, StandDownReason,
};

/// Time between two queries of the other controllers, in milliseconds. A lost message is soon compensated by the next
/// query, and a site of three controllers sends about ten messages per second while one of them suspects the leader.
const PEER_QUERY_PERIOD_MS: u64 = 200;
/// Longest duration of a suspicion without a confirming majority, in milliseconds. The suspicion is then dropped; a new
/// one may begin after [`SUSPICION_BACKOFF_MS`].
const SUSPICION_TIMEOUT_MS: u64 = 2_500;
/// How long another controller's observation is valid, in milliseconds: a few query periods, as old observations must
/// not add up to a majority.
const OBSERVATION_VALID_MS: u64 = 600;
/// Pause before the next suspicion after one that was refuted or not confirmed, in milliseconds.
const SUSPICION_BACKOFF_MS: u64 = 1_000;
/// Longest time in [`Phase::Fencing`], and again in [`Phase::CatchingUp`], in milliseconds. After it only the replica
/// shows whether the term was taken.
const FENCING_TIMEOUT_MS: u64 = 10_000;

/// Decides when a controller replaces the leader, and tracks the phases of the failover.
#[derive(Clone, Debug)]
pub struct FailoverStateMachine {
    /// The number of controllers of the site, a majority of which has to receive nothing from the leader.
    controllers: usize,
    /// Silence in milliseconds, as reported by another controller, from which that controller counts as receiving
    /// nothing from the leader.
    min_silence_ms: u64,
    /// How much longer a controller waits before it queries the others than the controller ranked before it, in
    /// milliseconds.
    rank_delay_ms: u64,
    phase: Phase,
    phase_entered_at: MonotonicTime,
    /// The newest term that the replica showed.
    term: Term,
    /// What started the current or last failover.
    cause: FailoverCause,
    /// The timeline of the current or last failover.
    timeline: FailoverTimeline,
    /// When the other controllers were last queried during the current suspicion.
    peers_queried_at: Option<MonotonicTime>,
    /// The other controllers that receive nothing from the leader, each with the time of its latest observation.
    silent_peers: BTreeMap<NodeId, MonotonicTime>,
    /// Whether the leader was probed during the current suspicion and did not respond.
    probe_failed: bool,
    /// The earliest time at which the next suspicion may begin.
    suspicion_paused_until: MonotonicTime,
    last_stand_down: Option<StandDownReason>,
    last_failover: Option<Failover>,
}

impl FailoverStateMachine {
    /// Creates the state machine of one controller, in a site with this number of controllers. Other controllers count
    /// as receiving nothing from the leader from `min_silence_ms` of silence on. A controller waits `rank_delay_ms` longer
    /// before it queries the others than the controller ranked before it.
    pub fn new(controllers: usize, min_silence_ms: u64, rank_delay_ms: u64) -> Self {
        FailoverStateMachine {
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

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The newest term that the replica showed.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Why this controller last returned to [`Phase::Following`].
    pub fn last_stand_down(&self) -> Option<StandDownReason> {
        self.last_stand_down
    }

    /// The last failover that this controller completed.
    pub fn last_failover(&self) -> Option<Failover> {
        self.last_failover
    }

    /// Applies an event and returns the command to carry out, if any. An event that the current phase does not handle is
    /// ignored.
    pub fn step(&mut self, now: MonotonicTime, event: FailoverEvent) -> Option<FailoverCommand> {
        if let FailoverEvent::TermRecorded { term, is_own } = event {
            return self.on_term_recorded(now, term, is_own);
        }
        match self.phase {
            Phase::Following => self.step_following(now, event),
            Phase::Suspecting => self.step_suspecting(now, event),
            Phase::Fencing => {
                self.step_fencing(now, event);
                None
            }
            Phase::CatchingUp => {
                self.step_catching_up(now, event);
                None
            }
            Phase::Verifying => {
                self.step_verifying(now, event);
                None
            }
            // A term ends only when the replica shows another leader.
            Phase::Active => None,
        }
    }

    fn step_following(
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

    fn step_suspecting(
        &mut self,
        now: MonotonicTime,
        event: FailoverEvent,
    ) -> Option<FailoverCommand> {
        match event {
            FailoverEvent::Tick { suspected: false, .. } => {
                self.stand_down(now, StandDownReason::LeaderResponds);
                None
            }
            FailoverEvent::Tick { .. } if self.time_in_phase(now) >= SUSPICION_TIMEOUT_MS => {
                self.drop_suspicion(now, StandDownReason::NoMajority);
                None
            }
            FailoverEvent::Tick { rank, .. } => self.query_peers_if_due(now, rank),
            FailoverEvent::PeerObserved(observation) => self.on_peer_observation(now, observation),
            FailoverEvent::ProbeCompleted(ProbeOutcome::Responded) => {
                self.drop_suspicion(now, StandDownReason::LeaderResponds);
                None
            }
            FailoverEvent::ProbeCompleted(ProbeOutcome::Refused | ProbeOutcome::NoResponse) => {
                self.probe_failed = true;
                self.fence_if_agreed(now)
            }
            FailoverEvent::LeaseExpired => Some(self.fence(now, FailoverCause::LeaseExpired)),
            _ => None,
        }
    }

    fn step_fencing(&mut self, now: MonotonicTime, event: FailoverEvent) {
        match event {
            FailoverEvent::Tick { .. } => self.stand_down_after_timeout(now),
            FailoverEvent::FenceCompleted(FenceOutcome::Committed(_)) => {
                self.timeline.fenced = now;
                self.enter(now, Phase::CatchingUp);
            }
            FailoverEvent::FenceCompleted(FenceOutcome::ConditionsFailed) => {
                self.stand_down(now, StandDownReason::ConditionsFailed);
            }
            // The replica will show whether the transaction was committed. A delayed transaction may still be committed
            // much later; its conditions fail if another leader's transaction was committed in between.
            FailoverEvent::FenceCompleted(FenceOutcome::Unknown) => {
                self.stand_down(now, StandDownReason::StoreUnavailable);
            }
            _ => {}
        }
    }

    fn step_catching_up(&mut self, now: MonotonicTime, event: FailoverEvent) {
        if let FailoverEvent::Tick { .. } = event {
            self.stand_down_after_timeout(now);
        }
    }

    fn step_verifying(&mut self, now: MonotonicTime, event: FailoverEvent) {
        if event == FailoverEvent::Verified {
            self.timeline.verified = now;
            self.enter(now, Phase::Active);
            let failover = Failover { term: self.term, cause: self.cause, timeline: self.timeline };
            self.last_failover = Some(failover);
        }
    }

    /// Handles a leader's record in the replica. Records of old terms are ignored. So are repeated records of the
    /// newest term with another leader, except in [`Phase::CatchingUp`], in which this controller's transaction that
    /// takes the next term has been committed.
    fn on_term_recorded(
        &mut self,
        now: MonotonicTime,
        term: Term,
        is_own: bool,
    ) -> Option<FailoverCommand> {
        let is_known = term == self.term;
        if term < self.term || (is_known && !is_own && self.phase != Phase::CatchingUp) {
            return None;
        }
        self.term = term;
        if !is_own {
            match self.phase {
                Phase::Following => {}
                Phase::Active => self.stand_down(now, StandDownReason::Replaced(term)),
                _ => self.stand_down(now, StandDownReason::TermTakenByPeer(term)),
            }
            return None;
        }
        match self.phase {
            // This leader takes a further term. Nothing was mirrored that would have to be verified.
            Phase::Active => None,
            Phase::Verifying if is_known => None,
            _ => Some(self.verify(now, term)),
        }
    }

    fn verify(&mut self, now: MonotonicTime, term: Term) -> FailoverCommand {
        // The replica may show the term before the transaction's response is received, or without a response.
        if self.timeline.fenced < self.timeline.fencing {
            self.timeline.fenced = now;
        }
        self.timeline.caught_up = now;
        self.enter(now, Phase::Verifying);
        FailoverCommand::Verify(term)
    }

    fn query_peers_if_due(
        &mut self,
        now: MonotonicTime,
        rank: Option<u64>,
    ) -> Option<FailoverCommand> {
        let rank_offset_ms = rank? * self.rank_delay_ms;
        let queried_recently =
            self.peers_queried_at.is_some_and(|at| now.since(at) < PEER_QUERY_PERIOD_MS);
        if self.time_in_phase(now) < rank_offset_ms || queried_recently {
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
        // A controller that never received anything from the leader is ignored: it may always have been partitioned.
        let silence_ms = observation.silence_ms?;
        if silence_ms < self.min_silence_ms {
            // A short silence may only mean that the peer received the leader's last messages before the leader stopped,
            // so it refutes the suspicion only once the suspicion is older than `min_silence_ms`.
            self.silent_peers.remove(&observation.node);
            if self.time_in_phase(now) >= self.min_silence_ms {
                self.drop_suspicion(now, StandDownReason::PeerReceivesFromLeader(observation.node));
            }
            return None;
        }
        self.silent_peers.insert(observation.node, now);
        self.fence_if_agreed(now)
    }

    /// Fences the leader if its probe failed and a majority of the controllers, this one included, receives nothing
    /// from the leader.
    fn fence_if_agreed(&mut self, now: MonotonicTime) -> Option<FailoverCommand> {
        let is_valid =
            |observed_at: &&MonotonicTime| now.since(**observed_at) <= OBSERVATION_VALID_MS;
        let silent_controllers = 1 + self.silent_peers.values().filter(is_valid).count();
        let is_majority = silent_controllers * 2 > self.controllers;
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
        if self.time_in_phase(now) >= FENCING_TIMEOUT_MS {
            self.stand_down(now, StandDownReason::StoreUnavailable);
        }
    }

    /// Drops a suspicion that was refuted or not confirmed, and pauses before the next one.
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
