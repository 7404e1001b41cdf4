//! Estimates how long an operation usually takes, with the smoothed mean and deviation of RFC 6298.

use std::time::Duration;

/// Weight of a new duration in the smoothed mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new deviation in the smoothed mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean from which on a duration is unusually long.
const UPPER_BOUND_DEVIATIONS: f64 = 4.0;

/// Smoothed mean and mean deviation of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationEstimator {
    /// In seconds; `None` before the first duration.
    mean_s: Option<f64>,
    /// In seconds.
    deviation_s: f64,
}

impl DurationEstimator {
    /// Records the duration of one more operation.
    pub fn record(&mut self, duration: Duration) {
        let duration_s = duration.as_secs_f64();
        match self.mean_s {
            None => {
                self.mean_s = Some(duration_s);
                self.deviation_s = duration_s / 2.0;
            }
            Some(mean_s) => {
                self.deviation_s += DEVIATION_WEIGHT * ((duration_s - mean_s).abs() - self.deviation_s);
                self.mean_s = Some(mean_s + MEAN_WEIGHT * (duration_s - mean_s));
            }
        }
    }

    /// Returns the duration above which an operation takes unusually long: four mean deviations above the mean.
    /// `None` before the first recorded duration.
    pub fn upper_bound(&self) -> Option<Duration> {
        self.mean_plus_deviations(UPPER_BOUND_DEVIATIONS)
    }

    /// Returns the mean plus `deviations` mean deviations. `None` before the first recorded duration.
    pub fn mean_plus_deviations(&self, deviations: f64) -> Option<Duration> {
        self.mean_s.map(|mean_s| Duration::from_secs_f64(mean_s + deviations * self.deviation_s))
    }
}
