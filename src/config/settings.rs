//! The types of the settings file. Serde attributes map field names that differ from the keys of the file.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::model::Cores;

/// The settings of one controller and its deployment. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub node_name: String,
    /// Zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Public address, for users, workers and health checks.
    pub api_addr: SocketAddr,
    /// Address for the other controllers.
    #[serde(rename = "back")]
    pub peer_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    #[serde(rename = "known")]
    pub peers: Vec<Peer>,
    /// Addresses of the external services.
    #[serde(rename = "outside")]
    pub external: ExternalServices,
    /// Parameters of the deployment.
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub node_name: String,
    /// Zone of the controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its address for the other controllers, which is `back` in its own settings.
    #[serde(rename = "address")]
    pub peer_addr: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the state store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Parameters of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Number of controllers.
    pub nodes: u32,
    /// The zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Objectives for the start and completion of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Heartbeat interval, lease and time limits of workers.
    pub workers: WorkerSettings,
    /// Limits of the state store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources of the controller process.
    #[serde(default)]
    pub limits: Limits,
}

/// A team with its guaranteed resources and its limits. 0 stands for no guarantee or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed vCPUs.
    #[serde(default, rename = "cpus")]
    pub guaranteed_vcpus: f64,
    /// Maximum number of vCPUs in use; 0 for no limit.
    #[serde(default, rename = "cpus_max")]
    pub max_vcpus: f64,
    /// Guaranteed accelerators.
    #[serde(default, rename = "gpus")]
    pub guaranteed_accelerators: f64,
    /// Maximum number of accelerators in use; 0 for no limit.
    #[serde(default, rename = "gpus_max")]
    pub max_accelerators: f64,
}

impl Team {
    /// Returns the limit on vCPUs, if there is one.
    pub fn core_limit(&self) -> Option<Cores> {
        (self.max_vcpus > 0.0).then(|| Cores::round_down(self.max_vcpus))
    }
    /// Returns the limit on accelerators, if there is one.
    pub fn accelerator_limit(&self) -> Option<Cores> {
        (self.max_accelerators > 0.0).then(|| Cores::round_down(self.max_accelerators))
    }
}

/// An objective for the start or the completion of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective.
    pub kind: ObjectiveKind,
    /// Class of the jobs to which the objective applies, if it is limited to one.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit in seconds, if the objective has one.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// The kind of an objective. Any string is accepted in the file, as platforms may use kinds unknown to this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// `finished`: jobs of a class complete within a time after they were accepted.
    Finished,
    /// `deadline`: jobs complete by their own deadlines.
    Deadline,
    /// `wait`: tasks of a class start within a time.
    Wait,
    /// `guarantee`: work within a team's guarantee starts within a time.
    Guarantee,
    /// Any other kind. Objectives of this kind are ignored.
    Other,
}

impl From<String> for ObjectiveKind {
    fn from(text: String) -> Self {
        match text.as_str() {
            "finished" => Self::Finished,
            "deadline" => Self::Deadline,
            "wait" => Self::Wait,
            "guarantee" => Self::Guarantee,
            _ => Self::Other,
        }
    }
}

/// Heartbeat interval, lease and time limits of workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Duration of a worker's lease. A worker that gets no response for this time ends all its tasks.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job have to end.
    pub cancel_s: f64,
    /// Time for which a task of a gang waits for the other tasks to start.
    #[serde(default = "default_gang_wait_s")]
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang notice that one of them was lost, and within which all have to be stopped.
    #[serde(default = "default_gang_peer_s")]
    pub gang_peer_s: f64,
}

/// Default of `gang_wait_s`, for settings files written before gangs were supported.
fn default_gang_wait_s() -> f64 {
    30.0
}

/// Default of `gang_peer_s`, for settings files written before gangs were supported.
fn default_gang_peer_s() -> f64 {
    5.0
}

/// Limits of the state store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Maximum requests per second of all controllers together.
    pub rps: f64,
    /// Maximum changes per second of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of changes per transaction.
    pub txn_ops: usize,
    /// Limits that the store will switch to at an unknown time, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the state store. A missing limit stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NextLimits {
    /// Maximum requests per second of all controllers together.
    pub rps: Option<f64>,
    /// Maximum changes per second of all controllers together.
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of changes per transaction.
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Lowers each limit to the future limit if that is lower. The time at which the future limits take effect is not
    /// known, so writes comply with both sets of limits from the start.
    pub(super) fn apply_next_limits(&mut self) {
        let Some(next) = self.next.clone() else { return };
        self.rps = next.rps.map_or(self.rps, |rps| rps.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |rps| rps.min(self.write_rps));
        self.value_kb = next.value_kb.map_or(self.value_kb, |kb| kb.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops));
    }

    /// Maximum size of a value in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Time in seconds by which the cloud's list of machines lags behind the actual state.
    pub list_lag_s: f64,
}

/// Resources that the controller process may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Number of CPU cores, which need not be whole.
    pub cores: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: 1.0, ram_mb: 256.0, sockets: 1024 }
    }
}
