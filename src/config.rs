//! The settings file that the platform provides, which is checked once at startup. [`settings`] defines its types, and
//! [`timing`] the times derived from it. Errors give the path of the field in the file.

mod checks;
pub mod settings;
pub mod timing;

use std::net::SocketAddr;
use std::path::Path;

use thiserror::Error;

use crate::model::NodeId;

pub use settings::{
    CloudLimits, ExternalServices, Limits, NextLimits, Objective, ObjectiveKind, Params, Peer,
    Settings, StoreLimits, Team, WorkerSettings,
};
pub use timing::HeartbeatTiming;

/// Why the settings are invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is missing or has the wrong type.
    #[error("{0}")]
    Parse(String),
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field in the file.
        field: String,
        /// What is wrong with the value.
        reason: String,
    },
}

/// A controller of the deployment. Its [`NodeId`] is its index in [`Settings::all_nodes`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeInfo {
    /// Name of the controller.
    pub name: String,
    /// Zone of the controller.
    pub zone: String,
    /// Address for the other controllers.
    pub peer_addr: SocketAddr,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or parsed, or has a field with an invalid value.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// Returns an error if the text cannot be parsed or has a field with an invalid value.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut settings: Settings = toml::from_str(text)
            .map_err(|error| ConfigError::Parse(error.to_string().trim().replace('\n', " ")))?;
        settings.check()?;
        settings.params.store.apply_next_limits();
        Ok(settings)
    }

    /// Returns all controllers ordered by name, which is the same order on each of them, and the index of this one.
    pub fn all_nodes(&self) -> (Vec<NodeInfo>, NodeId) {
        let mut nodes: Vec<NodeInfo> = self
            .peers
            .iter()
            .map(|peer| NodeInfo {
                name: peer.node_name.clone(),
                zone: peer.zone.clone(),
                peer_addr: peer.peer_addr,
            })
            .collect();
        nodes.push(NodeInfo {
            name: self.node_name.clone(),
            zone: self.zone.clone(),
            peer_addr: self.peer_addr,
        });
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        let me = nodes.iter().position(|node| node.name == self.node_name).unwrap_or(0);
        (nodes, NodeId(me as u8))
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|team| team.name == name)
    }

    /// Time in milliseconds for which a controller may renew leases of workers after its own lease was last renewed or
    /// its replica was last known to be current, whichever was earlier. It is `cancel_s` minus a whole worker lease and
    /// a margin. `docs/safety.md` explains why the tasks of a lost controller have ended by then.
    pub fn keep_alive_ms(&self) -> u64 {
        let workers = &self.params.workers;
        let margin_s = 2.0 + workers.cancel_s * 0.001;
        ((workers.cancel_s - workers.lease_s - margin_s).max(1.0) * 1000.0) as u64
    }

    /// Duration of a worker's lease in milliseconds.
    pub fn worker_lease_ms(&self) -> u64 {
        (self.params.workers.lease_s * 1000.0) as u64
    }

    /// Returns the times derived from the heartbeat interval.
    pub fn timing(&self) -> HeartbeatTiming {
        HeartbeatTiming::new(&self.params.workers)
    }
}

#[cfg(test)]
pub(crate) mod tests;
