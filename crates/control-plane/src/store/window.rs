//! How many items of one service a store runs at once. Where servers do not tell their load, the time until an item's answer
//! begins is the measure: items and interactive requests wait in the same queues. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// A store may always run so many.
const LEAST: f64 = 4.0;
/// All items together leave the rest of the slots to interactive requests.
const PART_OF_SLOTS: f64 = 0.8;
/// Weight of a new waiting time in the running mean.
const WAIT_WEIGHT: f64 = 1.0 / 32.0;
/// Until the first time that items waited too long, each answer adds so many; after it, this.
const FIRST_GROWTH: f64 = 1.0;
const GROWTH: f64 = 0.4;
/// What is left of the window after items waited too long.
const SHRUNK: f64 = 0.85;
/// The window shrinks once in so long at most: what runs already is still in the means.
const SHRINK_EVERY: Duration = Duration::from_millis(500);

/// What a service's servers offer to items of this store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Of all servers of the service.
    pub slots: usize,
    /// Stores that may run items.
    pub stores: usize,
}

impl Offer {
    /// This store's part of the slots, where nothing else is known.
    fn part(&self) -> f64 {
        (self.slots / self.stores.max(1)) as f64
    }

    fn most(&self) -> f64 {
        self.slots as f64 * PART_OF_SLOTS
    }
}

/// The window of one service.
#[derive(Clone, Debug, Default)]
pub struct ItemWindow {
    /// None before the first answer.
    size: Option<f64>,
    mean_wait_s: f64,
    shrunk: Option<Instant>,
}

impl ItemWindow {
    /// Items that may run at once.
    pub fn size(&self, offer: Offer) -> usize {
        let size = self.size.unwrap_or(offer.part());
        size.min(offer.most()).max(LEAST) as usize
    }

    /// An item's answer began after `wait`; more than `bearable` is too long.
    pub fn answered(&mut self, wait: Duration, bearable: Duration, offer: Offer, now: Instant) {
        self.mean_wait_s += WAIT_WEIGHT * (wait.as_secs_f64() - self.mean_wait_s);
        if self.mean_wait_s > bearable.as_secs_f64() {
            return self.shrink(offer, now);
        }
        let growth = if self.shrunk.is_some() { GROWTH } else { FIRST_GROWTH };
        let size = self.size.unwrap_or(offer.part()) + growth;
        self.size = Some(size.clamp(LEAST, offer.most().max(LEAST)));
    }

    /// A server refused an item for want of room.
    pub fn refused(&mut self, offer: Offer, now: Instant) {
        self.shrink(offer, now);
    }

    fn shrink(&mut self, offer: Offer, now: Instant) {
        if self.shrunk.is_some_and(|shrunk| now - shrunk < SHRINK_EVERY) {
            return;
        }
        self.shrunk = Some(now);
        self.size = Some((self.size.unwrap_or(offer.part()) * SHRUNK).max(LEAST));
    }
}

#[cfg(test)]
mod tests;
