//! The transaction of an epoch: machines (`machine_records`), granted tasks (`grant_records`) and
//! the offered load. It is carried out only while this leader leads and only if none of the written
//! keys has changed meanwhile. All of it is durable before the epoch takes effect; the argument is
//! in `docs/safety.md`, "Durable before said".

use super::machine_records::MachineWrites;
use super::{ClusterView, Epoch, Leader};
use crate::replica;
use crate::wire::{self, Change, Condition, Txn};

/// Maximum number of machine keys that one epoch writes.
const MAX_MACHINE_KEYS_PER_EPOCH: usize = 4;
/// Minimum milliseconds between two writes of machines, because the state service limits the rate of
/// changes. Epochs with grants ignore it.
const MACHINE_WRITE_INTERVAL_MS: u64 = 400;
/// Minimum milliseconds between two writes of the offered load.
const LOAD_WRITE_INTERVAL_MS: u64 = 8_000;

impl Leader {
    /// Prepares the transaction that has to be carried out before the epoch takes effect.
    pub(super) fn prepare_transaction(&mut self, cluster: &ClusterView<'_>, epoch: &mut Epoch) {
        let max_ops = cluster.limits.txn_ops;
        let mut changes = Vec::new();
        let machine_write_due = cluster.now.since(self.last_writes.machines)
            >= MACHINE_WRITE_INTERVAL_MS
            || !epoch.grants.is_empty();
        if machine_write_due {
            // Tasks start only on machines that are on record, so grants leave room for machines:
            // up to half of the changes.
            let max_machine_keys = MAX_MACHINE_KEYS_PER_EPOCH.min(max_ops / 2).max(1);
            changes = MachineWrites::new(cluster, &self.fleet, max_machine_keys).changes();
            if !changes.is_empty() {
                self.last_writes.machines = cluster.now;
            }
        }
        self.record_grants(cluster, epoch, max_ops - changes.len(), &mut changes);
        if cluster.now.since(self.last_writes.load) >= LOAD_WRITE_INTERVAL_MS
            && changes.len() < max_ops
        {
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
