//! Machines on record, several of which share a key.
//!
//! A machine is mostly in one group. A version of the program with larger values may have written it to
//! a further one; then the replica shows the record that is furthest along: a machine that any key
//! calls terminated is terminated.

use std::collections::{BTreeMap, HashMap};

use crate::model::{MachineId, Revision};

use super::versioned::is_newer;
use super::{MachineGroup, MachineRecord, Replica, Versioned};

/// The groups of machines as the state service has them.
#[derive(Debug, Default)]
pub(super) struct MachineGroups {
    groups: BTreeMap<u32, Versioned<MachineGroup>>,
    /// The groups that name a machine; no machine has an empty list once a change was merged.
    groups_by_machine: HashMap<MachineId, Vec<u32>>,
}

impl MachineGroups {
    /// Puts a group in place of what its key held before, and returns the machines that either of
    /// them names; none if the group is known as it is or newer.
    fn put(&mut self, group: u32, record: MachineGroup, version: Revision) -> Vec<MachineId> {
        if !is_newer(self.groups.get(&group), version) {
            return Vec::new();
        }
        let mut named: Vec<MachineId> = record.machines.iter().map(|(id, _)| id.clone()).collect();
        for id in &named {
            let groups = self.groups_by_machine.entry(id.clone()).or_default();
            if !groups.contains(&group) {
                groups.push(group);
            }
        }
        let replaced = self.groups.insert(group, Versioned { value: record, version });
        for (id, _) in replaced.into_iter().flat_map(|replaced| replaced.value.machines) {
            if !named.contains(&id)
                && let Some(groups) = self.groups_by_machine.get_mut(&id)
            {
                groups.retain(|other| *other != group);
                named.push(id);
            }
        }
        named
    }

    /// What all groups together say of a machine; `None` if none names it any more. That it is gone
    /// stays true: a key that does not say so was written before.
    fn merged(&self, id: &MachineId) -> Option<&MachineRecord> {
        let groups = self.of_machine(id).iter().filter_map(|group| self.groups.get(group));
        let records = groups.flat_map(|group| &group.value.machines);
        records
            .filter(|(other, _)| other == id)
            .map(|(_, record)| record)
            .max_by_key(|record| (record.gone.is_some(), record.up))
    }

    fn of_machine(&self, id: &MachineId) -> &[u32] {
        self.groups_by_machine.get(id).map_or(&[], Vec::as_slice)
    }

    /// Version of a group's key; `None` if there is none.
    pub(super) fn version(&self, group: u32) -> Option<Revision> {
        self.groups.get(&group).map(|group| group.version)
    }
}

impl Replica {
    /// Puts a group of machines in place of what its key held before.
    pub(super) fn put_group(&mut self, group: u32, record: MachineGroup, version: Revision) {
        for id in self.machine_groups.put(group, record, version) {
            match self.machine_groups.merged(&id).cloned() {
                Some(record) => {
                    self.machines.insert(id, record);
                }
                None => {
                    self.machine_groups.groups_by_machine.remove(&id);
                    self.machines.remove(&id);
                }
            }
        }
    }

    /// The machines in a group's key, as the state service has them.
    pub fn machines_in_group(&self, group: u32) -> &[(MachineId, MachineRecord)] {
        self.machine_groups.groups.get(&group).map_or(&[], |group| &group.value.machines)
    }

    /// The groups that name a machine, the one that it was first written to first.
    pub fn groups_of_machine(&self, id: &MachineId) -> &[u32] {
        self.machine_groups.of_machine(id)
    }
}
