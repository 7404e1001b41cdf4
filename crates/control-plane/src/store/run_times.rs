//! How long items run, by their tokens. Pure.

use std::time::Duration;

use fennelgauge_upstream::DurationEstimator;

/// Mean distances above the mean time within which nearly all runs end.
const DISTANCES: f64 = 2.0;
/// The unit in which runs are compared.
const UNIT_TOKENS: f64 = 1_000.0;

/// Times of whole runs at one server, for each thousand tokens of the item.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    unit: DurationEstimator,
}

impl RunTimes {
    /// An item of so many tokens was run from its start to its end.
    pub fn took(&mut self, tokens: u64, time: Duration) {
        self.unit.record(time.mul_f64(UNIT_TOKENS / tokens.max(1) as f64));
    }

    /// Within so many milliseconds nearly all items of so many tokens end; 0 where nothing is known.
    pub fn longest_usual_ms(&self, tokens: u64) -> u64 {
        let unit = self.unit.mean_plus_deviations(DISTANCES).unwrap_or_default();
        (unit.as_secs_f64() * 1_000.0 * tokens as f64 / UNIT_TOKENS) as u64
    }
}

#[cfg(test)]
mod tests;
