//! A process's copy of the tier's state. Versions never go back, and a process can pass its copy on to processes that
//! watch it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{Member, StoreView, View};
use fennelgauge_model::{Configuration, RoutingTable, ServerList};
use fennelgauge_wire::{ConfigurationUpdate, KnownVersions, WatchReply, WatchRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::configuration_texts::ConfigurationTexts;

/// Age up to which the confirmation of the core's view by a majority is current.
pub(crate) const CONFIRMATION_TTL: Duration = Duration::from_millis(1_500);
/// Longest time for which a watch request is held, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 5_000;
/// Age that is sent for something that is not known at all, in milliseconds.
const UNKNOWN_AGE_MS: u64 = 3_600_000;

/// The configuration, the server list, the stores and the core's view as far as this process knows them. Shared by
/// all tasks of the process.
#[derive(Default)]
pub struct TierState {
    routing_table: RefCell<Option<Rc<RoutingTable>>>,
    texts: RefCell<ConfigurationTexts>,
    /// Whether the next configuration update has to be complete, because the last one could not be applied.
    needs_full_text: Cell<bool>,
    server_list: RefCell<ServerList>,
    server_list_read_at: Cell<Option<Instant>>,
    store_view: RefCell<Rc<StoreView>>,
    core_view: RefCell<Option<Rc<View>>>,
    view_confirmed_at: Cell<Option<Instant>>,
    /// Every configuration that was acknowledged before this moment is known here, or a newer one is.
    configuration_confirmed_at: Cell<Option<Instant>>,
    /// Generation that was known here at the last confirmation.
    confirmed_generation: Cell<u64>,
    changed: Notify,
}

impl TierState {
    /// Creates the state of a process that others watch: it keeps earlier configurations, so that it can send changes
    /// instead of complete texts.
    pub fn for_source() -> Self {
        Self { texts: RefCell::new(ConfigurationTexts::with_earlier()), ..Self::default() }
    }

    /// Returns the routing table of the newest configuration; `None` before the first one.
    pub fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.routing_table.borrow().clone()
    }

    /// Returns the generation of the newest configuration; 0 before the first one.
    pub fn generation(&self) -> u64 {
        self.texts.borrow().generation()
    }

    /// Returns the newest view of the stores.
    pub fn store_view(&self) -> Rc<StoreView> {
        self.store_view.borrow().clone()
    }

    /// Returns the newest view of the core; `None` before the first one.
    pub fn core_view(&self) -> Option<Rc<View>> {
        self.core_view.borrow().clone()
    }

    /// Returns the newest server list, which is empty before the first one.
    pub fn server_list(&self) -> std::cell::Ref<'_, ServerList> {
        self.server_list.borrow()
    }

    /// Returns the time since the server list was read from the platform; `None` before the first one.
    pub fn server_list_age(&self) -> Option<Duration> {
        self.server_list_read_at.get().map(|read_at| read_at.elapsed())
    }

    /// Returns the time since a majority last confirmed the core's view, as far as this process knows.
    pub fn view_confirmation_age(&self) -> Option<Duration> {
        self.view_confirmed_at.get().map(|confirmed_at| confirmed_at.elapsed())
    }

    /// Returns a moment up to which every acknowledged configuration is known here, or a newer one. Returns `None` if no
    /// source has confirmed the configuration that is known now.
    pub fn configuration_confirmed_at(&self) -> Option<Instant> {
        let is_confirmed = self.confirmed_generation.get() == self.generation();
        self.configuration_confirmed_at.get().filter(|_| is_confirmed)
    }

    /// Waits for the next change of the configuration, the server list, the stores or the view.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Replaces the configuration if `generation` is higher and the document can be parsed; returns whether it was
    /// replaced.
    pub fn update_configuration(&self, generation: u64, json: Vec<u8>) -> bool {
        if generation <= self.generation() {
            return false;
        }
        let configuration: Configuration = match serde_json::from_slice(&json) {
            Ok(configuration) => configuration,
            Err(reason) => {
                log::error!("configuration {generation} is ignored because it cannot be parsed: {reason}");
                return false;
            }
        };
        *self.routing_table.borrow_mut() = Some(Rc::new(RoutingTable::new(configuration)));
        self.texts.borrow_mut().put(generation, json);
        log::info!("configuration {generation} is in force");
        self.changed.notify_waiters();
        true
    }

    /// Applies a configuration update from a source. If it cannot be decoded, the next watch request asks for the
    /// complete text. Returns whether this configuration or a newer one is in force afterwards.
    fn apply_configuration_update(&self, update: &ConfigurationUpdate) -> bool {
        let json = self.texts.borrow().decode_update(update);
        match json {
            Ok(json) => {
                self.needs_full_text.set(false);
                self.update_configuration(update.generation, json);
            }
            Err(reason) => {
                log::warn!("update to configuration {} cannot be applied: {reason}", update.generation);
                self.needs_full_text.set(true);
            }
        }
        self.generation() >= update.generation
    }

    /// Records that the server list was read from the platform `age` ago, and replaces it if `list` is given. Ignored
    /// if a later reading is known.
    pub fn update_server_list(&self, list: Option<ServerList>, age: Duration) {
        let Some(read_at) = Instant::now().checked_sub(age) else { return };
        if self.server_list_read_at.get().is_some_and(|known| known >= read_at) {
            return;
        }
        self.server_list_read_at.set(Some(read_at));
        if let Some(list) = list {
            *self.server_list.borrow_mut() = list;
            self.changed.notify_waiters();
        }
    }

    /// Replaces the view of the stores if the epoch of `stores` is higher.
    pub fn update_store_view(&self, stores: StoreView) {
        if stores.epoch > self.store_view.borrow().epoch {
            *self.store_view.borrow_mut() = Rc::new(stores);
            self.changed.notify_waiters();
        }
    }

    /// Replaces the view of the core if the epoch of `view` is higher.
    pub fn update_core_view(&self, view: &View) {
        let known_epoch = self.core_view.borrow().as_ref().map_or(0, |view| view.epoch);
        if view.epoch > known_epoch {
            log::info!(
                "core view {}: chain {}; voters {}",
                view.epoch,
                names(&view.chain),
                names(&view.voters)
            );
            *self.core_view.borrow_mut() = Some(Rc::new(view.clone()));
            self.changed.notify_waiters();
        }
    }

    /// Records that a majority confirmed the core's view `age` ago. Ignored if a later confirmation is known.
    pub fn update_view_confirmation(&self, age: Duration) {
        let Some(confirmed_at) = Instant::now().checked_sub(age) else { return };
        if self.view_confirmed_at.get().is_none_or(|known| known < confirmed_at) {
            self.view_confirmed_at.set(Some(confirmed_at));
        }
    }

    /// Records that every configuration that was acknowledged before `confirmed_at` is known here, or a newer one. A confirmation
    /// of the configuration before the known one does not count any more.
    pub fn update_configuration_confirmation(&self, confirmed_at: Instant) {
        let earlier = self.configuration_confirmed_at();
        self.configuration_confirmed_at.set(earlier.max(Some(confirmed_at)));
        self.confirmed_generation.set(self.generation());
    }

    /// Applies the reply of a source to a watch request that was sent at `requested_at`; whatever is not newer than the own
    /// state is ignored. Returns false if a newer configuration came that could not be applied.
    pub fn apply_update(&self, reply: WatchReply, requested_at: Instant) -> bool {
        let is_applied = reply.configuration.is_none_or(|update| self.apply_configuration_update(&update));
        // How long the reply was under way is unknown, so the age counts from the request.
        let age = Duration::from_millis(reply.configuration_confirmed_age_ms);
        let is_same = self.generation() == reply.generation;
        if let Some(confirmed_at) = requested_at.checked_sub(age).filter(|_| is_same) {
            self.update_configuration_confirmation(confirmed_at);
        }
        self.update_server_list(reply.server_list, Duration::from_millis(reply.server_list_age_ms));
        if let Some(stores) = reply.store_view {
            self.update_store_view(stores);
        }
        if let Some(view) = reply.core_view {
            self.update_core_view(&view);
        }
        self.update_view_confirmation(Duration::from_millis(reply.confirmed_age_ms));
        is_applied
    }

    /// Returns the versions that a watch request reports. The generation is 0 if the complete configuration is
    /// needed.
    pub fn known_versions(&self) -> KnownVersions {
        let servers = self.server_list.borrow();
        KnownVersions {
            generation: if self.needs_full_text.get() { 0 } else { self.generation() },
            server_list: (servers.reader_incarnation, servers.version),
            store_view: self.store_view.borrow().epoch,
            core_view: self.core_view.borrow().as_ref().map_or(0, |view| view.epoch),
        }
    }

    /// Answers a watch request as soon as something is newer than what the watcher knows, or when its wait time is
    /// over.
    pub async fn wait_for_update(&self, watch: &WatchRequest) -> WatchReply {
        let deadline = Instant::now() + Duration::from_millis(watch.wait_ms.min(MAX_WATCH_WAIT_MS));
        loop {
            let changed = self.changed.notified();
            if self.is_newer_than(&watch.known) {
                return self.reply_to(&watch.known);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return self.reply_to(&watch.known);
            }
        }
    }

    /// Returns whether a majority confirmed the core's view within [`CONFIRMATION_TTL`].
    fn is_view_confirmed(&self) -> bool {
        self.view_confirmation_age().is_some_and(|age| age <= CONFIRMATION_TTL)
    }

    /// Like [`TierState::wait_for_update`], for a member of the core. Without a current confirmation of its view it
    /// answers at once, so that the watcher can try another source, and sends neither configuration nor stores: there
    /// may be newer ones, which a watcher that has just started could not know.
    pub async fn wait_for_confirmed_update(&self, watch: &WatchRequest) -> WatchReply {
        let mut reply = match self.is_view_confirmed() {
            true => self.wait_for_update(watch).await,
            false => self.reply_to(&watch.known),
        };
        if !self.is_view_confirmed() {
            reply.configuration = None;
            reply.store_view = None;
        }
        reply
    }

    /// Returns the age of the configuration's confirmation in milliseconds, rounded up, or [`UNKNOWN_AGE_MS`].
    fn configuration_confirmed_age_ms(&self) -> u64 {
        let confirmed_at = self.configuration_confirmed_at.get();
        confirmed_at.map_or(UNKNOWN_AGE_MS, |confirmed_at| confirmed_at.elapsed().as_millis() as u64 + 1)
    }

    fn is_newer_than(&self, known: &KnownVersions) -> bool {
        let own = self.known_versions();
        self.generation() > known.generation
            || own.store_view > known.store_view
            || own.core_view > known.core_view
            || (own.server_list != known.server_list && self.server_list_read_at.get().is_some())
    }

    fn reply_to(&self, known: &KnownVersions) -> WatchReply {
        let own = self.known_versions();
        let has_newer = self.generation() > known.generation;
        WatchReply {
            configuration: has_newer.then(|| self.texts.borrow_mut().encode_update(known.generation)),
            server_list: (own.server_list != known.server_list).then(|| self.server_list.borrow().clone()),
            server_list_age_ms: age_ms(self.server_list_age()),
            store_view: (own.store_view > known.store_view)
                .then(|| StoreView::clone(&self.store_view.borrow())),
            core_view: self
                .core_view
                .borrow()
                .as_ref()
                .filter(|_| own.core_view > known.core_view)
                .map(|view| View::clone(view)),
            confirmed_age_ms: age_ms(self.view_confirmation_age()),
            generation: self.generation(),
            configuration_confirmed_age_ms: self.configuration_confirmed_age_ms(),
        }
    }
}

/// Returns an age in milliseconds, rounded down, or [`UNKNOWN_AGE_MS`].
fn age_ms(age: Option<Duration>) -> u64 {
    age.map_or(UNKNOWN_AGE_MS, |age| age.as_millis() as u64)
}

/// Returns the node names of members, separated by spaces.
fn names(members: &[Member]) -> String {
    let names: Vec<&str> = members.iter().map(|member| member.identity.node.as_str()).collect();
    names.join(" ")
}
