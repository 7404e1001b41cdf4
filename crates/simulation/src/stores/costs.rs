//! What a day costs in messages, bytes and time, counted as it goes.

use std::collections::BTreeMap;

use fennelgauge_replication::EntryBatch;

use super::protocol::{Answer, Ask};
use crate::day::Micros;

/// Of a message, beside what it carries.
const MESSAGE_BYTES: u64 = 24;
/// Of an entry, beside its command.
const ENTRY_BYTES: u64 = 12;

/// Counts of one day, among the stores.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Costs {
    pub syncs: u64,
    pub appends: u64,
    pub questions: u64,
    pub copies: u64,
    /// Of all messages among stores, answers included, about.
    pub bytes: u64,
    /// From the end of a run to its result being committed, of each item.
    pub waits: Vec<Micros>,
    ended: BTreeMap<String, Micros>,
}

impl Costs {
    pub fn sent(&mut self, ask: &Ask) {
        self.bytes += MESSAGE_BYTES;
        match ask {
            Ask::Append { batch, .. } => {
                self.appends += 1;
                self.bytes += batch_bytes(batch);
            }
            Ask::Install { copy, .. } => {
                self.copies += 1;
                self.bytes += copy.state.len() as u64;
            }
            _ => self.questions += 1,
        }
    }

    pub fn answered(&mut self, answer: &Answer) {
        self.bytes += MESSAGE_BYTES;
        match answer {
            Answer::Entries(batch) => self.bytes += batch_bytes(batch),
            Answer::Copy(copy) => {
                self.copies += 1;
                self.bytes += copy.state.len() as u64;
            }
            _ => {}
        }
    }

    pub fn with_syncs(self, syncs: u64) -> Self {
        Self { syncs, ..self }
    }

    /// A run has ended with a result.
    pub fn done(&mut self, now: Micros, item: &str) {
        self.ended.insert(item.to_owned(), now);
    }

    /// A result is committed.
    pub fn listed(&mut self, now: Micros, item: &str) {
        if let Some(ended) = self.ended.remove(item) {
            self.waits.push(now - ended);
        }
    }
}

fn batch_bytes(batch: &EntryBatch) -> u64 {
    batch.entries.iter().map(|entry| entry.command.len() as u64 + ENTRY_BYTES).sum()
}
