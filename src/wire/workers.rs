//! Heartbeats of workers, their answers, and the commands to workers.
//!
//! Each command carries a task's attempt, and each message with commands the fencing token. Why an old
//! leader's commands do no harm is argued in `docs/safety.md`.

use serde::{Deserialize, Serialize};

use super::encoding::amount_or_null;
use crate::model::{AgentEpoch, Attempt, MachineId, TaskId, Term};

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    FetchingImage,
    /// Runs.
    Running,
    /// A gang's task that waits for the others of its attempt.
    #[serde(rename = "waiting")]
    WaitingForGang,
    /// Saves a checkpoint after a command to stop.
    #[serde(rename = "flushing")]
    SavingCheckpoint,
    /// Has ended.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know; it counts as on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Failed,
    /// Refused: no room.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Refused: here with another attempt.
    #[serde(rename = "in_use")]
    AttemptConflict,
    /// Another task of its gang was lost.
    #[serde(rename = "peers")]
    GangTaskLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Refused: no such task; also any cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A task in a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "Piece")]
    pub task: TaskId,
    /// Its attempt.
    #[serde(rename = "Try")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "Stage")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Cause")]
    pub exit_reason: Option<ExitReason>,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "Host")]
    pub machine: MachineId,
    /// The worker's address.
    pub endpoint: String,
    /// The machine's type.
    #[serde(rename = "Hull")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// The worker's agent epoch: starts at 1 and grows each time its lease expires.
    #[serde(rename = "Tenure")]
    pub agent_epoch: AgentEpoch,
    /// The sequence number of the message within the agent epoch.
    #[serde(rename = "Tally")]
    pub sequence: u64,
    /// The highest fencing token it has seen.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Seconds until the cloud takes it away, if the cloud gave a spot notice.
    #[serde(default, deserialize_with = "amount_or_null")]
    #[serde(rename = "WarningS")]
    pub spot_notice_s: Option<f64>,
    /// All its tasks.
    #[serde(default)]
    #[serde(rename = "Pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Start a task.
    #[serde(rename_all = "PascalCase")]
    Start {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
    /// Stop a task.
    #[serde(rename_all = "PascalCase")]
    Kill {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "Try")]
        attempt: Attempt,
        /// Seconds that it has to save a checkpoint.
        #[serde(rename = "LeewayS")]
        grace_s: f64,
    },
    /// Forget an ended task.
    #[serde(rename_all = "PascalCase")]
    Clear {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
}

impl WorkerCommand {
    /// The task that it concerns.
    pub fn task(&self) -> TaskId {
        match self {
            WorkerCommand::Start { task, .. }
            | WorkerCommand::Kill { task, .. }
            | WorkerCommand::Clear { task, .. } => *task,
        }
    }
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatResponse {
    /// The fencing token.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Commands, in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DirectCommand {
    /// The fencing token.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// The agent epoch they are meant for.
    #[serde(rename = "Tenure")]
    pub agent_epoch: AgentEpoch,
    /// The commands.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Names the controller that a worker should send its heartbeats to.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Redirect {
    /// The controller's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Steward")]
    pub controller: Option<String>,
}
