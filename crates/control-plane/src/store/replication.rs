//! Entries along the chains: made at the head, on each link's disk before they go on, committed once the tail has them. What
//! a link guarantees stands at the head of `fennelgauge_replication`.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_batch::Command;
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_replication::{
    EntryStatus, ForwardTarget, InstallResult, Repair, RepairStep, RepairUrgency, Role,
};
use fennelgauge_wire::{
    Entry, EntryBatch, EntryPosition, GroupSnapshot, Reply, Request, StoreReply, StoreRequest,
};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout, timeout_at, Instant};

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
        let results = match &command {
            Command::RecordResults { results, .. } => results.len(),
            _ => 0,
        };
        self.entry_counters.record(results);
        let entry = self.replica(group).borrow_mut().create_entry(group, view.epoch, command);
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
            let mut batches = self.batched(entries);
            let records = batches.iter().flat_map(|batch| &batch.entries).cloned().map(Record::Entry);
            let synced = self.journal_records(records.collect());
            let view = self.view();
            // What was made here before another became the head goes nowhere: the new head's entries replace it.
            batches.retain(|batch| self.role(&view, batch.group).is_some_and(|role| role.is_head()));
            let store = self.clone();
            tokio::task::spawn_local(async move { store.replicate(view.epoch, batches, synced).await });
        }
    }

    /// Entries by group, each group's in order, without those that a copy has taken away since they were made.
    fn batched(&self, entries: Vec<Entry>) -> Vec<EntryBatch> {
        let mut groups: BTreeMap<GroupNumber, Vec<Entry>> = BTreeMap::new();
        for entry in entries {
            groups.entry(entry.group).or_default().push(entry);
        }
        let batch =
            |(group, entries): (GroupNumber, _)| self.replica(group).borrow().batch_from(group, entries);
        groups.into_iter().filter_map(batch).collect()
    }

    /// Waits until entries are on this disk, passes them on, and tells in which groups every further link has them.
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
            self.replica(batch.group).borrow_mut().mark_durable(batch.end);
        }
        self.changed.notify_waiters();
        let view = self.view();
        if view.epoch != epoch {
            return Vec::new();
        }
        let mut reached = Vec::new();
        let mut roles: BTreeMap<GroupNumber, Role> = BTreeMap::new();
        let mut onward: BTreeMap<SocketAddr, Vec<EntryBatch>> = BTreeMap::new();
        for batch in batches {
            let group = batch.group;
            let Some(role) = self.role(&view, group) else { continue };
            let next = self.replica(group).borrow().forward_target(&role, batch.end);
            match next {
                ForwardTarget::Blocked => continue,
                ForwardTarget::EndOfChain => reached.push((group, batch.end)),
                ForwardTarget::Successor(successor) => {
                    let Some(peer) = self.peer(&view, successor) else { continue };
                    onward.entry(peer).or_default().push(batch);
                }
            }
            roles.insert(group, role);
        }
        let calls = onward.into_iter().map(|(peer, batches)| self.pass_on(peer, epoch, batches));
        reached.extend(join_all(calls).await.into_iter().flatten());
        for (group, end) in &reached {
            if let Some(role) = roles.get(group) {
                self.replica(*group).borrow_mut().mark_replicated(role, *end);
            }
        }
        self.changed.notify_waiters();
        reached.into_iter().map(|(group, _)| group).collect()
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
            Some(StoreReply::Appended { replicated: reached }) => {
                ends.into_iter().filter(|(group, _)| reached.contains(group)).collect()
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
            return StoreReply::EpochMismatch(self.view().epoch);
        };
        let mut level = Vec::new();
        let mut records = Vec::new();
        for batch in batches {
            let role = self.role(&view, batch.group);
            let followed = self.replica(batch.group).borrow_mut().append_as_link(role.as_ref(), &batch);
            records.extend(followed.appended.into_iter().map(Record::Entry));
            if followed.is_caught_up {
                level.push(batch);
            }
        }
        let synced = self.journal_records(records);
        self.changed.notify_waiters();
        StoreReply::Appended { replicated: self.replicate(epoch, level, synced).await }
    }

    /// How far this store, as a link, is in a group in the view of `epoch`.
    pub(super) async fn position(&self, epoch: u64, group: GroupNumber) -> StoreReply {
        let role = self.view_of(epoch).await.and_then(|view| self.role(&view, group));
        let position = self.replica(group).borrow().position_in_role(role.as_ref());
        position.map_or_else(|| StoreReply::EpochMismatch(self.view().epoch), StoreReply::Position)
    }

    /// Becomes a copy of the predecessor's group.
    pub(super) async fn install(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        copy: &GroupSnapshot,
    ) -> StoreReply {
        let Some(view) = self.view_of(epoch).await else {
            return StoreReply::EpochMismatch(self.view().epoch);
        };
        let role = self.role(&view, group);
        let before = self.replica(group).borrow().position();
        let installed = self.replica(group).borrow_mut().install_snapshot_as_link(role.as_ref(), copy);
        match self.write_installed(group, before, installed, copy).await {
            true => StoreReply::Installed,
            false => StoreReply::Undetermined,
        }
    }

    /// A whole copy of a group, of which all is on this disk.
    pub(super) async fn copy_on_disk(&self, group: GroupNumber, until: Instant) -> Option<GroupSnapshot> {
        let copy = self.replica(group).borrow().snapshot();
        self.synced(group, copy.position, until).await.then_some(copy)
    }

    /// Writes a copy that was taken; true once it is on the disk.
    pub(super) async fn write_installed(
        &self,
        group: GroupNumber,
        before: EntryPosition,
        installed: InstallResult,
        copy: &GroupSnapshot,
    ) -> bool {
        let number = group.0;
        match installed {
            InstallResult::Installed { lost_read: Some(shown) } => log::error!(
                "group {number}: a copy up to {:?} drops {shown:?}, which was shown here: report this with all stores' logs",
                copy.position
            ),
            InstallResult::Installed { lost_read: None } => {
                log::info!("group {number}: from {before:?} to a copy up to {:?}", copy.position);
            }
            InstallResult::Corrupt | InstallResult::Outdated | InstallResult::NotInChain => {
                log::info!("group {number}: a copy up to {:?} is not taken: {installed:?}", copy.position);
                return false;
            }
        }
        if !self.journal_records(vec![Record::Snapshot { group, copy: copy.clone() }]).await {
            return false;
        }
        self.replica(group).borrow_mut().mark_durable(copy.position);
        self.changed.notify_waiters();
        true
    }

    /// Waits until an entry is committed; false when the time is up, or another entry stands in its place.
    pub(super) async fn committed(&self, group: GroupNumber, entry: EntryPosition, until: Instant) -> bool {
        let fate = || self.replica(group).borrow().entry_status(entry);
        self.reached(until, || fate() != EntryStatus::Pending).await && fate() == EntryStatus::Committed
    }

    /// Waits until an entry is on this disk; false when the time is up.
    pub(super) async fn synced(&self, group: GroupNumber, entry: EntryPosition, until: Instant) -> bool {
        self.reached(until, || self.replica(group).borrow().is_durable(entry)).await
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
                let Some(role) = self.role(&view, group) else { continue };
                self.lead_if_head(&role, group);
                let Some(peer) = role.successor.and_then(|successor| self.peer(&view, successor)) else {
                    continue;
                };
                let checked = self.checked.borrow().get(&group).copied();
                let care = self.replica(group).borrow().repair_urgency(&role, checked);
                if care == RepairUrgency::NotNeeded {
                    doubtful.remove(&group);
                    continue;
                }
                let since = *doubtful.entry(group).or_insert_with(Instant::now);
                if care == RepairUrgency::Immediate || since.elapsed() > REPAIR_PATIENCE {
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
        let mut repair = Repair::new(group, epoch);
        let theirs = match self.ask(peer, StoreRequest::Position { epoch, group }, POSITION_TIMEOUT).await {
            Some(StoreReply::Position(theirs)) => Some(theirs),
            _ => None,
        };
        let mut step = repair.on_position(&self.replica(group).borrow(), theirs);
        let until = Instant::now() + APPEND_TIMEOUT;
        loop {
            step = match step {
                RepairStep::Wait => match self.step_of_repair(&mut repair, until).await {
                    Some(step) => step,
                    None => return false,
                },
                RepairStep::Install(copy) => {
                    log::info!(
                        "group {}: a whole copy of {} bytes goes to {peer}",
                        group.0,
                        copy.state.len()
                    );
                    let install = StoreRequest::InstallCopy { epoch, group, copy };
                    let reply = self.ask(peer, install, INSTALL_TIMEOUT).await;
                    let role = self.role(&self.view(), group);
                    repair.on_installed(role.as_ref(), matches!(reply, Some(StoreReply::Installed)))
                }
                RepairStep::Append(batch) => {
                    let reached = !self.pass_on(peer, epoch, vec![batch]).await.is_empty();
                    repair.on_appended(reached)
                }
                RepairStep::Replicated(role, end) => {
                    self.replica(group).borrow_mut().mark_replicated(&role, end);
                    self.changed.notify_waiters();
                    return true;
                }
                RepairStep::Failed => return false,
            };
        }
    }

    /// Waits until an attempt goes on; none when the time is up.
    async fn step_of_repair(&self, repair: &mut Repair, until: Instant) -> Option<RepairStep> {
        loop {
            let changed = self.changed.notified();
            let role = self.role(&self.view(), repair.group);
            let step = repair.poll(&self.replica(repair.group).borrow(), role.as_ref());
            if step != RepairStep::Wait {
                return Some(step);
            }
            timeout_at(until, changed).await.ok()?;
        }
    }
}
