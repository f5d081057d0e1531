//! Counts and times of what a controller does over and over, for its operators.

use std::cell::RefCell;
use std::fmt::Write;
use std::time::Instant;

use hdrhistogram::Histogram;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A worker's report.
    Heartbeat,
    /// An epoch, as far as it is worked out.
    Epoch,
    /// Plans made of an epoch.
    Publish,
    /// A summary made.
    Summary,
    /// A summary taken.
    SummaryOutcome,
    /// A plan followed.
    Plan,
    /// Changes taken from the store.
    Watch,
}

const NAMES: [&str; 7] = ["report", "epoch", "publish", "summary", "taken", "plan", "watch"];

/// Times since the last line in the log, in microseconds.
#[derive(Debug, Default)]
pub struct LatencyMetrics {
    kinds: RefCell<Vec<Option<Histogram<u64>>>>,
}

impl LatencyMetrics {
    /// Does something and notes how long it took; says that too, in microseconds.
    pub fn timed<T>(&self, work: Operation, act: impl FnOnce() -> T) -> (T, u64) {
        let began = Instant::now();
        let done = act();
        let took = began.elapsed().as_micros() as u64;
        self.record(work, took);
        (done, took)
    }

    /// Does something and notes how long it took.
    pub fn time<T>(&self, work: Operation, act: impl FnOnce() -> T) -> T {
        self.timed(work, act).0
    }

    fn record(&self, work: Operation, took: u64) {
        let mut kinds = self.kinds.borrow_mut();
        kinds.resize_with(NAMES.len(), || None);
        let slot = &mut kinds[work as usize];
        if slot.is_none() {
            // A minute, to two digits: a few kilobytes.
            *slot = Histogram::new_with_max(60_000_000, 2).ok();
        }
        if let Some(h) = slot {
            h.saturating_record(took);
        }
    }

    /// A line with counts, means and high values since the last one.
    pub fn line(&self) -> String {
        let mut line = String::new();
        for (name, h) in NAMES.iter().zip(self.kinds.borrow_mut().iter_mut()) {
            let Some(h) = h.as_mut().filter(|h| !h.is_empty()) else { continue };
            let (n, mean, high) = (h.len(), h.mean(), h.value_at_quantile(0.99));
            // Writing to a string does not fail.
            let _ = write!(line, "{name} {n} x {mean:.0} us (p99 {high}); ");
            h.reset();
        }
        line.trim_end_matches("; ").to_string()
    }
}

#[cfg(test)]
mod tests;
