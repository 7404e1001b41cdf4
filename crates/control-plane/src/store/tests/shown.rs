//! What a reader has been shown stays: stores on loopback, driven step by step (incident TWICE).

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
const PATIENCE: Duration = Duration::from_secs(5);

fn local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A store that answers others unless it is deaf.
struct Running {
    store: Rc<Store>,
    deaf: Rc<Cell<bool>>,
}

/// Stores that bear the loss of two.
async fn stores(count: u8, salt: u32) -> Vec<Running> {
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
        let deaf = Rc::new(Cell::new(false));
        let answering = (store.clone(), deaf.clone());
        spawn_local(serve(listener, move |request| hear(answering.clone(), request)));
        spawn_local(store.clone().flush_entries());
        stores.push(Running { store, deaf });
    }
    stores
}

async fn hear((store, deaf): (Rc<Store>, Rc<Cell<bool>>), request: Request) -> Reply {
    match deaf.get() {
        true => std::future::pending().await,
        false => answer(store, request).await,
    }
}

/// A view in which all groups are placed alike.
fn view(stores: &[Running], epoch: u64, chain: &[u32], learner: Option<u32>) -> StoreView {
    let number = |number: &u32| StoreNumber(*number);
    let newcomer = |store| Assignment { store: StoreNumber(store), since_epoch: epoch };
    let unchanged_since = vec![epoch; chain.len()];
    let chain = chain.iter().map(number).collect();
    let group = Group { chain, unchanged_since, learner: learner.map(newcomer), ..Group::default() };
    let mut view = StoreView::default();
    view.epoch = epoch;
    for (place, running) in stores.iter().enumerate() {
        let member = running.store.me.clone();
        view.stores.push(fennelgauge_coordination::Store {
            number: StoreNumber(place as u32),
            member,
            retiring: false,
        });
    }
    view.groups = vec![group; usize::from(GROUP_COUNT)];
    view
}

fn tell(stores: &[Running], to: &[usize], view: &StoreView) {
    for place in to {
        let known = &stores[*place].store.known;
        known.update_view_confirmation(Duration::ZERO);
        known.update_stores(view.clone());
    }
}

fn job() -> Job {
    let item = |place: u32| Item {
        id: format!("item-{place}"),
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
        items: (0..2).map(item).collect(),
    }
}

fn finish(text: &str) -> Command {
    let result = ItemResult { item_index: 0, outcome: ItemOutcome::Succeeded, text: text.to_owned() };
    Command::RecordResults { job: JOB.into(), results: vec![result] }
}

async fn read(running: &Running, epoch: u64) -> Option<Page> {
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

fn text(page: &Page, position: usize) -> Option<String> {
    page.results.get(position).map(|(_, result)| result.text.clone())
}

/// A learner copies from the head what no other link has; the head falls silent; the learner is the tail of the rest.
#[test]
fn what_a_tail_shows_is_on_every_link_of_its_chain() {
    local(async {
        let stores = stores(4, 0).await;
        let first = view(&stores, 1, &[0, 1, 2], Some(3));
        tell(&stores, &[0, 1, 2, 3], &first);
        let head = &stores[0].store;
        assert!(matches!(head.submit(1, GROUP, job(), 0).await, StoreReply::Accepted));
        stores[1].deaf.set(true);
        let place = head.change(&first, GROUP, finish("by the first head"));
        assert!(head.synced(GROUP, place, Instant::now() + PATIENCE).await);
        let learner = &stores[3].store;
        let source = head.me.peer;
        for _ in 0..2 {
            learner.learn_group(1, GROUP, source).await;
        }

        stores[0].deaf.set(true);
        stores[1].deaf.set(false);
        let second = view(&stores, 2, &[1, 2, 3], None);
        tell(&stores, &[1, 2, 3], &second);
        let shown = read(&stores[3], 2).await.and_then(|page| text(&page, 0));

        let head = &stores[1].store;
        let mut all_level = false;
        for (from, to) in [(1, 2), (2, 3), (1, 2)] {
            let peer = stores[to].store.me.peer;
            all_level = stores[from].store.repair(2, GROUP, peer).await;
        }
        assert!(all_level, "each link is brought level by the one before it");
        let place = head.change(&second, GROUP, finish("by the second head"));
        assert!(head.committed(GROUP, place, Instant::now() + PATIENCE).await);
        let later = read(&stores[3], 2).await.and_then(|page| text(&page, 0));
        assert_eq!(later.as_deref(), Some("by the second head"));
        assert!(shown.is_none() || shown == later, "position 0 held {shown:?}, then {later:?}");
    });
}

/// A link has another entry at the place before the one that it is sent.
#[test]
fn an_entry_is_taken_only_after_the_one_it_was_made_after() {
    local(async {
        let stores = stores(2, 2).await;
        let view = view(&stores, 2, &[0, 1], None);
        tell(&stores, &[1], &view);
        let link = &stores[1].store;
        let shared = Command::Accept(job());
        let mut head = Replica::default();
        for replica in [&mut head, &mut *link.replica(GROUP).borrow_mut()] {
            replica.create_entry(GROUP, 1, shared.clone());
        }
        link.replica(GROUP).borrow_mut().create_entry(GROUP, 1, finish("made alone"));
        let first = head.create_entry(GROUP, 2, finish("of the chain"));
        let last = head.create_entry(GROUP, 2, Command::Cancel { job: JOB.into() });
        let batch =
            EntryBatch { group: GROUP, after: first.position, end: last.position, entries: vec![last] };
        let answer = link.answer(StoreRequest::Append { epoch: 2, batches: vec![batch] }).await;
        let StoreReply::Appended { replicated: reached } = answer else { panic!("{answer:?}") };
        assert!(reached.is_empty(), "a link that has another entry at the place before says that it has all");
    });
}

/// A store that took part in view 4 is told of view 3 after a restart, by a source that is a little late.
#[test]
fn after_a_restart_no_earlier_view_is_taken_part_in() {
    let folder = std::env::temp_dir().join(format!("fennelgauge-earlier-view-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let mut replica = Replica::default();
    let entry = replica.create_entry(GROUP, 4, Command::Accept(job()));
    let (journal, _) = Journal::open(Some(&folder)).expect("a journal");
    assert_eq!(journal.write(&[Record::Entry(entry)], false).blocking_recv(), Ok(true));
    drop(journal);
    local(async {
        let text = format!(
            "node = \"s0\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7001]\ndata_dir = {folder:?}\n"
        );
        let settings = Rc::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
        let store = Store::open(settings, Identity { node: "s0".into(), disk: 1 }).expect("opened");
        for (told, taken_part_in) in [(3, 0), (4, 4), (5, 5)] {
            let mut view = StoreView::default();
            view.epoch = told;
            store.known.update_view_confirmation(Duration::ZERO);
            store.known.update_stores(view);
            assert_eq!(store.view().epoch, taken_part_in, "told of view {told}");
        }
    });
    std::fs::remove_dir_all(folder).expect("removed");
}
