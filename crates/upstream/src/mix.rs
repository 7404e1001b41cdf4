//! What part of a service's servers is for long prompts, whose reading holds up the streams of short interactive requests
//! at the same server.

use std::time::Duration;

use tokio::time::Instant;

use crate::demand::{Demand, Kind};

/// Tokens seen count for about so long.
const SEEN_FOR: Duration = Duration::from_secs(15);
/// The part of the servers for long prompts, by their part of the tokens.
const SERVERS_PER_TOKENS: f64 = 0.8;
/// Below this part of the tokens long prompts have no servers of their own.
const TOO_LITTLE: f64 = 0.1;
/// The rest is for short requests, even where hardly any were seen.
const MOST: f64 = 0.6;

/// Tokens of late, by kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mix {
    long: f64,
    short: f64,
    at: Instant,
}

impl Mix {
    pub(crate) fn new() -> Self {
        Self { long: 0.0, short: 0.0, at: Instant::now() }
    }

    /// A request was seen.
    pub(crate) fn count(&mut self, demand: &Demand, now: Instant) {
        let kept = (-(now - self.at).as_secs_f64() / SEEN_FOR.as_secs_f64()).exp();
        self.at = now;
        self.long *= kept;
        self.short *= kept;
        let tokens = demand.prompt_tokens as f64;
        match demand.kind {
            Kind::Long => self.long += tokens,
            Kind::Short => self.short += tokens,
            Kind::Item => {}
        }
    }

    /// The part of the servers, from the start of their ranking, that is for long prompts; none where nothing is to be kept apart.
    pub(crate) fn long_part(&self) -> Option<f64> {
        let part = self.long / (self.long + self.short).max(1.0);
        (part >= TOO_LITTLE).then(|| (part * SERVERS_PER_TOKENS).min(MOST))
    }
}
