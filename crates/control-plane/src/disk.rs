//! Health of a disk, judged by the writes that a separate thread makes to it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A disk counts as unhealthy while a write has taken longer than this.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(800);

/// Tracks pending and failed writes of one disk.
#[derive(Debug, Default)]
pub struct DiskHealth {
    /// When each pending write was handed to the writing thread, oldest first.
    pending_since: RefCell<VecDeque<Instant>>,
    failed: Cell<bool>,
}

impl DiskHealth {
    /// Records that a write is handed to the writing thread.
    pub fn begin(&self) {
        self.pending_since.borrow_mut().push_back(Instant::now());
    }

    /// Records that the oldest pending write has ended, and whether it succeeded.
    pub fn end(&self, succeeded: bool) {
        self.pending_since.borrow_mut().pop_front();
        self.failed.set(!succeeded);
    }

    /// Returns true if the last write failed.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Returns true if the last write failed or a pending one has taken too long.
    pub fn is_unhealthy(&self) -> bool {
        let oldest = self.pending_since.borrow().front().copied();
        self.failed.get() || oldest.is_some_and(|since| since.elapsed() > SLOW_WRITE_THRESHOLD)
    }
}

#[cfg(test)]
mod tests;
