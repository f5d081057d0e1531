//! Storage of the cloud's machine types in values of the state service.

use crate::wire::{self, MachineTypes};

use super::{Replica, StoreKey};

/// Returns the changes that write all machine types, in values of up to `max_bytes` each. A machine
/// type larger than this has a value of its own. All versions of the program read the first key.
pub fn machine_type_changes(catalog: &MachineTypes, max_bytes: usize) -> Vec<wire::Change> {
    let mut parts = vec![MachineTypes { machine_types: Vec::new() }];
    for machine_type in &catalog.machine_types {
        if let Some(last) = parts.last_mut() {
            last.machine_types.push(machine_type.clone());
            if last.machine_types.len() > 1 && wire::stored_bytes(last) > max_bytes {
                let next = last.machine_types.pop();
                parts.push(MachineTypes { machine_types: next.into_iter().collect() });
            }
        }
    }
    let keys =
        std::iter::once(StoreKey::MachineTypes).chain((1..).map(StoreKey::FurtherMachineTypes));
    let put = |(key, part): (StoreKey, &MachineTypes)| wire::Change::Put {
        key: key.to_string(),
        value: wire::to_value(part),
        lease: None,
    };
    keys.zip(&parts).map(put).collect()
}

impl Replica {
    /// All stored machine types; `None` if none were written yet.
    pub fn all_machine_types(&self) -> Option<MachineTypes> {
        let first = &self.catalog.as_ref()?.value;
        let further = self.further_machine_types.values().flat_map(|part| &part.machine_types);
        Some(MachineTypes {
            machine_types: first.machine_types.iter().chain(further).cloned().collect(),
        })
    }
}
