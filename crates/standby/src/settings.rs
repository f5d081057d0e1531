//! The settings of the standby (`deploy/standby.toml`), and whether they fit the site.

use serde::Deserialize;
use thiserror::Error;

use crate::detector::MIN_SAMPLES;

/// Heartbeats that may be lost before the leader can be suspected.
const MIN_HEARTBEATS: u64 = 3;
/// Lower bound of the window, in records, from which a standby catches up without a snapshot.
const MIN_WINDOW: usize = 64;

/// Why the settings of the standby cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The field, with its path in the file.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// The settings of the standby. A field that is not known is an error, as a misspelt bound would go unnoticed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandbySettings {
    /// Names of the controllers that may replace the leader; all if there are none.
    pub controllers: Vec<String>,
    /// The leader is never suspected before this silence, in milliseconds.
    pub suspect_after_min_ms: u64,
    /// It is always suspected after this silence, in milliseconds.
    pub suspect_after_max_ms: u64,
    /// In between, it is suspected from this value of phi on: 8 is one false suspicion in 10^8 heartbeats, if
    /// they come as they did before.
    pub phi: f64,
    /// Heartbeats whose intervals are remembered.
    pub samples: usize,
    /// How much longer each further rank waits before it queries the others, in milliseconds.
    pub rank_delay_ms: u64,
    /// Decisions that the leader retains for standbys that are behind.
    pub window_records: usize,
    /// Most decisions in one batch.
    pub batch_records: usize,
}

impl Default for StandbySettings {
    fn default() -> Self {
        StandbySettings {
            controllers: Vec::new(),
            suspect_after_min_ms: 900,
            suspect_after_max_ms: 2_000,
            phi: 8.0,
            samples: 100,
            rank_delay_ms: 300,
            window_records: 16_384,
            batch_records: 2_048,
        }
    }
}

/// The site that the settings have to fit.
#[derive(Clone, Debug)]
pub struct Site<'a> {
    /// Names of all controllers of the site.
    pub controllers: Vec<&'a str>,
    /// The leader's lease in the state service, in milliseconds: without a standby the leader is replaced once it
    /// expires.
    pub leader_lease_ms: u64,
    /// Longest usual time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

impl StandbySettings {
    /// Checks the settings against the site.
    ///
    /// # Errors
    ///
    /// The first field that does not fit, and why.
    pub fn check(&self, site: &Site<'_>) -> Result<(), SettingsError> {
        self.check_controllers(site)?;
        self.check_bounds(site)?;
        self.check_log()
    }

    fn check_controllers(&self, site: &Site<'_>) -> Result<(), SettingsError> {
        let foreign =
            self.controllers.iter().find(|name| !site.controllers.contains(&name.as_str()));
        if let Some(name) = foreign {
            return error("standby.controllers", format!("{name} is no controller of this site"));
        }
        Ok(())
    }

    fn check_bounds(&self, site: &Site<'_>) -> Result<(), SettingsError> {
        let min_ms = site.heartbeat_ms * MIN_HEARTBEATS;
        if self.suspect_after_min_ms < min_ms {
            let reason = format!("must be {min_ms} or more, {MIN_HEARTBEATS} heartbeats");
            return error("standby.suspect_after_min_ms", reason);
        }
        if self.suspect_after_max_ms < self.suspect_after_min_ms {
            return error(
                "standby.suspect_after_max_ms",
                "must not be below suspect_after_min_ms".into(),
            );
        }
        if self.suspect_after_max_ms >= site.leader_lease_ms {
            let reason = format!(
                "must be below {}, the leader's lease, after which it is replaced in any case",
                site.leader_lease_ms
            );
            return error("standby.suspect_after_max_ms", reason);
        }
        if !(self.phi.is_finite() && self.phi >= 1.0) {
            return error("standby.phi", "must be a number of 1 or more".into());
        }
        if self.samples < MIN_SAMPLES {
            return error("standby.samples", format!("must be {MIN_SAMPLES} or more"));
        }
        if self.rank_delay_ms < site.heartbeat_ms {
            let reason = format!("must be {} or more, a heartbeat", site.heartbeat_ms);
            return error("standby.rank_delay_ms", reason);
        }
        Ok(())
    }

    fn check_log(&self) -> Result<(), SettingsError> {
        if self.window_records < MIN_WINDOW {
            return error("standby.window_records", format!("must be {MIN_WINDOW} or more"));
        }
        if self.batch_records == 0 || self.batch_records > self.window_records {
            return error("standby.batch_records", "must be between 1 and window_records".into());
        }
        Ok(())
    }

    /// Whether the controller of that name may replace the leader.
    pub fn allows(&self, controller: &str) -> bool {
        self.controllers.is_empty() || self.controllers.iter().any(|name| name == controller)
    }
}

fn error(field: &'static str, reason: String) -> Result<(), SettingsError> {
    Err(SettingsError { field, reason })
}

#[cfg(test)]
mod tests;
