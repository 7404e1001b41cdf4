//! Chain replication of writes. The head makes a version, every link makes it durable before it forwards it to its successor,
//! and the tail tells all links that it is committed. At most one version is in flight at a time.

use std::sync::Arc;

use super::{PlantedBug, Replica};
use crate::{Effects, LogEntry, Member, Message, Replicated, Version};

/// Why a write was not accepted. A refused write had no effect, and retrying it is always safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteRefusal {
    /// This machine is not the head of the chain.
    #[error("this machine is not the head of the chain: ask the head")]
    NotHead,
    /// The view is sealed, this machine is not caught up, the chain is too short, or an earlier write is uncommitted.
    #[error("the view is being changed, or an earlier write is not committed yet: ask again")]
    NotReady,
    /// [`Replicated::apply`] rejected the change.
    #[error("the change cannot be applied: report this as a fault of the program")]
    InvalidChange,
}

/// Largest change that is forwarded inside an append message. Links fetch the result of a larger one from their predecessor,
/// in chunks.
const MAX_INLINE_ENTRY_BYTES: usize = 64 << 10;

impl<S: Replicated> Replica<S> {
    /// Checks that this machine is the head, has only committed content and may make the next version.
    ///
    /// # Errors
    /// If that is not so.
    pub fn check_writable(&self) -> Result<(), WriteRefusal> {
        if !self.is_head() {
            return Err(WriteRefusal::NotHead);
        }
        let settled = self.committed_version == Some(self.version) || self.has(PlantedBug::RefusalInDoubt);
        let enough = self.view().chain.len() >= self.rules.min_chain_length(self.view().voters.len());
        match settled && self.may_append() && (enough || self.has(PlantedBug::ChainMayBeShort)) {
            true => Ok(()),
            false => Err(WriteRefusal::NotReady),
        }
    }

    /// Makes the next version and forwards it; it is committed once [`Replica::committed_version`] has reached it.
    ///
    /// # Errors
    /// If this machine may not make the next version now, or the change is invalid.
    pub fn write(&mut self, change: Vec<u8>) -> Result<(Version, Effects), WriteRefusal> {
        self.check_writable()?;
        let value = self.value.apply(&change).ok_or(WriteRefusal::InvalidChange)?;
        let result =
            Version { epoch: self.view().epoch, sequence: self.version.sequence + 1, digest: value.digest() };
        let entry = LogEntry { base: self.version, change: Some(change), result };
        self.adopt_entry(entry.clone(), Arc::new(value));
        if self.has(PlantedBug::HeadCommitsAlone) {
            self.committed_version = Some(result);
        }
        self.forward(Some(entry));
        Ok((result, self.finish()))
    }

    /// As the head, forwards the newest version again if it is not known to be committed. Links that have it forward it, others
    /// fetch it.
    pub fn resend_uncommitted(&mut self) -> Effects {
        if self.is_head() && self.may_append() && self.committed_version != Some(self.version) {
            self.forward(None);
        }
        self.finish()
    }

    /// Whether this machine is a caught-up link of an unsealed view.
    pub(super) fn may_append(&self) -> bool {
        let sealed = self.is_sealed() && !self.has(PlantedBug::SealedTakesWrites);
        self.is_link() && self.is_caught_up() && !sealed
    }

    /// Handles a write that the predecessor forwards.
    pub(super) fn append(&mut self, from: &Member, epoch: u64, version: Version, entry: Option<LogEntry>) {
        if !self.in_epoch(from, epoch) || !self.is_link() || version.epoch != epoch {
            return;
        }
        let sealed = self.is_sealed() && !self.has(PlantedBug::SealedTakesWrites);
        if sealed || self.view().successor(&from.identity) != Some(&self.own_member) {
            return;
        }
        if self.version == version {
            return self.forward(entry);
        }
        if self.version > version {
            return;
        }
        if let Some((entry, value)) = entry.and_then(|entry| self.apply(entry)) {
            self.adopt_entry(entry.clone(), Arc::new(value));
            return self.forward(Some(entry));
        }
        self.fetch_from(from.peer, Some(version), None);
    }

    /// Applies an entry to the present value, without storing the result. Returns none if the entry does not follow the present
    /// version or the digest of the result does not match.
    pub(super) fn apply(&self, entry: LogEntry) -> Option<(LogEntry, S)> {
        if entry.base != self.version {
            return None;
        }
        let value = match &entry.change {
            Some(change) => self.value.apply(change)?,
            None => S::clone(&self.value),
        };
        (value.digest() == entry.result.digest).then_some((entry, value))
    }

    /// Adopts an entry and the value that it results in.
    pub(super) fn adopt_entry(&mut self, entry: LogEntry, value: Arc<S>) {
        self.put_version(entry.result, value);
        self.recent_log.push(entry);
    }

    /// Forwards the present version to the successor or, as the tail, tells all links that it is committed. The version is
    /// durable here before the message is sent, because effects write first.
    pub(super) fn forward(&mut self, entry: Option<LogEntry>) {
        let (epoch, version) = (self.view().epoch, self.version);
        if let Some(successor) = self.view().successor(&self.own_member.identity) {
            let entry = entry.filter(|entry| entry.size() <= MAX_INLINE_ENTRY_BYTES);
            let peer = successor.peer;
            return self.send(peer, Message::Append { epoch, version, entry });
        }
        let links: Vec<_> = self.view().chain.iter().map(|link| link.peer).collect();
        for peer in links {
            self.send(peer, Message::Committed { epoch, version });
        }
        if self.has(PlantedBug::TailCommitsUnwritten) {
            self.effects.write_value = false;
        }
    }

    /// Records that a version of the present view is committed.
    pub(super) fn learn_committed(&mut self, epoch: u64, version: Version) {
        let applies = epoch == self.view().epoch && version.epoch == epoch && self.is_link();
        if applies && self.committed_version.is_none_or(|known| known < version) {
            self.committed_version = Some(version);
        }
    }
}
