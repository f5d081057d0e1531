//! Message types: summaries to the leader, plans in response, and requests between controllers.

use serde::{Deserialize, Serialize};
use willowshore_standby::decision_log::{Batch, FollowRequest};

use super::{ForeignMachine, Grant, JobStatus, MachineView};
use crate::model::{
    AgentEpoch, Attempt, Incarnation, JobId, MachineId, NodeId, PlanSeq, Revision, TaskRanges, Term,
};
use crate::replica::{LeaderRecord, Progress};
use crate::wire::JobSpec;

/// State of a shard, sent by its controller to the leader. Contains all changes since an earlier
/// summary that the leader is known to have applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Controller that sends the summary.
    pub node: NodeId,
    /// Incarnation of the sender's process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number of the summary. The leader drops summaries that arrive late.
    #[serde(rename = "number")]
    pub seq: u64,
    /// Sequence number of the summary that this one is a difference to; 0 for a full summary.
    #[serde(rename = "base")]
    pub base_seq: u64,
    /// Whether the next summary continues with the data that did not fit into this one.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// Term known to the sender.
    pub term: Term,
    /// Sequence number of the last plan of this term that the sender applied.
    #[serde(rename = "followed")]
    pub applied_plan: PlanSeq,
    /// Leader's clock in the latest message that carried the plan `applied_plan`. The summary was
    /// made after this time.
    #[serde(rename = "echo_ms")]
    pub echoed_clock_ms: u64,
    /// Milliseconds since the sender's process started.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// Milliseconds since the store last served the sender.
    #[serde(rename = "served_ms")]
    pub since_store_response_ms: u64,
    /// Milliseconds since the sender received the last heartbeat of any worker.
    #[serde(rename = "heard_ms")]
    pub since_heartbeat_ms: u64,
    /// Machines of the sender's shard that changed since the base summary.
    pub machines: Vec<MachineView>,
    /// Machines whose heartbeats the sender answered since the base summary, with the milliseconds
    /// since the last answer.
    pub answered: Vec<(MachineId, u64)>,
    /// Machines outside the sender's shard that send it heartbeats.
    #[serde(rename = "strays")]
    pub foreign_machines: Vec<ForeignMachine>,
    /// Machines that restarted and count their heartbeats from the beginning again.
    #[serde(rename = "reborn")]
    pub restarted: Vec<MachineId>,
    /// Numbers of jobs that fail on every machine on which they are tried.
    pub failing: Vec<u64>,
    /// Completed tasks by job number that are not known to be recorded yet.
    #[serde(rename = "finished")]
    pub completed_tasks: Vec<(u64, TaskRanges)>,
    /// Machines of the sender's shard that the cloud will take back, with the milliseconds until
    /// then.
    #[serde(default)]
    pub notices: Vec<(MachineId, u64)>,
    /// Request for the leader's decisions; `None` if the sender does not follow them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follow: Option<FollowRequest>,
}

/// Reason why a job runs fewer tasks than it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaitReason {
    /// The job does not wait.
    #[serde(rename = "No")]
    NotWaiting,
    /// The job's rank is below the admission threshold.
    BelowWaterline,
    /// The limit of the job's team is used up.
    TeamLimit,
    /// Machines are full; the cluster scales out if it can.
    #[serde(rename = "ForMachines")]
    NoFreeMachines,
    /// The job's tasks keep failing; the job is retried after a pause.
    Failing,
    /// A controller or machine was lost, and the job's tasks may still be running there.
    #[serde(rename = "Unproven")]
    TasksPossiblyRunning,
}

/// Changes of machine owners since an earlier plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnershipChanges {
    /// Sequence number of the plan that the changes are relative to; 0 if `set` lists all owners.
    pub base: PlanSeq,
    /// New owners of machines.
    pub set: Vec<(MachineId, NodeId)>,
    /// Machines that no longer have an owner.
    #[serde(rename = "gone")]
    pub removed: Vec<MachineId>,
}

/// Leader's response to a summary, with the commands for the controller's shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Term of the leader.
    pub term: Term,
    /// Incarnation of the receiver's process that the plan is for.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number of the plan within the term.
    pub seq: PlanSeq,
    /// Leader's clock in milliseconds when the plan was sent. The receiver echoes it in its
    /// summaries.
    #[serde(rename = "clock_ms")]
    pub leader_clock_ms: u64,
    /// Sequence number of the receiver's last summary that the leader applied.
    #[serde(rename = "heard")]
    pub acknowledged_summary: u64,
    /// Changes of machine owners.
    pub owners: OwnershipChanges,
    /// Commands and job statuses; `None` if the receiver's last summary showed that it had applied
    /// the plan `seq`.
    pub body: Option<PlanBody>,
    /// Decisions of the leader that the receiver requested. Never set in messages through the
    /// store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decisions: Option<Batch>,
}

/// Commands for a shard and job statuses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBody {
    /// Tasks that the shard may start.
    pub grants: Vec<Grant>,
    /// Machines that must not get new tasks.
    pub drain: Vec<MachineId>,
    /// Slow machines, which the shard uses last.
    pub slow: Vec<MachineId>,
    /// Machines whose lease has expired, with the agent epoch that ended with the lease.
    #[serde(rename = "lapsed")]
    pub expired_leases: Vec<(MachineId, AgentEpoch)>,
    /// Job statuses for answers to users.
    #[serde(rename = "standings")]
    pub job_statuses: Vec<JobStatus>,
    /// Gangs to be stopped wherever their tasks are.
    #[serde(default)]
    pub stops: Vec<GangStop>,
    /// Machines reserved for gangs and for jobs that must not use spot machines.
    #[serde(default, rename = "kept")]
    pub reserved: Vec<MachineId>,
    /// Tasks that the shard may start in addition to `grants` once other tasks release resources,
    /// only where no more urgent work may be placed.
    #[serde(default, rename = "ahead")]
    pub grants_awaiting_release: Vec<Grant>,
    /// Numbers of jobs with unrecorded completions, and the total number of their completed tasks.
    #[serde(default)]
    pub completed: Vec<(u64, u32)>,
}

impl PlanBody {
    /// Whether both bodies hold the same commands. Job statuses and completion counts are not
    /// compared.
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

/// Command to stop a gang. It may be delivered repeatedly and late, because tasks that start
/// afterwards have a later attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GangStop {
    /// Number of the job.
    pub job: u64,
    /// Attempts below this one are stopped.
    pub before: Attempt,
    /// Milliseconds that each task has to save its state; 0 to stop at once.
    #[serde(rename = "leeway_ms")]
    pub grace_ms: u64,
}

/// Notice of a durable cancellation to another controller, which acknowledges it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationNotice {
    /// Cancelled job.
    pub job: JobId,
    /// Number of the job's tasks that are durably done.
    pub done: u32,
    /// Version of the progress record that cancelled the job.
    pub version: Revision,
}

/// Request between controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Summary of a shard for the leader.
    Summary(Summary),
    /// Asks whether the receiver can reach the store.
    #[serde(rename = "Reach")]
    StoreReachable,
    /// Asks for the leader. Sent by a controller that the store does not serve.
    #[serde(rename = "Lead")]
    Leader,
    /// Forwarded submission.
    Submit(JobSpec),
    /// Forwarded query.
    Query(JobId),
    /// Forwarded cancellation.
    #[serde(rename = "Abort")]
    Cancel(JobId),
    /// Reports a durable cancellation of a job, with the job's progress record and the record's
    /// revision. Only for controllers whose member record lists this capability but not
    /// `CancellationNotices`. Answered like `StoreReachable`.
    #[serde(rename = "Ended")]
    JobCancelled(JobId, Progress, Revision),
    /// Reports durable cancellations, and asks whether the receiver knows of them from now on. Only
    /// for controllers whose member record lists this capability. Answered by
    /// [`PeerResponse::CancellationsKnown`].
    CancellationNotices(Vec<CancellationNotice>),
    /// Asks when the receiver got the last message of the leader of this term. Only for controllers
    /// whose member record lists this capability.
    LeaderSilence(Term),
}

/// Response between controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Plan of the leader.
    Plan(Box<Plan>),
    /// The responder does not lead. Contains the term that it knows.
    NotLeading(Term),
    /// The leader lacks the summary that the received one is a difference to, and needs a full
    /// summary.
    #[serde(rename = "SendWhole")]
    SendFullSummary,
    /// Whether the responder can reach the store.
    #[serde(rename = "Reach")]
    StoreReachable(bool),
    /// Leader, according to the responder's replica; `None` if the replica is not current or shows
    /// no leader of its term.
    #[serde(rename = "Lead")]
    Leader(Option<LeaderRecord>),
    /// Answer to a forwarded request: status and CBOR body.
    Answer(u16, Vec<u8>),
    /// Reported cancellations that the responder knows: it starts no tasks of these jobs any more.
    CancellationsKnown(Vec<JobId>),
    /// Milliseconds since the last message of the leader in question; `None` if the responder does
    /// not follow this leader.
    LeaderSilence(Option<u64>),
}

/// Message through the store, for controllers that cannot reach each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreMessage {
    /// Summary of a shard for the leader.
    Summary(Box<Summary>),
    /// Response of the leader.
    #[serde(rename = "Tell")]
    PeerResponse(PeerResponse),
}
