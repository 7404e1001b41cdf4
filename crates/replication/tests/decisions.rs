//! What a link decides about each call: entries, copies, changes, reads, repair; and a group that was given up.

use std::time::Duration;

use fennelgauge_batch::{Command, Item, ItemOutcome, ItemResult, Job};
use fennelgauge_coordination::{Group, GroupNumber, StoreNumber, StoreView, GROUPS};
use fennelgauge_replication::{
    Care, Ending, Entry, EntryBatch, EntryPosition, Fate, Installed, Missing, Onward, Query, ReadStep,
    Reading, Repair, RepairStep, Replica, Role, Submission, CONFIRM_WITHIN, JOINS_WITHIN,
};

const GROUP: GroupNumber = GroupNumber(3);
const TENANT: &str = "t";

fn job(id: &str) -> Job {
    let item = Item { id: format!("{id}-0"), path: "/p/".into(), headers: vec![], body: vec![1], tokens: 5 };
    Job {
        id: id.into(),
        tenant: TENANT.into(),
        route: "r".into(),
        host: "h".into(),
        received_ms: 0,
        items: vec![item],
    }
}

fn finish(id: &str) -> Command {
    let result = ItemResult { item_index: 0, outcome: ItemOutcome::Succeeded, text: format!("text of {id}") };
    Command::RecordResults { job: id.into(), results: vec![result] }
}

fn view(epoch: u64, chain: &[u32], absent: &[u32], begun_in: u64) -> StoreView {
    let numbers = |stores: &[u32]| stores.iter().map(|store| StoreNumber(*store)).collect();
    let group = Group {
        chain: numbers(chain),
        absent: numbers(absent),
        unchanged_since: vec![epoch; chain.len()],
        begun_in,
        ..Group::default()
    };
    let mut view = StoreView::default();
    view.epoch = epoch;
    view.groups = vec![group; usize::from(GROUPS)];
    view
}

fn role_in(view: &StoreView, store: u32) -> Option<Role> {
    Role::of(view, GROUP, StoreNumber(store))
}

/// The part of a store in an open chain of three.
fn role(epoch: u64, store: u32) -> Role {
    role_in(&view(epoch, &[1, 2, 3], &[], 0), store).expect("a link")
}

fn head(epoch: u64, commands: &[Command]) -> (Replica, Vec<Entry>) {
    let mut head = Replica::default();
    head.lead(GROUP, &role(epoch, 1));
    let entries = commands.iter().map(|command| head.create(GROUP, epoch, command.clone())).collect();
    (head, entries)
}

fn batch(after: EntryPosition, entries: &[Entry]) -> EntryBatch {
    let end = entries.last().map_or(after, |last| last.position);
    EntryBatch { group: GROUP, after, entries: entries.to_vec(), end }
}

fn query(id: &str) -> Query {
    Query { tenant: TENANT.into(), job: id.into(), start: 0 }
}

#[test]
fn only_a_follower_takes_entries_and_copies() {
    let (head, entries) = head(2, &[Command::Accept(job("a"))]);
    let sent = batch(EntryPosition::default(), &entries);
    let cases = [("the head", Some(role(2, 1)), 0), ("a link", Some(role(2, 2)), 1), ("no link", None, 0)];
    for (what, role, taken) in cases {
        let mut replica = Replica::default();
        let followed = replica.append(role.as_ref(), &sent);
        assert_eq!((followed.taken.len(), followed.is_level), (taken, taken == 1), "{what}");
        let mut replica = Replica::default();
        let installed = replica.install_as_link(role.as_ref(), &head.copy());
        assert_eq!(installed == Installed::NotALink, taken == 0, "{what}: {installed:?}");
        assert_eq!(replica.position_as(role.as_ref()).is_some(), role.is_some(), "{what}");
    }
    assert!(head.missing_for_learner(Some(&role(2, 2)), GROUP, EntryPosition::default()).is_none());
    let missing = head.missing_for_learner(Some(&role(2, 1)), GROUP, EntryPosition::default());
    assert_eq!(missing, Some(Missing::Entries(sent)));
}

#[test]
fn entries_go_on_from_a_level_link_that_has_them_on_its_disk() {
    let (mut head, entries) = head(2, &[Command::Accept(job("a"))]);
    let end = entries[0].position;
    assert_eq!(head.onward(&role(2, 1), end), Onward::Nowhere, "not on its disk");
    head.mark_synced(end);
    assert_eq!(head.onward(&role(2, 1), end), Onward::To(StoreNumber(2)));
    let mut tail = Replica::default();
    tail.append(Some(&role(2, 3)), &batch(EntryPosition::default(), &entries));
    tail.mark_synced(end);
    assert_eq!(tail.onward(&role(2, 3), end), Onward::Everywhere);
    assert_eq!(tail.onward(&role(3, 3), end), Onward::Nowhere, "not level in that view");
    assert!(tail.has_copied(end, JOINS_WITHIN) && !tail.has_copied(end, JOINS_WITHIN + 1));
    assert!(!tail.has_copied(EntryPosition { sequence: 2, epoch: 2 }, 0));
}

#[test]
fn a_successor_is_looked_after_where_it_may_lack_something() {
    let (mut head, entries) = head(2, &[Command::Accept(job("a"))]);
    let first = role(2, 1);
    assert_eq!(head.care(&first, None), Care::Now, "not looked at in this view");
    assert_eq!(head.care(&first, Some(2)), Care::Soon, "an entry is in doubt");
    head.mark_reached(&first, entries[0].position);
    assert_eq!(head.care(&first, Some(2)), Care::Needless);
    assert_eq!(head.care(&role(5, 1), Some(2)), Care::Needless, "who is not level leaves it");
    assert_eq!(Replica::default().care(&role(2, 3), None), Care::Needless, "the tail has none");
}

#[test]
fn a_head_decides_about_changes() {
    let (mut open, entries) = head(2, &[Command::Accept(job("a")), Command::Accept(job("b"))]);
    open.create(GROUP, 2, Command::Cancel { job: "b".into() });
    let closed = role_in(&view(2, &[1], &[2, 3], 0), 1);
    let first = Some(role(2, 1));
    let submissions = [
        ("new", first.clone(), job("c"), 100, Submission::New),
        ("known", first.clone(), job("a"), 100, Submission::Known(open.position())),
        ("over the quota", first.clone(), job("c"), 9, Submission::OverQuota),
        ("a closed group", closed.clone(), job("c"), 100, Submission::NotTaken),
        ("not the head", Some(role(2, 2)), job("c"), 100, Submission::NotTaken),
        ("no link", None, job("c"), 100, Submission::NotTaken),
    ];
    for (what, role, job, most, expected) in submissions {
        assert_eq!(open.submission(role.as_ref(), &job, most), expected, "{what}");
    }
    let endings = [
        ("open", first.clone(), TENANT, "a", Ending::New),
        ("ended", first.clone(), TENANT, "b", Ending::Known(open.position())),
        ("of another tenant", first.clone(), "u", "a", Ending::NotHere),
        ("unknown", first, TENANT, "c", Ending::NotHere),
        ("a closed group", closed, TENANT, "a", Ending::NotTaken),
    ];
    for (what, role, tenant, job, expected) in endings {
        assert_eq!(open.ending(role.as_ref(), tenant, job), expected, "{what}");
    }
    let entry = entries[0].position;
    assert_eq!(open.fate(entry), Fate::InDoubt);
    open.mark_reached(&role(2, 1), entry);
    assert_eq!(open.fate(entry), Fate::Committed);
    assert_eq!(open.fate(EntryPosition { sequence: 1, epoch: 1 }), Fate::Gone);
}

#[test]
fn a_successor_is_brought_level_step_by_step() {
    let (mut head, entries) = head(2, &[Command::Accept(job("a")), finish("a")]);
    let (first, end) = (role(2, 1), entries[1].position);
    let mut repair = Repair::new(GROUP, 2);
    assert_eq!(repair.heard_position(&head, Some(entries[0].position)), RepairStep::Wait);
    assert_eq!(repair.look(&head, Some(&first)), RepairStep::Wait, "not on the disk");
    head.mark_synced(end);
    let sent = batch(entries[0].position, &entries[1..]);
    assert_eq!(repair.look(&head, Some(&first)), RepairStep::Append(sent));
    assert_eq!(repair.heard_appended(true), RepairStep::Reached(first.clone(), end));

    let foreign = EntryPosition { sequence: 9, epoch: 1 };
    let mut repair = Repair::new(GROUP, 2);
    repair.heard_position(&head, Some(foreign));
    assert_eq!(repair.look(&head, Some(&first)), RepairStep::Install(head.copy()));
    assert_eq!(repair.look(&head, Some(&first)), RepairStep::Wait, "the copy is on its way");
    assert_eq!(repair.heard_installed(Some(&first), true), RepairStep::Append(batch(end, &[])));

    let failures: [(&str, RepairStep); 5] = [
        ("silent", Repair::new(GROUP, 2).heard_position(&head, None)),
        ("not installed", {
            let mut repair = Repair::new(GROUP, 2);
            repair.heard_position(&head, Some(foreign));
            repair.look(&head, Some(&first));
            repair.heard_installed(Some(&first), false)
        }),
        ("another view", {
            let mut repair = Repair::new(GROUP, 2);
            repair.heard_position(&head, Some(foreign));
            repair.look(&head, Some(&role(3, 1)))
        }),
        ("not reached", {
            let mut repair = Repair::new(GROUP, 2);
            repair.heard_position(&head, Some(end));
            repair.look(&head, Some(&first));
            repair.heard_appended(false)
        }),
        ("an answer that nobody waits for", Repair::new(GROUP, 2).heard_appended(true)),
    ];
    for (what, step) in failures {
        assert_eq!(step, RepairStep::Failed, "{what}");
    }
}

/// A tail that has what the head made, on its disk.
fn level_tail(entries: &[Entry]) -> Replica {
    let mut tail = Replica::default();
    tail.append(Some(&role(2, 3)), &batch(EntryPosition::default(), entries));
    tail
}

#[test]
fn a_reader_is_shown_what_is_on_the_disk_in_a_view_that_all_links_confirm() {
    let (_, entries) = head(2, &[Command::Accept(job("a")), finish("a")]);
    let end = entries[1].position;
    let hold = Duration::from_millis(300);
    let mut tail = level_tail(&entries);
    let mut reading = Reading::new(Some(role(2, 3)), query("a"), hold).expect("the tail");
    assert_eq!(reading.links(), [StoreNumber(1), StoreNumber(2)]);
    let mut late = reading.clone();
    assert_eq!(late.look(&mut tail, 2, Duration::ZERO), ReadStep::Wait(CONFIRM_WITHIN));
    assert_eq!(late.look(&mut tail, 2, CONFIRM_WITHIN), ReadStep::Unsure, "nobody confirms the view");
    for link in [1, 2] {
        reading.hear(StoreNumber(link), Some(end));
    }
    assert_eq!(reading.look(&mut tail, 2, Duration::ZERO), ReadStep::Wait(CONFIRM_WITHIN), "not on the disk");
    tail.mark_synced(end);
    assert_eq!(reading.clone().look(&mut tail, 3, Duration::ZERO), ReadStep::Unsure, "another view");
    let ReadStep::Page(page, place) = reading.look(&mut tail, 2, Duration::ZERO) else { panic!("no page") };
    assert_eq!((page.results.len(), place), (1, end));
    let mut unknown = Reading::new(Some(role(2, 3)), query("b"), hold).expect("the tail");
    unknown.hear(StoreNumber(1), Some(end));
    assert_eq!(unknown.clone().look(&mut tail, 2, Duration::ZERO), ReadStep::Wait(CONFIRM_WITHIN));
    unknown.hear(StoreNumber(2), Some(end));
    assert_eq!(unknown.look(&mut tail, 2, Duration::ZERO), ReadStep::NotFound);
    assert!(Reading::new(Some(role(2, 2)), query("a"), hold).is_none(), "not the tail");
    assert!(Reading::new(role_in(&view(2, &[3], &[1, 2], 0), 3), query("a"), hold).is_none(), "closed");
}

#[test]
fn a_reader_is_held_for_a_result_that_may_come() {
    let (mut head, mut entries) = head(2, &[Command::Accept(job("a"))]);
    let mut tail = level_tail(&entries);
    tail.mark_synced(entries[0].position);
    let hold = Duration::from_millis(300);
    let mut reading = Reading::new(Some(role(2, 3)), query("a"), hold).expect("the tail");
    for link in [1, 2] {
        reading.hear(StoreNumber(link), Some(entries[0].position));
    }
    assert_eq!(reading.look(&mut tail, 2, Duration::ZERO), ReadStep::Wait(hold));
    let ReadStep::Page(page, _) = reading.clone().look(&mut tail, 2, hold) else { panic!("no page") };
    assert!(page.results.is_empty(), "the time is up");
    entries.push(head.create(GROUP, 2, finish("a")));
    tail.append(Some(&role(2, 3)), &batch(entries[0].position, &entries[1..]));
    let waiting = reading.look(&mut tail, 2, Duration::from_millis(100));
    assert_eq!(waiting, ReadStep::Wait(Duration::from_millis(1_100)), "its result goes to the disk");
    tail.mark_synced(entries[1].position);
    assert!(matches!(reading.look(&mut tail, 2, hold), ReadStep::Page(page, _) if page.results.len() == 1));
}

#[test]
fn a_group_that_was_given_up_is_begun_anew_by_its_head() {
    let (mut replica, _) = head(2, &[Command::Accept(job("old")), finish("old")]);
    let anew = view(6, &[1, 2, 3], &[], 6);
    let mut first = role_in(&anew, 1).expect("a link");
    first.given_up = vec!["told".into()];
    assert_eq!(replica.submission(Some(&first), &job("new"), 0), Submission::NotTaken, "not begun anew yet");
    let copy = replica.lead(GROUP, &first).expect("begun anew");
    assert_eq!(copy.position, EntryPosition { sequence: 1, epoch: 6 });
    assert!(replica.lead(GROUP, &first).is_none(), "once");
    let expected = [("old", Submission::GivenUp), ("told", Submission::GivenUp), ("new", Submission::New)];
    for (id, submission) in expected {
        assert_eq!(replica.submission(Some(&first), &job(id), 0), submission, "{id}");
    }
    assert!(replica.state().may_have_given_up("old") && replica.state().may_have_given_up("whoever"));

    let mut tail = Replica::default();
    let third = role_in(&anew, 3).expect("a link");
    assert_eq!(tail.install_as_link(Some(&third), &copy), Installed::Yes { drops_shown: None });
    assert!(tail.append(Some(&third), &batch(copy.position, &[])).is_level);
    tail.mark_synced(copy.position);
    let mut reading = Reading::new(Some(third), query("old"), Duration::ZERO).expect("the tail");
    for link in [1, 2] {
        reading.hear(StoreNumber(link), Some(copy.position));
    }
    assert_eq!(reading.look(&mut tail, 6, Duration::ZERO), ReadStep::GivenUp);

    let (old, old_entries) =
        head(2, &[Command::Accept(job("old")), finish("old"), Command::Accept(job("b"))]);
    let mut back = old.clone();
    back.mark_shown(old_entries[1].position);
    let second = role_in(&anew, 2).expect("a link");
    assert!(
        !back.append(Some(&second), &batch(copy.position, &[])).is_level,
        "who comes back has other entries"
    );
    assert_eq!(replica.missing_at(GROUP, back.position()), Missing::Copy);
    let installed = back.install_as_link(Some(&second), &copy);
    assert_eq!(installed, Installed::Yes { drops_shown: None }, "what was given up is no fault");
    assert_eq!(back.install(9, &old.copy()), Installed::Outdated, "never the other way round");
}
