//! A clock of active time that excludes the intervals in which this process did not run. A gateway that was stopped,
//! starved of CPU, or whose clock jumped must not hold that time against the others: by the system clock alone, all of
//! them would seem to have been silent.

use fennelgauge::time::{Moment, Span};

/// Longest interval between two readings while the process runs. Of a pause, only this much counts as active time.
pub const MAX_ADVANCE: Span = Span::from_millis(250);
/// A reading that is late by more than this is treated as a pause, not as the scheduling delay of a loaded machine.
const SCHEDULING_TOLERANCE: Span = Span::from_millis(250);
/// Active time without a pause after which one recent pause is forgotten.
const FORGIVE_AFTER: Span = Span::from_millis(10_000);
/// Upper bound of [`ActiveClock::recent_pauses`].
const MAX_PAUSES: u32 = 4;

/// Converts readings of the system clock to active time and counts pauses.
#[derive(Clone, Debug)]
pub struct ActiveClock {
    last_reading: Moment,
    active_time: Moment,
    recent_pauses: u32,
    forgive_at: Moment,
    /// Sum of all time excluded from active time since the start.
    pub total_paused: Span,
}

impl ActiveClock {
    /// Starts with active time equal to `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            last_reading: now,
            active_time: now,
            recent_pauses: 0,
            forgive_at: now,
            total_paused: Span::ZERO,
        }
    }

    /// Takes a reading of the system clock and returns the active time. A gap longer than a scheduling delay advances
    /// it by [`MAX_ADVANCE`] only; a clock that was set back does not advance it.
    pub fn advance(&mut self, now: Moment) -> Moment {
        let elapsed = now.since(self.last_reading);
        self.last_reading = now;
        let paused_us = if elapsed > MAX_ADVANCE + SCHEDULING_TOLERANCE {
            elapsed.micros() - MAX_ADVANCE.micros()
        } else {
            0
        };
        self.active_time = self.active_time + Span::from_micros(elapsed.micros() - paused_us);
        if paused_us > 0 {
            self.total_paused = self.total_paused + Span::from_micros(paused_us);
            self.recent_pauses = (self.recent_pauses + 1).min(MAX_PAUSES);
            self.forgive_at = self.active_time + FORGIVE_AFTER;
        } else if self.recent_pauses > 0 && self.active_time >= self.forgive_at {
            self.recent_pauses -= 1;
            self.forgive_at = self.active_time + FORGIVE_AFTER;
        }
        self.active_time
    }

    /// Returns the number of recent pauses, at most four. The suspicion timeout is extended by that many times its
    /// length.
    pub fn recent_pauses(&self) -> u32 {
        self.recent_pauses
    }

    /// Converts a moment of active time to system time, assuming no pause until then.
    pub fn wall_time(&self, active_time: Moment) -> Moment {
        self.last_reading + active_time.since(self.active_time)
    }
}

#[cfg(test)]
mod tests;
