//! Changes as the head, reads as the tail, and what operators ask.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::Progress;
use fennelgauge_wire::{
    ChangeReply, ConfigurationBytes, ConfigurationChange, CoreReply, CoreRequest, RetireReply,
};
use tokio::time::{timeout_at, Instant};

use super::Core;
use crate::state::{ControlState, Decision, Retirement, StateChange};

/// How long a change may wait for its turn.
const TURN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long it may be on its way along the chain.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a majority may take to confirm a view.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(900);

/// Why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    #[error("this machine takes no writes now: ask again")]
    NotTaken,
    #[error("the change may have been made: ask again with the same content")]
    Unknown,
}

impl Core {
    /// Answers what control processes ask.
    pub async fn answer(self: &Rc<Self>, request: CoreRequest) -> CoreReply {
        match request {
            CoreRequest::ChangeConfiguration(order) => {
                CoreReply::ChangeConfiguration(self.order_here(&order).await)
            }
            CoreRequest::ReadConfiguration => CoreReply::Configuration(self.read_here().await),
            CoreRequest::RetireStart { node } => CoreReply::Retire(self.retire_here(&node).await),
            CoreRequest::RetireStatus { node } => CoreReply::Retire(self.retire_state_here(&node).await),
            CoreRequest::GroupStatus(group) => CoreReply::GroupStatus(self.group_here(group).await),
            CoreRequest::GiveUp(order) => CoreReply::GiveUp(self.give_up_here(&order).await),
        }
    }

    /// Makes a change as the head. `change` sees the newest state, of which all is committed; it gives the change, or an
    /// answer of its own.
    pub async fn write<A>(
        self: &Rc<Self>,
        change: impl FnOnce(&ControlState) -> Result<StateChange, A>,
    ) -> Result<Result<(), A>, WriteError> {
        let until = Instant::now() + TURN_TIMEOUT;
        let turn = timeout_at(until, self.writing.lock()).await;
        let _turn = turn.map_err(|_| WriteError::NotTaken)?;
        let settled = self.wait_for(until, |coordinator| match coordinator.replica().check_writable() {
            Ok(()) => Progress::Done,
            Err(_) if coordinator.replica().is_head() => Progress::Pending,
            Err(_) => Progress::Superseded,
        });
        if settled.await != Progress::Done {
            return Err(WriteError::NotTaken);
        }
        let begun = self.take(|coordinator, now| {
            let replica = coordinator.replica();
            if replica.check_writable().is_err() {
                return (Err(WriteError::NotTaken), Default::default());
            }
            match change(replica.value()) {
                Err(answer) => (Ok(Err(answer)), Default::default()),
                Ok(change) => match coordinator.write(now, change.written()) {
                    Ok((version, outcome)) => (Ok(Ok(version)), outcome),
                    Err(reason) => {
                        log::warn!("{reason}");
                        (Err(WriteError::NotTaken), Default::default())
                    }
                },
            }
        });
        let version = match begun.await? {
            Ok(version) => version,
            Err(answer) => return Ok(Err(answer)),
        };
        let until = Instant::now() + COMMIT_TIMEOUT;
        match self.wait_for(until, |coordinator| coordinator.write_progress(version)).await {
            Progress::Done => Ok(Ok(())),
            Progress::Pending | Progress::Superseded => Err(WriteError::Unknown),
        }
    }

    /// A refusal counts only while the view stands; a head that was put out may be out of date.
    pub(super) async fn stands(self: &Rc<Self>) -> bool {
        self.confirm(Instant::now() + CONFIRM_TIMEOUT).await
    }

    /// An order of the operator's, at the head.
    pub(super) async fn order_here(self: &Rc<Self>, order: &ConfigurationChange) -> ChangeReply {
        let written = self
            .write(|state| match state.decide(order) {
                Decision::New(_) => Ok(StateChange::Order(order.clone())),
                Decision::Known => Err(ChangeReply::Acknowledged),
                Decision::Forgotten => Err(ChangeReply::Unavailable),
                Decision::Conflict { current } => Err(ChangeReply::Conflict { current_generation: current }),
                Decision::Invalid(reason) => Err(ChangeReply::Invalid(reason)),
            })
            .await;
        match written {
            Ok(Ok(())) => ChangeReply::Acknowledged,
            // What is known is committed: no later view can lose it.
            Ok(Err(ChangeReply::Acknowledged)) => ChangeReply::Acknowledged,
            Ok(Err(answer)) if self.stands().await => answer,
            Ok(Err(_)) => ChangeReply::Unavailable,
            Err(WriteError::NotTaken) => ChangeReply::Unavailable,
            Err(WriteError::Unknown) => ChangeReply::OutcomeUnknown,
        }
    }

    /// The newest committed configuration, at the tail.
    pub(super) async fn read_here(self: &Rc<Self>) -> Option<ConfigurationBytes> {
        if !self.stands().await {
            return None;
        }
        let coordinator = self.coordinator.borrow();
        let state = coordinator.readable_value().filter(|state| state.generation() > 0)?;
        Some(ConfigurationBytes(state.configuration.json().to_vec()))
    }

    /// To empty a store, at the head.
    pub(super) async fn retire_here(self: &Rc<Self>, node: &str) -> RetireReply {
        let fewest = self.settings.tolerate.tolerated_failures() + 1;
        let written = self.write(|state| begin_retirement(state, node, fewest)).await;
        match written {
            Ok(Ok(())) => RetireReply::Running,
            Ok(Err(answer)) if self.stands().await => answer,
            _ => RetireReply::Unavailable,
        }
    }

    /// How far the emptying of a store is, at the head.
    pub(super) async fn retire_state_here(self: &Rc<Self>, node: &str) -> RetireReply {
        if !self.is_head() || !self.stands().await {
            return RetireReply::Unavailable;
        }
        let Some(state) = self.committed_state() else { return RetireReply::Unavailable };
        match state.small.retirements.get(node) {
            Some(Retirement::Running) => RetireReply::Running,
            Some(Retirement::Succeeded) => RetireReply::Succeeded,
            None => RetireReply::UnknownNode,
        }
    }
}

fn begin_retirement(state: &ControlState, node: &str, fewest: usize) -> Result<StateChange, RetireReply> {
    if state.small.retirements.contains_key(node) {
        return Err(RetireReply::Running);
    }
    let stores = &state.small.stores.stores;
    if !stores.iter().any(|store| store.member.identity.node == node) {
        return Err(RetireReply::UnknownNode);
    }
    if stores.iter().filter(|store| !store.retiring).count() <= fewest {
        return Err(RetireReply::TooFewStores);
    }
    Ok(StateChange::Retire { node: node.to_owned() })
}
