//! What a task needs and a machine offers, in exact fixed-point amounts.
//!
//! This module stands below placement, scaling and the replica of the state store, which all count in
//! it, and knows none of them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::model::Cores;
use crate::wire::{JobSpec, MachineType};

/// Machine types by name, with what their machines offer.
pub type MachineCatalog = HashMap<String, MachineType>;

/// What a task takes. Memory and accelerators are counted in thousandths like cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Cores.
    pub cores: Cores,
    /// Accelerators.
    pub accelerators: Cores,
    /// Memory, in thousandths of a GB.
    pub memory: Cores,
}

impl Resources {
    /// What each task of a job takes.
    pub fn of(spec: &JobSpec) -> Self {
        Resources {
            cores: Cores::round_up(spec.vcpus),
            accelerators: Cores::round_up(spec.accelerators),
            memory: Cores::round_up(spec.mem_gb),
        }
    }
    /// What a machine of a type offers.
    pub fn offered(machine_type: &MachineType) -> Self {
        Resources {
            cores: Cores::round_down(machine_type.vcpus),
            accelerators: Cores::round_down(machine_type.accelerators),
            memory: Cores::round_down(machine_type.mem_gb),
        }
    }
    /// Whether this fits into what is free.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cores <= free.cores
            && self.accelerators <= free.accelerators
            && self.memory <= free.memory
    }
    /// Takes this away from what is free.
    pub fn take_from(&self, free: &mut Resources) {
        free.cores = free.cores.saturating_sub(self.cores);
        free.accelerators = free.accelerators.saturating_sub(self.accelerators);
        free.memory = free.memory.saturating_sub(self.memory);
    }
}
