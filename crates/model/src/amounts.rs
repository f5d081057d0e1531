//! Amounts of resources.

use serde::{Deserialize, Serialize};

/// Processor cores, or another amount, in thousandths so that sums are exact.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cores(pub u64);

impl Cores {
    /// What a task needs, from the decimal amount of the protocol, rounded up: a machine is never
    /// filled beyond what it has. Nothing below 0; a millionth of a thousandth is taken for an error of
    /// the decimal form.
    pub fn need(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 - 1e-6).ceil().max(0.0) as u64)
    }
    /// What a machine or a quota offers, from the decimal amount, rounded down; as above otherwise.
    pub fn offer(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 + 1e-6).floor() as u64)
    }
    /// This less the other, not below 0.
    pub fn less(self, other: Cores) -> Cores {
        Cores(self.0.saturating_sub(other.0))
    }
    /// As a decimal number of whole cores.
    pub fn amount(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}
