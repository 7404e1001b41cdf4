//! Counts of successes and failures of one server that decay with time.

use std::time::Duration;

/// Time after which an outcome counts 1/e.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Successes that are assumed in addition to the counted ones, so that a single failure does not yield a failure ratio of 1.
const ASSUMED_SUCCESSES: f64 = 1.0;
/// Failure ratios below this are reported as 0.
const MIN_FAILURE_RATIO: f64 = 0.05;

/// Exponentially decaying counts of successes and failures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingOutcomes {
    successes: f64,
    failures: f64,
}

impl DecayingOutcomes {
    /// Creates counts from the tenths in a report.
    pub fn from_tenths(successes: u32, failures: u32) -> Self {
        Self { successes: f64::from(successes) / 10.0, failures: f64::from(failures) / 10.0 }
    }

    /// Returns the counts of successes and failures in tenths, rounded down: counts that have decayed to almost nothing become 0
    /// and need not be reported.
    pub fn tenths(&self) -> (u32, u32) {
        ((self.successes * 10.0) as u32, (self.failures * 10.0) as u32)
    }

    /// Reduces the counts by the decay during `elapsed`.
    pub fn decay(&mut self, elapsed: Duration) {
        let factor = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.successes *= factor;
        self.failures *= factor;
    }

    /// Counts one success.
    pub fn record_success(&mut self) {
        self.successes += 1.0;
    }

    /// Counts one failure.
    pub fn record_failure(&mut self) {
        self.failures += 1.0;
    }

    /// Returns the sums of both pairs of counts.
    pub fn combined_with(&self, other: &Self) -> Self {
        Self { successes: self.successes + other.successes, failures: self.failures + other.failures }
    }

    /// Returns the fraction of failures among the outcomes, between 0 and 1. Few outcomes yield a low ratio, and a ratio below 0.05 is
    /// returned as 0: otherwise the last trace of an old failure would rank a server behind others that are equal to it.
    pub fn failure_ratio(&self) -> f64 {
        let ratio = self.failures / (self.successes + self.failures + ASSUMED_SUCCESSES);
        match ratio < MIN_FAILURE_RATIO {
            true => 0.0,
            false => ratio,
        }
    }
}
