//! Statistics of the load that jobs offer, from which ready capacity is sized.
//!
//! Two kinds of work need machines before they arrive, because it takes longer to boot one than the work
//! may wait: short-running work and gangs. What they would use if all of it began on arrival is averaged
//! over time with exponential decay. The record is kept in the state store for the next leader.

use serde::{Deserialize, Serialize};

use crate::model::Cores;

/// Half-lives of a remembered peak in seconds, for capacity of any kind and on spot machines, which are
/// cheap enough to be held longer.
const PEAK_HALF_LIFE_S: f64 = 100.0;
const SLOW_PEAK_HALF_LIFE_S: f64 = 250.0;
/// Time constants in seconds of the averages of urgent short-running work and of other work.
const URGENT_TIME_CONSTANT_S: f64 = 120.0;
const TIME_CONSTANT_S: f64 = 60.0;
/// Ready capacity for short-running work on spot machines: the mean of urgent work and so many standard
/// deviations, and at least this share of its slowly decaying peak.
const SPOT_DEVIATIONS: f64 = 1.5;
const SPOT_PEAK_SHARE: f64 = 1.0;
/// The same on machines of any kind, against the faster decaying peak: ordinary machines cost more.
const ANY_DEVIATIONS: f64 = 0.7;
const ANY_PEAK_SHARE: f64 = 0.5;
/// Ready capacity of either kind is at least this multiple of the mean of all short-running work.
const SHORT_RUNNING_MEAN_SHARE: f64 = 1.1;
/// Time constant in seconds of the average of gangs.
const GANG_TIME_CONSTANT_S: f64 = 120.0;
/// Standard deviations above the mean that gangs find ready.
const GANG_DEVIATIONS: f64 = 2.0;
/// Free room for gangs at any time, as a multiple of the largest.
const LARGEST_GANG_MULTIPLE: f64 = 4.0;
/// Gangs are rare if their mean is below this share of the largest; then no machines idle for the next.
const RARE_GANG_SHARE: f64 = 0.125;

/// What work of the kinds that need ready capacity would use; stored for the next leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// Cores of urgent short-running work.
    urgent: DecayingAverage,
    /// Cores of all short-running work.
    #[serde(rename = "brief")]
    short_running: DecayingAverage,
    /// Cores that long-running work uses.
    #[serde(default)]
    #[serde(rename = "long")]
    long_running: DecayingAverage,
    /// Decaying peaks of urgent short-running work.
    peak: f64,
    slow_peak: f64,
    /// Gangs that may not use spot machines.
    #[serde(default)]
    #[serde(rename = "gangs")]
    ordinary_gangs: GangLoad,
    /// Gangs that allow spot machines.
    #[serde(default)]
    #[serde(rename = "loose_gangs")]
    spot_gangs: GangLoad,
}

/// Cores of work at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// What short-running work would use if all of it began on arrival.
    pub short_running: Cores,
    /// The urgent share of that.
    pub urgent: Cores,
    /// What long-running work uses.
    pub long_running: Cores,
}

/// Cores of gangs at one moment, if all began on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GangSample {
    /// All gangs together.
    pub total: Cores,
    /// The largest one.
    pub largest: Cores,
}

impl OfferedLoad {
    /// Adds a sample that stands for the last `elapsed_s` seconds.
    pub(crate) fn record(&mut self, sample: LoadSample, elapsed_s: f64) {
        let urgent = sample.urgent.amount();
        self.urgent.record(urgent, (-elapsed_s / URGENT_TIME_CONSTANT_S).exp());
        let keep = (-elapsed_s / TIME_CONSTANT_S).exp();
        self.short_running.record(sample.short_running.amount(), keep);
        self.long_running.record(sample.long_running.amount(), keep);
        let decayed =
            |peak: f64, half_life_s: f64| (peak * 0.5f64.powf(elapsed_s / half_life_s)).max(urgent);
        self.peak = decayed(self.peak, PEAK_HALF_LIFE_S);
        self.slow_peak = decayed(self.slow_peak, SLOW_PEAK_HALF_LIFE_S);
    }

    /// Adds samples of gangs that stand for the last `elapsed_s` seconds: those that may not use spot
    /// machines, and those that allow them.
    pub(crate) fn record_gangs(&mut self, ordinary: GangSample, spot: GangSample, elapsed_s: f64) {
        self.ordinary_gangs.record(ordinary, elapsed_s);
        self.spot_gangs.record(spot, elapsed_s);
    }

    /// Cores that stay free for gangs that allow spot machines, or for those that do not, while they
    /// use `in_use` cores.
    pub fn gang_headroom(&self, allows_spot: bool, in_use: f64) -> f64 {
        let load = if allows_spot { &self.spot_gangs } else { &self.ordinary_gangs };
        load.headroom(in_use)
    }

    /// Cores that short-running work finds ready, in use or free, on spot machines or on any.
    pub fn ready_cores(&self, spot: bool) -> f64 {
        let (peak_share, peak, deviations) = match spot {
            true => (SPOT_PEAK_SHARE, self.slow_peak, SPOT_DEVIATIONS),
            false => (ANY_PEAK_SHARE, self.peak, ANY_DEVIATIONS),
        };
        let usual = self.urgent.mean() + deviations * self.urgent.deviation();
        usual.max(peak * peak_share).max(self.short_running.mean() * SHORT_RUNNING_MEAN_SHARE)
    }

    /// Mean of the cores that long-running work used lately.
    pub fn long_running_mean(&self) -> f64 {
        self.long_running.mean()
    }
}

/// Statistics of one kind of gangs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct GangLoad {
    cores: DecayingAverage,
    /// Decaying peak of the largest one's cores.
    largest: f64,
}

impl GangLoad {
    fn record(&mut self, sample: GangSample, elapsed_s: f64) {
        // The average begins with the first gang.
        if sample.total > Cores(0) || self.cores.weight > 0.0 {
            self.cores.record(sample.total.amount(), (-elapsed_s / GANG_TIME_CONSTANT_S).exp());
        }
        let decayed = self.largest * 0.5f64.powf(elapsed_s / SLOW_PEAK_HALF_LIFE_S);
        self.largest = decayed.max(sample.largest.amount());
    }

    fn headroom(&self, in_use: f64) -> f64 {
        let mean = self.cores.mean();
        if self.largest <= 0.0 || mean < self.largest * RARE_GANG_SHARE {
            return 0.0;
        }
        let ready = mean + GANG_DEVIATIONS * self.cores.deviation();
        (ready - in_use).max(self.largest * LARGEST_GANG_MULTIPLE)
    }
}

/// Mean and standard deviation of an amount over time, with exponential decay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct DecayingAverage {
    /// Sum of the samples' weights; below 1 until the first samples have decayed.
    weight: f64,
    sum: f64,
    #[serde(rename = "squares")]
    sum_of_squares: f64,
}

impl DecayingAverage {
    /// Adds a sample; `keep` is the factor of what was recorded before, from 0 to 1.
    fn record(&mut self, amount: f64, keep: f64) {
        let new = 1.0 - keep;
        self.weight = self.weight * keep + new;
        self.sum = self.sum * keep + amount * new;
        self.sum_of_squares = self.sum_of_squares * keep + amount * amount * new;
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }

    fn deviation(&self) -> f64 {
        let mean = self.mean();
        let mean_square = if self.weight > 0.0 { self.sum_of_squares / self.weight } else { 0.0 };
        (mean_square - mean * mean).max(0.0).sqrt()
    }
}
