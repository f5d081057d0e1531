//! Counts and times of what a controller does over and over, for its operators.

use std::cell::RefCell;
use std::fmt::Write;
use std::time::Instant;

use hdrhistogram::Histogram;

/// What is measured. The order is that of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A worker's heartbeat answered.
    Heartbeat,
    /// An epoch worked out, without its write.
    Epoch,
    /// Plans made from an epoch.
    Publish,
    /// A summary made.
    Summary,
    /// As the leader, a summary merged.
    SummaryMerge,
    /// A plan applied.
    Plan,
    /// Changes from the store applied.
    Watch,
}

impl Operation {
    /// All operations; each stands at the index that its discriminant says.
    const ALL: [Operation; 7] = [
        Operation::Heartbeat,
        Operation::Epoch,
        Operation::Publish,
        Operation::Summary,
        Operation::SummaryMerge,
        Operation::Plan,
        Operation::Watch,
    ];

    /// The name in the log line `measured`, which operators read; it stays when the operation's own name changes.
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

/// The longest time that is distinguished, in microseconds: a minute.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of a recorded time: with two, a histogram takes a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Times since the last line in the log, in microseconds.
#[derive(Debug, Default)]
pub struct LatencyMetrics {
    /// By operation; one that has not been measured has no histogram.
    histograms: RefCell<[Option<Histogram<u64>>; Operation::ALL.len()]>,
}

impl LatencyMetrics {
    /// Does something and records how long it took; returns that too, in microseconds.
    pub fn timed<T>(&self, operation: Operation, act: impl FnOnce() -> T) -> (T, u64) {
        let began = Instant::now();
        let done = act();
        let took_us = began.elapsed().as_micros() as u64;
        self.record(operation, took_us);
        (done, took_us)
    }

    /// Does something and records how long it took.
    pub fn time<T>(&self, operation: Operation, act: impl FnOnce() -> T) -> T {
        self.timed(operation, act).0
    }

    /// Records a time in microseconds.
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

    /// A line with counts, means and 99th percentiles since the last one.
    pub fn line(&self) -> String {
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
