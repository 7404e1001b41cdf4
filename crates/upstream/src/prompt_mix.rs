//! What part of a service's servers is for long prompts, whose reading holds up the streams of short interactive requests
//! at the same server.

use std::time::Duration;

use tokio::time::Instant;

use crate::request_profile::{RequestKind, RequestProfile};

/// Tokens seen count for about so long.
const SEEN_FOR: Duration = Duration::from_secs(15);
/// The part of the servers for long prompts, by their part of the tokens.
const SERVERS_PER_TOKENS: f64 = 0.8;
/// Below this part of the tokens long prompts have no servers of their own.
const TOO_LITTLE: f64 = 0.1;
/// The rest is for short requests, even where hardly any were seen.
const MOST: f64 = 0.6;

/// Long prompts are kept apart only where they are so many times as long as the short ones, in the mean: where prompts are of
/// all lengths, a part of the servers for each kind costs more than it keeps off.
const FAR_LONGER: f64 = 5.0;

/// From so many short requests of late on their mean length is taken for known.
const FEW_REQUESTS: f64 = 5.0;

/// Requests of late, by kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptMix {
    long: PromptStats,
    short: PromptStats,
    at: Instant,
}

/// Fading sums of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct PromptStats {
    requests: f64,
    tokens: f64,
}

impl PromptStats {
    fn fade(&mut self, kept: f64) {
        self.requests *= kept;
        self.tokens *= kept;
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
    pub(crate) fn new() -> Self {
        Self { long: PromptStats::default(), short: PromptStats::default(), at: Instant::now() }
    }

    /// A request was seen.
    pub(crate) fn count(&mut self, demand: &RequestProfile, now: Instant) {
        let kept = (-(now - self.at).as_secs_f64() / SEEN_FOR.as_secs_f64()).exp();
        self.at = now;
        self.long.fade(kept);
        self.short.fade(kept);
        let tokens = demand.prompt_tokens as f64;
        match demand.kind {
            RequestKind::Long => self.long.add(tokens),
            RequestKind::Short => self.short.add(tokens),
            RequestKind::BatchItem => {}
        }
    }

    /// The part of the servers, from the start of their ranking, that is for long prompts; none where nothing is to be kept apart.
    pub(crate) fn long_part(&self) -> Option<f64> {
        let part = self.long.tokens / (self.long.tokens + self.short.tokens).max(1.0);
        let alike = self.short.requests >= FEW_REQUESTS
            && self.long.mean_tokens() < FAR_LONGER * self.short.mean_tokens();
        (part >= TOO_LITTLE && !alike).then(|| (part * SERVERS_PER_TOKENS).min(MOST))
    }
}
