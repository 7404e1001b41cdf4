//! What moves along a chain.

use fennelgauge_coordination::GroupNumber;
use serde::{Deserialize, Serialize};

/// A place in the sequence of a group's entries. Two entries of the same place and epoch are the same entry: an epoch has one
/// head, and a head sends only what is on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryPosition {
    pub sequence: u64,
    /// Of the stores' view in which the head made the entry.
    pub epoch: u64,
}

/// One change of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub group: GroupNumber,
    pub position: EntryPosition,
    /// A batch command in bincode.
    #[serde(with = "serde_bytes")]
    pub command: Vec<u8>,
}

/// Entries of one group in order. Whoever takes them has the entry at `after` and is at `end` then.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryBatch {
    pub group: GroupNumber,
    pub after: EntryPosition,
    pub entries: Vec<Entry>,
    pub end: EntryPosition,
}

/// A group as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupSnapshot {
    /// The first place of each epoch, oldest first.
    pub history: Vec<EntryPosition>,
    pub position: EntryPosition,
    /// The group's state in bincode.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}
