//! A store that runs its items on simulated time, without other stores; the test is its core.

use std::path::Path;

use fennelgauge_batch::{Command, Item, ItemLimits, ItemOutcome, Job};
use fennelgauge_coordination::{Group, StoreNumber};
use fennelgauge_wire::GroupSnapshot;
use tokio::task::{JoinHandle, LocalSet};

use super::super::*;

pub const GROUP: GroupNumber = GroupNumber(3);
pub const JOB: &str = "job";
/// Retries with which the job is accepted.
pub const RETRIES: u32 = 2;
/// Much longer than any wait of a store that is in touch with the core.
pub const LONG: Duration = Duration::from_secs(20);
/// Time within which a store that is in touch gives up what is to be given up.
pub const SOON: Duration = Duration::from_secs(2);
/// Age of the job in milliseconds: a retention of a second is over, whatever the margin for clocks that differ.
const AGE_MS: u64 = 30_000;

/// Returns a job of one item with one token that configuration 5 accepted.
pub fn job(id: &str, limits: ItemLimits) -> Job {
    let item = Item { id: "i".into(), path: "/p/i/1".into(), headers: vec![], body: vec![], tokens: 1 };
    Job {
        id: id.into(),
        tenant: "t".into(),
        route: "r".into(),
        host: "h".into(),
        received_ms: wall_clock_ms() - AGE_MS,
        generation: 5,
        limits,
        items: vec![item],
    }
}

/// A store that heads all groups and has accepted a job by configuration 5.
pub struct RunningStore(pub Rc<Store>, [JoinHandle<()>; 3]);

impl RunningStore {
    pub async fn start() -> Self {
        Self::start_with_job(Some(1_000)).await
    }

    /// Starts a store that has accepted a job with this retention.
    pub async fn start_with_job(retention_ms: Option<u64>) -> Self {
        let store = Self::start_empty();
        store.publish_view(1, true);
        store.accept_job(retention_ms);
        store
    }

    /// Starts a store that recovers what was recorded before a loss of power, in a view of its own.
    pub fn recover(recorded: &GroupSnapshot, epoch: u64) -> Self {
        let store = Self::start_empty();
        {
            let mut replica = store.0.replica(GROUP).borrow_mut();
            assert!(replica.restore_snapshot(recorded));
            replica.mark_durable(recorded.position);
        }
        store.publish_view(epoch, true);
        store.0.known.update_view_confirmation(Duration::ZERO);
        // The only link of the chain: what it has is committed.
        let role = store.0.role(&store.0.view(), GROUP).expect("a role");
        store.0.replica(GROUP).borrow_mut().mark_replicated(&role, recorded.position);
        store
    }

    /// Starts a store that holds nothing and knows no view.
    pub fn start_empty() -> Self {
        let text = "node = \"s0\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [1, 2]\n[tolerate]\nmachines = 0\n";
        let settings = Rc::new(Settings::parse(text, Path::new("test.toml")).expect("settings"));
        let identity = Identity { node: settings.node.clone(), disk: 1 };
        let store = Store::open(settings, identity).expect("opened");
        let flusher = spawn_local(store.clone().flush_entries());
        let repairer = spawn_local(store.clone().repair_successors());
        let runner = spawn_local(store.clone().run_items());
        Self(store, [runner, flusher, repairer])
    }

    /// The store loses power: it does nothing any more.
    pub fn lose_power(&self) {
        for task in &self.1 {
            task.abort();
        }
        self.0.stop_group(GROUP);
    }

    /// Returns what the links of the group's chain have recorded.
    pub fn recorded(&self) -> GroupSnapshot {
        self.0.replica(GROUP).borrow().snapshot()
    }

    /// Publishes a view in which the store heads all groups; they take no changes unless `is_open`.
    pub fn publish_view(&self, epoch: u64, is_open: bool) {
        const SILENT_HOLDER: StoreNumber = StoreNumber(9);
        let number = StoreNumber(0);
        let absent = if is_open { Vec::new() } else { vec![SILENT_HOLDER] };
        let group = Group { chain: vec![number], unchanged_since: vec![1], absent, ..Group::default() };
        let mut view = StoreView::default();
        view.epoch = epoch;
        view.stores.push(fennelgauge_coordination::Store {
            number,
            member: self.0.me.clone(),
            retiring: false,
        });
        view.groups = vec![group; usize::from(GROUP_COUNT)];
        self.0.known.update_store_view(view);
    }

    fn accept_job(&self, retention_ms: Option<u64>) {
        self.0.known.update_view_confirmation(Duration::ZERO);
        let limits = ItemLimits { retention_ms, retries: RETRIES };
        self.0.append_command(&self.0.view(), GROUP, Command::Accept(job(JOB, limits)));
    }

    pub fn configure(&self, generation: u64, routes: &str) {
        let json =
            format!(r#"{{"generation":{generation},"routes":[{routes}],"services":[{{"name":"s"}}]}}"#);
        assert!(self.0.known.update_configuration(generation, json.into_bytes()));
    }

    /// The core confirms that the configuration known to the store is the newest.
    pub fn confirm_configuration(&self) {
        self.0.known.update_configuration_confirmation(Instant::now());
    }

    /// Lets time pass in which the store takes part in its view.
    pub async fn pass(&self, time: Duration) {
        self.0.known.update_view_confirmation(Duration::ZERO);
        sleep(time).await;
    }

    pub fn outcomes(&self) -> Vec<ItemOutcome> {
        assert!(!self.1[0].is_finished(), "the task that runs items has panicked");
        let replica = self.0.replica(GROUP).borrow();
        let state = replica.state().job(JOB).expect("the job");
        state.results.iter().map(|result| result.outcome).collect()
    }
}

pub fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
