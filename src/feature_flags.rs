//! Optional features, which are enabled by files given with `--enable`, such as `deploy/standby.toml`.

use std::path::Path;

use serde::Deserialize;
use willowshore_standby::settings::{Site, StandbySettings};

use crate::config::{ConfigError, Settings};
use crate::lease::CONTROLLER_LEASE_MS;

/// Longest interval in milliseconds between two summaries in normal operation: the longest wait before a summary (200)
/// plus the shortest pause after it (60). The standby detects a silent leader by the responses to summaries.
const SUMMARY_INTERVAL_MAX_MS: u64 = 260;

/// The enabled features.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureFlags {
    /// Settings of the warm standby, if it is enabled.
    pub standby: Option<StandbySettings>,
}

impl FeatureFlags {
    /// Reads the files that enable features and merges them. Each feature may be enabled once. Errors name the file.
    pub fn load<'a>(paths: impl IntoIterator<Item = &'a Path>) -> Result<Self, ConfigError> {
        let mut merged = FeatureFlags::default();
        for path in paths {
            let text = std::fs::read_to_string(path)
                .map_err(|source| ConfigError::Read { path: path.display().to_string(), source })?;
            merged
                .merge(FeatureFlags::parse(&text).map_err(|e| in_file(path, e))?)
                .map_err(|e| in_file(path, e))?;
        }
        Ok(merged)
    }

    /// Parses the text of one file. An unknown field is an error.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        toml::from_str(text)
            .map_err(|e| ConfigError::Parse(e.to_string().trim().replace('\n', " ")))
    }

    /// Adds the features of another file.
    fn merge(&mut self, other: FeatureFlags) -> Result<(), ConfigError> {
        let Some(standby) = other.standby else {
            return Err(ConfigError::Parse("the file enables no feature".into()));
        };
        if self.standby.replace(standby).is_some() {
            return Err(invalid_field("standby", "is enabled more than once"));
        }
        Ok(())
    }

    /// Checks the features against the settings of the deployment. Errors name the field.
    pub fn check(&self, settings: &Settings) -> Result<(), ConfigError> {
        let Some(standby) = &self.standby else { return Ok(()) };
        let (nodes, _) = settings.all_nodes();
        let site = Site {
            controllers: nodes.iter().map(|n| n.name.as_str()).collect(),
            leader_lease_ms: CONTROLLER_LEASE_MS,
            heartbeat_ms: SUMMARY_INTERVAL_MAX_MS,
        };
        standby.check(&site).map_err(|e| invalid_field(e.field, &e.reason))
    }
}

fn invalid_field(field: &str, reason: &str) -> ConfigError {
    ConfigError::Field { field: field.into(), reason: reason.into() }
}

/// Prefixes an error with the path of its file.
fn in_file(path: &Path, error: ConfigError) -> ConfigError {
    ConfigError::Parse(format!("{}: {error}", path.display()))
}

#[cfg(test)]
mod tests;
