//! Replication of entries along the chains of stores. The head makes entries; each store writes them to its disk before it
//! forwards them, and they are committed once the tail has them. The guarantees of each store in a chain are described
//! in `fennelgauge_replication`.

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

/// Time for which the head collects new entries, so that they are written and sent together.
const BATCHING_DELAY: Duration = Duration::from_millis(6);
/// Timeout of a call that appends entries, and of a repair's wait for its next step.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a query for a store's position in a group.
const POSITION_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a call that installs a copy of a group.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(8);
/// How often successors are checked.
const REPAIR_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which an uncommitted entry is left alone, because it is most likely still on its way.
const REPAIR_DELAY: Duration = Duration::from_millis(120);

impl Store {
    /// Makes an entry for a command as the head of a group in `view`, and returns its position.
    pub(super) fn append_command(
        &self,
        view: &StoreView,
        group: GroupNumber,
        command: Command,
    ) -> EntryPosition {
        let results = match &command {
            Command::RecordResults { results, .. } => results.len(),
            _ => 0,
        };
        self.entry_counters.record(results);
        let entry = self.replica(group).borrow_mut().create_entry(group, view.epoch, command);
        let position = entry.position;
        self.pending_entries.borrow_mut().push(entry);
        self.flush_requested.notify_one();
        self.group_changed.notify_waiters();
        position
    }

    /// Writes the entries made here to the disk and sends them to the successors, in batches. Never returns.
    pub(super) async fn flush_entries(self: Rc<Self>) {
        loop {
            self.flush_requested.notified().await;
            sleep(BATCHING_DELAY).await;
            let entries = std::mem::take(&mut *self.pending_entries.borrow_mut());
            if entries.is_empty() {
                continue;
            }
            let mut batches = self.batch_entries(entries);
            let records = batches.iter().flat_map(|batch| &batch.entries).cloned().map(Record::Entry);
            let synced = self.write_records(records.collect());
            let view = self.view();
            // Entries of a group that another store heads now are not sent: the new head's entries replace them.
            batches.retain(|batch| self.role(&view, batch.group).is_some_and(|role| role.is_head()));
            let store = self.clone();
            tokio::task::spawn_local(async move { store.replicate(view.epoch, batches, synced).await });
        }
    }

    /// Groups entries by their group, keeping their order. Leaves out entries that a copy has replaced since they were made.
    fn batch_entries(&self, entries: Vec<Entry>) -> Vec<EntryBatch> {
        let mut groups: BTreeMap<GroupNumber, Vec<Entry>> = BTreeMap::new();
        for entry in entries {
            groups.entry(entry.group).or_default().push(entry);
        }
        let batch =
            |(group, entries): (GroupNumber, _)| self.replica(group).borrow().batch_from(group, entries);
        groups.into_iter().filter_map(batch).collect()
    }

    /// Waits until entries are on this disk and forwards them. Returns the groups in which every later store of the chain
    /// has them.
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
        self.group_changed.notify_waiters();
        let view = self.view();
        if view.epoch != epoch {
            return Vec::new();
        }
        let mut replicated = Vec::new();
        let mut roles: BTreeMap<GroupNumber, Role> = BTreeMap::new();
        let mut outgoing: BTreeMap<SocketAddr, Vec<EntryBatch>> = BTreeMap::new();
        for batch in batches {
            let group = batch.group;
            let Some(role) = self.role(&view, group) else { continue };
            let next = self.replica(group).borrow().forward_target(&role, batch.end);
            match next {
                ForwardTarget::Blocked => continue,
                ForwardTarget::EndOfChain => replicated.push((group, batch.end)),
                ForwardTarget::Successor(successor) => {
                    let Some(peer) = self.store_address(&view, successor) else { continue };
                    outgoing.entry(peer).or_default().push(batch);
                }
            }
            roles.insert(group, role);
        }
        let calls = outgoing.into_iter().map(|(peer, batches)| self.forward(peer, epoch, batches));
        replicated.extend(join_all(calls).await.into_iter().flatten());
        for (group, end) in &replicated {
            if let Some(role) = roles.get(group) {
                self.replica(*group).borrow_mut().mark_replicated(role, *end);
            }
        }
        self.group_changed.notify_waiters();
        replicated.into_iter().map(|(group, _)| group).collect()
    }

    /// Sends entries to a successor, and returns the groups and ends of the batches that every later store has.
    async fn forward(
        &self,
        peer: SocketAddr,
        epoch: u64,
        batches: Vec<EntryBatch>,
    ) -> Vec<(GroupNumber, EntryPosition)> {
        let ends: Vec<(GroupNumber, EntryPosition)> =
            batches.iter().map(|batch| (batch.group, batch.end)).collect();
        match self.call_store(peer, StoreRequest::Append { epoch, batches }, APPEND_TIMEOUT).await {
            Some(StoreReply::Appended { replicated }) => {
                ends.into_iter().filter(|(group, _)| replicated.contains(group)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Calls another store; returns `None` if it does not answer in time.
    pub(super) async fn call_store(
        &self,
        peer: SocketAddr,
        request: StoreRequest,
        timeout: Duration,
    ) -> Option<StoreReply> {
        match self.caller.call(peer, Request::Store(request), timeout).await {
            Ok(Reply::Store(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Handles entries from the predecessors of their groups: writes and forwards them, and replies in which groups all
    /// later stores have them.
    pub(super) async fn append(self: &Rc<Self>, epoch: u64, batches: Vec<EntryBatch>) -> StoreReply {
        let Some(view) = self.wait_for_view(epoch).await else {
            return StoreReply::EpochMismatch(self.view().epoch);
        };
        let mut to_forward = Vec::new();
        let mut records = Vec::new();
        for batch in batches {
            let role = self.role(&view, batch.group);
            let followed = self.replica(batch.group).borrow_mut().append_as_link(role.as_ref(), &batch);
            records.extend(followed.appended.into_iter().map(Record::Entry));
            if followed.is_caught_up {
                to_forward.push(batch);
            }
        }
        let synced = self.write_records(records);
        self.group_changed.notify_waiters();
        StoreReply::Appended { replicated: self.replicate(epoch, to_forward, synced).await }
    }

    /// Replies with this store's position in a group, if the view with this epoch is its newest and has it in the chain.
    pub(super) async fn position_in_view(&self, epoch: u64, group: GroupNumber) -> StoreReply {
        let role = self.wait_for_view(epoch).await.and_then(|view| self.role(&view, group));
        let position = self.replica(group).borrow().position_in_role(role.as_ref());
        position.map_or_else(|| StoreReply::EpochMismatch(self.view().epoch), StoreReply::Position)
    }

    /// Replaces this store's replica of a group by a copy from its predecessor.
    pub(super) async fn install_copy(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        copy: &GroupSnapshot,
    ) -> StoreReply {
        let Some(view) = self.wait_for_view(epoch).await else {
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

    /// Returns a copy of a group once all of it is on this disk, or `None` if that takes too long.
    pub(super) async fn synced_copy(&self, group: GroupNumber, until: Instant) -> Option<GroupSnapshot> {
        let copy = self.replica(group).borrow().snapshot();
        self.wait_synced(group, copy.position, until).await.then_some(copy)
    }

    /// Writes an installed copy to the disk; returns true once it is synced. Returns false if the copy was not installed or
    /// the write failed. `before` is the replica's position before the copy.
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
                "group {number}: a copy up to {:?} lacks the entry at {shown:?}, which a reader was shown here: this is a fault of replication, report it with the logs of all stores",
                copy.position
            ),
            InstallResult::Installed { lost_read: None } => {
                log::info!("group {number}: replica changed from {before:?} to a copy up to {:?}", copy.position);
            }
            InstallResult::Corrupt | InstallResult::Outdated | InstallResult::NotInChain => {
                log::info!("group {number}: a copy up to {:?} is not installed: {installed:?}", copy.position);
                return false;
            }
        }
        if !self.write_records(vec![Record::Snapshot { group, copy: copy.clone() }]).await {
            return false;
        }
        self.replica(group).borrow_mut().mark_durable(copy.position);
        self.group_changed.notify_waiters();
        true
    }

    /// Waits until an entry is committed. Returns false if the time is up or the entry was replaced by another.
    pub(super) async fn wait_committed(
        &self,
        group: GroupNumber,
        entry: EntryPosition,
        until: Instant,
    ) -> bool {
        let fate = || self.replica(group).borrow().entry_status(entry);
        self.wait_until(until, || fate() != EntryStatus::Pending).await && fate() == EntryStatus::Committed
    }

    /// Waits until an entry is on this disk. Returns false if the time is up.
    pub(super) async fn wait_synced(&self, group: GroupNumber, entry: EntryPosition, until: Instant) -> bool {
        self.wait_until(until, || self.replica(group).borrow().is_durable(entry)).await
    }

    /// Waits until a condition that depends on the replicas holds. Returns false if it does not hold by `until`.
    pub(super) async fn wait_until(&self, until: Instant, condition: impl Fn() -> bool) -> bool {
        loop {
            let changed = self.group_changed.notified();
            if condition() {
                return true;
            }
            if timeout_at(until, changed).await.is_err() {
                return condition();
            }
        }
    }

    /// Sends successors the entries that they lack, and takes over groups as their head. Each successor is checked again in
    /// each view. Never returns.
    pub(super) async fn repair_successors(self: Rc<Self>) {
        let mut uncommitted_since: BTreeMap<GroupNumber, Instant> = BTreeMap::new();
        loop {
            let _ = timeout(REPAIR_INTERVAL, self.known.changed()).await;
            let view = self.view();
            let mut repairs = Vec::new();
            for group in GroupNumber::all() {
                let Some(role) = self.role(&view, group) else { continue };
                self.lead_if_head(&role, group);
                let Some(peer) = role.successor.and_then(|successor| self.store_address(&view, successor))
                else {
                    continue;
                };
                let checked = self.caught_up_successors.borrow().get(&group).copied();
                let care = self.replica(group).borrow().repair_urgency(&role, checked);
                if care == RepairUrgency::NotNeeded {
                    uncommitted_since.remove(&group);
                    continue;
                }
                let since = *uncommitted_since.entry(group).or_insert_with(Instant::now);
                if care == RepairUrgency::Immediate || since.elapsed() > REPAIR_DELAY {
                    repairs.push((group, peer));
                }
            }
            let repaired = repairs.into_iter().map(|(group, peer)| {
                let (store, epoch) = (self.clone(), view.epoch);
                async move { store.repair(epoch, group, peer).await.then_some(group) }
            });
            for group in join_all(repaired).await.into_iter().flatten() {
                self.caught_up_successors.borrow_mut().insert(group, view.epoch);
                uncommitted_since.remove(&group);
            }
        }
    }

    /// Brings a successor up to date in one group. Returns true once all later stores of the chain have what this store has.
    pub(super) async fn repair(self: &Rc<Self>, epoch: u64, group: GroupNumber, peer: SocketAddr) -> bool {
        let mut repair = Repair::new(group, epoch);
        let position =
            match self.call_store(peer, StoreRequest::Position { epoch, group }, POSITION_TIMEOUT).await {
                Some(StoreReply::Position(position)) => Some(position),
                _ => None,
            };
        let mut step = repair.on_position(&self.replica(group).borrow(), position);
        let until = Instant::now() + APPEND_TIMEOUT;
        loop {
            step = match step {
                RepairStep::Wait => match self.next_repair_step(&mut repair, until).await {
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
                    let reply = self.call_store(peer, install, INSTALL_TIMEOUT).await;
                    let role = self.role(&self.view(), group);
                    repair.on_installed(role.as_ref(), matches!(reply, Some(StoreReply::Installed)))
                }
                RepairStep::Append(batch) => {
                    let replicated = !self.forward(peer, epoch, vec![batch]).await.is_empty();
                    repair.on_appended(replicated)
                }
                RepairStep::Replicated(role, end) => {
                    self.replica(group).borrow_mut().mark_replicated(&role, end);
                    self.group_changed.notify_waiters();
                    return true;
                }
                RepairStep::Failed => return false,
            };
        }
    }

    /// Waits until a repair can go on; returns `None` if the time is up.
    async fn next_repair_step(&self, repair: &mut Repair, until: Instant) -> Option<RepairStep> {
        loop {
            let changed = self.group_changed.notified();
            let role = self.role(&self.view(), repair.group);
            let step = repair.poll(&self.replica(repair.group).borrow(), role.as_ref());
            if step != RepairStep::Wait {
                return Some(step);
            }
            timeout_at(until, changed).await.ok()?;
        }
    }
}
