//! The time of day. It is near true time only, and differs between machines: nothing that must hold may rest on it.

use std::cell::RefCell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A larger difference from the steady clock is a step of the time of day.
const STEP: Duration = Duration::from_millis(300);
/// A step that has lasted for so long is believed.
const BELIEVED_AFTER: Duration = Duration::from_secs(120);

thread_local! {
    static CLOCK: RefCell<Option<(Instant, WallClock)>> = const { RefCell::new(None) };
}

/// Since the start of 1970, as far as this machine knows. When the time of day steps, the steady clock counts on, until the step
/// has lasted for two minutes.
pub fn wall_clock() -> Duration {
    let told = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    CLOCK.with_borrow_mut(|clock| {
        let (began, clock) = clock.get_or_insert_with(|| (Instant::now(), WallClock::new(told)));
        clock.read(began.elapsed(), told)
    })
}

/// Tells the time of day without its steps.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// The time of day less the steady clock's.
    offset: Duration,
    /// Since when, on the steady clock, the time of day is elsewhere.
    stepped_at: Option<Duration>,
}

impl WallClock {
    /// Begins with the time of day when the steady clock reads zero.
    pub fn new(told: Duration) -> Self {
        Self { offset: told, stepped_at: None }
    }

    /// The time of day, from the steady clock's time and what the machine says.
    pub fn read(&mut self, steady: Duration, told: Duration) -> Duration {
        let expected = self.offset + steady;
        if told.abs_diff(expected) <= STEP {
            self.stepped_at = None;
            self.offset = told.saturating_sub(steady);
            return told;
        }
        let since = *self.stepped_at.get_or_insert(steady);
        if steady.saturating_sub(since) < BELIEVED_AFTER {
            return expected;
        }
        self.stepped_at = None;
        self.offset = told.saturating_sub(steady);
        told
    }
}
