//! Determines what fraction of a service's servers is reserved for long prompts. Processing a long prompt delays the
//! streams of short interactive requests at the same server.

use std::time::Duration;

use tokio::time::Instant;

use crate::request_profile::{RequestKind, RequestProfile};

/// Time after which a request counts 1/e.
const DECAY_TIME: Duration = Duration::from_secs(15);
/// Fraction of the servers reserved for long prompts, relative to the long prompts' fraction of the tokens.
const SERVERS_PER_TOKEN_FRACTION: f64 = 0.8;
/// Below this fraction of the tokens, no servers are reserved for long prompts.
const MIN_TOKEN_FRACTION: f64 = 0.1;
/// Largest fraction of the servers that is reserved for long prompts. The rest is for short requests even if hardly
/// any were counted.
const MAX_SERVER_FRACTION: f64 = 0.6;
/// Servers are reserved only if long prompts are on average this many times as long as short ones. Where prompts are
/// of all lengths, the loss of capacity from dividing the servers is greater than the gain.
const MIN_LENGTH_RATIO: f64 = 5.0;
/// Number of short requests from which on their mean length is considered known.
const MIN_SHORT_REQUESTS: f64 = 5.0;

/// Decaying counts of a service's requests by kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptMix {
    long: PromptStats,
    short: PromptStats,
    updated_at: Instant,
}

/// Decaying sums over the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct PromptStats {
    requests: f64,
    tokens: f64,
}

impl PromptStats {
    fn decay(&mut self, factor: f64) {
        self.requests *= factor;
        self.tokens *= factor;
    }

    fn add(&mut self, tokens: f64) {
        self.requests += 1.0;
        self.tokens += tokens;
    }

    fn mean_tokens(&self) -> f64 {
        self.tokens / self.requests.max(f64::MIN_POSITIVE)
    }
}

impl PromptMix {
    /// Creates counts that are zero.
    pub(crate) fn new() -> Self {
        Self { long: PromptStats::default(), short: PromptStats::default(), updated_at: Instant::now() }
    }

    /// Counts a request; batch items do not count.
    pub(crate) fn record(&mut self, profile: &RequestProfile, now: Instant) {
        let factor = (-(now - self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.updated_at = now;
        self.long.decay(factor);
        self.short.decay(factor);
        let tokens = profile.prompt_tokens as f64;
        match profile.kind {
            RequestKind::Long => self.long.add(tokens),
            RequestKind::Short => self.short.add(tokens),
            RequestKind::BatchItem => {}
        }
    }

    /// Returns the fraction of the servers, from the start of their ranking, that is reserved for long prompts;
    /// `None` if none is.
    pub(crate) fn long_prompt_fraction(&self) -> Option<f64> {
        let token_fraction = self.long.tokens / (self.long.tokens + self.short.tokens).max(1.0);
        let similar_lengths = self.short.requests >= MIN_SHORT_REQUESTS
            && self.long.mean_tokens() < MIN_LENGTH_RATIO * self.short.mean_tokens();
        (token_fraction >= MIN_TOKEN_FRACTION && !similar_lengths)
            .then(|| (token_fraction * SERVERS_PER_TOKEN_FRACTION).min(MAX_SERVER_FRACTION))
    }
}
