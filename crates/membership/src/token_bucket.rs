//! A token bucket that limits how many datagrams are sent or accepted.

use fennelgauge::time::Moment;

/// Allows `tokens_per_s` datagrams per second on average and up to `burst` at once.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Moment,
    /// How often [`Self::try_take`] found no token.
    pub rejected: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Moment, tokens_per_s: f64, burst: f64) -> Self {
        Self { tokens_per_s, burst, tokens: burst, refilled_at: now, rejected: 0 }
    }

    /// Refills the bucket and returns whether a token is available. Time that runs backwards adds none.
    pub fn has_token(&mut self, now: Moment) -> bool {
        self.tokens = (self.tokens + now.since(self.refilled_at).secs() * self.tokens_per_s).min(self.burst);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token if one is available and returns whether it did; counts the attempt as rejected otherwise.
    pub fn try_take(&mut self, now: Moment) -> bool {
        let has_token = self.has_token(now);
        self.tokens -= if has_token { 1.0 } else { 0.0 };
        self.rejected += u64::from(!has_token);
        has_token
    }
}

#[cfg(test)]
mod tests;
