//! A store: keeps groups of batch jobs with other stores, runs their items, answers what becomes of them.

mod concurrency;
mod counters;
mod heartbeat;
mod item_run;
mod journal;
mod learner;
mod level;
mod replication;
mod run_durations;
mod runner;
mod serving;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{
    GroupNumber, Identity, Member, StoreNumber, StoreView, GROUP_COUNT, STORE_LEASE_DURATION,
};
use fennelgauge_http::wait_for_shutdown_signal;
use fennelgauge_replication::{ReadQuery, Replica, Role};
use fennelgauge_settings::Settings;
use fennelgauge_upstream::{
    exchange_server_stats, probe_connections, subscribe, wall_clock, RequestSender, ServerPool, Subscription,
    TierState,
};
use fennelgauge_wire::{serve, Caller, Entry, Reply, Request, StoreReply, StoreRequest};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout_at, Instant};

use crate::disk::DiskHealth;
use crate::identity::identity;
use journal::{Journal, Record};

/// A whole write is made once so much has been written since the last one, or twice its size.
const WHOLE_WRITE_AFTER: usize = 24 << 20;
const TRY_DISK_EVERY: Duration = Duration::from_millis(400);
/// Work for the next view waits so long for the news of it.
const NEWS_PATIENCE: Duration = Duration::from_millis(400);

/// One store.
pub struct Store {
    me: Member,
    settings: Rc<Settings>,
    known: Rc<TierState>,
    caller: Caller,
    pool: ServerPool,
    sender: RequestSender,
    journal: Journal,
    groups: Vec<RefCell<Replica>>,
    /// The newest view in which an entry on the disk was made when this store began: it takes part in no earlier one.
    earliest_view: u64,
    /// Entries made here that are not handed to the journal yet.
    pending: RefCell<Vec<Entry>>,
    flush: Notify,
    /// Something changed in a group.
    changed: Notify,
    /// The view in which a group's successor was last found level.
    checked: RefCell<HashMap<GroupNumber, u64>>,
    /// Groups that this store has copied as a learner, and the view of that.
    copied: RefCell<BTreeMap<GroupNumber, u64>>,
    /// Groups of which this store has everything, as a joining link, and the view of that.
    holds: RefCell<BTreeMap<GroupNumber, u64>>,
    /// There is something new to tell the head of the core.
    heartbeat_due: Notify,
    running: RefCell<HashMap<runner::ItemKey, AbortHandle>>,
    /// By service.
    running_counts: RefCell<HashMap<String, runner::RunningCount>>,
    concurrency_windows: RefCell<HashMap<String, concurrency::ConcurrencyWindow>>,
    /// Batch jobs that were taken while this store was the head, as it has been ever since.
    accepted_here: RefCell<HashMap<String, GroupNumber>>,
    run_durations: RefCell<run_durations::RunDurations>,
    entry_counters: counters::EntryCounters,
    disk_health: Rc<DiskHealth>,
    /// Bytes handed to the journal since the last whole write, and the size of that.
    written: Cell<usize>,
    whole_size: Cell<usize>,
}

/// Runs a store until a signal ends it.
pub async fn run(settings: Rc<Settings>) -> anyhow::Result<()> {
    let identity = identity(&settings)?;
    let store = Store::open(settings.clone(), identity)?;
    let listener = TcpListener::bind(settings.control_peer_address()).await?;
    let answering = store.clone();
    spawn_local(serve(listener, move |request| answer(answering.clone(), request)));
    spawn_local(subscribe(store.known.clone(), store.caller.clone(), Subscription::new(&settings)));
    spawn_local(store.clone().flush_entries());
    spawn_local(store.clone().repair_successors());
    spawn_local(store.clone().keep_level());
    spawn_local(store.clone().try_failed_disk());
    spawn_local(store.clone().send_heartbeats());
    spawn_local(store.clone().learn());
    spawn_local(store.clone().run_items());
    let life = getrandom::u64().unwrap_or(1);
    let sharing = Subscription::new(&settings);
    spawn_local(exchange_server_stats(
        store.pool.clone(),
        store.known.clone(),
        store.caller.clone(),
        sharing,
        life,
    ));
    spawn_local(probe_connections(store.pool.clone(), store.sender.clone()));
    wait_for_shutdown_signal().await;
    Ok(())
}

async fn answer(store: Rc<Store>, request: Request) -> Reply {
    match request {
        Request::Store(request) => Reply::Store(store.answer(request).await),
        Request::Watch(watch) => Reply::Watch(Box::new(store.known.wait_for_update(&watch).await)),
        _ => Reply::Unsupported,
    }
}

impl Store {
    fn open(settings: Rc<Settings>, identity: Identity) -> anyhow::Result<Rc<Self>> {
        let (journal, records) = Journal::open(settings.data_dir.as_deref())?;
        let mut groups: Vec<Replica> = (0..GROUP_COUNT).map(|_| Replica::default()).collect();
        for record in records {
            restore(&mut groups, record);
        }
        for replica in &mut groups {
            replica.mark_durable(replica.position());
        }
        let earliest_view = groups.iter().map(Replica::newest_epoch).max().unwrap_or(0);
        let groups = groups.into_iter().map(RefCell::new).collect();
        let peer = settings.advertised_peer_address();
        let me = Member { identity, peer, zone: settings.zone.clone(), region: settings.region.clone() };
        Ok(Rc::new(Self {
            me,
            pool: ServerPool::new(&settings.zone, &settings.policy),
            sender: RequestSender::new(&settings.policy),
            caller: Caller::with_source(settings.peer_source_ip()),
            settings,
            known: Rc::default(),
            journal,
            groups,
            earliest_view,
            pending: RefCell::default(),
            flush: Notify::new(),
            changed: Notify::new(),
            checked: RefCell::default(),
            copied: RefCell::default(),
            holds: RefCell::default(),
            heartbeat_due: Notify::new(),
            running: RefCell::default(),
            running_counts: RefCell::default(),
            concurrency_windows: RefCell::default(),
            accepted_here: RefCell::default(),
            run_durations: RefCell::default(),
            entry_counters: counters::EntryCounters::default(),
            disk_health: Rc::default(),
            written: Cell::new(0),
            whole_size: Cell::new(0),
        }))
    }

    async fn answer(self: &Rc<Self>, request: StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Submit { epoch, group, job, max_queued: most_queued } => {
                self.submit(epoch, group, job, most_queued).await
            }
            StoreRequest::Cancel { epoch, group, tenant, job } => self.end(epoch, group, &tenant, job).await,
            StoreRequest::ReadResults { epoch, group, tenant, job, start_after: start, wait_ms } => {
                let query = ReadQuery { tenant, job, start };
                self.read(epoch, group, query, Duration::from_millis(wait_ms)).await
            }
            StoreRequest::ReadItemBody { epoch, group, tenant, job, item } => {
                self.body(epoch, group, (&tenant, &job), &item).await
            }
            StoreRequest::Append { epoch, batches } => self.append(epoch, batches).await,
            StoreRequest::Position { epoch, group } => self.position(epoch, group).await,
            StoreRequest::RecheckGroups { epoch, groups } => self.check_again(epoch, &groups),
            StoreRequest::FetchEntries { epoch, group, after } => self.fetch(epoch, group, after).await,
            StoreRequest::InstallCopy { epoch, group, copy } => self.install(epoch, group, &copy).await,
            StoreRequest::Counters => StoreReply::Counters(counters::snapshot(
                self.journal.counters(),
                &self.entry_counters,
                self.caller.stats(),
            )),
        }
    }

    fn replica(&self, group: GroupNumber) -> &RefCell<Replica> {
        &self.groups[usize::from(group.0) % self.groups.len()]
    }

    /// The newest view known here; an empty one while only earlier ones are known than this store took part in, and while the
    /// core was not heard for so long that this store may have been given up.
    fn view(&self) -> Rc<StoreView> {
        let view = self.known.stores();
        let has_lease = self.known.view_confirmation_age().is_some_and(|age| age < STORE_LEASE_DURATION);
        match has_lease && view.epoch >= self.earliest_view {
            true => view,
            false => Rc::default(),
        }
    }

    /// This store's number in a view.
    fn number(&self, view: &StoreView) -> Option<StoreNumber> {
        let own = view.stores.iter().find(|store| store.member.identity == self.me.identity);
        own.map(|store| store.number)
    }

    /// This store's part in a group; none if it is no link of the chain.
    fn role(&self, view: &StoreView, group: GroupNumber) -> Option<Role> {
        Role::of(view, group, self.number(view)?)
    }

    /// The view of that epoch, waiting a little for the news of it; none if it is not the newest here.
    async fn view_of(&self, epoch: u64) -> Option<Rc<StoreView>> {
        let until = Instant::now() + NEWS_PATIENCE;
        while self.view().epoch < epoch {
            timeout_at(until, self.known.changed()).await.ok()?;
        }
        Some(self.view()).filter(|view| view.epoch == epoch)
    }

    /// The groups that this store heads.
    fn headed(&self, view: &StoreView) -> Vec<GroupNumber> {
        let Some(own) = self.number(view) else { return Vec::new() };
        let heads =
            |group: &GroupNumber| view.group(*group).is_some_and(|held| held.chain.first() == Some(&own));
        GroupNumber::all().filter(heads).collect()
    }

    /// The groups that this store may change.
    fn writable_groups(&self, view: &StoreView) -> Vec<GroupNumber> {
        let headed = self.headed(view).into_iter();
        headed.filter(|group| self.accepts_changes(view, *group)).collect()
    }

    fn peer(&self, view: &StoreView, store: StoreNumber) -> Option<SocketAddr> {
        view.store(store).map(|store| store.member.peer)
    }

    /// Hands records to the journal, and whole copies of all groups once enough was written. Handed over when called; true
    /// once on disk.
    fn journal_records(&self, records: Vec<Record>) -> impl Future<Output = bool> {
        let size: usize = records.iter().map(record_size).sum();
        self.written.set(self.written.get() + size);
        let written = self.journal.write(&records, false);
        self.disk_health.begin();
        if self.written.get() >= WHOLE_WRITE_AFTER.max(2 * self.whole_size.get()) {
            drop(self.journal_all());
        }
        let health = self.disk_health.clone();
        async move {
            let written = written.await == Ok(true);
            health.end(written);
            written
        }
    }

    /// Hands whole copies of all groups to the journal: what is older may go then.
    fn journal_all(&self) -> tokio::sync::oneshot::Receiver<bool> {
        let whole: Vec<Record> = GroupNumber::all()
            .filter(|group| self.replica(*group).borrow().position().sequence > 0)
            .map(|group| Record::Snapshot { group, copy: self.replica(group).borrow().snapshot() })
            .collect();
        self.whole_size.set(whole.iter().map(record_size).sum());
        self.written.set(0);
        self.journal.write(&whole, true)
    }

    /// After a failed write, tries to write everything anew until the disk takes it, without end.
    async fn try_failed_disk(self: Rc<Self>) {
        loop {
            sleep(TRY_DISK_EVERY).await;
            if !self.disk_health.has_failed() {
                continue;
            }
            let positions: Vec<_> =
                GroupNumber::all().map(|group| self.replica(group).borrow().position()).collect();
            self.disk_health.begin();
            let written = self.journal_all().await == Ok(true);
            self.disk_health.end(written);
            if !written {
                continue;
            }
            for (group, position) in GroupNumber::all().zip(positions) {
                self.replica(group).borrow_mut().mark_durable(position);
            }
            self.changed.notify_waiters();
        }
    }
}

fn restore(groups: &mut [Replica], record: Record) {
    match record {
        Record::Entry(entry) => {
            let Some(replica) = groups.get_mut(usize::from(entry.group.0)) else { return };
            if !replica.restore_entry(&entry) {
                log::error!("group {}: entry {:?} does not fit", entry.group.0, entry.position);
            }
        }
        Record::Snapshot { group, copy } => {
            let Some(replica) = groups.get_mut(usize::from(group.0)) else { return };
            if !replica.restore_snapshot(&copy) {
                log::error!("group {}: its copy up to {:?} cannot be read", group.0, copy.position);
            }
        }
    }
}

fn record_size(record: &Record) -> usize {
    match record {
        Record::Entry(entry) => entry.command.len() + 32,
        Record::Snapshot { copy, .. } => copy.state.len() + 64,
    }
}

/// Milliseconds since 1970 on this machine's clock.
fn wall_clock_ms() -> u64 {
    wall_clock().as_millis() as u64
}
