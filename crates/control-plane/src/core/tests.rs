//! The process around the state machines, over real connections on loopback.

use std::path::Path;

use fennelgauge_wire::{
    serve, ChangeKind, ChangeReply, ConfigurationChange, CoreReply, CoreRequest, Reply, WatchRequest,
};
use tokio::task::{spawn_local, JoinHandle, LocalSet};

use super::*;
use crate::test_ports::listeners;

const PATIENCE: Duration = Duration::from_secs(20);
/// Other tests search their ports from other places.
const CORE_SALT: u32 = 5;

fn local<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

struct Machine {
    core: Rc<Core>,
    /// Nothing reaches it while this is set.
    cut_off: Rc<Cell<bool>>,
    keeping: JoinHandle<()>,
}

impl Machine {
    /// Cuts it off: it neither hears nor does anything of itself any more.
    fn cut_off(&self) {
        self.cut_off.set(true);
        self.keeping.abort();
    }
}

/// Three machines that are each other's seeds.
async fn three(salt: u32) -> Vec<Machine> {
    let (first, listeners) = listeners(3, CORE_SALT + salt).await;
    let mut machines = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let ip = format!("127.0.0.{}", number + 1);
        let text = format!(
            "node = \"m{number}\"\nip = \"{ip}\"\nzone = \"z\"\nport_range = [{first}, {}]\nbootstrap = true\n\
             counts_for_quorum = true\nseeds = [\"127.0.0.1:1\", \"127.0.0.2:1\", \"127.0.0.3:1\"]\n\
             [tolerate]\nmachines = 1\n",
            first + 3
        );
        let settings = Rc::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
        let peer = settings.control_peer_address();
        let core = Core::open(settings, Rc::default(), Caller::default(), peer).expect("opened");
        let cut_off = Rc::new(Cell::new(false));
        let answering = (core.clone(), cut_off.clone());
        spawn_local(serve(listener, move |request| answer(answering.clone(), request)));
        let keeping = spawn_local(core.clone().run());
        machines.push(Machine { core, cut_off, keeping });
    }
    machines
}

async fn answer((core, cut_off): (Rc<Core>, Rc<Cell<bool>>), request: Request) -> Reply {
    match request {
        _ if cut_off.get() => std::future::pending().await,
        Request::Core(request) => Reply::Core(core.answer(request).await),
        Request::Coordination(envelope) => {
            spawn_local(core.handle_message(*envelope));
            Reply::Acknowledged
        }
        _ => Reply::Unsupported,
    }
}

fn order(base: u64, generation: u64) -> ConfigurationChange {
    let body = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes();
    ConfigurationChange { kind: ChangeKind::Put, base_generation: base, body }
}

/// Waits for a machine of which something is true.
async fn until(machines: &[Machine], what: &str, wanted: impl Fn(&Core) -> bool) -> Rc<Core> {
    let began = Instant::now();
    loop {
        if let Some(found) = machines.iter().find(|machine| wanted(&machine.core)) {
            return found.core.clone();
        }
        assert!(began.elapsed() < PATIENCE, "{what} takes too long");
        let _ = timeout_at(Instant::now() + TICK_EVERY, machines[0].core.moved.notified()).await;
    }
}

async fn acknowledged(core: &Rc<Core>, order: &ConfigurationChange) {
    let began = Instant::now();
    loop {
        match core.order_here(order).await {
            ChangeReply::Acknowledged => return,
            ChangeReply::Unavailable | ChangeReply::OutcomeUnknown => {}
            other => panic!("{other:?}"),
        }
        assert!(began.elapsed() < PATIENCE, "an order takes too long");
    }
}

#[test]
fn an_order_is_taken_once_by_the_head_and_read_at_the_tail() {
    local(async {
        let machines = three(0).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        acknowledged(&head, &order(0, 7)).await;
        assert_eq!(head.order_here(&order(0, 7)).await, ChangeReply::Acknowledged, "known by its content");
        assert_eq!(head.order_here(&order(0, 9)).await, ChangeReply::Conflict { current_generation: 7 });
        for machine in &machines {
            until(std::slice::from_ref(machine), "news", |core| core.known.generation() >= 7).await;
            let is_tail = machine.core.view().tail() == Some(&machine.core.me);
            assert_eq!(machine.core.read_here().await.is_some(), is_tail, "only the tail answers reads");
            let other = machine.core.order_here(&order(7, 8)).await;
            assert_eq!(other == ChangeReply::Unavailable, !machine.core.is_head());
            if machine.core.is_head() {
                assert_eq!(other, ChangeReply::Acknowledged);
            }
        }
    });
}

#[test]
fn a_machine_that_is_cut_off_acknowledges_refuses_and_tells_nothing() {
    local(async {
        let mut machines = three(1).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        acknowledged(&head, &order(0, 7)).await;
        let cut_off = machines.iter().position(|machine| Rc::ptr_eq(&machine.core, &head)).expect("the head");
        let old = machines.remove(cut_off);
        old.cut_off();
        let next = until(&machines, "another head", |core| core.is_head()).await;
        acknowledged(&next, &order(7, 8)).await;
        // What the machine that was cut off says of anything.
        for asked in [order(7, 8), order(7, 9), order(0, 9), order(8, 9)] {
            let said = old.core.order_here(&asked).await;
            assert!(
                matches!(said, ChangeReply::Unavailable | ChangeReply::OutcomeUnknown),
                "{asked:?}: {said:?}"
            );
        }
        let retire = old.core.answer(CoreRequest::RetireStatus { node: "x".to_owned() }).await;
        assert!(matches!(retire, CoreReply::Retire(fennelgauge_wire::RetireReply::Unavailable)));
        assert!(matches!(
            old.core.answer(CoreRequest::ReadConfiguration).await,
            CoreReply::Configuration(None)
        ));
        let watch = WatchRequest { known: Default::default(), wait_ms: 0 };
        let began = Instant::now();
        while old.core.known.wait_for_confirmed_update(&watch).await.configuration.is_some() {
            assert!(began.elapsed() < PATIENCE, "it hands out an old configuration");
            sleep(TICK_EVERY).await;
        }
        assert!(!old.core.is_confirmed());
    });
}
