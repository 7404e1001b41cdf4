//! What the machines of the core say to each other. Every message stands alone: it may be lost, doubled or late.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Ballot, LogEntry, Member, Version, View};

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Member,
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the view still stands there.
    Ping {
        epoch: u64,
        round: u64,
        committed: Option<Version>,
    },
    Pong {
        epoch: u64,
        round: u64,
        sealed: bool,
        version: Version,
    },
    /// First question of a ballot.
    Prepare {
        epoch: u64,
        ballot: Ballot,
    },
    Promised {
        epoch: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
        version: Version,
    },
    /// A higher ballot was promised.
    Rejected {
        epoch: u64,
        promised: Ballot,
    },
    /// Put this version on the disk and keep it until the ballot is over.
    Persist {
        epoch: u64,
        ballot: Ballot,
        version: Version,
        source: SocketAddr,
    },
    Persisted {
        epoch: u64,
        ballot: Ballot,
        version: Version,
    },
    /// Second question of a ballot.
    Accept {
        epoch: u64,
        ballot: Ballot,
        view: View,
    },
    Accepted {
        epoch: u64,
        ballot: Ballot,
    },
    /// A decided view.
    InstallView {
        view: View,
    },
    /// The sender knows of no later view than this.
    ViewRequest {
        epoch: u64,
    },
    /// A write on its way along the chain; without a step the receiver is to fetch what it lacks.
    Append {
        epoch: u64,
        version: Version,
        entry: Option<LogEntry>,
    },
    /// Every link has this version on its disk.
    Committed {
        epoch: u64,
        version: Version,
    },
    /// What the sender has; asks for what it lacks.
    CatchUpRequest {
        epoch: u64,
        current: Version,
        snapshot_progress: Option<SnapshotProgress>,
        /// Exactly this version; else whatever is committed.
        target: Option<Version>,
        /// Whether the sender may become a voter.
        eligible: bool,
    },
    /// The follower lacks nothing.
    UpToDate {
        version: Version,
    },
    LogEntries {
        entries: Vec<LogEntry>,
    },
    /// A part of a whole copy.
    SnapshotChunk {
        version: Version,
        total: u64,
        offset: u64,
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

/// How far a whole copy has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotProgress {
    pub version: Version,
    pub offset: u64,
}
