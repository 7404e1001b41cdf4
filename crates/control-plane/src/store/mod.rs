//! A store: replicates groups of batch jobs with other stores, runs the items of the groups that it heads, and answers
//! submissions, cancellations and reads.

mod catch_up;
mod concurrency;
mod configuration_wait;
mod counters;
mod heartbeat;
mod item_run;
mod journal;
mod learner;
mod permits;
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
use fennelgauge_wire::{serve, Caller, Entry, Reply, Request, StoreReply, StoreRequest, UnwrittenReplies};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout_at, Instant};

use crate::disk::DiskHealth;
use crate::identity::identity;
use crate::process::SHUTDOWN_MARGIN;
use journal::{Journal, Record};

/// A checkpoint is written once this many bytes, or twice the size of the last checkpoint if that is more, were written
/// since the last one.
const MIN_CHECKPOINT_INTERVAL_BYTES: usize = 24 << 20;
/// Time between attempts to write to a disk that failed.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// How long a request for a view that is not known here yet waits for it.
const VIEW_WAIT_TIMEOUT: Duration = Duration::from_millis(400);

/// A store process: its replicas of the groups, its journal, and the items that it runs.
pub struct Store {
    me: Member,
    settings: Rc<Settings>,
    /// Configuration, server list and views that this process has.
    known: Rc<TierState>,
    caller: Caller,
    /// Servers that items can go to, and what is known of their load and health.
    pool: ServerPool,
    /// Sends items to servers.
    sender: RequestSender,
    journal: Journal,
    /// This store's replicas, by group number.
    groups: Vec<RefCell<Replica>>,
    /// The newest view in which an entry that was on the disk at start-up was made; this store takes part in no earlier one.
    min_view_epoch: u64,
    /// Entries made here that are not handed to the journal yet.
    pending_entries: RefCell<Vec<Entry>>,
    /// Notified when there are pending entries.
    flush_requested: Notify,
    /// Notified when a replica changes.
    group_changed: Notify,
    /// For each group, the view in which its successor was last found to be caught up.
    caught_up_successors: RefCell<HashMap<GroupNumber, u64>>,
    /// Groups that this store has copied as a learner, each with the view in which it did.
    learned_groups: RefCell<BTreeMap<GroupNumber, u64>>,
    /// Groups of which this store has everything as a joining member of the chain, each with the view in which it had.
    held_groups: RefCell<BTreeMap<GroupNumber, u64>>,
    /// Notified when there is something new to report to the head of the core.
    heartbeat_due: Notify,
    /// Items that run here.
    running: RefCell<HashMap<runner::ItemKey, AbortHandle>>,
    /// Number of running items by service.
    running_counts: RefCell<HashMap<String, runner::RunningCount>>,
    /// Limits on running items by service.
    concurrency_windows: RefCell<HashMap<String, concurrency::ConcurrencyWindow>>,
    /// Batch jobs that this store accepted as the head, and whose groups it has headed ever since.
    accepted_here: RefCell<HashMap<String, permits::AcceptedJob>>,
    /// Items that are left alone, each since when.
    resting_since: RefCell<HashMap<runner::ItemKey, Instant>>,
    /// Waits of batch jobs whose items are to wait until the core confirms the configuration known here or sends a newer one.
    awaiting_configuration: RefCell<HashMap<(GroupNumber, String), configuration_wait::ConfigurationWait>>,
    run_durations: RefCell<run_durations::RunDurations>,
    entry_counters: counters::EntryCounters,
    disk_health: Rc<DiskHealth>,
    /// Bytes handed to the journal since the last checkpoint.
    bytes_since_checkpoint: Cell<usize>,
    /// Size of the last checkpoint, in bytes.
    checkpoint_size: Cell<usize>,
}

/// Runs a store until a signal stops the process. Fails if the data directory cannot be read or the socket cannot be
/// opened.
pub async fn run(settings: Rc<Settings>) -> anyhow::Result<()> {
    let identity = identity(&settings)?;
    let store = Store::open(settings.clone(), identity)?;
    let listener = TcpListener::bind(settings.control_peer_address()).await?;
    let answering_store = store.clone();
    let replies = UnwrittenReplies::default();
    spawn_local(serve(listener, replies.clone(), move |request| answer(answering_store.clone(), request)));
    spawn_local(subscribe(store.known.clone(), store.caller.clone(), Subscription::new(&settings)));
    spawn_local(store.clone().flush_entries());
    spawn_local(store.clone().repair_successors());
    spawn_local(store.clone().request_catch_up());
    spawn_local(store.clone().retry_failed_disk());
    spawn_local(store.clone().send_heartbeats());
    spawn_local(store.clone().learn_groups());
    spawn_local(store.clone().run_items());
    let incarnation = getrandom::u64().unwrap_or(1);
    let subscription = Subscription::new(&settings);
    spawn_local(exchange_server_stats(
        store.pool.clone(),
        store.known.clone(),
        store.caller.clone(),
        subscription,
        incarnation,
    ));
    spawn_local(probe_connections(store.pool.clone(), store.sender.clone()));
    wait_for_shutdown_signal().await;
    let time_limit = store.settings.shutdown_grace().saturating_sub(SHUTDOWN_MARGIN);
    replies.wait_until_written(Instant::now() + time_limit).await;
    Ok(())
}

/// Answers a call from another process of the tier.
async fn answer(store: Rc<Store>, request: Request) -> Reply {
    match request {
        Request::Store(request) => Reply::Store(store.answer(request).await),
        Request::Watch(watch) => Reply::Watch(Box::new(store.known.wait_for_update(&watch).await)),
        _ => Reply::Unsupported,
    }
}

impl Store {
    /// Opens the journal and restores the groups from its records.
    fn open(settings: Rc<Settings>, identity: Identity) -> anyhow::Result<Rc<Self>> {
        let (journal, records) = Journal::open(settings.data_dir.as_deref())?;
        let mut groups: Vec<Replica> = (0..GROUP_COUNT).map(|_| Replica::default()).collect();
        for record in records {
            restore(&mut groups, record);
        }
        for replica in &mut groups {
            replica.mark_durable(replica.position());
        }
        let min_view_epoch = groups.iter().map(Replica::newest_epoch).max().unwrap_or(0);
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
            min_view_epoch,
            pending_entries: RefCell::default(),
            flush_requested: Notify::new(),
            group_changed: Notify::new(),
            caught_up_successors: RefCell::default(),
            learned_groups: RefCell::default(),
            held_groups: RefCell::default(),
            heartbeat_due: Notify::new(),
            running: RefCell::default(),
            running_counts: RefCell::default(),
            concurrency_windows: RefCell::default(),
            accepted_here: RefCell::default(),
            resting_since: RefCell::default(),
            awaiting_configuration: RefCell::default(),
            run_durations: RefCell::default(),
            entry_counters: counters::EntryCounters::default(),
            disk_health: Rc::default(),
            bytes_since_checkpoint: Cell::new(0),
            checkpoint_size: Cell::new(0),
        }))
    }

    /// Answers a request from a data plane or another store.
    async fn answer(self: &Rc<Self>, request: StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Submit { epoch, group, job, max_queued } => {
                self.submit(epoch, group, job, max_queued).await
            }
            StoreRequest::Cancel { epoch, group, tenant, job } => {
                self.cancel(epoch, group, &tenant, job).await
            }
            StoreRequest::ReadResults { epoch, group, tenant, job, start_after: start, wait_ms } => {
                let query = ReadQuery { tenant, job, start };
                self.read_results(epoch, group, query, Duration::from_millis(wait_ms)).await
            }
            StoreRequest::ReadItemBody { epoch, group, tenant, job, item } => {
                self.read_item_body(epoch, group, (&tenant, &job), &item).await
            }
            StoreRequest::Append { epoch, batches } => self.append(epoch, batches).await,
            StoreRequest::Position { epoch, group } => self.position_in_view(epoch, group).await,
            StoreRequest::RecheckGroups { epoch, groups } => self.recheck_groups(epoch, &groups),
            StoreRequest::FetchEntries { epoch, group, after } => {
                self.fetch_entries(epoch, group, after).await
            }
            StoreRequest::InstallSnapshot { epoch, group, snapshot: copy } => {
                self.install_copy(epoch, group, &copy).await
            }
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

    /// Returns the newest store view known here. Returns an empty one if this store took part in a later view before its
    /// restart, or if it has not heard from the core for so long that it may have been given up.
    fn view(&self) -> Rc<StoreView> {
        let view = self.known.store_view();
        let has_lease = self.known.view_confirmation_age().is_some_and(|age| age < STORE_LEASE_DURATION);
        match has_lease && view.epoch >= self.min_view_epoch {
            true => view,
            false => Rc::default(),
        }
    }

    /// Returns this store's number in a view.
    fn own_number(&self, view: &StoreView) -> Option<StoreNumber> {
        let own = view.stores.iter().find(|store| store.member.identity == self.me.identity);
        own.map(|store| store.number)
    }

    /// Returns this store's role in a group, or `None` if it does not belong to the group's chain.
    fn role(&self, view: &StoreView, group: GroupNumber) -> Option<Role> {
        Role::of(view, group, self.own_number(view)?)
    }

    /// Returns the view with this epoch, after waiting a little for it. Returns `None` if it does not become known in time
    /// or a later one is known.
    async fn wait_for_view(&self, epoch: u64) -> Option<Rc<StoreView>> {
        let until = Instant::now() + VIEW_WAIT_TIMEOUT;
        while self.view().epoch < epoch {
            timeout_at(until, self.known.changed()).await.ok()?;
        }
        Some(self.view()).filter(|view| view.epoch == epoch)
    }

    /// Returns the groups that this store heads.
    fn headed_groups(&self, view: &StoreView) -> Vec<GroupNumber> {
        let Some(own) = self.own_number(view) else { return Vec::new() };
        let heads =
            |group: &GroupNumber| view.group(*group).is_some_and(|held| held.chain.first() == Some(&own));
        GroupNumber::all().filter(heads).collect()
    }

    /// Returns the groups that this store may change.
    fn writable_groups(&self, view: &StoreView) -> Vec<GroupNumber> {
        let headed = self.headed_groups(view).into_iter();
        headed.filter(|group| self.accepts_changes(view, *group)).collect()
    }

    /// Returns the address of a store in a view.
    fn store_address(&self, view: &StoreView, store: StoreNumber) -> Option<SocketAddr> {
        view.store(store).map(|store| store.member.peer)
    }

    /// Hands records to the journal, and a checkpoint if enough was written since the last one. The records are handed over
    /// at once, also if the future is not awaited; it resolves to whether they are synced to the disk.
    fn write_records(&self, records: Vec<Record>) -> impl Future<Output = bool> {
        let size: usize = records.iter().map(record_size).sum();
        self.bytes_since_checkpoint.set(self.bytes_since_checkpoint.get() + size);
        let written = self.journal.write(&records, false);
        self.disk_health.begin();
        if self.bytes_since_checkpoint.get()
            >= MIN_CHECKPOINT_INTERVAL_BYTES.max(2 * self.checkpoint_size.get())
        {
            drop(self.write_checkpoint());
        }
        let health = self.disk_health.clone();
        async move {
            let written = written.await == Ok(true);
            health.end(written);
            written
        }
    }

    /// Hands snapshots of all groups to the journal, which may then delete older records.
    fn write_checkpoint(&self) -> tokio::sync::oneshot::Receiver<bool> {
        let snapshots: Vec<Record> = GroupNumber::all()
            .filter(|group| self.replica(*group).borrow().position().sequence > 0)
            .map(|group| Record::Snapshot { group, copy: self.replica(group).borrow().snapshot() })
            .collect();
        self.checkpoint_size.set(snapshots.iter().map(record_size).sum());
        self.bytes_since_checkpoint.set(0);
        self.journal.write(&snapshots, true)
    }

    /// After a failed write, writes a checkpoint again and again until one succeeds. Never returns.
    async fn retry_failed_disk(self: Rc<Self>) {
        loop {
            sleep(DISK_RETRY_INTERVAL).await;
            if !self.disk_health.has_failed() {
                continue;
            }
            let positions: Vec<_> =
                GroupNumber::all().map(|group| self.replica(group).borrow().position()).collect();
            self.disk_health.begin();
            let written = self.write_checkpoint().await == Ok(true);
            self.disk_health.end(written);
            if !written {
                continue;
            }
            for (group, position) in GroupNumber::all().zip(positions) {
                self.replica(group).borrow_mut().mark_durable(position);
            }
            self.group_changed.notify_waiters();
        }
    }
}

/// Applies a record of the journal to its group.
fn restore(groups: &mut [Replica], record: Record) {
    match record {
        Record::Entry(entry) => {
            let Some(replica) = groups.get_mut(usize::from(entry.group.0)) else { return };
            if !replica.restore_entry(&entry) {
                log::error!(
                    "group {}: journal entry at {:?} skipped: it does not follow the entry before it or cannot be decoded",
                    entry.group.0,
                    entry.position
                );
            }
        }
        Record::Snapshot { group, copy } => {
            let Some(replica) = groups.get_mut(usize::from(group.0)) else { return };
            if !replica.restore_snapshot(&copy) {
                log::error!(
                    "group {}: journal snapshot at {:?} skipped: it cannot be decoded",
                    group.0,
                    copy.position
                );
            }
        }
    }
}

/// Returns the approximate size of a record in the journal, in bytes.
fn record_size(record: &Record) -> usize {
    match record {
        Record::Entry(entry) => entry.command.len() + 32,
        Record::Snapshot { copy, .. } => copy.state.len() + 64,
    }
}

/// Returns this machine's wall-clock time in milliseconds since the Unix epoch.
fn wall_clock_ms() -> u64 {
    wall_clock().as_millis() as u64
}
