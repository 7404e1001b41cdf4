//! Messages between the members of the core. The protocol tolerates the loss, duplication, delay and reordering of every one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Ballot, LogEntry, Member, Version, View};

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Member,
    /// The message.
    pub message: Message,
}

/// A message of the core's protocols. `epoch` is the epoch of the view that the message belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat of a voter: asks whether the receiver is still in the view, and tells it what is committed.
    Ping { epoch: u64, round: u64, committed: Option<Version> },
    /// Answer to a ping: the receiver's view, whether that view is sealed there, and the version it has.
    Pong { epoch: u64, round: u64, sealed: bool, version: Version },
    /// Paxos phase 1 request.
    Prepare { epoch: u64, ballot: Ballot },
    /// Paxos phase 1 answer: the receiver will take part in no earlier ballot. Names the proposal that it accepted last, and the
    /// version it has.
    Promised { epoch: u64, ballot: Ballot, accepted: Option<(Ballot, View)>, version: Version },
    /// Negative answer to a Paxos request: a higher ballot was promised.
    Rejected { epoch: u64, promised: Ballot },
    /// Asks the receiver to make this version durable, fetching it from `source` if needed, and to keep it until the ballot
    /// ends.
    Persist { epoch: u64, ballot: Ballot, version: Version, source: SocketAddr },
    /// The sender has made that version durable.
    Persisted { epoch: u64, ballot: Ballot, version: Version },
    /// Paxos phase 2 request.
    Accept { epoch: u64, ballot: Ballot, view: View },
    /// Paxos phase 2 answer: the receiver has accepted the proposal.
    Accepted { epoch: u64, ballot: Ballot },
    /// Announces a decided view.
    InstallView { view: View },
    /// Tells the epoch of the newest view that the sender knows, 0 if it knows none. Whoever of the two has the later view
    /// gives it to the other.
    CompareViews { epoch: u64 },
    /// A write passed down the chain; without an entry the receiver fetches what it lacks from the sender.
    Append { epoch: u64, version: Version, entry: Option<LogEntry> },
    /// This version is durable on every link.
    Committed { epoch: u64, version: Version },
    /// Asks for what the sender lacks, and tells which version it has.
    CatchUpRequest {
        epoch: u64,
        /// The version that the sender has.
        current: Version,
        /// The snapshot that the sender is receiving, if any.
        snapshot_progress: Option<SnapshotProgress>,
        /// The version to send; if none, whatever is committed.
        target: Option<Version>,
        /// Whether the sender may become a voter.
        eligible: bool,
    },
    /// Answer to a catch-up request: the sender of the request lacks nothing.
    UpToDate { version: Version },
    /// Answer to a catch-up request: the entries that lead on from the requester's version.
    LogEntries { entries: Vec<LogEntry> },
    /// Answer to a catch-up request: a part of a snapshot of `total` bytes, beginning at byte `offset`.
    SnapshotChunk {
        version: Version,
        total: u64,
        offset: u64,
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

/// How much of a snapshot has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Version of the snapshot.
    pub version: Version,
    /// Number of bytes received, from the beginning.
    pub offset: u64,
}
