//! Resource amounts that a task needs and a machine offers, in exact fixed-point numbers.
//!
//! Placement, scaling and the replica of the state store use this module; it depends on none of them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::model::Cores;
use crate::wire::{JobSpec, MachineType};

/// Machine types by name.
pub type MachineCatalog = HashMap<String, MachineType>;

/// Cores, accelerators and memory of a task or a machine, each in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU cores, in thousandths of a core.
    pub cores: Cores,
    /// Accelerators, in thousandths of an accelerator.
    pub accelerators: Cores,
    /// Memory, in thousandths of a GB.
    pub memory: Cores,
}

impl Resources {
    /// Returns the resources that each task of a job needs, rounded up.
    pub fn of(spec: &JobSpec) -> Self {
        Resources {
            cores: Cores::round_up(spec.vcpus),
            accelerators: Cores::round_up(spec.accelerators),
            memory: Cores::round_up(spec.mem_gb),
        }
    }
    /// Returns the resources that an empty machine of a type offers, rounded down.
    pub fn offered(machine_type: &MachineType) -> Self {
        Resources {
            cores: Cores::round_down(machine_type.vcpus),
            accelerators: Cores::round_down(machine_type.accelerators),
            memory: Cores::round_down(machine_type.mem_gb),
        }
    }
    /// Returns whether these resources fit into the free ones.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cores <= free.cores
            && self.accelerators <= free.accelerators
            && self.memory <= free.memory
    }
    /// Subtracts these resources from the free ones, which do not fall below 0.
    pub fn take_from(&self, free: &mut Resources) {
        free.cores = free.cores.saturating_sub(self.cores);
        free.accelerators = free.accelerators.saturating_sub(self.accelerators);
        free.memory = free.memory.saturating_sub(self.memory);
    }
}
