//! What an epoch puts on record before it holds: machines, the load, and granted tasks, which
//! `granted` looks after.

use std::collections::{BTreeMap, BTreeSet};

use super::{ClusterView, Epoch, Leader};
use crate::model::MachineId;
use crate::replica::{self, MachineGroup, MachineRecord};
use crate::wire::{self, Change, Condition, Txn};

/// Most keys of machines that an epoch writes.
const MACHINE_KEYS: usize = 4;
/// Least time between two writes of machines.
const MACHINES_MS: u64 = 400;
/// How long a machine that is gone stays known, against late reports.
const TOMBSTONE_MS: u64 = 600_000;
/// Time between two records of the load.
const LOAD_MS: u64 = 8_000;
/// Bytes of a group of machines besides those.
const GROUP_BYTES: usize = 32;
/// What tells a further key of machines from a group's own, see [`replica::machine_group`].
const FURTHER_GROUPS: u32 = 100_000;

impl Leader {
    /// Writes the transaction that has to be carried out before the epoch holds.
    pub(super) fn compose(&mut self, cluster: &ClusterView<'_>, epoch: &mut Epoch) {
        let ops = cluster.limits.txn_ops;
        let mut changes = Vec::new();
        let due =
            cluster.now.since(self.machines_written) >= MACHINES_MS || !epoch.grants.is_empty();
        if due {
            // Nothing starts on a machine that is not on record, so grants leave room for some.
            self.machine_changes(cluster, MACHINE_KEYS.min(ops / 2).max(1), &mut changes);
            if !changes.is_empty() {
                self.machines_written = cluster.now;
            }
        }
        self.record_grants(cluster, epoch, ops - changes.len(), &mut changes);
        if cluster.now.since(self.load_written) >= LOAD_MS && changes.len() < ops {
            self.load_written = cluster.now;
            changes.push(Change::Put {
                key: replica::LOAD_KEY.into(),
                value: wire::to_value(&self.market.load),
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

    /// Machines become durable before anything can start on them, and stay as tombstones for
    /// a while once they are gone. They are written in groups.
    fn machine_changes(&self, cluster: &ClusterView<'_>, most: usize, changes: &mut Vec<Change>) {
        let replica = cluster.replica;
        let known = &replica.machines;
        let limit = cluster.limits.value_bytes();
        let fleet = &self.fleet;
        let new = |id: &MachineId, m: &crate::fleet::FleetMachine| {
            m.up && known.get(id).is_none_or(|k| !k.up && k.gone.is_none())
        };
        let died = |id: &MachineId, m: &MachineRecord| m.gone.is_none() && fleet.gone.contains(id);
        let over = |m: &MachineRecord| {
            m.gone.is_some_and(|at| cluster.wall.0.saturating_sub(at.0) > TOMBSTONE_MS)
        };
        let mut groups: BTreeSet<u32> = BTreeSet::new();
        for (id, _) in fleet.machines.iter().filter(|(id, m)| new(id, m)) {
            let groups_of_machine = replica.groups_of_machine(id);
            groups.extend(
                groups_of_machine.first().copied().or_else(|| Some(replica::machine_group(id))),
            );
        }
        for (id, _) in known.iter().filter(|(id, m)| died(id, m) || over(m)) {
            groups.extend(replica.groups_of_machine(id));
        }
        let mut further: BTreeMap<u32, Vec<(MachineId, MachineRecord)>> = BTreeMap::new();
        let mut written = 0;
        for group in groups {
            if written + further.len() >= most {
                break;
            }
            let mut machines: BTreeMap<MachineId, MachineRecord> = BTreeMap::new();
            for (id, m) in replica.machines_in_group(group) {
                let m = known.get(id).unwrap_or(m);
                if m.gone.is_some() || died(id, m) {
                    if !over(m) {
                        machines.insert(id.clone(), m.tombstone(cluster.wall));
                    }
                } else {
                    machines.insert(id.clone(), m.clone());
                }
            }
            for (id, m) in fleet.machines.iter().filter(|(id, m)| new(id, m)) {
                let home = replica.groups_of_machine(id).first().copied();
                if home.unwrap_or_else(|| replica::machine_group(id)) == group {
                    machines.insert(id.clone(), record_of(m));
                }
            }
            // What does not fit moves to a further key. It is written behind this one, so that
            // whoever follows both never lacks a machine in between.
            let mut machines: Vec<_> = machines.into_iter().collect();
            let mut moved = Vec::new();
            let mut size = group_bytes(&machines);
            while size > limit
                && machines.len() > 1
                && let Some(last) = machines.pop()
            {
                size -= wire::stored_bytes(&last) + 1;
                moved.push(last);
            }
            let mut room_for_all = true;
            for entry in moved {
                let full = |key: u32| {
                    let stored =
                        further.get(&key).map_or(replica.machines_in_group(key), Vec::as_slice);
                    group_bytes(stored) + group_bytes(std::slice::from_ref(&entry)) > limit
                };
                let key = (1..)
                    .map(|n| group % FURTHER_GROUPS + n * FURTHER_GROUPS)
                    .find(|k| *k != group && !full(*k));
                let Some(key) = key else { continue };
                if !further.contains_key(&key) && written + 1 + further.len() >= most.max(2) {
                    room_for_all = false;
                    break;
                }
                let content =
                    further.entry(key).or_insert_with(|| replica.machines_in_group(key).to_vec());
                content.retain(|(id, _)| *id != entry.0);
                content.push(entry);
            }
            if !room_for_all {
                break; // With the next epoch.
            }
            // An empty group stays: the version of its key tells late writes from new ones.
            changes.push(group_change(group, machines));
            written += 1;
        }
        changes.extend(further.into_iter().map(|(group, machines)| group_change(group, machines)));
    }
}

fn record_of(m: &crate::fleet::FleetMachine) -> MachineRecord {
    MachineRecord {
        machine_type: m.offer.machine_type.clone(),
        zone: m.offer.zone.clone(),
        spot: m.offer.spot,
        up: true,
        gone: None,
        endpoint: m.endpoint.to_string(),
    }
}

fn group_change(group: u32, machines: Vec<(MachineId, MachineRecord)>) -> Change {
    let value = wire::to_value(&MachineGroup { machines });
    Change::Put { key: replica::machine_key(group), value, lease: None }
}

/// Bytes that a group takes as a value.
fn group_bytes(machines: &[(MachineId, MachineRecord)]) -> usize {
    let each = machines.iter().map(|m| wire::stored_bytes(m) + 1);
    GROUP_BYTES + each.sum::<usize>()
}
