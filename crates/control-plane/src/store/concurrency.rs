//! Limits how many items of one service a store runs at once, by additive increase and multiplicative decrease. Where
//! servers do not report their load, the signal is the time until an item's response begins: items and interactive
//! requests wait in the same queues. Does no I/O and reads no clock.

use std::time::Duration;

use tokio::time::Instant;

/// Number of items that a store may run at once in any case.
const MIN_SIZE: f64 = 4.0;
/// Share of a service's slots that items may use; the rest stays free for interactive requests.
const MAX_SLOT_SHARE: f64 = 0.8;
/// Weight of a new wait in the running mean.
const WAIT_WEIGHT: f64 = 1.0 / 32.0;
/// Increase per response until the first decrease.
const INITIAL_INCREASE: f64 = 1.0;
/// Increase per response after the first decrease.
const INCREASE: f64 = 0.4;
/// Factor on the size at a decrease.
const DECREASE_FACTOR: f64 = 0.85;
/// Shortest time between two decreases: the mean wait still reflects the items that were running at the last one.
const DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity of a service as seen by a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCapacity {
    /// Slots of all servers of the service.
    pub slots: usize,
    /// Number of stores that may run items.
    pub stores: usize,
}

impl ServiceCapacity {
    /// Returns an equal share of the slots for each store, the initial size.
    fn equal_share(&self) -> f64 {
        (self.slots / self.stores.max(1)) as f64
    }

    /// Returns the largest size of a store's window.
    fn max_size(&self) -> f64 {
        self.slots as f64 * MAX_SLOT_SHARE
    }
}

/// The number of items of one service that a store may run at once.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyWindow {
    /// `None` before the first response.
    size: Option<f64>,
    /// Exponentially weighted mean of the waits for responses, in seconds.
    mean_wait_s: f64,
    /// When the size was decreased last.
    decreased_at: Option<Instant>,
}

impl ConcurrencyWindow {
    /// Returns the number of items that may run at once.
    pub fn size(&self, capacity: ServiceCapacity) -> usize {
        let size = self.size.unwrap_or(capacity.equal_share());
        size.min(capacity.max_size()).max(MIN_SIZE) as usize
    }

    /// Takes in that an item's response began after `wait`. Decreases the size if the mean wait exceeds `max_wait`, else
    /// increases it.
    pub fn on_response(
        &mut self,
        wait: Duration,
        max_wait: Duration,
        capacity: ServiceCapacity,
        now: Instant,
    ) {
        self.mean_wait_s += WAIT_WEIGHT * (wait.as_secs_f64() - self.mean_wait_s);
        if self.mean_wait_s > max_wait.as_secs_f64() {
            return self.decrease(capacity, now);
        }
        let increase = if self.decreased_at.is_some() { INCREASE } else { INITIAL_INCREASE };
        let size = self.size.unwrap_or(capacity.equal_share()) + increase;
        self.size = Some(size.clamp(MIN_SIZE, capacity.max_size().max(MIN_SIZE)));
    }

    /// Takes in that a server refused an item because it is overloaded.
    pub fn on_overload(&mut self, capacity: ServiceCapacity, now: Instant) {
        self.decrease(capacity, now);
    }

    fn decrease(&mut self, capacity: ServiceCapacity, now: Instant) {
        if self.decreased_at.is_some_and(|at| now - at < DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        self.size = Some((self.size.unwrap_or(capacity.equal_share()) * DECREASE_FACTOR).max(MIN_SIZE));
    }
}

#[cfg(test)]
mod tests;
