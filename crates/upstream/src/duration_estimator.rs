//! How long something usually takes, with its scatter (the running means of RFC 6298). Pure.

use std::time::Duration;

/// Weights of a new time and of its distance in the running means.
const TIME_WEIGHT: f64 = 1.0 / 8.0;
const DISTANCE_WEIGHT: f64 = 1.0 / 4.0;
/// What takes longer than the mean time and so many mean distances from it is unusual.
const DISTANCES: f64 = 4.0;

/// Running means, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationEstimator {
    mean_s: Option<f64>,
    distance_s: f64,
}

impl DurationEstimator {
    /// It took so long once more.
    pub fn record(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        match self.mean_s {
            None => {
                self.mean_s = Some(time_s);
                self.distance_s = time_s / 2.0;
            }
            Some(mean_s) => {
                self.distance_s += DISTANCE_WEIGHT * ((time_s - mean_s).abs() - self.distance_s);
                self.mean_s = Some(mean_s + TIME_WEIGHT * (time_s - mean_s));
            }
        }
    }

    /// What is longer than this is unusual; none before anything is known.
    pub fn upper_bound(&self) -> Option<Duration> {
        self.mean_plus_deviations(DISTANCES)
    }

    /// The mean time and so many mean distances from it.
    pub fn mean_plus_deviations(&self, distances: f64) -> Option<Duration> {
        self.mean_s.map(|mean_s| Duration::from_secs_f64(mean_s + distances * self.distance_s))
    }
}
