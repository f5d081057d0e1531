//! Features that are enabled besides the scheduler itself, by files such as those under `deploy/`.

use std::path::Path;

use serde::Deserialize;
use willowshore_standby::settings::{Site, StandbySettings};

use crate::config::{ConfigError, Settings};
use crate::lease::CONTROLLER_LEASE_MS;

/// Longest usual time, in milliseconds, between two summaries, which are what the standby hears the leader by: the
/// longest wait for a summary (200) and the shortest pause after it (60).
const HEARTBEAT_MS: u64 = 260;

/// The features that are enabled.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureFlags {
    /// The warm standby.
    pub standby: Option<StandbySettings>,
}

impl FeatureFlags {
    /// Reads the files that enable features; each may be enabled once. Errors name the file.
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

    /// Parses the text of one file; an unknown field is an error.
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

    /// Checks the features against the settings of the site. Errors name the field.
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

/// Puts the file in front of what is wrong with it.
fn in_file(path: &Path, error: ConfigError) -> ConfigError {
    ConfigError::Parse(format!("{}: {error}", path.display()))
}

#[cfg(test)]
mod tests;
