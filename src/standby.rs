//! The warm standby within a controller: it owns the state machines of `willowshore-standby` (failure detector,
//! failover, mirror, decision log), passes events to them, and logs their steps.
//!
//! Invariants: a controller has a decision log only while it leads, and follows a leader only while it does not.
//!
//! Hints: heartbeats, suspicions, observations of peers and mirrored decisions. None of them proves anything; they
//! decide when a transaction is tried, and what a new leader need not measure again. Proofs: the transaction's
//! conditions in the store, and the replica, which shows the term and confirms mirrored decisions. The argument is in
//! `docs/safety.md`, "Replacing a leader that is not heard"; operation in `docs/standby.md`.

use tracing::{info, warn};
use willowshore_standby::decision_log::{Batch, DecisionLog, FollowRequest};
use willowshore_standby::decisions::DecisionTarget;
use willowshore_standby::detector::HeartbeatDetector;
use willowshore_standby::failover::{
    FailoverCause, FailoverCommand, FailoverEvent, FailoverMachine, FenceOutcome, Phase,
};
use willowshore_standby::mirror::{BatchRejected, Mirror};
use willowshore_standby::settings::StandbySettings;
use willowshore_standby::status::{FailoverStatus, Role, Status, VerificationCounts};

use crate::model::{ClockReading, MonotonicTime, NodeId, Term, WallTime};

/// Least time between two records of the leader's decisions, in milliseconds: about the period of summaries, which
/// fetch them.
const RECORD_PERIOD_MS: u64 = 200;

/// The largest phi that operators are shown: beyond it the leader is as good as certainly down, and JSON has no
/// infinity.
const MAX_SHOWN_PHI: f64 = 999.0;

/// The leader that a controller follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowedLeader {
    /// The controller.
    pub node: NodeId,
    /// Its term.
    pub term: Term,
}

/// A controller's warm standby.
pub struct Standby {
    settings: StandbySettings,
    detector: HeartbeatDetector,
    failover: FailoverMachine,
    /// The copy of the followed leader's decisions.
    mirror: Mirror,
    /// This controller's decisions, while it leads.
    log: Option<DecisionLog>,
    /// When the decisions were last recorded in the log.
    last_record: Option<MonotonicTime>,
    /// The leader that is followed; `None` while this controller leads.
    followed: Option<FollowedLeader>,
    /// What the last failover found of the mirrored records.
    verification: VerificationCounts,
    /// Actions that this process gave up, as it no longer led.
    refused_actions: u64,
}

impl Standby {
    /// The standby of a controller in a site of so many controllers.
    pub fn new(settings: StandbySettings, controllers: usize) -> Self {
        Standby {
            detector: HeartbeatDetector::new(&settings),
            failover: FailoverMachine::new(
                controllers,
                settings.suspect_after_min_ms,
                settings.rank_delay_ms,
            ),
            settings,
            mirror: Mirror::default(),
            log: None,
            last_record: None,
            followed: None,
            verification: VerificationCounts::default(),
            refused_actions: 0,
        }
    }

    /// The settings.
    pub fn settings(&self) -> &StandbySettings {
        &self.settings
    }

    /// The phase of the failover.
    pub fn phase(&self) -> Phase {
        self.failover.phase()
    }

    /// The leader that is followed; `None` while this controller leads, and before one is known.
    pub fn followed(&self) -> Option<FollowedLeader> {
        self.followed
    }

    /// The copy of the followed leader's decisions.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// The decision log, while this controller leads.
    pub fn log(&self) -> Option<&DecisionLog> {
        self.log.as_ref()
    }

    /// The request for decisions, sent to the leader with each summary.
    pub fn request(&self) -> FollowRequest {
        self.mirror.request()
    }

    /// The replica shows that another process leads: follows it, and drops the decision log of an own term.
    pub fn follow(&mut self, now: MonotonicTime, leader: FollowedLeader) {
        if self.followed.replace(leader) == Some(leader) {
            return;
        }
        self.log = None;
        self.detector.restart_watch(now);
        self.mirror.begin_term(leader.term);
        self.step(now, FailoverEvent::ReplicaShows { term: leader.term, mine: false });
    }

    /// The leader responded to a request, sent at `sent`, with a plan: a heartbeat, and decisions if there were new
    /// ones.
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
                warn!(%term, ?differences, "the copy of the leader's decisions differed and was replaced");
            }
            Err(rejected @ (BatchRejected::WrongTerm(_) | BatchRejected::Gap(_))) => {
                tracing::debug!(%term, reason = %rejected, "decisions were not taken");
            }
            Err(rejected) => warn!(%term, reason = %rejected, "decisions were not taken"),
        }
    }

    /// The leader of that term responded to a request that was sent at `sent`. Returns false, and records nothing, if
    /// another leader is followed.
    pub fn record_heartbeat(&mut self, sent: MonotonicTime, term: Term) -> bool {
        let is_followed = self.followed.is_some_and(|leader| leader.term == term);
        if is_followed {
            self.detector.record_heartbeat(sent);
        }
        is_followed
    }

    /// Advances the failure detector and the failover; `rank` as in [`FailoverEvent::Tick`].
    pub fn tick(&mut self, now: MonotonicTime, rank: Option<u64>) -> Option<FailoverCommand> {
        self.detector.tick(now);
        let suspected = self.followed.is_some() && self.detector.suspects(now);
        self.step(now, FailoverEvent::Tick { suspected, rank })
    }

    /// Passes an event to the failover's state machine and logs a change of phase.
    pub fn step(&mut self, now: MonotonicTime, event: FailoverEvent) -> Option<FailoverCommand> {
        let before = self.failover.phase();
        let command = self.failover.step(now, event);
        let after = self.failover.phase();
        if before != after {
            let term = self.failover.term();
            let stand_down = self.failover.last_stand_down().filter(|_| after == Phase::Following);
            match stand_down {
                Some(reason) => info!(%term, from = %before, %reason, "standby: following again"),
                None => info!(%term, from = %before, to = %after, "standby"),
            }
        }
        command
    }

    /// Milliseconds since the last message of the leader of that term; `None` if it is not followed.
    pub fn leader_silence_ms(&self, now: MonotonicTime, term: Term) -> Option<u64> {
        self.followed.filter(|leader| leader.term == term)?;
        self.detector.silence_ms(now)
    }

    /// This process leads that term from now on, as the replica shows. `verification` counts what the replica confirmed
    /// of the previous leader's decisions; `None` if they were not compared.
    pub fn begin_leading(
        &mut self,
        now: MonotonicTime,
        term: Term,
        verification: Option<VerificationCounts>,
    ) {
        self.log = Some(DecisionLog::new(term, &self.settings));
        self.last_record = None;
        self.followed = None;
        if let Some(counts) = verification {
            self.verification = counts;
            self.step(now, FailoverEvent::Verified);
            let taken = self.failover.last_failover().map(FailoverStatus::from);
            info!(%term, ?taken, ?counts, "standby: took over");
        }
    }

    /// Whether the leader's decisions are to be recorded now.
    pub fn is_record_due(&self, now: MonotonicTime) -> bool {
        self.log.is_some() && self.last_record.is_none_or(|at| now.since(at) >= RECORD_PERIOD_MS)
    }

    /// As the leader, records the decisions that hold now.
    pub fn record(&mut self, now: ClockReading, target: &DecisionTarget) {
        if let Some(log) = &mut self.log {
            self.last_record = Some(now.steady);
            log.record(now.wall, target);
        }
    }

    /// As the leader, the decisions for a standby that asked for them; `None` in another term than that of the log, or
    /// if there are no new ones.
    pub fn batch_for(&mut self, term: Term, request: &FollowRequest) -> Option<Batch> {
        self.log.as_mut().filter(|log| log.term() == term)?.batch_for(request)
    }

    /// Counts an action that this process gave up, as it no longer leads.
    pub fn record_refused_action(&mut self) {
        self.refused_actions += 1;
    }

    /// Actions that this process gave up, as it no longer led.
    pub fn refused_actions(&self) -> u64 {
        self.refused_actions
    }

    /// The transaction that takes the next term has an outcome.
    pub fn on_fence_completed(&mut self, now: MonotonicTime, outcome: FenceOutcome) {
        self.step(now, FailoverEvent::FenceCompleted(outcome));
    }

    /// Whether this controller took that term by a failover with that cause.
    pub fn completed_failover(&self, cause: FailoverCause, term: Term) -> bool {
        self.failover
            .last_failover()
            .is_some_and(|failover| failover.term == term && failover.cause == cause)
    }

    /// What the last failover found of the mirrored records.
    pub fn verification(&self) -> VerificationCounts {
        self.verification
    }

    /// The status for operators; `names` are those of all controllers, by index.
    pub fn status(
        &self,
        now: MonotonicTime,
        wall: WallTime,
        me: NodeId,
        names: &[String],
    ) -> Status {
        let name = |node: NodeId| names.get(usize::from(node.0)).cloned().unwrap_or_default();
        let leads = self.log.is_some();
        let controller = name(me);
        let role = match (leads, self.settings.allows(&controller)) {
            (true, _) => Role::Leader,
            (false, true) => Role::Standby,
            (false, false) => Role::Observer,
        };
        let leader = if leads { Some(me) } else { self.followed.map(|leader| leader.node) };
        let silence_ms =
            self.detector.silence_ms(now).filter(|_| !leads && self.followed.is_some());
        let state = self.log.as_ref().map_or(self.mirror.state(), DecisionLog::state);
        let counters = self.mirror.counters();
        Status {
            controller,
            role,
            phase: self.failover.phase().to_string(),
            term: self.log.as_ref().map_or(self.failover.term(), DecisionLog::term).0,
            leader: leader.map(name),
            leader_silent_ms: silence_ms,
            phi: if leads { 0.0 } else { self.detector.phi(now).min(MAX_SHOWN_PHI) },
            lag_records: if leads { 0 } else { self.mirror.lag_records() },
            lag_s: if leads { 0.0 } else { self.mirror.lag_ms(wall) as f64 / 1_000.0 },
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
