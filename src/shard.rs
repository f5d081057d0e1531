//! Handles the heartbeats of the machines that one controller owns, and issues their commands.
//!
//! For each heartbeat, [`Shard`] decides between a response, a redirect and a refusal, and selects the
//! commands of the response. It performs no I/O. Its invariants:
//!
//! - Within a term a machine has one owner, and a task is granted to one shard.
//! - A `start` command is sent only in the response to a heartbeat of a machine that this shard owns. A
//!   worker has one heartbeat in flight, so its next heartbeat either shows the task or proves that the
//!   response was lost.
//! - Every start carries the term and the sequence number of the plan that granted it. A start granted in
//!   another term is refused.
//! - The leader's instructions and everything derived from them are one value per term (`TermState`), which
//!   is replaced as a whole when a term begins. All other fields are observations or actions of this process.
//! - The state of a machine is what its newest heartbeat reports. A machine that has not shown the term's
//!   fencing token is not reconciled: its heartbeats prove nothing about its tasks, and nothing starts on it.
//!
//! `docs/safety.md` explains why these invariants suffice, under "Who may answer workers", "What a new term
//! voids" and "Who may start".

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::model::{Incarnation, JobId, MachineId, MonotonicTime, NodeId, Term};

mod active_plan;
mod assignment;
mod completions;
mod context;
mod direct_commands;
mod foreign_heartbeat;
mod granted_start;
mod heartbeat;
mod job_faults;
mod kills;
mod machine;
mod messages;
mod plan_application;
mod redirect;
mod summary;
mod task_start;
mod term_announcement;
mod term_state;
mod unconfirmed_token;

pub use completions::CompletedTasks;
pub use context::ShardContext;
pub use messages::{DirectMessage, HeartbeatOrder, HeartbeatOutcome};

use direct_commands::RestartCheck;
use heartbeat::NewestHeartbeat;
use job_faults::JobFaults;
use machine::Machine;
use plan_application::JobProgress;
use term_state::{SentSummary, TermState};

/// Number of machines at which the newest heartbeats of machines without an owner are discarded. Exceeds the
/// largest simulated fleet, which has 4,000 machines.
const NEWEST_HEARTBEATS_MAX: usize = 8_192;

/// The machines of one controller, as this process observes them, and the instructions of the term's leader.
///
/// The leader's instructions are one value, which is discarded when the next term begins. All other fields
/// hold observations and actions of this process.
#[derive(Debug)]
pub struct Shard {
    node_id: NodeId,
    incarnation: Incarnation,
    term_state: TermState,
    job_progress: JobProgress,
    machines: BTreeMap<MachineId, Machine>,
    /// Newest heartbeat of each machine, whoever owns it, to detect stale heartbeats.
    newest_heartbeats: HashMap<MachineId, NewestHeartbeat>,
    /// Time at which a restart check was last queued, by machine.
    restart_checked_at: HashMap<MachineId, MonotonicTime>,
    /// Restart checks to send, the last one first.
    restart_checks_due: Vec<RestartCheck>,
    /// Machines to send kills to without waiting for their heartbeats. The tasks to kill are selected when
    /// the message is made.
    kills_due: BTreeSet<MachineId>,
    /// Machines found to have been restarted: their agent epochs and sequence numbers begin again.
    restarted: BTreeSet<MachineId>,
    /// Time of the last response that renewed the lease of the machine's worker.
    responded_at: BTreeMap<MachineId, MonotonicTime>,
    /// Time at which this controller, while isolated, last redirected each of its own machines.
    isolation_redirected_at: HashMap<MachineId, MonotonicTime>,
    job_faults: HashMap<JobId, JobFaults>,
    /// Completed tasks whose outcome is not known to be durable yet.
    pub completed_tasks: BTreeMap<JobId, CompletedTasks>,
    /// Sequence number of the last summary. It is not reset when a term begins.
    last_summary_seq: u64,
    sent_summaries: VecDeque<SentSummary>,
    /// Time at which this controller last received a heartbeat from any worker.
    last_heartbeat_at: MonotonicTime,
    refused_starts: u64,
    /// Whether a summary should be sent to the leader soon. Set by the shard, reset by the sender of the
    /// summary.
    pub summary_due: bool,
}

impl Shard {
    /// Creates a shard that has no machines and has not entered a term.
    pub fn new(node_id: NodeId, incarnation: Incarnation) -> Self {
        Shard {
            node_id,
            incarnation,
            term_state: TermState::begin(Term(0), node_id),
            job_progress: JobProgress::default(),
            machines: BTreeMap::new(),
            newest_heartbeats: HashMap::new(),
            restart_checked_at: HashMap::new(),
            restart_checks_due: Vec::new(),
            kills_due: BTreeSet::new(),
            restarted: BTreeSet::new(),
            responded_at: BTreeMap::new(),
            isolation_redirected_at: HashMap::new(),
            job_faults: HashMap::new(),
            completed_tasks: BTreeMap::new(),
            last_summary_seq: 0,
            sent_summaries: VecDeque::new(),
            last_heartbeat_at: MonotonicTime(0),
            refused_starts: 0,
            summary_due: false,
        }
    }

    /// The term whose leader this shard follows; 0 before the first.
    pub fn term(&self) -> Term {
        self.term_state.term
    }

    /// Number of starts refused because they were granted in another term. Each one indicates a defect.
    pub fn refused_starts(&self) -> u64 {
        self.refused_starts
    }

    /// Begins a term and discards the instructions of earlier terms. Returns false if `term` is not later
    /// than the present one. Machines and their observed tasks are kept, but no machine is reconciled until a
    /// heartbeat shows the new term's token.
    pub fn begin_term(&mut self, term: Term) -> bool {
        if term <= self.term_state.term {
            return false;
        }
        self.term_state = TermState::begin(term, self.node_id);
        self.summary_due = true;
        true
    }

    /// Makes the next summary list all machines, at the request of the leader.
    pub fn request_full_summary(&mut self) {
        self.term_state.acknowledged_summary = None;
        self.summary_due = true;
    }
}

#[cfg(test)]
mod tests;
