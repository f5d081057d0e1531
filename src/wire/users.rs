//! What users send and are answered: job descriptions and job states.
//!
//! A description is checked in two steps: [`decode`](super::decode) refuses wrong types, and
//! [`JobSpec::check`] refuses values out of their range. Both name the field as the protocol does, as the
//! text goes into the 400 answer.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::encoding::{DecodeError, amount, amount_or_null};
use crate::model::JobId;

/// Most tasks in a job, as the protocol has it.
pub const MAX_TASKS: u32 = 100_000;

/// How a job's tasks behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that need each other: they run all at once or wait, and complete together.
    Gang,
}

/// A job's urgency, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Before everything.
    Critical,
    /// Before normal work.
    High,
    /// Ordinary work.
    Normal,
    /// When nothing else needs the room.
    BestEffort,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct JobSpec {
    /// Unique id.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Class of jobs, for which the settings may state objectives.
    #[serde(rename = "Lane")]
    pub class: String,
    /// Team.
    #[serde(rename = "Owner")]
    pub team: String,
    /// How its tasks behave.
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    /// Urgency.
    #[serde(rename = "Urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "Pieces")]
    pub task_count: u32,
    /// vCPUs of a task.
    #[serde(deserialize_with = "amount")]
    pub vcpus: f64,
    /// Accelerators of a task.
    #[serde(deserialize_with = "amount", default)]
    pub accelerators: f64,
    /// Memory of a task in GB.
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    /// Image.
    #[serde(rename = "Bundle")]
    pub image: Rc<str>,
    /// Size of the image in GB.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(default)]
    #[serde(rename = "Hulls")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(default)]
    #[serde(rename = "Yard")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks in a zone.
    #[serde(rename = "Scatter")]
    pub spread_zones: bool,
    /// May use spot machines.
    #[serde(rename = "Loaners")]
    pub allows_spot: bool,
    /// The team's estimate of a task's run time, in seconds.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "GuessS")]
    pub estimated_run_s: f64,
    /// Seconds of progress between two checkpoints; 0: tasks save none.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "BookmarkS")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "StashS")]
    pub checkpoint_save_s: f64,
    /// Deadline, in seconds from submission.
    #[serde(deserialize_with = "amount_or_null", default)]
    #[serde(rename = "DueS")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Checks ranges that types alone do not express.
    ///
    /// # Errors
    /// [`DecodeError::OutOfRange`] with the first field that is out of its range.
    pub fn check(&self) -> Result<(), DecodeError> {
        let out_of_range = |field: &'static str| Err(DecodeError::OutOfRange(field));
        if self.task_count == 0 || self.task_count > MAX_TASKS {
            return out_of_range("Pieces");
        }
        if !(self.vcpus >= 0.0 && self.vcpus < 1e6) {
            return out_of_range("Vcpus");
        }
        let amounts = [
            ("Accelerators", self.accelerators),
            ("MemGb", self.mem_gb),
            ("SizeGb", self.image_gb),
            ("GuessS", self.estimated_run_s),
            ("BookmarkS", self.checkpoint_interval_s),
            ("StashS", self.checkpoint_save_s),
            ("DueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, value) in amounts {
            if !(0.0..1e9).contains(&value) {
                return out_of_range(field);
            }
        }
        if self.team.is_empty() || self.team.len() > 200 {
            return out_of_range("Owner");
        }
        if self.class.len() > 200 || self.image.len() > 400 {
            return out_of_range("Lane or Bundle");
        }
        Ok(())
    }
}

/// A job's state as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// What users are answered about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job.
    #[serde(rename = "Ref")]
    pub job: JobId,
    /// Its state.
    #[serde(rename = "Stage")]
    pub state: JobState,
    /// Tasks done.
    #[serde(default)]
    pub done: u32,
    /// Tasks running.
    #[serde(default)]
    pub running: u32,
    /// Why it waits or was stopped, in words for people.
    #[serde(default, rename = "reason", skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
