//! The settings file that the platform hands over, checked once at the start.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use crate::model::{Cores, NodeId};

/// Why the settings cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file's path.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not TOML, or a field is missing or of the wrong type.
    #[error("{0}")]
    Parse(String),
    /// A field's value makes no sense.
    #[error("{field}: {why}")]
    Field {
        /// The field, with its path in the file.
        field: String,
        /// What is wrong with it.
        why: String,
    },
}

/// The settings. Fields that are not known are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub node_name: String,
    /// Its zone.
    pub site: String,
    /// Where users, workers and health checks reach it.
    pub api_addr: SocketAddr,
    /// Where the other controllers reach it.
    pub back: SocketAddr,
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
    pub site: String,
    /// Its `back` address.
    pub address: SocketAddr,
}

/// Addresses of the outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
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
    /// Workers' rhythm and leases.
    pub workers: WorkerSettings,
    /// Budgets of the state service.
    pub state: StoreLimits,
    /// Budgets of the cloud.
    pub cloud: CloudLimits,
    /// What this process may use.
    #[serde(default)]
    pub limits: Limits,
}

/// A team with its guarantee and its limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// Most cores at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// The limit on cores, if there is one.
    pub fn core_limit(&self) -> Option<Cores> {
        (self.cpus_max > 0.0).then(|| Cores::offer(self.cpus_max))
    }
    /// The limit on accelerators, if there is one.
    pub fn accelerator_limit(&self) -> Option<Cores> {
        (self.gpus_max > 0.0).then(|| Cores::offer(self.gpus_max))
    }
}

/// One aim on starting or finishing.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `finished`, `deadline`, `wait` or `guarantee`.
    pub kind: String,
    /// The class of jobs, if it is about one.
    #[serde(default)]
    pub class: Option<String>,
    /// The time that counts, if it has one.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Workers' rhythm and leases.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Seconds between two reports.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// The time within which a cancelled job's tasks have to be gone.
    pub cancel_s: f64,
    /// How long a gang's task waits for the others.
    #[serde(default = "gang_wait_s")]
    pub gang_wait_s: f64,
    /// The time within which a gang's tasks notice that one is gone, and must all be told to stop.
    #[serde(default = "gang_peer_s")]
    pub gang_peer_s: f64,
}

fn gang_wait_s() -> f64 {
    30.0
}

fn gang_peer_s() -> f64 {
    5.0
}

/// Budgets of the state service.
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
    /// The limits that the service will have from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits of the state service to come; what is missing stays.
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
    /// Takes the lower of both sets of limits. Nobody tells when the next ones begin to hold, so
    /// what is written keeps both from the start.
    fn take_stricter(&mut self) {
        let Some(next) = self.next.clone() else { return };
        self.rps = next.rps.map_or(self.rps, |n| n.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |n| n.min(self.write_rps));
        self.value_kb = next.value_kb.map_or(self.value_kb, |n| n.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
    }

    /// Bytes of a value that a writer fills.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// Budgets of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How late its list is.
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

/// A controller as everybody numbers it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeInfo {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its `back` address.
    pub back: SocketAddr,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut settings: Settings = toml::from_str(text)
            .map_err(|e| ConfigError::Parse(e.to_string().trim().replace('\n', " ")))?;
        settings.check()?;
        settings.params.state.take_stricter();
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let bad = |field: &str, why: &str| {
            Err(ConfigError::Field { field: field.to_string(), why: why.to_string() })
        };
        if self.node_name.is_empty() {
            return bad("node_name", "is empty");
        }
        let p = &self.params;
        if p.nodes as usize != self.peers.len() + 1 {
            return bad("params.nodes", "does not match the controllers listed in known");
        }
        if p.nodes > 32 {
            return bad("params.nodes", "more than 32 controllers are not supported");
        }
        let mut names: Vec<&str> = self.peers.iter().map(|k| k.node_name.as_str()).collect();
        names.push(&self.node_name);
        names.sort_unstable();
        if names.windows(2).any(|w| w[0] == w[1]) {
            return bad("known", "two controllers have the same name");
        }
        let positive = [
            ("params.workers.report_s", p.workers.report_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.cloud.rps", p.cloud.rps),
            ("params.workers.gang_wait_s", p.workers.gang_wait_s),
            ("params.workers.gang_peer_s", p.workers.gang_peer_s),
        ];
        let next = p.state.next.clone().unwrap_or_default();
        let to_come = [
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
        ];
        let positive = positive.into_iter().chain(to_come.map(|(f, v)| (f, v.unwrap_or(1.0))));
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return bad(field, "must be a number above 0");
            }
        }
        if p.workers.cancel_s < p.workers.lease_s + 4.0 {
            return bad(
                "params.workers.cancel_s",
                "must exceed lease_s by 4 s or more, or cancelled tasks can't be proven gone in time",
            );
        }
        for (field, ops) in [
            ("params.state.txn_ops", Some(p.state.txn_ops)),
            ("params.state.next.txn_ops", next.txn_ops),
        ] {
            if ops.is_some_and(|n| n < 2) {
                return bad(field, "must be 2 or more");
            }
        }
        for (field, kb) in [
            ("params.state.value_kb", Some(p.state.value_kb)),
            ("params.state.next.value_kb", next.value_kb),
        ] {
            if kb.is_some_and(|kb| kb < 1.0) {
                return bad(field, "must be 1 or more, or an accepted job may not fit");
            }
        }
        for team in &p.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                return bad(
                    "params.teams",
                    &format!("amounts of {} must not be negative", team.name),
                );
            }
        }
        if p.limits.sockets < 64 {
            return bad("params.limits.sockets", "must be 64 or more");
        }
        Ok(())
    }

    /// All controllers in the order that everybody uses, and this one's place among them.
    pub fn all_nodes(&self) -> (Vec<NodeInfo>, NodeId) {
        let mut nodes: Vec<NodeInfo> = self
            .peers
            .iter()
            .map(|k| NodeInfo { name: k.node_name.clone(), zone: k.site.clone(), back: k.address })
            .collect();
        nodes.push(NodeInfo {
            name: self.node_name.clone(),
            zone: self.site.clone(),
            back: self.back,
        });
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        let me = nodes.iter().position(|n| n.name == self.node_name).unwrap_or(0);
        (nodes, NodeId(me as u8))
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }

    /// How long a node may keep workers alive after its last proof of being current, in
    /// milliseconds: what is left of `cancel_s` once a whole worker lease and a margin
    /// are taken off.
    pub fn keep_alive_ms(&self) -> u64 {
        let w = &self.params.workers;
        let margin = 2.0 + w.cancel_s * 0.001;
        (((w.cancel_s - w.lease_s - margin).max(1.0)) * 1000.0) as u64
    }

    /// A worker's lease in milliseconds.
    pub fn worker_lease_ms(&self) -> u64 {
        (self.params.workers.lease_s * 1000.0) as u64
    }

    /// What follows from how often workers report.
    pub fn timing(&self) -> HeartbeatTiming {
        HeartbeatTiming::of(&self.params.workers)
    }
}

/// Times that follow from how often workers report, in milliseconds. The least values are those
/// that a loaded controller and the way of a message need, however often workers report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Usual time between two reports.
    pub report_ms: u64,
    /// Longest time between two reports of a worker that is answered: a quarter more.
    pub gap_ms: u64,
    /// A machine that has not reported for that long takes nothing new. A longer time gives tasks
    /// to machines that are dead, a shorter one closes machines that are well.
    pub silent_ms: u64,
    /// A grant that was not used for that long is taken back: it waits for a report of
    /// the machine that it was meant for, and that machine may have been full.
    pub unused_ms: u64,
    /// A machine that reports to a controller other than its owner counts as being there for that
    /// long after a report.
    pub out_of_reach_ms: u64,
    /// A machine that was well and has not reported for that long has stopped, if its owner
    /// hears others.
    pub quick_ms: u64,
    /// How long a controller remembers which machines it answered: whoever asks it learns of every
    /// answer whose lease may still run.
    pub answers_ms: u64,
}

impl HeartbeatTiming {
    /// The times for workers that report like that.
    pub fn of(w: &WorkerSettings) -> Self {
        let report_ms = (w.report_s * 1000.0) as u64;
        let lease_ms = (w.lease_s * 1000.0) as u64;
        let gap_ms = report_ms + report_ms / 4;
        HeartbeatTiming {
            report_ms,
            gap_ms,
            silent_ms: (gap_ms + 2_000).max(4_000),
            unused_ms: (gap_ms + 2_500).max(4_500),
            out_of_reach_ms: (gap_ms + 1_000).max(3_000),
            quick_ms: (report_ms * 4).clamp(5_000, lease_ms.max(5_000)),
            answers_ms: (lease_ms * 3).max(120_000),
        }
    }

    /// Seconds until a machine that reported so many milliseconds ago does so again. The longer one
    /// is overdue, the likelier it has stopped.
    pub fn delay_s(&self, since_ms: u64) -> f64 {
        self.report_ms.abs_diff(since_ms) as f64 / 1000.0
    }
}

#[cfg(test)]
pub(crate) mod tests;
