//! Types of which a message between controllers holds many. Each is serialized as an array of a
//! fixed set of fields and never changes; new data goes into a field of the enclosing message.

use std::rc::Rc;

use serde::ser::{SerializeTuple, Serializer};
use serde::{Deserialize, Serialize};

use super::WaitReason;
use crate::model::{AgentEpoch, Attempt, JobId, MachineId, TaskId, TaskRanges};
use crate::wire::TaskState;

/// Serializes a struct as an array of the given fields, in the given order.
macro_rules! serialize_as_array {
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
serialize_as_array!(MachineView, 11: id, machine_type, zone, spot, endpoint, reconciled, agent_epoch, leaving, quarantine_ms, tasks, images);
serialize_as_array!(ForeignMachine, 6: id, machine_type, zone, spot, silent_ms, since_ms);
serialize_as_array!(Grant, 4: job, tasks, zone, attempt);
serialize_as_array!(JobStatus, 3: job, running, wait_reason);

/// Task, as known to the owner of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, u8)", into = "(u64, u32, u8)")]
pub struct TaskView {
    /// Task that is described.
    pub task: TaskId,
    /// State of the task; `Unknown` for a start that no heartbeat has confirmed yet.
    #[serde(rename = "stage")]
    pub state: TaskState,
}

/// Task states by their number in messages between controllers.
///
/// Versions without support for gangs read the last state as `Unknown`, which means that the task
/// is on its machine and not confirmed yet.
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

/// Machine, as known to its owner.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MachineView {
    /// Machine that is described.
    pub id: MachineId,
    /// Name of the machine type.
    #[serde(rename = "hull")]
    pub machine_type: Rc<str>,
    /// Zone of the machine.
    pub zone: Rc<str>,
    /// Whether this is a spot machine.
    pub spot: bool,
    /// Address at which the machine's worker listens.
    pub endpoint: Rc<str>,
    /// Whether the machine's last heartbeat carried the owner's term. If so, the machine refuses
    /// commands of earlier terms, and its task list is authoritative.
    #[serde(rename = "settled")]
    pub reconciled: bool,
    /// Agent epoch of the machine.
    #[serde(rename = "session")]
    pub agent_epoch: AgentEpoch,
    /// Whether the cloud has announced that it will take the machine back.
    pub leaving: bool,
    /// Remaining quarantine in milliseconds. A machine that recently failed tasks or showed no
    /// effect of commands gets no new tasks during its quarantine.
    #[serde(rename = "shun_ms")]
    pub quarantine_ms: u64,
    /// Tasks on the machine or being started on it.
    pub tasks: Vec<TaskView>,
    /// Images on the machine with their sizes in GB, most recently used last.
    pub images: Vec<(Rc<str>, f64)>,
}

/// Machine that sends heartbeats to a controller that does not own it, as reported by the
/// controller that receives the heartbeats.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ForeignMachine {
    /// Machine that is described.
    pub id: MachineId,
    /// Name of the machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether this is a spot machine.
    pub spot: bool,
    /// Milliseconds since the reporting controller received the machine's last heartbeat.
    pub silent_ms: u64,
    /// Milliseconds since the machine, unable to reach its owner, began to send heartbeats to the
    /// reporting controller.
    pub since_ms: u64,
}

/// Task ranges of a job that a shard may start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Grant {
    /// Number of the job.
    pub job: u64,
    /// Tasks that may be started.
    pub tasks: TaskRanges,
    /// Only zone in which the tasks may start, for jobs with tasks that must be placed together or
    /// apart.
    pub zone: Option<String>,
    /// Common attempt of all tasks of a gang. For other jobs, the shard assigns an attempt to each
    /// task.
    pub attempt: Option<Attempt>,
}

impl Grant {
    /// Returns the id of the job.
    pub fn job(&self) -> JobId {
        JobId(self.job)
    }
}

/// Status of a job for answers to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct JobStatus {
    /// Number of the job.
    pub job: u64,
    /// Number of running tasks.
    pub running: u32,
    /// Reason why the job waits.
    #[serde(rename = "waits")]
    pub wait_reason: WaitReason,
}
