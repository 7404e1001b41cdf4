//! What a store does next with an unfinished item, given the configuration that it knows.

use crate::Job;

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
    },
}

/// What to do next with an unfinished item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStep {
    /// Send it to a server.
    Run,
    /// Wait for a configuration at least as new as that by which its job was accepted.
    AwaitConfiguration,
    /// Give it up: its route has ended, or its time is up.
    DeadLetter,
}

impl Job {
    /// Returns what to do next with an unfinished item of this job. A route that a configuration older than the job lacks has
    /// not ended: it may have been added since. `now_ms` is wall-clock time in milliseconds since the Unix epoch.
    pub fn next_item_step(&self, known_generation: u64, route: RouteStatus, now_ms: u64) -> ItemStep {
        if known_generation < self.generation {
            return ItemStep::AwaitConfiguration;
        }
        match route {
            RouteStatus::Absent => ItemStep::DeadLetter,
            RouteStatus::InForce { expires_ms: Some(expires_ms) } if now_ms > expires_ms => {
                ItemStep::DeadLetter
            }
            RouteStatus::InForce { .. } => ItemStep::Run,
        }
    }
}
