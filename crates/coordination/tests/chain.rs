//! Chain replication: when writes are committed, which machine accepts them, and what is reported of uncommitted writes.

mod common;

use common::{version, view, without, Fleet};
use fennelgauge_coordination::{Message, Version, WriteRefusal};

fn three_links() -> Fleet {
    let start = version(0, 0, "");
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], &[1, 2, 3], start), "");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.deliver_all();
    fleet
}

#[test]
fn a_write_is_committed_once_it_is_durable_on_every_link() {
    let mut fleet = three_links();
    assert_eq!(fleet.write(1, "a"), Ok(version(1, 1, "a")));
    assert_eq!(fleet.committed(1), None, "an uncommitted write is not published");
    fleet.deliver(|_, to, _| to != 3);
    assert_eq!((fleet.text(2), fleet.committed(2)), ("a", None));
    assert_eq!((fleet.text(3), fleet.committed(3)), ("", Some("")));
    assert_eq!(fleet.write(1, "b"), Err(WriteRefusal::NotReady), "only one version is in flight at a time");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.deliver_all();
    for number in 1..=3 {
        assert_eq!(fleet.committed(number), Some("a"));
    }
    assert_eq!(fleet.write(2, "b"), Err(WriteRefusal::NotHead));
    assert!(fleet.replica(3).is_tail() && !fleet.replica(1).is_tail());
}

#[test]
fn a_link_that_missed_a_write_fetches_it_when_it_is_resent() {
    let mut fleet = three_links();
    fleet.write(1, "a").unwrap();
    fleet.in_flight.clear();
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.deliver_all();
    assert_eq!([fleet.committed(1), fleet.committed(2), fleet.committed(3)], [Some("a"); 3]);
}

#[test]
fn duplicate_and_late_messages_change_nothing() {
    let mut fleet = three_links();
    fleet.write(1, "a").unwrap();
    let first = fleet.in_flight.clone();
    fleet.deliver_all();
    fleet.write(1, "b").unwrap();
    fleet.deliver_all();
    for _ in 0..2 {
        fleet.in_flight.extend(first.clone());
        fleet.deliver_all();
    }
    assert_eq!([fleet.committed(1), fleet.committed(2), fleet.committed(3)], [Some("ab"); 3]);
}

#[test]
fn a_write_that_the_successor_never_receives_stays_uncommitted() {
    let mut fleet = three_links();
    fleet.write(1, "a").unwrap();
    fleet.deliver(without(&[2]));
    assert_eq!(fleet.committed(1), None);
    assert_eq!(
        fleet.replica(1).check_writable(),
        Err(WriteRefusal::NotReady),
        "a change is not refused on the basis of an uncommitted state"
    );
    fleet.restart(1);
    assert_eq!(fleet.replica(1).check_writable(), Err(WriteRefusal::NotReady), "also after a restart");
    assert_eq!(fleet.text(1), "a");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.deliver_all();
    assert_eq!(fleet.committed(1), Some("a"), "the resent write is committed");
}

#[test]
fn a_sealed_link_takes_no_writes_and_a_removed_head_is_not_the_head() {
    let mut fleet = three_links();
    let next = view(2, &[1, 2, 3], &[2, 3], Version::default());
    fleet.act(2, |voter| voter.propose(next));
    fleet.deliver(|_, to, message| to != 1 && !matches!(message, Message::Promised { .. }));
    assert!(fleet.replica(3).is_sealed());
    fleet.write(1, "a").unwrap();
    fleet.deliver_all();
    assert_eq!((fleet.text(2), fleet.text(3)), ("", ""), "a promise seals the view");
    fleet.act(2, |voter| voter.resend_requests());
    fleet.deliver_all();
    assert_eq!(fleet.replica(1).view().epoch, 2);
    assert_eq!(fleet.replica(1).check_writable(), Err(WriteRefusal::NotHead));
    assert_eq!(fleet.committed(1), None);
    assert_eq!(fleet.replica(2).check_writable(), Ok(()));
}

#[test]
fn a_chain_below_the_minimum_length_takes_no_writes() {
    let start = version(0, 0, "");
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], &[1], start), "");
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.deliver_all();
    assert_eq!(fleet.committed(1), Some(""));
    assert_eq!(fleet.write(1, "a"), Err(WriteRefusal::NotReady));
}

#[test]
fn a_change_too_long_for_a_message_is_fetched_in_chunks() {
    let mut fleet = three_links();
    let long = "x".repeat(700_000);
    fleet.write(1, &long).unwrap();
    assert!(fleet.in_flight.iter().all(|(_, _, message)| match message {
        Message::Append { entry: step, .. } => step.is_none(),
        _ => true,
    }));
    fleet.deliver_all();
    assert_eq!(fleet.committed(3).map(str::len), Some(long.len()));
}
