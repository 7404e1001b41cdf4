//! Learning: a machine that lacks something asks one that has it, and gets the steps from what it has, or a whole
//! copy in pieces. One question is out at a time; a copy goes on where it stopped.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{PlantedBug, Replica};
use crate::{Ballot, Effects, LogEntry, Member, Message, Replicated, SnapshotProgress, Version};

/// Steps that are kept for followers.
const MAX_RECENT_ENTRIES: usize = 1_024;
const MAX_RECENT_BYTES: usize = 1 << 20;
/// Bytes of one answer.
const MAX_ANSWER_BYTES: usize = 128 << 10;

/// The newest steps, without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RecentLog {
    steps: VecDeque<LogEntry>,
    bytes: usize,
}

impl RecentLog {
    pub fn push(&mut self, step: LogEntry) {
        if self.steps.back().is_some_and(|last| last.result != step.base) {
            self.steps.clear();
            self.bytes = 0;
        }
        self.bytes += step.size();
        self.steps.push_back(step);
        while self.steps.len() > MAX_RECENT_ENTRIES || self.bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.steps.pop_front() else { return };
            self.bytes -= oldest.size();
        }
    }

    /// The steps that lead from one version to another; none if they are not known.
    fn path(&self, from: Version, to: Version) -> Option<Vec<LogEntry>> {
        let first = self.steps.iter().position(|step| step.base == from)?;
        let last = self.steps.iter().position(|step| step.result == to).filter(|last| *last >= first)?;
        Some(self.steps.range(first..=last).cloned().collect())
    }
}

/// A version as bytes, for those who copy it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Snapshot {
    version: Version,
    bytes: Arc<[u8]>,
}

/// What this machine is fetching.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CatchUp {
    source: SocketAddr,
    /// Exactly this version; else whatever is committed.
    wanted: Option<Version>,
    /// Who asked for it to be held, for which ballot.
    hold: Option<(SocketAddr, u64, Ballot)>,
}

impl CatchUp {
    pub fn is_for_ballot(&self) -> bool {
        self.hold.is_some()
    }
}

/// What has come of a whole copy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PartialSnapshot {
    version: Version,
    bytes: Vec<u8>,
}

impl<S: Replicated> Replica<S> {
    /// Whether it follows the chain instead of being a part of it.
    pub fn is_learner(&self) -> bool {
        let in_chain = self.is_link() && self.is_caught_up();
        !in_chain && self.eligible && !(self.is_voter() && self.is_sealed())
    }

    /// Whether it waits for an answer to a question about what it lacks.
    pub fn is_catching_up(&self) -> bool {
        self.catch_up.is_some()
    }

    /// Asks again for what is being fetched, or, as a follower, asks `source` for what is committed.
    pub fn request_catch_up(&mut self, source: SocketAddr) -> Effects {
        match &self.catch_up {
            Some(fetch) if fetch.wanted.is_some() => self.ask_for_more(),
            Some(fetch) if fetch.source == source => self.ask_for_more(),
            _ if self.is_learner() => self.fetch_from(source, None, None),
            _ => {}
        }
        self.finish()
    }

    /// Forgets the bytes kept for copying.
    pub fn drop_snapshot(&mut self) {
        self.snapshot = None;
    }

    pub(super) fn fetch_from(
        &mut self,
        source: SocketAddr,
        wanted: Option<Version>,
        hold: Option<(SocketAddr, u64, Ballot)>,
    ) {
        if source == self.own_member.peer {
            return;
        }
        self.catch_up = Some(CatchUp { source, wanted, hold });
        self.ask_for_more();
    }

    fn ask_for_more(&mut self) {
        let Some(fetch) = &self.catch_up else { return };
        let copying = self.partial_snapshot.as_ref();
        let follow = Message::CatchUpRequest {
            epoch: self.latest_view().epoch,
            current: self.version,
            snapshot_progress: copying
                .map(|copy| SnapshotProgress { version: copy.version, offset: copy.bytes.len() as u64 }),
            target: fetch.wanted,
            eligible: self.eligible,
        };
        let source = fetch.source;
        self.send(source, follow);
    }

    pub(super) fn followed(
        &mut self,
        from: &Member,
        epoch: u64,
        have: Version,
        copying: Option<SnapshotProgress>,
        wanted: Option<Version>,
    ) {
        self.tell_view_if_later(from, epoch);
        let target = match wanted {
            Some(wanted) => wanted,
            None if !self.is_link() => return,
            None if self.has(PlantedBug::FollowerGetsUncommitted) => self.version,
            // While a write is on its way only what is committed is given; it takes a moment.
            None => match self.committed_version {
                Some(committed) if committed.epoch == self.view().epoch => committed,
                _ => return,
            },
        };
        if have == target {
            return self.send(from.peer, Message::UpToDate { version: target });
        }
        if let Some(steps) = self.recent_log.path(have, target) {
            return self.send(from.peer, Message::LogEntries { entries: shortened(steps) });
        }
        if let Some(piece) = self.piece(target, copying, wanted.is_some()) {
            self.send(from.peer, piece);
        }
    }

    /// A piece of the copy that is being read, if steps lead on from it to the target; else of the present value.
    fn piece(
        &mut self,
        target: Version,
        copying: Option<SnapshotProgress>,
        exactly: bool,
    ) -> Option<Message> {
        let usable = self.snapshot.as_ref().is_some_and(|snapshot| {
            let leads_on = || self.recent_log.path(snapshot.version, target).is_some();
            snapshot.version == target || (!exactly && leads_on())
        });
        if !usable {
            if self.version != target {
                return None;
            }
            self.snapshot = Some(Snapshot { version: target, bytes: self.value.encode().into() });
        }
        let snapshot = self.snapshot.as_ref()?;
        let offset = match copying {
            Some(copying) if copying.version == snapshot.version => copying.offset as usize,
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

    pub(super) fn found_level(&mut self, version: Version) {
        if self.version != version || self.catch_up.as_ref().is_none_or(|fetch| fetch.wanted.is_some()) {
            return;
        }
        self.catch_up = None;
        if self.is_learner() {
            self.committed_version = Some(version);
        }
    }

    pub(super) fn take_steps(&mut self, steps: Vec<LogEntry>) {
        if !self.may_take(steps.last().map(|last| last.result)) {
            return;
        }
        let mut taken = false;
        for step in steps {
            if let Some((step, value)) = self.applied(step) {
                self.take_step(step, Arc::new(value));
                taken = true;
            }
        }
        if taken {
            self.fetched();
        }
    }

    /// Whether a version that was fetched may replace the present one: it is just what is wanted, or it is later and
    /// this machine is one that follows.
    fn may_take(&self, version: Option<Version>) -> bool {
        let (Some(fetch), Some(version)) = (&self.catch_up, version) else { return false };
        match fetch.wanted {
            // Going back is allowed in one step only, never by way of something still older.
            Some(wanted) if fetch.hold.is_some() => {
                version == wanted || (self.version < version && version < wanted)
            }
            Some(wanted) => self.version < version && version <= wanted,
            None => version > self.version && self.is_learner(),
        }
    }

    pub(super) fn take_piece(&mut self, version: Version, total: u64, offset: u64, bytes: &[u8]) {
        if !self.may_take(Some(version)) {
            return;
        }
        let copy = match &mut self.partial_snapshot {
            Some(copy) if copy.version == version => copy,
            copy => copy.insert(PartialSnapshot { version, bytes: Vec::new() }),
        };
        if copy.bytes.len() as u64 != offset {
            return;
        }
        copy.bytes.extend_from_slice(bytes);
        if (copy.bytes.len() as u64) < total {
            return self.ask_for_more();
        }
        let whole = self.partial_snapshot.take().and_then(|copy| S::decode(&copy.bytes));
        if let Some(value) = whole.filter(|value| value.digest() == version.digest) {
            self.recent_log = RecentLog::default();
            self.put_version(version, Arc::new(value));
            self.fetched();
        }
    }

    /// Something fetched has been taken: the one who asked for it is told, or the rest is asked for.
    fn fetched(&mut self) {
        self.committed_version = None;
        let Some(fetch) = &self.catch_up else { return };
        if fetch.wanted != Some(self.version) {
            return self.ask_for_more();
        }
        let hold = fetch.hold.clone();
        self.catch_up = None;
        match hold {
            Some((proposer, epoch, ballot)) => {
                self.send(proposer, Message::Persisted { epoch, ballot, version: self.version });
            }
            // The predecessor has this version, too: it has said so.
            None if self.may_append() => self.pass_on(None),
            None => {}
        }
    }
}

/// As many of the first steps as fit into an answer; at least one.
fn shortened(mut steps: Vec<LogEntry>) -> Vec<LogEntry> {
    let mut bytes = 0;
    let fitting = steps.iter().take_while(|step| {
        bytes += step.size();
        bytes <= MAX_ANSWER_BYTES
    });
    let fitting = fitting.count().max(1);
    steps.truncate(fitting);
    steps
}
