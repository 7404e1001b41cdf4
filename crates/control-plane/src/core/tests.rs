use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use fennelgauge_coordination::{Identity, Member, StateVersion, View};
use fennelgauge_settings::Settings;
use fennelgauge_wire::{encode, CoreReply, CoreRequest, Order, OrderKind, OrderReply};
use tokio::task::LocalSet;

use super::*;

fn local<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn core(node: &str, peer: SocketAddr) -> Rc<Core> {
    let text = format!(
        "node = \"{node}\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7010]\ncounts_for_quorum = true\n\
         [tolerate]\nmachines = 1\n"
    );
    let settings = Rc::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
    let identity = Identity { node: node.to_owned(), disk: 1 };
    Core::open(settings, Rc::default(), Caller::default(), identity, peer).expect("opened")
}

/// An address where nobody listens.
fn nobody() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address")
}

fn view(epoch: u64, members: &[&Member]) -> View {
    View { epoch, members: members.iter().map(|member| (*member).clone()).collect() }
}

fn empty() -> StateVersion {
    StateVersion { epoch: 1, sequence: 0, body: encode(&ControlState::default()) }
}

fn order() -> Order {
    let body = br#"{"generation":7,"routes":[],"services":[]}"#.to_vec();
    Order { kind: OrderKind::Put, base: 0, body }
}

async fn listening(core: &Rc<Core>, listener: tokio::net::TcpListener) {
    let core = core.clone();
    tokio::task::spawn_local(fennelgauge_wire::serve(listener, move |request| {
        let core = core.clone();
        async move {
            match request {
                Request::Core(request) => Reply::Core(core.answer(request).await),
                _ => Reply::NotHere,
            }
        }
    }));
}

async fn pair() -> (Rc<Core>, Rc<Core>) {
    let listener = || async { tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port") };
    let (first, second) = (listener().await, listener().await);
    let head = core("a", first.local_addr().expect("an address"));
    let tail = core("b", second.local_addr().expect("an address"));
    listening(&head, first).await;
    listening(&tail, second).await;
    let view = view(1, &[&head.me, &tail.me]);
    assert!(head.install(view.clone(), empty()).await && tail.install(view, empty()).await);
    (head, tail)
}

#[test]
fn a_write_is_committed_once_every_link_has_it() {
    local(async {
        let (head, tail) = pair().await;
        assert_eq!(head.order_here(&order()).await, OrderReply::Acknowledged);
        for member in [&head, &tail] {
            assert_eq!(member.committed_state().expect("committed").generation, 7);
            assert_eq!(member.known.generation(), 7);
        }
        assert!(tail.read_here().await.is_some());
        assert!(head.read_here().await.is_none(), "only the tail answers reads");
        assert_eq!(head.order_here(&order()).await, OrderReply::Acknowledged, "known by its content");
        assert_eq!(tail.order_here(&order()).await, OrderReply::Unavailable, "only the head takes orders");
    });
}

#[test]
fn what_the_successor_has_not_is_in_doubt_and_told_to_nobody() {
    local(async {
        let head = core("a", nobody());
        let gone = Member {
            identity: Identity { node: "b".to_owned(), disk: 1 },
            peer: nobody(),
            ..head.me.clone()
        };
        assert!(head.install(view(1, &[&head.me, &gone]), empty()).await);
        assert_eq!(head.order_here(&order()).await, OrderReply::Unknown);
        assert!(head.committed_state().is_none(), "nothing may be sent from a state in doubt");
        assert_eq!(head.known.generation(), 0);
        let other = Order { base: 3, ..order() };
        assert_eq!(
            head.order_here(&other).await,
            OrderReply::Unavailable,
            "no refusal from a state in doubt"
        );
    });
}

#[test]
fn a_sealed_or_deposed_member_takes_and_refuses_nothing() {
    local(async {
        let (head, tail) = pair().await;
        let ballot = fennelgauge_coordination::Ballot { round: 1, proposer: tail.me.identity.clone() };
        tail.prepare_here(1, &ballot).await;
        assert_eq!(head.order_here(&order()).await, OrderReply::Unknown);
        let append = CoreRequest::Append { epoch: 1, state: empty() };
        assert!(matches!(tail.answer(append).await, CoreReply::Refused { epoch: 1 }));
        assert!(tail.install(view(2, &[&tail.me, &head.me]), empty()).await);
        assert!(!tail.install(view(1, &[&head.me, &tail.me]), empty()).await, "no way back");
        let stale = Order { base: 9, ..order() };
        assert_eq!(head.order_here(&stale).await, OrderReply::Unavailable, "a deposed head refuses nobody");
        assert!(!head.confirm().await);
    });
}

#[test]
fn a_chain_below_the_fewest_links_takes_nothing() {
    local(async {
        let alone = core("a", nobody());
        assert!(alone.install(view(1, &[&alone.me]), empty()).await);
        assert_eq!(alone.order_here(&order()).await, OrderReply::Unavailable);
    });
}
