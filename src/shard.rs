//! A controller's part of the machines: reports in, orders out.
//!
//! Within a term a machine has one owner and a task is granted to one part. `start` goes
//! only in the response to a report, so the next report either shows the task or proves that
//! the response was lost. Everything a part knows about a machine comes from its newest report.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::model::{AgentEpoch, Incarnation, JobId, MachineId, MonotonicTime, NodeId, Term};

mod active_plan;
mod completions;
mod context;
mod direct_commands;
mod granted_start;
mod heartbeat;
mod job_faults;
mod kills;
mod machine;
mod messages;
mod plan_following;
mod redirect;
mod summary;
mod task_start;
mod term_state;

pub use completions::CompletedTasks;
pub use context::ShardContext;
pub use messages::{DirectMessage, HeartbeatOutcome};

use heartbeat::NewestHeartbeat;
use job_faults::JobFaults;
use machine::Machine;
use plan_following::LeaderProgress;
use term_state::TermState;

/// Most machines of which the newest report is remembered.
const NEWEST_HEARTBEATS_MAX: usize = 8_192;

/// The part.
///
/// What it follows on a leader's word is one value, void in the next term. All other fields are what this
/// process has seen and done itself.
#[derive(Debug)]
pub struct Shard {
    me: NodeId,
    incarnation: Incarnation,
    term_state: TermState,
    leader_progress: LeaderProgress,
    machines: BTreeMap<MachineId, Machine>,
    /// Newest report seen of any machine, against late copies.
    newest_heartbeats: HashMap<MachineId, NewestHeartbeat>,
    /// Machines of which an old report came: when they were asked, and whom to ask still.
    restart_checked_at: HashMap<MachineId, MonotonicTime>,
    restart_checks_due: Vec<(MachineId, AgentEpoch)>,
    /// Machines that are to be told straight away to end tasks: of gangs that are being stopped, or
    /// of jobs that were cancelled.
    kills_due: BTreeSet<MachineId>,
    /// Machines that were restarted and count from the start again.
    restarted: BTreeSet<MachineId>,
    responded_at: BTreeMap<MachineId, MonotonicTime>,
    sent_away_at: HashMap<MachineId, MonotonicTime>,
    job_faults: HashMap<JobId, JobFaults>,
    /// Tasks that completed and whose outcome is not known to be durable yet.
    pub completed_tasks: BTreeMap<JobId, CompletedTasks>,
    summary_number: u64,
    /// Summaries sent lately, with when they were made.
    sent_summaries: VecDeque<(u64, MonotonicTime)>,
    /// When any worker last reported here.
    last_heartbeat: MonotonicTime,
    /// Starts that were refused as another term had granted them.
    refused_starts: u64,
    /// Set when something happened that the leader should hear of soon.
    pub summary_due: bool,
}

impl Shard {
    /// A part without machines.
    pub fn new(me: NodeId, incarnation: Incarnation) -> Self {
        Shard {
            me,
            incarnation,
            term_state: TermState::begin(Term(0), me),
            leader_progress: LeaderProgress::default(),
            machines: BTreeMap::new(),
            newest_heartbeats: HashMap::new(),
            restart_checked_at: HashMap::new(),
            restart_checks_due: Vec::new(),
            kills_due: BTreeSet::new(),
            restarted: BTreeSet::new(),
            responded_at: BTreeMap::new(),
            sent_away_at: HashMap::new(),
            job_faults: HashMap::new(),
            completed_tasks: BTreeMap::new(),
            summary_number: 0,
            sent_summaries: VecDeque::new(),
            last_heartbeat: MonotonicTime(0),
            refused_starts: 0,
            summary_due: false,
        }
    }

    /// The term that this part follows.
    pub fn term(&self) -> Term {
        self.term_state.term
    }

    /// How many starts were refused as another term had granted them. Each one is a defect.
    pub fn refused_starts(&self) -> u64 {
        self.refused_starts
    }

    /// Begins a term, unless it is not a later one: whatever the part followed in earlier ones is void. Machines and
    /// what is known of their tasks stay, but none counts as settled until it reports with the new token.
    pub fn begin_term(&mut self, term: Term) -> bool {
        if term <= self.term_state.term {
            return false;
        }
        self.term_state = TermState::begin(term, self.me);
        self.summary_due = true;
        true
    }

    /// Sends all it knows with the next summary.
    pub fn request_full_summary(&mut self) {
        self.term_state.acknowledged_summary = None;
        self.summary_due = true;
    }
}

#[cfg(test)]
mod tests;
