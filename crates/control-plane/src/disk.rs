//! Whether a disk that a thread of its own writes does its work.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A write that takes longer than this is a sign of a disk in trouble.
const SLOW_WRITE: Duration = Duration::from_millis(800);

/// Whether a disk does its work.
#[derive(Debug, Default)]
pub struct DiskHealth {
    /// When the oldest write that is not done was handed over.
    waiting_since: RefCell<VecDeque<Instant>>,
    failed: Cell<bool>,
}

impl DiskHealth {
    /// A write is handed over.
    pub fn begin(&self) {
        self.waiting_since.borrow_mut().push_back(Instant::now());
    }

    /// The oldest write has ended.
    pub fn end(&self, written: bool) {
        self.waiting_since.borrow_mut().pop_front();
        self.failed.set(!written);
    }

    /// Whether the last write failed.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Whether the last write failed, or one takes too long.
    pub fn is_in_trouble(&self) -> bool {
        let oldest = self.waiting_since.borrow().front().copied();
        self.failed.get() || oldest.is_some_and(|since| since.elapsed() > SLOW_WRITE)
    }
}

#[cfg(test)]
mod tests;
