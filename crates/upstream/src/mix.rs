//! What part of a service's servers is for bulk: long prompts and items of batch jobs, whose reading holds up the streams
//! of short interactive requests at the same server.

use std::time::Duration;

use tokio::time::Instant;

use crate::Demand;

/// Tokens seen count for about so long.
const SEEN_FOR: Duration = Duration::from_secs(15);
/// The part of the servers for bulk, by its part of the tokens.
const SERVERS_PER_TOKENS: f64 = 0.6;
/// Below this part of the tokens bulk has no servers of its own.
const TOO_LITTLE: f64 = 0.1;
/// Where only bulk is seen, as at a store, others may have short requests.
const MOST: f64 = 0.45;

/// Tokens of late, by kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mix {
    bulk: f64,
    short: f64,
    at: Instant,
}

impl Mix {
    pub(crate) fn new() -> Self {
        Self { bulk: 0.0, short: 0.0, at: Instant::now() }
    }

    /// A request was seen.
    pub(crate) fn count(&mut self, demand: &Demand, now: Instant) {
        let kept = (-(now - self.at).as_secs_f64() / SEEN_FOR.as_secs_f64()).exp();
        self.at = now;
        self.bulk *= kept;
        self.short *= kept;
        let tokens = demand.prompt_tokens as f64;
        match demand.is_bulk {
            true => self.bulk += tokens,
            false => self.short += tokens,
        }
    }

    /// The part of the servers, from the start of their ranking, that is for bulk; none where nothing is to be kept apart.
    pub(crate) fn bulk_part(&self) -> Option<f64> {
        let part = self.bulk / (self.bulk + self.short).max(1.0);
        (part >= TOO_LITTLE).then(|| (part * SERVERS_PER_TOKENS).min(MOST))
    }
}
