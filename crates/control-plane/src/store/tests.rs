mod configuration_wait;
mod failures;
mod running_store;
mod stable_reads;

use super::journal::{Journal, Record};
use fennelgauge_batch::{Command, Item, Job};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::Replica;

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

/// Returns the path of an empty directory for a test.
fn journal_directory(test: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("fennelgauge-journal-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Returns a group with one accepted job for each id, and the journal records of its entries.
fn group_with_jobs(ids: &[&str]) -> (Replica, Vec<Record>) {
    let mut group = Replica::default();
    let records = ids.iter().map(|id| Record::Entry(group.create_entry(GROUP, 1, accept(id)))).collect();
    (group, records)
}

#[test]
fn records_are_read_in_order_and_a_checkpoint_replaces_the_earlier_ones() {
    let path = journal_directory("order");
    let (group, records) = group_with_jobs(&["a", "b", "c"]);
    let (journal, found) = Journal::open(Some(&path)).expect("a journal");
    assert!(found.is_empty());
    for record in &records {
        assert_eq!(journal.write(std::slice::from_ref(record), false).blocking_recv(), Ok(true));
    }
    let (_, found) = Journal::open(Some(&path)).expect("a journal");
    assert_eq!(found.len(), 3);
    let checkpoint = [Record::Snapshot { group: GROUP, copy: group.snapshot() }];
    assert_eq!(journal.write(&checkpoint, true).blocking_recv(), Ok(true));
    let (_, found) = Journal::open(Some(&path)).expect("a journal");
    let [Record::Snapshot { copy, .. }] = found.as_slice() else {
        panic!("only the checkpoint's snapshot is left")
    };
    assert_eq!(copy.position, group.position());
    std::fs::remove_dir_all(path).expect("removed");
}

#[test]
fn after_a_failed_write_no_write_succeeds_before_a_checkpoint() {
    let path = journal_directory("failed");
    let (group, records) = group_with_jobs(&["a", "b", "c"]);
    let (journal, _) = Journal::open(Some(&path)).expect("a journal");
    assert_eq!(journal.write(&records[..1], false).blocking_recv(), Ok(true));
    let moved = path.with_extension("moved");
    std::fs::rename(path.join("journal"), &moved).expect("directory moved away");
    assert_eq!(journal.write(&records[1..2], false).blocking_recv(), Ok(false));
    std::fs::rename(&moved, path.join("journal")).expect("directory moved back");
    assert_eq!(
        journal.write(&records[2..], false).blocking_recv(),
        Ok(false),
        "a record before it is missing"
    );
    assert_eq!(journal.write(&[], false).blocking_recv(), Ok(false));
    let checkpoint = [Record::Snapshot { group: GROUP, copy: group.snapshot() }];
    assert_eq!(journal.write(&checkpoint, true).blocking_recv(), Ok(true));
    assert_eq!(journal.write(&[], false).blocking_recv(), Ok(true));
    std::fs::remove_dir_all(path).expect("removed");
}
