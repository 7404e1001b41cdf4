use std::path::{Path, PathBuf};

use fennelgauge_coordination::{Acceptor, Ballot, Replicated};
use fennelgauge_wire::{ChangeKind, ConfigurationChange};

use super::*;
use crate::state::{Decision, StateChange};

fn settings(path: &Path, bootstrap: bool) -> Settings {
    let text = format!(
        "node = \"a\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7010]\ncounts_for_quorum = true\n\
         bootstrap = {bootstrap}\nseeds = [\"127.0.0.1:8000\", \"127.0.0.2:8000\", \"127.0.0.3:8000\"]\n\
         data_dir = {path:?}\n[tolerate]\nmachines = 1\n"
    );
    Settings::parse(&text, Path::new("test.toml")).expect("settings")
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fennelgauge-storage-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn written(storage: &Storage, writes: Writes) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(storage.write(writes))
}

fn configured(generation: u64) -> ControlState {
    let body = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes();
    match ControlState::default().decide(&ConfigurationChange {
        kind: ChangeKind::Put,
        base_generation: 0,
        body,
    }) {
        Decision::New(state) => *state,
        other => panic!("{other:?}"),
    }
}

fn value(sequence: u64, state: &ControlState) -> Option<(Version, Arc<ControlState>)> {
    Some((Version { epoch: 1, sequence, digest: state.digest() }, Arc::new(state.clone())))
}

fn promised(stored: &DurableState<ControlState>, round: u64) -> VotingRecord {
    let view = stored.record.acceptor.view.clone();
    let mut acceptor = Acceptor::new(view);
    let proposer = Identity { node: "b".to_owned(), disk: 7 };
    acceptor.prepare(&Ballot { round, proposer }).expect("promised");
    VotingRecord { acceptor, persist_request: None }
}

fn files(path: &Path, name: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(path.join(name)).expect("a folder");
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| !file.to_string_lossy().ends_with("unreadable"));
    files.sort();
    files
}

/// A disk with an identity, two records and two values, and what it held last.
fn filled(name: &str) -> (PathBuf, Identity, VotingRecord) {
    let path = folder(name);
    let opened = Storage::open(&settings(&path, true)).expect("opened");
    let first = promised(&opened.stored, 1);
    let second = promised(&opened.stored, 2);
    for (record, state, sequence) in [(first, configured(3), 1), (second.clone(), configured(4), 2)] {
        assert!(written(&opened.storage, Writes { record: Some(record), value: value(sequence, &state) }));
    }
    (path, opened.identity, second)
}

#[test]
fn what_was_written_is_found_again_under_the_same_identity() {
    let (path, identity, record) = filled("found");
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(opened.identity, identity);
    assert_eq!(opened.stored.record, record);
    assert_eq!(opened.stored.value.generation(), 4);
    assert_eq!(opened.stored.version.sequence, 2);
}

#[test]
fn seeds_of_the_very_first_start_are_kept_and_come_from_no_later_one() {
    let path = folder("seeds");
    let first = Storage::open(&settings(&path, true)).expect("opened");
    assert_eq!(first.stored.record.acceptor.view.voters.len(), 3);
    drop(first);
    let again = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(again.stored.record.acceptor.view.voters.len(), 3);
    let empty = Storage::open(&settings(&folder("wiped"), false)).expect("opened");
    assert!(empty.stored.record.acceptor.view.voters.is_empty(), "an empty disk votes for nothing");
}

#[test]
fn whoever_cannot_read_what_it_promised_or_held_is_somebody_else() {
    for damaged in ["identity", "record", "value", "configuration"] {
        for truncated in [true, false] {
            let (path, identity, _) = filled(&format!("damaged-{damaged}-{truncated}"));
            let newest = files(&path, damaged).pop().expect("a file");
            match truncated {
                true => std::fs::write(&newest, b"FGVER").expect("written"),
                false => {
                    let mut bytes = std::fs::read(&newest).expect("read");
                    *bytes.last_mut().expect("bytes") ^= 1;
                    std::fs::write(&newest, bytes).expect("written");
                }
            }
            let opened = Storage::open(&settings(&path, false)).expect("opened");
            assert_ne!(opened.identity, identity, "{damaged}: an older file is not taken for the newest");
            assert!(opened.stored.record.acceptor.view.voters.is_empty(), "{damaged}");
            assert_eq!(opened.stored.version.sequence, 0, "{damaged}");
            drop(opened.storage);
            let again = Storage::open(&settings(&path, false)).expect("opened");
            assert_eq!(again.identity, opened.identity, "{damaged}: the new identity stays");
        }
    }
}

#[test]
fn records_without_the_identity_that_made_them_do_not_count() {
    let (path, identity, _) = filled("no-identity");
    std::fs::remove_dir_all(path.join("identity")).expect("removed");
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_ne!(opened.identity, identity);
    assert!(opened.stored.record.acceptor.view.voters.is_empty());
}

#[test]
fn a_configuration_is_written_once_and_kept_while_a_version_has_it() {
    let path = folder("once");
    let opened = Storage::open(&settings(&path, true)).expect("opened");
    let state = configured(3);
    for sequence in 1..=40 {
        let window = StateChange::Usage { window: sequence, counts: Default::default() };
        let state = state.apply(&window.written()).expect("applied");
        assert!(written(&opened.storage, Writes { record: None, value: value(sequence, &state) }));
    }
    assert_eq!(files(&path, "configuration").len(), 1);
    assert_eq!(files(&path, "value").len(), KEPT);
    for generation in 4..20 {
        let state = configured(generation);
        assert!(written(&opened.storage, Writes { record: None, value: value(40 + generation, &state) }));
    }
    assert_eq!(files(&path, "configuration").len(), KEPT);
    drop(opened);
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(opened.stored.value.generation(), 19);
}

#[test]
fn a_version_may_be_replaced_by_one_that_is_called_older() {
    let (path, _, _) = filled("back");
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    let state = configured(3);
    assert!(written(&opened.storage, Writes { record: None, value: value(1, &state) }));
    drop(opened);
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(opened.stored.version.sequence, 1, "the last one written counts");
}
