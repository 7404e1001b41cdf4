//! The replica of one group on one store: which entries it appends, what a snapshot replaces, when it is caught up, and when it
//! may answer.

use fennelgauge_batch::{Command, Item, Job};
use fennelgauge_coordination::{Assignment, Group, GroupNumber, StoreNumber, StoreView, GROUP_COUNT};
use fennelgauge_replication::{
    CatchUp, Confirmation, ConfirmationStatus, Entry, EntryBatch, EntryPosition, InstallResult, Replica, Role,
};

const GROUP: GroupNumber = GroupNumber(3);

fn accept(id: &str) -> Command {
    let item = Item { id: format!("{id}-0"), path: "/p/".into(), headers: vec![], body: vec![1], tokens: 5 };
    Command::Accept(Job {
        id: id.into(),
        tenant: "t".into(),
        route: "r".into(),
        host: "h".into(),
        received_ms: 0,
        generation: 0,
        limits: Default::default(),
        items: vec![item],
    })
}

fn position(sequence: u64, epoch: u64) -> EntryPosition {
    EntryPosition { sequence, epoch }
}

/// Returns a batch of entries after a position.
fn batch(after: EntryPosition, entries: &[Entry]) -> EntryBatch {
    let end = entries.last().map_or(after, |last| last.position);
    EntryBatch { group: GROUP, after, entries: entries.to_vec(), end }
}

/// Returns the role of the link after the head, in a chain that is unchanged since that view.
fn link(epoch: u64) -> Role {
    Role::of(&view(epoch, &[1, 2], &[], &[]), GROUP, StoreNumber(2)).expect("a link")
}

/// Returns a head that has accepted these batch jobs in one view, and the entries.
fn head(epoch: u64, ids: &[&str]) -> (Replica, Vec<Entry>) {
    let mut head = Replica::default();
    let entries = ids.iter().map(|id| head.create_entry(GROUP, epoch, accept(id))).collect();
    (head, entries)
}

/// Returns the names of the batch jobs of a replica.
fn ids(replica: &Replica) -> Vec<&str> {
    replica.state().jobs().map(|state| state.job.id.as_str()).collect()
}

#[test]
fn a_link_appends_only_entries_that_follow_its_log() {
    let (head, entries) = head(1, &["a", "b", "c"]);
    let mut tail = Replica::default();
    let gap = tail.append_from_predecessor(&link(1), &batch(entries[0].position, &entries[1..2]));
    assert!(gap.appended.is_empty() && !gap.is_caught_up);
    let first = tail.append_from_predecessor(&link(1), &batch(EntryPosition::default(), &entries[..1]));
    assert!(first.appended.len() == 1 && first.is_caught_up);
    let again = tail.append_from_predecessor(&link(1), &batch(EntryPosition::default(), &entries[..1]));
    assert!(again.appended.is_empty() && again.is_caught_up, "sent twice");
    let rest = tail.append_from_predecessor(&link(1), &batch(EntryPosition::default(), &entries));
    assert_eq!(rest.appended, entries[1..]);
    assert_eq!(ids(&tail), ids(&head));
    let late = tail.append_from_predecessor(&link(1), &batch(EntryPosition::default(), &entries[..2]));
    assert!(late.appended.is_empty() && late.is_caught_up, "delivered after newer entries");
    assert_eq!(
        head.catch_up_from(GROUP, position(2, 1)),
        CatchUp::Entries(batch(position(2, 1), &entries[2..]))
    );
}

#[test]
fn a_replica_with_more_than_its_predecessor_is_not_caught_up_until_a_snapshot_replaces_its_log() {
    let (mut new, shared) = head(1, &["a"]);
    let mut old = Replica::default();
    old.append_from_predecessor(&link(1), &batch(EntryPosition::default(), &shared));
    let lost = old.create_entry(GROUP, 1, accept("alone"));
    let empty = old.append_from_predecessor(&link(2), &batch(shared[0].position, &[]));
    assert!(!empty.is_caught_up, "the head has made no entry in its view, and this store has one more");
    assert!(!old.is_caught_up(&link(2)) && old.contains(lost.position));
    let kept = new.create_entry(GROUP, 2, accept("kept"));
    let next = old.append_from_predecessor(&link(2), &batch(shared[0].position, std::slice::from_ref(&kept)));
    assert!(next.appended.is_empty() && !next.is_caught_up);
    let last = new.create_entry(GROUP, 2, accept("last"));
    let later = old.append_from_predecessor(&link(2), &batch(kept.position, &[last]));
    assert!(
        later.appended.is_empty() && !later.is_caught_up,
        "its sequence number follows, but the entry before it is another"
    );
    assert_eq!(new.catch_up_from(GROUP, old.position()), CatchUp::Snapshot);
    assert_eq!(old.install_snapshot(2, &new.snapshot()), InstallResult::Installed { lost_read: None });
    assert!(!old.is_caught_up(&link(2)), "only the predecessor's position makes it caught up");
    assert!(old.append_from_predecessor(&link(2), &batch(new.position(), &[])).is_caught_up);
    assert_eq!(ids(&old), ["a", "kept", "last"]);
}

/// Guards against a tail that shows readers entries which the link before it lacks: a copy that it had asked for as a learner came
/// late, when it was a link that was caught up.
#[test]
fn a_late_copy_for_a_learner_changes_nothing_on_a_caught_up_link() {
    let (head, entries) = head(1, &["a", "b"]);
    let mut tail = Replica::default();
    tail.append_from_predecessor(&link(2), &batch(EntryPosition::default(), &entries[..1]));
    assert_eq!(tail.install_snapshot_as_learner(1, &head.snapshot()), InstallResult::Outdated);
    assert_eq!(ids(&tail), ["a"]);
    let mut learner = Replica::default();
    let installed = learner.install_snapshot_as_learner(1, &head.snapshot());
    assert_eq!(installed, InstallResult::Installed { lost_read: None });
}

#[test]
fn a_snapshot_replaces_no_entries_of_a_caught_up_link() {
    let (mut head, entries) = head(1, &["a", "b"]);
    let early = {
        let (early, _) = self::head(1, &["a"]);
        early.snapshot()
    };
    let mut tail = Replica::default();
    tail.append_from_predecessor(&link(1), &batch(EntryPosition::default(), &entries));
    assert_eq!(
        tail.install_snapshot(1, &early),
        InstallResult::Outdated,
        "older than entries of the same view"
    );
    assert_eq!(
        tail.append_as_learner(1, &batch(position(2, 1), &[head.create_entry(GROUP, 1, accept("c"))])),
        []
    );
    let made = head.create_entry(GROUP, 4, accept("d"));
    tail.append_from_predecessor(&link(4), &batch(position(3, 1), std::slice::from_ref(&made)));
    assert!(!tail.is_caught_up(&link(4)), "it lacks the third entry");
    let mut restarted = Replica::default();
    assert!(restarted.restore_entry(&entries[0]) && !restarted.restore_entry(&made));
    assert_eq!(restarted.install_snapshot(1, &early), InstallResult::Installed { lost_read: None });
}

#[test]
fn a_caught_up_link_that_is_far_behind_installs_a_snapshot_that_includes_its_log() {
    let (mut head, entries) = head(1, &["a"]);
    let mut tail = Replica::default();
    tail.append_from_predecessor(&link(1), &batch(EntryPosition::default(), &entries));
    tail.mark_durable(position(1, 1));
    for id in 0..600 {
        head.create_entry(GROUP, 1, accept(&format!("more-{id}")));
    }
    assert_eq!(head.catch_up_from(GROUP, tail.position()), CatchUp::Snapshot);
    assert_eq!(tail.install_snapshot(1, &head.snapshot()), InstallResult::Installed { lost_read: None });
    assert!(
        tail.is_caught_up(&link(1)) && tail.is_durable(position(1, 1)) && !tail.is_durable(head.position())
    );
}

#[test]
fn a_link_stays_caught_up_while_the_chain_up_to_it_is_unchanged() {
    let (_, entries) = head(3, &["a"]);
    let mut tail = Replica::default();
    assert!(tail.append_from_predecessor(&link(3), &batch(EntryPosition::default(), &entries)).is_caught_up);
    let later = Role { epoch: 9, ..link(3) };
    assert!(tail.is_caught_up(&later), "only another group has changed");
    assert!(!tail.is_caught_up(&link(9)), "a link before it has changed");
    assert!(tail.append_from_predecessor(&link(9), &batch(position(1, 3), &[])).is_caught_up);
}

#[test]
fn durable_and_committed_marks_of_replaced_entries_are_ignored() {
    let (mut old, _) = head(1, &["a", "lost", "lost too"]);
    let (new, _) = head(1, &["a"]);
    let open = Role::of(&view(1, &[1, 2, 3], &[], &[]), GROUP, StoreNumber(1)).expect("a link");
    old.mark_durable(position(3, 1));
    old.mark_replicated(&open, position(1, 1));
    old.mark_read(position(1, 1));
    assert_eq!(old.install_snapshot(3, &new.snapshot()), InstallResult::Installed { lost_read: None });
    old.mark_durable(position(3, 1));
    old.mark_replicated(&open, position(3, 1));
    assert!(
        !old.is_durable(position(1, 1)) && old.has_uncommitted(),
        "a replaced entry is neither durable nor committed"
    );
    old.mark_durable(position(1, 1));
    assert!(old.is_durable(position(1, 1)));
    let kept = old.create_entry(GROUP, 3, accept("kept"));
    assert!(!old.is_durable(kept.position) && !old.is_committed(kept.position));
    old.mark_read(kept.position);
    assert_eq!(
        old.install_snapshot(4, &new.snapshot()),
        InstallResult::Installed { lost_read: Some(position(2, 3)) }
    );
}

#[test]
fn entries_on_all_links_of_a_closed_group_are_not_committed() {
    let (mut replica, entries) = head(1, &["a"]);
    let end = entries[0].position;
    let closed = Role::of(&view(1, &[1], &[], &[2, 3]), GROUP, StoreNumber(1)).expect("a link");
    replica.mark_replicated(&closed, end);
    assert!(!replica.is_committed(end) && replica.commit_position_unknown());
    let open = Role::of(&view(2, &[1, 2, 3], &[], &[]), GROUP, StoreNumber(1)).expect("a link");
    replica.mark_replicated(&open, end);
    assert!(replica.is_committed(end));
}

#[test]
fn entries_that_a_snapshot_replaced_are_not_sent_or_written() {
    let (mut store, entries) = head(1, &["a", "b"]);
    assert_eq!(store.batch_from(GROUP, entries.clone()), Some(batch(EntryPosition::default(), &entries)));
    let (other, _) = head(1, &["a"]);
    store.install_snapshot(2, &other.snapshot());
    assert_eq!(store.batch_from(GROUP, entries[1..].to_vec()), None);
    let made = store.create_entry(GROUP, 3, accept("c"));
    let collected = vec![entries[1].clone(), made.clone()];
    assert_eq!(store.batch_from(GROUP, collected), Some(batch(position(1, 1), &[made])));
}

#[test]
fn positions_are_matched_by_sequence_number_and_epoch() {
    let mut group = Replica::default();
    for (id, epoch) in [("a", 1), ("b", 1), ("c", 4), ("d", 4), ("e", 9)] {
        group.create_entry(GROUP, epoch, accept(id));
    }
    let cases = [
        (position(0, 0), true),
        (position(1, 1), true),
        (position(2, 1), true),
        (position(2, 4), false),
        (position(3, 4), true),
        (position(4, 1), false),
        (position(5, 9), true),
        (position(6, 9), false),
    ];
    for (position, expected) in cases {
        assert_eq!(group.contains(position), expected, "{position:?}");
    }
}

fn view(epoch: u64, chain: &[u32], joining: &[u32], absent: &[u32]) -> StoreView {
    let numbers = |stores: &[u32]| stores.iter().map(|store| StoreNumber(*store)).collect();
    let newcomer = |store: &u32| Assignment { store: StoreNumber(*store), since_epoch: epoch };
    let group = Group {
        chain: numbers(chain),
        joining: joining.iter().map(newcomer).collect(),
        absent: numbers(absent),
        learner: None,
        unchanged_since: vec![epoch; chain.len()],
        ..Group::default()
    };
    let mut view = StoreView::default();
    view.epoch = epoch;
    view.groups = vec![group; usize::from(GROUP_COUNT)];
    view
}

#[test]
fn roles_follow_from_the_view() {
    type Expected = Option<(bool, bool, bool)>;
    let open = view(5, &[1, 2, 3], &[3], &[]);
    let closed = view(5, &[1], &[], &[2, 3]);
    let cases: [(&str, &StoreView, u32, Expected); 6] = [
        ("the head", &open, 1, Some((true, false, false))),
        ("the middle", &open, 2, Some((false, false, false))),
        ("a joining tail answers reads, but is no holder", &open, 3, Some((false, true, true))),
        ("no link", &open, 4, None),
        ("head and tail of a closed group", &closed, 1, Some((false, false, false))),
        ("an absent holder", &closed, 2, None),
    ];
    for (name, view, store, expected) in cases {
        let role = Role::of(view, GROUP, StoreNumber(store));
        let found =
            role.map(|role| (role.accepts_writes(), role.serves_reads(), role.joining_since.is_some()));
        assert_eq!(found, expected, "{name}");
    }
}

#[test]
fn a_tail_is_confirmed_once_all_links_are_in_the_view_and_it_has_what_the_head_had() {
    let view = view(5, &[1, 2, 3], &[], &[]);
    let role = Role::of(&view, GROUP, StoreNumber(3)).expect("a link");
    let (_, entries) = head(5, &["a", "b"]);
    let mut tail = Replica::default();
    let mut confirmation = Confirmation::new(&role);
    assert_eq!(confirmation.status(&tail), ConfirmationStatus::Pending);
    confirmation.record_answer(StoreNumber(1), Some(position(2, 5)));
    confirmation.record_answer(StoreNumber(2), Some(position(1, 5)));
    assert_eq!(confirmation.status(&tail), ConfirmationStatus::Pending, "not caught up");
    tail.append_from_predecessor(&link(5), &batch(EntryPosition::default(), &entries[..1]));
    tail.mark_durable(position(1, 5));
    assert_eq!(confirmation.status(&tail), ConfirmationStatus::Pending, "it lacks what the head had");
    tail.append_from_predecessor(&link(5), &batch(position(1, 5), &entries[1..]));
    assert_eq!(confirmation.status(&tail), ConfirmationStatus::Pending, "not durable");
    tail.mark_durable(position(2, 5));
    assert_eq!(confirmation.status(&tail), ConfirmationStatus::Confirmed);
    let mut rejected = Confirmation::new(&role);
    rejected.record_answer(StoreNumber(1), Some(position(2, 5)));
    rejected.record_answer(StoreNumber(2), None);
    assert_eq!(rejected.status(&tail), ConfirmationStatus::Rejected);
    let mut other = Replica::default();
    other.append_from_predecessor(&link(4), &batch(EntryPosition::default(), &entries));
    other.mark_durable(position(2, 5));
    assert_eq!(confirmation.status(&other), ConfirmationStatus::Pending, "caught up in an earlier view only");
}
