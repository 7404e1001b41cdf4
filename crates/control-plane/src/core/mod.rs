//! A machine of the core: the thin process around the state machines of `fennelgauge-coordination`. It gives them messages and the time, does their
//! writes, sends what they say, and passes on what is committed.

mod groups;
mod orders;
mod storage;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fennelgauge_coordination::{
    Coordinator, Effects, Envelope, Identity, Member, Message, Progress, Replica, Timing, View, ViewRules,
};
use fennelgauge_settings::Settings;
use fennelgauge_upstream::TierState;
use fennelgauge_versions::VersionsError;
use fennelgauge_wire::{Caller, Request};
use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep, timeout_at, Instant};

use crate::placement::Presence;
use crate::state::ControlState;
pub use orders::WriteError;
use storage::{Storage, Writes};

const TICK_EVERY: Duration = Duration::from_millis(50);
/// A message that has not left by then is of no use any more.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A disk that did not write is tried again so often; until then this machine does and says nothing.
const TRY_DISK_EVERY: Duration = Duration::from_millis(400);
/// More messages than this do not wait for a machine that is busy with its disk.
const MOST_WAITING: usize = 256;
/// A view that a majority confirmed within this time is taken for the present one by duties.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(1_200);

/// The core as this machine sees it.
pub struct Core {
    pub me: Member,
    pub settings: Rc<Settings>,
    pub known: Rc<TierState>,
    pub caller: Caller,
    /// The stores that have told of themselves.
    pub presence: Presence,
    coordinator: RefCell<Coordinator<ControlState>>,
    storage: Storage,
    started: Instant,
    /// Held from when something comes in until what follows from it is written and sent.
    turn: Mutex<()>,
    /// Held by the head for one change at a time.
    writing: Mutex<()>,
    waiting: Cell<usize>,
    /// Something may have changed.
    moved: Notify,
}

impl Core {
    /// Opens what this machine has on disk.
    pub fn open(
        settings: Rc<Settings>,
        known: Rc<TierState>,
        caller: Caller,
        peer: SocketAddr,
    ) -> Result<Rc<Self>, VersionsError> {
        let opened = Storage::open(&settings)?;
        let me = member(&settings, opened.identity, peer);
        let rules = ViewRules::tolerating(settings.tolerate.tolerated_failures());
        let replica = Replica::new(me.clone(), settings.counts_for_quorum, rules, opened.stored);
        let seeds = settings.seed_peer_addresses();
        let coordinator = Coordinator::new(replica, Timing::default(), seeds, Duration::ZERO);
        Ok(Rc::new(Self {
            me,
            settings,
            known,
            caller,
            presence: Presence::default(),
            coordinator: RefCell::new(coordinator),
            storage: opened.storage,
            started: Instant::now(),
            turn: Mutex::new(()),
            writing: Mutex::new(()),
            waiting: Cell::new(0),
            moved: Notify::new(),
        }))
    }

    /// Keeps this machine's part in the core, without end.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.take(|coordinator, now| ((), coordinator.tick(now))).await;
            sleep(TICK_EVERY).await;
        }
    }

    /// Takes a message of another machine's.
    pub async fn handle_message(self: Rc<Self>, envelope: Envelope) {
        if self.waiting.get() >= MOST_WAITING {
            return;
        }
        self.waiting.set(self.waiting.get() + 1);
        let Envelope { from, message } = envelope;
        self.take(|coordinator, now| ((), coordinator.handle(now, &from, message))).await;
        self.waiting.set(self.waiting.get() - 1);
    }

    /// One step of the state machines, with all that follows from it.
    async fn take<A>(
        self: &Rc<Self>,
        step: impl FnOnce(&mut Coordinator<ControlState>, Duration) -> (A, Effects),
    ) -> A {
        let _turn = self.turn.lock().await;
        let now = self.started.elapsed();
        let (answer, outcome) = step(&mut self.coordinator.borrow_mut(), now);
        self.perform(outcome).await;
        self.publish();
        self.moved.notify_waiters();
        answer
    }

    /// Writes first; what rests on it is sent only when it is on the disk.
    async fn perform(self: &Rc<Self>, outcome: Effects) {
        if outcome.write_record || outcome.write_value {
            let writes = self.writes(&outcome);
            while !self.storage.write(writes.clone()).await {
                sleep(TRY_DISK_EVERY).await;
            }
        }
        for (to, message) in outcome.sends {
            self.send(to, message);
        }
    }

    fn writes(&self, outcome: &Effects) -> Writes {
        let coordinator = self.coordinator.borrow();
        let replica = coordinator.replica();
        Writes {
            record: outcome.write_record.then(|| replica.record().clone()),
            value: outcome.write_value.then(|| (replica.version(), replica.value().clone())),
        }
    }

    fn send(self: &Rc<Self>, to: SocketAddr, message: Message) {
        let request = Request::Coordination(Box::new(Envelope { from: self.me.clone(), message }));
        let caller = self.caller.clone();
        tokio::task::spawn_local(async move {
            let _ = caller.call(to, request, MESSAGE_TIMEOUT).await;
        });
    }

    /// Passes on what is committed, and how fresh this machine is.
    fn publish(&self) {
        let coordinator = self.coordinator.borrow();
        let replica = coordinator.replica();
        if replica.latest_view().epoch > 0 {
            self.known.update_view(replica.latest_view());
        }
        if let Some(confirmed) = coordinator.quorum_confirmed_at() {
            self.known.update_view_confirmation(self.started.elapsed().saturating_sub(confirmed));
        }
        let Some(state) = replica.committed_value() else { return };
        if state.generation() > self.known.generation() {
            self.known.update_configuration(state.generation(), state.configuration.json().to_vec());
        }
        if state.small.stores.epoch > self.known.stores().epoch {
            self.known.update_stores(state.small.stores.clone());
        }
    }

    /// The newest view that this machine knows.
    pub fn view(&self) -> View {
        self.coordinator.borrow().replica().latest_view().clone()
    }

    /// The epoch of the view that this machine votes in: the fence of its duties while it is the head.
    pub fn epoch(&self) -> u64 {
        self.coordinator.borrow().replica().view().epoch
    }

    /// Whether this machine is a link of the chain.
    pub fn is_link(&self) -> bool {
        self.coordinator.borrow().replica().is_link()
    }

    pub fn is_head(&self) -> bool {
        self.coordinator.borrow().replica().is_head()
    }

    /// The newest state, if every link of the chain has it.
    pub fn committed_state(&self) -> Option<Arc<ControlState>> {
        self.coordinator.borrow().replica().committed_value().cloned()
    }

    /// Since when this machine is in its view.
    pub fn in_view_for(&self) -> Duration {
        self.started.elapsed().saturating_sub(self.coordinator.borrow().view_installed_at())
    }

    /// Whether a majority said lately that the view stands.
    pub fn is_confirmed(&self) -> bool {
        let confirmed = self.coordinator.borrow().quorum_confirmed_at();
        confirmed.is_some_and(|at| self.started.elapsed().saturating_sub(at) < CONFIRMED_WITHIN)
    }

    /// Whether a majority, asked now, is in this machine's view: what was committed here before is all there was.
    pub async fn confirm(self: &Rc<Self>, until: Instant) -> bool {
        let question = self.take(|coordinator, now| coordinator.start_quorum_check(now)).await;
        self.wait_for(until, |coordinator| coordinator.quorum_check_progress(question)).await
            == Progress::Done
    }

    /// Waits until something is done or overtaken, or time is up.
    async fn wait_for(
        &self,
        until: Instant,
        progress: impl Fn(&Coordinator<ControlState>) -> Progress,
    ) -> Progress {
        loop {
            let moved = self.moved.notified();
            let now = progress(&self.coordinator.borrow());
            if now != Progress::Pending || timeout_at(until, moved).await.is_err() {
                return now;
            }
        }
    }
}

fn member(settings: &Settings, identity: Identity, peer: SocketAddr) -> Member {
    Member { identity, peer, zone: settings.zone.clone(), region: settings.region.clone() }
}
