//! The time that a limiter was awake. One that was itself stopped, starved of the processor or whose clock jumped
//! must not count that time against the others: by the clock alone all of them would have been silent.

use fennelgauge::time::{Moment, Span};

/// Looked at this often at least while awake; what is missing beyond it, this limiter slept through.
pub const MAX_ADVANCE: Span = Span::from_millis(250);
/// So much later than meant is no lateness of a loaded machine any more.
const SCHEDULING_TOLERANCE: Span = Span::from_millis(250);
/// Awake for so long without a lapse, one lapse is forgotten.
const FORGIVE_AFTER: Span = Span::from_millis(10_000);
/// More lapses than this are counted no further.
const MAX_PAUSES: u32 = 4;

#[derive(Clone, Debug)]
pub struct ActiveClock {
    last_reading: Moment,
    active_time: Moment,
    recent_pauses: u32,
    forgive_at: Moment,
    /// All time slept through, ever.
    pub total_paused: Span,
}

impl ActiveClock {
    pub fn new(now: Moment) -> Self {
        Self {
            last_reading: now,
            active_time: now,
            recent_pauses: 0,
            forgive_at: now,
            total_paused: Span::ZERO,
        }
    }

    /// The present moment of the time awake; it runs on by [`MAX_ADVANCE`] at most between two looks.
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

    /// How often it slept of late, four at most: whom it suspects gets so many times longer to speak up.
    pub fn recent_pauses(&self) -> u32 {
        self.recent_pauses
    }

    /// When a moment of the time awake comes, if nothing is slept through until then.
    pub fn wall_time(&self, active_time: Moment) -> Moment {
        self.last_reading + active_time.since(self.active_time)
    }
}

#[cfg(test)]
mod tests;
