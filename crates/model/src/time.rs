//! Readings of the wall clock and of the monotonic clock.

use std::fmt;

use serde::{Deserialize, Serialize};

u64_newtype!(
    /// Milliseconds since the Unix epoch by the wall clock. The clock may jump, so wall times are for display and
    /// records; leases and the rights that they grant use [`MonotonicTime`].
    WallTime
);

/// A reading of this process's monotonic clock, in milliseconds since the process started. Readings of
/// different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Adds a number of milliseconds.
    pub fn plus(self, ms: u64) -> Self {
        MonotonicTime(self.0.saturating_add(ms))
    }
    /// Subtracts a number of milliseconds; not before the start of the process.
    pub fn saturating_sub(self, ms: u64) -> Self {
        MonotonicTime(self.0.saturating_sub(ms))
    }
    /// Milliseconds since an earlier reading; 0 if that reading is not earlier.
    pub fn since(self, earlier: MonotonicTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Readings of both clocks at the same time.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The monotonic clock of the process.
    pub monotonic: MonotonicTime,
    /// The wall clock.
    pub wall: WallTime,
}
