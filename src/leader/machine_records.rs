//! Machines on record. They become durable before anything can start on them, and stay as tombstones for
//! a while once they are terminated, so a new leader knows every machine that may hold a task
//! (`docs/safety.md`, "When a task is free"). They are written in groups.

use std::collections::{BTreeMap, BTreeSet};

use super::ClusterView;
use crate::fleet::{Fleet, FleetMachine};
use crate::model::MachineId;
use crate::replica::{self, MachineGroup, MachineRecord};
use crate::wire::{self, Change};

/// How long a terminated machine stays known, against late heartbeats, in milliseconds.
const TOMBSTONE_MS: u64 = 600_000;
/// Bytes of a group of machines besides those.
const GROUP_BYTES: usize = 32;
/// What tells a further key of machines from a group's own, see [`replica::machine_group`].
const FURTHER_GROUPS: u32 = 100_000;

/// A machine on record.
type Entry = (MachineId, MachineRecord);

/// The groups of machines that an epoch writes.
pub(super) struct MachineWrites<'a> {
    cluster: &'a ClusterView<'a>,
    fleet: &'a Fleet,
    /// Most keys that are written.
    limit: usize,
    /// Contents of further keys, which take what does not fit into a group's own.
    further: BTreeMap<u32, Vec<Entry>>,
    /// The writes of groups' own keys so far.
    written: Vec<Change>,
}

impl<'a> MachineWrites<'a> {
    /// Nothing is written yet; `limit` is the most keys that may be.
    pub(super) fn new(cluster: &'a ClusterView<'a>, fleet: &'a Fleet, limit: usize) -> Self {
        MachineWrites { cluster, fleet, limit, further: BTreeMap::new(), written: Vec::new() }
    }

    /// The changes that bring the record up to date, as far as the limit allows. Further keys stand
    /// behind the groups' own, so that whoever follows both never lacks a machine in between.
    pub(super) fn changes(mut self) -> Vec<Change> {
        for group in self.outdated_groups() {
            if self.keys() >= self.limit || !self.write_group(group) {
                break; // With the next epoch.
            }
        }
        let further = self.further.into_iter();
        self.written.extend(further.map(|(key, machines)| group_change(key, machines)));
        self.written
    }

    /// Keys that are written so far.
    fn keys(&self) -> usize {
        self.written.len() + self.further.len()
    }

    /// Whether a machine is up and not on record as that.
    fn is_new(&self, id: &MachineId, machine: &FleetMachine) -> bool {
        let known = self.cluster.replica.machines.get(id);
        machine.up && known.is_none_or(|record| !record.up && record.gone.is_none())
    }

    /// Whether a machine is terminated and not recorded as that.
    fn has_died(&self, id: &MachineId, record: &MachineRecord) -> bool {
        record.gone.is_none() && self.fleet.terminated.contains(id)
    }

    /// Whether a tombstone is not needed any more.
    fn is_over(&self, record: &MachineRecord) -> bool {
        let wall = self.cluster.wall;
        record.gone.is_some_and(|at| wall.0.saturating_sub(at.0) > TOMBSTONE_MS)
    }

    /// The key that a new machine is written to: the one that names it, or that of its group.
    fn home(&self, id: &MachineId) -> u32 {
        let named_by = self.cluster.replica.groups_of_machine(id).first().copied();
        named_by.unwrap_or_else(|| replica::machine_group(id))
    }

    /// The keys whose content is out of date.
    fn outdated_groups(&self) -> BTreeSet<u32> {
        let machines = self.fleet.machines.iter();
        let new = machines.filter(|(id, machine)| self.is_new(id, machine));
        let mut groups: BTreeSet<u32> = new.map(|(id, _)| self.home(id)).collect();
        let outdated = |(id, record): &(&MachineId, &MachineRecord)| {
            self.has_died(id, record) || self.is_over(record)
        };
        for (id, _) in self.cluster.replica.machines.iter().filter(outdated) {
            groups.extend(self.cluster.replica.groups_of_machine(id));
        }
        groups
    }

    /// What a group has to hold now.
    fn content(&self, group: u32) -> Vec<Entry> {
        let replica = self.cluster.replica;
        let mut machines: BTreeMap<MachineId, MachineRecord> = BTreeMap::new();
        for (id, record) in replica.machines_in_group(group) {
            let record = replica.machines.get(id).unwrap_or(record);
            if record.gone.is_none() && !self.has_died(id, record) {
                machines.insert(id.clone(), record.clone());
            } else if !self.is_over(record) {
                machines.insert(id.clone(), record.tombstone(self.cluster.wall));
            }
        }
        for (id, machine) in &self.fleet.machines {
            if self.is_new(id, machine) && self.home(id) == group {
                machines.insert(id.clone(), record_of(machine));
            }
        }
        machines.into_iter().collect()
    }

    /// Writes a group; false if there is no room for all that does not fit into its own key.
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
            if !self.move_further(group, entry) {
                return false;
            }
        }
        // An empty group stays: the version of its key tells late writes from new ones.
        self.written.push(group_change(group, machines));
        true
    }

    /// Moves a machine from a full group to a further key; false if no further one may be written.
    fn move_further(&mut self, group: u32, entry: Entry) -> bool {
        let key = (1..)
            .map(|n| group % FURTHER_GROUPS + n * FURTHER_GROUPS)
            .find(|key| *key != group && self.has_room(*key, &entry));
        let Some(key) = key else { return true };
        // Besides this key, the group's own has to be written.
        if !self.further.contains_key(&key) && self.keys() + 1 >= self.limit.max(2) {
            return false;
        }
        let stored = || self.cluster.replica.machines_in_group(key).to_vec();
        let content = self.further.entry(key).or_insert_with(stored);
        content.retain(|(id, _)| *id != entry.0);
        content.push(entry);
        true
    }

    /// Whether a further key has room for a machine.
    fn has_room(&self, key: u32, entry: &Entry) -> bool {
        let stored = || self.cluster.replica.machines_in_group(key);
        let content = self.further.get(&key).map_or_else(stored, Vec::as_slice);
        let bytes = group_bytes(content) + group_bytes(std::slice::from_ref(entry));
        bytes <= self.cluster.limits.value_bytes()
    }
}

/// A machine as it is put on record.
fn record_of(machine: &FleetMachine) -> MachineRecord {
    MachineRecord {
        machine_type: machine.offer.machine_type.clone(),
        zone: machine.offer.zone.clone(),
        spot: machine.offer.spot,
        up: true,
        gone: None,
        endpoint: machine.endpoint.to_string(),
    }
}

/// The write of a group.
fn group_change(group: u32, machines: Vec<Entry>) -> Change {
    let value = wire::to_value(&MachineGroup { machines });
    Change::Put { key: replica::machine_key(group), value, lease: None }
}

/// Bytes that a group takes as a value.
fn group_bytes(machines: &[Entry]) -> usize {
    let each = machines.iter().map(|m| wire::stored_bytes(m) + 1);
    GROUP_BYTES + each.sum::<usize>()
}
