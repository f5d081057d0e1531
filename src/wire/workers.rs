//! Heartbeats of workers, the responses to them, and commands to workers.
//!
//! Each command carries the attempt of its task, and each message with commands carries the fencing token.
//! `docs/safety.md` explains why commands of a deposed leader are harmless.

use serde::{Deserialize, Serialize};

use super::encoding::amount_or_null;
use crate::model::{AgentEpoch, Attempt, MachineId, TaskId, Term};

/// State of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The task is waiting for its image.
    #[serde(rename = "fetching")]
    FetchingImage,
    /// The task is running.
    Running,
    /// The task belongs to a gang and is waiting for the other tasks of the gang's attempt.
    #[serde(rename = "waiting")]
    WaitingForGang,
    /// The task is saving a checkpoint after a command to stop.
    #[serde(rename = "flushing")]
    SavingCheckpoint,
    /// The task has exited.
    #[serde(rename = "ended")]
    Exited,
    /// A state unknown to this version. The task counts as present on the machine.
    #[serde(other)]
    Unknown,
}

/// The reason for which a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// The task failed.
    #[serde(rename = "error")]
    Failed,
    /// The start was refused, as the machine lacks free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The start was refused, as the machine holds another attempt of the task.
    #[serde(rename = "in_use")]
    AttemptConflict,
    /// Another task of the gang was lost.
    #[serde(rename = "peers")]
    GangTaskLost,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The command was refused, as there is no such task; or a reason unknown to this version.
    #[serde(other)]
    Unknown,
}

/// Status of a task in a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TaskStatus {
    /// Id of the task.
    #[serde(rename = "Piece")]
    pub task: TaskId,
    /// Attempt of the task.
    #[serde(rename = "Try")]
    pub attempt: Attempt,
    /// State of the task.
    #[serde(rename = "Stage")]
    pub state: TaskState,
    /// Reason for which the task exited, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Cause")]
    pub exit_reason: Option<ExitReason>,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Heartbeat {
    /// Id of the machine.
    #[serde(rename = "Host")]
    pub machine: MachineId,
    /// Address of the worker.
    pub endpoint: String,
    /// Name of the machine's type.
    #[serde(rename = "Hull")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Agent epoch of the worker. It starts at 1 and is incremented each time the worker's lease expires.
    #[serde(rename = "Tenure")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the heartbeat within the agent epoch.
    #[serde(rename = "Tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Seconds until the cloud reclaims the machine, if the cloud has given a spot notice.
    #[serde(default, deserialize_with = "amount_or_null")]
    #[serde(rename = "WarningS")]
    pub spot_notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(default)]
    #[serde(rename = "Pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Starts a task.
    #[serde(rename_all = "PascalCase")]
    Start {
        /// Id of the task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Attempt of the task.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
    /// Stops a task.
    #[serde(rename_all = "PascalCase")]
    Kill {
        /// Id of the task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Attempt of the task.
        #[serde(rename = "Try")]
        attempt: Attempt,
        /// Grace period in seconds, in which the task may save a checkpoint.
        #[serde(rename = "LeewayS")]
        grace_s: f64,
    },
    /// Makes the worker forget a task that has exited.
    #[serde(rename_all = "PascalCase")]
    Clear {
        /// Id of the task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Attempt of the task.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
}

impl WorkerCommand {
    /// Returns the task to which the command applies.
    pub fn task(&self) -> TaskId {
        match self {
            WorkerCommand::Start { task, .. }
            | WorkerCommand::Kill { task, .. }
            | WorkerCommand::Clear { task, .. } => *task,
        }
    }
}

/// The response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatResponse {
    /// Fencing token of the sender.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Commands, in the order in which they are to be executed.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Commands sent to a worker outside of the response to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DirectCommand {
    /// Fencing token of the sender.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Agent epoch of the worker for which the commands are meant.
    #[serde(rename = "Tenure")]
    pub agent_epoch: AgentEpoch,
    /// Commands to execute.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Redirects a worker to the controller to which it should send its heartbeats.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Redirect {
    /// Name of the controller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Steward")]
    pub controller: Option<String>,
}
