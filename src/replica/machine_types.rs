//! The cloud's machine types as values of the store.

use crate::wire;

use super::MACHINE_TYPES_KEY;

/// Machine types as values of up to so many bytes; the first key is the one that all versions read.
pub fn machine_type_changes(catalog: &wire::MachineTypes, bytes: usize) -> Vec<wire::Change> {
    let mut pieces: Vec<wire::MachineTypes> =
        vec![wire::MachineTypes { machine_types: Vec::new() }];
    for machine_type in &catalog.machine_types {
        if let Some(last) = pieces.last_mut() {
            last.machine_types.push(machine_type.clone());
            if last.machine_types.len() > 1 && wire::stored_bytes(last) > bytes {
                let next = last.machine_types.pop();
                pieces.push(wire::MachineTypes { machine_types: next.into_iter().collect() });
            }
        }
    }
    let key = |n: usize| match n {
        0 => MACHINE_TYPES_KEY.to_string(),
        _ => format!("{MACHINE_TYPES_KEY}/{n:04}"),
    };
    let set =
        |(n, piece)| wire::Change::Put { key: key(n), value: wire::to_value(&piece), lease: None };
    pieces.into_iter().enumerate().map(set).collect()
}
