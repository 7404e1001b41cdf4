//! Copies groups to this store as a learner, before the store joins their chains, and serves such copies to learners.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::{CatchUp, EntryPosition};
use fennelgauge_wire::{StoreReply, StoreRequest};
use futures_util::future::join_all;
use tokio::time::{timeout, Instant};

use super::journal::Record;
use super::Store;

/// How often the groups to learn are looked for.
const LEARN_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request for entries or a copy.
const FETCH_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest wait until what a learner gets is on this disk.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of groups that are copied at a time.
const MAX_CONCURRENT_GROUPS: usize = 3;

impl Store {
    /// Copies the groups of which this store is the learner, and keeps the copies up to date. Never returns.
    pub(super) async fn learn_groups(self: Rc<Self>) {
        loop {
            let _ = timeout(LEARN_INTERVAL, self.known.changed()).await;
            let view = self.view();
            let own_number = self.own_number(&view);
            let learns = |group: &GroupNumber| {
                let learner = view.group(*group).and_then(|held| held.learner);
                own_number.is_some() && learner.map(|learner| learner.store) == own_number
            };
            self.learned_groups.borrow_mut().retain(|group, _| learns(group));
            let groups: Vec<GroupNumber> = GroupNumber::all().filter(learns).collect();
            for groups in groups.chunks(MAX_CONCURRENT_GROUPS) {
                let copied = groups.iter().map(|group| async {
                    let head = view.head(*group)?.member.peer;
                    self.learn_group(view.epoch, *group, head).await.then_some(*group)
                });
                for group in join_all(copied).await.into_iter().flatten() {
                    let before = self.learned_groups.borrow_mut().insert(group, view.epoch);
                    if before.is_none() {
                        self.heartbeat_due.notify_one();
                    }
                }
            }
        }
    }

    /// Gets entries or a copy of a group from its head. Returns true once little is missing here.
    pub(super) async fn learn_group(&self, epoch: u64, group: GroupNumber, head: SocketAddr) -> bool {
        let after = self.replica(group).borrow().position();
        match self.call_store(head, StoreRequest::FetchEntries { epoch, group, after }, FETCH_TIMEOUT).await {
            Some(StoreReply::Entries(batch)) => {
                let missing_count = batch.entries.len();
                let taken = self.replica(group).borrow_mut().append_as_learner(epoch, &batch);
                if !taken.is_empty()
                    && !self.write_records(taken.into_iter().map(Record::Entry).collect()).await
                {
                    return false;
                }
                let mut replica = self.replica(group).borrow_mut();
                replica.mark_durable(batch.end);
                replica.may_report_copied(batch.end, missing_count)
            }
            Some(StoreReply::Snapshot(copy)) => {
                let installed = self.replica(group).borrow_mut().install_snapshot_as_learner(epoch, &copy);
                self.write_installed(group, after, installed, &copy).await;
                false
            }
            _ => false,
        }
    }

    /// Handles a learner's request: replies with the entries after a position, or with a copy of the whole group if the
    /// learner lacks too much.
    pub(super) async fn fetch_entries(
        &self,
        epoch: u64,
        group: GroupNumber,
        after: EntryPosition,
    ) -> StoreReply {
        let view = self.wait_for_view(epoch).await;
        let role = view.and_then(|view| self.role(&view, group));
        let until = Instant::now() + SYNC_TIMEOUT;
        let missing = self.replica(group).borrow().catch_up_for_learner(role.as_ref(), group, after);
        let Some(missing) = missing else { return StoreReply::EpochMismatch(self.view().epoch) };
        match missing {
            CatchUp::Entries(batch) => match self.wait_synced(group, batch.end, until).await {
                true => StoreReply::Entries(batch),
                false => StoreReply::Undetermined,
            },
            CatchUp::Snapshot => match self.synced_copy(group, until).await {
                Some(copy) => StoreReply::Snapshot(copy),
                None => StoreReply::Undetermined,
            },
        }
    }
}
