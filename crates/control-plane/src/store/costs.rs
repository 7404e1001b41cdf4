//! What a store has done since it began: counted where it happens, told to whoever asks.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use fennelgauge_wire::{CallStats, StoreCounters};

/// Writes of the journal, counted by its thread.
#[derive(Clone, Debug, Default)]
pub struct Writes {
    syncs: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Writes {
    /// A file of so many bytes is on the disk, by one sync of its own.
    pub fn count(&self, bytes: usize) {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Entries that this store has made as a head.
#[derive(Debug, Default)]
pub struct Made {
    entries: Cell<u64>,
    results: Cell<u64>,
}

impl Made {
    /// An entry with so many results.
    pub fn count(&self, results: usize) {
        self.entries.set(self.entries.get() + 1);
        self.results.set(self.results.get() + results as u64);
    }
}

/// All of it as it is told.
pub fn told(writes: &Writes, made: &Made, sent: CallStats) -> StoreCounters {
    StoreCounters {
        journal_syncs: writes.syncs.load(Ordering::Relaxed),
        journal_bytes: writes.bytes.load(Ordering::Relaxed),
        calls: sent.calls,
        call_bytes: sent.bytes,
        head_entries: made.entries.get(),
        head_results: made.results.get(),
    }
}
