//! The time that a limiter was awake. One that was itself stopped, starved of the processor or whose clock jumped
//! must not count that time against the others: by the clock alone all of them would have been silent.

use fennelgauge::time::{Moment, Span};

/// Looked at this often at least while awake; what is missing beyond it, this limiter slept through.
pub const BEAT: Span = Span::from_millis(250);
/// So much later than meant is no lateness of a loaded machine any more.
const LATE: Span = Span::from_millis(250);
/// Awake for so long without a lapse, one lapse is forgotten.
const MENDS: Span = Span::from_millis(10_000);
/// More lapses than this are counted no further.
const MOST_LAPSES: u32 = 4;

#[derive(Clone, Debug)]
pub struct Awake {
    last: Moment,
    awake: Moment,
    lapses: u32,
    mends: Moment,
    /// All time slept through, ever.
    pub slept: Span,
}

impl Awake {
    pub fn new(now: Moment) -> Self {
        Self { last: now, awake: now, lapses: 0, mends: now, slept: Span::ZERO }
    }

    /// The present moment of the time awake; it runs on by [`BEAT`] at most between two looks.
    pub fn look(&mut self, now: Moment) -> Moment {
        let passed = now.since(self.last);
        self.last = now;
        let slept = if passed > BEAT + LATE { passed.micros() - BEAT.micros() } else { 0 };
        self.awake = self.awake + Span::from_micros(passed.micros() - slept);
        if slept > 0 {
            self.slept = self.slept + Span::from_micros(slept);
            self.lapses = (self.lapses + 1).min(MOST_LAPSES);
            self.mends = self.awake + MENDS;
        } else if self.lapses > 0 && self.awake >= self.mends {
            self.lapses -= 1;
            self.mends = self.awake + MENDS;
        }
        self.awake
    }

    /// How often it slept of late, four at most: whom it suspects gets so many times longer to speak up.
    pub fn lapses(&self) -> u32 {
        self.lapses
    }

    /// When a moment of the time awake comes, if nothing is slept through until then.
    pub fn real(&self, awake: Moment) -> Moment {
        self.last + awake.since(self.awake)
    }
}

#[cfg(test)]
mod tests;
