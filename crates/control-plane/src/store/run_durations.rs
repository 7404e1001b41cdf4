//! Estimates how long items run, by their number of tokens. Does no I/O and reads no clock.

use std::time::Duration;

use fennelgauge_upstream::DurationEstimator;

/// Number of mean deviations above the mean within which nearly all runs end.
const DEVIATIONS: f64 = 2.0;
/// Number of tokens to which the durations of runs are scaled for comparison.
const REFERENCE_TOKENS: f64 = 1_000.0;

/// Durations of complete runs at one server, scaled to `REFERENCE_TOKENS`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunDurations {
    scaled: DurationEstimator,
}

impl RunDurations {
    /// Records the duration of a complete run of an item with this many tokens.
    pub fn record(&mut self, tokens: u64, duration: Duration) {
        self.scaled.record(duration.mul_f64(REFERENCE_TOKENS / tokens.max(1) as f64));
    }

    /// Returns the time in milliseconds within which nearly all items with this many tokens complete; 0 if no run was
    /// recorded.
    pub fn upper_estimate_ms(&self, tokens: u64) -> u64 {
        let scaled = self.scaled.mean_plus_deviations(DEVIATIONS).unwrap_or_default();
        (scaled.as_secs_f64() * 1_000.0 * tokens as f64 / REFERENCE_TOKENS) as u64
    }
}

#[cfg(test)]
mod tests;
