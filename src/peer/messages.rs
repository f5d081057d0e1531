//! The messages themselves: summaries to the leader, plans back, and requests between controllers.

use serde::{Deserialize, Serialize};
use willowshore_standby::decision_log::{Batch, FollowRequest};

use super::{ForeignMachine, Grant, JobStatus, MachineView};
use crate::model::{
    AgentEpoch, Attempt, Incarnation, JobId, MachineId, NodeId, PlanSeq, Revision, TaskRanges, Term,
};
use crate::replica::{LeaderRecord, Progress};
use crate::wire::JobSpec;

/// A shard's state as its controller sends it to the leader: all that changed since an earlier summary which the
/// leader is known to have applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Sender.
    pub node: NodeId,
    /// Incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Counts its summaries; late ones are dropped.
    #[serde(rename = "number")]
    pub seq: u64,
    /// The summary that this one adds to; 0 if it is whole.
    #[serde(rename = "base")]
    pub base_seq: u64,
    /// Whether the next one goes on with what did not fit into this one.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// The term it knows.
    pub term: Term,
    /// The last plan of this term that it follows.
    #[serde(rename = "followed")]
    pub applied_plan: PlanSeq,
    /// The leader's clock as given in that plan: this summary was made after that.
    #[serde(rename = "echo_ms")]
    pub echoed_clock_ms: u64,
    /// Milliseconds since its process started.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// Milliseconds since the store last served it.
    #[serde(rename = "served_ms")]
    pub since_store_response_ms: u64,
    /// Milliseconds since its last heartbeat of any worker.
    #[serde(rename = "heard_ms")]
    pub since_heartbeat_ms: u64,
    /// The machines of its shard that changed since the base.
    pub machines: Vec<MachineView>,
    /// For every machine it answered since the base: milliseconds since the last answer.
    pub answered: Vec<(MachineId, u64)>,
    /// Foreign machines: ones that send it heartbeats without being of its shard.
    #[serde(rename = "strays")]
    pub foreign_machines: Vec<ForeignMachine>,
    /// Machines that were restarted and count their heartbeats from the start again.
    #[serde(rename = "reborn")]
    pub restarted: Vec<MachineId>,
    /// Jobs that fail wherever they are tried.
    pub failing: Vec<u64>,
    /// Tasks that completed and are not known to be on record yet.
    #[serde(rename = "finished")]
    pub completed_tasks: Vec<(u64, TaskRanges)>,
    /// Machines of its shard that the cloud is about to take, and in how many milliseconds.
    #[serde(default)]
    pub notices: Vec<(MachineId, u64)>,
    /// What it asks for of the leader's decisions, if it follows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follow: Option<FollowRequest>,
}

/// Why a job does not run as wide as it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaitReason {
    /// Nothing holds it back.
    No,
    /// Its rank is below the admission threshold.
    BelowWaterline,
    /// Its team's limit is used up.
    TeamLimit,
    /// Machines are full; the cluster scales out if it can.
    ForMachines,
    /// Its tasks keep failing; it is tried again after a pause.
    Failing,
    /// A controller or machine was lost and its tasks are not yet proven gone.
    Unproven,
}

/// What changed about owners of machines since an earlier plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnershipChanges {
    /// The plan that this adds to; 0 if it is whole.
    pub base: PlanSeq,
    /// Owners of machines.
    pub set: Vec<(MachineId, NodeId)>,
    /// Machines that are no longer owned.
    #[serde(rename = "gone")]
    pub removed: Vec<MachineId>,
}

/// The leader's answer to a summary: what the controller's shard may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The term.
    pub term: Term,
    /// The incarnation that it is meant for.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its number in the term.
    pub seq: PlanSeq,
    /// The leader's clock when it was sent, to be echoed.
    #[serde(rename = "clock_ms")]
    pub leader_clock_ms: u64,
    /// The last summary that the leader applied from the receiver.
    #[serde(rename = "heard")]
    pub acknowledged_summary: u64,
    /// Owners of machines.
    pub owners: OwnershipChanges,
    /// The rest; `None` if it is as in the plan that the receiver follows already.
    pub body: Option<PlanBody>,
    /// Decisions of the leader that the receiver asked for. Never in messages through the store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decisions: Option<Batch>,
}

/// What a shard may do.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBody {
    /// What this shard may start.
    pub grants: Vec<Grant>,
    /// Machines that are to take nothing new.
    pub drain: Vec<MachineId>,
    /// Machines that are used last, as they run slow.
    pub slow: Vec<MachineId>,
    /// Machines whose lease has run out, and the agent epoch that ended with it.
    #[serde(rename = "lapsed")]
    pub expired_leases: Vec<(MachineId, AgentEpoch)>,
    /// Status of jobs, for answers to users.
    #[serde(rename = "standings")]
    pub job_statuses: Vec<JobStatus>,
    /// Gangs that are to be stopped wherever their tasks are.
    #[serde(default)]
    pub stops: Vec<GangStop>,
    /// Machines that are reserved for gangs, and for work that may not use spot machines.
    #[serde(default, rename = "kept")]
    pub reserved: Vec<MachineId>,
    /// What this shard may start besides, as soon as other tasks leave room for it, where no work that is
    /// more urgent may go.
    #[serde(default, rename = "ahead")]
    pub grants_awaiting_release: Vec<Grant>,
    /// Jobs' numbers and how many of their tasks have completed, where not all of that is on record yet.
    #[serde(default)]
    pub completed: Vec<(u64, u32)>,
}

impl PlanBody {
    /// Whether both hold the same commands, whatever the status of jobs.
    pub fn has_same_commands(&self, other: &PlanBody) -> bool {
        self.grants == other.grants
            && self.grants_awaiting_release == other.grants_awaiting_release
            && self.drain == other.drain
            && self.slow == other.slow
            && self.expired_leases == other.expired_leases
            && self.stops == other.stops
            && self.reserved == other.reserved
    }
}

/// A gang that is to be stopped. The command may come any number of times, and late: what
/// starts afterwards has another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GangStop {
    /// The job's number.
    pub job: u64,
    /// Attempts below this one are stopped.
    pub before: Attempt,
    /// Milliseconds that each task has to save; 0 to end at once.
    #[serde(rename = "leeway_ms")]
    pub grace_ms: u64,
}

/// A request between controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A shard's summary to the leader.
    Summary(Summary),
    /// Whether the asked node reaches the store.
    Reach,
    /// Who leads, asked by a node that the store does not serve.
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
    /// Asks when the last message of the leader of that term was received. Only for controllers whose member record
    /// says that they read it.
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
    /// Who leads, if the asked node knows it from the store just now.
    #[serde(rename = "Lead")]
    Leader(Option<LeaderRecord>),
    /// The answer to a handed-over request: status and CBOR body.
    Answer(u16, Vec<u8>),
    /// Milliseconds since the last message of the leader that was asked about; `None` if the asked node does not follow
    /// it.
    LeaderSilence(Option<u64>),
}

/// A message through the store, for controllers that cannot reach each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreMessage {
    /// A shard's summary to the leader.
    Summary(Box<Summary>),
    /// The leader's answer.
    #[serde(rename = "Tell")]
    PeerResponse(PeerResponse),
}
