//! The record of machines in the state service, in which machines are grouped by key.
//!
//! A machine is on record before anything can start on it. Once it is terminated, it stays on
//! record as a tombstone for a while. A new leader therefore knows every machine that may hold a
//! task (`docs/safety.md`, "When a task is free").

use std::collections::{BTreeMap, BTreeSet};

use super::ClusterView;
use crate::fleet::{Fleet, FleetMachine};
use crate::model::MachineId;
use crate::replica::{self, MachineGroup, MachineRecord};
use crate::wire::{self, Change};

/// Milliseconds for which the tombstone of a terminated machine is kept, so that late heartbeats
/// are recognized.
const TOMBSTONE_RETENTION_MS: u64 = 600_000;
/// Estimated bytes of a group besides its machines.
const GROUP_OVERHEAD_BYTES: usize = 32;
/// Overflow keys of group `g` have the numbers `g + n * OVERFLOW_KEY_STRIDE`, which are above those
/// of all groups' own keys; see [`replica::machine_group`].
const OVERFLOW_KEY_STRIDE: u32 = 100_000;

/// A machine and its record, as a group holds them.
type MachineEntry = (MachineId, MachineRecord);

/// The groups of machines that an epoch writes.
pub(super) struct MachineWrites<'a> {
    cluster: &'a ClusterView<'a>,
    fleet: &'a Fleet,
    /// Maximum number of keys that may be written.
    max_keys: usize,
    /// New contents of overflow keys, which take the machines that do not fit into their group's
    /// own key.
    overflow: BTreeMap<u32, Vec<MachineEntry>>,
    /// Changes of groups' own keys so far.
    written: Vec<Change>,
}

impl<'a> MachineWrites<'a> {
    /// Starts without any change; at most `max_keys` keys may be written.
    pub(super) fn new(cluster: &'a ClusterView<'a>, fleet: &'a Fleet, max_keys: usize) -> Self {
        MachineWrites { cluster, fleet, max_keys, overflow: BTreeMap::new(), written: Vec::new() }
    }

    /// Returns the changes that bring the record up to date, as far as `max_keys` allows. Overflow
    /// keys come after the groups' own keys, so that a reader that follows both never misses a
    /// machine in between.
    pub(super) fn changes(mut self) -> Vec<Change> {
        for group in self.outdated_groups() {
            if self.key_count() >= self.max_keys || !self.write_group(group) {
                break; // The next epoch writes the rest.
            }
        }
        let overflow = self.overflow.into_iter();
        self.written.extend(overflow.map(|(key, machines)| group_change(key, machines)));
        self.written
    }

    /// Returns the number of keys to be written so far.
    fn key_count(&self) -> usize {
        self.written.len() + self.overflow.len()
    }

    /// Returns whether a machine is up but on record neither as up nor as terminated.
    fn is_new(&self, id: &MachineId, machine: &FleetMachine) -> bool {
        let known = self.cluster.replica.machines.get(id);
        machine.up && known.is_none_or(|record| !record.up && record.terminated_at.is_none())
    }

    /// Returns whether a machine is terminated but not on record as terminated.
    fn is_newly_terminated(&self, id: &MachineId, record: &MachineRecord) -> bool {
        record.terminated_at.is_none() && self.fleet.terminated.contains(id)
    }

    /// Returns whether a tombstone has been kept for long enough.
    fn is_expired(&self, record: &MachineRecord) -> bool {
        let wall = self.cluster.wall;
        record.terminated_at.is_some_and(|at| wall.0.saturating_sub(at.0) > TOMBSTONE_RETENTION_MS)
    }

    /// Returns the key that a new machine is written to: the first key that names it, else the own
    /// key of its group.
    fn key_for(&self, id: &MachineId) -> u32 {
        let named_by = self.cluster.replica.groups_of_machine(id).first().copied();
        named_by.unwrap_or_else(|| replica::machine_group(id))
    }

    /// Returns the keys whose content is out of date.
    fn outdated_groups(&self) -> BTreeSet<u32> {
        let machines = self.fleet.machines.iter();
        let new = machines.filter(|(id, machine)| self.is_new(id, machine));
        let mut groups: BTreeSet<u32> = new.map(|(id, _)| self.key_for(id)).collect();
        let outdated = |(id, record): &(&MachineId, &MachineRecord)| {
            self.is_newly_terminated(id, record) || self.is_expired(record)
        };
        for (id, _) in self.cluster.replica.machines.iter().filter(outdated) {
            groups.extend(self.cluster.replica.groups_of_machine(id));
        }
        groups
    }

    /// Returns the content that a key is to have now.
    fn content(&self, group: u32) -> Vec<MachineEntry> {
        let replica = self.cluster.replica;
        let mut machines: BTreeMap<MachineId, MachineRecord> = BTreeMap::new();
        for (id, record) in replica.machines_in_group(group) {
            let record = replica.machines.get(id).unwrap_or(record);
            if record.terminated_at.is_none() && !self.is_newly_terminated(id, record) {
                machines.insert(id.clone(), record.clone());
            } else if !self.is_expired(record) {
                machines.insert(id.clone(), record.tombstone(self.cluster.wall));
            }
        }
        for (id, machine) in &self.fleet.machines {
            if self.is_new(id, machine) && self.key_for(id) == group {
                machines.insert(id.clone(), record_of(machine));
            }
        }
        machines.into_iter().collect()
    }

    /// Adds the change of a key. Returns false if machines do not fit into the key and no further
    /// overflow key may be written for them.
    fn write_group(&mut self, group: u32) -> bool {
        let mut machines = self.content(group);
        let mut moved = Vec::new();
        let mut size = group_bytes(&machines);
        while size > self.cluster.limits.value_bytes()
            && machines.len() > 1
            && let Some(last) = machines.pop()
        {
            size -= wire::stored_bytes(&last) + 1;
            moved.push(last);
        }
        for entry in moved {
            if !self.move_to_overflow(group, entry) {
                return false;
            }
        }
        // An empty group is written too: the version of its key distinguishes late writes from new
        // ones.
        self.written.push(group_change(group, machines));
        true
    }

    /// Moves a machine from a full key to an overflow key. Returns false if no further overflow key
    /// may be written.
    fn move_to_overflow(&mut self, group: u32, entry: MachineEntry) -> bool {
        let key = (1..)
            .map(|n| group % OVERFLOW_KEY_STRIDE + n * OVERFLOW_KEY_STRIDE)
            .find(|key| *key != group && self.has_room(*key, &entry));
        let Some(key) = key else { return true };
        // Besides the overflow key, the key that the machine is moved from has to be written.
        if !self.overflow.contains_key(&key) && self.key_count() + 1 >= self.max_keys.max(2) {
            return false;
        }
        let stored = || self.cluster.replica.machines_in_group(key).to_vec();
        let content = self.overflow.entry(key).or_insert_with(stored);
        content.retain(|(id, _)| *id != entry.0);
        content.push(entry);
        true
    }

    /// Returns whether an overflow key has room for a machine.
    fn has_room(&self, key: u32, entry: &MachineEntry) -> bool {
        let stored = || self.cluster.replica.machines_in_group(key);
        let content = self.overflow.get(&key).map_or_else(stored, Vec::as_slice);
        let bytes = group_bytes(content) + group_bytes(std::slice::from_ref(entry));
        bytes <= self.cluster.limits.value_bytes()
    }
}

/// Returns the record of a machine that is up.
fn record_of(machine: &FleetMachine) -> MachineRecord {
    MachineRecord {
        machine_type: machine.offer.machine_type.clone(),
        zone: machine.offer.zone.clone(),
        spot: machine.offer.spot,
        up: true,
        terminated_at: None,
        endpoint: machine.endpoint.to_string(),
    }
}

/// Returns the change that writes a key.
fn group_change(group: u32, machines: Vec<MachineEntry>) -> Change {
    let value = wire::to_value(&MachineGroup { machines });
    Change::Put { key: replica::machine_key(group), value, lease: None }
}

/// Returns the estimated bytes that a group takes as a value.
fn group_bytes(machines: &[MachineEntry]) -> usize {
    let each = machines.iter().map(|m| wire::stored_bytes(m) + 1);
    GROUP_OVERHEAD_BYTES + each.sum::<usize>()
}
