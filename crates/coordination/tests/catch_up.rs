//! Catch-up: a learner receives log entries or a snapshot, only of committed versions, and never returns to an older version.

mod common;

use common::{member, version, view, without, Fleet};
use fennelgauge_coordination::{Message, Version};

/// Number of the machine that follows the chain.
const LEARNER: usize = 4;

/// Creates a chain of three links and an empty learner.
fn chain_with_learner(text: &str) -> Fleet {
    let start = Version { digest: version(0, 0, text).digest, ..Version::default() };
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], &[1, 2, 3], start), text);
    fleet.add_empty(member(4, 1));
    let install = Message::InstallView { view: fleet.replica(1).view().clone() };
    fleet.in_flight.push_back((0, member(4, 1).peer, install));
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.deliver_all();
    fleet
}

/// Lets the learner send a catch-up request to machine 1, and delivers all messages.
fn catch_up(fleet: &mut Fleet) {
    fleet.act(LEARNER, |learner| learner.request_catch_up(member(1, 1).peer));
    fleet.deliver_all();
}

#[test]
fn an_empty_machine_receives_a_snapshot_and_then_entries() {
    let mut fleet = chain_with_learner("begun ");
    catch_up(&mut fleet);
    assert_eq!(fleet.committed(LEARNER), Some("begun "));
    for change in ["a", "b", "c"] {
        fleet.write(1, change).unwrap();
        fleet.deliver_all();
    }
    fleet.act(LEARNER, |learner| learner.request_catch_up(member(1, 1).peer));
    fleet.deliver(|_, _, message| !matches!(message, Message::SnapshotChunk { .. }));
    assert_eq!(fleet.committed(LEARNER), Some("begun abc"), "entries, not a snapshot");
    assert_eq!(fleet.machines[LEARNER - 1].disk.value.0, "begun abc");
}

#[test]
fn uncommitted_versions_are_not_sent_to_learners() {
    let mut fleet = chain_with_learner("");
    fleet.write(1, "a").unwrap();
    fleet.in_flight.clear();
    catch_up(&mut fleet);
    assert_eq!(fleet.text(LEARNER), "");
}

#[test]
fn an_interrupted_snapshot_is_resumed_and_later_changes_follow_it() {
    let long = "x".repeat(1_000_000);
    let mut fleet = chain_with_learner(&long);
    let mut chunks = 0;
    for round in 0..20 {
        fleet.act(LEARNER, |learner| learner.request_catch_up(member(1, 1).peer));
        // One chunk arrives each time, and the request for the next one is lost.
        let requested = std::cell::Cell::new(false);
        fleet.deliver(|from, _, message| match message {
            Message::CatchUpRequest { .. } => !requested.replace(true),
            Message::SnapshotChunk { .. } => from == 1,
            _ => true,
        });
        chunks += 1;
        if fleet.text(LEARNER).len() >= long.len() {
            break;
        }
        if round < 3 {
            fleet.write(1, "y").unwrap();
            fleet.deliver_all();
        }
    }
    assert_eq!(chunks, 8, "each chunk is sent once");
    catch_up(&mut fleet);
    assert_eq!(fleet.committed(LEARNER).map(str::len), Some(long.len() + 3));
}

#[test]
fn duplicate_and_reordered_chunks_do_no_harm() {
    let long = "x".repeat(300_000);
    let mut fleet = chain_with_learner(&long);
    fleet.act(LEARNER, |learner| learner.request_catch_up(member(1, 1).peer));
    for _ in 0..40 {
        let Some((from, to, message)) = fleet.in_flight.pop_front() else { break };
        if matches!(message, Message::SnapshotChunk { .. }) {
            fleet.in_flight.push_back((from, to, message.clone()));
        }
        fleet.in_flight.push_front((from, to, message));
        let waiting: Vec<_> = fleet.in_flight.drain(1..).collect();
        let sender = fleet.machines[from].replica.own_member().clone();
        let (_, _, message) = fleet.in_flight.pop_front().unwrap();
        let number = fleet.machines.iter().position(|it| it.replica.own_member().peer == to).unwrap() + 1;
        fleet.act(number, |replica| replica.handle(&sender, message));
        fleet.in_flight.extend(waiting);
    }
    catch_up(&mut fleet);
    assert_eq!(fleet.committed(LEARNER).map(str::len), Some(long.len()));
}

#[test]
fn a_stale_head_does_not_take_a_learner_back() {
    let mut fleet = chain_with_learner("");
    fleet.write(1, "a").unwrap();
    fleet.deliver_all();
    catch_up(&mut fleet);
    let old = fleet.replica(1).version();
    let next = view(2, &[1, 2, 3], &[2, 3], Version::default());
    fleet.act(2, |voter| voter.propose(next));
    fleet.deliver(without(&[1]));
    fleet.write(2, "b").unwrap();
    fleet.deliver(without(&[1]));
    fleet.act(LEARNER, |learner| learner.request_catch_up(member(2, 1).peer));
    fleet.deliver(without(&[1]));
    assert_eq!(fleet.committed(LEARNER), Some("ab"));
    // The head of the first view was partitioned away and does not know of the second view.
    assert_eq!(fleet.replica(1).version(), old);
    fleet.act(LEARNER, |learner| learner.request_catch_up(member(1, 1).peer));
    fleet.deliver(|from, to, _| [from, to].iter().all(|number| [1, LEARNER].contains(number)));
    assert_eq!(fleet.committed(LEARNER), Some("ab"));
}

#[test]
fn a_machine_that_missed_many_changes_catches_up() {
    let mut fleet = chain_with_learner("");
    catch_up(&mut fleet);
    for _ in 0..1_500 {
        fleet.write(1, "z").unwrap();
        fleet.deliver_all();
    }
    catch_up(&mut fleet);
    assert_eq!(fleet.committed(LEARNER).map(str::len), Some(1_500));
    fleet.restart(LEARNER);
    assert_eq!(fleet.text(LEARNER).len(), 1_500);
}
