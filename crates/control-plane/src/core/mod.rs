//! A machine of the core: its part in the view and the chain.

mod chain;
mod membership;
#[cfg(test)]
mod tests;
mod view_change;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{Acceptor, Identity, Member, StateVersion, View, ViewRules};
use fennelgauge_settings::Settings;
use fennelgauge_upstream::Known;
use fennelgauge_versions::{VersionName, VersionsError};
use fennelgauge_wire::{decode, encode, Caller, CoreReply, CoreRequest, Reply, Request};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::disk::Disk;
use crate::state::ControlState;

pub use chain::WriteError;

const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const TRY_DISK_EVERY: Duration = Duration::from_millis(500);

/// The core as this machine sees it.
pub struct Core {
    pub me: Member,
    pub settings: Rc<Settings>,
    pub known: Rc<Known>,
    pub caller: Caller,
    pub(crate) rules: ViewRules,
    /// Whether this machine may be a member, or only votes on the first view and passes orders on.
    eligible: bool,
    /// Its part in the decisions about views.
    acceptor: RefCell<Acceptor>,
    state: RefCell<StateVersion>,
    decoded: RefCell<Rc<ControlState>>,
    /// The newest version of the present view that all links have synced.
    committed: Cell<(u64, u64)>,
    /// Held while something that must last is decided and written.
    durable: Mutex<()>,
    /// Held by the head for one write at a time.
    writing: Mutex<()>,
    record_disk: Disk,
    state_disk: Disk,
    records: Cell<u64>,
    heard: RefCell<HashMap<Identity, Instant>>,
    joiners: RefCell<HashMap<Identity, (Member, Instant)>>,
    installed_at: Cell<Instant>,
    sealed_at: Cell<Option<Instant>>,
    highest_round: Cell<u64>,
    proposing: Cell<bool>,
}

impl Core {
    /// Opens what this machine has on disk.
    pub fn open(
        settings: Rc<Settings>,
        known: Rc<Known>,
        caller: Caller,
        identity: Identity,
        peer: SocketAddr,
    ) -> Result<Rc<Self>, VersionsError> {
        let me = Member { identity, peer, zone: settings.zone.clone(), region: settings.region.clone() };
        let (record_disk, record, state_disk, state) = match &settings.data_dir {
            Some(path) => {
                let (record_disk, record) = Disk::open(&path.join("view"), "view")?;
                let (state_disk, state) = Disk::open(&path.join("state"), "state")?;
                (record_disk, record, state_disk, state)
            }
            None => (Disk::none(), None, Disk::none(), None),
        };
        let stored: Option<(u64, Acceptor)> = record.as_deref().and_then(readable);
        let state: StateVersion = state.as_deref().and_then(readable).unwrap_or_default();
        let decoded: ControlState = readable(&state.body).unwrap_or_default();
        let (records, acceptor) = stored.unwrap_or_else(|| (0, first_acceptor(&settings)));
        let losses = settings.tolerate.losses();
        let core = Self {
            eligible: settings.counts_for_quorum,
            committed: Cell::new((0, 0)),
            state: RefCell::new(state),
            decoded: RefCell::new(Rc::new(decoded)),
            sealed_at: Cell::new(acceptor.sealed().then(Instant::now)),
            acceptor: RefCell::new(acceptor),
            rules: ViewRules::for_losses(losses),
            durable: Mutex::new(()),
            writing: Mutex::new(()),
            record_disk,
            state_disk,
            records: Cell::new(records),
            heard: RefCell::default(),
            joiners: RefCell::default(),
            installed_at: Cell::new(Instant::now()),
            highest_round: Cell::new(0),
            proposing: Cell::new(false),
            me,
            settings,
            known,
            caller,
        };
        if core.view().epoch > 0 {
            core.known.take_view(&core.view());
        }
        Ok(Rc::new(core))
    }

    /// The view that this machine is in.
    pub fn view(&self) -> View {
        self.acceptor.borrow().view.clone()
    }

    pub fn epoch(&self) -> u64 {
        self.acceptor.borrow().view.epoch
    }

    /// Whether this machine is a member of the view that it is in.
    pub fn is_member(&self) -> bool {
        self.acceptor.borrow().view.position(&self.me.identity).is_some()
    }

    pub fn is_head(&self) -> bool {
        self.acceptor.borrow().view.head().is_some_and(|head| head.identity == self.me.identity)
    }

    /// The newest state on this machine; not always committed.
    pub fn state(&self) -> Rc<ControlState> {
        self.decoded.borrow().clone()
    }

    /// The newest state, if every link of the chain has it.
    pub fn committed_state(&self) -> Option<Rc<ControlState>> {
        (self.committed.get() == self.state.borrow().order()).then(|| self.state())
    }

    /// Since when this machine is in its view.
    pub fn in_view_for(&self) -> Duration {
        self.installed_at.get().elapsed()
    }

    /// Whether a majority said lately that the view stands.
    pub fn is_confirmed(&self) -> bool {
        self.known.confirmed_age().is_some_and(|age| age < Duration::from_millis(1_200))
    }

    /// Answers one of the core's messages.
    pub async fn answer(self: &Rc<Self>, request: CoreRequest) -> CoreReply {
        match request {
            // Who cannot write is no use as a member: it keeps silent, and the others go on without it.
            CoreRequest::Heartbeat { .. } if self.is_disk_in_trouble() => {
                CoreReply::Refused { epoch: self.epoch() }
            }
            CoreRequest::Heartbeat { .. } | CoreRequest::Confirm { .. } => self.epoch_reply(),
            CoreRequest::Join { member } => {
                self.joiners.borrow_mut().insert(member.identity.clone(), (member, Instant::now()));
                self.epoch_reply()
            }
            CoreRequest::Prepare { epoch, ballot } => {
                CoreReply::Prepared(self.prepare_here(epoch, &ballot).await)
            }
            CoreRequest::Accept { epoch, ballot, proposal } => {
                CoreReply::Accepted(self.accept_here(epoch, &ballot, &proposal).await)
            }
            CoreRequest::Install { view, state } => {
                self.install(view, state).await;
                self.epoch_reply()
            }
            CoreRequest::Append { epoch, state } => self.append(epoch, state).await,
            CoreRequest::Order(order) => CoreReply::Ordered(self.order_here(&order).await),
            CoreRequest::Read => CoreReply::Configuration(self.read_here().await),
            CoreRequest::RetireStart { node } => CoreReply::Retire(self.retire_here(&node).await),
            CoreRequest::RetireState { node } => CoreReply::Retire(self.retire_state_here(&node).await),
        }
    }

    fn is_disk_in_trouble(&self) -> bool {
        self.record_disk.health().is_in_trouble() || self.state_disk.health().is_in_trouble()
    }

    /// After a failed write, tries the disk until it writes again, without end.
    pub async fn try_failed_disk(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TRY_DISK_EVERY).await;
            if self.record_disk.health().has_failed() {
                let _durable = self.durable.lock().await;
                self.persist_record().await;
            }
            if self.state_disk.health().has_failed() {
                let _durable = self.durable.lock().await;
                let state = self.state.borrow().clone();
                self.persist_state(&state).await;
            }
        }
    }

    fn epoch_reply(&self) -> CoreReply {
        let acceptor = self.acceptor.borrow();
        CoreReply::Epoch { epoch: acceptor.view.epoch, sealed: acceptor.sealed() }
    }

    async fn ask(&self, peer: SocketAddr, request: CoreRequest, within: Duration) -> Option<CoreReply> {
        match self.caller.call(peer, Request::Core(request), within).await {
            Ok(Reply::Core(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Puts the record of promises on disk; false if that failed.
    async fn persist_record(&self) -> bool {
        self.records.set(self.records.get() + 1);
        let body = encode(&(self.records.get(), &*self.acceptor.borrow()));
        let name = VersionName { epoch: self.epoch(), sequence: self.records.get() };
        self.record_disk.write(name, body).await
    }

    async fn persist_state(&self, state: &StateVersion) -> bool {
        let name = VersionName { epoch: state.epoch, sequence: state.sequence };
        self.state_disk.write(name, encode(state)).await
    }

    /// Takes up a version that came from another machine.
    fn take_state(&self, state: StateVersion) {
        let decoded = readable(&state.body).unwrap_or_default();
        self.set_state(state, decoded);
    }

    fn set_state(&self, state: StateVersion, decoded: ControlState) {
        *self.decoded.borrow_mut() = Rc::new(decoded);
        *self.state.borrow_mut() = state;
    }

    /// Everything up to the present version is committed: tell it on.
    fn publish(&self) {
        let state = self.state();
        self.known.take_view(&self.view());
        if state.generation > self.known.generation() {
            self.known.take_configuration(state.generation, state.configuration.clone());
        }
        if state.stores.epoch > self.known.stores().epoch {
            self.known.take_stores(state.stores.clone());
        }
    }
}

fn first_acceptor(settings: &Settings) -> Acceptor {
    let seeds = if settings.bootstrap { settings.seed_peers() } else { Vec::new() };
    Acceptor::new(View::of_seeds(&seeds))
}

/// What a file or message holds; what cannot be read is logged and left alone.
fn readable<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    if bytes.is_empty() {
        return None;
    }
    match decode(bytes) {
        Ok(value) => Some(value),
        Err(reason) => {
            log::error!("state of another version or program: {reason}");
            None
        }
    }
}
