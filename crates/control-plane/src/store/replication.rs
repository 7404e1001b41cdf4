//! Entries along the chains: made at the head, on each link's disk before they go on, committed once the tail has them.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_batch::Command;
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_wire::{
    Entry, EntryBatch, EntryPosition, GroupCopy, Reply, Request, StoreReply, StoreRequest,
};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::group::Offer;
use super::journal::Record;
use super::Store;

/// Entries made within so short a time go together.
const GATHER_FOR: Duration = Duration::from_millis(6);
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);
const POSITION_TIMEOUT: Duration = Duration::from_millis(600);
const INSTALL_TIMEOUT: Duration = Duration::from_secs(8);
const REPAIR_EVERY: Duration = Duration::from_millis(150);
/// An entry in doubt for so short a time is most likely still on its way.
const REPAIR_PATIENCE: Duration = Duration::from_millis(120);

impl Store {
    /// Makes a change as the head of a group in `view`; gives the place of its entry.
    pub(super) fn change(&self, view: &StoreView, group: GroupNumber, command: Command) -> EntryPosition {
        let entry = self.held(group).borrow_mut().create(group, view.epoch, command);
        let position = entry.position;
        self.pending.borrow_mut().push(entry);
        self.flush.notify_one();
        self.changed.notify_waiters();
        position
    }

    /// Sends on what was made here, in batches, without end.
    pub(super) async fn flush_entries(self: Rc<Self>) {
        loop {
            self.flush.notified().await;
            sleep(GATHER_FOR).await;
            let entries = std::mem::take(&mut *self.pending.borrow_mut());
            if entries.is_empty() {
                continue;
            }
            let synced = self.journal_records(entries.iter().cloned().map(Record::Entry).collect());
            let view = self.view();
            let mut batches = batched(entries);
            // What was made here before another became the head goes nowhere: the new head's entries replace it.
            batches.retain(|batch| self.is_head(&view, batch.group));
            let store = self.clone();
            tokio::task::spawn_local(async move { store.replicate(view.epoch, batches, synced).await });
        }
    }

    /// Waits until entries are on this disk, passes them on, and tells which groups are committed.
    async fn replicate(
        self: &Rc<Self>,
        epoch: u64,
        batches: Vec<EntryBatch>,
        synced: impl Future<Output = bool>,
    ) -> Vec<GroupNumber> {
        if !synced.await {
            return Vec::new();
        }
        for batch in &batches {
            let mut held = self.held(batch.group).borrow_mut();
            held.synced = held.synced.max(batch.end.sequence);
        }
        self.changed.notify_waiters();
        let view = self.view();
        if view.epoch != epoch {
            return Vec::new();
        }
        let mut committed = Vec::new();
        let mut onward: BTreeMap<SocketAddr, Vec<EntryBatch>> = BTreeMap::new();
        for batch in batches {
            match self.successor(&view, batch.group) {
                Some((_, peer)) => onward.entry(peer).or_default().push(batch),
                None if self.is_tail(&view, batch.group) => committed.push((batch.group, batch.end)),
                None => {}
            }
        }
        let calls = onward.into_iter().map(|(peer, batches)| self.pass_on(peer, epoch, batches));
        committed.extend(join_all(calls).await.into_iter().flatten());
        for (group, end) in &committed {
            let mut held = self.held(*group).borrow_mut();
            held.committed = held.committed.max(end.sequence);
        }
        self.changed.notify_waiters();
        committed.into_iter().map(|(group, _)| group).collect()
    }

    async fn pass_on(
        &self,
        peer: SocketAddr,
        epoch: u64,
        batches: Vec<EntryBatch>,
    ) -> Vec<(GroupNumber, EntryPosition)> {
        let ends: Vec<(GroupNumber, EntryPosition)> =
            batches.iter().map(|batch| (batch.group, batch.end)).collect();
        match self.ask(peer, StoreRequest::Append { epoch, batches }, APPEND_TIMEOUT).await {
            Some(StoreReply::Appended { committed }) => {
                ends.into_iter().filter(|(group, _)| committed.contains(group)).collect()
            }
            _ => Vec::new(),
        }
    }

    pub(super) async fn ask(
        &self,
        peer: SocketAddr,
        request: StoreRequest,
        within: Duration,
    ) -> Option<StoreReply> {
        match self.caller.call(peer, Request::Store(request), within).await {
            Ok(Reply::Store(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Entries from the predecessors of their groups.
    pub(super) async fn append(self: &Rc<Self>, epoch: u64, batches: Vec<EntryBatch>) -> StoreReply {
        let Some(view) = self.view_of(epoch).await else {
            return StoreReply::OtherEpoch(self.view().epoch);
        };
        let own = self.number(&view);
        let mut taken = Vec::new();
        let mut records = Vec::new();
        for batch in batches {
            let in_chain = view
                .group(batch.group)
                .is_some_and(|group| group.chain.iter().skip(1).any(|number| Some(*number) == own));
            if in_chain && self.take(&batch, &mut records) {
                taken.push(batch);
            }
        }
        let synced = self.journal_records(records);
        self.changed.notify_waiters();
        StoreReply::Appended { committed: self.replicate(epoch, taken, synced).await }
    }

    /// Takes a batch's entries; false if this store is not at the batch's end then.
    fn take(&self, batch: &EntryBatch, records: &mut Vec<Record>) -> bool {
        let mut held = self.held(batch.group).borrow_mut();
        for entry in &batch.entries {
            match held.offer(entry) {
                Offer::Taken => records.push(Record::Entry(entry.clone())),
                Offer::Had => {}
                Offer::Gap | Offer::Conflict => return false,
            }
        }
        held.contains(batch.end)
    }

    /// How far this store is in a group, in the view of `epoch`.
    pub(super) async fn position(&self, epoch: u64, group: GroupNumber) -> StoreReply {
        match self.view_of(epoch).await {
            Some(_) => StoreReply::Position(self.held(group).borrow().position()),
            None => StoreReply::OtherEpoch(self.view().epoch),
        }
    }

    /// Becomes a copy of the predecessor's group.
    pub(super) async fn install(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        copy: &GroupCopy,
    ) -> StoreReply {
        let Some(view) = self.view_of(epoch).await else {
            return StoreReply::OtherEpoch(self.view().epoch);
        };
        if self.is_head(&view, group) || !self.install_copy(group, copy).await {
            return StoreReply::Unsure;
        }
        StoreReply::Installed
    }

    /// A whole copy of a group, of which all is on this disk.
    pub(super) async fn copy_on_disk(&self, group: GroupNumber, until: Instant) -> Option<GroupCopy> {
        let copy = self.held(group).borrow().copy();
        self.synced(group, copy.position, until).await.then_some(copy)
    }

    /// Becomes a copy, on disk when this returns true.
    pub(super) async fn install_copy(&self, group: GroupNumber, copy: &GroupCopy) -> bool {
        if !self.held(group).borrow_mut().install(copy) {
            return false;
        }
        let synced = self.journal_records(vec![Record::Copy { group, copy: copy.clone() }]);
        if !synced.await {
            return false;
        }
        let mut held = self.held(group).borrow_mut();
        held.synced = held.synced.max(copy.position.sequence);
        drop(held);
        self.changed.notify_waiters();
        true
    }

    /// Waits until an entry is committed; false when the time is up, or another entry stands in its place.
    pub(super) async fn committed(&self, group: GroupNumber, entry: EntryPosition, until: Instant) -> bool {
        let settled = || {
            let held = self.held(group).borrow();
            held.committed >= entry.sequence || !held.contains(entry)
        };
        self.reached(until, settled).await && self.held(group).borrow().contains(entry)
    }

    /// Waits until an entry is on this disk; false when the time is up.
    pub(super) async fn synced(&self, group: GroupNumber, entry: EntryPosition, until: Instant) -> bool {
        let on_disk = || {
            let held = self.held(group).borrow();
            held.synced >= entry.sequence && held.contains(entry)
        };
        self.reached(until, on_disk).await
    }

    /// Waits for a condition that changes of groups can make true.
    pub(super) async fn reached(&self, until: Instant, condition: impl Fn() -> bool) -> bool {
        loop {
            let changed = self.changed.notified();
            if condition() {
                return true;
            }
            if timeout_at(until, changed).await.is_err() {
                return condition();
            }
        }
    }

    /// Brings successors level that lack entries, without end. Each is looked at anew in each view.
    pub(super) async fn repair_successors(self: Rc<Self>) {
        let mut doubtful: BTreeMap<GroupNumber, Instant> = BTreeMap::new();
        loop {
            let _ = timeout(REPAIR_EVERY, self.known.changed()).await;
            let view = self.view();
            let mut repairs = Vec::new();
            for group in GroupNumber::all() {
                let Some((_, peer)) = self.successor(&view, group) else { continue };
                let unchecked = self.checked.borrow().get(&group) != Some(&view.epoch);
                let in_doubt = {
                    let held = self.held(group).borrow();
                    held.committed < held.position().sequence
                };
                if !in_doubt && !unchecked {
                    doubtful.remove(&group);
                    continue;
                }
                let since = *doubtful.entry(group).or_insert_with(Instant::now);
                if unchecked || since.elapsed() > REPAIR_PATIENCE {
                    repairs.push((group, peer));
                }
            }
            let repaired = repairs.into_iter().map(|(group, peer)| {
                let (store, epoch) = (self.clone(), view.epoch);
                async move { store.repair(epoch, group, peer).await.then_some(group) }
            });
            for group in join_all(repaired).await.into_iter().flatten() {
                self.checked.borrow_mut().insert(group, view.epoch);
                doubtful.remove(&group);
            }
        }
    }

    /// Brings one successor level in one group; true once all links have what this store has.
    pub(super) async fn repair(self: &Rc<Self>, epoch: u64, group: GroupNumber, peer: SocketAddr) -> bool {
        let asked = StoreRequest::Position { epoch, group };
        let Some(StoreReply::Position(theirs)) = self.ask(peer, asked, POSITION_TIMEOUT).await else {
            return false;
        };
        let (synced, own) = {
            let held = self.held(group).borrow();
            (held.synced, held.position())
        };
        let until = Instant::now() + APPEND_TIMEOUT;
        if synced < own.sequence && !self.synced(group, own, until).await {
            return false;
        }
        let missing = self.held(group).borrow().after(theirs);
        let entries = match missing {
            Some(entries) => entries,
            None => {
                let Some(copy) = self.copy_on_disk(group, until).await else { return false };
                log::info!("group {}: a whole copy of {} bytes goes to {peer}", group.0, copy.state.len());
                let install = StoreRequest::Install { epoch, group, copy };
                match self.ask(peer, install, INSTALL_TIMEOUT).await {
                    Some(StoreReply::Installed) => Vec::new(),
                    _ => return false,
                }
            }
        };
        let end = entries.last().map_or(own, |last| last.position);
        if !self.synced(group, end, until).await {
            return false;
        }
        let batch = EntryBatch { group, entries, end };
        let committed = !self.pass_on(peer, epoch, vec![batch]).await.is_empty();
        if committed && self.view().epoch == epoch {
            let mut held = self.held(group).borrow_mut();
            held.committed = held.committed.max(end.sequence);
            drop(held);
            self.changed.notify_waiters();
        }
        committed
    }
}

/// Entries by group, each group's in order.
fn batched(entries: Vec<Entry>) -> Vec<EntryBatch> {
    let mut batches: BTreeMap<GroupNumber, Vec<Entry>> = BTreeMap::new();
    for entry in entries {
        batches.entry(entry.group).or_default().push(entry);
    }
    let batch = |(group, entries): (GroupNumber, Vec<Entry>)| {
        let end = entries.last().map(|last| last.position).unwrap_or_default();
        EntryBatch { group, entries, end }
    };
    batches.into_iter().map(batch).collect()
}
