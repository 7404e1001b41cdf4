//! Copies groups that this store is to hold, before it joins their chains.

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

const LEARN_EVERY: Duration = Duration::from_millis(250);
const FETCH_TIMEOUT: Duration = Duration::from_secs(6);
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Groups that are copied at a time.
const AT_ONCE: usize = 3;

impl Store {
    /// Copies the groups that this store learns, without end.
    pub(super) async fn learn(self: Rc<Self>) {
        loop {
            let _ = timeout(LEARN_EVERY, self.known.changed()).await;
            let view = self.view();
            let own = self.number(&view);
            let learns = |group: &GroupNumber| {
                let learner = view.group(*group).and_then(|held| held.learner);
                own.is_some() && learner.map(|learner| learner.store) == own
            };
            self.copied.borrow_mut().retain(|group, _| learns(group));
            let groups: Vec<GroupNumber> = GroupNumber::all().filter(learns).collect();
            for groups in groups.chunks(AT_ONCE) {
                let copied = groups.iter().map(|group| async {
                    let head = view.head(*group)?.member.peer;
                    self.learn_group(view.epoch, *group, head).await.then_some(*group)
                });
                for group in join_all(copied).await.into_iter().flatten() {
                    let before = self.copied.borrow_mut().insert(group, view.epoch);
                    if before.is_none() {
                        self.heartbeat_due.notify_one();
                    }
                }
            }
        }
    }

    /// One step towards the head's state of a group; true once little is missing.
    pub(super) async fn learn_group(&self, epoch: u64, group: GroupNumber, head: SocketAddr) -> bool {
        let after = self.replica(group).borrow().position();
        match self.ask(head, StoreRequest::FetchEntries { epoch, group, after }, FETCH_TIMEOUT).await {
            Some(StoreReply::Entries(batch)) => {
                let lacked = batch.entries.len();
                let taken = self.replica(group).borrow_mut().append_as_learner(epoch, &batch);
                if !taken.is_empty()
                    && !self.journal_records(taken.into_iter().map(Record::Entry).collect()).await
                {
                    return false;
                }
                let mut replica = self.replica(group).borrow_mut();
                replica.mark_durable(batch.end);
                replica.may_report_copied(batch.end, lacked)
            }
            Some(StoreReply::Copy(copy)) => {
                let installed = self.replica(group).borrow_mut().install_snapshot(epoch, &copy);
                self.write_installed(group, after, installed, &copy).await;
                false
            }
            _ => false,
        }
    }

    /// What follows a place, for a learner.
    pub(super) async fn fetch(&self, epoch: u64, group: GroupNumber, after: EntryPosition) -> StoreReply {
        let view = self.view_of(epoch).await;
        let role = view.and_then(|view| self.role(&view, group));
        let until = Instant::now() + COPY_TIMEOUT;
        let missing = self.replica(group).borrow().catch_up_for_learner(role.as_ref(), group, after);
        let Some(missing) = missing else { return StoreReply::EpochMismatch(self.view().epoch) };
        match missing {
            CatchUp::Entries(batch) => match self.synced(group, batch.end, until).await {
                true => StoreReply::Entries(batch),
                false => StoreReply::Undetermined,
            },
            CatchUp::Snapshot => match self.copy_on_disk(group, until).await {
                Some(copy) => StoreReply::Copy(copy),
                None => StoreReply::Undetermined,
            },
        }
    }
}
