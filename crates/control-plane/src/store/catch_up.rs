//! Keeps this store caught up in the chains that it belongs to: asks predecessors to send what is missing, confirms with
//! the other stores of a chain that the view is current, and reports the groups of which it has everything.

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

/// How often the groups are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which a store that is not caught up asks its predecessor. In a new view the predecessor checks its
/// successor of its own accord.
const RECHECK_DELAY: Duration = Duration::from_millis(300);
/// Timeout of that request.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(600);

impl Store {
    /// Asks predecessors to check the groups in which this store is not caught up, and finds out which joined groups it has
    /// whole. Never returns.
    pub(super) async fn request_catch_up(self: Rc<Self>) {
        let mut behind_since: BTreeMap<GroupNumber, Instant> = BTreeMap::new();
        loop {
            let _ = timeout(CHECK_INTERVAL, self.known.changed()).await;
            let view = self.view();
            let roles: Vec<(GroupNumber, Role)> =
                GroupNumber::all().filter_map(|group| Some((group, self.role(&view, group)?))).collect();
            let is_behind =
                |group: &GroupNumber, role: &Role| !self.replica(*group).borrow().is_caught_up(role);
            behind_since.retain(|group, _| roles.iter().any(|(of, role)| of == group && is_behind(of, role)));
            let mut requests: BTreeMap<SocketAddr, Vec<GroupNumber>> = BTreeMap::new();
            for (group, role) in &roles {
                let Some(predecessor) = role.predecessor.filter(|_| is_behind(group, role)) else { continue };
                let since = *behind_since.entry(*group).or_insert_with(Instant::now);
                let Some(peer) = self.store_address(&view, predecessor) else { continue };
                if since.elapsed() >= RECHECK_DELAY {
                    requests.entry(peer).or_default().push(*group);
                }
            }
            let checks = requests.into_iter().map(|(peer, groups)| {
                let check = StoreRequest::RecheckGroups { epoch: view.epoch, groups };
                self.call_store(peer, check, RECHECK_TIMEOUT)
            });
            join_all(checks).await;
            self.update_held_groups(&view, &roles).await;
        }
    }

    /// Finds out of which groups this store has everything as a joining member of the chain, for the next heartbeat.
    async fn update_held_groups(self: &Rc<Self>, view: &StoreView, roles: &[(GroupNumber, Role)]) {
        let joining = roles.iter().filter_map(|(group, role)| Some((*group, role.joining_since?)));
        self.held_groups.borrow_mut().retain(|group, epoch| {
            joining.clone().any(|(joined, since)| joined == *group && *epoch >= since)
        });
        let candidates: Vec<&(GroupNumber, Role)> = roles
            .iter()
            .filter(|(group, role)| {
                role.joining_since.is_some() && !self.held_groups.borrow().contains_key(group)
            })
            .filter(|(group, role)| self.replica(*group).borrow().is_caught_up(role))
            .collect();
        let confirmed = candidates.into_iter().map(|(group, role)| async move {
            self.confirm_up_to_date(view, *group, role).await.then_some(*group)
        });
        for group in join_all(confirmed).await.into_iter().flatten() {
            log::info!(
                "group {}: this store, joining the chain, has everything in view {}",
                group.0,
                view.epoch
            );
            self.held_groups.borrow_mut().insert(group, view.epoch);
            self.heartbeat_due.notify_one();
        }
    }

    /// Handles a successor's request: it is not caught up in some groups, so they are checked again.
    pub(super) fn recheck_groups(&self, epoch: u64, groups: &[GroupNumber]) -> StoreReply {
        if self.view().epoch != epoch {
            return StoreReply::EpochMismatch(self.view().epoch);
        }
        let mut caught_up = self.caught_up_successors.borrow_mut();
        for group in groups {
            caught_up.remove(group);
        }
        StoreReply::Acknowledged
    }

    /// Takes over a group if this store is its head. If the group was given up, replaces it by an empty one, writes that to
    /// the disk and stops the group's running items.
    pub(super) fn lead_if_head(self: &Rc<Self>, role: &Role, group: GroupNumber) {
        let recreated = self.replica(group).borrow_mut().become_head(group, role);
        let Some(copy) = recreated else { return };
        log::error!(
            "group {} was given up by an operator: it starts again empty, its batch jobs are lost",
            group.0
        );
        self.stop_group(group);
        let end = copy.position;
        let written = self.write_records(vec![Record::Snapshot { group, copy }]);
        let store = self.clone();
        tokio::task::spawn_local(async move {
            if written.await {
                store.replica(group).borrow_mut().mark_durable(end);
                store.group_changed.notify_waiters();
            }
        });
    }

    /// Asks stores of a chain for their positions in a view; each is returned with its answer, if it gave one.
    pub(super) async fn query_positions(
        &self,
        view: &StoreView,
        group: GroupNumber,
        links: &[StoreNumber],
    ) -> Vec<(StoreNumber, Option<EntryPosition>)> {
        let positions = links.iter().map(|link| async move {
            let request = StoreRequest::Position { epoch: view.epoch, group };
            match self.call_store(self.store_address(view, *link)?, request, CONFIRM_TIMEOUT).await {
                Some(StoreReply::Position(position)) => Some(position),
                _ => None,
            }
        });
        links.iter().copied().zip(join_all(positions).await).collect()
    }

    /// Asks all other stores of the chain whether the view is current, and waits until this store is caught up and has on
    /// its disk what the head had at that time. Returns false if that cannot be confirmed in time.
    pub(super) async fn confirm_up_to_date(
        self: &Rc<Self>,
        view: &StoreView,
        group: GroupNumber,
        role: &Role,
    ) -> bool {
        let until = Instant::now() + CONFIRM_TIMEOUT;
        self.lead_if_head(role, group);
        let mut confirmation = Confirmation::new(role);
        for (link, position) in self.query_positions(view, group, &role.others).await {
            confirmation.record_answer(link, position);
        }
        let status = || confirmation.status(&self.replica(group).borrow());
        self.wait_until(until, || status() != ConfirmationStatus::Pending).await;
        status() == ConfirmationStatus::Confirmed
    }
}
