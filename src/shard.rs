//! A controller's shard of the machines: heartbeats come in, commands go out.
//!
//! [`Shard`] decides on every heartbeat whether it gets a response, a redirect or a refusal, and which commands the
//! response carries. It does no input or output of its own. Its invariants:
//!
//! - Within a term a machine has one owner, and a task is granted to one shard.
//! - `start` goes only in the response to a heartbeat of a machine of this shard. A worker has one heartbeat in flight,
//!   so its next one either shows the task or proves that the response was lost.
//! - Every start names the term and the plan that granted it; a start of another term is refused.
//! - What is followed on a leader's word, and all that is derived from it, is one value per term
//!   (`TermState`), replaced as a whole when a term begins. All other fields are observations or actions
//!   of this process.
//! - What is known of a machine comes from its newest heartbeat. A machine that has not shown the term's fencing token
//!   is not reconciled: it proves nothing about its tasks, and nothing starts on it.
//!
//! Why these suffice: `docs/safety.md`, "Who may answer workers", "What a new term voids" and "Who may start".

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
mod plan_following;
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
use plan_following::LeaderProgress;
use term_state::{SentSummary, TermState};

/// How many machines' newest heartbeats are remembered before those of machines without an owner are forgotten; above
/// the size of the largest fleet that the simulation plays (4,000).
const NEWEST_HEARTBEATS_MAX: usize = 8_192;

/// The machines of one controller, as this process observes them, and what the term's leader has them do.
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
    /// Newest heartbeat of any machine, to tell late copies from new ones.
    newest_heartbeats: HashMap<MachineId, NewestHeartbeat>,
    /// When a machine of which an old heartbeat came was last due to be asked whether it was restarted.
    restart_checked_at: HashMap<MachineId, MonotonicTime>,
    /// Machines that are still to be asked that; the last one first.
    restart_checks_due: Vec<RestartCheck>,
    /// Machines that get kills without waiting for their heartbeats. What is killed is decided when the message goes out.
    kills_due: BTreeSet<MachineId>,
    /// Machines that were restarted, so that their agent epochs and sequences begin again.
    restarted: BTreeSet<MachineId>,
    /// When a machine last got a response that renews its worker's lease.
    responded_at: BTreeMap<MachineId, MonotonicTime>,
    /// When this node, while isolated, redirected a machine of its own.
    sent_away_at: HashMap<MachineId, MonotonicTime>,
    job_faults: HashMap<JobId, JobFaults>,
    /// Tasks that completed and whose outcome is not known to be durable yet.
    pub completed_tasks: BTreeMap<JobId, CompletedTasks>,
    /// Sequence number of the last summary, counted through all terms.
    last_summary_seq: u64,
    sent_summaries: VecDeque<SentSummary>,
    /// When any worker last sent a heartbeat to this node.
    last_heartbeat: MonotonicTime,
    refused_starts: u64,
    /// Whether the leader should get a summary soon. The shard sets it, and whoever sends the summary resets it.
    pub summary_due: bool,
}

impl Shard {
    /// A shard without machines, in no term yet.
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
            last_summary_seq: 0,
            sent_summaries: VecDeque::new(),
            last_heartbeat: MonotonicTime(0),
            refused_starts: 0,
            summary_due: false,
        }
    }

    /// The term that this shard follows; 0 before the first.
    pub fn term(&self) -> Term {
        self.term_state.term
    }

    /// How many starts were refused as another term had granted them. Each one is a defect.
    pub fn refused_starts(&self) -> u64 {
        self.refused_starts
    }

    /// Begins a term and voids what was followed in earlier ones; false if the term is not a later one. Machines and
    /// what is known of their tasks stay, but none is reconciled until its heartbeat shows the new token.
    pub fn begin_term(&mut self, term: Term) -> bool {
        if term <= self.term_state.term {
            return false;
        }
        self.term_state = TermState::begin(term, self.me);
        self.summary_due = true;
        true
    }

    /// Has the next summary carry all machines, as the leader asked for.
    pub fn request_full_summary(&mut self) {
        self.term_state.acknowledged_summary = None;
        self.summary_due = true;
    }
}

#[cfg(test)]
mod tests;
