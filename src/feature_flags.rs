//! What is enabled besides the scheduler itself, by files under `deploy/`.

use std::path::Path;

use serde::Deserialize;
use willowshore_standby::settings::{Site, StandbySettings};

use crate::config::{ConfigError, Settings};
use crate::lease::CONTROLLER_LEASE_MS;

/// Longest usual time between two summaries, which are the heartbeats that the standby watches: their period, their
/// least distance, and a slow answer.
const HEARTBEAT_MS: u64 = 260;

/// What is enabled.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureFlags {
    /// The warm standby.
    pub standby: Option<StandbySettings>,
}

impl FeatureFlags {
    /// Reads the files that enable something; each part may be enabled once.
    pub fn load<'a>(paths: impl IntoIterator<Item = &'a Path>) -> Result<Self, ConfigError> {
        let mut all = FeatureFlags::default();
        for path in paths {
            let text = std::fs::read_to_string(path)
                .map_err(|source| ConfigError::Read { path: path.display().to_string(), source })?;
            all.add(FeatureFlags::parse(&text).map_err(|e| in_file(path, e))?)
                .map_err(|e| in_file(path, e))?;
        }
        Ok(all)
    }

    /// Parses one file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        toml::from_str(text)
            .map_err(|e| ConfigError::Parse(e.to_string().trim().replace('\n', " ")))
    }

    fn add(&mut self, other: FeatureFlags) -> Result<(), ConfigError> {
        let Some(standby) = other.standby else {
            return Err(ConfigError::Parse("enables nothing".into()));
        };
        if self.standby.replace(standby).is_some() {
            return Err(field("standby", "is enabled twice"));
        }
        Ok(())
    }

    /// Checks what is enabled against the settings of the site.
    pub fn check(&self, settings: &Settings) -> Result<(), ConfigError> {
        let Some(standby) = &self.standby else { return Ok(()) };
        let (nodes, _) = settings.all_nodes();
        let site = Site {
            controllers: nodes.iter().map(|n| n.name.as_str()).collect(),
            leader_lease_ms: CONTROLLER_LEASE_MS,
            heartbeat_ms: HEARTBEAT_MS,
        };
        standby.check(&site).map_err(|e| field(e.field, &e.reason))
    }
}

fn field(field: &str, why: &str) -> ConfigError {
    ConfigError::Field { field: field.into(), why: why.into() }
}

/// Names the file in front of what is wrong with it.
fn in_file(path: &Path, error: ConfigError) -> ConfigError {
    ConfigError::Parse(format!("{}: {error}", path.display()))
}

#[cfg(test)]
mod tests;
