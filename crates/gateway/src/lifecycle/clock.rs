//! The gateway's clock: Unix time at the start, advanced by the monotonic clock.

use fennelgauge::time::Moment;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock of Unix time that does not step. Unix time is needed because counter keys contain the time and servers
/// report their start in Unix time; a step of the system clock must neither fire all timers at once nor stop them.
pub struct Clock {
    unix_us_at_start: u64,
    start: Instant,
}

impl Clock {
    /// Reads the system clock once and starts from there.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix_us_at_start: u64::try_from(unix.as_micros()).unwrap_or(u64::MAX), start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        let elapsed_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Moment::from_micros(self.unix_us_at_start.saturating_add(elapsed_us))
    }
}
