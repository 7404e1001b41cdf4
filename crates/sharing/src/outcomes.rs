//! Answers and failures of one server, the older the less they count.

use std::time::Duration;

/// After so long an outcome counts by 1/e.
const FADES_IN: Duration = Duration::from_secs(2);
/// A server without any outcomes counts as if it had so many answers.
const ASSUMED_GOOD: f64 = 1.0;
/// A smaller part of failures is none.
const LEAST_TROUBLE: f64 = 0.05;

/// Fading counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingOutcomes {
    good: f64,
    bad: f64,
}

impl DecayingOutcomes {
    /// From the tenths of a report.
    pub fn from_tenths(good: u32, bad: u32) -> Self {
        Self { good: f64::from(good) / 10.0, bad: f64::from(bad) / 10.0 }
    }

    /// In tenths, rounded down, so that what has nearly faded is not told.
    pub fn tenths(&self) -> (u32, u32) {
        ((self.good * 10.0) as u32, (self.bad * 10.0) as u32)
    }

    /// Time went by.
    pub fn decay(&mut self, passed: Duration) {
        let kept = (-passed.as_secs_f64() / FADES_IN.as_secs_f64()).exp();
        self.good *= kept;
        self.bad *= kept;
    }

    pub fn record_success(&mut self) {
        self.good += 1.0;
    }

    pub fn record_failure(&mut self) {
        self.bad += 1.0;
    }

    /// Both together.
    pub fn combined_with(&self, other: &Self) -> Self {
        Self { good: self.good + other.good, bad: self.bad + other.bad }
    }

    /// The part of the outcomes that were failures, between 0 and 1; little is made of few, and nothing of what has nearly
    /// faded, as even a trace would set a server behind all that are alike.
    pub fn failure_ratio(&self) -> f64 {
        let part = self.bad / (self.good + self.bad + ASSUMED_GOOD);
        match part < LEAST_TROUBLE {
            true => 0.0,
            false => part,
        }
    }
}
