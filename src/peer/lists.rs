//! What messages between controllers hold in numbers. Each is written as a list of its first fields and
//! never grows; a field that is to be added goes into the message around it.

use std::rc::Rc;

use serde::ser::{SerializeTuple, Serializer};
use serde::{Deserialize, Serialize};

use super::WaitReason;
use crate::model::{AgentEpoch, Attempt, JobId, MachineId, TaskId, TaskRanges};
use crate::wire::TaskState;

/// Writes a struct as the list of these fields, in this order.
macro_rules! as_list {
    ($name:ident, $count:literal: $($field:ident),*) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                let mut list = serializer.serialize_tuple($count)?;
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

/// A task as its machine's owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, u8)", into = "(u64, u32, u8)")]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Its state; `Unknown` for a start that no heartbeat has shown yet.
    #[serde(rename = "stage")]
    pub state: TaskState,
}

/// Task states by their number in messages between controllers.
///
/// The version before gangs reads the last one as `Unknown`: on its machine, not shown yet.
const TASK_STATES: [TaskState; 6] = [
    TaskState::Unknown,
    TaskState::FetchingImage,
    TaskState::Running,
    TaskState::SavingCheckpoint,
    TaskState::Exited,
    TaskState::WaitingForGang,
];

impl From<TaskView> for (u64, u32, u8) {
    fn from(view: TaskView) -> Self {
        let state = TASK_STATES.iter().position(|state| *state == view.state).unwrap_or(0);
        (view.task.job.0, view.task.index, state as u8)
    }
}

impl From<(u64, u32, u8)> for TaskView {
    fn from((job, index, state): (u64, u32, u8)) -> Self {
        let state = TASK_STATES.get(usize::from(state)).copied().unwrap_or(TaskState::Unknown);
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
    /// Whether its last heartbeat carried the sender's term: it refuses commands of older ones,
    /// and its task list is the truth.
    #[serde(rename = "settled")]
    pub reconciled: bool,
    /// Its agent epoch.
    #[serde(rename = "session")]
    pub agent_epoch: AgentEpoch,
    /// Whether the cloud is about to take it.
    pub leaving: bool,
    /// Milliseconds for which it is quarantined, that is takes no new tasks: it failed tasks or showed no effect of
    /// commands lately.
    #[serde(rename = "shun_ms")]
    pub quarantine_ms: u64,
    /// Tasks on it or on their way to it.
    pub tasks: Vec<TaskView>,
    /// Images it has, with their sizes in GB, most recently used last.
    pub images: Vec<(Rc<str>, f64)>,
}

/// A machine that sends its heartbeats to a controller that does not own it.
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
    /// Milliseconds since its last heartbeat here.
    pub silent_ms: u64,
    /// Milliseconds since it began to send heartbeats here without being able to reach its owner.
    pub since_ms: u64,
}

/// Task ranges that a shard may start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Grant {
    /// The job's number.
    pub job: u64,
    /// The tasks.
    pub tasks: TaskRanges,
    /// The only zone in which they may start, for jobs whose tasks must be together or apart.
    pub zone: Option<String>,
    /// The attempt that all tasks of a gang share; others get their own from the shard.
    pub attempt: Option<Attempt>,
}

impl Grant {
    /// The job.
    pub fn job(&self) -> JobId {
        JobId(self.job)
    }
}

/// Status of a job, for answers to users.
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
