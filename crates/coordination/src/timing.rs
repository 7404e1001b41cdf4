//! How long the machines of the core wait for each other.

use std::time::Duration;

/// How long things take and are waited for.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub ping_every: Duration,
    /// A voter that has not answered for so long is taken for down.
    pub down_after: Duration,
    /// And for so long, for lost: another may take its place.
    pub lost_after: Duration,
    pub ask_again_after: Duration,
    /// A view that is sealed, with nothing heard for so long of an attempt to end it, is taken up by whoever waits.
    pub sealed_too_long: Duration,
    /// Links that do not hold the version by then are left out, if there are enough others.
    pub hold_patience: Duration,
    /// An attempt that has not come to an end by then is begun anew.
    pub attempt_timeout: Duration,
    /// The same while the links fetch what they lack.
    pub hold_timeout: Duration,
    /// Between the turns of those who may propose.
    pub turn: Duration,
    pub follow_every: Duration,
    /// A machine that wants to join must have asked within this time.
    pub joiner_holds: Duration,
    /// The first view is formed of fewer voters than wanted once so much time has passed.
    pub first_view_patience: Duration,
    /// Bytes for copying are kept so long after the last question.
    pub copy_idle: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            ping_every: ms(200),
            down_after: ms(1_000),
            lost_after: ms(2_500),
            ask_again_after: ms(250),
            sealed_too_long: ms(900),
            hold_patience: ms(500),
            attempt_timeout: ms(1_200),
            hold_timeout: ms(8_000),
            turn: ms(200),
            follow_every: ms(200),
            joiner_holds: ms(1_500),
            first_view_patience: ms(2_500),
            copy_idle: ms(5_000),
        }
    }
}
