//! Follows a change of leader through its phases, by what the stand-ins see.

use willowshore::model::{JobId, Term};
use willowshore::wire::{HeartbeatResponse, Priority, WorkerCommand};

/// Part of the machines that may be left when the fleet counts as settled: some are always booting or hanging.
const UNSETTLED_PART: usize = 50;

/// When the phases of a change of leader were over, in milliseconds since the failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Phases {
    /// A controller noticed that the leader is gone.
    pub noticed: Option<u64>,
    /// The next term was on record.
    pub won: Option<u64>,
    /// The next leader's replica showed it.
    pub current: Option<u64>,
    /// All but a few machines had shown the next token.
    pub reconciled: Option<u64>,
    /// The first epoch held.
    pub first_epoch: Option<u64>,
    /// The first start of the term reached a worker.
    pub first_start: Option<u64>,
    /// The first start of urgent work did.
    pub first_urgent_start: Option<u64>,
}

/// Phases by name, in their order.
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
            self.won,
            self.current,
            self.reconciled,
            self.first_epoch,
            self.first_start,
            self.first_urgent_start,
        ]
    }
}

/// What is seen of the controllers at one moment.
pub struct Observed {
    /// The highest term on record.
    pub stored_term: u64,
    /// The leader's term, machines, machines that have not settled, and whether an epoch of it held.
    pub leader: Option<(u64, usize, usize, bool)>,
}

/// Follows one change of leader.
#[derive(Clone, Copy, Debug)]
pub struct FailoverTrace {
    began: u64,
    old_term: u64,
    /// What was seen so far.
    pub phases: Phases,
}

impl FailoverTrace {
    /// The leader of that term fails now.
    pub fn new(now: u64, old_term: u64) -> Self {
        FailoverTrace { began: now, old_term, phases: Phases::default() }
    }

    /// A controller stands for the next term.
    pub fn record_candidacy(&mut self, now: u64) {
        let since = now - self.began;
        self.phases.noticed.get_or_insert(since);
    }

    /// Takes what is seen now.
    pub fn observe(&mut self, now: u64, seen: &Observed) {
        let since = now - self.began;
        let phases = &mut self.phases;
        if seen.stored_term <= self.old_term {
            return;
        }
        phases.won.get_or_insert(since);
        let Some((term, machines, unreconciled, published)) = seen.leader else { return };
        if term <= self.old_term {
            return;
        }
        phases.current.get_or_insert(since);
        if published {
            phases.first_epoch.get_or_insert(since);
        }
        // Owners are only known once an epoch has given them out.
        if published && unreconciled <= machines / UNSETTLED_PART {
            phases.reconciled.get_or_insert(since);
        }
    }

    /// An answer reached a worker.
    pub fn record_worker_response(
        &mut self,
        now: u64,
        reply: &HeartbeatResponse,
        priority: impl Fn(JobId) -> Option<Priority>,
    ) {
        if reply.token <= Term(self.old_term) {
            return;
        }
        let since = now - self.began;
        for order in &reply.commands {
            if let WorkerCommand::Start { task, .. } = order {
                self.phases.first_start.get_or_insert(since);
                if priority(task.job).is_some_and(|u| u <= Priority::High) {
                    self.phases.first_urgent_start.get_or_insert(since);
                }
            }
        }
    }
}
