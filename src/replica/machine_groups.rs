//! Machines, several of which share a key.

use crate::model::{MachineId, Revision};

use super::{MachineGroup, MachineRecord, Replica};

impl Replica {
    /// Takes a group of machines in place of what it held before.
    pub(super) fn put_group(&mut self, group: u32, record: MachineGroup, version: Revision) {
        if self.groups.get(&group).is_some_and(|g| g.1 >= version) {
            return;
        }
        let mut ids: Vec<MachineId> = record.machines.iter().map(|(id, _)| id.clone()).collect();
        for id in &ids {
            let keys_by_machine = self.keys_by_machine.entry(id.clone()).or_default();
            if !keys_by_machine.contains(&group) {
                keys_by_machine.push(group);
            }
        }
        if let Some((old, _)) = self.groups.insert(group, (record, version)) {
            for (id, _) in old.machines {
                if !ids.contains(&id)
                    && let Some(keys_by_machine) = self.keys_by_machine.get_mut(&id)
                {
                    keys_by_machine.retain(|g| *g != group);
                    ids.push(id);
                }
            }
        }
        for id in ids {
            self.merge_machine(id);
        }
    }

    /// Takes what all keys tell of a machine. That it is gone stays true; a key that does not know it
    /// yet was written before.
    fn merge_machine(&mut self, id: MachineId) {
        let keys_by_machine = self.keys_by_machine.get(&id).map_or(&[][..], Vec::as_slice);
        let groups = keys_by_machine.iter().filter_map(|g| self.groups.get(g));
        let told = groups.flat_map(|(g, _)| &g.machines).filter(|(i, _)| *i == id).map(|(_, r)| r);
        match told.max_by_key(|r| (r.gone.is_some(), r.up)).cloned() {
            Some(record) => {
                self.machines.insert(id, record);
            }
            None => {
                self.keys_by_machine.remove(&id);
                self.machines.remove(&id);
            }
        }
    }

    /// The machines in a group's key, as the store has them.
    pub fn group(&self, group: u32) -> &[(MachineId, MachineRecord)] {
        self.groups.get(&group).map_or(&[], |g| &g.0.machines)
    }

    /// The groups that name a machine.
    pub fn keys_by_machine(&self, id: &MachineId) -> &[u32] {
        self.keys_by_machine.get(id).map_or(&[], Vec::as_slice)
    }
}
