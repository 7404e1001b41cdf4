//! How long the opening of a connection is waited for: what it usually takes, with room for its scatter. Pure.

use std::time::Duration;

use crate::duration_estimator::DurationEstimator;

/// Before anything is known, and at most.
const LONGEST: Duration = Duration::from_millis(300);
/// At least: a process that has a small part of a core is late by some tens of milliseconds now and then.
const SHORTEST: Duration = Duration::from_millis(50);
/// With each attempt in a row that was given up the patience doubles, so often at most.
const MOST_DOUBLINGS: u32 = 3;

/// The times that attempts took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectTimes {
    adaptive: bool,
    usual: DurationEstimator,
    given_up: u32,
}

impl ConnectTimes {
    /// Not adaptive: the patience is always the longest.
    pub fn new(adaptive: bool) -> Self {
        Self { adaptive, ..Self::default() }
    }

    /// An attempt came to an end, opened or refused, after that time.
    pub fn took(&mut self, time: Duration) {
        self.given_up = 0;
        self.usual.record(time);
    }

    /// An attempt was given up.
    pub fn timed_out(&mut self) {
        self.given_up = (self.given_up + 1).min(MOST_DOUBLINGS);
    }

    /// How long the next attempt is waited for.
    pub fn patience(&self) -> Duration {
        let Some(usual) = self.usual.upper_bound().filter(|_| self.adaptive) else { return LONGEST };
        (usual.max(SHORTEST) * 2_u32.pow(self.given_up)).min(LONGEST)
    }
}

#[cfg(test)]
mod tests;
