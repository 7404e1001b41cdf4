//! Learning: a machine that lacks something gets steps or a whole copy, only of what is committed, and never goes back.

mod common;

use common::{member, version, view, without, Fleet};
use fennelgauge_coordination::{Message, Version};

const FOLLOWER: usize = 4;

/// Three links and a machine that follows the head.
fn four(text: &str) -> Fleet {
    let start = Version { digest: version(0, 0, text).digest, ..Version::default() };
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], &[1, 2, 3], start), text);
    fleet.add_empty(member(4, 1));
    let install = Message::InstallView { view: fleet.replica(1).view().clone() };
    fleet.on_the_way.push_back((0, member(4, 1).peer, install));
    fleet.act(1, |head| head.resend_uncommitted());
    fleet.settle_all();
    fleet
}

fn follow(fleet: &mut Fleet) {
    fleet.act(FOLLOWER, |follower| follower.request_catch_up(member(1, 1).peer));
    fleet.settle_all();
}

#[test]
fn an_empty_machine_gets_a_copy_and_then_steps() {
    let mut fleet = four("begun ");
    follow(&mut fleet);
    assert_eq!(fleet.committed(FOLLOWER), Some("begun "));
    for change in ["a", "b", "c"] {
        fleet.write(1, change).unwrap();
        fleet.settle_all();
    }
    fleet.act(FOLLOWER, |follower| follower.request_catch_up(member(1, 1).peer));
    fleet.settle(|_, _, message| !matches!(message, Message::SnapshotChunk { .. }));
    assert_eq!(fleet.committed(FOLLOWER), Some("begun abc"), "steps, not a copy");
    assert_eq!(fleet.machines[FOLLOWER - 1].disk.value.0, "begun abc");
}

#[test]
fn what_is_not_committed_is_given_to_nobody() {
    let mut fleet = four("");
    fleet.write(1, "a").unwrap();
    fleet.on_the_way.clear();
    follow(&mut fleet);
    assert_eq!(fleet.text(FOLLOWER), "");
}

#[test]
fn a_copy_goes_on_where_it_stopped_and_changes_reach_it_meanwhile() {
    let long = "x".repeat(1_000_000);
    let mut fleet = four(&long);
    let mut pieces = 0;
    for round in 0..20 {
        fleet.act(FOLLOWER, |follower| follower.request_catch_up(member(1, 1).peer));
        // One piece comes through each time, and the answer to it is lost.
        let asked = std::cell::Cell::new(false);
        fleet.settle(|from, _, message| match message {
            Message::CatchUpRequest { .. } => !asked.replace(true),
            Message::SnapshotChunk { .. } => from == 1,
            _ => true,
        });
        pieces += 1;
        if fleet.text(FOLLOWER).len() >= long.len() {
            break;
        }
        if round < 3 {
            fleet.write(1, "y").unwrap();
            fleet.settle_all();
        }
    }
    assert_eq!(pieces, 8, "each piece is sent once");
    follow(&mut fleet);
    assert_eq!(fleet.committed(FOLLOWER).map(str::len), Some(long.len() + 3));
}

#[test]
fn pieces_that_come_twice_or_out_of_order_spoil_nothing() {
    let long = "x".repeat(300_000);
    let mut fleet = four(&long);
    fleet.act(FOLLOWER, |follower| follower.request_catch_up(member(1, 1).peer));
    for _ in 0..40 {
        let Some((from, to, message)) = fleet.on_the_way.pop_front() else { break };
        if matches!(message, Message::SnapshotChunk { .. }) {
            fleet.on_the_way.push_back((from, to, message.clone()));
        }
        fleet.on_the_way.push_front((from, to, message));
        let waiting: Vec<_> = fleet.on_the_way.drain(1..).collect();
        let sender = fleet.machines[from].replica.own_member().clone();
        let (_, _, message) = fleet.on_the_way.pop_front().unwrap();
        let number = fleet.machines.iter().position(|it| it.replica.own_member().peer == to).unwrap() + 1;
        fleet.act(number, |replica| replica.handle(&sender, message));
        fleet.on_the_way.extend(waiting);
    }
    follow(&mut fleet);
    assert_eq!(fleet.committed(FOLLOWER).map(str::len), Some(long.len()));
}

#[test]
fn an_old_head_takes_nobody_back() {
    let mut fleet = four("");
    fleet.write(1, "a").unwrap();
    fleet.settle_all();
    follow(&mut fleet);
    let old = fleet.replica(1).version();
    let next = view(2, &[1, 2, 3], &[2, 3], Version::default());
    fleet.act(2, |voter| voter.propose(next));
    fleet.settle(without(&[1]));
    fleet.write(2, "b").unwrap();
    fleet.settle(without(&[1]));
    fleet.act(FOLLOWER, |follower| follower.request_catch_up(member(2, 1).peer));
    fleet.settle(without(&[1]));
    assert_eq!(fleet.committed(FOLLOWER), Some("ab"));
    // The head of the first view was cut off and knows nothing of this.
    assert_eq!(fleet.replica(1).version(), old);
    fleet.act(FOLLOWER, |follower| follower.request_catch_up(member(1, 1).peer));
    fleet.settle(|from, to, _| [from, to].iter().all(|number| [1, FOLLOWER].contains(number)));
    assert_eq!(fleet.committed(FOLLOWER), Some("ab"));
}

#[test]
fn a_machine_away_for_a_thousand_changes_is_level_again() {
    let mut fleet = four("");
    follow(&mut fleet);
    for _ in 0..1_500 {
        fleet.write(1, "z").unwrap();
        fleet.settle_all();
    }
    follow(&mut fleet);
    assert_eq!(fleet.committed(FOLLOWER).map(str::len), Some(1_500));
    fleet.restart(FOLLOWER);
    assert_eq!(fleet.text(FOLLOWER).len(), 1_500);
}
