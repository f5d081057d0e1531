//! Phi accrual failure detector for the leader. The leader is suspected when the time since its last heartbeat, its
//! silence, is improbable given the intervals between its previous heartbeats.
//!
//! A suspicion is a hint: it may start a [`crate::failover`], but is no proof that the leader is down.
//!
//! The algorithm is by Hayashibara, Défago, Yared and Katayama, "The phi accrual failure detector" (SRDS 2004). A fixed
//! time-out is either too short for a loaded site or too long for an idle one. Phi adapts to the intervals that
//! this controller observes. A lower and an upper bound on the silence limit the effect of a distribution with few or
//! unusual samples.

use std::collections::VecDeque;

use statrs::distribution::{ContinuousCDF, Normal};
use willowshore_model::MonotonicTime;

use crate::settings::StandbySettings;

/// Lower bound of the standard deviation of the intervals, in milliseconds. Timers have a coarse resolution, and with a
/// deviation of nearly 0 the first late packet would raise a suspicion.
const MIN_DEVIATION_MS: f64 = 60.0;
/// Number of intervals that are needed to compute phi.
pub(crate) const MIN_SAMPLES: usize = 10;
/// Time between two ticks, in milliseconds, above which this process counts as having been stopped or starved. The
/// silence in that time is no evidence about the leader.
const LOCAL_PAUSE_MS: u64 = 400;

/// Suspects the leader by the distribution of the intervals between its heartbeats.
#[derive(Clone, Debug)]
pub struct HeartbeatDetector {
    /// The leader is never suspected before this silence, in milliseconds.
    suspect_after_min_ms: u64,
    /// The leader is always suspected from this silence on, in milliseconds.
    suspect_after_max_ms: u64,
    /// Between the two bounds, the leader is suspected from this value of phi on.
    phi_threshold: f64,
    /// The maximum number of intervals that are kept.
    max_intervals: usize,
    /// The latest intervals between heartbeats in milliseconds, oldest first.
    intervals: VecDeque<u64>,
    /// The start of the current silence: the sending time of the last request that the leader responded to or, if later,
    /// the time at which the watch was restarted or this process resumed after a pause. `None` before the first heartbeat
    /// or restart.
    silent_since: Option<MonotonicTime>,
    /// The time of the last call of [`HeartbeatDetector::tick`].
    last_tick: Option<MonotonicTime>,
}

impl HeartbeatDetector {
    /// Creates a detector that has received no heartbeat yet.
    pub fn new(settings: &StandbySettings) -> Self {
        HeartbeatDetector {
            suspect_after_min_ms: settings.suspect_after_min_ms,
            suspect_after_max_ms: settings.suspect_after_max_ms,
            phi_threshold: settings.phi,
            max_intervals: settings.samples,
            intervals: VecDeque::new(),
            silent_since: None,
            last_tick: None,
        }
    }

    /// Records that the leader responded to a request that was sent at `sent`. The heartbeat is dated by the sending
    /// time, as the leader was certainly alive at some time after it. Ignored if `sent` is not after the start of the
    /// current silence, as for responses out of order.
    pub fn record_heartbeat(&mut self, sent: MonotonicTime) {
        if let Some(silent_since) = self.silent_since {
            if sent <= silent_since {
                return;
            }
            self.intervals.push_back(sent.since(silent_since));
            if self.intervals.len() > self.max_intervals {
                self.intervals.pop_front();
            }
        }
        self.silent_since = Some(sent);
    }

    /// Starts watching another leader. Its silence starts at `now`, so that it is not suspected for its predecessor's.
    /// The intervals are kept, as the network conditions are assumed to be similar.
    pub fn restart_watch(&mut self, now: MonotonicTime) {
        self.silent_since = Some(now);
    }

    /// Detects pauses of this process, and restarts the silence at 0 after a pause. The caller has to call it about
    /// every 100 ms.
    pub fn tick(&mut self, now: MonotonicTime) {
        let was_paused =
            self.last_tick.is_some_and(|last_tick| now.since(last_tick) > LOCAL_PAUSE_MS);
        if was_paused && self.silent_since.is_some() {
            self.silent_since = Some(now);
        }
        self.last_tick = Some(now);
    }

    /// Length of the current silence in milliseconds; `None` if no leader has been watched yet.
    pub fn silence_ms(&self, now: MonotonicTime) -> Option<u64> {
        self.silent_since.map(|since| now.since(since))
    }

    /// The suspicion level: the negative decimal logarithm of the probability that an interval between heartbeats is
    /// longer than the current silence. 0 while fewer than 10 intervals are known.
    pub fn phi(&self, now: MonotonicTime) -> f64 {
        let Some(silence) = self.silence_ms(now) else { return 0.0 };
        if self.intervals.len() < MIN_SAMPLES {
            return 0.0;
        }
        let (mean, deviation) = self.mean_and_deviation();
        let Ok(normal) = Normal::new(mean, deviation) else { return 0.0 };
        let probability = normal.sf(silence as f64);
        if probability <= f64::MIN_POSITIVE { f64::MAX } else { -probability.log10() }
    }

    fn mean_and_deviation(&self) -> (f64, f64) {
        let count = self.intervals.len() as f64;
        let mean = self.intervals.iter().map(|interval| *interval as f64).sum::<f64>() / count;
        let squared_deviations =
            self.intervals.iter().map(|interval| (*interval as f64 - mean).powi(2)).sum::<f64>();
        (mean, (squared_deviations / count).sqrt().max(MIN_DEVIATION_MS))
    }

    /// Whether the leader is suspected at this time.
    pub fn suspects(&self, now: MonotonicTime) -> bool {
        match self.silence_ms(now) {
            None => false,
            Some(silence) if silence < self.suspect_after_min_ms => false,
            Some(silence) if silence >= self.suspect_after_max_ms => true,
            Some(_) => self.phi(now) >= self.phi_threshold,
        }
    }
}

#[cfg(test)]
mod tests;
