//! The order of a group's entries as one store has it: which place was made in which view, and the newest entries themselves.

use std::collections::VecDeque;

use crate::{Entry, EntryPosition};

/// Entries kept to bring others level without a whole copy.
const MAX_RECENT_ENTRIES: usize = 512;
const MAX_RECENT_BYTES: usize = 1 << 20;
/// Epochs whose first place is remembered.
const MAX_HISTORY_EPOCHS: usize = 64;

/// The entries of a group, the older ones by their places only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EntryLog {
    position: EntryPosition,
    /// The first place of each epoch, oldest first.
    history: Vec<EntryPosition>,
    recent: VecDeque<Entry>,
    recent_bytes: usize,
}

impl EntryLog {
    /// Begins where a copy stands.
    pub fn from_snapshot(position: EntryPosition, history: Vec<EntryPosition>) -> Self {
        Self { position, history, ..Self::default() }
    }

    /// The place of the newest entry.
    pub fn position(&self) -> EntryPosition {
        self.position
    }

    /// The first place of each epoch, oldest first.
    pub fn history(&self) -> &[EntryPosition] {
        &self.history
    }

    /// Adds the entry that follows the newest one.
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

    /// Whether the entry of that place and epoch is among these.
    pub fn contains(&self, position: EntryPosition) -> bool {
        self.position_of(position.sequence) == Some(position)
    }

    /// Whether these certainly do not have that entry: there are fewer, or another stands in its place.
    pub fn lacks(&self, position: EntryPosition) -> bool {
        let remembered = self.history.first().is_some_and(|first| first.sequence <= position.sequence);
        match self.position_of(position.sequence) {
            Some(here) => here != position,
            None => remembered || self.history.is_empty(),
        }
    }

    /// The place of the entry with that number; none where there is none or its epoch is no longer remembered.
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

    /// The entries after a place that is among these; none if they are no longer all kept.
    pub fn after(&self, position: EntryPosition) -> Option<Vec<Entry>> {
        if !self.contains(position) {
            return None;
        }
        let missing = (self.position.sequence - position.sequence) as usize;
        let first = self.recent.len().checked_sub(missing)?;
        Some(self.recent.iter().skip(first).cloned().collect())
    }
}
