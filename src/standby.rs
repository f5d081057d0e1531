//! The warm standby as part of a controller: what it holds of the state machines of `willowshore-standby`, and how
//! events reach them. The rules that it keeps are in `docs/safety.md`.

use tracing::{info, warn};
use willowshore_standby::decision_log::{Batch, DecisionLog, FollowRequest};
use willowshore_standby::decisions::DecisionTarget;
use willowshore_standby::detector::HeartbeatDetector;
use willowshore_standby::failover::{Cause, Command, Event, FailoverMachine, FenceOutcome, Phase};
use willowshore_standby::mirror::{Mirror, Rejected};
use willowshore_standby::settings::StandbySettings;
use willowshore_standby::status::{FailoverStatus, Role, Status, VerificationCounts};

use crate::model::{ClockReading, MonotonicTime, NodeId, Term, WallTime};

/// Least time between two records of the leader's decisions, in milliseconds.
const RECORD_PERIOD_MS: u64 = 200;

/// The leader that a controller follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowedLeader {
    /// The controller.
    pub node: NodeId,
    /// Its term.
    pub term: Term,
}

/// A controller's part in the warm standby.
pub struct Standby {
    settings: StandbySettings,
    detector: HeartbeatDetector,
    machine: FailoverMachine,
    mirror: Mirror,
    log: Option<DecisionLog>,
    last_record: Option<MonotonicTime>,
    followed: Option<FollowedLeader>,
    verification: VerificationCounts,
    refused_actions: u64,
}

impl Standby {
    /// The standby of a site of so many controllers.
    pub fn new(settings: StandbySettings, controllers: usize) -> Self {
        Standby {
            detector: HeartbeatDetector::new(&settings),
            machine: FailoverMachine::new(
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

    /// Where it stands on the way to leading.
    pub fn phase(&self) -> Phase {
        self.machine.phase()
    }

    /// The leader that it follows.
    pub fn followed(&self) -> Option<FollowedLeader> {
        self.followed
    }

    /// The copy of the leader's decisions.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// The log, while this controller leads.
    pub fn log(&self) -> Option<&DecisionLog> {
        self.log.as_ref()
    }

    /// What is asked of the leader.
    pub fn request(&self) -> FollowRequest {
        self.mirror.request()
    }

    /// The replica shows another leader than this process.
    pub fn follow(&mut self, now: MonotonicTime, leader: FollowedLeader) {
        if self.followed.replace(leader) == Some(leader) {
            return;
        }
        self.log = None;
        self.detector.watch_anew(now);
        self.mirror.begin_term(leader.term);
        self.step(now, Event::ReplicaShows { term: leader.term, mine: false });
    }

    /// The leader answered with a plan to a request that was sent then, with decisions if there were new ones.
    pub fn receive_plan(&mut self, sent: MonotonicTime, term: Term, batch: Option<&Batch>) {
        if !self.record_heartbeat(sent, term) {
            return;
        }
        let Some(batch) = batch else {
            self.mirror.is_told_nothing_new();
            return;
        };
        match self.mirror.accept(batch) {
            Ok(differences) if differences.is_empty() => {}
            Ok(differences) => {
                warn!(%term, ?differences, "the copy of the leader's decisions differed and was replaced");
            }
            Err(rejected @ (Rejected::WrongTerm(_) | Rejected::Gap(_))) => {
                tracing::debug!(%term, reason = %rejected, "decisions were not taken");
            }
            Err(rejected) => warn!(%term, reason = %rejected, "decisions were not taken"),
        }
    }

    /// The leader of that term answered a request that was sent then; false if it is not the one that is followed.
    pub fn record_heartbeat(&mut self, sent: MonotonicTime, term: Term) -> bool {
        let followed = self.followed.is_some_and(|f| f.term == term);
        if followed {
            self.detector.heartbeat(sent);
        }
        followed
    }

    /// Time passes; `rank` as [`Event::Tick`] has it.
    pub fn tick(&mut self, now: MonotonicTime, rank: Option<u64>) -> Option<Command> {
        self.detector.tick(now);
        let suspected = self.followed.is_some() && self.detector.suspects(now);
        self.step(now, Event::Tick { suspected, rank })
    }

    /// Takes an event to the takeover's state machine and logs where that leads.
    pub fn step(&mut self, now: MonotonicTime, event: Event) -> Option<Command> {
        let before = self.machine.phase();
        let command = self.machine.step(now, event);
        let after = self.machine.phase();
        if before != after {
            let term = self.machine.term();
            let back = self.machine.last_back().filter(|_| after == Phase::Following);
            match back {
                Some(reason) => info!(%term, from = %before, %reason, "standby: following again"),
                None => info!(%term, from = %before, to = %after, "standby"),
            }
        }
        command
    }

    /// Milliseconds since the leader of that term was heard; `None` if this controller does not follow it.
    pub fn leader_silence_ms(&self, now: MonotonicTime, term: Term) -> Option<u64> {
        self.followed.filter(|f| f.term == term)?;
        self.detector.silence_ms(now)
    }

    /// This process leads that term from now on. The old leader's decisions are compared before that.
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
            self.step(now, Event::Verified);
            let taken = self.machine.last_failover().map(FailoverStatus::from);
            info!(%term, ?taken, ?counts, "standby: took over");
        }
    }

    /// Whether the leader's decisions are to be recorded now.
    pub fn is_record_due(&self, now: MonotonicTime) -> bool {
        self.log.is_some() && self.last_record.is_none_or(|at| now.since(at) >= RECORD_PERIOD_MS)
    }

    /// As the leader, records what the decisions add up to.
    pub fn record(&mut self, now: ClockReading, target: &DecisionTarget) {
        if let Some(log) = &mut self.log {
            self.last_record = Some(now.steady);
            log.record(now.wall, target);
        }
    }

    /// As the leader, what a standby gets in the answer to its summary.
    pub fn batch_for(&mut self, term: Term, request: &FollowRequest) -> Option<Batch> {
        self.log.as_mut().filter(|log| log.term() == term)?.batch_for(request)
    }

    /// An action as the leader was given up, as this process leads no longer.
    pub fn record_refused_action(&mut self) {
        self.refused_actions += 1;
    }

    /// Actions that were given up.
    pub fn refused_actions(&self) -> u64 {
        self.refused_actions
    }

    /// The outcome of taking the next term.
    pub fn on_fence_outcome(&mut self, now: MonotonicTime, outcome: FenceOutcome) {
        self.step(now, Event::FenceAnswered(outcome));
    }

    /// Whether the last takeover was that of this term and had that cause.
    pub fn failed_over_by(&self, cause: Cause, term: Term) -> bool {
        self.machine.last_failover().is_some_and(|t| t.term == term && t.cause == cause)
    }

    /// What the last takeover found of the mirrored records.
    pub fn verification(&self) -> VerificationCounts {
        self.verification
    }

    /// What operators are shown; `names` are those of all controllers.
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
        let leader = if leads { Some(me) } else { self.followed.map(|f| f.node) };
        let silence = self.detector.silence_ms(now).filter(|_| !leads && self.followed.is_some());
        let state = self.log.as_ref().map_or(self.mirror.state(), DecisionLog::state);
        let counts = self.mirror.counts();
        Status {
            controller,
            role,
            phase: self.machine.phase().to_string(),
            term: self.log.as_ref().map_or(self.machine.term(), DecisionLog::term).0,
            leader: leader.map(name),
            leader_silent_ms: silence,
            phi: if leads { 0.0 } else { self.detector.phi(now).min(999.0) },
            lag_records: if leads { 0 } else { self.mirror.lag_records() },
            lag_s: if leads { 0.0 } else { self.mirror.lag_ms(wall) as f64 / 1_000.0 },
            entries: state.len(),
            divergences: counts.divergences,
            malformed: counts.malformed,
            last_back: self.machine.last_back().map(|reason| reason.to_string()),
            last_failover: self.machine.last_failover().map(FailoverStatus::from),
            verification: self.verification,
            refused_actions: self.refused_actions,
        }
    }
}
