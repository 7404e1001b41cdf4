//! Copies groups that this store is to hold, before it is counted as one that holds them; tells the head of the core
//! that it is there.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::GroupNumber;
use fennelgauge_wire::{EntryPosition, Request, StorePresence, StoreReply, StoreRequest};
use tokio::time::{sleep, timeout, Instant};

use super::group::Offer;
use super::journal::Record;
use super::Store;

const PRESENCE_EVERY: Duration = Duration::from_millis(250);
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(600);
const LEARN_EVERY: Duration = Duration::from_millis(250);
const FETCH_TIMEOUT: Duration = Duration::from_secs(6);
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// A learner that lacked so few entries at its last look is level: its predecessor sends the rest.
const LEVEL_WITHIN: usize = 24;

impl Store {
    /// Tells the head of the core that this store is there, without end.
    pub(super) async fn tell_presence(self: Rc<Self>) {
        loop {
            sleep(PRESENCE_EVERY).await;
            // Who cannot write is no use in a chain: it keeps silent, and the others go on without it.
            if self.disk_health.is_in_trouble() {
                continue;
            }
            let Some(view) = self.known.view() else { continue };
            let Some(head) = view.head() else { continue };
            let level = self.level.borrow().iter().copied().collect();
            let told = Request::StorePresence(StorePresence { member: self.me.clone(), level });
            if let Err(reason) = self.caller.call(head.peer, told, PRESENCE_TIMEOUT).await {
                log::info!("presence is told again: {reason}");
            }
        }
    }

    /// Copies the groups that this store learns, without end.
    pub(super) async fn learn(self: Rc<Self>) {
        loop {
            let _ = timeout(LEARN_EVERY, self.known.changed()).await;
            let view = self.view();
            let own = self.number(&view);
            let learns = |group: &GroupNumber| {
                own.is_some() && view.group(*group).is_some_and(|held| held.learner == own)
            };
            self.level.borrow_mut().retain(|group| learns(group));
            for group in GroupNumber::all().filter(learns) {
                let Some(head) = view.head(group) else { continue };
                if self.learn_group(view.epoch, group, head.member.peer).await {
                    self.level.borrow_mut().insert(group);
                }
            }
        }
    }

    /// One step towards the head's state of a group; true once level.
    pub(super) async fn learn_group(
        &self,
        epoch: u64,
        group: GroupNumber,
        head: std::net::SocketAddr,
    ) -> bool {
        let after = self.held(group).borrow().position();
        match self.ask(head, StoreRequest::Fetch { epoch, group, after }, FETCH_TIMEOUT).await {
            Some(StoreReply::Entries(entries)) => {
                let lacked = entries.len();
                let mut records = Vec::new();
                for entry in entries {
                    match self.held(group).borrow_mut().offer(&entry) {
                        Offer::Taken => records.push(Record::Entry(entry)),
                        Offer::Had => {}
                        Offer::Gap | Offer::Conflict => return false,
                    }
                }
                let position = self.held(group).borrow().position();
                if !records.is_empty() && !self.journal_records(records).await {
                    return false;
                }
                let mut held = self.held(group).borrow_mut();
                held.synced = held.synced.max(position.sequence);
                lacked <= LEVEL_WITHIN
            }
            Some(StoreReply::Copy(copy)) => {
                self.install_copy(group, &copy).await;
                false
            }
            _ => false,
        }
    }

    /// What follows a place, for a learner.
    pub(super) async fn fetch(&self, epoch: u64, group: GroupNumber, after: EntryPosition) -> StoreReply {
        match self.view_of(epoch).await {
            Some(view) if self.is_head(&view, group) => {}
            _ => return StoreReply::OtherEpoch(self.view().epoch),
        }
        let until = Instant::now() + COPY_TIMEOUT;
        let entries = self.held(group).borrow().after(after);
        let Some(entries) = entries else {
            return match self.copy_on_disk(group, until).await {
                Some(copy) => StoreReply::Copy(copy),
                None => StoreReply::Unsure,
            };
        };
        if let Some(last) = entries.last() {
            if !self.synced(group, last.position, until).await {
                return StoreReply::Unsure;
            }
        }
        StoreReply::Entries(entries)
    }
}
