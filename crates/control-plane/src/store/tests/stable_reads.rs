//! Results that a reader was shown must never change, and only the head may refuse a batch job. The tests drive stores on loopback
//! step by step through the situations in which a reader could be shown an entry that is replaced later, or a client be refused
//! by a store that has been replaced as the head.

use std::path::Path;

use fennelgauge_batch::{Command, Item, ItemOutcome, ItemResult, Job, Page};
use fennelgauge_coordination::{Assignment, Group, StoreNumber};
use fennelgauge_wire::EntryBatch;
use tokio::task::LocalSet;

use super::super::*;
use crate::test_ports::listeners;

const TENANT: &str = "t";
const JOB: &str = "job";
const GROUP: GroupNumber = GroupNumber(3);
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A store that answers other stores unless it is unresponsive.
struct RunningStore {
    store: Rc<Store>,
    is_unresponsive: Rc<Cell<bool>>,
}

/// Starts stores that tolerate two failures.
async fn start_stores(count: u8, salt: u32) -> Vec<RunningStore> {
    let (port, listeners) = listeners(count, salt).await;
    let mut stores = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let text = format!(
            "node = \"s{number}\"\nip = \"127.0.0.{}\"\nzone = \"z{number}\"\nport_range = [{port}, {}]\n\
             [tolerate]\nmachines = 2\n",
            number + 1,
            port + 1
        );
        let settings = Rc::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
        let identity = Identity { node: settings.node.clone(), disk: number as u64 + 1 };
        let store = Store::open(settings, identity).expect("opened");
        let is_unresponsive = Rc::new(Cell::new(false));
        let context = (store.clone(), is_unresponsive.clone());
        spawn_local(serve(listener, Default::default(), move |request| {
            answer_if_responsive(context.clone(), request)
        }));
        spawn_local(store.clone().flush_entries());
        stores.push(RunningStore { store, is_unresponsive });
    }
    stores
}

async fn answer_if_responsive(
    (store, is_unresponsive): (Rc<Store>, Rc<Cell<bool>>),
    request: Request,
) -> Reply {
    match is_unresponsive.get() {
        true => std::future::pending().await,
        false => answer(store, request).await,
    }
}

/// Returns a view in which all groups have the same chain and learner.
fn view(stores: &[RunningStore], epoch: u64, chain: &[u32], learner: Option<u32>) -> StoreView {
    let number = |number: &u32| StoreNumber(*number);
    let newcomer = |store| Assignment { store: StoreNumber(store), since_epoch: epoch };
    let unchanged_since = vec![epoch; chain.len()];
    let chain = chain.iter().map(number).collect();
    let group = Group { chain, unchanged_since, learner: learner.map(newcomer), ..Group::default() };
    let mut view = StoreView::default();
    view.epoch = epoch;
    for (number, running) in stores.iter().enumerate() {
        let member = running.store.me.clone();
        view.stores.push(fennelgauge_coordination::Store {
            number: StoreNumber(number as u32),
            member,
            retiring: false,
        });
    }
    view.groups = vec![group; usize::from(GROUP_COUNT)];
    view
}

/// Makes a view and its confirmation known to the stores with these indexes.
fn publish_view(stores: &[RunningStore], to: &[usize], view: &StoreView) {
    for index in to {
        let known = &stores[*index].store.known;
        known.update_view_confirmation(Duration::ZERO);
        known.update_store_view(view.clone());
    }
}

fn job() -> Job {
    let item = |index: u32| Item {
        id: format!("item-{index}"),
        path: "/p/".into(),
        headers: vec![],
        body: vec![1],
        tokens: 5,
    };
    Job {
        id: JOB.into(),
        tenant: TENANT.into(),
        route: "r".into(),
        host: "h".into(),
        received_ms: 0,
        generation: 0,
        limits: Default::default(),
        items: (0..2).map(item).collect(),
    }
}

/// Returns a command that records this text as the result of the first item.
fn record_result(text: &str) -> Command {
    let result = ItemResult { item_index: 0, outcome: ItemOutcome::Succeeded, text: text.to_owned() };
    Command::RecordResults { job: JOB.into(), results: vec![result] }
}

/// Reads the first page of results, or returns `None` if the store does not answer reads.
async fn read_page(running: &RunningStore, epoch: u64) -> Option<Page> {
    let read = StoreRequest::ReadResults {
        epoch,
        group: GROUP,
        tenant: TENANT.into(),
        job: JOB.into(),
        start_after: 0,
        wait_ms: 0,
    };
    match running.store.answer(read).await {
        StoreReply::Page(page) => Some(page),
        _ => None,
    }
}

fn result_text(page: &Page, position: usize) -> Option<String> {
    page.results.get(position).map(|(_, result)| result.text.clone())
}

/// A learner copies an entry from the head that no other store of the chain has. Then the head fails, and the learner
/// becomes the tail of the remaining chain, whose new head replaces the entry.
#[test]
fn tail_shows_only_entries_that_its_whole_chain_has() {
    run_local(async {
        let stores = start_stores(4, 0).await;
        let first = view(&stores, 1, &[0, 1, 2], Some(3));
        publish_view(&stores, &[0, 1, 2, 3], &first);
        let head = &stores[0].store;
        assert!(matches!(head.submit(1, GROUP, job(), 0).await, StoreReply::Accepted));
        stores[1].is_unresponsive.set(true);
        let position = head.append_command(&first, GROUP, record_result("by the first head"));
        assert!(head.wait_synced(GROUP, position, Instant::now() + TEST_TIMEOUT).await);
        let learner = &stores[3].store;
        let source = head.me.peer;
        for _ in 0..2 {
            learner.learn_group(1, GROUP, source).await;
        }

        stores[0].is_unresponsive.set(true);
        stores[1].is_unresponsive.set(false);
        let second = view(&stores, 2, &[1, 2, 3], None);
        publish_view(&stores, &[1, 2, 3], &second);
        let shown = read_page(&stores[3], 2).await.and_then(|page| result_text(&page, 0));

        let head = &stores[1].store;
        let mut all_caught_up = false;
        for (from, to) in [(1, 2), (2, 3), (1, 2)] {
            let peer = stores[to].store.me.peer;
            all_caught_up = stores[from].store.repair(2, GROUP, peer).await;
        }
        assert!(all_caught_up, "each store is caught up by the one before it");
        let position = head.append_command(&second, GROUP, record_result("by the second head"));
        assert!(head.wait_committed(GROUP, position, Instant::now() + TEST_TIMEOUT).await);
        let later = read_page(&stores[3], 2).await.and_then(|page| result_text(&page, 0));
        assert_eq!(later.as_deref(), Some("by the second head"));
        assert!(shown.is_none() || shown == later, "position 0 held {shown:?}, then {later:?}");
    });
}

/// Guards against a batch job refused for its quota by a former head, though the present head has taken it.
#[test]
fn former_head_that_does_not_know_of_its_successor_refuses_nothing_for_the_quota() {
    const TAKES_ONE: u64 = 10;
    run_local(async {
        let stores = start_stores(4, 4).await;
        let first = view(&stores, 1, &[0, 1, 2], None);
        publish_view(&stores, &[0, 1, 2], &first);
        let another = Job { id: "another".into(), ..job() };
        assert!(matches!(stores[0].store.submit(1, GROUP, job(), TAKES_ONE).await, StoreReply::Accepted));
        let full = stores[0].store.submit(1, GROUP, another.clone(), TAKES_ONE).await;
        assert!(matches!(full, StoreReply::OverQuota), "the head itself: {full:?}");

        let second = view(&stores, 2, &[1, 2, 3], None);
        publish_view(&stores, &[1, 2, 3], &second);
        let refused = stores[0].store.submit(1, GROUP, another, TAKES_ONE).await;
        assert!(matches!(refused, StoreReply::NotAccepted), "the former head: {refused:?}");
    });
}

/// A store has another entry at the position before the entry that it is sent.
#[test]
fn entry_is_appended_only_after_the_entry_that_it_was_made_after() {
    run_local(async {
        let stores = start_stores(2, 2).await;
        let view = view(&stores, 2, &[0, 1], None);
        publish_view(&stores, &[1], &view);
        let link = &stores[1].store;
        let shared = Command::Accept(job());
        let mut head = Replica::default();
        for replica in [&mut head, &mut *link.replica(GROUP).borrow_mut()] {
            replica.create_entry(GROUP, 1, shared.clone());
        }
        link.replica(GROUP).borrow_mut().create_entry(GROUP, 1, record_result("made alone"));
        let first = head.create_entry(GROUP, 2, record_result("of the chain"));
        let last = head.create_entry(GROUP, 2, Command::Cancel { job: JOB.into() });
        let batch =
            EntryBatch { group: GROUP, after: first.position, end: last.position, entries: vec![last] };
        let answer = link.answer(StoreRequest::Append { epoch: 2, batches: vec![batch] }).await;
        let StoreReply::Appended { replicated: reached } = answer else { panic!("{answer:?}") };
        assert!(
            reached.is_empty(),
            "a store with another entry at the position before reports that it has the batch"
        );
    });
}

/// A store that took part in view 4 restarts and receives view 3 from a source that is slightly out of date.
#[test]
fn store_takes_part_in_no_earlier_view_after_a_restart() {
    let folder = std::env::temp_dir().join(format!("fennelgauge-earlier-view-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let mut replica = Replica::default();
    let entry = replica.create_entry(GROUP, 4, Command::Accept(job()));
    let (journal, _) = Journal::open(Some(&folder)).expect("a journal");
    assert_eq!(journal.write(&[Record::Entry(entry)], false).blocking_recv(), Ok(true));
    drop(journal);
    run_local(async {
        let text = format!(
            "node = \"s0\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7001]\ndata_dir = {folder:?}\n"
        );
        let settings = Rc::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
        let store = Store::open(settings, Identity { node: "s0".into(), disk: 1 }).expect("opened");
        for (published, expected) in [(3, 0), (4, 4), (5, 5)] {
            let mut view = StoreView::default();
            view.epoch = published;
            store.known.update_view_confirmation(Duration::ZERO);
            store.known.update_store_view(view);
            assert_eq!(store.view().epoch, expected, "view {published} is published");
        }
    });
    std::fs::remove_dir_all(folder).expect("removed");
}
