//! What a part follows on the word of one term's leader.
//!
//! All of it is one value that is replaced as a whole when a term begins. A field added here is therefore void in the
//! next term; what has to survive a term is a field of [`Shard`](super::Part) and an observation of its own.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::redirect::{ForeignMachineRecord, Redirected, Unacknowledged};
use super::task_start::{GrantedStart, MachineKind};
use crate::lease::AttemptAllocator;
use crate::model::{Attempt, MachineId, MonotonicTime, NodeId, PlanSeq, TaskId, Term};
use crate::peer::{GangStop, Grant, PlanBody};
use crate::wire::Priority;

/// How a grant came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantKind {
    /// A machine had room for it.
    WithRoom,
    /// It waits for a place that another task is about to leave.
    Ahead,
    /// All tasks of a gang share its attempt.
    Gang,
}

/// The newest plan that a part follows, with the term that gave it.
#[derive(Clone, Debug)]
pub(super) struct ActivePlan {
    /// The term of the leader that made it.
    pub(super) term: Term,
    /// Its number; 0 before the first one of the term.
    pub(super) seq: PlanSeq,
    grants: Vec<Grant>,
    ahead: Vec<Grant>,
    slow: Vec<MachineId>,
    reserved: Vec<MachineId>,
    stops: Vec<GangStop>,
    drained: HashSet<MachineId>,
    gang_attempts: HashSet<Attempt>,
}

impl ActivePlan {
    /// Before the first plan of a term: nothing is granted or ordered.
    fn none(term: Term) -> Self {
        ActivePlan {
            term,
            seq: PlanSeq(0),
            grants: Vec::new(),
            ahead: Vec::new(),
            slow: Vec::new(),
            reserved: Vec::new(),
            stops: Vec::new(),
            drained: HashSet::new(),
            gang_attempts: HashSet::new(),
        }
    }

    /// The plan of that number.
    pub(super) fn new(term: Term, seq: PlanSeq, body: PlanBody) -> Self {
        ActivePlan {
            term,
            seq,
            drained: body.drain.into_iter().collect(),
            gang_attempts: body.grants.iter().filter_map(|g| g.attempt).collect(),
            grants: body.grants,
            ahead: body.ahead,
            slow: body.slow,
            reserved: body.reserved,
            stops: body.stops,
        }
    }

    /// What may start where there is room.
    pub(super) fn grants(&self) -> &[Grant] {
        &self.grants
    }

    /// What may start as soon as other tasks leave room for it.
    pub(super) fn ahead(&self) -> &[Grant] {
        &self.ahead
    }

    /// Whether a machine is used last.
    pub(super) fn is_slow(&self, machine: &MachineId) -> bool {
        self.slow.contains(machine)
    }

    /// Whether a machine is kept for gangs.
    pub(super) fn is_reserved(&self, machine: &MachineId) -> bool {
        self.reserved.binary_search(machine).is_ok()
    }

    /// Whether a machine takes nothing new.
    pub(super) fn is_drained(&self, machine: &MachineId) -> bool {
        self.drained.contains(machine)
    }

    /// The stop of a gang's attempt, if it is being stopped.
    pub(super) fn stop_of(&self, task: TaskId, attempt: Attempt) -> Option<&GangStop> {
        self.stops.iter().find(|s| s.job == task.job.0 && attempt < s.before)
    }

    /// Whether it stops a gang that the plan before did not.
    pub(super) fn stops_more_than(&self, before: &ActivePlan) -> bool {
        self.stops.iter().any(|s| !before.stops.contains(s))
    }

    /// Whether it grants a gang with that attempt.
    pub(super) fn grants_gang(&self, attempt: Attempt) -> bool {
        self.gang_attempts.contains(&attempt)
    }

    /// Whether it grants any gang.
    pub(super) fn has_gangs(&self) -> bool {
        !self.gang_attempts.is_empty()
    }
}

/// How often a machine was told of the term straight away, and when last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TermAnnouncement {
    pub(super) times: u32,
    pub(super) at: MonotonicTime,
}

/// All that a part does on the word of one term's leader, what it derives from that, and how machines took this
/// term's token.
#[derive(Debug)]
pub(super) struct TermState {
    /// The term.
    pub(super) term: Term,
    /// Gives out this term's attempts.
    pub(super) attempts: AttemptAllocator,
    /// The newest plan.
    pub(super) plan: ActivePlan,
    /// The leader's clock as that plan or a later answer gave it.
    pub(super) clock_ms: u64,
    /// Owners of machines; empty before the first plan.
    pub(super) owners: BTreeMap<MachineId, NodeId>,
    /// Attempts of gangs that a worker has shown in this term: they are never started again.
    pub(super) shown_gang_attempts: HashSet<(TaskId, Attempt)>,
    /// What is to start on a machine with its next report.
    pub(super) queues: BTreeMap<MachineId, Vec<GrantedStart>>,
    /// What is granted ahead and found no machine: any may take it as soon as it has room, the first ones first.
    pub(super) backlog: Vec<GrantedStart>,
    /// The most urgent work that may use machines of a type, zone and kind.
    pub(super) highest_priority: BTreeMap<MachineKind, Option<Priority>>,
    /// Whether granted tasks have to be given machines anew, and when they last were.
    pub(super) reassign: bool,
    pub(super) assigned: MonotonicTime,
    /// Whether granted tasks found no machine.
    pub(super) unplaced: bool,
    /// The last summary that the leader is known to have taken, and when it was made.
    pub(super) acknowledged: Option<(u64, MonotonicTime)>,
    /// Machines that were told of this term straight away.
    pub(super) announced: HashMap<MachineId, TermAnnouncement>,
    /// Whether there may be machines that have to be.
    pub(super) announcing: bool,
    /// Machines that have not shown this term's token.
    pub(super) unacknowledged: HashMap<MachineId, Unacknowledged>,
    /// Machines that were sent to their owners.
    pub(super) redirected: HashMap<MachineId, Redirected>,
    /// Machines of other parts that report here.
    pub(super) foreign_machines: BTreeMap<MachineId, ForeignMachineRecord>,
}

impl TermState {
    /// The beginning of a term: nothing is granted and nobody is known to own a machine.
    pub(super) fn begin(term: Term, me: NodeId) -> Self {
        TermState {
            term,
            attempts: AttemptAllocator::new(term, me),
            plan: ActivePlan::none(term),
            clock_ms: 0,
            owners: BTreeMap::new(),
            shown_gang_attempts: HashSet::new(),
            queues: BTreeMap::new(),
            backlog: Vec::new(),
            highest_priority: BTreeMap::new(),
            reassign: false,
            assigned: MonotonicTime(0),
            unplaced: false,
            acknowledged: None,
            announced: HashMap::new(),
            announcing: false,
            unacknowledged: HashMap::new(),
            redirected: HashMap::new(),
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
