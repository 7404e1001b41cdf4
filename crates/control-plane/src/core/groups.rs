//! What the head of the core knows of a group of batch jobs, and giving one up.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{
    GiveUpError, GiveUpRecord, GiveUpRequest, GroupNumber, HolderStatus, LastHolder, Planner, StoreNumber,
    StoreView, MIN_SILENCE_BEFORE_GIVE_UP,
};
use fennelgauge_upstream::wall_clock;
use fennelgauge_wire::{GiveUpReply, GroupStatus, GroupStatusReply};

use super::orders::WriteError;
use super::Core;
use crate::placement::HEAD_PATIENCE;
use crate::state::{ControlState, StateChange};

/// Why an order to give a group up is not carried out now.
enum NotNow {
    Taken,
    Refused(GiveUpError),
}

impl Core {
    /// What is known of a group, at the head.
    pub(super) async fn group_here(self: &Rc<Self>, group: GroupNumber) -> GroupStatusReply {
        if !self.is_head() || !self.has_heard_the_stores() || !self.stands().await {
            return GroupStatusReply::Unavailable;
        }
        let Some(state) = self.committed_state() else { return GroupStatusReply::Unavailable };
        let view = &state.small.stores;
        let Some(held) = view.group(group) else { return GroupStatusReply::UnknownGroup };
        let node = |number: &StoreNumber| view.store(*number).map(|store| store.member.identity.node.clone());
        let names = |numbers: Vec<StoreNumber>| numbers.iter().filter_map(node).collect();
        GroupStatusReply::Found(GroupStatus {
            group: group.0,
            view: view.epoch,
            is_open: held.is_open(),
            holders: self.holders_seen(view, group),
            joining: names(held.joining.iter().map(|newcomer| newcomer.store).collect()),
            learner: held.learner.and_then(|learner| node(&learner.store)),
            given_up: state.small.given_up_of(group),
        })
    }

    /// Gives a group up, at the head.
    pub(super) async fn give_up_here(self: &Rc<Self>, order: &GiveUpRequest) -> GiveUpReply {
        if !self.is_head() || !self.has_heard_the_stores() {
            return GiveUpReply::Unavailable;
        }
        let heard = self.presence.fresh();
        let losses = self.settings.tolerate.tolerated_failures();
        let written = self
            .write(|state| {
                if state.small.has_given_up(order) {
                    return Err(NotNow::Taken);
                }
                let view = &state.small.stores;
                let seen = self.holders_seen(view, order.group);
                let planner = Planner::new(losses, &heard, false);
                let names = self.known_names(state, order.group);
                let next = planner.give_up(view, order, &seen, names, MIN_SILENCE_BEFORE_GIVE_UP);
                let next = next.map_err(NotNow::Refused)?;
                let at_ms = wall_clock().as_millis() as u64;
                let given_up = GiveUpRecord { order: order.clone(), recreated_in_epoch: next.epoch, at_ms };
                Ok(StateChange::GiveUp { given_up, stores: next })
            })
            .await;
        match written {
            Ok(Ok(())) => {
                log::error!("group {} is given up: {order:?}", order.group.0);
                GiveUpReply::Done
            }
            Ok(Err(NotNow::Taken)) => GiveUpReply::Done,
            Ok(Err(NotNow::Refused(reason))) if self.stands().await => GiveUpReply::Refused(reason),
            Ok(Err(NotNow::Refused(_))) | Err(WriteError::NotTaken) => GiveUpReply::Unavailable,
            Err(WriteError::Unknown) => GiveUpReply::OutcomeUnknown,
        }
    }

    /// Names of batch jobs of a group, as they were told here or are on record.
    fn known_names(&self, state: &ControlState, group: GroupNumber) -> Vec<String> {
        let mut names = self.presence.names(group);
        names.extend(state.small.names_of(group));
        names.into_iter().collect()
    }

    /// Whether this machine has been the head for long enough to have heard every store that is there.
    fn has_heard_the_stores(&self) -> bool {
        self.in_view_for() >= HEAD_PATIENCE || self.epoch() == 1
    }

    /// The holders of a group as they were heard here. One that was never heard here counts as silent for as long as this machine
    /// is in its view.
    fn holders_seen(&self, view: &StoreView, group: GroupNumber) -> Vec<HolderStatus> {
        let seen = |number: StoreNumber| {
            let identity = &view.store(number)?.member.identity;
            let last = self.presence.last_word(identity, group);
            let silent_for = match last.silent_for {
                Some(silent_for) if silent_for < crate::placement::LOST_AFTER => None,
                Some(silent_for) => Some(silent_for),
                None => Some(self.in_view_for()),
            };
            let holder = LastHolder { node: identity.node.clone(), entries: last.entries };
            Some(HolderStatus { holder, silent_for: silent_for.map(whole_seconds) })
        };
        view.recorded_holders(group).into_iter().filter_map(seen).collect()
    }
}

fn whole_seconds(time: Duration) -> Duration {
    Duration::from_secs(time.as_secs())
}
