//! What controllers write to the state service, as records.

use serde::{Deserialize, Serialize};

use crate::model::{Incarnation, JobId, MachineId, NodeId, Ranges, Term, WallTime};
use crate::placement::Resources;
use crate::wire::{JobSpec, JobState};

/// A job as it was accepted.
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
    /// Tasks that completed.
    #[serde(default)]
    pub done: Ranges,
    /// What a gang that is done may still use. All of its tasks are done once one is, but a machine
    /// that hangs or cannot be reached has its tasks until they are gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang: Option<ResidualUsage>,
}

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader.
    pub node: NodeId,
    /// The life of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its term.
    pub term: Term,
}

/// A controller that is up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The life of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its program's version; empty for those before 0.2.
    #[serde(default)]
    pub version: String,
    /// What it understands, see [`CAPABILITIES`]; 0 for the version before gangs.
    #[serde(default)]
    #[serde(rename = "speaks")]
    pub capabilities: u32,
}

/// What a controller understands that knows gangs: [`crate::peer::Stop`], waiting tasks, and that a
/// gang is done as a whole.
pub const CAPABILITY_GANGS: u32 = 1;
/// What a controller understands that is told of cancellations directly, [`crate::peer::PeerRequest::Ended`].
pub const CAPABILITY_CANCELLATION_NOTICE: u32 = 2;
/// What one understands that starts tasks granted ahead, [`crate::peer::PlanBody::ahead`].
pub const CAPABILITY_GRANTS_AHEAD: u32 = 3;
/// What one understands that is asked when it heard the leader, [`crate::peer::PeerRequest::LeaderSilence`].
pub const CAPABILITY_STANDBY: u32 = 4;
/// What this version understands.
pub const CAPABILITIES: u32 = CAPABILITY_STANDBY;

/// A machine that tasks may be on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Whether it has reported. Only then may tasks start on it, so a machine that still
    /// boots never holds up the proof that a task is nowhere.
    #[serde(default)]
    pub up: bool,
    /// Set once it is proven gone; the key stays for a while so that late reports are known
    /// for what they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone: Option<WallTime>,
    /// Where its worker listens, for controllers that it never reported to.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
}

impl MachineRecord {
    /// What is kept of it once it is gone: that it is.
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

/// Machines that are written together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroup {
    /// The machines.
    pub machines: Vec<(MachineId, MachineRecord)>,
}

/// What the tasks of a cancelled job, or of a gang that is done, use as long as they are not gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualUsage {
    /// Its team.
    pub owner: String,
    /// What each task takes.
    pub need: Resources,
    /// Tasks that were not done.
    pub left: u32,
}

impl ResidualUsage {
    pub(super) fn of(spec: &JobSpec, done: u32) -> Self {
        let left = spec.task_count.saturating_sub(done);
        ResidualUsage { owner: spec.team.clone(), need: Resources::of(spec), left }
    }
}

/// The term as a key of its own, which stays when a leader's lease ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term given out.
    pub term: Term,
}

/// Task ranges granted by an epoch: any of these tasks that is not done may be running.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The term that wrote it.
    pub term: Term,
    /// Granted tasks.
    pub granted: Vec<(JobId, Ranges)>,
}
