//! The instructions of one term's leader, as followed by a shard.
//!
//! They are one value that is replaced as a whole when a term begins, so every field added here is discarded
//! by the next term. State that has to survive a term is a field of [`Shard`](super::Shard) and has to be an
//! observation of this process (`docs/safety.md`, "What a new term voids").

use std::collections::{BTreeMap, HashMap, HashSet};

use super::active_plan::ActivePlan;
use super::granted_start::{GrantedStart, MachineKind};
use super::redirect::{ForeignMachineRecord, RedirectState};
use super::term_announcement::TermAnnouncement;
use super::unconfirmed_token::UnconfirmedToken;
use crate::attempts::AttemptAllocator;
use crate::model::{Attempt, MachineId, MonotonicTime, NodeId, PlanSeq, TaskId, Term};
use crate::wire::Priority;

/// A summary that was sent. The derived order is by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SentSummary {
    /// Sequence number; 0 if no summary was sent.
    pub(super) seq: u64,
    /// Time at which the summary was made.
    pub(super) at: MonotonicTime,
}

/// The instructions of one term's leader, the state derived from them, and how far machines have shown this
/// term's token.
#[derive(Debug)]
pub(super) struct TermState {
    pub(super) term: Term,
    /// Allocates this term's attempts.
    pub(super) attempts: AttemptAllocator,
    /// The newest applied plan.
    pub(super) plan: ActivePlan,
    /// Reading of the leader's clock in the newest plan or in a later response.
    pub(super) leader_clock_ms: u64,
    /// Owners of machines; empty before the first plan.
    pub(super) owners: BTreeMap<MachineId, NodeId>,
    /// Gang attempts that a worker has shown in this term, which are never started again.
    pub(super) shown_gang_attempts: HashSet<(TaskId, Attempt)>,
    /// Starts to send to each machine in the response to its next heartbeat.
    pub(super) start_queues: BTreeMap<MachineId, Vec<GrantedStart>>,
    /// Starts granted ahead of a release and not assigned to a machine. Any machine that gets free capacity
    /// may take them, in this order.
    pub(super) starts_awaiting_release: Vec<GrantedStart>,
    /// Highest priority of the unfinished jobs that may use machines of a kind; `None` if there are none.
    pub(super) highest_priority: BTreeMap<MachineKind, Option<Priority>>,
    /// Whether granted tasks have to be assigned again, however recent the last assignment is.
    pub(super) assignment_stale: bool,
    /// Time of the last assignment of granted tasks to machines.
    pub(super) assigned_at: MonotonicTime,
    /// Whether the last assignment left granted tasks unplaced, or a start failed since.
    pub(super) has_unplaced_tasks: bool,
    /// The newest summary that the leader is known to have applied.
    pub(super) acknowledged_summary: Option<SentSummary>,
    /// Machines to which this term's token was sent in direct messages.
    pub(super) announcements: HashMap<MachineId, TermAnnouncement>,
    /// Whether there may be machines to which the term still has to be announced.
    pub(super) announcements_pending: bool,
    /// Machines that have not shown this term's token.
    pub(super) unconfirmed_tokens: HashMap<MachineId, UnconfirmedToken>,
    /// Machines that were redirected to their owners.
    pub(super) redirects: HashMap<MachineId, RedirectState>,
    /// Machines of other shards that send heartbeats here.
    pub(super) foreign_machines: BTreeMap<MachineId, ForeignMachineRecord>,
}

impl TermState {
    /// The state at the beginning of a term: nothing is granted, and no owner of a machine is known.
    pub(super) fn begin(term: Term, node_id: NodeId) -> Self {
        TermState {
            term,
            attempts: AttemptAllocator::new(term, node_id),
            plan: ActivePlan::empty(term),
            leader_clock_ms: 0,
            owners: BTreeMap::new(),
            shown_gang_attempts: HashSet::new(),
            start_queues: BTreeMap::new(),
            starts_awaiting_release: Vec::new(),
            highest_priority: BTreeMap::new(),
            assignment_stale: false,
            assigned_at: MonotonicTime(0),
            has_unplaced_tasks: false,
            acknowledged_summary: None,
            announcements: HashMap::new(),
            announcements_pending: false,
            unconfirmed_tokens: HashMap::new(),
            redirects: HashMap::new(),
            foreign_machines: BTreeMap::new(),
        }
    }

    /// Whether a plan of this term has been applied.
    pub(super) fn has_plan(&self) -> bool {
        self.plan.seq > PlanSeq(0)
    }

    /// Returns the owner of a machine in the newest plan.
    pub(super) fn owner(&self, machine: &MachineId) -> Option<NodeId> {
        self.owners.get(machine).copied()
    }
}
