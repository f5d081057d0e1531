//! The records that controllers write to the state service, and what versions of the program support.
//!
//! Their field names as stored never change; a field that came later has a default, so that every version
//! reads what another wrote. [`super::StoreKey`] says which key holds which record.

use serde::{Deserialize, Serialize};

use crate::model::{Incarnation, JobId, MachineId, NodeId, TaskRanges, Term, WallTime};
use crate::resources::Resources;
use crate::wire::{JobSpec, JobState};

/// A job as it was accepted. Never changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// What its user asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: WallTime,
}

/// What is durable about a job's progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Set once the job has ended, and never changed then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobState>,
    /// Tasks that are durably done.
    #[serde(default)]
    pub done: TaskRanges,
    /// What a gang that is done may still use. All of its tasks are done once one is, but a machine
    /// that hangs or cannot be reached runs them until it is reconciled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang: Option<ResidualUsage>,
}

/// Who leads; its key hangs on the leader's store lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader.
    pub node: NodeId,
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its term.
    pub term: Term,
}

/// A controller that is up; its key hangs on its store lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its program's version; empty for those before 0.2.
    #[serde(default)]
    pub version: String,
    /// What it supports, see [`CAPABILITIES`]; 0 for the version before gangs.
    #[serde(default)]
    #[serde(rename = "speaks")]
    pub capabilities: u32,
}

// Capabilities are levels: a version that has one has all lower ones.

/// Gangs: [`crate::peer::GangStop`], waiting tasks, and that a gang is done as a whole.
pub const CAPABILITY_GANGS: u32 = 1;
/// Cancellations are taken directly, [`crate::peer::PeerRequest::Ended`].
pub const CAPABILITY_CANCELLATION_NOTICE: u32 = 2;
/// Tasks granted ahead of their resources' release are started, [`crate::peer::PlanBody::grants_awaiting_release`].
pub const CAPABILITY_GRANTS_AHEAD: u32 = 3;
/// For how long the leader was silent is answered, [`crate::peer::PeerRequest::LeaderSilence`].
pub const CAPABILITY_STANDBY: u32 = 4;
/// What this version supports.
pub const CAPABILITIES: u32 = CAPABILITY_STANDBY;

/// A machine that tasks may be on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name of its machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether it has sent a heartbeat. Only then may tasks start on it, so a machine that still
    /// boots never holds up the proof that a task is nowhere.
    #[serde(default)]
    pub up: bool,
    /// Set once it is proven terminated; the record stays for a while so that late heartbeats are known
    /// for what they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone: Option<WallTime>,
    /// Where its worker listens, for controllers that it never sent a heartbeat to.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
}

impl MachineRecord {
    /// The record that stays of a machine terminated at `at`: that it is, and since when.
    pub fn tombstone(&self, at: WallTime) -> Self {
        MachineRecord {
            machine_type: String::new(),
            zone: String::new(),
            endpoint: String::new(),
            gone: Some(self.gone.unwrap_or(at)),
            ..*self
        }
    }
}

/// Machines whose records share a key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroup {
    /// The machines.
    pub machines: Vec<(MachineId, MachineRecord)>,
}

/// What the tasks of a cancelled job, or of a gang that is done, may use until they are proven to have ended; it
/// counts towards quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualUsage {
    /// Its team.
    pub owner: String,
    /// The resources of each task.
    pub need: Resources,
    /// How many tasks were not done when the job ended.
    #[serde(rename = "left")]
    pub unfinished_tasks: u32,
}

impl ResidualUsage {
    /// What a job may still use of which so many tasks are done.
    pub(super) fn of(spec: &JobSpec, done: u32) -> Self {
        ResidualUsage {
            owner: spec.team.clone(),
            need: Resources::of(spec),
            unfinished_tasks: spec.task_count.saturating_sub(done),
        }
    }
}

/// The term as a key of its own, which stays when a leader's lease ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term given out.
    pub term: Term,
}

/// Task ranges that epochs granted: any of these tasks that is not done may be running.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The term that wrote it.
    pub term: Term,
    /// Granted tasks by job.
    pub granted: Vec<(JobId, TaskRanges)>,
}
