//! Validation of the settings at startup. Errors give the path of the invalid field in the file.

use super::{ConfigError, NextLimits, Params, Settings};

/// Maximum supported number of controllers.
const MAX_CONTROLLERS: u32 = 32;
/// Minimum time in seconds by which `cancel_s` exceeds `lease_s`. It leaves time to renew leases of workers
/// ([`Settings::keep_alive_ms`]) and a margin.
const CANCEL_MARGIN_S: f64 = 4.0;
/// Minimum number of changes per transaction. An election writes the records of the leader and of the term in one
/// transaction.
const MIN_TXN_OPS: usize = 2;
/// Minimum size limit of a value in KiB. The largest job description has to fit.
const MIN_VALUE_KB: f64 = 1.0;
/// Minimum number of sockets that suffices for workers, users and peers.
const MIN_SOCKETS: usize = 64;

/// Returns the error for an invalid field.
fn invalid<T>(field: &str, reason: &str) -> Result<T, ConfigError> {
    Err(ConfigError::Field { field: field.to_string(), reason: reason.to_string() })
}

impl Settings {
    /// Checks the settings and returns an error for the first invalid field.
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        self.check_controllers()?;
        let params = &self.params;
        let next = params.store.next.clone().unwrap_or_default();
        params.check_rates_and_times(&next)?;
        params.check_store(&next)?;
        params.check_teams()?;
        if params.limits.sockets < MIN_SOCKETS {
            return invalid("params.limits.sockets", "must be 64 or more");
        }
        Ok(())
    }

    fn check_controllers(&self) -> Result<(), ConfigError> {
        if self.node_name.is_empty() {
            return invalid("node_name", "must not be empty");
        }
        if self.params.nodes as usize != self.peers.len() + 1 {
            return invalid("params.nodes", "must be the number of controllers in known plus 1");
        }
        if self.params.nodes > MAX_CONTROLLERS {
            return invalid("params.nodes", "must be 32 or less");
        }
        let mut names: Vec<&str> = self.peers.iter().map(|peer| peer.node_name.as_str()).collect();
        names.push(&self.node_name);
        names.sort_unstable();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return invalid("known", "controllers must have different names");
        }
        Ok(())
    }
}

impl Params {
    fn check_rates_and_times(&self, next: &NextLimits) -> Result<(), ConfigError> {
        let positive = [
            ("params.workers.report_s", Some(self.workers.heartbeat_s)),
            ("params.workers.lease_s", Some(self.workers.lease_s)),
            ("params.workers.cancel_s", Some(self.workers.cancel_s)),
            ("params.state.rps", Some(self.store.rps)),
            ("params.state.write_rps", Some(self.store.write_rps)),
            ("params.state.value_kb", Some(self.store.value_kb)),
            ("params.cloud.rps", Some(self.cloud.rps)),
            ("params.workers.gang_wait_s", Some(self.workers.gang_wait_s)),
            ("params.workers.gang_peer_s", Some(self.workers.gang_peer_s)),
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
        ];
        for (field, value) in positive {
            if value.is_some_and(|value| !(value.is_finite() && value > 0.0)) {
                return invalid(field, "must be a number above 0");
            }
        }
        if self.workers.cancel_s < self.workers.lease_s + CANCEL_MARGIN_S {
            return invalid(
                "params.workers.cancel_s",
                "must exceed lease_s by 4 s or more, so that cancelled tasks are known to have ended in time",
            );
        }
        Ok(())
    }

    fn check_store(&self, next: &NextLimits) -> Result<(), ConfigError> {
        for (field, ops) in [
            ("params.state.txn_ops", Some(self.store.txn_ops)),
            ("params.state.next.txn_ops", next.txn_ops),
        ] {
            if ops.is_some_and(|ops| ops < MIN_TXN_OPS) {
                return invalid(field, "must be 2 or more");
            }
        }
        for (field, kb) in [
            ("params.state.value_kb", Some(self.store.value_kb)),
            ("params.state.next.value_kb", next.value_kb),
        ] {
            if kb.is_some_and(|kb| kb < MIN_VALUE_KB) {
                return invalid(field, "must be 1 or more, so that every accepted job fits");
            }
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), ConfigError> {
        for team in &self.teams {
            let amounts = [
                team.guaranteed_vcpus,
                team.max_vcpus,
                team.guaranteed_accelerators,
                team.max_accelerators,
            ];
            if amounts.iter().any(|amount| !amount.is_finite() || *amount < 0.0) {
                return invalid(
                    "params.teams",
                    &format!("amounts of {} must be finite and not negative", team.name),
                );
            }
        }
        Ok(())
    }
}
