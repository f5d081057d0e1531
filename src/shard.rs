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
use plan_following::ToldProgress;
use term_state::TermState;

/// Most machines of which the newest report is remembered.
const LATEST_KEPT: usize = 8_192;

/// The part.
///
/// What it follows on a leader's word is one value, void in the next term. All other fields are what this
/// process has seen and done itself.
#[derive(Debug)]
pub struct Shard {
    me: NodeId,
    incarnation: Incarnation,
    term_state: TermState,
    told_progress: ToldProgress,
    machines: BTreeMap<MachineId, Machine>,
    /// Newest report seen of any machine, against late copies.
    latest: HashMap<MachineId, NewestHeartbeat>,
    /// Machines of which an old report came: when they were asked, and whom to ask still.
    doubted: HashMap<MachineId, MonotonicTime>,
    doubts: Vec<(MachineId, AgentEpoch)>,
    /// Machines that are to be told straight away to end tasks: of gangs that are being stopped, or
    /// of jobs that were cancelled.
    stopping: BTreeSet<MachineId>,
    /// Machines that were restarted and count from the start again.
    restarted: BTreeSet<MachineId>,
    answered: BTreeMap<MachineId, MonotonicTime>,
    released_workers: HashMap<MachineId, MonotonicTime>,
    faults: HashMap<JobId, JobFaults>,
    /// Tasks that completed and whose outcome is not known to be durable yet.
    pub completed_tasks: BTreeMap<JobId, CompletedTasks>,
    number: u64,
    /// Summaries sent lately, with when they were made.
    sent: VecDeque<(u64, MonotonicTime)>,
    /// When any worker last reported here.
    heard: MonotonicTime,
    /// Starts that were refused as another term had granted them.
    refused_starts: u64,
    /// Set when something happened that the leader should hear of soon.
    pub news: bool,
}

impl Shard {
    /// A part without machines.
    pub fn new(me: NodeId, incarnation: Incarnation) -> Self {
        Shard {
            me,
            incarnation,
            term_state: TermState::begin(Term(0), me),
            told_progress: ToldProgress::default(),
            machines: BTreeMap::new(),
            latest: HashMap::new(),
            doubted: HashMap::new(),
            doubts: Vec::new(),
            stopping: BTreeSet::new(),
            restarted: BTreeSet::new(),
            answered: BTreeMap::new(),
            released_workers: HashMap::new(),
            faults: HashMap::new(),
            completed_tasks: BTreeMap::new(),
            number: 0,
            sent: VecDeque::new(),
            heard: MonotonicTime(0),
            refused_starts: 0,
            news: false,
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
        self.news = true;
        true
    }

    /// Sends all it knows with the next summary.
    pub fn send_whole(&mut self) {
        self.term_state.acknowledged = None;
        self.news = true;
    }
}

#[cfg(test)]
mod tests;
