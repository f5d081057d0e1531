//! The warm standby within a controller. It owns the state machines of `willowshore-standby` (failure detector, failover,
//! mirror, decision log), passes events to them and logs their transitions.
//!
//! Invariants: a controller has a decision log only while it leads, and follows a leader only while it does not lead.
//!
//! Heartbeats, suspicions, observations of peers and mirrored decisions are hints. They decide when a transaction is
//! attempted, and spare a new leader some measurements, but prove nothing. The proofs are the conditions of the
//! transaction in the store, and the replica, which shows the term and confirms mirrored decisions. The argument is in
//! `docs/safety.md`, "Replacing a leader that is not heard"; operation is described in `docs/standby.md`.

use tracing::{info, warn};
use willowshore_standby::decision_log::{Batch, DecisionLog, FollowRequest};
use willowshore_standby::decisions::DecisionTarget;
use willowshore_standby::detector::HeartbeatDetector;
use willowshore_standby::failover::{
    FailoverCause, FailoverCommand, FailoverEvent, FailoverStateMachine, FenceOutcome, Phase,
};
use willowshore_standby::mirror::{BatchRejected, Mirror};
use willowshore_standby::settings::StandbySettings;
use willowshore_standby::status::{FailoverStatus, Role, Status, VerificationCounts};

use crate::model::{ClockReading, MonotonicTime, NodeId, Term, WallTime};

/// Minimum time between two recordings of the leader's decisions, in milliseconds: about the period of the summaries
/// with which standbys fetch the decisions.
const RECORD_PERIOD_MS: u64 = 200;

/// Upper bound of phi in the status. At this value the leader is down with practical certainty, and the bound keeps very
/// large values, up to `f64::MAX`, out of the JSON.
const MAX_REPORTED_PHI: f64 = 999.0;

/// A leader that a controller follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowedLeader {
    /// The leading controller.
    pub node: NodeId,
    /// The term that it leads.
    pub term: Term,
}

/// The warm standby of a controller.
pub struct Standby {
    settings: StandbySettings,
    detector: HeartbeatDetector,
    failover: FailoverStateMachine,
    /// The copy of the followed leader's decisions.
    mirror: Mirror,
    /// The log of this controller's decisions while it leads.
    decision_log: Option<DecisionLog>,
    /// When the decisions were last recorded in the log; `None` before the first time in the current term.
    last_recorded_at: Option<MonotonicTime>,
    /// The followed leader; `None` while this controller leads, and before a leader is known.
    followed_leader: Option<FollowedLeader>,
    /// The results of comparing the mirrored records with the replica in the last failover.
    verification: VerificationCounts,
    /// The number of actions that this process abandoned because it no longer led.
    refused_actions: u64,
}

impl Standby {
    /// Creates the standby of a controller, in a site with this number of controllers.
    pub fn new(settings: StandbySettings, controllers: usize) -> Self {
        Standby {
            detector: HeartbeatDetector::new(&settings),
            failover: FailoverStateMachine::new(
                controllers,
                settings.suspect_after_min_ms,
                settings.rank_delay_ms,
            ),
            settings,
            mirror: Mirror::default(),
            decision_log: None,
            last_recorded_at: None,
            followed_leader: None,
            verification: VerificationCounts::default(),
            refused_actions: 0,
        }
    }

    /// The standby's settings.
    pub fn settings(&self) -> &StandbySettings {
        &self.settings
    }

    /// The current phase of the failover.
    pub fn phase(&self) -> Phase {
        self.failover.phase()
    }

    /// The followed leader; `None` while this controller leads, and before a leader is known.
    pub fn followed_leader(&self) -> Option<FollowedLeader> {
        self.followed_leader
    }

    /// The copy of the followed leader's decisions.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// The log of this controller's decisions; `None` while it does not lead.
    pub fn decision_log(&self) -> Option<&DecisionLog> {
        self.decision_log.as_ref()
    }

    /// The request for decisions, sent to the leader with each summary.
    pub fn request(&self) -> FollowRequest {
        self.mirror.request()
    }

    /// Follows another process that leads according to the replica, and drops the decision log of this controller's own
    /// term.
    pub fn follow(&mut self, now: MonotonicTime, leader: FollowedLeader) {
        if self.followed_leader.replace(leader) == Some(leader) {
            return;
        }
        self.decision_log = None;
        self.detector.restart_watch(now);
        self.mirror.begin_term(leader.term);
        self.step(now, FailoverEvent::TermRecorded { term: leader.term, is_own: false });
    }

    /// Handles the leader's plan, the response to a request that was sent at `sent`: a heartbeat, with a batch of
    /// decisions if there are new ones.
    pub fn receive_plan(&mut self, sent: MonotonicTime, term: Term, batch: Option<&Batch>) {
        if !self.record_heartbeat(sent, term) {
            return;
        }
        let Some(batch) = batch else {
            self.mirror.confirm_up_to_date();
            return;
        };
        match self.mirror.accept(batch) {
            Ok(differences) if differences.is_empty() => {}
            Ok(differences) => {
                warn!(%term, ?differences, "the copy of the leader's decisions had diverged and was replaced by a snapshot");
            }
            Err(rejected @ (BatchRejected::WrongTerm(_) | BatchRejected::Gap(_))) => {
                tracing::debug!(%term, reason = %rejected, "rejected a batch of decisions");
            }
            Err(rejected) => warn!(%term, reason = %rejected, "rejected a batch of decisions"),
        }
    }

    /// Records that the leader of this term responded to a request that was sent at `sent`. Returns false, and records
    /// nothing, if this leader is not the followed one.
    pub fn record_heartbeat(&mut self, sent: MonotonicTime, term: Term) -> bool {
        let is_followed = self.followed_leader.is_some_and(|leader| leader.term == term);
        if is_followed {
            self.detector.record_heartbeat(sent);
        }
        is_followed
    }

    /// Advances the failure detector and the failover to `now`. `rank` is this controller's rank as
    /// [`FailoverEvent::Tick`] defines it.
    pub fn tick(&mut self, now: MonotonicTime, rank: Option<u64>) -> Option<FailoverCommand> {
        self.detector.tick(now);
        let suspected = self.followed_leader.is_some() && self.detector.suspects(now);
        self.step(now, FailoverEvent::Tick { suspected, rank })
    }

    /// Passes an event to the failover state machine and logs a change of phase.
    pub fn step(&mut self, now: MonotonicTime, event: FailoverEvent) -> Option<FailoverCommand> {
        let before = self.failover.phase();
        let command = self.failover.step(now, event);
        let after = self.failover.phase();
        if before != after {
            let term = self.failover.term();
            let stand_down = self.failover.last_stand_down().filter(|_| after == Phase::Following);
            match stand_down {
                Some(reason) => info!(%term, from = %before, %reason, "standby: resumed following"),
                None => info!(%term, from = %before, to = %after, "standby: changed phase"),
            }
        }
        command
    }

    /// Milliseconds since the last heartbeat of the leader of this term; `None` if that leader is not followed.
    pub fn leader_silence_ms(&self, now: MonotonicTime, term: Term) -> Option<u64> {
        self.followed_leader.filter(|leader| leader.term == term)?;
        self.detector.silence_ms(now)
    }

    /// Starts leading a term, which the replica shows as this process's. `verification` holds the results of comparing
    /// the previous leader's decisions with the replica; `None` if they were not compared.
    pub fn begin_leading(
        &mut self,
        now: MonotonicTime,
        term: Term,
        verification: Option<VerificationCounts>,
    ) {
        self.decision_log = Some(DecisionLog::new(term, &self.settings));
        self.last_recorded_at = None;
        self.followed_leader = None;
        if let Some(counts) = verification {
            self.verification = counts;
            self.step(now, FailoverEvent::Verified);
            let taken = self.failover.last_failover().map(FailoverStatus::from);
            info!(%term, ?taken, ?counts, "standby: completed a failover");
        }
    }

    /// Whether this controller leads and has to record its decisions now.
    pub fn is_record_due(&self, now: MonotonicTime) -> bool {
        self.decision_log.is_some()
            && self.last_recorded_at.is_none_or(|at| now.since(at) >= RECORD_PERIOD_MS)
    }

    /// Records the decisions that hold now, if this controller leads.
    pub fn record_decisions(&mut self, now: ClockReading, target: &DecisionTarget) {
        if let Some(log) = &mut self.decision_log {
            self.last_recorded_at = Some(now.steady);
            log.record(now.wall, target);
        }
    }

    /// Composes the batch for a standby's request; `None` if this controller does not lead this term, or the standby has
    /// all decisions.
    pub fn batch_for(&mut self, term: Term, request: &FollowRequest) -> Option<Batch> {
        self.decision_log.as_mut().filter(|log| log.term() == term)?.batch_for(request)
    }

    /// Counts an action that this process abandoned because it no longer leads.
    pub fn record_refused_action(&mut self) {
        self.refused_actions += 1;
    }

    /// The number of actions that this process abandoned because it no longer led.
    pub fn refused_actions(&self) -> u64 {
        self.refused_actions
    }

    /// Handles the outcome of the fencing transaction, which takes the next term.
    pub fn on_fence_completed(&mut self, now: MonotonicTime, outcome: FenceOutcome) {
        self.step(now, FailoverEvent::FenceCompleted(outcome));
    }

    /// Whether the last failover that this controller completed had this cause and took this term.
    pub fn completed_failover(&self, cause: FailoverCause, term: Term) -> bool {
        self.failover
            .last_failover()
            .is_some_and(|failover| failover.term == term && failover.cause == cause)
    }

    /// The results of comparing the mirrored records with the replica in the last failover.
    pub fn verification(&self) -> VerificationCounts {
        self.verification
    }

    /// The status for operators. `own_node` is this controller, and `names` are the names of all controllers, indexed by
    /// [`NodeId`].
    pub fn status(
        &self,
        now: MonotonicTime,
        wall_time: WallTime,
        own_node: NodeId,
        names: &[String],
    ) -> Status {
        let name = |node: NodeId| names.get(usize::from(node.0)).cloned().unwrap_or_default();
        let leads = self.decision_log.is_some();
        let controller = name(own_node);
        let role = match (leads, self.settings.allows(&controller)) {
            (true, _) => Role::Leader,
            (false, true) => Role::Standby,
            (false, false) => Role::Observer,
        };
        let leader =
            if leads { Some(own_node) } else { self.followed_leader.map(|leader| leader.node) };
        let silence_ms =
            self.detector.silence_ms(now).filter(|_| !leads && self.followed_leader.is_some());
        let state = self.decision_log.as_ref().map_or(self.mirror.state(), DecisionLog::state);
        let counters = self.mirror.counters();
        Status {
            controller,
            role,
            phase: self.failover.phase().to_string(),
            term: self.decision_log.as_ref().map_or(self.failover.term(), DecisionLog::term).0,
            leader: leader.map(name),
            leader_silent_ms: silence_ms,
            phi: if leads { 0.0 } else { self.detector.phi(now).min(MAX_REPORTED_PHI) },
            lag_records: if leads { 0 } else { self.mirror.lag_records() },
            lag_s: if leads { 0.0 } else { self.mirror.lag_ms(wall_time) as f64 / 1_000.0 },
            entries: state.len(),
            divergences: counters.divergences,
            malformed: counters.malformed,
            last_stand_down: self.failover.last_stand_down().map(|reason| reason.to_string()),
            last_failover: self.failover.last_failover().map(FailoverStatus::from),
            verification: self.verification,
            refused_actions: self.refused_actions,
        }
    }
}
