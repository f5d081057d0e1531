//! Counts and latencies of a controller's frequent operations, logged for operators.

use std::cell::RefCell;
use std::fmt::Write;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Operations that are measured, in the order of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Handling a worker's heartbeat.
    Heartbeat,
    /// Computing an epoch, without writing it.
    Epoch,
    /// Creating plans from an epoch.
    Publish,
    /// Creating a summary.
    Summary,
    /// Merging a summary, as the leader.
    SummaryMerge,
    /// Applying a plan.
    Plan,
    /// Applying changes from the store.
    Watch,
}

impl Operation {
    /// All operations, ordered by discriminant.
    const ALL: [Operation; 7] = [
        Operation::Heartbeat,
        Operation::Epoch,
        Operation::Publish,
        Operation::Summary,
        Operation::SummaryMerge,
        Operation::Plan,
        Operation::Watch,
    ];

    /// Returns the name in the log line `measured`. The name is independent of the variant's name,
    /// because operators' tools read it.
    const fn name(self) -> &'static str {
        match self {
            Operation::Heartbeat => "report",
            Operation::Epoch => "epoch",
            Operation::Publish => "publish",
            Operation::Summary => "summary",
            Operation::SummaryMerge => "taken",
            Operation::Plan => "plan",
            Operation::Watch => "watch",
        }
    }
}

/// Maximum latency that is distinguished: one minute.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of recorded latencies. With two digits, a histogram takes a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latencies since the last log line, in microseconds.
#[derive(Debug, Default)]
pub struct LatencyMetrics {
    /// Histograms by operation; `None` for operations that were never measured.
    histograms: RefCell<[Option<Histogram<u64>>; Operation::ALL.len()]>,
}

impl LatencyMetrics {
    /// Calls `act` and records its latency. Returns the result and the latency in microseconds.
    pub fn time_and_measure<T>(&self, operation: Operation, act: impl FnOnce() -> T) -> (T, u64) {
        let began = Instant::now();
        let result = act();
        let took_us = began.elapsed().as_micros() as u64;
        self.record(operation, took_us);
        (result, took_us)
    }

    /// Calls `act` and records its latency.
    pub fn time<T>(&self, operation: Operation, act: impl FnOnce() -> T) -> T {
        self.time_and_measure(operation, act).0
    }

    /// Records a latency in microseconds.
    fn record(&self, operation: Operation, took_us: u64) {
        let mut histograms = self.histograms.borrow_mut();
        let slot = &mut histograms[operation as usize];
        if slot.is_none() {
            *slot = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = slot {
            histogram.saturating_record(took_us);
        }
    }

    /// Returns a line with counts, means and 99th percentiles since the last call, and resets them.
    pub fn take_line(&self) -> String {
        let mut line = String::new();
        let mut histograms = self.histograms.borrow_mut();
        for (operation, histogram) in Operation::ALL.iter().zip(histograms.iter_mut()) {
            let Some(histogram) = histogram.as_mut().filter(|h| !h.is_empty()) else { continue };
            let (count, mean) = (histogram.len(), histogram.mean());
            let p99 = histogram.value_at_quantile(0.99);
            let name = operation.name();
            // Writing to a string does not fail.
            let _ = write!(line, "{name} {count} x {mean:.0} us (p99 {p99}); ");
            histogram.reset();
        }
        line.trim_end_matches("; ").to_string()
    }
}

#[cfg(test)]
mod tests;
