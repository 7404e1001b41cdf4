//! Writes along the chain. The head makes a version, every link puts it on its disk before it passes it on, and the
//! tail tells all links that it is committed. One version is on its way at a time.

use std::sync::Arc;

use super::{PlantedBug, Replica};
use crate::{Effects, LogEntry, Member, Message, Replicated, Version};

/// Why the head takes no write now. Asking again is always right.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteRefusal {
    #[error("this machine is not the head of the chain: ask the head")]
    NotHead,
    #[error("the view is being changed, or an earlier write is not committed yet: ask again")]
    NotReady,
    #[error("the change cannot be applied: report this as a fault of the program")]
    InvalidChange,
}

/// A longer change is fetched by each link in pieces instead of being sent along.
const MAX_INLINE_ENTRY_BYTES: usize = 64 << 10;

impl<S: Replicated> Replica<S> {
    /// Whether all that this head has is committed and it may make the next version.
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

    /// Makes the next version and sends it on its way; it is committed once [`Replica::committed`] has reached it.
    pub fn write(&mut self, change: Vec<u8>) -> Result<(Version, Effects), WriteRefusal> {
        self.check_writable()?;
        let value = self.value.apply(&change).ok_or(WriteRefusal::InvalidChange)?;
        let result =
            Version { epoch: self.view().epoch, sequence: self.version.sequence + 1, digest: value.digest() };
        let step = LogEntry { base: self.version, change: Some(change), result };
        self.take_step(step.clone(), Arc::new(value));
        if self.has(PlantedBug::HeadCommitsAlone) {
            self.committed_version = Some(result);
        }
        self.pass_on(Some(step));
        Ok((result, self.finish()))
    }

    /// As the head, sends what is not known to be committed on its way once more: links that have it pass it on, others
    /// fetch it.
    pub fn resend_uncommitted(&mut self) -> Effects {
        if self.is_head() && self.may_append() && self.committed_version != Some(self.version) {
            self.pass_on(None);
        }
        self.finish()
    }

    pub(super) fn may_append(&self) -> bool {
        let sealed = self.is_sealed() && !self.has(PlantedBug::SealedTakesWrites);
        self.is_link() && self.is_caught_up() && !sealed
    }

    pub(super) fn append(&mut self, from: &Member, epoch: u64, version: Version, step: Option<LogEntry>) {
        if !self.in_epoch(from, epoch) || !self.is_link() || version.epoch != epoch {
            return;
        }
        let sealed = self.is_sealed() && !self.has(PlantedBug::SealedTakesWrites);
        if sealed || self.view().successor(&from.identity) != Some(&self.own_member) {
            return;
        }
        if self.version == version {
            return self.pass_on(step);
        }
        if self.version > version {
            return;
        }
        if let Some((step, value)) = step.and_then(|step| self.applied(step)) {
            self.take_step(step.clone(), Arc::new(value));
            return self.pass_on(Some(step));
        }
        self.fetch_from(from.peer, Some(version), None);
    }

    /// A step that leads on from the present version, with its result checked.
    pub(super) fn applied(&self, step: LogEntry) -> Option<(LogEntry, S)> {
        if step.base != self.version {
            return None;
        }
        let value = match &step.change {
            Some(change) => self.value.apply(change)?,
            None => S::clone(&self.value),
        };
        (value.digest() == step.result.digest).then_some((step, value))
    }

    pub(super) fn take_step(&mut self, step: LogEntry, value: Arc<S>) {
        self.put_version(step.result, value);
        self.recent_log.push(step);
    }

    /// This machine has its version on the disk when the message leaves: the successor is next, or all links are told.
    pub(super) fn pass_on(&mut self, step: Option<LogEntry>) {
        let (epoch, version) = (self.view().epoch, self.version);
        if let Some(successor) = self.view().successor(&self.own_member.identity) {
            let step = step.filter(|step| step.size() <= MAX_INLINE_ENTRY_BYTES);
            let peer = successor.peer;
            return self.send(peer, Message::Append { epoch, version, entry: step });
        }
        let links: Vec<_> = self.view().chain.iter().map(|link| link.peer).collect();
        for peer in links {
            self.send(peer, Message::Committed { epoch, version });
        }
        if self.has(PlantedBug::TailCommitsUnwritten) {
            self.effects.write_value = false;
        }
    }

    pub(super) fn learn_committed(&mut self, epoch: u64, version: Version) {
        let here = epoch == self.view().epoch && version.epoch == epoch && self.is_link();
        if here && self.committed_version.is_none_or(|known| known < version) {
            self.committed_version = Some(version);
        }
    }
}
