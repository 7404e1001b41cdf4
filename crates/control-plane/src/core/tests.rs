//! Tests of core members that talk to each other over real connections on loopback.

use std::path::Path;

use fennelgauge_coordination::{GiveUpRequest, GroupNumber, Planner, StoreReport, StoreView};
use fennelgauge_wire::{
    serve, ChangeKind, ChangeReply, ConfigurationChange, CoreReply, CoreRequest, Reply, WatchRequest,
};
use tokio::task::{spawn_local, JoinHandle, LocalSet};

use super::*;
use crate::state::StateChange;
use crate::test_ports::listeners;

mod dropped_callers;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Makes these tests search for free ports in another part of the range than other tests.
const CORE_SALT: u32 = 5;

fn run_local<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

struct Machine {
    core: Rc<Core>,
    /// While set, the machine answers no request.
    is_isolated: Rc<Cell<bool>>,
    running: JoinHandle<()>,
}

impl Machine {
    /// Isolates the machine: it neither receives messages nor sends any of its own accord.
    fn isolate(&self) {
        self.is_isolated.set(true);
        self.running.abort();
    }
}

/// Starts three machines without disks that have each other as seeds.
async fn start_three(salt: u32) -> Vec<Machine> {
    start_three_on(salt, |_| String::new()).await
}

/// Starts three machines that have each other as seeds. `disk` returns further settings of a machine.
async fn start_three_on(salt: u32, disk: impl Fn(usize) -> String) -> Vec<Machine> {
    let (first, listeners) = listeners(3, CORE_SALT + salt).await;
    let mut machines = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let ip = format!("127.0.0.{}", number + 1);
        let text = format!(
            "node = \"m{number}\"\nip = \"{ip}\"\nzone = \"z\"\nport_range = [{first}, {}]\nbootstrap = true\n\
             counts_for_quorum = true\nseeds = [\"127.0.0.1:1\", \"127.0.0.2:1\", \"127.0.0.3:1\"]\n\
             {}[tolerate]\nmachines = 1\n",
            first + 3,
            disk(number)
        );
        let settings = Rc::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
        let peer = settings.control_peer_address();
        let core = Core::open(settings, Rc::default(), Caller::default(), peer).expect("opened");
        let is_isolated = Rc::new(Cell::new(false));
        let answering = (core.clone(), is_isolated.clone());
        spawn_local(serve(listener, Default::default(), move |request| answer(answering.clone(), request)));
        let seeds = core.settings.seed_peer_addresses();
        let running = spawn_local(core.clone().run(move || seeds.clone()));
        machines.push(Machine { core, is_isolated, running });
    }
    machines
}

async fn answer((core, is_isolated): (Rc<Core>, Rc<Cell<bool>>), request: Request) -> Reply {
    match request {
        _ if is_isolated.get() => std::future::pending().await,
        Request::Core(request) => Reply::Core(core.answer(request).await),
        Request::Coordination(envelope) => {
            spawn_local(core.handle_message(*envelope));
            Reply::Acknowledged
        }
        _ => Reply::Unsupported,
    }
}

fn put(base_generation: u64, generation: u64) -> ConfigurationChange {
    let body = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes();
    ConfigurationChange { kind: ChangeKind::Put, base_generation, body }
}

/// Waits until a condition holds for one of the machines, and returns that machine.
async fn until(machines: &[Machine], what: &str, condition: impl Fn(&Core) -> bool) -> Rc<Core> {
    let started = Instant::now();
    loop {
        if let Some(found) = machines.iter().find(|machine| condition(&machine.core)) {
            return found.core.clone();
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{what} takes too long");
        let _ = timeout_at(Instant::now() + TICK_INTERVAL, machines[0].core.stepped.notified()).await;
    }
}

/// Sends a change until it is acknowledged.
async fn apply_change(core: &Rc<Core>, change: &ConfigurationChange) {
    let started = Instant::now();
    loop {
        match core.change_configuration(change).await {
            ChangeReply::Acknowledged => return,
            ChangeReply::Unavailable | ChangeReply::OutcomeUnknown => {}
            other => panic!("{other:?}"),
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "a change takes too long");
    }
}

#[test]
fn change_is_applied_once_by_the_head_and_read_at_the_tail() {
    run_local(async {
        let machines = start_three(0).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        apply_change(&head, &put(0, 7)).await;
        assert_eq!(
            head.change_configuration(&put(0, 7)).await,
            ChangeReply::Acknowledged,
            "known by its content"
        );
        assert_eq!(
            head.change_configuration(&put(0, 9)).await,
            ChangeReply::Conflict { current_generation: 7 }
        );
        for machine in &machines {
            until(std::slice::from_ref(machine), "news", |core| core.known.generation() >= 7).await;
            let is_tail = machine.core.view().tail() == Some(&machine.core.me);
            assert_eq!(
                machine.core.read_configuration().await.is_some(),
                is_tail,
                "only the tail answers reads"
            );
            let other = machine.core.change_configuration(&put(7, 8)).await;
            assert_eq!(other == ChangeReply::Unavailable, !machine.core.is_head());
            if machine.core.is_head() {
                assert_eq!(other, ChangeReply::Acknowledged);
            }
        }
    });
}

#[test]
fn isolated_machine_neither_acknowledges_nor_refuses_nor_hands_out_configurations() {
    run_local(async {
        let mut machines = start_three(1).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        apply_change(&head, &put(0, 7)).await;
        let index = machines.iter().position(|machine| Rc::ptr_eq(&machine.core, &head)).expect("the head");
        let old = machines.remove(index);
        old.isolate();
        let next = until(&machines, "another head", |core| core.is_head()).await;
        apply_change(&next, &put(7, 8)).await;
        // The isolated machine, which was the head, can say nothing for certain about any change.
        for change in [put(7, 8), put(7, 9), put(0, 9), put(8, 9)] {
            let reply = old.core.change_configuration(&change).await;
            assert!(
                matches!(reply, ChangeReply::Unavailable | ChangeReply::OutcomeUnknown),
                "{change:?}: {reply:?}"
            );
        }
        let retire = old.core.answer(CoreRequest::RetireStatus { node: "x".to_owned() }).await;
        assert!(matches!(retire, CoreReply::Retire(fennelgauge_wire::RetireReply::Unavailable)));
        assert!(matches!(
            old.core.answer(CoreRequest::ReadConfiguration).await,
            CoreReply::Configuration(None)
        ));
        let watch = WatchRequest { known: Default::default(), wait_ms: 0 };
        let started = Instant::now();
        while old.core.known.wait_for_confirmed_update(&watch).await.configuration.is_some() {
            assert!(started.elapsed() < TEST_TIMEOUT, "it hands out an old configuration");
            sleep(TICK_INTERVAL).await;
        }
        assert!(!old.core.is_confirmed());
    });
}

/// Guards against a refusal that was decided as the head of one view and confirmed by the voters of the next one, in which
/// another head may have taken the same change.
#[test]
fn refusal_decided_in_a_view_that_has_ended_is_not_confirmed_by_the_next_view() {
    run_local(async {
        let machines = start_three(2).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        apply_change(&head, &put(0, 7)).await;
        let refused = put(0, 9);
        // The change waits for its turn before the news of the next view, as after a freeze.
        let other_step = head.step_lock.lock().await;
        let changing = head.clone();
        let reply = spawn_local(async move { changing.change_configuration(&refused).await });
        tokio::task::yield_now().await;
        let next = next_view_without_head(&head);
        for machine in &machines {
            let from = machine.core.me.clone();
            let message = Message::InstallView { view: next.clone() };
            spawn_local(machine.core.clone().handle_message(Envelope { from, message }));
        }
        tokio::task::yield_now().await;
        drop(other_step);
        assert_eq!(reply.await.expect("a reply"), ChangeReply::Unavailable);
        assert!(head.epoch() >= next.epoch, "the next view was installed before the refusal was confirmed");
    });
}

/// Returns the view that follows the head's, in which the head is a voter only.
fn next_view_without_head(head: &Core) -> View {
    let view = head.view();
    let chain = view.chain.iter().filter(|link| **link != head.me).cloned().collect();
    let start = head.coordinator.borrow().replica().version();
    View { epoch: view.epoch + 1, chain, start, ..view }
}

/// Guards against a panic of the head at an order to give up a group of which it never heard a holder.
#[test]
fn order_to_give_up_a_group_whose_holders_were_never_heard_is_answered() {
    run_local(async {
        let machines = start_three(3).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        let reports: Vec<StoreReport> = (0..3).map(store_report).collect();
        let stores = Planner::new(1, &reports, true).plan(&StoreView::default()).expect("a placement");
        let epoch = stores.epoch;
        let placement = StateChange::Placement { stores: Some(stores), emptied: Vec::new() };
        let written = head.write(|_| Ok::<_, ()>(placement)).await;
        assert!(matches!(written, Ok(Ok(()))));
        let order = GiveUpRequest { group: GroupNumber(0), epoch, holders: Vec::new(), forced: true };
        let reply = head.give_up_group(&order).await;
        assert!(matches!(reply, fennelgauge_wire::GiveUpReply::Refused(_)), "{reply:?}");
    });
}

fn store_report(number: u8) -> StoreReport {
    let identity = Identity { node: format!("store-{number}"), disk: 1 };
    let peer = SocketAddr::from(([127, 0, 1, number], 7360));
    let member = Member { identity, peer, zone: format!("z{number}"), region: String::new() };
    StoreReport { member, copied_groups: Vec::new(), held_groups: Vec::new() }
}
