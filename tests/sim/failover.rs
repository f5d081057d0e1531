//! Traces a failover through its phases, by what the simulated store, controllers and workers see.

use willowshore::model::{JobId, Term};
use willowshore::wire::{HeartbeatResponse, Priority, WorkerCommand};

/// One machine in so many may be unreconciled when the fleet counts as reconciled: some are always booting or hanging.
const UNRECONCILED_SHARE: usize = 50;

/// When the phases of a failover were over, in milliseconds since the failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Phases {
    /// A controller ran for the next term.
    pub noticed: Option<u64>,
    /// The store had the next term.
    pub term_won: Option<u64>,
    /// The next leader's replica showed it.
    pub replica_current: Option<u64>,
    /// All but a few machines had shown the next fencing token.
    pub reconciled: Option<u64>,
    /// The first epoch was published.
    pub first_epoch: Option<u64>,
    /// The first start command of the term reached a worker.
    pub first_start: Option<u64>,
    /// The first one of a task of high priority did.
    pub first_urgent_start: Option<u64>,
}

/// Names of the phases for reports, in the order of [`Phases::times`].
pub const PHASES: [&str; 7] = [
    "noticed",
    "term won",
    "replica current",
    "machines settled",
    "first epoch",
    "first start",
    "first urgent start",
];

impl Phases {
    /// The times in the order of [`PHASES`].
    pub fn times(&self) -> [Option<u64>; 7] {
        [
            self.noticed,
            self.term_won,
            self.replica_current,
            self.reconciled,
            self.first_epoch,
            self.first_start,
            self.first_urgent_start,
        ]
    }
}

/// A leader at one moment.
pub struct ObservedLeader {
    /// Its term.
    pub term: u64,
    /// Machines that it knows.
    pub machines: usize,
    /// Those of them that it has not reconciled.
    pub unreconciled: usize,
    /// Whether it has published an epoch.
    pub published: bool,
}

/// The store and the leader at one moment.
pub struct Observed {
    /// The highest term in the store.
    pub stored_term: u64,
    /// The leader, if there is one.
    pub leader: Option<ObservedLeader>,
}

/// Traces one failover.
#[derive(Clone, Copy, Debug)]
pub struct FailoverTrace {
    /// When the leader failed, in simulated milliseconds.
    failed_at: u64,
    /// The failed leader's term.
    old_term: u64,
    /// The phases that are over.
    pub phases: Phases,
}

impl FailoverTrace {
    /// The leader of term `old_term` fails now.
    pub fn new(now: u64, old_term: u64) -> Self {
        FailoverTrace { failed_at: now, old_term, phases: Phases::default() }
    }

    /// A controller runs for the next term.
    pub fn record_candidacy(&mut self, now: u64) {
        let since = now - self.failed_at;
        self.phases.noticed.get_or_insert(since);
    }

    /// Records the phases that are over by now.
    pub fn observe(&mut self, now: u64, observed: &Observed) {
        let since = now - self.failed_at;
        let phases = &mut self.phases;
        if observed.stored_term <= self.old_term {
            return;
        }
        phases.term_won.get_or_insert(since);
        let Some(leader) = &observed.leader else { return };
        if leader.term <= self.old_term {
            return;
        }
        phases.replica_current.get_or_insert(since);
        if leader.published {
            phases.first_epoch.get_or_insert(since);
        }
        // Machines have owners only once an epoch was published.
        if leader.published && leader.unreconciled <= leader.machines / UNRECONCILED_SHARE {
            phases.reconciled.get_or_insert(since);
        }
    }

    /// A response reached a worker.
    pub fn record_worker_response(
        &mut self,
        now: u64,
        response: &HeartbeatResponse,
        priority: impl Fn(JobId) -> Option<Priority>,
    ) {
        if response.token <= Term(self.old_term) {
            return;
        }
        let since = now - self.failed_at;
        for command in &response.commands {
            if let WorkerCommand::Start { task, .. } = command {
                self.phases.first_start.get_or_insert(since);
                if priority(task.job).is_some_and(|priority| priority <= Priority::High) {
                    self.phases.first_urgent_start.get_or_insert(since);
                }
            }
        }
    }
}
