//! Messages between controllers: part summaries to the leader, plans back, and requests
//! handed over to a controller that can reach the store. Encoded with `rmp-serde`.
//!
//! Controllers of two versions understand each other by one rule: messages are maps by field
//! name, so what a reader does not know it ignores, and a field that came later has a default.
//! What comes in numbers ([`MachineView`], [`ForeignMachine`], [`Grant`], [`JobStatus`], [`TaskView`]) is
//! written as a list of its first fields and never grows; what is to be told besides gets a field in
//! the message around it. No enum gets a variant that a version without it has to read. The
//! version before this rule wrote lists throughout, which are read as well.

use std::rc::Rc;

use serde::ser::{SerializeTuple, Serializer};

use serde::{Deserialize, Serialize};
use willowshore_standby::decision_log::{Batch, FollowRequest};

use crate::model::{
    AgentEpoch, Attempt, Incarnation, JobId, MachineId, NodeId, PlanSeq, Revision, TaskId,
    TaskRanges, Term,
};
use crate::replica::{LeaderRecord, Progress};
use crate::wire::{JobSpec, TaskState};

/// A task as its machine's owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, u8)", into = "(u64, u32, u8)")]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Its state; `Unknown` for a start that the worker has not shown yet.
    #[serde(rename = "stage")]
    pub state: TaskState,
}

/// Stages by their number in messages between controllers.
///
/// The version before gangs reads the last one as `Unknown`: on its machine, not shown yet.
const STAGES: [TaskState; 6] = [
    TaskState::Unknown,
    TaskState::FetchingImage,
    TaskState::Running,
    TaskState::SavingCheckpoint,
    TaskState::Exited,
    TaskState::WaitingForGang,
];

/// Writes a struct as the list of these fields, in this order.
macro_rules! as_list {
    ($name:ident, $count:literal: $($field:ident),*) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                let mut list = s.serialize_tuple($count)?;
                $(list.serialize_element(&self.$field)?;)*
                list.end()
            }
        }
    };
}
as_list!(MachineView, 11: id, machine_type, zone, spot, endpoint, reconciled, agent_epoch, leaving, quarantine_ms, tasks, images);
as_list!(ForeignMachine, 6: id, machine_type, zone, spot, silent_ms, since_ms);
as_list!(Grant, 4: job, tasks, zone, attempt);
as_list!(JobStatus, 3: job, running, wait_reason);

impl From<TaskView> for (u64, u32, u8) {
    fn from(t: TaskView) -> Self {
        let state = STAGES.iter().position(|s| *s == t.state).unwrap_or(0);
        (t.task.job.0, t.task.index, state as u8)
    }
}

impl From<(u64, u32, u8)> for TaskView {
    fn from((job, index, state): (u64, u32, u8)) -> Self {
        let state = STAGES.get(usize::from(state)).copied().unwrap_or(TaskState::Unknown);
        TaskView { task: TaskId { job: JobId(job), index }, state }
    }
}

/// A machine as its owner knows it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MachineView {
    /// The machine.
    pub id: MachineId,
    /// Type.
    #[serde(rename = "hull")]
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Spot or ordinary.
    pub spot: bool,
    /// Where its worker listens.
    pub endpoint: Rc<str>,
    /// Whether its last report carried the sender's term: it refuses orders of older ones,
    /// and its task list is the truth.
    #[serde(rename = "settled")]
    pub reconciled: bool,
    /// Its session.
    #[serde(rename = "session")]
    pub agent_epoch: AgentEpoch,
    /// Whether the cloud is about to take it.
    pub leaving: bool,
    /// Milliseconds for which it takes nothing new: it failed tasks or showed no effect of
    /// orders lately.
    #[serde(rename = "shun_ms")]
    pub quarantine_ms: u64,
    /// Tasks on it or on their way to it.
    pub tasks: Vec<TaskView>,
    /// Images it has, with their sizes in GB, most recently used last.
    pub images: Vec<(Rc<str>, f64)>,
}

/// A machine that reports to a node that does not own it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ForeignMachine {
    /// The machine.
    pub id: MachineId,
    /// Type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Milliseconds since its last report here.
    pub silent_ms: u64,
    /// Milliseconds since it began to report here without being able to reach its owner.
    pub since_ms: u64,
}

/// What a controller tells the leader: all that changed since an earlier summary which the
/// leader is known to have taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Sender.
    pub node: NodeId,
    /// Life of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Counts its summaries; late ones are dropped.
    pub number: u64,
    /// The summary that this one adds to; 0 if it is whole.
    pub base: u64,
    /// Whether the next one goes on with what did not fit into this one.
    pub more: bool,
    /// The term it knows.
    pub term: Term,
    /// The last plan of this term that it follows.
    #[serde(rename = "followed")]
    pub applied_plan: PlanSeq,
    /// The leader's clock as given in that plan: this summary was made after that.
    pub echo_ms: u64,
    /// Milliseconds since its process started.
    pub up_ms: u64,
    /// Milliseconds since the store last served it.
    pub served_ms: u64,
    /// Milliseconds since any worker last reported to it.
    pub heard_ms: u64,
    /// The machines of its part that changed since the base.
    pub machines: Vec<MachineView>,
    /// For every machine it answered since the base: milliseconds since the last answer.
    pub answered: Vec<(MachineId, u64)>,
    /// Machines that report to it without being of its part.
    #[serde(rename = "strays")]
    pub foreign_machines: Vec<ForeignMachine>,
    /// Machines that were restarted and count their reports from the start again.
    #[serde(rename = "reborn")]
    pub restarted: Vec<MachineId>,
    /// Jobs that fail wherever they are tried.
    pub failing: Vec<u64>,
    /// Tasks that completed and are not known to be on record yet.
    #[serde(rename = "finished")]
    pub completed_tasks: Vec<(u64, TaskRanges)>,
    /// Machines of its part that the cloud is about to take, and in how many milliseconds.
    #[serde(default)]
    pub notices: Vec<(MachineId, u64)>,
    /// What it asks for of the leader's decisions, if it follows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follow: Option<FollowRequest>,
}

/// Task ranges that a part may start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Grant {
    /// The job's number.
    pub job: u64,
    /// The tasks.
    pub tasks: TaskRanges,
    /// The only zone in which they may start, for jobs whose tasks must be together or apart.
    pub zone: Option<String>,
    /// The attempt that all tasks of a gang share; others get their own from the part.
    pub attempt: Option<Attempt>,
}

impl Grant {
    /// The job.
    pub fn job(&self) -> JobId {
        JobId(self.job)
    }
}

/// Why a job does not run as wide as it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaitReason {
    /// Nothing holds it back.
    No,
    /// Its rank is below the waterline.
    BelowWaterline,
    /// Its team's limit is used up.
    TeamLimit,
    /// Machines are full; more are being rented if they can be had.
    ForMachines,
    /// Its tasks keep failing; it is tried again after a pause.
    Failing,
    /// A controller or machine was lost and its tasks are not yet proven gone.
    Unproven,
}

/// How a job stands, for answers to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct JobStatus {
    /// The job's number.
    pub job: u64,
    /// Tasks running.
    pub running: u32,
    /// What holds it back.
    #[serde(rename = "waits")]
    pub wait_reason: WaitReason,
}

/// What changed about owners of machines since an earlier plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnershipChanges {
    /// The plan that this adds to; 0 if it is whole.
    pub base: PlanSeq,
    /// Owners of machines.
    pub set: Vec<(MachineId, NodeId)>,
    /// Machines that are gone.
    pub gone: Vec<MachineId>,
}

/// What the leader tells a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The term.
    pub term: Term,
    /// The life that it is meant for.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its number in the term.
    pub seq: PlanSeq,
    /// The leader's clock when it was sent, to be echoed.
    pub clock_ms: u64,
    /// The last summary that the leader took from the receiver.
    pub heard: u64,
    /// Owners of machines.
    pub owners: OwnershipChanges,
    /// The rest; `None` if it is as in the plan that the receiver follows already.
    pub body: Option<PlanBody>,
    /// Decisions of the leader that the receiver asked for. Never in messages through the store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decisions: Option<Batch>,
}

/// What a part may do.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBody {
    /// What this part may start.
    pub grants: Vec<Grant>,
    /// Machines that are to take nothing new.
    pub drain: Vec<MachineId>,
    /// Machines that are used last, as they run slow.
    pub slow: Vec<MachineId>,
    /// Machines whose lease has run out, and the session that ended with it.
    #[serde(rename = "lapsed")]
    pub expired_leases: Vec<(MachineId, AgentEpoch)>,
    /// How jobs stand.
    #[serde(rename = "standings")]
    pub job_statuses: Vec<JobStatus>,
    /// Gangs that are to be stopped wherever their tasks are.
    #[serde(default)]
    pub stops: Vec<GangStop>,
    /// Machines that are kept for gangs, and for work that may not use spot machines.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub reserved: Vec<MachineId>,
    /// What this part may start besides, as soon as other tasks leave room for it, where no work that is
    /// more urgent may go.
    #[serde(default)]
    pub ahead: Vec<Grant>,
    /// Jobs' numbers and how many of their tasks have completed, where not all of that is on record yet.
    #[serde(default)]
    pub completed: Vec<(u64, u32)>,
}

impl PlanBody {
    /// Whether both order the same, however jobs stand.
    pub fn has_same_commands(&self, other: &PlanBody) -> bool {
        self.grants == other.grants
            && self.ahead == other.ahead
            && self.drain == other.drain
            && self.slow == other.slow
            && self.expired_leases == other.expired_leases
            && self.stops == other.stops
            && self.reserved == other.reserved
    }
}

/// A gang that is to be stopped. It can be told any number of times, and late: what
/// starts afterwards has another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GangStop {
    /// The job's number.
    pub job: u64,
    /// Attempts below this one are stopped.
    pub before: Attempt,
    /// Milliseconds that each task has to save; 0 to end at once.
    pub leeway_ms: u64,
}

/// A request between controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A part's summary to the leader.
    Summary(Summary),
    /// Whether the asked node reaches the store.
    Reach,
    /// Who leads, asked by a node that the store does not tell.
    #[serde(rename = "Lead")]
    Leader,
    /// A submission handed over.
    Submit(JobSpec),
    /// A query handed over.
    Query(JobId),
    /// A cancellation handed over.
    Abort(JobId),
    /// A job has been cancelled, durably: its progress record and its revision. Only for controllers whose
    /// member record says that they read it. The answer is that of `Reach`.
    Ended(JobId, Progress, Revision),
    /// When the leader of that term was last heard. Only for controllers whose member record says that they read it.
    LeaderSilence(Term),
}

/// An answer between controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The leader's plan.
    Plan(Box<Plan>),
    /// The asked node does not lead; this is the term it knows.
    NotLeading(Term),
    /// The summary adds to one that the leader does not have: a whole one is needed.
    SendWhole,
    /// Whether the asked node reaches the store.
    Reach(bool),
    /// Who leads, if the store told it just now.
    #[serde(rename = "Lead")]
    Leader(Option<LeaderRecord>),
    /// The answer to a handed-over request: status and CBOR body.
    Answer(u16, Vec<u8>),
    /// Milliseconds since the leader that was asked about was heard; `None` if the asked node does not follow it.
    LeaderSilence(Option<u64>),
}

/// A message through the store, for controllers that cannot reach each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreMessage {
    /// A part's summary to the leader.
    Summary(Box<Summary>),
    /// The leader's answer.
    #[serde(rename = "Tell")]
    PeerResponse(PeerResponse),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Writing to memory fails only for types that MessagePack cannot express; ours all can.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a message; `None` if it has the wrong shape.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

#[cfg(test)]
mod tests;
