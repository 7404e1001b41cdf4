//! How much may be sent, or taken in: so many datagrams a second, and some at once.

use fennelgauge::time::Moment;

#[derive(Clone, Debug)]
pub struct Budget {
    per_s: f64,
    at_once: f64,
    left: f64,
    at: Moment,
    pub refused: u64,
}

impl Budget {
    pub fn new(now: Moment, per_s: f64, at_once: f64) -> Self {
        Self { per_s, at_once, left: at_once, at: now, refused: 0 }
    }

    /// There is room for one more. Time that runs backwards gives none.
    pub fn has(&mut self, now: Moment) -> bool {
        self.left = (self.left + now.since(self.at).secs() * self.per_s).min(self.at_once);
        self.at = now;
        self.left >= 1.0
    }

    /// One more, if there is room for it.
    pub fn take(&mut self, now: Moment) -> bool {
        let has = self.has(now);
        self.left -= if has { 1.0 } else { 0.0 };
        self.refused += u64::from(!has);
        has
    }
}

#[cfg(test)]
mod tests;
