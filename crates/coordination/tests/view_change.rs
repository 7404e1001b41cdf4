//! View changes: the start version of a view, the writes that must not be lost, and the durability of promises.

mod common;

use std::sync::Arc;

use common::{member, members, version, view, without, Fleet, Text};
use fennelgauge_coordination::{
    Acceptor, Ballot, DurableState, Message, Replica, Version, View, ViewRules, VotingRecord,
};

fn three_voters(chain: &[u8]) -> Fleet {
    let mut fleet = Fleet::in_view(3, 1, &view(1, &[1, 2, 3], chain, version(0, 0, "")), "");
    fleet.act(usize::from(chain[0]), |head| head.resend_uncommitted());
    fleet.deliver_all();
    fleet
}

fn preferred_view(voters: &[u8], chain: &[u8]) -> View {
    view(2, voters, chain, Version::default())
}

#[test]
fn a_view_starts_with_the_newest_version_of_a_majority() {
    let mut fleet = three_voters(&[1, 2]);
    fleet.write(1, "a").unwrap();
    fleet.deliver(without(&[3]));
    assert_eq!(fleet.committed(2), Some("a"));
    // Machine 3 missed the write and the head is gone. 2 and 3 form a majority, and 2 was a link.
    fleet.act(3, |voter| voter.propose(preferred_view(&[1, 2, 3], &[2, 3])));
    fleet.deliver(without(&[1]));
    for number in [2, 3] {
        assert_eq!(fleet.replica(number).view().epoch, 2);
        assert_eq!(fleet.committed(number), Some("a"));
        assert!(fleet.replica(number).is_caught_up());
    }
    assert_eq!(
        fleet.machines[2].disk.value.0, "a",
        "the start version is durable before the view is decided"
    );
}

#[test]
fn a_write_in_flight_survives_on_all_machines_or_on_none() {
    for (reached, expected) in [(true, "a"), (false, "")] {
        let mut fleet = three_voters(&[1, 2, 3]);
        fleet.write(1, "a").unwrap();
        fleet.deliver(|_, to, _| reached && to == 2);
        fleet.act(3, |voter| voter.propose(preferred_view(&[1, 2, 3], &[2, 3])));
        fleet.deliver(without(&[1]));
        assert_eq!((fleet.committed(2), fleet.committed(3)), (Some(expected), Some(expected)));
        // The former head comes back with an uncommitted write.
        fleet.act(2, |head| head.resend_uncommitted());
        let ping = Message::Ping { epoch: 1, round: 1, committed: None };
        fleet.in_flight.push_back((0, member(2, 1).peer, ping));
        fleet.deliver_all();
        fleet.act(1, |follower| follower.request_catch_up(member(2, 1).peer));
        fleet.deliver_all();
        assert_eq!(fleet.committed(1), Some(expected), "the former head adopts the value of the others");
    }
}

#[test]
fn a_proposal_that_may_have_been_decided_is_adopted() {
    let mut fleet = three_voters(&[1, 2, 3]);
    fleet.act(1, |voter| voter.propose(preferred_view(&[1, 2, 3], &[1, 2])));
    // 1 and 2 have decided the view, but no machine learns of it.
    fleet.deliver(|_, to, message| to != 3 && !matches!(message, Message::Accepted { .. }));
    fleet.act(3, |voter| voter.propose(preferred_view(&[1, 2, 3], &[3, 2])));
    fleet.deliver(without(&[1]));
    fleet.act(3, |voter| voter.proceed_with_persisted());
    fleet.deliver(without(&[1]));
    assert_eq!(fleet.replica(3).view().epoch, 2);
    assert_eq!(
        fleet.replica(3).view().chain,
        members(&[1, 2]),
        "the decided proposal, not the one that 3 preferred"
    );
}

#[test]
fn a_proposal_is_completed_although_one_of_its_links_is_gone() {
    // 1 has accepted a view in which 3 is a link; then 3 is lost. 1 and 2 have the start version, which is enough.
    let mut fleet = three_voters(&[1, 3]);
    fleet.act(1, |voter| voter.propose(preferred_view(&[1, 2, 3], &[1, 3])));
    fleet.deliver(|_, to, message| to != 2 && !matches!(message, Message::Accepted { .. }));
    fleet.act(2, |voter| voter.propose(preferred_view(&[1, 2, 3], &[1, 2])));
    fleet.deliver(without(&[3]));
    assert_eq!(fleet.replica(2).view().epoch, 1, "3 might still answer");
    assert_eq!(fleet.replica(1).record().acceptor.accepted.as_ref().map(|it| it.1.epoch), Some(2));
    fleet.act(2, |voter| voter.resend_requests());
    fleet.deliver(without(&[3]));
    fleet.act(2, |voter| voter.proceed_with_persisted());
    fleet.deliver(without(&[3]));
    assert_eq!(fleet.replica(2).view().epoch, 2);
    assert_eq!(fleet.replica(1).view().epoch, 2);
}

#[test]
fn no_view_is_decided_before_enough_voters_have_persisted_the_start_version() {
    let mut fleet = three_voters(&[1, 2]);
    fleet.write(1, "a").unwrap();
    fleet.deliver(without(&[3]));
    fleet.act(2, |voter| voter.propose(preferred_view(&[1, 2, 3], &[2, 3])));
    // 3 promises, but what it lacks never reaches it.
    fleet.deliver(|from, to, message| {
        from != 1 && to != 1 && !matches!(message, Message::LogEntries { .. } | Message::SnapshotChunk { .. })
    });
    fleet.act(2, |voter| voter.proceed_with_persisted());
    fleet.deliver(without(&[1]));
    assert_eq!(fleet.replica(2).view().epoch, 1, "one disk with the write is not enough");
    fleet.act(2, |voter| voter.resend_requests());
    fleet.deliver(without(&[1]));
    assert_eq!(fleet.replica(3).view().epoch, 2);
    assert_eq!(fleet.committed(3), Some("a"));
}

#[test]
fn a_machine_that_lost_its_disk_becomes_a_voter_again_only_by_a_view_change() {
    let mut fleet = three_voters(&[1, 2, 3]);
    fleet.write(1, "a").unwrap();
    fleet.deliver_all();
    fleet.machines.remove(2);
    let empty = fleet.add_empty(member(3, 2));
    assert_eq!(empty, 2);
    fleet.act(1, |voter| voter.propose(preferred_view(&[1, 2, 3], &[1, 2])));
    fleet.deliver(without(&[2]));
    assert_eq!(
        fleet.replica(1).view().epoch,
        1,
        "it has lost its promises, so it cannot vote under its former identity"
    );
    fleet.deliver_all();
    fleet.act(1, |voter| voter.resend_requests());
    fleet.deliver_all();
    assert_eq!(fleet.replica(1).view().epoch, 2);
    let voter = |number: u8, disk| member(number, disk);
    let next = View {
        epoch: 3,
        voters: vec![voter(1, 1), voter(2, 1), voter(3, 2)],
        chain: vec![voter(1, 1), voter(2, 1), voter(3, 2)],
        start: Version::default(),
    };
    fleet.act(1, |voter| voter.propose(next));
    fleet.deliver_all();
    assert!(fleet.replica(3).is_link() && fleet.replica(3).is_caught_up());
    assert_eq!(fleet.committed(3), Some("a"));
    // Next, the head is lost while the other machines restart from their disks.
    fleet.restart(2);
    fleet.restart(3);
    let after = View {
        epoch: 4,
        voters: vec![voter(1, 1), voter(2, 1), voter(3, 2)],
        chain: vec![voter(2, 1), voter(3, 2)],
        start: Version::default(),
    };
    fleet.act(2, |voter| voter.propose(after));
    fleet.deliver(without(&[1]));
    assert_eq!(fleet.committed(3), Some("a"));
    assert_eq!(fleet.replica(2).check_writable(), Ok(()));
}

#[test]
fn a_crash_between_writing_the_record_and_the_value_loses_neither() {
    let view = view(2, &[1, 2, 3], &[1, 2], version(1, 7, "a"));
    let stored = |version: Version| DurableState {
        record: VotingRecord { acceptor: Acceptor::new(view.clone()), persist_request: None },
        version,
        value: Arc::new(Text("a".to_owned())),
    };
    let restored = |version| Replica::new(member(1, 1), true, ViewRules::tolerating(1), stored(version));
    assert_eq!(restored(version(1, 7, "a")).version(), version(2, 7, "a"));
    assert!(restored(version(1, 7, "a")).is_caught_up());
    assert!(
        !restored(version(1, 6, "a")).is_caught_up(),
        "another version than the start version is not caught up"
    );
}

#[test]
fn a_ballot_from_before_a_restart_is_not_reused() {
    let mut fleet = three_voters(&[1, 2, 3]);
    let ballots_sent = |fleet: &Fleet| -> Vec<Ballot> {
        let prepares = fleet.in_flight.iter().filter_map(|(_, _, message)| match message {
            Message::Prepare { ballot, .. } => Some(ballot.clone()),
            _ => None,
        });
        prepares.collect()
    };
    fleet.act(1, |voter| voter.propose(preferred_view(&[1, 2, 3], &[1, 2])));
    let before = ballots_sent(&fleet);
    fleet.in_flight.clear();
    fleet.restart(1);
    fleet.act(1, |voter| voter.propose(preferred_view(&[1, 2, 3], &[1, 3])));
    assert!(ballots_sent(&fleet).iter().all(|ballot| ballot > &before[0]));
}

#[test]
fn a_lower_ballot_is_rejected_after_a_promise() {
    let mut fleet = three_voters(&[1, 2, 3]);
    fleet.act(1, |voter| voter.propose(preferred_view(&[1, 2, 3], &[1, 2])));
    fleet.deliver(|_, _, message| !matches!(message, Message::Accept { .. }));
    let undelivered: Vec<_> = fleet.in_flight.drain(..).collect();
    assert!(undelivered.is_empty());
    fleet.act(3, |voter| voter.propose(preferred_view(&[1, 2, 3], &[3, 2])));
    fleet.deliver(|from, to, message| {
        let is_accept = matches!(message, Message::Accept { .. });
        from != 1 && to != 1 && !is_accept
    });
    // 1's accept request is late: 2 has promised 3's higher ballot meanwhile.
    fleet.act(1, |voter| voter.resend_requests());
    fleet.deliver(|_, to, message| to != 3 && !matches!(message, Message::InstallView { .. }));
    assert_eq!(fleet.replica(2).record().acceptor.accepted, None);
    assert_eq!(fleet.replica(1).view().epoch, 1);
}

#[test]
fn a_persist_request_of_an_earlier_ballot_is_ignored() {
    let mut fleet = three_voters(&[1, 2, 3]);
    let empty = fleet.add_empty(member(4, 1));
    let install = Message::InstallView { view: fleet.replica(1).view().clone() };
    fleet.in_flight.push_back((0, member(4, 1).peer, install));
    fleet.deliver_all();
    let persist = |round, sequence| Message::Persist {
        epoch: 1,
        ballot: Ballot { round, proposer: member(1, 1).identity },
        version: version(1, sequence, ""),
        source: member(1, 1).peer,
    };
    fleet.in_flight.push_back((0, member(4, 1).peer, persist(5, 0)));
    fleet.deliver_all();
    assert_eq!(fleet.machines[empty].disk.version, version(1, 0, ""));
    fleet.in_flight.push_back((0, member(4, 1).peer, persist(4, 9)));
    fleet.deliver_all();
    assert!(!fleet.replica(4).is_catching_up());
    assert_eq!(fleet.machines[empty].disk.record.persist_request.as_ref().map(|held| held.1.round), Some(5));
}
