//! The cloud's machine types as values of the state service.

use crate::wire::{self, MachineTypes};

use super::{Replica, StoreKey};

/// The changes that write all machine types, in values of up to `max_bytes` each; a type that is
/// larger than that has a value of its own. The first key is the one that all versions read.
pub fn machine_type_changes(catalog: &MachineTypes, max_bytes: usize) -> Vec<wire::Change> {
    let mut pieces = vec![MachineTypes { machine_types: Vec::new() }];
    for machine_type in &catalog.machine_types {
        if let Some(last) = pieces.last_mut() {
            last.machine_types.push(machine_type.clone());
            if last.machine_types.len() > 1 && wire::stored_bytes(last) > max_bytes {
                let next = last.machine_types.pop();
                pieces.push(MachineTypes { machine_types: next.into_iter().collect() });
            }
        }
    }
    let keys =
        std::iter::once(StoreKey::MachineTypes).chain((1..).map(StoreKey::FurtherMachineTypes));
    let put = |(key, piece): (StoreKey, &MachineTypes)| wire::Change::Put {
        key: key.to_string(),
        value: wire::to_value(piece),
        lease: None,
    };
    keys.zip(&pieces).map(put).collect()
}

impl Replica {
    /// All machine types on record; `None` if none were written yet.
    pub fn all_machine_types(&self) -> Option<MachineTypes> {
        let first = &self.catalog.as_ref()?.value;
        let further = self.further_machine_types.values().flat_map(|piece| &piece.machine_types);
        Some(MachineTypes {
            machine_types: first.machine_types.iter().chain(further).cloned().collect(),
        })
    }
}
