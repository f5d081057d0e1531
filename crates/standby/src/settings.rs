//! The settings of the standby (`deploy/standby.toml`), and their checks against the site.

use serde::Deserialize;
use thiserror::Error;

use crate::detector::MIN_SAMPLES;

/// Minimum number of usual heartbeat intervals before the leader can be suspected, so that single lost heartbeats do not
/// raise a suspicion.
const MIN_HEARTBEAT_INTERVALS: u64 = 3;
/// Lower bound of `window_records`: a standby that is up to this many records behind never needs a snapshot.
const MIN_WINDOW_RECORDS: usize = 64;

/// A setting of the standby that is not valid for the site.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The path of the field in the settings file.
    pub field: &'static str,
    /// Why the value is not valid.
    pub reason: String,
}

/// The settings of the standby. Unknown fields are errors, as the default of a misspelt field would apply unnoticed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandbySettings {
    /// Names of the controllers that may replace the leader. All controllers may if the list is empty.
    pub controllers: Vec<String>,
    /// The leader is never suspected before this time since its last heartbeat, in milliseconds.
    pub suspect_after_min_ms: u64,
    /// The leader is always suspected from this time since its last heartbeat on, in milliseconds.
    pub suspect_after_max_ms: u64,
    /// Between the two bounds, the leader is suspected from this value of phi on. With 8, one of 10^8 heartbeats causes
    /// a false suspicion, provided that the distribution of the intervals does not change.
    pub phi: f64,
    /// The maximum number of heartbeat intervals from which phi is computed; the latest ones are used.
    pub samples: usize,
    /// How much longer a controller waits before it queries the others about the leader than the controller ranked before
    /// it ([`crate::failover_order`]), in milliseconds.
    pub rank_delay_ms: u64,
    /// The number of decisions that the leader retains for standbys that are behind.
    pub window_records: usize,
    /// The maximum number of decisions in a batch.
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

/// The properties of the site against which the settings are checked.
#[derive(Clone, Debug)]
pub struct Site<'a> {
    /// The names of all controllers of the site.
    pub controllers: Vec<&'a str>,
    /// The duration of the leader's lease in the state service, in milliseconds. Without a standby, the leader is replaced
    /// once the lease expires.
    pub leader_lease_ms: u64,
    /// The longest usual interval between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

impl StandbySettings {
    /// Checks the settings against the properties of the site.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not valid, and the reason.
    pub fn check(&self, site: &Site<'_>) -> Result<(), SettingsError> {
        self.check_controllers(site)?;
        self.check_bounds(site)?;
        self.check_log()
    }

    fn check_controllers(&self, site: &Site<'_>) -> Result<(), SettingsError> {
        let unknown =
            self.controllers.iter().find(|name| !site.controllers.contains(&name.as_str()));
        if let Some(name) = unknown {
            return error(
                "standby.controllers",
                format!("{name} is not a controller of this site"),
            );
        }
        Ok(())
    }

    fn check_bounds(&self, site: &Site<'_>) -> Result<(), SettingsError> {
        let min_ms = site.heartbeat_ms * MIN_HEARTBEAT_INTERVALS;
        if self.suspect_after_min_ms < min_ms {
            let reason =
                format!("must be {min_ms} or more ({MIN_HEARTBEAT_INTERVALS} heartbeat intervals)");
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
                "must be below {}, the leader's lease in ms, after which the leader is replaced in any case",
                site.leader_lease_ms
            );
            return error("standby.suspect_after_max_ms", reason);
        }
        if !(self.phi.is_finite() && self.phi >= 1.0) {
            return error("standby.phi", "must be a finite number of 1 or more".into());
        }
        if self.samples < MIN_SAMPLES {
            return error("standby.samples", format!("must be {MIN_SAMPLES} or more"));
        }
        if self.rank_delay_ms < site.heartbeat_ms {
            let reason = format!("must be {} or more (1 heartbeat interval)", site.heartbeat_ms);
            return error("standby.rank_delay_ms", reason);
        }
        Ok(())
    }

    fn check_log(&self) -> Result<(), SettingsError> {
        if self.window_records < MIN_WINDOW_RECORDS {
            return error(
                "standby.window_records",
                format!("must be {MIN_WINDOW_RECORDS} or more"),
            );
        }
        if self.batch_records == 0 || self.batch_records > self.window_records {
            return error("standby.batch_records", "must be between 1 and window_records".into());
        }
        Ok(())
    }

    /// Whether the controller with this name may replace the leader.
    pub fn allows(&self, controller: &str) -> bool {
        self.controllers.is_empty() || self.controllers.iter().any(|name| name == controller)
    }
}

fn error(field: &'static str, reason: String) -> Result<(), SettingsError> {
    Err(SettingsError { field, reason })
}

#[cfg(test)]
mod tests;
