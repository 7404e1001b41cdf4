//! Writes along the chain: when they are committed, who takes them, and what is told of what is in doubt.

mod common;

use common::{version, view, without, Fleet};
use fennelgauge_coordination::{Message, Version, WriteRefusal};

fn three() -> Fleet {
    let start = version(0, 0, "");
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], &[1, 2, 3], start), "");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.settle_all();
    fleet
}

#[test]
fn a_write_is_committed_once_every_link_has_it() {
    let mut fleet = three();
    assert_eq!(fleet.write(1, "a"), Ok(version(1, 1, "a")));
    assert_eq!(fleet.committed(1), None, "nothing is told of what is on its way");
    fleet.settle(|_, to, _| to != 3);
    assert_eq!((fleet.text(2), fleet.committed(2)), ("a", None));
    assert_eq!((fleet.text(3), fleet.committed(3)), ("", Some("")));
    assert_eq!(fleet.write(1, "b"), Err(WriteRefusal::NotReady), "one version is on its way at a time");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.settle_all();
    for number in 1..=3 {
        assert_eq!(fleet.committed(number), Some("a"));
    }
    assert_eq!(fleet.write(2, "b"), Err(WriteRefusal::NotHead));
    assert!(fleet.replica(3).is_tail() && !fleet.replica(1).is_tail());
}

#[test]
fn a_link_that_missed_a_write_fetches_it_when_it_is_sent_again() {
    let mut fleet = three();
    fleet.write(1, "a").unwrap();
    fleet.on_the_way.clear();
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.settle_all();
    assert_eq!([fleet.committed(1), fleet.committed(2), fleet.committed(3)], [Some("a"); 3]);
}

#[test]
fn messages_that_come_twice_or_late_change_nothing() {
    let mut fleet = three();
    fleet.write(1, "a").unwrap();
    let first = fleet.on_the_way.clone();
    fleet.settle_all();
    fleet.write(1, "b").unwrap();
    fleet.settle_all();
    for _ in 0..2 {
        fleet.on_the_way.extend(first.clone());
        fleet.settle_all();
    }
    assert_eq!([fleet.committed(1), fleet.committed(2), fleet.committed(3)], [Some("ab"); 3]);
}

#[test]
fn a_write_that_the_successor_never_gets_stays_in_doubt() {
    let mut fleet = three();
    fleet.write(1, "a").unwrap();
    fleet.settle(without(&[2]));
    assert_eq!(fleet.committed(1), None);
    assert_eq!(
        fleet.replica(1).check_writable(),
        Err(WriteRefusal::NotReady),
        "no refusal from a state in doubt"
    );
    fleet.restart(1);
    assert_eq!(fleet.replica(1).check_writable(), Err(WriteRefusal::NotReady), "nor after a restart");
    assert_eq!(fleet.text(1), "a");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.settle_all();
    assert_eq!(fleet.committed(1), Some("a"), "what was begun is brought to its end");
}

#[test]
fn a_sealed_link_takes_nothing_and_a_head_that_was_put_out_is_none() {
    let mut fleet = three();
    let next = view(2, &[1, 2, 3], &[2, 3], Version::default());
    fleet.act(2, |voter| voter.propose(next));
    fleet.settle(|_, to, message| to != 1 && !matches!(message, Message::Promised { .. }));
    assert!(fleet.replica(3).is_sealed());
    fleet.write(1, "a").unwrap();
    fleet.settle_all();
    assert_eq!((fleet.text(2), fleet.text(3)), ("", ""), "a promise ends the view's writes");
    fleet.act(2, |voter| voter.resend_requests());
    fleet.settle_all();
    assert_eq!(fleet.replica(1).view().epoch, 2);
    assert_eq!(fleet.replica(1).check_writable(), Err(WriteRefusal::NotHead));
    assert_eq!(fleet.committed(1), None);
    assert_eq!(fleet.replica(2).check_writable(), Ok(()));
}

#[test]
fn a_chain_below_the_fewest_links_takes_nothing() {
    let start = version(0, 0, "");
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], &[1], start), "");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.settle_all();
    assert_eq!(fleet.committed(1), Some(""));
    assert_eq!(fleet.write(1, "a"), Err(WriteRefusal::NotReady));
}

#[test]
fn a_change_longer_than_a_message_is_fetched_in_pieces() {
    let mut fleet = three();
    let long = "x".repeat(700_000);
    fleet.write(1, &long).unwrap();
    assert!(fleet.on_the_way.iter().all(|(_, _, message)| match message {
        Message::Append { entry: step, .. } => step.is_none(),
        _ => true,
    }));
    fleet.settle_all();
    assert_eq!(fleet.committed(3).map(str::len), Some(long.len()));
}
