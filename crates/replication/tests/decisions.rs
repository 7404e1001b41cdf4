//! The decisions of a link about each call: entries, snapshots, changes, reads and repair; and the recreation of a group that
//! was given up.

use std::time::Duration;

use fennelgauge_batch::{Command, Item, ItemOutcome, ItemResult, Job};
use fennelgauge_coordination::{Group, GroupNumber, StoreNumber, StoreView, GROUP_COUNT};
use fennelgauge_replication::{
    CancelDecision, CatchUp, Entry, EntryBatch, EntryPosition, EntryStatus, ForwardTarget, InstallResult,
    ReadOperation, ReadQuery, ReadStep, Repair, RepairStep, RepairUrgency, Replica, Role, SubmissionDecision,
    CONFIRM_TIMEOUT, MAX_LAG_TO_JOIN,
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
        generation: 0,
        limits: Default::default(),
        items: vec![item],
    }
}

fn finish(id: &str) -> Command {
    let result = ItemResult { item_index: 0, outcome: ItemOutcome::Succeeded, text: format!("text of {id}") };
    Command::RecordResults { job: id.into(), results: vec![result] }
}

fn view(epoch: u64, chain: &[u32], absent: &[u32], recreated_in_epoch: u64) -> StoreView {
    let numbers = |stores: &[u32]| stores.iter().map(|store| StoreNumber(*store)).collect();
    let group = Group {
        chain: numbers(chain),
        absent: numbers(absent),
        unchanged_since: vec![epoch; chain.len()],
        recreated_in_epoch,
        ..Group::default()
    };
    let mut view = StoreView::default();
    view.epoch = epoch;
    view.groups = vec![group; usize::from(GROUP_COUNT)];
    view
}

fn role_in(view: &StoreView, store: u32) -> Option<Role> {
    Role::of(view, GROUP, StoreNumber(store))
}

/// Returns the role of a store in an open chain of three.
fn role(epoch: u64, store: u32) -> Role {
    role_in(&view(epoch, &[1, 2, 3], &[], 0), store).expect("a link")
}

/// Returns a head that has made entries of these commands in one view, and the entries.
fn head(epoch: u64, commands: &[Command]) -> (Replica, Vec<Entry>) {
    let mut head = Replica::default();
    head.become_head(GROUP, &role(epoch, 1));
    let entries = commands.iter().map(|command| head.create_entry(GROUP, epoch, command.clone())).collect();
    (head, entries)
}

fn batch(after: EntryPosition, entries: &[Entry]) -> EntryBatch {
    let end = entries.last().map_or(after, |last| last.position);
    EntryBatch { group: GROUP, after, entries: entries.to_vec(), end }
}

fn query(id: &str) -> ReadQuery {
    ReadQuery { tenant: TENANT.into(), job: id.into(), start: 0 }
}

#[test]
fn only_links_with_a_predecessor_append_entries_and_install_snapshots() {
    let (head, entries) = head(2, &[Command::Accept(job("a"))]);
    let sent = batch(EntryPosition::default(), &entries);
    let cases = [("the head", Some(role(2, 1)), 0), ("a link", Some(role(2, 2)), 1), ("no link", None, 0)];
    for (case, role, taken) in cases {
        let mut replica = Replica::default();
        let followed = replica.append_as_link(role.as_ref(), &sent);
        assert_eq!((followed.appended.len(), followed.is_caught_up), (taken, taken == 1), "{case}");
        let mut replica = Replica::default();
        let installed = replica.install_snapshot_as_link(role.as_ref(), &head.snapshot());
        assert_eq!(installed == InstallResult::NotInChain, taken == 0, "{case}: {installed:?}");
        assert_eq!(replica.position_in_role(role.as_ref()).is_some(), role.is_some(), "{case}");
    }
    assert!(head.catch_up_for_learner(Some(&role(2, 2)), GROUP, EntryPosition::default()).is_none());
    let missing = head.catch_up_for_learner(Some(&role(2, 1)), GROUP, EntryPosition::default());
    assert_eq!(missing, Some(CatchUp::Entries(sent)));
}

#[test]
fn a_caught_up_link_forwards_entries_once_they_are_durable() {
    let (mut head, entries) = head(2, &[Command::Accept(job("a"))]);
    let end = entries[0].position;
    assert_eq!(head.forward_target(&role(2, 1), end), ForwardTarget::Blocked, "not durable");
    head.mark_durable(end);
    assert_eq!(head.forward_target(&role(2, 1), end), ForwardTarget::Successor(StoreNumber(2)));
    let mut tail = Replica::default();
    tail.append_as_link(Some(&role(2, 3)), &batch(EntryPosition::default(), &entries));
    tail.mark_durable(end);
    assert_eq!(tail.forward_target(&role(2, 3), end), ForwardTarget::EndOfChain);
    assert_eq!(tail.forward_target(&role(3, 3), end), ForwardTarget::Blocked, "not caught up in that view");
    assert!(
        tail.may_report_copied(end, MAX_LAG_TO_JOIN) && !tail.may_report_copied(end, MAX_LAG_TO_JOIN + 1)
    );
    assert!(!tail.may_report_copied(EntryPosition { sequence: 2, epoch: 2 }, 0));
}

#[test]
fn a_successor_that_may_lack_entries_is_repaired() {
    let (mut head, entries) = head(2, &[Command::Accept(job("a"))]);
    let first = role(2, 1);
    assert_eq!(head.repair_urgency(&first, None), RepairUrgency::Immediate, "not checked in this view");
    assert_eq!(head.repair_urgency(&first, Some(2)), RepairUrgency::Delayed, "an entry is uncommitted");
    head.mark_replicated(&first, entries[0].position);
    assert_eq!(head.repair_urgency(&first, Some(2)), RepairUrgency::NotNeeded);
    assert_eq!(
        head.repair_urgency(&role(5, 1), Some(2)),
        RepairUrgency::NotNeeded,
        "a link that is not caught up does not repair"
    );
    assert_eq!(
        Replica::default().repair_urgency(&role(2, 3), None),
        RepairUrgency::NotNeeded,
        "the tail has no successor"
    );
}

#[test]
fn a_head_decides_about_submissions_and_cancellations() {
    let (mut open, entries) = head(2, &[Command::Accept(job("a")), Command::Accept(job("b"))]);
    open.create_entry(GROUP, 2, Command::Cancel { job: "b".into() });
    let closed = role_in(&view(2, &[1], &[2, 3], 0), 1);
    let first = Some(role(2, 1));
    let submissions = [
        ("new", first.clone(), job("c"), 100, SubmissionDecision::Accept),
        (
            "accepted before",
            first.clone(),
            job("a"),
            100,
            SubmissionDecision::AlreadyAccepted(open.position()),
        ),
        ("over the quota", first.clone(), job("c"), 9, SubmissionDecision::OverQuota),
        ("a closed group", closed.clone(), job("c"), 100, SubmissionDecision::NotWritable),
        ("not the head", Some(role(2, 2)), job("c"), 100, SubmissionDecision::NotWritable),
        ("no link", None, job("c"), 100, SubmissionDecision::NotWritable),
    ];
    for (case, role, job, most, expected) in submissions {
        assert_eq!(open.decide_submission(role.as_ref(), &job, most), expected, "{case}");
    }
    let cancellations = [
        ("open", first.clone(), TENANT, "a", CancelDecision::Cancel),
        ("cancelled before", first.clone(), TENANT, "b", CancelDecision::AlreadyCancelled(open.position())),
        ("of another tenant", first.clone(), "u", "a", CancelDecision::NotFound),
        ("unknown", first, TENANT, "c", CancelDecision::NotFound),
        ("a closed group", closed, TENANT, "a", CancelDecision::NotWritable),
    ];
    for (case, role, tenant, job, expected) in cancellations {
        assert_eq!(open.decide_cancellation(role.as_ref(), tenant, job), expected, "{case}");
    }
    let entry = entries[0].position;
    assert_eq!(open.entry_status(entry), EntryStatus::Pending);
    open.mark_replicated(&role(2, 1), entry);
    assert_eq!(open.entry_status(entry), EntryStatus::Committed);
    assert_eq!(open.entry_status(EntryPosition { sequence: 1, epoch: 1 }), EntryStatus::Discarded);
}

#[test]
fn a_successor_is_repaired_step_by_step() {
    let (mut head, entries) = head(2, &[Command::Accept(job("a")), finish("a")]);
    let (first, end) = (role(2, 1), entries[1].position);
    let mut repair = Repair::new(GROUP, 2);
    assert_eq!(repair.on_position(&head, Some(entries[0].position)), RepairStep::Wait);
    assert_eq!(repair.poll(&head, Some(&first)), RepairStep::Wait, "not durable");
    head.mark_durable(end);
    let sent = batch(entries[0].position, &entries[1..]);
    assert_eq!(repair.poll(&head, Some(&first)), RepairStep::Append(sent));
    assert_eq!(repair.on_appended(true), RepairStep::Replicated(first.clone(), end));

    let foreign = EntryPosition { sequence: 9, epoch: 1 };
    let mut repair = Repair::new(GROUP, 2);
    repair.on_position(&head, Some(foreign));
    assert_eq!(repair.poll(&head, Some(&first)), RepairStep::Install(head.snapshot()));
    assert_eq!(repair.poll(&head, Some(&first)), RepairStep::Wait, "the snapshot is in flight");
    assert_eq!(repair.on_installed(Some(&first), true), RepairStep::Append(batch(end, &[])));

    let failures: [(&str, RepairStep); 5] = [
        ("no answer", Repair::new(GROUP, 2).on_position(&head, None)),
        ("not installed", {
            let mut repair = Repair::new(GROUP, 2);
            repair.on_position(&head, Some(foreign));
            repair.poll(&head, Some(&first));
            repair.on_installed(Some(&first), false)
        }),
        ("another view", {
            let mut repair = Repair::new(GROUP, 2);
            repair.on_position(&head, Some(foreign));
            repair.poll(&head, Some(&role(3, 1)))
        }),
        ("not appended", {
            let mut repair = Repair::new(GROUP, 2);
            repair.on_position(&head, Some(end));
            repair.poll(&head, Some(&first));
            repair.on_appended(false)
        }),
        ("an unexpected answer", Repair::new(GROUP, 2).on_appended(true)),
    ];
    for (case, step) in failures {
        assert_eq!(step, RepairStep::Failed, "{case}");
    }
}

/// Returns a caught-up tail that has these entries, not durable yet.
fn caught_up_tail(entries: &[Entry]) -> Replica {
    let mut tail = Replica::default();
    tail.append_as_link(Some(&role(2, 3)), &batch(EntryPosition::default(), entries));
    tail
}

#[test]
fn a_read_returns_durable_entries_in_a_view_that_all_links_confirm() {
    let (_, entries) = head(2, &[Command::Accept(job("a")), finish("a")]);
    let end = entries[1].position;
    let long_poll = Duration::from_millis(300);
    let mut tail = caught_up_tail(&entries);
    let mut read = ReadOperation::new(Some(role(2, 3)), query("a"), long_poll).expect("the tail");
    assert_eq!(read.confirming_links(), [StoreNumber(1), StoreNumber(2)]);
    let mut late = read.clone();
    assert_eq!(late.poll(&mut tail, 2, Duration::ZERO), ReadStep::Wait(CONFIRM_TIMEOUT));
    assert_eq!(late.poll(&mut tail, 2, CONFIRM_TIMEOUT), ReadStep::Undetermined, "no link confirms the view");
    for link in [1, 2] {
        read.record_answer(StoreNumber(link), Some(end));
    }
    assert_eq!(read.poll(&mut tail, 2, Duration::ZERO), ReadStep::Wait(CONFIRM_TIMEOUT), "not on the disk");
    tail.mark_durable(end);
    assert_eq!(read.clone().poll(&mut tail, 3, Duration::ZERO), ReadStep::Undetermined, "another view");
    let ReadStep::Page(page, position) = read.poll(&mut tail, 2, Duration::ZERO) else { panic!("no page") };
    assert_eq!((page.results.len(), position), (1, end));
    let mut unknown = ReadOperation::new(Some(role(2, 3)), query("b"), long_poll).expect("the tail");
    unknown.record_answer(StoreNumber(1), Some(end));
    assert_eq!(unknown.clone().poll(&mut tail, 2, Duration::ZERO), ReadStep::Wait(CONFIRM_TIMEOUT));
    unknown.record_answer(StoreNumber(2), Some(end));
    assert_eq!(unknown.poll(&mut tail, 2, Duration::ZERO), ReadStep::NotFound);
    assert!(ReadOperation::new(Some(role(2, 2)), query("a"), long_poll).is_none(), "not the tail");
    assert!(
        ReadOperation::new(role_in(&view(2, &[3], &[1, 2], 0), 3), query("a"), long_poll).is_none(),
        "closed"
    );
}

#[test]
fn a_read_waits_for_a_result() {
    let (mut head, mut entries) = head(2, &[Command::Accept(job("a"))]);
    let mut tail = caught_up_tail(&entries);
    tail.mark_durable(entries[0].position);
    let long_poll = Duration::from_millis(300);
    let mut read = ReadOperation::new(Some(role(2, 3)), query("a"), long_poll).expect("the tail");
    for link in [1, 2] {
        read.record_answer(StoreNumber(link), Some(entries[0].position));
    }
    assert_eq!(read.poll(&mut tail, 2, Duration::ZERO), ReadStep::Wait(long_poll));
    let ReadStep::Page(page, _) = read.clone().poll(&mut tail, 2, long_poll) else { panic!("no page") };
    assert!(page.results.is_empty(), "the long poll has ended");
    entries.push(head.create_entry(GROUP, 2, finish("a")));
    tail.append_as_link(Some(&role(2, 3)), &batch(entries[0].position, &entries[1..]));
    let waiting = read.poll(&mut tail, 2, Duration::from_millis(100));
    assert_eq!(waiting, ReadStep::Wait(Duration::from_millis(1_100)), "the result is not durable yet");
    tail.mark_durable(entries[1].position);
    assert!(matches!(read.poll(&mut tail, 2, long_poll), ReadStep::Page(page, _) if page.results.len() == 1));
}

#[test]
fn a_group_that_was_given_up_is_recreated_by_its_head() {
    let (mut replica, _) = head(2, &[Command::Accept(job("old")), finish("old")]);
    let recreated = view(6, &[1, 2, 3], &[], 6);
    let mut first = role_in(&recreated, 1).expect("a link");
    first.given_up_jobs = vec!["recorded".into()];
    assert_eq!(
        replica.decide_submission(Some(&first), &job("new"), 0),
        SubmissionDecision::NotWritable,
        "not recreated yet"
    );
    let snapshot = replica.become_head(GROUP, &first).expect("recreated");
    assert_eq!(snapshot.position, EntryPosition { sequence: 1, epoch: 6 });
    assert!(replica.become_head(GROUP, &first).is_none(), "it is recreated only once");
    let expected = [
        ("old", SubmissionDecision::GivenUp),
        ("recorded", SubmissionDecision::GivenUp),
        ("new", SubmissionDecision::Accept),
    ];
    for (id, submission) in expected {
        assert_eq!(replica.decide_submission(Some(&first), &job(id), 0), submission, "{id}");
    }
    assert!(replica.state().may_have_given_up("old") && replica.state().may_have_given_up("whoever"));

    let mut tail = Replica::default();
    let third = role_in(&recreated, 3).expect("a link");
    assert_eq!(
        tail.install_snapshot_as_link(Some(&third), &snapshot),
        InstallResult::Installed { lost_read: None }
    );
    assert!(tail.append_as_link(Some(&third), &batch(snapshot.position, &[])).is_caught_up);
    tail.mark_durable(snapshot.position);
    let mut read = ReadOperation::new(Some(third), query("old"), Duration::ZERO).expect("the tail");
    for link in [1, 2] {
        read.record_answer(StoreNumber(link), Some(snapshot.position));
    }
    assert_eq!(read.poll(&mut tail, 6, Duration::ZERO), ReadStep::GivenUp);

    let (old, old_entries) =
        head(2, &[Command::Accept(job("old")), finish("old"), Command::Accept(job("b"))]);
    let mut back = old.clone();
    back.mark_read(old_entries[1].position);
    let second = role_in(&recreated, 2).expect("a link");
    assert!(
        !back.append_as_link(Some(&second), &batch(snapshot.position, &[])).is_caught_up,
        "a store that comes back has other entries"
    );
    assert_eq!(replica.catch_up_from(GROUP, back.position()), CatchUp::Snapshot);
    let installed = back.install_snapshot_as_link(Some(&second), &snapshot);
    assert_eq!(
        installed,
        InstallResult::Installed { lost_read: None },
        "losing data that was given up is no fault"
    );
    assert_eq!(
        back.install_snapshot(9, &old.snapshot()),
        InstallResult::Outdated,
        "never replaced by a snapshot from before"
    );
}
