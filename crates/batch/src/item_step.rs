//! What a store does next with an unfinished item, given the configuration that it knows.

use crate::{Attempts, FailureLimits, Job, Rest};

/// The configuration that a store knows, by which it decides about an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownConfiguration {
    /// Its generation; 0 before the first one.
    pub generation: u64,
    /// Whether the core confirmed, after the decision had become due, that no newer configuration was acknowledged.
    pub is_confirmed: bool,
}

/// What the configuration that a store knows says about the route of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteStatus {
    /// The configuration has no batch route for the item.
    Absent,
    /// The route is in force.
    InForce {
        /// Wall-clock time from which on an unfinished item is given up, in milliseconds since the Unix epoch; `None` if the
        /// route sets no such time.
        expires_ms: Option<u64>,
        /// How often servers may fail the item.
        failures: FailureLimits,
    },
}

impl RouteStatus {
    /// Returns whether an unfinished item with these attempts is to be given up at `now_ms`.
    fn gives_up(self, attempts: Attempts, now_ms: u64) -> bool {
        match self {
            Self::Absent => true,
            Self::InForce { expires_ms, failures } => {
                failures.give_up(attempts) || expires_ms.is_some_and(|expires_ms| now_ms > expires_ms)
            }
        }
    }

    /// Returns whether the next attempt at an item with these attempts is left early if its server is silent, see
    /// [`FailureLimits::leaves_silent_server`].
    pub fn leaves_silent_server(self, attempts: Attempts) -> bool {
        match self {
            Self::Absent => true,
            Self::InForce { failures, .. } => failures.leaves_silent_server(attempts),
        }
    }

    /// Returns whether an unfinished item with these attempts may be sent to a server.
    fn allows_attempt(self, attempts: Attempts, has_rested: bool) -> bool {
        match self {
            Self::Absent => false,
            Self::InForce { failures, expires_ms } => {
                let rest = match (has_rested, expires_ms) {
                    (false, _) => Rest::None,
                    (true, Some(_)) => Rest::Over,
                    (true, None) => Rest::OverAndEndless,
                };
                failures.allow_attempt(attempts, rest)
            }
        }
    }
}

/// What a head knows of the past of an unfinished item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemPast {
    /// The recorded attempts, without a permit that the head itself holds.
    pub attempts: Attempts,
    /// Whether the item has rested, see [`FailureLimits::allow_attempt`].
    pub has_rested: bool,
}

/// What to do next with an unfinished item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStep {
    /// Send it to a server.
    Run,
    /// Wait until the core confirms the configuration or a newer one is known.
    AwaitConfiguration,
    /// Leave it alone for a while: the outcome of so many attempts is unknown that it may have failed too often.
    Rest,
    /// Give it up: its route has ended, its time is up, or it has failed too often.
    DeadLetter,
}

impl Job {
    /// Returns what to do next with an unfinished item of this job. `now_ms` is wall-clock time in milliseconds since the Unix
    /// epoch.
    ///
    /// A newer configuration than the known one may have the route that this one lacks, or give the item more time or more
    /// attempts. So an item is given up only by a confirmed configuration, and runs by one that is as new as that by which the
    /// job was accepted. A confirmed one that is older nevertheless is in force: the other one was lost with the core's disks.
    pub fn next_item_step(
        &self,
        known: KnownConfiguration,
        route: RouteStatus,
        past: ItemPast,
        now_ms: u64,
    ) -> ItemStep {
        match route.gives_up(past.attempts, now_ms) {
            true if known.is_confirmed => ItemStep::DeadLetter,
            false if known.is_confirmed || known.generation >= self.generation => {
                match route.allows_attempt(past.attempts, past.has_rested) {
                    true => ItemStep::Run,
                    false => ItemStep::Rest,
                }
            }
            _ => ItemStep::AwaitConfiguration,
        }
    }
}
