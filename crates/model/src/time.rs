//! Moments by the two clocks of a process.

use std::fmt;

use serde::{Deserialize, Serialize};

count_type!(
    /// Milliseconds since the Unix epoch by the time of day. It may jump: it is for users and records, never
    /// for rights and leases.
    WallTime
);

/// A reading of this process's monotonic clock, in milliseconds since the process started. Readings of
/// different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// This reading plus so many milliseconds.
    pub fn plus(self, ms: u64) -> Self {
        MonotonicTime(self.0.saturating_add(ms))
    }
    /// This reading less so many milliseconds, not before the start.
    pub fn less(self, ms: u64) -> Self {
        MonotonicTime(self.0.saturating_sub(ms))
    }
    /// Milliseconds since an earlier reading; 0 if it is not earlier.
    pub fn since(self, earlier: MonotonicTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A moment by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The process's monotonic clock.
    pub steady: MonotonicTime,
    /// The time of day.
    pub wall: WallTime,
}
