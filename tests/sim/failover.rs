//! Records when each phase of a failover ends, from observations of the simulated store, controllers and workers.

use willowshore::model::{JobId, Term};
use willowshore::wire::{HeartbeatResponse, Priority, WorkerCommand};

/// The fleet counts as reconciled if at most one machine in this number is unreconciled: some machines are always
/// booting or hung.
const MACHINES_PER_UNRECONCILED: usize = 50;

/// When the phases of a failover ended, in milliseconds since the failure; `None` for a phase that has not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Phases {
    /// A controller became a candidate for the next term.
    pub noticed: Option<u64>,
    /// The store recorded the next term.
    pub term_won: Option<u64>,
    /// The new leader's replica contained the next term.
    pub replica_current: Option<u64>,
    /// At most one machine in [`MACHINES_PER_UNRECONCILED`] had not yet reported the new fencing token.
    pub reconciled: Option<u64>,
    /// The new leader published its first epoch.
    pub first_epoch: Option<u64>,
    /// The first start command of the new term reached a worker.
    pub first_start: Option<u64>,
    /// The first start command of the new term for a task of high or critical priority reached a worker.
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

/// A leader's state at an observation.
pub struct ObservedLeader {
    pub term: u64,
    /// Number of machines that it knows.
    pub machines: usize,
    /// Number of known machines that it has not reconciled.
    pub unreconciled: usize,
    /// Whether it has published an epoch.
    pub published: bool,
}

/// The state of the store and the leader at an observation.
pub struct Observed {
    /// The highest term in the store.
    pub stored_term: u64,
    pub leader: Option<ObservedLeader>,
}

/// The record of one failover.
#[derive(Clone, Copy, Debug)]
pub struct FailoverTrace {
    /// When the leader failed, in simulated milliseconds.
    failed_at: u64,
    /// The failed leader's term.
    old_term: u64,
    /// The ends of the phases so far.
    pub phases: Phases,
}

impl FailoverTrace {
    /// Begins the record of a failover: the leader of term `old_term` fails now.
    pub fn new(now: u64, old_term: u64) -> Self {
        FailoverTrace { failed_at: now, old_term, phases: Phases::default() }
    }

    /// Records that a controller is a candidate for the next term.
    pub fn record_candidacy(&mut self, now: u64) {
        let since = now - self.failed_at;
        self.phases.noticed.get_or_insert(since);
    }

    /// Records the phases that the observation shows to have ended.
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
        // Only an epoch assigns owners to machines, so that the count of unreconciled machines means nothing earlier.
        if leader.published && leader.unreconciled <= leader.machines / MACHINES_PER_UNRECONCILED {
            phases.reconciled.get_or_insert(since);
        }
    }

    /// Records the first start commands in a heartbeat response or direct command that reached a worker. `priority`
    /// gives the priority of a job, if the job is known.
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
