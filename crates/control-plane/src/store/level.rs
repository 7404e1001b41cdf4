//! Whether a link stands where the chain stands: it asks its predecessor to look after it where it does not, asks all other
//! links whether the view still stands, and tells once it has everything.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{GroupNumber, StoreNumber, StoreView};
use fennelgauge_replication::{Confirmation, ConfirmationStatus, EntryPosition, Role, CONFIRM_TIMEOUT};
use fennelgauge_wire::{StoreReply, StoreRequest};
use futures_util::future::join_all;
use tokio::time::{timeout, Instant};

use super::journal::Record;
use super::Store;

const LOOK_EVERY: Duration = Duration::from_millis(150);
/// In a new view the predecessor looks after its successor of itself.
const ASK_AFTER: Duration = Duration::from_millis(300);
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

impl Store {
    /// Keeps this store level in the groups of which it is a link, without end.
    pub(super) async fn keep_level(self: Rc<Self>) {
        let mut behind_since: BTreeMap<GroupNumber, Instant> = BTreeMap::new();
        loop {
            let _ = timeout(LOOK_EVERY, self.known.changed()).await;
            let view = self.view();
            let roles: Vec<(GroupNumber, Role)> =
                GroupNumber::all().filter_map(|group| Some((group, self.role(&view, group)?))).collect();
            let is_behind =
                |group: &GroupNumber, role: &Role| !self.replica(*group).borrow().is_caught_up(role);
            behind_since.retain(|group, _| roles.iter().any(|(of, role)| of == group && is_behind(of, role)));
            let mut asked: BTreeMap<SocketAddr, Vec<GroupNumber>> = BTreeMap::new();
            for (group, role) in &roles {
                let Some(predecessor) = role.predecessor.filter(|_| is_behind(group, role)) else { continue };
                let since = *behind_since.entry(*group).or_insert_with(Instant::now);
                let Some(peer) = self.peer(&view, predecessor) else { continue };
                if since.elapsed() >= ASK_AFTER {
                    asked.entry(peer).or_default().push(*group);
                }
            }
            let checks = asked.into_iter().map(|(peer, groups)| {
                let check = StoreRequest::RecheckGroups { epoch: view.epoch, groups };
                self.ask(peer, check, ASK_TIMEOUT)
            });
            join_all(checks).await;
            self.tell_what_it_holds(&view, &roles).await;
        }
    }

    /// Finds out of which groups this store, as a joining link, has everything.
    async fn tell_what_it_holds(self: &Rc<Self>, view: &StoreView, roles: &[(GroupNumber, Role)]) {
        let joining = roles.iter().filter_map(|(group, role)| Some((*group, role.joining_since?)));
        self.holds.borrow_mut().retain(|group, epoch| {
            joining.clone().any(|(joined, since)| joined == *group && *epoch >= since)
        });
        let untold: Vec<&(GroupNumber, Role)> = roles
            .iter()
            .filter(|(group, role)| role.joining_since.is_some() && !self.holds.borrow().contains_key(group))
            .filter(|(group, role)| self.replica(*group).borrow().is_caught_up(role))
            .collect();
        let confirmed = untold
            .into_iter()
            .map(|(group, role)| async move { self.is_certain(view, *group, role).await.then_some(*group) });
        for group in join_all(confirmed).await.into_iter().flatten() {
            log::info!("group {}: has everything in view {}", group.0, view.epoch);
            self.holds.borrow_mut().insert(group, view.epoch);
            self.heartbeat_due.notify_one();
        }
    }

    /// A successor is not level in some groups: it is looked after.
    pub(super) fn check_again(&self, epoch: u64, groups: &[GroupNumber]) -> StoreReply {
        if self.view().epoch != epoch {
            return StoreReply::EpochMismatch(self.view().epoch);
        }
        let mut checked = self.checked.borrow_mut();
        for group in groups {
            checked.remove(group);
        }
        StoreReply::Acknowledged
    }

    /// A head stands where its chain stands; a group that was given up it begins anew.
    pub(super) fn lead_if_head(self: &Rc<Self>, role: &Role, group: GroupNumber) {
        let begun = self.replica(group).borrow_mut().become_head(group, role);
        let Some(copy) = begun else { return };
        log::error!("group {} was given up: it is begun anew without the batch jobs that it held", group.0);
        self.stop_group(group);
        let end = copy.position;
        let written = self.journal_records(vec![Record::Snapshot { group, copy }]);
        let store = self.clone();
        tokio::task::spawn_local(async move {
            if written.await {
                store.replica(group).borrow_mut().mark_durable(end);
                store.changed.notify_waiters();
            }
        });
    }

    /// Asks all other links how far they are in a view: each with its answer.
    pub(super) async fn ask_positions(
        &self,
        view: &StoreView,
        group: GroupNumber,
        links: &[StoreNumber],
    ) -> Vec<(StoreNumber, Option<EntryPosition>)> {
        let asked = links.iter().map(|link| async move {
            let request = StoreRequest::Position { epoch: view.epoch, group };
            match self.ask(self.peer(view, *link)?, request, CONFIRM_TIMEOUT).await {
                Some(StoreReply::Position(position)) => Some(position),
                _ => None,
            }
        });
        links.iter().copied().zip(join_all(asked).await).collect()
    }

    /// Asks all other links whether the view still stands, and waits until this store is level and has on its disk what the
    /// head had then.
    pub(super) async fn is_certain(
        self: &Rc<Self>,
        view: &StoreView,
        group: GroupNumber,
        role: &Role,
    ) -> bool {
        let until = Instant::now() + CONFIRM_TIMEOUT;
        self.lead_if_head(role, group);
        let mut confirmation = Confirmation::new(role);
        for (link, position) in self.ask_positions(view, group, &role.others).await {
            confirmation.record_answer(link, position);
        }
        let outcome = || confirmation.status(&self.replica(group).borrow());
        self.reached(until, || outcome() != ConfirmationStatus::Pending).await;
        outcome() == ConfirmationStatus::Confirmed
    }
}
