//! How much may be sent, or taken in: so many datagrams a second, and some at once.

use fennelgauge::time::Moment;

#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Moment,
    pub rejected: u64,
}

impl TokenBucket {
    pub fn new(now: Moment, tokens_per_s: f64, burst: f64) -> Self {
        Self { tokens_per_s, burst, tokens: burst, refilled_at: now, rejected: 0 }
    }

    /// There is room for one more. Time that runs backwards gives none.
    pub fn has_token(&mut self, now: Moment) -> bool {
        self.tokens = (self.tokens + now.since(self.refilled_at).secs() * self.tokens_per_s).min(self.burst);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// One more, if there is room for it.
    pub fn try_take(&mut self, now: Moment) -> bool {
        let has_token = self.has_token(now);
        self.tokens -= if has_token { 1.0 } else { 0.0 };
        self.rejected += u64::from(!has_token);
        has_token
    }
}

#[cfg(test)]
mod tests;
