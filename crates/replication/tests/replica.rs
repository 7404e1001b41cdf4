//! The rules of one group on one store: what is taken, what a copy replaces, who is level, who may answer.

use fennelgauge_batch::{Command, Item, Job};
use fennelgauge_coordination::{Assignment, Group, GroupNumber, StoreNumber, StoreView, GROUP_COUNT};
use fennelgauge_replication::{
    Confirmation, Entry, EntryBatch, EntryPosition, Installed, Missing, Outcome, Replica, Role,
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
        items: vec![item],
    })
}

fn place(sequence: u64, epoch: u64) -> EntryPosition {
    EntryPosition { sequence, epoch }
}

fn after(position: EntryPosition, entries: &[Entry]) -> EntryBatch {
    let end = entries.last().map_or(position, |last| last.position);
    EntryBatch { group: GROUP, after: position, entries: entries.to_vec(), end }
}

/// A link after a head, in a chain that is as it is since that view.
fn link(epoch: u64) -> Role {
    Role::of(&view(epoch, &[1, 2], &[], &[]), GROUP, StoreNumber(2)).expect("a link")
}

/// A head that made these batch jobs in a view.
fn head(epoch: u64, ids: &[&str]) -> (Replica, Vec<Entry>) {
    let mut head = Replica::default();
    let entries = ids.iter().map(|id| head.create(GROUP, epoch, accept(id))).collect();
    (head, entries)
}

fn ids(replica: &Replica) -> Vec<&str> {
    replica.state().jobs().map(|state| state.job.id.as_str()).collect()
}

#[test]
fn a_link_takes_entries_only_where_they_follow() {
    let (head, entries) = head(1, &["a", "b", "c"]);
    let mut tail = Replica::default();
    let gap = tail.follow(&link(1), &after(entries[0].position, &entries[1..2]));
    assert!(gap.taken.is_empty() && !gap.is_level);
    let first = tail.follow(&link(1), &after(EntryPosition::default(), &entries[..1]));
    assert!(first.taken.len() == 1 && first.is_level);
    let again = tail.follow(&link(1), &after(EntryPosition::default(), &entries[..1]));
    assert!(again.taken.is_empty() && again.is_level, "sent twice");
    let rest = tail.follow(&link(1), &after(EntryPosition::default(), &entries));
    assert_eq!(rest.taken, entries[1..]);
    assert_eq!(ids(&tail), ids(&head));
    let late = tail.follow(&link(1), &after(EntryPosition::default(), &entries[..2]));
    assert!(late.taken.is_empty() && late.is_level, "one that was overtaken");
    assert_eq!(head.missing_at(GROUP, place(2, 1)), Missing::Entries(after(place(2, 1), &entries[2..])));
}

#[test]
fn who_has_more_than_its_predecessor_is_not_level_until_a_copy_takes_it_away() {
    let (mut new, shared) = head(1, &["a"]);
    let mut old = Replica::default();
    old.follow(&link(1), &after(EntryPosition::default(), &shared));
    let lost = old.create(GROUP, 1, accept("alone"));
    let empty = old.follow(&link(2), &after(shared[0].position, &[]));
    assert!(!empty.is_level, "the head has made no entry in its view, and this store has one more");
    assert!(!old.is_level(&link(2)) && old.contains(lost.position));
    let kept = new.create(GROUP, 2, accept("kept"));
    let next = old.follow(&link(2), &after(shared[0].position, std::slice::from_ref(&kept)));
    assert!(next.taken.is_empty() && !next.is_level);
    let last = new.create(GROUP, 2, accept("last"));
    let later = old.follow(&link(2), &after(kept.position, &[last]));
    assert!(later.taken.is_empty() && !later.is_level, "its number follows, what is before it does not");
    assert_eq!(new.missing_at(GROUP, old.position()), Missing::Copy);
    assert_eq!(old.install(2, &new.copy()), Installed::Yes { drops_shown: None });
    assert!(!old.is_level(&link(2)), "only the predecessor's word makes level");
    assert!(old.follow(&link(2), &after(new.position(), &[])).is_level);
    assert_eq!(ids(&old), ["a", "kept", "last"]);
}

#[test]
fn a_copy_replaces_nothing_that_a_level_link_has() {
    let (mut head, entries) = head(1, &["a", "b"]);
    let early = {
        let (early, _) = self::head(1, &["a"]);
        early.copy()
    };
    let mut tail = Replica::default();
    tail.follow(&link(1), &after(EntryPosition::default(), &entries));
    assert_eq!(tail.install(1, &early), Installed::Outdated, "overtaken by entries of the same view");
    assert_eq!(tail.learn(1, &after(place(2, 1), &[head.create(GROUP, 1, accept("c"))])), []);
    let made = head.create(GROUP, 4, accept("d"));
    tail.follow(&link(4), &after(place(3, 1), std::slice::from_ref(&made)));
    assert!(!tail.is_level(&link(4)), "it lacks the third");
    let mut restarted = Replica::default();
    assert!(restarted.restore(&entries[0]) && !restarted.restore(&made));
    assert_eq!(restarted.install(1, &early), Installed::Yes { drops_shown: None });
}

#[test]
fn a_level_link_that_is_far_behind_takes_a_copy_that_lacks_nothing() {
    let (mut head, entries) = head(1, &["a"]);
    let mut tail = Replica::default();
    tail.follow(&link(1), &after(EntryPosition::default(), &entries));
    tail.mark_synced(place(1, 1));
    for id in 0..600 {
        head.create(GROUP, 1, accept(&format!("more-{id}")));
    }
    assert_eq!(head.missing_at(GROUP, tail.position()), Missing::Copy);
    assert_eq!(tail.install(1, &head.copy()), Installed::Yes { drops_shown: None });
    assert!(tail.is_level(&link(1)) && tail.has_on_disk(place(1, 1)) && !tail.has_on_disk(head.position()));
}

#[test]
fn a_link_stays_level_while_the_chain_up_to_it_is_as_it_is() {
    let (_, entries) = head(3, &["a"]);
    let mut tail = Replica::default();
    assert!(tail.follow(&link(3), &after(EntryPosition::default(), &entries)).is_level);
    let later = Role { epoch: 9, ..link(3) };
    assert!(tail.is_level(&later), "another group changed");
    assert!(!tail.is_level(&link(9)), "a link before it changed");
    assert!(tail.follow(&link(9), &after(place(1, 3), &[])).is_level);
}

#[test]
fn marks_speak_of_entries_that_are_there() {
    let (mut old, _) = head(1, &["a", "lost", "lost too"]);
    let (new, _) = head(1, &["a"]);
    let open = Role::of(&view(1, &[1, 2, 3], &[], &[]), GROUP, StoreNumber(1)).expect("a link");
    old.mark_synced(place(3, 1));
    old.mark_reached(&open, place(1, 1));
    old.mark_shown(place(1, 1));
    assert_eq!(old.install(3, &new.copy()), Installed::Yes { drops_shown: None });
    old.mark_synced(place(3, 1));
    old.mark_reached(&open, place(3, 1));
    assert!(!old.has_on_disk(place(1, 1)) && old.is_in_doubt(), "what is gone marks nothing");
    old.mark_synced(place(1, 1));
    assert!(old.has_on_disk(place(1, 1)));
    let kept = old.create(GROUP, 3, accept("kept"));
    assert!(!old.has_on_disk(kept.position) && !old.is_committed(kept.position));
    old.mark_shown(kept.position);
    assert_eq!(old.install(4, &new.copy()), Installed::Yes { drops_shown: Some(place(2, 3)) });
}

#[test]
fn what_reached_all_links_of_a_closed_group_is_not_committed() {
    let (mut replica, entries) = head(1, &["a"]);
    let end = entries[0].position;
    let closed = Role::of(&view(1, &[1], &[], &[2, 3]), GROUP, StoreNumber(1)).expect("a link");
    replica.mark_reached(&closed, end);
    assert!(!replica.is_committed(end) && replica.knows_nothing_committed());
    let open = Role::of(&view(2, &[1, 2, 3], &[], &[]), GROUP, StoreNumber(1)).expect("a link");
    replica.mark_reached(&open, end);
    assert!(replica.is_committed(end));
}

#[test]
fn what_a_copy_took_away_is_not_sent_or_written_any_more() {
    let (mut store, entries) = head(1, &["a", "b"]);
    assert_eq!(store.batch_of(GROUP, entries.clone()), Some(after(EntryPosition::default(), &entries)));
    let (other, _) = head(1, &["a"]);
    store.install(2, &other.copy());
    assert_eq!(store.batch_of(GROUP, entries[1..].to_vec()), None);
    let made = store.create(GROUP, 3, accept("c"));
    let gathered = vec![entries[1].clone(), made.clone()];
    assert_eq!(store.batch_of(GROUP, gathered), Some(after(place(1, 1), &[made])));
}

#[test]
fn places_are_found_by_the_epoch_they_were_made_in() {
    let mut group = Replica::default();
    for (id, epoch) in [("a", 1), ("b", 1), ("c", 4), ("d", 4), ("e", 9)] {
        group.create(GROUP, epoch, accept(id));
    }
    let cases = [
        (place(0, 0), true),
        (place(1, 1), true),
        (place(2, 1), true),
        (place(2, 4), false),
        (place(3, 4), true),
        (place(4, 1), false),
        (place(5, 9), true),
        (place(6, 9), false),
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
        ("a joining tail answers, but does not count", &open, 3, Some((false, true, true))),
        ("no link", &open, 4, None),
        ("head and tail of a closed group", &closed, 1, Some((false, false, false))),
        ("an absent holder", &closed, 2, None),
    ];
    for (name, view, store, expected) in cases {
        let role = Role::of(view, GROUP, StoreNumber(store));
        let found =
            role.map(|role| (role.takes_changes(), role.answers_reads(), role.joining_since.is_some()));
        assert_eq!(found, expected, "{name}");
    }
}

#[test]
fn a_tail_is_certain_once_all_links_stand_by_the_view_and_it_has_what_the_head_had() {
    let view = view(5, &[1, 2, 3], &[], &[]);
    let role = Role::of(&view, GROUP, StoreNumber(3)).expect("a link");
    let (_, entries) = head(5, &["a", "b"]);
    let mut tail = Replica::default();
    let mut question = Confirmation::new(&role);
    assert_eq!(question.outcome(&tail), Outcome::Waits);
    question.hear(StoreNumber(1), Some(place(2, 5)));
    question.hear(StoreNumber(2), Some(place(1, 5)));
    assert_eq!(question.outcome(&tail), Outcome::Waits, "not level");
    tail.follow(&link(5), &after(EntryPosition::default(), &entries[..1]));
    tail.mark_synced(place(1, 5));
    assert_eq!(question.outcome(&tail), Outcome::Waits, "it lacks what the head had");
    tail.follow(&link(5), &after(place(1, 5), &entries[1..]));
    assert_eq!(question.outcome(&tail), Outcome::Waits, "not on its disk");
    tail.mark_synced(place(2, 5));
    assert_eq!(question.outcome(&tail), Outcome::Certain);
    let mut refused = Confirmation::new(&role);
    refused.hear(StoreNumber(1), Some(place(2, 5)));
    refused.hear(StoreNumber(2), None);
    assert_eq!(refused.outcome(&tail), Outcome::Refused);
    let mut other = Replica::default();
    other.follow(&link(4), &after(EntryPosition::default(), &entries));
    other.mark_synced(place(2, 5));
    assert_eq!(question.outcome(&other), Outcome::Waits, "level in an earlier view only");
}
