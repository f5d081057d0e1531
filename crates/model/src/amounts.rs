//! Amounts of resources.

use serde::{Deserialize, Serialize};

/// Processor cores (or a share of them), in thousandths so that sums are exact.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cores(pub u64);

impl Cores {
    /// From the decimal amount of the protocol, rounded up.
    pub fn need(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 - 1e-6).ceil().max(0.0) as u64)
    }
    /// From the decimal amount of what is offered, rounded down.
    pub fn offer(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 + 1e-6).floor() as u64)
    }
    /// This less the other, not below nothing.
    pub fn less(self, other: Cores) -> Cores {
        Cores(self.0.saturating_sub(other.0))
    }
    /// As a decimal number of cores.
    pub fn amount(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}
