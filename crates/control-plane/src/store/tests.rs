mod shown;

use super::group::{HeldGroup, Offer};
use super::journal::{Journal, Record};
use fennelgauge_batch::{Command, Item, Job};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_wire::EntryPosition;

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

#[test]
fn a_successor_takes_entries_in_order_only() {
    let mut head = HeldGroup::default();
    let entries: Vec<_> = ["a", "b", "c"].iter().map(|id| head.create(GROUP, 1, accept(id))).collect();
    let mut next = HeldGroup::default();
    assert_eq!(next.offer(&entries[1]), Offer::Gap);
    assert_eq!(next.offer(&entries[0]), Offer::Taken);
    assert_eq!(next.offer(&entries[0]), Offer::Had);
    assert_eq!(next.offer(&entries[1]), Offer::Taken);
    assert_eq!(head.after(next.position()), Some(vec![entries[2].clone()]));
    assert_eq!(next.state().queued_tokens("t", "r"), 10);
}

#[test]
fn what_a_deposed_head_made_alone_is_told_apart() {
    let mut old = HeldGroup::default();
    let shared = old.create(GROUP, 1, accept("a"));
    let mut new = HeldGroup::default();
    assert_eq!(new.offer(&shared), Offer::Taken);
    let lost = old.create(GROUP, 1, accept("lost"));
    let kept = new.create(GROUP, 2, accept("kept"));
    assert_eq!(old.offer(&kept), Offer::Conflict);
    assert!(!new.contains(lost.position), "same place, other epoch");
    assert_eq!(new.after(old.position()), None, "a whole copy is needed");
    assert!(old.install(&new.copy()));
    assert!(old.contains(kept.position) && !old.contains(lost.position));
    assert!(old.state().job("lost").is_none() && old.state().job("kept").is_some());
}

#[test]
fn places_are_found_by_the_epoch_they_were_made_in() {
    let mut group = HeldGroup::default();
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

fn journal_folder(test: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("fennelgauge-journal-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn entries(ids: &[&str]) -> (HeldGroup, Vec<Record>) {
    let mut group = HeldGroup::default();
    let records = ids.iter().map(|id| Record::Entry(group.create(GROUP, 1, accept(id)))).collect();
    (group, records)
}

#[test]
fn records_come_back_in_order_and_a_whole_write_replaces_the_earlier_ones() {
    let path = journal_folder("order");
    let (group, records) = entries(&["a", "b", "c"]);
    let (journal, found) = Journal::open(Some(&path)).expect("a journal");
    assert!(found.is_empty());
    for record in &records {
        assert_eq!(journal.write(std::slice::from_ref(record), false).blocking_recv(), Ok(true));
    }
    let (_, found) = Journal::open(Some(&path)).expect("a journal");
    assert_eq!(found.len(), 3);
    let whole = [Record::Copy { group: GROUP, copy: group.copy() }];
    assert_eq!(journal.write(&whole, true).blocking_recv(), Ok(true));
    let (_, found) = Journal::open(Some(&path)).expect("a journal");
    let [Record::Copy { copy, .. }] = found.as_slice() else { panic!("only the whole copy is left") };
    assert_eq!(copy.position, group.position());
    std::fs::remove_dir_all(path).expect("removed");
}

#[test]
fn after_a_failed_write_nothing_counts_until_all_is_written_anew() {
    let path = journal_folder("failed");
    let (group, records) = entries(&["a", "b", "c"]);
    let (journal, _) = Journal::open(Some(&path)).expect("a journal");
    assert_eq!(journal.write(&records[..1], false).blocking_recv(), Ok(true));
    let moved = path.with_extension("moved");
    std::fs::rename(path.join("journal"), &moved).expect("the folder is gone");
    assert_eq!(journal.write(&records[1..2], false).blocking_recv(), Ok(false));
    std::fs::rename(&moved, path.join("journal")).expect("the folder is back");
    assert_eq!(journal.write(&records[2..], false).blocking_recv(), Ok(false), "one is missing before it");
    assert_eq!(journal.write(&[], false).blocking_recv(), Ok(false));
    let whole = [Record::Copy { group: GROUP, copy: group.copy() }];
    assert_eq!(journal.write(&whole, true).blocking_recv(), Ok(true));
    assert_eq!(journal.write(&[], false).blocking_recv(), Ok(true));
    std::fs::remove_dir_all(path).expect("removed");
}
