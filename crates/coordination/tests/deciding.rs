//! Decisions about the next view: what they begin with, what they must not lose, and what may not be forgotten.

mod common;

use std::sync::Arc;

use common::{member, members, version, view, without, Fleet, Text};
use fennelgauge_coordination::{
    Acceptor, Ballot, DurableState, Message, Replica, Version, View, ViewRules, VotingRecord,
};

fn three(chain: &[u8]) -> Fleet {
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], chain, version(0, 0, "")), "");
    fleet.act(usize::from(chain[0]), |head| head.resend_uncommitted());
    fleet.settle_all();
    fleet
}

fn wish(voters: &[u8], chain: &[u8]) -> View {
    view(2, voters, chain, Version::default())
}

#[test]
fn a_view_begins_with_the_newest_version_of_a_majority() {
    let mut fleet = three(&[1, 2]);
    fleet.write(1, "a").unwrap();
    fleet.settle(without(&[3]));
    assert_eq!(fleet.committed(2), Some("a"));
    // Machine 3 has missed the write, the head is gone: 2 and 3 are a majority, and 2 was a link.
    fleet.act(3, |voter| voter.propose(wish(&[1, 2, 3], &[2, 3])));
    fleet.settle(without(&[1]));
    for number in [2, 3] {
        assert_eq!(fleet.replica(number).view().epoch, 2);
        assert_eq!(fleet.committed(number), Some("a"));
        assert!(fleet.replica(number).is_caught_up());
    }
    assert_eq!(fleet.machines[2].disk.value.0, "a", "it is on the disk before the view is decided");
}

#[test]
fn a_write_in_flight_is_kept_by_all_or_by_none() {
    for (reached, expected) in [(true, "a"), (false, "")] {
        let mut fleet = three(&[1, 2, 3]);
        fleet.write(1, "a").unwrap();
        fleet.settle(|_, to, _| reached && to == 2);
        fleet.act(3, |voter| voter.propose(wish(&[1, 2, 3], &[2, 3])));
        fleet.settle(without(&[1]));
        assert_eq!((fleet.committed(2), fleet.committed(3)), (Some(expected), Some(expected)));
        // The head comes back with a write of its own in doubt.
        fleet.act(2, |head| head.resend_uncommitted());
        let ping = Message::Ping { epoch: 1, round: 1, committed: None };
        fleet.on_the_way.push_back((0, member(2, 1).peer, ping));
        fleet.settle_all();
        fleet.act(1, |follower| follower.request_catch_up(member(2, 1).peer));
        fleet.settle_all();
        assert_eq!(fleet.committed(1), Some(expected), "it takes what the others have");
    }
}

#[test]
fn what_may_have_been_decided_is_taken_up() {
    let mut fleet = three(&[1, 2, 3]);
    fleet.act(1, |voter| voter.propose(wish(&[1, 2, 3], &[1, 2])));
    // Decided by 1 and 2; nobody learns of it.
    fleet.settle(|_, to, message| to != 3 && !matches!(message, Message::Accepted { .. }));
    fleet.act(3, |voter| voter.propose(wish(&[1, 2, 3], &[3, 2])));
    fleet.settle(without(&[1]));
    fleet.act(3, |voter| voter.proceed_with_persisted());
    fleet.settle(without(&[1]));
    assert_eq!(fleet.replica(3).view().epoch, 2);
    assert_eq!(fleet.replica(3).view().chain, members(&[1, 2]), "not what 3 wished for");
}

#[test]
fn a_proposal_whose_new_link_is_gone_is_still_brought_to_its_end() {
    // 1 accepted a view with a link on 3, then 3 lost its disk for good. 1 and 2 hold the version: they are enough.
    let mut fleet = three(&[1, 3]);
    fleet.act(1, |voter| voter.propose(wish(&[1, 2, 3], &[1, 3])));
    fleet.settle(|_, to, message| to != 2 && !matches!(message, Message::Accepted { .. }));
    fleet.act(2, |voter| voter.propose(wish(&[1, 2, 3], &[1, 2])));
    fleet.settle(without(&[3]));
    assert_eq!(fleet.replica(2).view().epoch, 1, "3 might still answer");
    assert_eq!(fleet.replica(1).record().acceptor.accepted.as_ref().map(|it| it.1.epoch), Some(2));
    fleet.act(2, |voter| voter.resend_requests());
    fleet.settle(without(&[3]));
    fleet.act(2, |voter| voter.proceed_with_persisted());
    fleet.settle(without(&[3]));
    assert_eq!(fleet.replica(2).view().epoch, 2);
    assert_eq!(fleet.replica(1).view().epoch, 2);
}

#[test]
fn nobody_goes_on_before_enough_voters_hold_the_version() {
    let mut fleet = three(&[1, 2]);
    fleet.write(1, "a").unwrap();
    fleet.settle(without(&[3]));
    fleet.act(2, |voter| voter.propose(wish(&[1, 2, 3], &[2, 3])));
    // 3 promises, but what it lacks never reaches it.
    fleet.settle(|from, to, message| {
        from != 1 && to != 1 && !matches!(message, Message::LogEntries { .. } | Message::SnapshotChunk { .. })
    });
    fleet.act(2, |voter| voter.proceed_with_persisted());
    fleet.settle(without(&[1]));
    assert_eq!(fleet.replica(2).view().epoch, 1, "a single disk is not enough");
    fleet.act(2, |voter| voter.resend_requests());
    fleet.settle(without(&[1]));
    assert_eq!(fleet.replica(3).view().epoch, 2);
    assert_eq!(fleet.committed(3), Some("a"));
}

#[test]
fn a_machine_that_lost_its_disk_takes_its_seat_only_by_a_decision() {
    let mut fleet = three(&[1, 2, 3]);
    fleet.write(1, "a").unwrap();
    fleet.settle_all();
    fleet.machines.remove(2);
    let empty = fleet.add_empty(member(3, 2));
    assert_eq!(empty, 2);
    fleet.act(1, |voter| voter.propose(wish(&[1, 2, 3], &[1, 2])));
    fleet.settle(without(&[2]));
    assert_eq!(
        fleet.replica(1).view().epoch,
        1,
        "it has forgotten its promises: its old vote does not count"
    );
    fleet.settle_all();
    fleet.act(1, |voter| voter.resend_requests());
    fleet.settle_all();
    assert_eq!(fleet.replica(1).view().epoch, 2);
    let seat = |number: u8, disk| member(number, disk);
    let next = View {
        epoch: 3,
        voters: vec![seat(1, 1), seat(2, 1), seat(3, 2)],
        chain: vec![seat(1, 1), seat(2, 1), seat(3, 2)],
        start: Version::default(),
    };
    fleet.act(1, |voter| voter.propose(next));
    fleet.settle_all();
    assert!(fleet.replica(3).is_link() && fleet.replica(3).is_caught_up());
    assert_eq!(fleet.committed(3), Some("a"));
    // The next loss, right away: the head's disk is gone, the rest comes back from its disks.
    fleet.restart(2);
    fleet.restart(3);
    let after = View {
        epoch: 4,
        voters: vec![seat(1, 1), seat(2, 1), seat(3, 2)],
        chain: vec![seat(2, 1), seat(3, 2)],
        start: Version::default(),
    };
    fleet.act(2, |voter| voter.propose(after));
    fleet.settle(without(&[1]));
    assert_eq!(fleet.committed(3), Some("a"));
    assert_eq!(fleet.replica(2).check_writable(), Ok(()));
}

#[test]
fn a_crash_between_the_record_and_the_value_loses_neither() {
    let view = view(2, &[1, 2, 3], &[1, 2], version(1, 7, "a"));
    let stored = |held: Version| DurableState {
        record: VotingRecord { acceptor: Acceptor::new(view.clone()), persist_request: None },
        version: held,
        value: Arc::new(Text("a".to_owned())),
    };
    let opened = |held| Replica::new(member(1, 1), true, ViewRules::tolerating(1), stored(held));
    assert_eq!(opened(version(1, 7, "a")).version(), version(2, 7, "a"));
    assert!(opened(version(1, 7, "a")).is_caught_up());
    assert!(!opened(version(1, 6, "a")).is_caught_up(), "what the view does not begin with is not level");
}

#[test]
fn a_ballot_of_an_earlier_life_is_not_used_again() {
    let mut fleet = three(&[1, 2, 3]);
    let used = |fleet: &Fleet| -> Vec<Ballot> {
        let prepares = fleet.on_the_way.iter().filter_map(|(_, _, message)| match message {
            Message::Prepare { ballot, .. } => Some(ballot.clone()),
            _ => None,
        });
        prepares.collect()
    };
    fleet.act(1, |voter| voter.propose(wish(&[1, 2, 3], &[1, 2])));
    let before = used(&fleet);
    fleet.on_the_way.clear();
    fleet.restart(1);
    fleet.act(1, |voter| voter.propose(wish(&[1, 2, 3], &[1, 3])));
    assert!(used(&fleet).iter().all(|ballot| ballot > &before[0]));
}

#[test]
fn a_lower_ballot_is_refused_after_a_promise() {
    let mut fleet = three(&[1, 2, 3]);
    fleet.act(1, |voter| voter.propose(wish(&[1, 2, 3], &[1, 2])));
    fleet.settle(|_, _, message| !matches!(message, Message::Accept { .. }));
    let late: Vec<_> = fleet.on_the_way.drain(..).collect();
    assert!(late.is_empty());
    fleet.act(3, |voter| voter.propose(wish(&[1, 2, 3], &[3, 2])));
    fleet.settle(|from, to, message| {
        let accepted = matches!(message, Message::Accept { .. });
        from != 1 && to != 1 && !accepted
    });
    // 1's question to accept is late: 2 has promised 3's higher ballot meanwhile.
    fleet.act(1, |voter| voter.resend_requests());
    fleet.settle(|_, to, message| to != 3 && !matches!(message, Message::InstallView { .. }));
    assert_eq!(fleet.replica(2).record().acceptor.accepted, None);
    assert_eq!(fleet.replica(1).view().epoch, 1);
}

#[test]
fn an_order_to_hold_of_an_earlier_ballot_is_passed_over() {
    let mut fleet = three(&[1, 2, 3]);
    let empty = fleet.add_empty(member(4, 1));
    let install = Message::InstallView { view: fleet.replica(1).view().clone() };
    fleet.on_the_way.push_back((0, member(4, 1).peer, install));
    fleet.settle_all();
    let hold = |round, sequence| Message::Persist {
        epoch: 1,
        ballot: Ballot { round, proposer: member(1, 1).identity },
        version: version(1, sequence, ""),
        source: member(1, 1).peer,
    };
    fleet.on_the_way.push_back((0, member(4, 1).peer, hold(5, 0)));
    fleet.settle_all();
    assert_eq!(fleet.machines[empty].disk.version, version(1, 0, ""));
    fleet.on_the_way.push_back((0, member(4, 1).peer, hold(4, 9)));
    fleet.settle_all();
    assert!(!fleet.replica(4).is_catching_up());
    assert_eq!(fleet.machines[empty].disk.record.persist_request.as_ref().map(|held| held.1.round), Some(5));
}
