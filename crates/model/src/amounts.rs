//! Resource amounts as fixed-point numbers.

use serde::{Deserialize, Serialize};

/// CPU cores or another resource amount (accelerators, GB of memory), in thousandths so that sums are exact.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cores(pub u64);

impl Cores {
    /// Converts the decimal amount that a task requests, rounded up so that a machine is never overcommitted.
    /// Negative amounts become 0. An excess of up to 1e-6 thousandths is taken for a floating-point error and
    /// not rounded up.
    pub fn round_up(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 - 1e-6).ceil().max(0.0) as u64)
    }
    /// Converts the decimal amount that a machine or a quota provides, rounded down so that a machine is never
    /// overcommitted. Negative amounts become 0. A shortfall of up to 1e-6 thousandths is taken for a
    /// floating-point error and not rounded down.
    pub fn round_down(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 + 1e-6).floor() as u64)
    }
    /// Subtracts another amount; 0 if the result would be negative.
    pub fn saturating_sub(self, other: Cores) -> Cores {
        Cores(self.0.saturating_sub(other.0))
    }
    /// Converts to a decimal number of units, such as cores or GB.
    pub fn amount(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}
