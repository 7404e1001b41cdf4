//! What a machine may do and say because a majority confirmed its view, on a simulated clock: the head's duties, and that a
//! value is the newest.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{member, members, version, view, Text};
use fennelgauge_coordination::{
    Acceptor, Coordinator, DurableState, Message, Replica, Replicated, Timing, Version, View, ViewRules,
    VotingRecord,
};

const SETTLING_TIME: Duration = Duration::from_millis(2_200);
/// Time for which the head is frozen between two calls.
const FREEZE: Duration = Duration::from_millis(3_500);

fn start() -> Version {
    Version { digest: Text("a".to_owned()).digest(), ..version(0, 1, "a") }
}

/// Returns machine 1 as the head of view 1, which a majority has confirmed at `now`.
fn confirmed_head(now: Duration) -> Coordinator<Text> {
    let value = Arc::new(Text("a".to_owned()));
    let acceptor = Acceptor::new(view(1, &[1, 2, 3], &[1, 2, 3], start()));
    let stored = DurableState {
        record: VotingRecord { acceptor, persist_request: None },
        version: start().with_epoch(1),
        value,
    };
    let replica = Replica::new(member(1, 1), true, ViewRules::tolerating(1), stored);
    let mut head = Coordinator::new(replica, Timing::default(), Vec::new(), Duration::ZERO);
    confirm(&mut head, 1, now);
    head
}

/// Lets machine 2 confirm the head's view.
fn confirm(head: &mut Coordinator<Text>, epoch: u64, now: Duration) {
    let (_, effects) = head.start_quorum_check(now);
    let round = effects.sends.iter().find_map(|(_, message)| match message {
        Message::Ping { round, .. } => Some(*round),
        _ => None,
    });
    let pong = Message::Pong {
        epoch,
        round: round.expect("a ping"),
        sealed: false,
        version: start().with_epoch(epoch),
    };
    head.handle(now, &member(2, 1), pong);
}

fn install(machine: &mut Coordinator<Text>, now: Duration, epoch: u64, chain: &[u8]) {
    let view = View { voters: members(&[1, 2, 3]), ..view(epoch, &[], chain, start().with_epoch(epoch - 1)) };
    machine.handle(now, &member(2, 1), Message::InstallView { view });
}

/// Guards against a head that wakes after it was replaced and sends the rest of its calls with its successor's fence.
#[test]
fn a_head_frozen_among_its_calls_never_calls_with_the_fence_of_its_successor() {
    let now = SETTLING_TIME;
    let mut head = confirmed_head(now);
    let held = head.duty_token(now, SETTLING_TIME).expect("the head holds the duties");
    assert_eq!(head.authorize_call(now, held), Some(held), "the first call");
    let now = now + FREEZE;
    assert!(
        head.authorize_call(now, held).is_none_or(|token| token == held),
        "woken up, before any message has come"
    );
    install(&mut head, now, 2, &[2, 3]);
    assert!(head.authorize_call(now, held).is_none_or(|token| token == held), "replaced");
    install(&mut head, now, 3, &[2, 3, 1]);
    assert!(head.authorize_call(now, held).is_none_or(|token| token == held), "a link again");
}

/// Guards against duties that are carried out, or go on, without the right to.
#[test]
fn calls_are_authorized_only_while_the_right_under_which_they_began_holds() {
    type Change = fn(&mut Coordinator<Text>, Duration) -> Duration;
    let cases: [(&str, Change, bool); 5] = [
        ("nothing has changed", |_, now| now, true),
        ("the view was last confirmed long ago", |_, now| now + FREEZE, false),
        (
            "the view was confirmed again after a freeze",
            |head, now| {
                confirm(head, 1, now + FREEZE);
                now + FREEZE
            },
            true,
        ),
        (
            "another machine is the head",
            |head, now| {
                install(head, now, 2, &[2, 3, 1]);
                confirm(head, 2, now);
                now
            },
            false,
        ),
        (
            "the head again, of a later view",
            |head, now| {
                install(head, now, 2, &[2, 3, 1]);
                install(head, now, 3, &[1, 2, 3]);
                confirm(head, 3, now);
                now
            },
            false,
        ),
    ];
    for (name, change, is_authorized) in cases {
        let now = SETTLING_TIME;
        let mut head = confirmed_head(now);
        let held = head.duty_token(now, SETTLING_TIME).expect("the head holds the duties");
        let now = change(&mut head, now);
        assert_eq!(head.authorize_call(now, held), is_authorized.then_some(held), "{name}");
    }
}

/// Guards against a new head that calls before it has settled, and against tokens that do not rise.
#[test]
fn a_new_head_takes_its_token_only_once_it_has_settled() {
    let now = SETTLING_TIME;
    let mut head = confirmed_head(now);
    let first = head.duty_token(now, SETTLING_TIME).expect("the head holds the duties");
    install(&mut head, now, 2, &[1, 2]);
    confirm(&mut head, 2, now);
    assert_eq!(head.duty_token(now, SETTLING_TIME), None);
    let now = now + SETTLING_TIME;
    confirm(&mut head, 2, now);
    let second = head.duty_token(now, SETTLING_TIME).expect("the head holds the duties");
    assert!(second.number() > first.number());
}

/// Guards against a value that is handed out as the newest by a link that does not know yet that a later one was committed.
#[test]
fn a_value_is_confirmed_as_the_newest_only_while_no_write_is_in_flight() {
    let now = SETTLING_TIME;
    let mut head = confirmed_head(now);
    let committed = version(1, 1, "a");
    head.handle(now, &member(3, 1), Message::Committed { epoch: 1, version: committed });
    assert_eq!(head.committed_value_confirmed_at(), Some(now));
    let later = now + Duration::from_millis(200);
    let (written, _) = head.write(later, b"b".to_vec()).expect("the head takes a write");
    confirm(&mut head, 1, later);
    assert_eq!(head.quorum_confirmed_at(), Some(later), "the view is confirmed");
    assert_eq!(head.committed_value_confirmed_at(), None, "the write may be committed already");
    head.handle(later, &member(3, 1), Message::Committed { epoch: 1, version: written });
    assert_eq!(head.committed_value_confirmed_at(), Some(later));
}
