//! Assigns each of many gateways a subset of the servers, so that together they load every server in proportion to
//! its rating, although no gateway sees another's jobs. Pure functions without I/O, clock or random numbers: the
//! same roster and positions give the same subsets at every gateway. `docs/spread.md` compares the alternatives.

mod ring;
mod subset;

pub use ring::{assign_subset, Candidate, RingPosition, SubsetAssignment};
pub use subset::Subset;

/// Returns the wanted size of a gateway's subset, in servers of the mean rating, from the relays per second that it
/// sends and its `current` size (0 if it has none yet).
///
/// At low rates, jobs spread unevenly by chance, the less so the more gateways share each server: at one relay per
/// second, six servers spread best. High rates spread evenly anyway, and a large subset only costs: each server
/// needs a connection, is measured less often, and is found to be bad only by losing one of this gateway's own
/// jobs. Measurements of both effects are in `docs/spread.md`.
///
/// There are only three sizes, so that gateways with similar rates cover the ring in whole layers. A size is kept
/// until the rate calls for a clearly different one, as every change opens connections.
pub fn subset_size(relays_per_s: f64, current: f64) -> f64 {
    const SIZE_AT_ONE_PER_S: f64 = 6.0;
    let wanted = if relays_per_s > 0.0 { (SIZE_AT_ONE_PER_S / relays_per_s).clamp(2.0, 6.0) } else { 6.0 };
    if current > 0.0 && (0.6..=1.6).contains(&(wanted / current)) {
        return current;
    }
    match wanted {
        ..2.5 => 2.0,
        ..4.5 => 3.0,
        _ => 6.0,
    }
}

/// Measures the recent rate of relays, averaged over about twenty seconds. A new gateway assumes several relays per
/// second: a subset that starts small can grow for the price of a connection, but one that starts large has opened
/// them all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RelayRate {
    /// Relays so far, each weighted by exponential decay.
    weighted_count: f64,
    /// Time of the latest relay, in seconds of the caller's clock.
    last_relay_s: f64,
    /// When the measurement started.
    started_s: f64,
}

impl RelayRate {
    const TIME_CONSTANT_S: f64 = 20.0;
    /// The number of relays assumed at the start, and the period they are assumed to have been sent in.
    const INITIAL_COUNT: f64 = 3.0;
    const INITIAL_PERIOD_S: f64 = 1.0;

    /// Starts the measurement at `now_s`.
    pub fn new(now_s: f64) -> Self {
        Self { weighted_count: Self::INITIAL_COUNT, last_relay_s: now_s, started_s: now_s }
    }

    /// Counts a relay that is sent at `now_s`.
    pub fn record(&mut self, now_s: f64) {
        self.weighted_count = self.weighted_count * Self::decay(now_s - self.last_relay_s) + 1.0;
        self.last_relay_s = self.last_relay_s.max(now_s);
    }

    fn decay(elapsed_s: f64) -> f64 {
        (-elapsed_s.max(0.0) / Self::TIME_CONSTANT_S).exp()
    }

    /// Returns the rate at `now_s` in relays per second.
    pub fn per_second(&self, now_s: f64) -> f64 {
        let period_s = Self::TIME_CONSTANT_S
            - (Self::TIME_CONSTANT_S - Self::INITIAL_PERIOD_S) * Self::decay(now_s - self.started_s);
        self.weighted_count * Self::decay(now_s - self.last_relay_s) / period_s
    }
}

#[cfg(test)]
mod tests;
