//! Catch-up: a machine that lacks versions requests them from one that has them, and receives the log entries from its own
//! version on, or a snapshot in chunks. It fetches one thing at a time; an interrupted snapshot is resumed at its offset.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{PlantedBug, Replica};
use crate::{Ballot, Effects, LogEntry, Member, Message, Replicated, SnapshotProgress, Version};

/// Number of log entries kept for learners.
const MAX_RECENT_ENTRIES: usize = 1_024;
/// Total length of the changes kept for learners.
const MAX_RECENT_BYTES: usize = 1 << 20;
/// Largest number of bytes in one answer to a catch-up request.
const MAX_ANSWER_BYTES: usize = 128 << 10;

/// The newest log entries, without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RecentLog {
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl RecentLog {
    /// Adds an entry. Drops the older entries if it does not follow them, and the oldest ones above the limits.
    pub fn push(&mut self, entry: LogEntry) {
        if self.entries.back().is_some_and(|last| last.result != entry.base) {
            self.entries.clear();
            self.bytes = 0;
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_RECENT_ENTRIES || self.bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.bytes -= oldest.size();
        }
    }

    /// Returns the entries that lead from one version to another; none if they are not kept.
    fn path(&self, from: Version, to: Version) -> Option<Vec<LogEntry>> {
        let first = self.entries.iter().position(|entry| entry.base == from)?;
        let last = self.entries.iter().position(|entry| entry.result == to).filter(|last| *last >= first)?;
        Some(self.entries.range(first..=last).cloned().collect())
    }
}

/// An encoded version, kept while learners fetch it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Snapshot {
    version: Version,
    bytes: Arc<[u8]>,
}

/// What this machine is fetching, and from where.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CatchUp {
    source: SocketAddr,
    /// The version to fetch; if none, whatever is committed.
    target: Option<Version>,
    /// Proposer that asked for the version to be persisted, with the epoch and the ballot.
    persist_for: Option<(SocketAddr, u64, Ballot)>,
}

impl CatchUp {
    /// Whether a proposer asked for the version.
    pub fn is_for_ballot(&self) -> bool {
        self.persist_for.is_some()
    }
}

/// The part of a snapshot that has been received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PartialSnapshot {
    version: Version,
    bytes: Vec<u8>,
}

impl<S: Replicated> Replica<S> {
    /// Whether this machine learns committed versions from the chain instead of being a caught-up link of it.
    pub fn is_learner(&self) -> bool {
        let in_chain = self.is_link() && self.is_caught_up();
        !in_chain && self.eligible && !(self.is_voter() && self.is_sealed())
    }

    /// Whether this machine is fetching something that it lacks.
    pub fn is_catching_up(&self) -> bool {
        self.catch_up.is_some()
    }

    /// Repeats the request for what is being fetched or, as a learner, requests what is committed from `source`.
    pub fn request_catch_up(&mut self, source: SocketAddr) -> Effects {
        match &self.catch_up {
            Some(fetch) if fetch.target.is_some() => self.request_more(),
            Some(fetch) if fetch.source == source => self.request_more(),
            _ if self.is_learner() => self.fetch_from(source, None, None),
            _ => {}
        }
        self.finish()
    }

    /// Drops the snapshot kept for learners.
    pub fn drop_snapshot(&mut self) {
        self.snapshot = None;
    }

    /// Starts to fetch a version, or whatever is committed, from `source`, instead of what was being fetched.
    pub(super) fn fetch_from(
        &mut self,
        source: SocketAddr,
        target: Option<Version>,
        persist_for: Option<(SocketAddr, u64, Ballot)>,
    ) {
        if source == self.own_member.peer {
            return;
        }
        self.catch_up = Some(CatchUp { source, target, persist_for });
        self.request_more();
    }

    /// Sends the next request for what is being fetched.
    fn request_more(&mut self) {
        let Some(fetch) = &self.catch_up else { return };
        let partial = self.partial_snapshot.as_ref();
        let request = Message::CatchUpRequest {
            epoch: self.latest_view().epoch,
            current: self.version,
            snapshot_progress: partial
                .map(|it| SnapshotProgress { version: it.version, offset: it.bytes.len() as u64 }),
            target: fetch.target,
            eligible: self.eligible,
        };
        let source = fetch.source;
        self.send(source, request);
    }

    /// Answers a catch-up request.
    pub(super) fn answer_catch_up(
        &mut self,
        from: &Member,
        epoch: u64,
        current: Version,
        snapshot_progress: Option<SnapshotProgress>,
        requested: Option<Version>,
    ) {
        self.send_view_if_later(from, epoch);
        let target = match requested {
            Some(requested) => requested,
            None if !self.is_link() => return,
            None if self.has(PlantedBug::FollowerGetsUncommitted) => self.version,
            // While a write is in flight, only committed versions are sent; the learner asks again.
            None => match self.committed_version {
                Some(committed) if committed.epoch == self.view().epoch => committed,
                _ => return,
            },
        };
        if current == target {
            return self.send(from.peer, Message::UpToDate { version: target });
        }
        if let Some(entries) = self.recent_log.path(current, target) {
            return self.send(from.peer, Message::LogEntries { entries: truncate_to_answer(entries) });
        }
        if let Some(chunk) = self.snapshot_chunk(target, snapshot_progress, requested.is_some()) {
            self.send(from.peer, chunk);
        }
    }

    /// Returns the next chunk of the kept snapshot if that is the target or, unless `exactly` the target is requested, entries
    /// lead from it to the target; otherwise of a snapshot of the present value, if that is the target.
    fn snapshot_chunk(
        &mut self,
        target: Version,
        progress: Option<SnapshotProgress>,
        exactly: bool,
    ) -> Option<Message> {
        let usable = self.snapshot.as_ref().is_some_and(|snapshot| {
            let leads_to_target = || self.recent_log.path(snapshot.version, target).is_some();
            snapshot.version == target || (!exactly && leads_to_target())
        });
        if !usable {
            if self.version != target {
                return None;
            }
            self.snapshot = Some(Snapshot { version: target, bytes: self.value.encode().into() });
        }
        let snapshot = self.snapshot.as_ref()?;
        let offset = match progress {
            Some(progress) if progress.version == snapshot.version => progress.offset as usize,
            _ => 0,
        };
        let rest = snapshot.bytes.get(offset..)?;
        Some(Message::SnapshotChunk {
            version: snapshot.version,
            total: snapshot.bytes.len() as u64,
            offset: offset as u64,
            bytes: rest[..rest.len().min(MAX_ANSWER_BYTES)].to_vec(),
        })
    }

    /// Handles the answer that this machine lacks nothing.
    pub(super) fn take_up_to_date(&mut self, version: Version) {
        if self.version != version || self.catch_up.as_ref().is_none_or(|fetch| fetch.target.is_some()) {
            return;
        }
        self.catch_up = None;
        if self.is_learner() {
            self.committed_version = Some(version);
        }
    }

    /// Applies received log entries.
    pub(super) fn take_entries(&mut self, entries: Vec<LogEntry>) {
        if !self.may_take(entries.last().map(|last| last.result)) {
            return;
        }
        let mut applied = false;
        for entry in entries {
            if let Some((entry, value)) = self.apply(entry) {
                self.adopt_entry(entry, Arc::new(value));
                applied = true;
            }
        }
        if applied {
            self.on_fetched();
        }
    }

    /// Whether a fetched version may replace the present one: it is or leads to the requested version, or it is newer and this
    /// machine is a learner.
    fn may_take(&self, version: Option<Version>) -> bool {
        let (Some(fetch), Some(version)) = (&self.catch_up, version) else { return false };
        match fetch.target {
            // A proposer may request an older version than the present one. It must be reached directly, never by way of a
            // version that is older still.
            Some(target) if fetch.persist_for.is_some() => {
                version == target || (self.version < version && version < target)
            }
            Some(target) => self.version < version && version <= target,
            None => version > self.version && self.is_learner(),
        }
    }

    /// Appends a received chunk to the snapshot, and adopts the snapshot once it is complete.
    pub(super) fn take_chunk(&mut self, version: Version, total: u64, offset: u64, bytes: &[u8]) {
        if !self.may_take(Some(version)) {
            return;
        }
        let partial = match &mut self.partial_snapshot {
            Some(partial) if partial.version == version => partial,
            partial => partial.insert(PartialSnapshot { version, bytes: Vec::new() }),
        };
        if partial.bytes.len() as u64 != offset {
            return;
        }
        partial.bytes.extend_from_slice(bytes);
        if (partial.bytes.len() as u64) < total {
            return self.request_more();
        }
        let value = self.partial_snapshot.take().and_then(|snapshot| S::decode(&snapshot.bytes));
        if let Some(value) = value.filter(|value| value.digest() == version.digest) {
            self.recent_log = RecentLog::default();
            self.put_version(version, Arc::new(value));
            self.on_fetched();
        }
    }

    /// Called when something fetched was adopted: requests the rest, or reports to the proposer that asked for the version.
    fn on_fetched(&mut self) {
        self.committed_version = None;
        let Some(fetch) = &self.catch_up else { return };
        if fetch.target != Some(self.version) {
            return self.request_more();
        }
        let persist_for = fetch.persist_for.clone();
        self.catch_up = None;
        match persist_for {
            Some((proposer, epoch, ballot)) => {
                self.send(proposer, Message::Persisted { epoch, ballot, version: self.version });
            }
            // The predecessor has this version, too: it announced it.
            None if self.may_append() => self.forward(None),
            None => {}
        }
    }
}

/// Returns as many of the first entries as fit into an answer, and at least one.
fn truncate_to_answer(mut entries: Vec<LogEntry>) -> Vec<LogEntry> {
    let mut bytes = 0;
    let fitting = entries.iter().take_while(|entry| {
        bytes += entry.size();
        bytes <= MAX_ANSWER_BYTES
    });
    let count = fitting.count().max(1);
    entries.truncate(count);
    entries
}
