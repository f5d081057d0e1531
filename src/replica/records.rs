//! Records that controllers write to the state service, and the capabilities of program versions.
//!
//! Stored field names never change, and every field added later has a default, so that each version
//! reads what another wrote. [`super::StoreKey`] lists the key of each record.

use serde::{Deserialize, Serialize};

use crate::model::{Incarnation, JobId, MachineId, NodeId, TaskRanges, Term, WallTime};
use crate::resources::Resources;
use crate::wire::{JobSpec, JobState};

/// Job as accepted; never changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Job description from the user.
    pub spec: JobSpec,
    /// Time at which the job was accepted.
    pub at: WallTime,
}

/// Durable progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Final state, set once the job has ended and not changed afterwards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobState>,
    /// Tasks that are durably done.
    #[serde(default)]
    pub done: TaskRanges,
    /// Resources that a completed gang may still use. One completed task completes all tasks of a
    /// gang, but a machine that hangs or cannot be reached runs its tasks until it is reconciled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang: Option<ResidualUsage>,
}

/// Current leader; the key is bound to the leader's store lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Controller that leads.
    pub node: NodeId,
    /// Incarnation of the leader's process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Term of the leader.
    pub term: Term,
}

/// Controller that is up; the key is bound to the controller's store lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Incarnation of the controller's process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Program version of the controller; empty for versions before 0.2.
    #[serde(default)]
    pub version: String,
    /// Capability level of the controller, see [`CAPABILITIES`]; 0 for the version before gangs.
    #[serde(default)]
    #[serde(rename = "speaks")]
    pub capabilities: u32,
}

// Capabilities are levels: a version that supports one supports all lower ones.

/// Gangs: [`crate::peer::GangStop`], tasks that wait for their gang, and completion of a gang as a
/// whole.
pub const CAPABILITY_GANGS: u32 = 1;
/// Direct cancellation notices, [`crate::peer::PeerRequest::JobCancelled`].
pub const CAPABILITY_CANCELLATION_NOTICE: u32 = 2;
/// Starting tasks granted before their resources are released,
/// [`crate::peer::PlanBody::grants_awaiting_release`].
pub const CAPABILITY_GRANTS_AHEAD: u32 = 3;
/// Answering how long the leader has been silent, [`crate::peer::PeerRequest::LeaderSilence`].
pub const CAPABILITY_STANDBY: u32 = 4;
/// Acknowledging cancellations, [`crate::peer::PeerRequest::CancellationNotices`], and starting no
/// tasks while the own member key is absent.
pub const CAPABILITY_CANCELLATION_ACKNOWLEDGEMENT: u32 = 5;
/// Capability level of this version.
pub const CAPABILITIES: u32 = CAPABILITY_CANCELLATION_ACKNOWLEDGEMENT;

/// Machine that may hold tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name of the machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Whether the machine has sent a heartbeat. Tasks may start only on such a machine, so a
    /// machine that still boots never delays the proof that a task is on no machine.
    #[serde(default)]
    pub up: bool,
    /// Time of termination, set once termination is proven. The record is kept for a while so that
    /// late heartbeats are recognized as such.
    #[serde(rename = "gone", default, skip_serializing_if = "Option::is_none")]
    pub terminated_at: Option<WallTime>,
    /// Address of the machine's worker, for controllers that never received a heartbeat from the
    /// machine.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
}

impl MachineRecord {
    /// Returns the record that is kept of a machine terminated at `at`: the fact and the time of
    /// termination. A time already recorded is retained.
    pub fn tombstone(&self, at: WallTime) -> Self {
        MachineRecord {
            machine_type: String::new(),
            zone: String::new(),
            endpoint: String::new(),
            terminated_at: Some(self.terminated_at.unwrap_or(at)),
            ..*self
        }
    }
}

/// Machines whose records share a key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroup {
    /// Machines with their records.
    pub machines: Vec<(MachineId, MachineRecord)>,
}

/// Resources that the tasks of a cancelled job, or of a completed gang, may use until the tasks are
/// proven to have ended. They count towards quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualUsage {
    /// Team that owns the job.
    pub owner: String,
    /// Resources of each task.
    pub need: Resources,
    /// Number of tasks that were not done when the job ended; all tasks for a completed gang.
    #[serde(rename = "left")]
    pub unfinished_tasks: u32,
}

impl ResidualUsage {
    /// Returns the residual usage of a job with `done` completed tasks.
    pub(super) fn of(spec: &JobSpec, done: u32) -> Self {
        ResidualUsage {
            owner: spec.team.clone(),
            need: Resources::of(spec),
            unfinished_tasks: spec.task_count.saturating_sub(done),
        }
    }
}

/// Term under a key of its own, which remains when a leader's lease ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Highest term given out.
    pub term: Term,
}

/// Task ranges granted by epochs, the leader's scheduling rounds. Each of these tasks that is not
/// done may be running.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Term of the leader that wrote the record.
    pub term: Term,
    /// Granted task ranges by job.
    pub granted: Vec<(JobId, TaskRanges)>,
}
