//! Requests to a core member: changes, which the head makes, and reads of the configuration, which the tail answers.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{Progress, QuorumCheck};
use fennelgauge_wire::{
    ChangeReply, ConfigurationBytes, ConfigurationChange, CoreReply, CoreRequest, RetireReply,
};
use tokio::time::{timeout_at, Instant};

use super::Core;
use crate::state::{ControlState, Decision, Retirement, StateChange};

/// Longest time that a change waits for the changes before it.
const WRITE_LOCK_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time from the start of a change until the whole chain has it.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest time that a majority may take to confirm the view.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(900);

/// Why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    /// The change was certainly not made: this member is not the head, or an earlier change takes too long.
    #[error("this machine takes no writes now: ask again")]
    NotAccepted,
    /// The change may or may not be committed.
    #[error("the change may have been made: ask again with the same content")]
    OutcomeUnknown,
}

/// An answer that was decided instead of a change. Unless the state that it was decided on is certainly the newest, it
/// may be given only once a majority has confirmed the view of the decision.
pub struct Declined<A> {
    /// The answer.
    pub answer: A,
    /// Check of the view, begun together with the decision.
    check: QuorumCheck,
}

/// What a head decides on: the newest state, all of which is committed, and its view.
pub struct HeadState<'a> {
    /// The newest state.
    pub state: &'a ControlState,
    /// Epoch of the view.
    pub epoch: u64,
    /// Time for which this member has been in the view.
    pub time_in_view: Duration,
}

impl Core {
    /// Answers a request from another process or from the operator's API.
    pub async fn answer(self: &Rc<Self>, request: CoreRequest) -> CoreReply {
        match request {
            CoreRequest::ChangeConfiguration(change) => {
                CoreReply::ChangeConfiguration(self.change_configuration(&change).await)
            }
            CoreRequest::ReadConfiguration => CoreReply::Configuration(self.read_configuration().await),
            CoreRequest::RetireStart { node } => CoreReply::Retire(self.start_retirement(&node).await),
            CoreRequest::RetireStatus { node } => CoreReply::Retire(self.retirement_status(&node).await),
            CoreRequest::GroupStatus(group) => CoreReply::GroupStatus(self.group_status(group).await),
            CoreRequest::GiveUp(change) => CoreReply::GiveUp(self.give_up_group(&change).await),
        }
    }

    /// Changes the control state, if this member is the head. `change` is given the newest state, all of which is
    /// committed, and returns either the change or an answer of its own that ends the call without one.
    ///
    /// # Errors
    /// If the change was not made, or its outcome is unknown.
    pub async fn write<A>(
        self: &Rc<Self>,
        change: impl FnOnce(&ControlState) -> Result<StateChange, A>,
    ) -> Result<Result<(), Declined<A>>, WriteError> {
        self.write_as_head(|head| change(head.state)).await
    }

    /// Like [`Core::write`], for changes that also depend on the view in which they are made.
    ///
    /// # Errors
    /// If the change was not made, or its outcome is unknown.
    pub(super) async fn write_as_head<A>(
        self: &Rc<Self>,
        change: impl FnOnce(&HeadState) -> Result<StateChange, A>,
    ) -> Result<Result<(), Declined<A>>, WriteError> {
        let until = Instant::now() + WRITE_LOCK_TIMEOUT;
        let guard = timeout_at(until, self.write_lock.lock()).await;
        let _guard = guard.map_err(|_| WriteError::NotAccepted)?;
        let ready =
            self.wait_for_progress(until, |coordinator| match coordinator.replica().check_writable() {
                Ok(()) => Progress::Done,
                Err(_) if coordinator.replica().is_head() => Progress::Pending,
                Err(_) => Progress::Superseded,
            });
        if ready.await != Progress::Done {
            return Err(WriteError::NotAccepted);
        }
        let started = self.run_step(|coordinator, now| {
            let replica = coordinator.replica();
            if replica.check_writable().is_err() {
                return (Err(WriteError::NotAccepted), Default::default());
            }
            let head = HeadState {
                state: replica.value(),
                epoch: replica.view().epoch,
                time_in_view: now.saturating_sub(coordinator.view_installed_at()),
            };
            match change(&head) {
                Err(answer) => {
                    let (check, effects) = coordinator.start_quorum_check(now);
                    (Ok(Err(Declined { answer, check })), effects)
                }
                Ok(change) => match coordinator.write(now, change.encode_for_chain()) {
                    Ok((version, outcome)) => (Ok(Ok(version)), outcome),
                    Err(reason) => {
                        log::warn!("change of the control state not made: {reason}");
                        (Err(WriteError::NotAccepted), Default::default())
                    }
                },
            }
        });
        let version = match started.await? {
            Ok(version) => version,
            Err(declined) => return Ok(Err(declined)),
        };
        let until = Instant::now() + COMMIT_TIMEOUT;
        match self.wait_for_progress(until, |coordinator| coordinator.write_progress(version)).await {
            Progress::Done => Ok(Ok(())),
            Progress::Pending | Progress::Superseded => Err(WriteError::OutcomeUnknown),
        }
    }

    /// Returns true if a majority confirms this member's view now.
    async fn is_view_current(self: &Rc<Self>) -> bool {
        self.confirm_view(Instant::now() + CONFIRM_TIMEOUT).await
    }

    /// Returns true if this member is the head and a majority confirms its view. Then its committed state is the newest.
    pub(super) async fn is_current_head(self: &Rc<Self>) -> bool {
        let started = self.run_step(|coordinator, now| match coordinator.replica().is_head() {
            true => {
                let (check, effects) = coordinator.start_quorum_check(now);
                (Some(check), effects)
            }
            false => (None, Default::default()),
        });
        match started.await {
            Some(check) => self.is_confirmed_by_majority(check).await,
            None => false,
        }
    }

    /// Returns the answer of a declined change if a majority confirms the view in which it was decided, else `None`: a head
    /// that was replaced may have decided on an old state.
    pub(super) async fn confirmed_answer<A>(&self, declined: Declined<A>) -> Option<A> {
        self.is_confirmed_by_majority(declined.check).await.then_some(declined.answer)
    }

    /// Waits for a quorum check; returns true if it succeeds in time, without a change of view in between.
    async fn is_confirmed_by_majority(&self, check: QuorumCheck) -> bool {
        let until = Instant::now() + CONFIRM_TIMEOUT;
        self.wait_for_progress(until, |coordinator| coordinator.quorum_check_progress(check)).await
            == Progress::Done
    }

    /// Applies a configuration change, if this member is the head.
    pub(super) async fn change_configuration(self: &Rc<Self>, change: &ConfigurationChange) -> ChangeReply {
        let written = self
            .write(|state| match state.decide(change) {
                Decision::New(_) => Ok(StateChange::Configure(change.clone())),
                Decision::AlreadyApplied => Err(ChangeReply::Acknowledged),
                Decision::Undetermined => Err(ChangeReply::Unavailable),
                Decision::Conflict { current } => Err(ChangeReply::Conflict { current_generation: current }),
                Decision::Invalid(reason) => Err(ChangeReply::Invalid(reason)),
            })
            .await;
        match written {
            Ok(Ok(())) => ChangeReply::Acknowledged,
            // A remembered change is committed, so no later view can lose it.
            Ok(Err(Declined { answer: ChangeReply::Acknowledged, .. })) => ChangeReply::Acknowledged,
            Ok(Err(declined)) => self.confirmed_answer(declined).await.unwrap_or(ChangeReply::Unavailable),
            Err(WriteError::NotAccepted) => ChangeReply::Unavailable,
            Err(WriteError::OutcomeUnknown) => ChangeReply::OutcomeUnknown,
        }
    }

    /// Returns the newest committed configuration, if this member is the tail.
    pub(super) async fn read_configuration(self: &Rc<Self>) -> Option<ConfigurationBytes> {
        if !self.is_view_current().await {
            return None;
        }
        let coordinator = self.coordinator.borrow();
        let state = coordinator.readable_value().filter(|state| state.generation() > 0)?;
        Some(ConfigurationBytes(state.configuration.json().to_vec()))
    }

    /// Begins the retirement of a store, if this member is the head.
    pub(super) async fn start_retirement(self: &Rc<Self>, node: &str) -> RetireReply {
        let min_stores = self.settings.tolerate.tolerated_failures() + 1;
        let written = self.write(|state| retirement_change(state, node, min_stores)).await;
        match written {
            Ok(Ok(())) => RetireReply::Running,
            Ok(Err(declined)) => self.confirmed_answer(declined).await.unwrap_or(RetireReply::Unavailable),
            Err(_) => RetireReply::Unavailable,
        }
    }

    /// Returns the progress of a store's retirement, if this member is the head.
    pub(super) async fn retirement_status(self: &Rc<Self>, node: &str) -> RetireReply {
        if !self.is_current_head().await {
            return RetireReply::Unavailable;
        }
        let Some(state) = self.committed_state() else { return RetireReply::Unavailable };
        match state.metadata.retirements.get(node) {
            Some(Retirement::Running) => RetireReply::Running,
            Some(Retirement::Succeeded) => RetireReply::Succeeded,
            None => RetireReply::UnknownNode,
        }
    }
}

/// Returns the change that begins a retirement, or the reply if it runs already, the store is unknown or too few stores
/// would be left.
fn retirement_change(
    state: &ControlState,
    node: &str,
    min_stores: usize,
) -> Result<StateChange, RetireReply> {
    if state.metadata.retirements.contains_key(node) {
        return Err(RetireReply::Running);
    }
    let stores = &state.metadata.stores.stores;
    if !stores.iter().any(|store| store.member.identity.node == node) {
        return Err(RetireReply::UnknownNode);
    }
    if stores.iter().filter(|store| !store.retiring).count() <= min_stores {
        return Err(RetireReply::TooFewStores);
    }
    Ok(StateChange::Retire { node: node.to_owned() })
}
