//! One group as a store holds it: its entries in order, its state, how far it is on disk and along the chain. Pure.

use std::collections::VecDeque;

use fennelgauge_batch::{Command, GroupState};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_wire::{decode, encode, Entry, EntryPosition, GroupCopy};

/// Entries kept to bring others level without a whole copy.
const RECENT_ENTRIES: usize = 512;
const RECENT_BYTES: usize = 1 << 20;
/// Epochs whose first place is remembered.
const HISTORY_EPOCHS: usize = 64;

/// What became of an entry that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    Taken,
    /// It is there already.
    Had,
    /// Entries before it are missing.
    Gap,
    /// Another entry stands in its place, or it cannot be read.
    Conflict,
}

/// A group on one store.
#[derive(Debug, Default)]
pub struct HeldGroup {
    position: EntryPosition,
    /// The first place of each epoch, oldest first.
    history: Vec<EntryPosition>,
    recent: VecDeque<Entry>,
    recent_bytes: usize,
    state: GroupState,
    /// Up to here it is on this disk.
    pub synced: u64,
    /// Up to here every link has it.
    pub committed: u64,
    /// The newest place that a reader was shown here.
    pub shown: EntryPosition,
}

impl HeldGroup {
    pub fn position(&self) -> EntryPosition {
        self.position
    }

    pub fn state(&self) -> &GroupState {
        &self.state
    }

    /// Makes a new entry as the head, in the view of `epoch`.
    pub fn create(&mut self, group: GroupNumber, epoch: u64, command: Command) -> Entry {
        let position = EntryPosition { sequence: self.position.sequence + 1, epoch };
        let entry = Entry { group, position, command: encode(&command) };
        self.state.apply(command);
        self.remember(entry.clone());
        entry
    }

    /// Takes an entry that the predecessor has.
    pub fn offer(&mut self, entry: &Entry) -> Offer {
        if entry.position.sequence <= self.position.sequence {
            return if self.contains(entry.position) { Offer::Had } else { Offer::Conflict };
        }
        if entry.position.sequence > self.position.sequence + 1 {
            return Offer::Gap;
        }
        let Ok(command) = decode::<Command>(&entry.command) else { return Offer::Conflict };
        self.state.apply(command);
        self.remember(entry.clone());
        Offer::Taken
    }

    fn remember(&mut self, entry: Entry) {
        if self.history.last().is_none_or(|last| last.epoch != entry.position.epoch) {
            self.history.push(entry.position);
            if self.history.len() > HISTORY_EPOCHS {
                self.history.remove(0);
            }
        }
        self.position = entry.position;
        self.recent_bytes += entry.command.len();
        self.recent.push_back(entry);
        while self.recent.len() > RECENT_ENTRIES || self.recent_bytes > RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else { break };
            self.recent_bytes -= oldest.command.len();
        }
    }

    /// Whether the entry of that place and epoch is among this group's.
    pub fn contains(&self, position: EntryPosition) -> bool {
        is_among(position, self.position, &self.history)
    }

    /// The entries after a place that this group contains; none if they are no longer all kept.
    pub fn after(&self, position: EntryPosition) -> Option<Vec<Entry>> {
        if !self.contains(position) {
            return None;
        }
        let missing = (self.position.sequence - position.sequence) as usize;
        let first = self.recent.len().checked_sub(missing)?;
        Some(self.recent.iter().skip(first).cloned().collect())
    }

    /// The whole group.
    pub fn copy(&self) -> GroupCopy {
        GroupCopy { history: self.history.clone(), position: self.position, state: encode(&self.state) }
    }

    /// Becomes a copy of another store's group; false, and nothing changed, if it cannot be read.
    pub fn install(&mut self, copy: &GroupCopy) -> bool {
        let Ok(state) = decode::<GroupState>(&copy.state) else { return false };
        if !is_among(self.shown, copy.position, &copy.history) {
            log::error!("a copy up to {:?} drops {:?}, which was shown here", copy.position, self.shown);
        } else if !is_among(self.position, copy.position, &copy.history) {
            log::info!("a copy up to {:?} drops entries up to {:?}", copy.position, self.position);
        }
        *self = Self { position: copy.position, history: copy.history.clone(), state, ..Self::default() };
        true
    }
}

/// Whether a place is among the entries up to `last` with that history.
fn is_among(position: EntryPosition, last: EntryPosition, history: &[EntryPosition]) -> bool {
    if position.sequence > last.sequence {
        return false;
    }
    if position.sequence == 0 {
        return true;
    }
    let run = history.iter().rev().find(|first| first.sequence <= position.sequence);
    run.is_some_and(|first| first.epoch == position.epoch)
}
