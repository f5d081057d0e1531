//! The settings file that the platform hands over, checked once at the start: its [`settings`] types, the
//! checks, and the [`timing`] that follows from it. Errors name fields as the file does.

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

/// A controller as all of them number it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeInfo {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where the other controllers reach it.
    pub peer_addr: SocketAddr,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Says whether the file cannot be read, is not of the right form, or which field is wrong.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// As for [`load`](Self::load).
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut settings: Settings = toml::from_str(text)
            .map_err(|error| ConfigError::Parse(error.to_string().trim().replace('\n', " ")))?;
        settings.check()?;
        settings.params.store.apply_stricter();
        Ok(settings)
    }

    /// All controllers in the order that all of them use, by name, and this one's place among them.
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

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|team| team.name == name)
    }

    /// How long a node may keep workers alive after its last proof of being current, in
    /// milliseconds: what remains of `cancel_s` after a whole worker lease and a margin.
    /// `docs/safety.md` says why a lost controller's tasks have ended by then.
    pub fn keep_alive_ms(&self) -> u64 {
        let workers = &self.params.workers;
        let margin = 2.0 + workers.cancel_s * 0.001;
        ((workers.cancel_s - workers.lease_s - margin).max(1.0) * 1000.0) as u64
    }

    /// A worker's lease in milliseconds.
    pub fn worker_lease_ms(&self) -> u64 {
        (self.params.workers.lease_s * 1000.0) as u64
    }

    /// Times that follow from the interval of heartbeats.
    pub fn timing(&self) -> HeartbeatTiming {
        HeartbeatTiming::of(&self.params.workers)
    }
}

#[cfg(test)]
pub(crate) mod tests;
