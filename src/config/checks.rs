//! The checks of the settings, once at the start. Each names the field that is wrong by its path in the file.

use super::{ConfigError, NextLimits, Params, Settings};

/// Most controllers that are supported.
const MAX_CONTROLLERS: u32 = 32;
/// Least seconds by which `cancel_s` exceeds `lease_s`: for the right to keep workers alive, and a margin.
const CANCEL_MARGIN_S: f64 = 4.0;
/// Fewest changes in a transaction: an election writes the leader's record and the term's at once.
const MIN_TXN_OPS: usize = 2;
/// Least KiB per value: the largest job description has to fit.
const MIN_VALUE_KB: f64 = 1.0;
/// Fewest open sockets that leave room for workers, users and peers.
const MIN_SOCKETS: usize = 64;

fn wrong<T>(field: &str, why: &str) -> Result<T, ConfigError> {
    Err(ConfigError::Field { field: field.to_string(), why: why.to_string() })
}

impl Settings {
    /// Checks the settings, and gives the first field that is wrong.
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        self.check_controllers()?;
        let params = &self.params;
        let next = params.store.next.clone().unwrap_or_default();
        params.check_rates_and_times(&next)?;
        params.check_store(&next)?;
        params.check_teams()?;
        if params.limits.sockets < MIN_SOCKETS {
            return wrong("params.limits.sockets", "must be 64 or more");
        }
        Ok(())
    }

    fn check_controllers(&self) -> Result<(), ConfigError> {
        if self.node_name.is_empty() {
            return wrong("node_name", "is empty");
        }
        if self.params.nodes as usize != self.peers.len() + 1 {
            return wrong("params.nodes", "does not match the controllers listed in known");
        }
        if self.params.nodes > MAX_CONTROLLERS {
            return wrong("params.nodes", "more than 32 controllers are not supported");
        }
        let mut names: Vec<&str> = self.peers.iter().map(|peer| peer.node_name.as_str()).collect();
        names.push(&self.node_name);
        names.sort_unstable();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return wrong("known", "two controllers have the same name");
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
                return wrong(field, "must be a number above 0");
            }
        }
        if self.workers.cancel_s < self.workers.lease_s + CANCEL_MARGIN_S {
            return wrong(
                "params.workers.cancel_s",
                "must exceed lease_s by 4 s or more, or cancelled tasks can't be proven gone in time",
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
                return wrong(field, "must be 2 or more");
            }
        }
        for (field, kb) in [
            ("params.state.value_kb", Some(self.store.value_kb)),
            ("params.state.next.value_kb", next.value_kb),
        ] {
            if kb.is_some_and(|kb| kb < MIN_VALUE_KB) {
                return wrong(field, "must be 1 or more, or an accepted job may not fit");
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
                return wrong(
                    "params.teams",
                    &format!("amounts of {} must not be negative", team.name),
                );
            }
        }
        Ok(())
    }
}
