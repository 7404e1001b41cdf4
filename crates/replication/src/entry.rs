//! Log entries, batches of them and snapshots, as they are sent along a chain.

use fennelgauge_coordination::GroupNumber;
use serde::{Deserialize, Serialize};

/// The position of an entry in a group's log. Entries with the same sequence number and epoch are the same entry: each epoch
/// has one head, and a head sends only entries that are durable on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryPosition {
    /// Sequence number of the entry, from 1 without gaps; 0 stands before the first entry.
    pub sequence: u64,
    /// Epoch of the stores' view in which the head made the entry.
    pub epoch: u64,
}

/// An entry of a group's log: one change of the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The group that it changes.
    pub group: GroupNumber,
    /// Its position in the log.
    pub position: EntryPosition,
    /// The batch command, encoded in bincode.
    #[serde(with = "serde_bytes")]
    pub command: Vec<u8>,
}

/// Consecutive entries of one group. A replica that has the entry at `after` is at `end` once it has appended them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryBatch {
    /// The group of the entries.
    pub group: GroupNumber,
    /// Position of the entry before the first one.
    pub after: EntryPosition,
    /// The entries, in order; empty if only the position is announced.
    pub entries: Vec<Entry>,
    /// Position of the last entry, or `after` if there is none.
    pub end: EntryPosition,
}

/// A snapshot of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupSnapshot {
    /// Position of the first entry of each epoch, oldest first, as far as it is remembered.
    pub history: Vec<EntryPosition>,
    /// Position of the newest entry that the state includes.
    pub position: EntryPosition,
    /// The group's state, encoded in bincode.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}
