//! The types of the settings file. Fields have the field's names in the code, and the file's by serde.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::model::Cores;

/// The settings. Fields that are not known are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub node_name: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where users, workers and health checks reach it.
    pub api_addr: SocketAddr,
    /// Where the other controllers reach it.
    #[serde(rename = "back")]
    pub peer_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    #[serde(rename = "known")]
    pub peers: Vec<Peer>,
    /// The outside services.
    #[serde(rename = "outside")]
    pub external: ExternalServices,
    /// What the deployment is like.
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node_name: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where the other controllers reach it, its `back`.
    #[serde(rename = "address")]
    pub peer_addr: SocketAddr,
}

/// Addresses of the outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Parameters of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// How many controllers there are.
    pub nodes: u32,
    /// The zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What is expected per class of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' heartbeats and leases.
    pub workers: WorkerSettings,
    /// Budgets of the state store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Budgets of the cloud.
    pub cloud: CloudLimits,
    /// What this process may use.
    #[serde(default)]
    pub limits: Limits,
}

/// A team with its guaranteed resources and its limits; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed vCPUs.
    #[serde(default, rename = "cpus")]
    pub guaranteed_vcpus: f64,
    /// Most vCPUs at any time.
    #[serde(default, rename = "cpus_max")]
    pub max_vcpus: f64,
    /// Guaranteed accelerators.
    #[serde(default, rename = "gpus")]
    pub guaranteed_accelerators: f64,
    /// Most accelerators at any time.
    #[serde(default, rename = "gpus_max")]
    pub max_accelerators: f64,
}

impl Team {
    /// The limit on vCPUs, if there is one.
    pub fn core_limit(&self) -> Option<Cores> {
        (self.max_vcpus > 0.0).then(|| Cores::round_down(self.max_vcpus))
    }
    /// The limit on accelerators, if there is one.
    pub fn accelerator_limit(&self) -> Option<Cores> {
        (self.max_accelerators > 0.0).then(|| Cores::round_down(self.max_accelerators))
    }
}

/// An objective for the start or the completion of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What it states.
    pub kind: ObjectiveKind,
    /// The class of jobs, if it is about one.
    #[serde(default)]
    pub class: Option<String>,
    /// The time that counts, if it has one.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// What an objective states. A string in the file; any is accepted, as platforms may know kinds that this version
/// does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Jobs of a class are done within a time after their acceptance, `finished`.
    Finished,
    /// Jobs are done by their own deadlines, `deadline`.
    Deadline,
    /// Tasks of a class start within a time, `wait`.
    Wait,
    /// Work within a team's guarantee starts within a time, `guarantee`.
    Guarantee,
    /// Any other kind, which is passed over.
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

/// Workers' heartbeats and leases, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// A worker's lease: without an answer for that long, it ends all its tasks.
    pub lease_s: f64,
    /// The time within which a cancelled job's tasks have to end.
    pub cancel_s: f64,
    /// How long a gang's task waits for the others to start.
    #[serde(default = "gang_wait_s")]
    pub gang_wait_s: f64,
    /// The time within which a gang's tasks notice that one was lost, and all must have been stopped.
    #[serde(default = "gang_peer_s")]
    pub gang_peer_s: f64,
}

/// The value where the settings give none, as they did before gangs.
fn gang_wait_s() -> f64 {
    30.0
}

/// The value where the settings give none, as they did before gangs.
fn gang_peer_s() -> f64 {
    5.0
}

/// Budgets of the state store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests a second, all controllers together.
    pub rps: f64,
    /// Changes a second, all controllers together.
    pub write_rps: f64,
    /// KiB per value.
    pub value_kb: f64,
    /// Changes per transaction.
    pub txn_ops: usize,
    /// The limits that the store will have from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits of the state store to come; what is missing stays.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NextLimits {
    /// Requests a second, all controllers together.
    pub rps: Option<f64>,
    /// Changes a second, all controllers together.
    pub write_rps: Option<f64>,
    /// KiB per value.
    pub value_kb: Option<f64>,
    /// Changes per transaction.
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Applies the lower of both sets of limits. When the next ones begin to hold is not known, so
    /// what is written keeps both from the start.
    pub(super) fn apply_stricter(&mut self) {
        let Some(next) = self.next.clone() else { return };
        self.rps = next.rps.map_or(self.rps, |rps| rps.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |rps| rps.min(self.write_rps));
        self.value_kb = next.value_kb.map_or(self.value_kb, |kb| kb.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops));
    }

    /// Bytes that a value may have.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// Budgets of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Seconds by which its list of machines lags behind.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Share of a core.
    pub cores: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Open sockets.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: 1.0, ram_mb: 256.0, sockets: 1024 }
    }
}
