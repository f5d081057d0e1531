//! Messages of the users' API: job descriptions and job states.
//!
//! A description is validated in two steps: [`decode`](super::decode) rejects wrong types, and [`JobSpec::check`]
//! rejects values out of range. Both report the protocol's name of the field, as users are shown the text in 400
//! responses.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::encoding::{DecodeError, amount, amount_or_null};
use crate::model::JobId;

/// Maximum number of tasks in a job, as the protocol defines it.
pub const MAX_TASKS: u32 = 100_000;

/// The kind of a job, which determines how its tasks run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that depend on each other: they run all at once or wait, and complete together.
    Gang,
}

/// Priority class of a job, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Runs before all other work.
    Critical,
    /// Runs before normal work.
    High,
    /// The priority of ordinary work.
    Normal,
    /// Runs on resources that no other work needs.
    BestEffort,
}

/// The description of a job, as submitted by a user.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct JobSpec {
    /// Unique id of the job, chosen by the user.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Class of the job, to which objectives in the settings may apply.
    #[serde(rename = "Lane")]
    pub class: String,
    /// Name of the team whose guarantees and limits apply.
    #[serde(rename = "Owner")]
    pub team: String,
    /// Kind of the job.
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    /// Priority class.
    #[serde(rename = "Urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "Pieces")]
    pub task_count: u32,
    /// vCPUs per task.
    #[serde(deserialize_with = "amount")]
    pub vcpus: f64,
    /// Accelerators per task.
    #[serde(deserialize_with = "amount", default)]
    pub accelerators: f64,
    /// Memory per task in GB.
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    /// Container image.
    #[serde(rename = "Bundle")]
    pub image: Rc<str>,
    /// Size of the container image in GB.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    /// Names of the allowed machine types; all are allowed if absent.
    #[serde(default)]
    #[serde(rename = "Hulls")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; all are allowed if absent.
    #[serde(default)]
    #[serde(rename = "Yard")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks may run in any one zone.
    #[serde(rename = "Scatter")]
    pub spread_zones: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "Loaners")]
    pub allows_spot: bool,
    /// Run time of a task in seconds, as estimated by the team.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "GuessS")]
    pub estimated_run_s: f64,
    /// Seconds of progress between two checkpoints; 0 if tasks save no checkpoints.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "BookmarkS")]
    pub checkpoint_interval_s: f64,
    /// Time in seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "StashS")]
    pub checkpoint_save_s: f64,
    /// Deadline in seconds after submission, if there is one.
    #[serde(deserialize_with = "amount_or_null", default)]
    #[serde(rename = "DueS")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Checks the ranges of values, which the field types do not express.
    ///
    /// # Errors
    /// Returns [`DecodeError::OutOfRange`] with the protocol's name of the first field that is out of range.
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

/// State of a job, as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// All tasks have completed.
    Done,
    /// The job was cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The state of a job, in responses to users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// Id of the job.
    #[serde(rename = "Ref")]
    pub job: JobId,
    /// State of the job.
    #[serde(rename = "Stage")]
    pub state: JobState,
    /// Number of completed tasks.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks.
    #[serde(default)]
    pub running: u32,
    /// Human-readable reason for which the job is waiting or was stopped.
    #[serde(default, rename = "reason", skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
