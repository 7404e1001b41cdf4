//! What a process knows of the tier. Versions only rise; whoever knows something can pass it on to watchers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{StoreView, View};
use fennelgauge_model::{Configuration, RoutingTable, ServerList};
use fennelgauge_wire::{ConfigurationUpdate, KnownVersions, WatchReply, WatchRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::configuration_texts::ConfigurationTexts;

/// A source whose view was confirmed by a majority within this time is in touch.
pub(crate) const IN_TOUCH: Duration = Duration::from_millis(1_500);

/// Shared by all parts of a process.
#[derive(Default)]
pub struct TierState {
    table: RefCell<Option<Rc<RoutingTable>>>,
    texts: RefCell<ConfigurationTexts>,
    /// The next news of the configuration are to be whole.
    wants_whole: Cell<bool>,
    servers: RefCell<ServerList>,
    servers_read: Cell<Option<Instant>>,
    stores: RefCell<Rc<StoreView>>,
    view: RefCell<Option<Rc<View>>>,
    confirmed: Cell<Option<Instant>>,
    changed: Notify,
}

impl TierState {
    /// Of a process that others watch: it keeps earlier configurations, so that watchers get changes only.
    pub fn for_source() -> Self {
        Self { texts: RefCell::new(ConfigurationTexts::with_earlier()), ..Self::default() }
    }

    /// The configuration in force, ready for look-ups.
    pub fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    pub fn generation(&self) -> u64 {
        self.texts.borrow().generation()
    }

    pub fn stores(&self) -> Rc<StoreView> {
        self.stores.borrow().clone()
    }

    pub fn view(&self) -> Option<Rc<View>> {
        self.view.borrow().clone()
    }

    pub fn servers(&self) -> std::cell::Ref<'_, ServerList> {
        self.servers.borrow()
    }

    /// How long ago the list of servers was read; none before the first.
    pub fn server_list_age(&self) -> Option<Duration> {
        self.servers_read.get().map(|read| read.elapsed())
    }

    /// How long ago the core's view was confirmed, as far as is known here.
    pub fn view_confirmation_age(&self) -> Option<Duration> {
        self.confirmed.get().map(|confirmed| confirmed.elapsed())
    }

    /// Waits for the next change of anything.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes a configuration unless it is older. One that cannot be read is left alone.
    pub fn update_configuration(&self, generation: u64, json: Vec<u8>) -> bool {
        if generation <= self.generation() {
            return false;
        }
        let configuration: Configuration = match serde_json::from_slice(&json) {
            Ok(configuration) => configuration,
            Err(reason) => {
                log::error!("configuration {generation} cannot be read and is left alone: {reason}");
                return false;
            }
        };
        *self.table.borrow_mut() = Some(Rc::new(RoutingTable::new(configuration)));
        self.texts.borrow_mut().put(generation, json);
        log::info!("configuration {generation} is in force");
        self.changed.notify_waiters();
        true
    }

    /// Takes a configuration as a source sent it. Changes that do not fit are left alone: the whole text is asked for.
    fn take_news(&self, news: &ConfigurationUpdate) {
        let read = self.texts.borrow().read(news);
        match read {
            Ok(json) => {
                self.wants_whole.set(false);
                self.update_configuration(news.generation, json);
            }
            Err(reason) => {
                log::warn!("configuration {}: {reason}", news.generation);
                self.wants_whole.set(true);
            }
        }
    }

    /// Takes a list of servers that was read `age` ago, unless a later reading is known.
    pub fn update_servers(&self, list: Option<ServerList>, age: Duration) {
        let Some(read) = Instant::now().checked_sub(age) else { return };
        if self.servers_read.get().is_some_and(|known| known >= read) {
            return;
        }
        self.servers_read.set(Some(read));
        if let Some(list) = list {
            *self.servers.borrow_mut() = list;
            self.changed.notify_waiters();
        }
    }

    pub fn update_stores(&self, stores: StoreView) {
        if stores.epoch > self.stores.borrow().epoch {
            *self.stores.borrow_mut() = Rc::new(stores);
            self.changed.notify_waiters();
        }
    }

    pub fn update_view(&self, view: &View) {
        let known = self.view.borrow().as_ref().map_or(0, |view| view.epoch);
        if view.epoch > known {
            *self.view.borrow_mut() = Some(Rc::new(view.clone()));
            self.changed.notify_waiters();
        }
    }

    /// The core's view was confirmed that long ago.
    pub fn update_view_confirmation(&self, age: Duration) {
        let Some(confirmed) = Instant::now().checked_sub(age) else { return };
        if self.confirmed.get().is_none_or(|known| known < confirmed) {
            self.confirmed.set(Some(confirmed));
        }
    }

    /// Takes all that is newer.
    pub fn apply_update(&self, news: WatchReply) {
        if let Some(configuration) = news.configuration {
            self.take_news(&configuration);
        }
        self.update_servers(news.server_list, Duration::from_millis(news.server_list_age_ms));
        if let Some(stores) = news.store_view {
            self.update_stores(stores);
        }
        if let Some(view) = news.core_view {
            self.update_view(&view);
        }
        self.update_view_confirmation(Duration::from_millis(news.confirmed_age_ms));
    }

    /// What this process has.
    pub fn known_versions(&self) -> KnownVersions {
        let servers = self.servers.borrow();
        KnownVersions {
            generation: if self.wants_whole.get() { 0 } else { self.generation() },
            server_list: (servers.reader_incarnation, servers.version),
            store_view: self.stores.borrow().epoch,
            core_view: self.view.borrow().as_ref().map_or(0, |view| view.epoch),
        }
    }

    /// Answers a watcher as soon as there is something newer, or when its time is up.
    pub async fn wait_for_update(&self, watch: &WatchRequest) -> WatchReply {
        let until = Instant::now() + Duration::from_millis(watch.wait_ms.min(5_000));
        loop {
            let changed = self.changed.notified();
            if self.is_newer_than(&watch.known) {
                return self.news(&watch.known);
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return self.news(&watch.known);
            }
        }
    }

    /// Whether this process, as a source, knew of a majority's agreement a moment ago.
    fn is_in_touch(&self) -> bool {
        self.view_confirmation_age().is_some_and(|age| age <= IN_TOUCH)
    }

    /// As [`TierState::wait_for_update`]; but a process that is out of touch with a majority answers at once, so that the watcher can try
    /// another, and gives out neither configuration nor stores: there may be newer ones, and a watcher that has just
    /// started could not tell.
    pub async fn wait_for_confirmed_update(&self, watch: &WatchRequest) -> WatchReply {
        let mut news = match self.is_in_touch() {
            true => self.wait_for_update(watch).await,
            false => self.news(&watch.known),
        };
        if !self.is_in_touch() {
            news.configuration = None;
            news.store_view = None;
        }
        news
    }

    fn is_newer_than(&self, have: &KnownVersions) -> bool {
        let own = self.known_versions();
        self.generation() > have.generation
            || own.store_view > have.store_view
            || own.core_view > have.core_view
            || (own.server_list != have.server_list && self.servers_read.get().is_some())
    }

    fn news(&self, have: &KnownVersions) -> WatchReply {
        let own = self.known_versions();
        let has_newer = self.generation() > have.generation;
        WatchReply {
            configuration: has_newer.then(|| self.texts.borrow_mut().news(have.generation)),
            server_list: (own.server_list != have.server_list).then(|| self.servers.borrow().clone()),
            server_list_age_ms: age_ms(self.server_list_age()),
            store_view: (own.store_view > have.store_view).then(|| StoreView::clone(&self.stores.borrow())),
            core_view: self
                .view
                .borrow()
                .as_ref()
                .filter(|_| own.core_view > have.core_view)
                .map(|view| View::clone(view)),
            confirmed_age_ms: age_ms(self.view_confirmation_age()),
        }
    }
}

/// In milliseconds; an hour where nothing is known.
fn age_ms(age: Option<Duration>) -> u64 {
    age.map_or(3_600_000, |age| age.as_millis() as u64)
}
