//! The log of a group on one store: the newest entries, and for older ones only which position belongs to which epoch.

use std::collections::VecDeque;

use crate::{Entry, EntryPosition};

/// Number of entries kept so that other stores can catch up without a snapshot.
const MAX_RECENT_ENTRIES: usize = 512;
/// Total length of the commands of the kept entries.
const MAX_RECENT_BYTES: usize = 1 << 20;
/// Number of epochs whose first position is remembered.
const MAX_HISTORY_EPOCHS: usize = 64;

/// The log of a group. Of older entries only the positions are known, from the first position of each epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EntryLog {
    /// Position of the newest entry.
    position: EntryPosition,
    /// Position of the first entry of each epoch, oldest first.
    history: Vec<EntryPosition>,
    recent: VecDeque<Entry>,
    recent_bytes: usize,
}

impl EntryLog {
    /// Creates the log of a replica that was restored from a snapshot.
    pub fn from_snapshot(position: EntryPosition, history: Vec<EntryPosition>) -> Self {
        Self { position, history, ..Self::default() }
    }

    /// Returns the position of the newest entry.
    pub fn position(&self) -> EntryPosition {
        self.position
    }

    /// Returns the position of the first entry of each remembered epoch, oldest first.
    pub fn history(&self) -> &[EntryPosition] {
        &self.history
    }

    /// Appends an entry, which must follow the newest one.
    pub fn push(&mut self, entry: Entry) {
        if self.history.last().is_none_or(|last| last.epoch != entry.position.epoch) {
            self.history.push(entry.position);
            if self.history.len() > MAX_HISTORY_EPOCHS {
                self.history.remove(0);
            }
        }
        self.position = entry.position;
        self.recent_bytes += entry.command.len();
        self.recent.push_back(entry);
        while self.recent.len() > MAX_RECENT_ENTRIES || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else { break };
            self.recent_bytes -= oldest.command.len();
        }
    }

    /// Whether the log contains the entry at this position.
    pub fn contains(&self, position: EntryPosition) -> bool {
        self.position_of(position.sequence) == Some(position)
    }

    /// Whether the log certainly does not contain the entry at this position: it is shorter, or has another entry there.
    pub fn lacks(&self, position: EntryPosition) -> bool {
        let is_remembered = self.history.first().is_some_and(|first| first.sequence <= position.sequence);
        match self.position_of(position.sequence) {
            Some(here) => here != position,
            None => is_remembered || self.history.is_empty(),
        }
    }

    /// Returns the position of the entry with a sequence number; none if there is no such entry or its epoch is no longer
    /// remembered.
    pub fn position_of(&self, sequence: u64) -> Option<EntryPosition> {
        if sequence > self.position.sequence {
            return None;
        }
        if sequence == 0 {
            return Some(EntryPosition::default());
        }
        let first = self.history.iter().rev().find(|first| first.sequence <= sequence)?;
        Some(EntryPosition { sequence, epoch: first.epoch })
    }

    /// Returns the entries after a position; none if the log does not contain it or no longer keeps all entries after it.
    pub fn after(&self, position: EntryPosition) -> Option<Vec<Entry>> {
        if !self.contains(position) {
            return None;
        }
        let missing = (self.position.sequence - position.sequence) as usize;
        let first = self.recent.len().checked_sub(missing)?;
        Some(self.recent.iter().skip(first).cloned().collect())
    }
}
