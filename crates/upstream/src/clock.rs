//! The time of day without steps of the machine's clock. It is approximate and differs between machines, so
//! correctness must not depend on it.

use std::cell::RefCell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A larger deviation of the system clock from the expected time is taken for a step.
const STEP_THRESHOLD: Duration = Duration::from_millis(300);
/// A step that lasts for this long is accepted as the new time.
const STEP_ACCEPTED_AFTER: Duration = Duration::from_secs(120);

thread_local! {
    static CLOCK: RefCell<Option<(Instant, WallClock)>> = const { RefCell::new(None) };
}

/// Returns the time since the Unix epoch. After a step of the system clock, time continues by the monotonic clock
/// until the step has lasted for two minutes.
pub fn wall_clock() -> Duration {
    let system = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    CLOCK.with_borrow_mut(|clock| {
        let (started, clock) = clock.get_or_insert_with(|| (Instant::now(), WallClock::new(system)));
        clock.read(started.elapsed(), system)
    })
}

/// Filters steps out of the system clock with the help of the monotonic clock.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// Time of day minus monotonic time.
    offset: Duration,
    /// Monotonic time at which the current step was first seen.
    stepped_at: Option<Duration>,
}

impl WallClock {
    /// Creates a clock; `system` is the time of day at monotonic time zero.
    pub fn new(system: Duration) -> Self {
        Self { offset: system, stepped_at: None }
    }

    /// Returns the time of day, given the current monotonic time and system time.
    pub fn read(&mut self, monotonic: Duration, system: Duration) -> Duration {
        let expected = self.offset + monotonic;
        if system.abs_diff(expected) <= STEP_THRESHOLD {
            self.stepped_at = None;
            self.offset = system.saturating_sub(monotonic);
            return system;
        }
        let stepped_at = *self.stepped_at.get_or_insert(monotonic);
        if monotonic.saturating_sub(stepped_at) < STEP_ACCEPTED_AFTER {
            return expected;
        }
        self.stepped_at = None;
        self.offset = system.saturating_sub(monotonic);
        system
    }
}
