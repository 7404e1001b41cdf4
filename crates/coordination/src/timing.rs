//! Intervals and timeouts of the core's protocols.

use std::time::Duration;

/// Intervals and timeouts of a [`crate::Coordinator`].
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between ping rounds.
    pub ping_interval: Duration,
    /// A voter that has not answered for this long is suspected to be down and leaves the chain.
    pub suspect_after: Duration,
    /// A voter that has not answered for this long counts as lost: another machine may replace it.
    pub replace_after: Duration,
    /// Interval at which an attempt repeats requests that were not answered.
    pub resend_interval: Duration,
    /// After a sealed view has seen no message of an attempt to end it for this long, any voter may start one.
    pub sealed_view_timeout: Duration,
    /// Members that have not made the start version durable by then are left out of the chain, if enough others have.
    pub persist_grace_period: Duration,
    /// An attempt that stays in the prepare or accept phase for longer is abandoned.
    pub attempt_timeout: Duration,
    /// An attempt that stays in the persist phase for longer, while members fetch the start version, is abandoned.
    pub persist_timeout: Duration,
    /// Delay between the turns of successive voters that may propose, to avoid duelling proposers.
    pub takeover_stagger: Duration,
    /// Interval between the catch-up requests of a learner.
    pub catch_up_interval: Duration,
    /// Interval at which a machine that knows a view compares it with those of the seeds.
    pub view_comparison_interval: Duration,
    /// Longest time since a majority confirmed the view for which the head's duties still rely on it.
    pub confirmation_max_age: Duration,
    /// A machine counts as a joiner for this long after its last catch-up request.
    pub join_request_ttl: Duration,
    /// After this long without enough machines, the first view is formed with fewer voters than configured.
    pub bootstrap_grace_period: Duration,
    /// A snapshot kept for learners is dropped this long after the last request for it.
    pub snapshot_idle_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let millis = Duration::from_millis;
        Self {
            ping_interval: millis(200),
            suspect_after: millis(1_000),
            replace_after: millis(2_500),
            resend_interval: millis(250),
            sealed_view_timeout: millis(900),
            persist_grace_period: millis(500),
            attempt_timeout: millis(1_200),
            persist_timeout: millis(8_000),
            takeover_stagger: millis(200),
            catch_up_interval: millis(200),
            view_comparison_interval: millis(1_000),
            confirmation_max_age: millis(1_200),
            join_request_ttl: millis(1_500),
            bootstrap_grace_period: millis(2_500),
            snapshot_idle_timeout: millis(5_000),
        }
    }
}
