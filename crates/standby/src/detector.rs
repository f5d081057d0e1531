//! Failure detection by phi accrual: the leader is suspected when its silence is improbable, given how its heartbeats
//! came before.
//!
//! What it says is a hint: it starts a [`crate::failover`], and proves nothing about the leader.
//!
//! After Hayashibara, Défago, Yared and Katayama, "The phi accrual failure detector" (SRDS 2004). A fixed time-out is
//! either too short for a loaded site or slow on a quiet one; phi follows the distribution of the intervals that this
//! controller saw, and two bounds keep a young or odd distribution from doing harm.

use std::collections::VecDeque;

use statrs::distribution::{ContinuousCDF, Normal};
use willowshore_model::MonotonicTime;

use crate::settings::StandbySettings;

/// Lower bound of the standard deviation of the intervals in milliseconds: timers fire in steps, and a distribution
/// without any spread would suspect the first late packet.
const MIN_DEVIATION_MS: f64 = 60.0;
/// Intervals that have to be known before phi is computed from them.
pub(crate) const MIN_SAMPLES: usize = 10;
/// This process was stopped or starved if its own timer came that much late, in milliseconds. Its silence then says
/// nothing about the leader.
const LOCAL_PAUSE_MS: u64 = 400;

/// Suspects the leader by the distribution of its heartbeats.
#[derive(Clone, Debug)]
pub struct HeartbeatDetector {
    /// A shorter silence is never suspicious, in milliseconds.
    min_ms: u64,
    /// From this silence on the leader is always suspected, in milliseconds.
    max_ms: u64,
    /// In between, it is suspected from this phi on.
    threshold: f64,
    /// Most intervals that are remembered.
    capacity: usize,
    /// The last intervals between heartbeats, oldest first, in milliseconds.
    intervals: VecDeque<u64>,
    /// From when the silence counts: when the last request was sent that the leader responded to, or since then the
    /// watch was restarted or this process was paused. `None` before the first heartbeat.
    last_heartbeat: Option<MonotonicTime>,
    /// When this process last ran [`HeartbeatDetector::tick`].
    last_tick: Option<MonotonicTime>,
}

impl HeartbeatDetector {
    /// A detector that has received no heartbeat yet.
    pub fn new(settings: &StandbySettings) -> Self {
        HeartbeatDetector {
            min_ms: settings.suspect_after_min_ms,
            max_ms: settings.suspect_after_max_ms,
            threshold: settings.phi,
            capacity: settings.samples,
            intervals: VecDeque::new(),
            last_heartbeat: None,
            last_tick: None,
        }
    }

    /// The leader responded to a request that was sent at `sent`. The time of sending counts, as the leader was alive
    /// at some time after it; responses that come out of order count once.
    pub fn record_heartbeat(&mut self, sent: MonotonicTime) {
        if let Some(last_heartbeat) = self.last_heartbeat {
            if sent <= last_heartbeat {
                return;
            }
            self.intervals.push_back(sent.since(last_heartbeat));
            if self.intervals.len() > self.capacity {
                self.intervals.pop_front();
            }
        }
        self.last_heartbeat = Some(sent);
    }

    /// Another leader is to be watched from now on. It gets a whole silence before it can be suspected; the
    /// intervals stay, as the network in between is much the same.
    pub fn restart_watch(&mut self, now: MonotonicTime) {
        self.last_heartbeat = Some(now);
    }

    /// Has to be called every 100 ms or so. After a pause of this process the silence starts again from 0.
    pub fn tick(&mut self, now: MonotonicTime) {
        let was_paused = self.last_tick.is_some_and(|before| now.since(before) > LOCAL_PAUSE_MS);
        if was_paused && self.last_heartbeat.is_some() {
            self.last_heartbeat = Some(now);
        }
        self.last_tick = Some(now);
    }

    /// Milliseconds since the last heartbeat; `None` if there was none.
    pub fn silence_ms(&self, now: MonotonicTime) -> Option<u64> {
        self.last_heartbeat.map(|last_heartbeat| now.since(last_heartbeat))
    }

    /// How improbable the present silence is, as the negative logarithm of its probability; 0 while too little is
    /// known.
    pub fn phi(&self, now: MonotonicTime) -> f64 {
        let Some(silence) = self.silence_ms(now) else { return 0.0 };
        if self.intervals.len() < MIN_SAMPLES {
            return 0.0;
        }
        let (mean, deviation) = self.mean_and_deviation();
        let Ok(normal) = Normal::new(mean, deviation) else { return 0.0 };
        let longer = normal.sf(silence as f64);
        if longer <= f64::MIN_POSITIVE { f64::MAX } else { -longer.log10() }
    }

    fn mean_and_deviation(&self) -> (f64, f64) {
        let count = self.intervals.len() as f64;
        let mean = self.intervals.iter().map(|interval| *interval as f64).sum::<f64>() / count;
        let squares =
            self.intervals.iter().map(|interval| (*interval as f64 - mean).powi(2)).sum::<f64>();
        (mean, (squares / count).sqrt().max(MIN_DEVIATION_MS))
    }

    /// Whether the leader is suspected.
    pub fn suspects(&self, now: MonotonicTime) -> bool {
        match self.silence_ms(now) {
            None => false,
            Some(silence) if silence < self.min_ms => false,
            Some(silence) if silence >= self.max_ms => true,
            Some(_) => self.phi(now) >= self.threshold,
        }
    }
}

#[cfg(test)]
mod tests;
