//! Machine records, several of which share a key.
//!
//! A machine is usually in one group. A version of the program with a larger value limit may have
//! written the machine to a further group. The replica shows the most advanced record: a machine
//! that any key marks as terminated is terminated.

use std::collections::{BTreeMap, HashMap};

use crate::model::{MachineId, Revision};

use super::versioned::is_newer;
use super::{MachineGroup, MachineRecord, Replica, Versioned};

/// Machine groups as stored in the state service.
#[derive(Debug, Default)]
pub(super) struct MachineGroups {
    groups: BTreeMap<u32, Versioned<MachineGroup>>,
    /// Groups that name each machine. No machine has an empty list once a change has been merged.
    groups_by_machine: HashMap<MachineId, Vec<u32>>,
}

impl MachineGroups {
    /// Replaces the content of a group and returns the machines named by the old or the new
    /// content; none if the known content has the same or a newer version.
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

    /// Returns the most advanced record of a machine over all groups; `None` if no group names the
    /// machine. A termination is final: a group without it was written before.
    fn merged(&self, id: &MachineId) -> Option<&MachineRecord> {
        let groups = self.of_machine(id).iter().filter_map(|group| self.groups.get(group));
        let records = groups.flat_map(|group| &group.value.machines);
        records
            .filter(|(other, _)| other == id)
            .map(|(_, record)| record)
            .max_by_key(|record| (record.terminated_at.is_some(), record.up))
    }

    /// Returns the groups that name a machine.
    fn of_machine(&self, id: &MachineId) -> &[u32] {
        self.groups_by_machine.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the version of a group's key; `None` if the key does not exist.
    pub(super) fn version(&self, group: u32) -> Option<Revision> {
        self.groups.get(&group).map(|group| group.version)
    }
}

impl Replica {
    /// Replaces the content of a group and updates the merged machine records.
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

    /// Returns the machine records stored under a group's key.
    pub fn machines_in_group(&self, group: u32) -> &[(MachineId, MachineRecord)] {
        self.machine_groups.groups.get(&group).map_or(&[], |group| &group.value.machines)
    }

    /// Returns the groups that name a machine, starting with the group that the machine was first
    /// written to.
    pub fn groups_of_machine(&self, id: &MachineId) -> &[u32] {
        self.machine_groups.of_machine(id)
    }
}
