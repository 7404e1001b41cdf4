//! The head's answers about a group of batch jobs, and giving up a group.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{
    GiveUpError, GiveUpRecord, GiveUpRequest, GroupNumber, HolderStatus, LastHolder, Planner, StoreNumber,
    StoreView, MIN_SILENCE_BEFORE_GIVE_UP,
};
use fennelgauge_upstream::wall_clock;
use fennelgauge_wire::{GiveUpReply, GroupStatus, GroupStatusReply};

use super::requests::{Declined, WriteError};
use super::Core;
use crate::placement::NEW_HEAD_HEARTBEAT_WAIT;
use crate::state::{ControlState, StateChange};

/// Why an order to give up a group leads to no change.
enum GiveUpRejection {
    /// This member is the head for too short a time to know which stores are silent.
    TooEarly,
    /// The same order was carried out before.
    AlreadyDone,
    /// The order does not fit the state of the group.
    Refused(GiveUpError),
}

impl Core {
    /// Returns the state of a group, if this member is the head and its view is current.
    pub(super) async fn group_status(self: &Rc<Self>, group: GroupNumber) -> GroupStatusReply {
        if !self.has_heard_from_stores() || !self.is_current_head().await {
            return GroupStatusReply::Unavailable;
        }
        let Some(state) = self.committed_state() else { return GroupStatusReply::Unavailable };
        let view = &state.metadata.stores;
        let Some(held) = view.group(group) else { return GroupStatusReply::UnknownGroup };
        let node = |number: &StoreNumber| view.store(*number).map(|store| store.member.identity.node.clone());
        let names = |numbers: Vec<StoreNumber>| numbers.iter().filter_map(node).collect();
        GroupStatusReply::Found(GroupStatus {
            group: group.0,
            view: view.epoch,
            is_open: held.is_open(),
            holders: self.holder_states(view, group, self.time_in_view()),
            joining: names(held.joining.iter().map(|newcomer| newcomer.store).collect()),
            learner: held.learner.and_then(|learner| node(&learner.store)),
            given_up: state.metadata.given_up_records(group),
        })
    }

    /// Gives up a group as an operator ordered, if this member is the head.
    pub(super) async fn give_up_group(self: &Rc<Self>, order: &GiveUpRequest) -> GiveUpReply {
        if !self.is_head() || !self.has_heard_from_stores() {
            return GiveUpReply::Unavailable;
        }
        let live_stores = self.heartbeats.live_stores();
        let tolerated_failures = self.settings.tolerate.tolerated_failures();
        let written = self
            .write_as_head(|head| {
                let state = head.state;
                if !has_heard_from_stores(head.time_in_view, head.epoch) {
                    return Err(GiveUpRejection::TooEarly);
                }
                if state.metadata.has_given_up(order) {
                    return Err(GiveUpRejection::AlreadyDone);
                }
                let view = &state.metadata.stores;
                let seen = self.holder_states(view, order.group, head.time_in_view);
                let planner = Planner::new(tolerated_failures, &live_stores, false);
                let job_ids = self.known_job_ids(state, order.group);
                let next = planner.give_up(view, order, &seen, job_ids, MIN_SILENCE_BEFORE_GIVE_UP);
                let next = next.map_err(GiveUpRejection::Refused)?;
                let at_ms = wall_clock().as_millis() as u64;
                let given_up = GiveUpRecord { order: order.clone(), recreated_in_epoch: next.epoch, at_ms };
                Ok(StateChange::GiveUp { given_up, stores: next })
            })
            .await;
        match written {
            Ok(Ok(())) => {
                log::error!(
                    "group {} is given up by an operator's order, its batch jobs are lost: {order:?}",
                    order.group.0
                );
                GiveUpReply::Done
            }
            Ok(Err(Declined { answer: GiveUpRejection::AlreadyDone, .. })) => GiveUpReply::Done,
            Ok(Err(declined)) => match self.confirmed_answer(declined).await {
                Some(GiveUpRejection::Refused(reason)) => GiveUpReply::Refused(reason),
                Some(GiveUpRejection::AlreadyDone | GiveUpRejection::TooEarly) | None => {
                    GiveUpReply::Unavailable
                }
            },
            Err(WriteError::NotAccepted) => GiveUpReply::Unavailable,
            Err(WriteError::OutcomeUnknown) => GiveUpReply::OutcomeUnknown,
        }
    }

    /// Returns the known ids of a group's batch jobs: those that stores reported here and those on record.
    fn known_job_ids(&self, state: &ControlState, group: GroupNumber) -> Vec<String> {
        let mut job_ids = self.heartbeats.job_ids(group);
        job_ids.extend(state.metadata.lost_jobs_of(group));
        job_ids.into_iter().collect()
    }

    /// Returns true if this member has been the head for long enough to have a heartbeat from every live store. The first
    /// view of the core needs no wait.
    fn has_heard_from_stores(&self) -> bool {
        has_heard_from_stores(self.time_in_view(), self.epoch())
    }

    /// Returns the holders of a group with how long each has been silent. A store without a heartbeat here counts as
    /// silent for as long as this member has been in its view, `time_in_view`.
    fn holder_states(
        &self,
        view: &StoreView,
        group: GroupNumber,
        time_in_view: Duration,
    ) -> Vec<HolderStatus> {
        let seen = |number: StoreNumber| {
            let identity = &view.store(number)?.member.identity;
            let report = self.heartbeats.last_report(identity, group);
            let silent_for = match report.silent_for {
                Some(silent_for) if silent_for < crate::placement::STORE_LIVENESS_TIMEOUT => None,
                Some(silent_for) => Some(silent_for),
                None => Some(time_in_view),
            };
            let holder = LastHolder { node: identity.node.clone(), entries: report.entries };
            Some(HolderStatus { holder, silent_for: silent_for.map(whole_seconds) })
        };
        view.recorded_holders(group).into_iter().filter_map(seen).collect()
    }
}

/// Returns true if a head that has been in the view of this epoch for `time_in_view` has a heartbeat from every live store.
fn has_heard_from_stores(time_in_view: Duration, epoch: u64) -> bool {
    time_in_view >= NEW_HEAD_HEARTBEAT_WAIT || epoch == 1
}

/// Rounds a duration down to whole seconds.
fn whole_seconds(time: Duration) -> Duration {
    Duration::from_secs(time.as_secs())
}
