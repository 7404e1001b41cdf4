//! A core member: runs the state machines of `fennelgauge-coordination`. Gives them messages and the time, carries out
//! their writes, sends their messages, and publishes the committed state to the rest of the process.

mod groups;
mod requests;
mod storage;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fennelgauge_coordination::{
    Coordinator, Effects, Envelope, FencingToken, Identity, Member, Message, Progress, Replica, Timing, View,
    ViewRules,
};
use fennelgauge_settings::Settings;
use fennelgauge_upstream::TierState;
use fennelgauge_versions::VersionsError;
use fennelgauge_wire::{Caller, Request};
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

use crate::placement::HeartbeatTracker;
use crate::state::ControlState;
pub use requests::WriteError;
use storage::{Storage, Writes};

/// How often the coordinator is told the time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a message to another member; the protocol repeats what matters.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between attempts to repeat a failed disk write. Until it succeeds, this member processes and sends nothing.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Largest number of messages that wait while this member is busy with its disk; more are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;

/// One member of the core.
pub struct Core {
    /// This member, as it is known to the others.
    pub me: Member,
    /// Settings of this process.
    pub settings: Rc<Settings>,
    /// Configuration, server list and views that this process has and serves to watchers.
    pub known: Rc<TierState>,
    /// Makes calls to other processes of the tier.
    pub caller: Caller,
    /// Heartbeats received from the stores.
    pub heartbeats: HeartbeatTracker,
    coordinator: RefCell<Coordinator<ControlState>>,
    storage: Storage,
    /// Origin of the coordinator's clock.
    started: Instant,
    /// Held from the start of a step of the coordinator until its writes are done and its messages sent.
    step_lock: Arc<Mutex<()>>,
    /// Held by the head during one change of the control state, so that each change builds on the one before.
    write_lock: Mutex<()>,
    /// Number of messages that wait for `step_lock`.
    queued_messages: Cell<usize>,
    /// Notified after each step of the coordinator.
    stepped: Notify,
}

impl Core {
    /// Opens this member's data directory, or starts empty. `peer` is the address under which other members reach this
    /// one. Fails if the directory cannot be read or written.
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
            heartbeats: HeartbeatTracker::default(),
            coordinator: RefCell::new(coordinator),
            storage: opened.storage,
            started: Instant::now(),
            step_lock: Arc::default(),
            write_lock: Mutex::new(()),
            queued_messages: Cell::new(0),
            stepped: Notify::new(),
        }))
    }

    /// Tells the coordinator the time at an interval, which makes it send messages and change views. Never returns. `seeds`
    /// are looked up anew whenever the coordinator turns to them: the settings may change while the process runs.
    pub async fn run(self: Rc<Self>, seeds: impl Fn() -> Vec<SocketAddr>) {
        loop {
            if self.coordinator.borrow().is_view_comparison_due(self.started.elapsed()) {
                self.coordinator.borrow_mut().set_seeds(seeds());
            }
            self.run_step(|coordinator, now| ((), coordinator.tick(now))).await;
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Processes a message of another member; drops it if too many are waiting.
    pub async fn handle_message(self: Rc<Self>, envelope: Envelope) {
        if self.queued_messages.get() >= MAX_QUEUED_MESSAGES {
            return;
        }
        self.queued_messages.set(self.queued_messages.get() + 1);
        let Envelope { from, message } = envelope;
        self.run_step(|coordinator, now| ((), coordinator.handle(now, &from, message))).await;
        self.queued_messages.set(self.queued_messages.get() - 1);
    }

    /// Runs one step of the coordinator, its writes and messages, and publishes the result. Steps never overlap. A step that
    /// has begun is completed even if its caller is dropped: an operator may leave at any time, and a member whose state
    /// is ahead of its disk and its messages would be wrong.
    async fn run_step<A>(
        self: &Rc<Self>,
        step: impl FnOnce(&mut Coordinator<ControlState>, Duration) -> (A, Effects),
    ) -> A {
        let guard = self.step_lock.clone().lock_owned().await;
        let now = self.started.elapsed();
        let (result, effects) = step(&mut self.coordinator.borrow_mut(), now);
        let core = self.clone();
        let completion = async move {
            core.execute(effects).await;
            core.publish();
            core.stepped.notify_waiters();
            drop(guard);
        };
        let _ = spawn_local(completion).await;
        result
    }

    /// Writes to the disk, repeating until that succeeds, and then sends the messages: they promise what was written.
    async fn execute(self: &Rc<Self>, outcome: Effects) {
        if outcome.write_record || outcome.write_value {
            let writes = self.writes(&outcome);
            while !self.storage.write(writes.clone()).await {
                sleep(DISK_RETRY_INTERVAL).await;
            }
        }
        for (to, message) in outcome.sends {
            self.send(to, message);
        }
    }

    /// Collects the data that an outcome requires to be written.
    fn writes(&self, outcome: &Effects) -> Writes {
        let coordinator = self.coordinator.borrow();
        let replica = coordinator.replica();
        Writes {
            record: outcome.write_record.then(|| replica.record().clone()),
            value: outcome.write_value.then(|| (replica.version(), replica.value().clone())),
        }
    }

    /// Sends a message without waiting for its delivery.
    fn send(self: &Rc<Self>, to: SocketAddr, message: Message) {
        let request = Request::Coordination(Box::new(Envelope { from: self.me.clone(), message }));
        let caller = self.caller.clone();
        spawn_local(async move {
            let _ = caller.call(to, request, MESSAGE_TIMEOUT).await;
        });
    }

    /// Publishes the committed state, the newest view and the time of its confirmation to the process's watchers.
    fn publish(&self) {
        let coordinator = self.coordinator.borrow();
        let replica = coordinator.replica();
        if replica.latest_view().epoch > 0 {
            self.known.update_core_view(replica.latest_view());
        }
        if let Some(confirmed) = coordinator.quorum_confirmed_at() {
            self.known.update_view_confirmation(self.started.elapsed().saturating_sub(confirmed));
        }
        let Some(state) = replica.committed_value() else { return };
        if state.generation() > self.known.generation() {
            self.known.update_configuration(state.generation(), state.configuration.json().to_vec());
        }
        let is_published = self.known.generation() == state.generation();
        if let Some(confirmed) = coordinator.committed_value_confirmed_at().filter(|_| is_published) {
            self.known.update_configuration_confirmation(self.started + confirmed);
        }
        if state.metadata.stores.epoch > self.known.store_view().epoch {
            self.known.update_store_view(state.metadata.stores.clone());
        }
    }

    /// Returns the newest view that this member knows.
    pub fn view(&self) -> View {
        self.coordinator.borrow().replica().latest_view().clone()
    }

    /// Returns the epoch of the view that this member votes in.
    pub fn epoch(&self) -> u64 {
        self.coordinator.borrow().replica().view().epoch
    }

    /// Returns true if this member belongs to the chain of its view.
    pub fn is_link(&self) -> bool {
        self.coordinator.borrow().replica().is_link()
    }

    /// Returns true if this member is the head of the chain of its view.
    pub fn is_head(&self) -> bool {
        self.coordinator.borrow().replica().is_head()
    }

    /// Returns the newest state if every member of the chain has it, else `None`.
    pub fn committed_state(&self) -> Option<Arc<ControlState>> {
        self.coordinator.borrow().replica().committed_value().cloned()
    }

    /// Returns how long this member has been in its view.
    pub fn time_in_view(&self) -> Duration {
        self.started.elapsed().saturating_sub(self.coordinator.borrow().view_installed_at())
    }

    /// Returns true if a majority confirmed this member's view recently.
    pub fn is_confirmed(&self) -> bool {
        self.coordinator.borrow().is_confirmed(self.started.elapsed())
    }

    /// Returns the fencing token of the head's duties if this member holds them, and has been in its view for at least
    /// `settling_time`.
    pub fn duty_token(&self, settling_time: Duration) -> Option<FencingToken> {
        self.coordinator.borrow().duty_token(self.started.elapsed(), settling_time)
    }

    /// Returns the fencing token for a call that follows from holding `held`, if this member still holds that.
    pub fn authorize_call(&self, held: FencingToken) -> Option<FencingToken> {
        self.coordinator.borrow().authorize_call(self.started.elapsed(), held)
    }

    /// Asks a majority whether this member's view is still current, and returns true if it confirms that in time. Then
    /// nothing was committed, up to the start of this call, that this member does not know.
    pub async fn confirm_view(self: &Rc<Self>, until: Instant) -> bool {
        let question = self.run_step(|coordinator, now| coordinator.start_quorum_check(now)).await;
        self.wait_for_progress(until, |coordinator| coordinator.quorum_check_progress(question)).await
            == Progress::Done
    }

    /// Waits until `progress` is no longer waiting, or the time is up; returns the last progress.
    async fn wait_for_progress(
        &self,
        until: Instant,
        progress: impl Fn(&Coordinator<ControlState>) -> Progress,
    ) -> Progress {
        loop {
            let stepped = self.stepped.notified();
            let current = progress(&self.coordinator.borrow());
            if current != Progress::Pending || timeout_at(until, stepped).await.is_err() {
                return current;
            }
        }
    }
}

/// Describes this process as a member of the core.
fn member(settings: &Settings, identity: Identity, peer: SocketAddr) -> Member {
    Member { identity, peer, zone: settings.zone.clone(), region: settings.region.clone() }
}
