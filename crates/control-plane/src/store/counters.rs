//! Counters of the work that a store has done since its start, reported on request.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use fennelgauge_wire::{CallStats, StoreCounters};

/// Counts the journal's writes; updated by its writing thread.
#[derive(Clone, Debug, Default)]
pub struct JournalCounters {
    syncs: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl JournalCounters {
    /// Counts one file of this many bytes, synced to the disk by one call.
    pub fn record(&self, bytes: usize) {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Counts the log entries that this store created as the head of a group.
#[derive(Debug, Default)]
pub struct EntryCounters {
    entries: Cell<u64>,
    results: Cell<u64>,
}

impl EntryCounters {
    /// Counts one entry that holds this many item results.
    pub fn record(&self, results: usize) {
        self.entries.set(self.entries.get() + 1);
        self.results.set(self.results.get() + results as u64);
    }
}

/// Returns all counters as they are reported to a caller.
pub fn snapshot(journal: &JournalCounters, entries: &EntryCounters, sent: CallStats) -> StoreCounters {
    StoreCounters {
        journal_syncs: journal.syncs.load(Ordering::Relaxed),
        journal_bytes: journal.bytes.load(Ordering::Relaxed),
        calls: sent.calls,
        call_bytes: sent.bytes,
        head_entries: entries.entries.get(),
        head_results: entries.results.get(),
    }
}
