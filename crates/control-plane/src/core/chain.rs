//! Writes along the chain and reads at its tail.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::StateVersion;
use fennelgauge_wire::{encode, ConfigurationBytes, CoreReply, CoreRequest, Order, OrderReply, RetireReply};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{sleep, timeout};

use super::{Core, CALL_TIMEOUT};
use crate::state::{ControlState, Decision, Retirement};

/// How long a write may be on its way along the chain.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_500);
const SETTLE_EVERY: Duration = Duration::from_millis(150);
/// How long an order may wait for its turn.
const TURN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    #[error("this machine takes no writes now: ask again")]
    NotTaken,
    #[error("the change may have been made: ask again with the same content")]
    Unknown,
}

impl Core {
    /// A write that came from the predecessor: onto this disk, then on to the successor.
    pub(super) async fn append(self: &Rc<Self>, epoch: u64, state: StateVersion) -> CoreReply {
        {
            let _durable = self.durable.lock().await;
            if !self.takes_writes(epoch) {
                return CoreReply::Refused { epoch: self.epoch() };
            }
            let own = self.state.borrow().order();
            if state.order() > own {
                if !self.persist_state(&state).await {
                    return CoreReply::Refused { epoch };
                }
                self.take_state(state.clone());
            }
        }
        match self.forward(epoch, state).await {
            true => CoreReply::Committed,
            false => CoreReply::Refused { epoch: self.epoch() },
        }
    }

    fn takes_writes(&self, epoch: u64) -> bool {
        let acceptor = self.acceptor.borrow();
        acceptor.view.epoch == epoch
            && !acceptor.sealed()
            && acceptor.view.position(&self.me.identity).is_some()
            && self.state.borrow().epoch == epoch
    }

    /// Passes a version on that is on this disk; true once every link has it.
    async fn forward(self: &Rc<Self>, epoch: u64, state: StateVersion) -> bool {
        let order = state.order();
        let view = self.view();
        if view.epoch != epoch {
            return false;
        }
        if let Some(successor) = view.successor(&self.me.identity) {
            let request = CoreRequest::Append { epoch, state };
            let reply = tokio::select! {
                reply = self.ask(successor.peer, request, APPEND_TIMEOUT) => reply,
                () = self.left(epoch) => None,
            };
            if !matches!(reply, Some(CoreReply::Committed)) {
                return false;
            }
        }
        if self.epoch() == epoch && order > self.committed.get() {
            self.committed.set(order);
        }
        if self.committed.get() == self.state.borrow().order() {
            self.publish();
        }
        true
    }

    /// Waits until this machine is in another view.
    async fn left(&self, epoch: u64) {
        while self.epoch() == epoch {
            self.known.changed().await;
        }
    }

    /// Makes a change as the head. `change` sees the newest state, of which all is committed; it gives the next state, or
    /// an answer of its own.
    pub async fn write<A>(
        self: &Rc<Self>,
        change: impl FnOnce(&ControlState) -> Result<ControlState, A>,
    ) -> Result<Result<(), A>, WriteError> {
        let turn = timeout(TURN_TIMEOUT, self.writing.lock()).await;
        let _turn = turn.map_err(|_| WriteError::NotTaken)?;
        let epoch = self.epoch();
        let enough = self.view().members.len() >= self.rules.fewest;
        if !self.is_head() || !enough || !self.takes_writes(epoch) || !self.settle(epoch).await {
            return Err(WriteError::NotTaken);
        }
        let next = match change(&self.state()) {
            Ok(next) => next,
            Err(answer) => return Ok(Err(answer)),
        };
        let state = {
            let _durable = self.durable.lock().await;
            if !self.takes_writes(epoch) {
                return Err(WriteError::NotTaken);
            }
            let sequence = self.state.borrow().sequence + 1;
            let state = StateVersion { epoch, sequence, body: encode(&next) };
            if !self.persist_state(&state).await {
                return Err(WriteError::Unknown);
            }
            self.set_state(state.clone(), next);
            state
        };
        match self.forward(epoch, state).await {
            true => Ok(Ok(())),
            false => Err(WriteError::Unknown),
        }
    }

    /// Whether all that this machine has is committed; what is not is passed on once more.
    async fn settle(self: &Rc<Self>, epoch: u64) -> bool {
        let state = self.state.borrow().clone();
        self.committed.get() == state.order() || self.forward(epoch, state).await
    }

    /// Settles what is in doubt: after a restart, or when an answer was lost.
    pub async fn settle_doubts(self: Rc<Self>) {
        loop {
            sleep(SETTLE_EVERY).await;
            let epoch = self.epoch();
            let in_doubt = self.committed.get() != self.state.borrow().order();
            if in_doubt && self.takes_writes(epoch) {
                let _turn = self.writing.lock().await;
                self.settle(epoch).await;
            }
        }
    }

    /// Whether a majority, asked now, is in this machine's view.
    pub async fn confirm(self: &Rc<Self>) -> bool {
        let view = self.view();
        if view.epoch == 0 || !self.takes_writes(view.epoch) {
            return false;
        }
        let others = view.members.iter().filter(|member| member.identity != self.me.identity);
        let mut replies: FuturesUnordered<_> = others
            .map(|member| self.ask(member.peer, CoreRequest::Confirm { epoch: view.epoch }, CALL_TIMEOUT))
            .collect();
        let mut agreeing = 1;
        while agreeing < view.majority() {
            match replies.next().await {
                Some(Some(CoreReply::Epoch { epoch, sealed: false })) if epoch == view.epoch => agreeing += 1,
                Some(_) => {}
                None => return false,
            }
        }
        self.takes_writes(view.epoch)
    }

    /// An order of the operator's, at the head.
    pub(super) async fn order_here(self: &Rc<Self>, order: &Order) -> OrderReply {
        let written = self
            .write(|state| match state.decide(order) {
                Decision::New(next) => Ok(next),
                Decision::Known => Err(OrderReply::Acknowledged),
                Decision::Conflict { current } => Err(OrderReply::Conflict { current }),
                Decision::Invalid(reason) => Err(OrderReply::Invalid(reason)),
            })
            .await;
        match written {
            Ok(Ok(())) => OrderReply::Acknowledged,
            // A refusal counts only while the view stands; a deposed head may be out of date.
            Ok(Err(answer)) if self.confirm().await => answer,
            Ok(Err(_)) => OrderReply::Unavailable,
            Err(WriteError::NotTaken) => OrderReply::Unavailable,
            Err(WriteError::Unknown) => OrderReply::Unknown,
        }
    }

    /// The newest committed configuration, at the tail.
    pub(super) async fn read_here(self: &Rc<Self>) -> Option<ConfigurationBytes> {
        let view = self.view();
        let is_tail = view.tail().is_some_and(|tail| tail.identity == self.me.identity);
        let state = self.committed_state().filter(|state| is_tail && state.generation > 0)?;
        self.confirm().await.then(|| ConfigurationBytes(state.configuration.clone()))
    }

    /// To empty a store, at the head.
    pub(super) async fn retire_here(self: &Rc<Self>, node: &str) -> RetireReply {
        let fewest = self.rules.fewest;
        let written = self.write(|state| begin_retirement(state, node, fewest)).await;
        match written {
            Ok(Ok(())) => RetireReply::Running,
            Ok(Err(answer)) if self.confirm().await => answer,
            _ => RetireReply::Unavailable,
        }
    }

    /// How far the emptying of a store is, at the head.
    pub(super) async fn retire_state_here(self: &Rc<Self>, node: &str) -> RetireReply {
        if !self.is_head() || !self.confirm().await {
            return RetireReply::Unavailable;
        }
        let Some(state) = self.committed_state() else { return RetireReply::Unavailable };
        match state.retirements.get(node) {
            Some(Retirement::Running) => RetireReply::Running,
            Some(Retirement::Succeeded) => RetireReply::Succeeded,
            None => RetireReply::UnknownNode,
        }
    }
}

fn begin_retirement(state: &ControlState, node: &str, fewest: usize) -> Result<ControlState, RetireReply> {
    if state.retirements.contains_key(node) {
        return Err(RetireReply::Running);
    }
    let mut next = state.clone();
    let staying = next.stores.stores.iter().filter(|store| !store.retiring).count();
    let store = next.stores.stores.iter_mut().find(|store| store.member.identity.node == node);
    let store = store.ok_or(RetireReply::UnknownNode)?;
    if staying <= fewest {
        return Err(RetireReply::TooFew);
    }
    store.retiring = true;
    next.stores.epoch += 1;
    next.retirements.insert(node.to_owned(), Retirement::Running);
    Ok(next)
}
