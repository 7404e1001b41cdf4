//! How long the machines of the core wait for each other.

use std::time::Duration;

/// How long things take and are waited for.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub ping_interval: Duration,
    /// A voter that has not answered for so long is taken for down.
    pub suspect_after: Duration,
    /// And for so long, for lost: another may take its place.
    pub replace_after: Duration,
    pub resend_interval: Duration,
    /// A view that is sealed, with nothing heard for so long of an attempt to end it, is taken up by whoever waits.
    pub sealed_view_timeout: Duration,
    /// Links that do not hold the version by then are left out, if there are enough others.
    pub persist_grace_period: Duration,
    /// An attempt that has not come to an end by then is begun anew.
    pub attempt_timeout: Duration,
    /// The same while the links fetch what they lack.
    pub persist_timeout: Duration,
    /// Between the turns of those who may propose.
    pub takeover_stagger: Duration,
    pub catch_up_interval: Duration,
    /// A machine that wants to join must have asked within this time.
    pub join_request_ttl: Duration,
    /// The first view is formed of fewer voters than wanted once so much time has passed.
    pub bootstrap_grace_period: Duration,
    /// Bytes for copying are kept so long after the last question.
    pub snapshot_idle_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            ping_interval: ms(200),
            suspect_after: ms(1_000),
            replace_after: ms(2_500),
            resend_interval: ms(250),
            sealed_view_timeout: ms(900),
            persist_grace_period: ms(500),
            attempt_timeout: ms(1_200),
            persist_timeout: ms(8_000),
            takeover_stagger: ms(200),
            catch_up_interval: ms(200),
            join_request_ttl: ms(1_500),
            bootstrap_grace_period: ms(2_500),
            snapshot_idle_timeout: ms(5_000),
        }
    }
}
