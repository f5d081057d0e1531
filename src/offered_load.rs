//! Statistics of the offered load, which determine how much capacity is kept ready.
//!
//! Short-running work and gangs need machines that are up before the work arrives, because booting a machine takes
//! longer than the work may wait. The capacity kept up for short-running work is called ready capacity; for gangs,
//! headroom is kept free. The offered load is the number of cores that such work would use if all of it started on
//! arrival. It is averaged over time with exponential decay, and stored in the state store for the next leader.
//!
//! Work is urgent if its job has critical or high priority.

use serde::{Deserialize, Serialize};

use crate::model::Cores;

/// Half-life in seconds of the load peak that sizes ready capacity on machines of any kind.
const PEAK_HALF_LIFE_S: f64 = 100.0;
/// Half-life in seconds of the load peak that sizes ready capacity on spot machines, and of the peak of the largest
/// gang's cores. It is longer than [`PEAK_HALF_LIFE_S`] because spot machines are cheap enough to be kept longer.
const SLOW_PEAK_HALF_LIFE_S: f64 = 250.0;
/// Time constant in seconds of the average of urgent short-running work.
const URGENT_TIME_CONSTANT_S: f64 = 120.0;
/// Time constant in seconds of the averages of all short-running work and of long-running work.
const TIME_CONSTANT_S: f64 = 60.0;
/// Ready capacity for short-running work on spot machines covers the mean of urgent work plus this number of standard
/// deviations.
const SPOT_DEVIATIONS: f64 = 1.5;
/// Ready capacity for short-running work on spot machines covers this share of the slowly decaying peak.
const SPOT_PEAK_SHARE: f64 = 1.0;
/// Like [`SPOT_DEVIATIONS`], for machines of any kind. It is lower because on-demand machines cost more.
const ANY_DEVIATIONS: f64 = 0.7;
/// Ready capacity for short-running work on machines of any kind covers this share of the faster decaying peak. It is
/// lower than [`SPOT_PEAK_SHARE`] because on-demand machines cost more.
const ANY_PEAK_SHARE: f64 = 0.5;
/// Ready capacity on spot machines and on machines of any kind is at least this multiple of the mean of all
/// short-running work.
const SHORT_RUNNING_MEAN_MULTIPLE: f64 = 1.1;
/// Time constant in seconds of the average of gangs.
const GANG_TIME_CONSTANT_S: f64 = 120.0;
/// The cores in use by gangs plus the headroom for gangs cover the mean load of gangs plus this number of standard
/// deviations.
const GANG_DEVIATIONS: f64 = 2.0;
/// Minimum headroom for gangs that are not rare, as a multiple of the largest gang's cores.
const LARGEST_GANG_MULTIPLE: f64 = 4.0;
/// Gangs count as rare if their mean load is below this share of the largest gang's cores. No machines are kept idle
/// for rare gangs.
const RARE_GANG_SHARE: f64 = 0.125;

/// Statistics of the offered load, from which ready capacity is sized. Stored for the next leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// Offered load of urgent short-running work, in cores.
    urgent: DecayingAverage,
    /// Offered load of all short-running work, in cores.
    #[serde(rename = "brief")]
    short_running: DecayingAverage,
    /// Cores in use by long-running work.
    #[serde(default)]
    #[serde(rename = "long")]
    long_running: DecayingAverage,
    /// Peak of the urgent short-running load in cores, with a half-life of [`PEAK_HALF_LIFE_S`].
    peak: f64,
    /// Peak of the urgent short-running load in cores, with a half-life of [`SLOW_PEAK_HALF_LIFE_S`].
    slow_peak: f64,
    /// Load of gangs that may not use spot machines.
    #[serde(default)]
    #[serde(rename = "gangs")]
    on_demand_gangs: GangLoad,
    /// Load of gangs that allow spot machines.
    #[serde(default)]
    #[serde(rename = "loose_gangs")]
    spot_gangs: GangLoad,
}

/// Load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Cores that short-running work other than gangs would use if all of it started on arrival.
    pub short_running: Cores,
    /// The part of `short_running` that belongs to jobs of critical or high priority.
    pub urgent: Cores,
    /// Cores in use by long-running work, including gangs.
    pub long_running: Cores,
}

/// Load of gangs at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GangSample {
    /// Cores that all gangs together would use if each started on arrival.
    pub total: Cores,
    /// Cores of the largest gang.
    pub largest: Cores,
}

impl OfferedLoad {
    /// Records a sample of the load, which stands for the last `elapsed_s` seconds.
    pub(crate) fn record(&mut self, sample: LoadSample, elapsed_s: f64) {
        let urgent = sample.urgent.amount();
        self.urgent.record(urgent, (-elapsed_s / URGENT_TIME_CONSTANT_S).exp());
        let retained = (-elapsed_s / TIME_CONSTANT_S).exp();
        self.short_running.record(sample.short_running.amount(), retained);
        self.long_running.record(sample.long_running.amount(), retained);
        let decayed =
            |peak: f64, half_life_s: f64| (peak * 0.5f64.powf(elapsed_s / half_life_s)).max(urgent);
        self.peak = decayed(self.peak, PEAK_HALF_LIFE_S);
        self.slow_peak = decayed(self.slow_peak, SLOW_PEAK_HALF_LIFE_S);
    }

    /// Records samples of the load of gangs, which stand for the last `elapsed_s` seconds. `on_demand` covers gangs
    /// that may not use spot machines, and `spot` gangs that allow them.
    pub(crate) fn record_gangs(&mut self, on_demand: GangSample, spot: GangSample, elapsed_s: f64) {
        self.on_demand_gangs.record(on_demand, elapsed_s);
        self.spot_gangs.record(spot, elapsed_s);
    }

    /// Returns the cores to keep free for arriving gangs that allow spot machines, or for arriving gangs that do not.
    /// `in_use` is the number of cores that gangs of the same kind use now.
    pub fn gang_headroom(&self, allows_spot: bool, in_use: f64) -> f64 {
        let load = if allows_spot { &self.spot_gangs } else { &self.on_demand_gangs };
        load.headroom(in_use)
    }

    /// Returns the ready capacity for short-running work in cores, both in use and free: on spot machines if
    /// `spot_only` is set, otherwise on machines of any kind. The value for spot machines is never below the other one.
    pub fn ready_cores(&self, spot_only: bool) -> f64 {
        let (peak_share, peak, deviations) = match spot_only {
            true => (SPOT_PEAK_SHARE, self.slow_peak, SPOT_DEVIATIONS),
            false => (ANY_PEAK_SHARE, self.peak, ANY_DEVIATIONS),
        };
        let expected = self.urgent.mean() + deviations * self.urgent.standard_deviation();
        expected.max(peak * peak_share).max(self.short_running.mean() * SHORT_RUNNING_MEAN_MULTIPLE)
    }

    /// Returns the recent mean of the cores in use by long-running work.
    pub fn long_running_mean(&self) -> f64 {
        self.long_running.mean()
    }
}

/// Statistics of the load of gangs that allow spot machines, or of gangs that do not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct GangLoad {
    /// Offered load of all gangs together, in cores.
    cores: DecayingAverage,
    /// Peak of the largest gang's cores, with a half-life of [`SLOW_PEAK_HALF_LIFE_S`].
    largest: f64,
}

impl GangLoad {
    fn record(&mut self, sample: GangSample, elapsed_s: f64) {
        // The time before the first gang does not count towards the average.
        if sample.total > Cores(0) || self.cores.weight > 0.0 {
            self.cores.record(sample.total.amount(), (-elapsed_s / GANG_TIME_CONSTANT_S).exp());
        }
        let decayed = self.largest * 0.5f64.powf(elapsed_s / SLOW_PEAK_HALF_LIFE_S);
        self.largest = decayed.max(sample.largest.amount());
    }

    /// Returns the cores to keep free for arriving gangs while present gangs use `in_use` cores.
    fn headroom(&self, in_use: f64) -> f64 {
        let mean = self.cores.mean();
        if self.largest <= 0.0 || mean < self.largest * RARE_GANG_SHARE {
            return 0.0;
        }
        let ready_cores = mean + GANG_DEVIATIONS * self.cores.standard_deviation();
        (ready_cores - in_use).max(self.largest * LARGEST_GANG_MULTIPLE)
    }
}

/// Exponentially decaying mean and standard deviation of an amount over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct DecayingAverage {
    /// Sum of the sample weights, which approaches 1 as samples are recorded.
    weight: f64,
    /// Weighted sum of the amounts.
    sum: f64,
    /// Weighted sum of the squared amounts.
    #[serde(rename = "squares")]
    sum_of_squares: f64,
}

impl DecayingAverage {
    /// Records an amount. `retained` is the factor, from 0 to 1, by which the weight of earlier amounts decays.
    fn record(&mut self, amount: f64, retained: f64) {
        let new_weight = 1.0 - retained;
        self.weight = self.weight * retained + new_weight;
        self.sum = self.sum * retained + amount * new_weight;
        self.sum_of_squares = self.sum_of_squares * retained + amount * amount * new_weight;
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }

    fn standard_deviation(&self) -> f64 {
        let mean = self.mean();
        let mean_square = if self.weight > 0.0 { self.sum_of_squares / self.weight } else { 0.0 };
        (mean_square - mean * mean).max(0.0).sqrt()
    }
}
