//! What a shard follows on the word of one term's leader.
//!
//! All of it is one value that is replaced as a whole when a term begins. A field added here is therefore void in the
//! next term; what has to survive a term is a field of [`Shard`](super::Shard) and an observation of its own
//! (`docs/safety.md`, "What a new term voids").

use std::collections::{BTreeMap, HashMap, HashSet};

use super::active_plan::ActivePlan;
use super::granted_start::{GrantedStart, MachineKind};
use super::redirect::{ForeignMachineRecord, Redirected};
use super::term_announcement::TermAnnouncement;
use super::unconfirmed_token::UnconfirmedToken;
use crate::attempts::AttemptAllocator;
use crate::model::{Attempt, MachineId, MonotonicTime, NodeId, PlanSeq, TaskId, Term};
use crate::wire::Priority;

/// A summary that was sent. The derived order is that of their sequence numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SentSummary {
    /// 0 stands for none.
    pub(super) seq: u64,
    /// When it was made.
    pub(super) at: MonotonicTime,
}

/// All that a shard does on the word of one term's leader, what it derives from that, and how machines took this
/// term's token.
#[derive(Debug)]
pub(super) struct TermState {
    /// The term.
    pub(super) term: Term,
    /// Gives out this term's attempts.
    pub(super) attempts: AttemptAllocator,
    /// The newest plan.
    pub(super) plan: ActivePlan,
    /// The leader's clock as that plan or a later response gave it.
    pub(super) leader_clock_ms: u64,
    /// Owners of machines; empty before the first plan.
    pub(super) owners: BTreeMap<MachineId, NodeId>,
    /// Attempts of gangs that a worker has shown in this term: they are never started again.
    pub(super) shown_gang_attempts: HashSet<(TaskId, Attempt)>,
    /// What is to start on a machine in the response to its next heartbeat.
    pub(super) start_queues: BTreeMap<MachineId, Vec<GrantedStart>>,
    /// What is granted ahead of a release and was assigned no machine: any may get it as soon as it has room, the first
    /// ones first.
    pub(super) starts_awaiting_release: Vec<GrantedStart>,
    /// The most urgent open work that may use machines of a kind; `None` if there is none.
    pub(super) highest_priority: BTreeMap<MachineKind, Option<Priority>>,
    /// Whether granted tasks have to be assigned anew, whenever that was last done.
    pub(super) assignment_stale: bool,
    /// When granted tasks were last assigned to machines.
    pub(super) assigned_at: MonotonicTime,
    /// Whether granted tasks found no machine.
    pub(super) has_unplaced: bool,
    /// The last summary that the leader is known to have applied.
    pub(super) acknowledged_summary: Option<SentSummary>,
    /// Machines that got this term's token in direct messages.
    pub(super) announcements: HashMap<MachineId, TermAnnouncement>,
    /// Whether there may be machines that are still to get it so.
    pub(super) announcements_pending: bool,
    /// Machines that have not shown this term's token.
    pub(super) unconfirmed_tokens: HashMap<MachineId, UnconfirmedToken>,
    /// Machines that were redirected to their owners.
    pub(super) redirects: HashMap<MachineId, Redirected>,
    /// Machines of other shards that send heartbeats here.
    pub(super) foreign_machines: BTreeMap<MachineId, ForeignMachineRecord>,
}

impl TermState {
    /// The beginning of a term: nothing is granted and nobody is known to own a machine.
    pub(super) fn begin(term: Term, me: NodeId) -> Self {
        TermState {
            term,
            attempts: AttemptAllocator::new(term, me),
            plan: ActivePlan::none(term),
            leader_clock_ms: 0,
            owners: BTreeMap::new(),
            shown_gang_attempts: HashSet::new(),
            start_queues: BTreeMap::new(),
            starts_awaiting_release: Vec::new(),
            highest_priority: BTreeMap::new(),
            assignment_stale: false,
            assigned_at: MonotonicTime(0),
            has_unplaced: false,
            acknowledged_summary: None,
            announcements: HashMap::new(),
            announcements_pending: false,
            unconfirmed_tokens: HashMap::new(),
            redirects: HashMap::new(),
            foreign_machines: BTreeMap::new(),
        }
    }

    /// Whether a plan of this term is followed.
    pub(super) fn has_plan(&self) -> bool {
        self.plan.seq > PlanSeq(0)
    }

    /// The owner of a machine, as the newest plan says.
    pub(super) fn owner(&self, machine: &MachineId) -> Option<NodeId> {
        self.owners.get(machine).copied()
    }
}
