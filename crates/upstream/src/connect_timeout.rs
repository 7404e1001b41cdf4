//! Adaptive timeout for opening connections, derived from the duration of earlier attempts and their variation.

use std::time::Duration;

use crate::duration_estimator::DurationEstimator;

/// Upper bound, which also applies before any attempt has ended.
const MAX_TIMEOUT: Duration = Duration::from_millis(300);
/// Lower bound. A process with a small share of a core is now and then delayed by some tens of milliseconds.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);
/// The timeout doubles with each consecutive attempt that timed out, at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// Estimates the timeout for the next attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectTimeout {
    adaptive: bool,
    estimator: DurationEstimator,
    /// Number of consecutive attempts that timed out, at most [`MAX_DOUBLINGS`].
    timeouts: u32,
}

impl ConnectTimeout {
    /// Creates an estimator. If `adaptive` is false, the timeout is always [`MAX_TIMEOUT`].
    pub fn new(adaptive: bool) -> Self {
        Self { adaptive, ..Self::default() }
    }

    /// Records an attempt that ended after `duration`, either connected or refused.
    pub fn record_completed(&mut self, duration: Duration) {
        self.timeouts = 0;
        self.estimator.record(duration);
    }

    /// Records an attempt that timed out.
    pub fn record_timeout(&mut self) {
        self.timeouts = (self.timeouts + 1).min(MAX_DOUBLINGS);
    }

    /// Returns the timeout for the next attempt.
    pub fn timeout(&self) -> Duration {
        let Some(bound) = self.estimator.upper_bound().filter(|_| self.adaptive) else { return MAX_TIMEOUT };
        (bound.max(MIN_TIMEOUT) * 2_u32.pow(self.timeouts)).min(MAX_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
