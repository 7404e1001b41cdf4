//! How long the opening of a connection is waited for: what it usually takes, with room for its scatter (as RFC 6298 does for
//! retransmissions). Pure.

use std::time::Duration;

/// Before anything is known, and at most.
const LONGEST: Duration = Duration::from_millis(300);
/// At least: a process that has a small part of a core is late by some tens of milliseconds now and then.
const SHORTEST: Duration = Duration::from_millis(50);
/// Weights of a new time and of its distance in the running means.
const TIME_WEIGHT: f64 = 1.0 / 8.0;
const DISTANCE_WEIGHT: f64 = 1.0 / 4.0;
/// The patience is the mean time and so many mean distances from it.
const DISTANCES: f64 = 4.0;
/// With each attempt in a row that was given up the patience doubles, so often at most.
const MOST_DOUBLINGS: u32 = 3;

/// Running means of the times that attempts took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectTimes {
    adaptive: bool,
    mean_s: Option<f64>,
    distance_s: f64,
    given_up: u32,
}

impl ConnectTimes {
    /// Not adaptive: the patience is always the longest.
    pub fn new(adaptive: bool) -> Self {
        Self { adaptive, ..Self::default() }
    }

    /// An attempt came to an end, opened or refused, after that time.
    pub fn took(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        self.given_up = 0;
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

    /// An attempt was given up.
    pub fn timed_out(&mut self) {
        self.given_up = (self.given_up + 1).min(MOST_DOUBLINGS);
    }

    /// How long the next attempt is waited for.
    pub fn patience(&self) -> Duration {
        let Some(mean_s) = self.mean_s.filter(|_| self.adaptive) else { return LONGEST };
        let usual = Duration::from_secs_f64(mean_s + DISTANCES * self.distance_s);
        (usual.max(SHORTEST) * 2_u32.pow(self.given_up)).min(LONGEST)
    }
}

#[cfg(test)]
mod tests;
