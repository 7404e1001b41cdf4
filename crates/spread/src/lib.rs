//! Which servers a gateway among many uses, so that all together load each by its rating, although no gateway sees
//! another's jobs. Pure: no I/O, no clock, no chance but hashing; the same roster and seats give the same slices at
//! every gateway. `docs/spread.md` weighs the ways there are, with figures.

mod ring;
mod subset;

pub use ring::{assign_subset, Candidate, RingPosition, SubsetAssignment};
pub use subset::Subset;

/// How many servers of the mean rating a slice is to hold, from the relays a second that its gateway sends and the
/// size `before` (0: none yet). Few jobs fall unevenly by chance, the less so the more gateways share each server: at
/// one a second six even out best. Many even out by themselves, and then a large slice only costs: each of its servers
/// is a connection to open, is heard of the more seldom, and is learnt to be bad by a lost job of this gateway's own.
/// Figures for both in `docs/spread.md`.
///
/// There are three sizes, so that gateways of about one pace cover the ring in whole layers, and a size is kept until
/// the pace is far from it: one that followed every move would open connections for nothing.
pub fn subset_size(pace: f64, before: f64) -> f64 {
    const AT_ONE_A_SECOND: f64 = 6.0;
    let wanted = if pace > 0.0 { (AT_ONE_A_SECOND / pace).clamp(2.0, 6.0) } else { 6.0 };
    if before > 0.0 && (0.6..=1.6).contains(&(wanted / before)) {
        return before;
    }
    match wanted {
        ..2.5 => 2.0,
        ..4.5 => 3.0,
        _ => 6.0,
    }
}

/// Relays a second of late, counted over some twenty seconds. Until it has seen its own a gateway counts with several
/// a second: a slice that begins small grows at the cost of a connection, one that begins large has opened them all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RelayRate {
    sent: f64,
    /// Seconds of the clock that is handed in.
    at: f64,
    began: f64,
}

impl RelayRate {
    const OVER_S: f64 = 20.0;
    /// So many relays in so many seconds are assumed at the start.
    const FIRST: f64 = 3.0;
    const FIRST_S: f64 = 1.0;

    pub fn new(now_s: f64) -> Self {
        Self { sent: Self::FIRST, at: now_s, began: now_s }
    }

    pub fn record(&mut self, now_s: f64) {
        self.sent = self.sent * Self::left(now_s - self.at) + 1.0;
        self.at = self.at.max(now_s);
    }

    fn left(passed: f64) -> f64 {
        (-passed.max(0.0) / Self::OVER_S).exp()
    }

    pub fn per_second(&self, now_s: f64) -> f64 {
        let over = Self::OVER_S - (Self::OVER_S - Self::FIRST_S) * Self::left(now_s - self.began);
        self.sent * Self::left(now_s - self.at) / over
    }
}

#[cfg(test)]
mod tests;
