//! What an epoch puts on record before it holds: machines (`machine_records`), granted tasks
//! (`grant_records`) and the load, in one transaction that is carried out only while this leader leads
//! and nothing of it was changed meanwhile. Why all of it is durable first: `docs/safety.md`, "Durable
//! before said".

use super::machine_records::MachineWrites;
use super::{ClusterView, Epoch, Leader};
use crate::replica;
use crate::wire::{self, Change, Condition, Txn};

/// Most keys of machines that an epoch writes.
const MACHINE_KEYS: usize = 4;
/// Least time between two writes of machines, in milliseconds, as changes in the store are scarce.
const MACHINES_MS: u64 = 400;
/// Time between two records of the load, in milliseconds.
const LOAD_MS: u64 = 8_000;

impl Leader {
    /// Writes the transaction that has to be carried out before the epoch holds.
    pub(super) fn compose(&mut self, cluster: &ClusterView<'_>, epoch: &mut Epoch) {
        let ops = cluster.limits.txn_ops;
        let mut changes = Vec::new();
        let due =
            cluster.now.since(self.last_writes.machines) >= MACHINES_MS || !epoch.grants.is_empty();
        if due {
            // Nothing starts on a machine that is not on record, so grants leave room for some.
            let limit = MACHINE_KEYS.min(ops / 2).max(1);
            changes = MachineWrites::new(cluster, &self.fleet, limit).changes();
            if !changes.is_empty() {
                self.last_writes.machines = cluster.now;
            }
        }
        self.record_grants(cluster, epoch, ops - changes.len(), &mut changes);
        if cluster.now.since(self.last_writes.load) >= LOAD_MS && changes.len() < ops {
            self.last_writes.load = cluster.now;
            changes.push(Change::Put {
                key: replica::LOAD_KEY.into(),
                value: wire::to_value(&self.retained.market.load),
                lease: None,
            });
        }
        if !changes.is_empty() {
            let mut conditions: Vec<Condition> =
                cluster.replica.leader_condition().into_iter().collect();
            conditions.extend(changes.iter().map(|c| cluster.replica.unchanged_condition(c.key())));
            epoch.txn = Some(Txn { conditions, changes });
        }
    }
}
