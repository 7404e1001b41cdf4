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

fn empty_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fennelgauge-storage-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn written(storage: &Storage, writes: Writes) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(storage.write(writes))
}

fn state_with_generation(generation: u64) -> ControlState {
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

/// Returns a record that promises a ballot of this round to another member.
fn record_promising(stored: &DurableState<ControlState>, round: u64) -> VotingRecord {
    let view = stored.record.acceptor.view.clone();
    let mut acceptor = Acceptor::new(view);
    let proposer = Identity { node: "b".to_owned(), disk: 7 };
    acceptor.prepare(&Ballot { round, proposer }).expect("promised");
    VotingRecord { acceptor, persist_request: None }
}

fn files(path: &Path, name: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(path.join(name)).expect("a directory");
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| !file.to_string_lossy().ends_with("unreadable"));
    files.sort();
    files
}

/// Creates a data directory with an identity, two records and two values, and returns the identity and the newest
/// record with it.
fn filled_directory(name: &str) -> (PathBuf, Identity, VotingRecord) {
    let path = empty_directory(name);
    let opened = Storage::open(&settings(&path, true)).expect("opened");
    let first = record_promising(&opened.stored, 1);
    let second = record_promising(&opened.stored, 2);
    for (record, state, sequence) in
        [(first, state_with_generation(3), 1), (second.clone(), state_with_generation(4), 2)]
    {
        assert!(written(&opened.storage, Writes { record: Some(record), value: value(sequence, &state) }));
    }
    (path, opened.identity, second)
}

#[test]
fn written_data_is_loaded_under_the_same_identity() {
    let (path, identity, record) = filled_directory("found");
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(opened.identity, identity);
    assert_eq!(opened.stored.record, record);
    assert_eq!(opened.stored.value.generation(), 4);
    assert_eq!(opened.stored.version.sequence, 2);
}

#[test]
fn seeds_are_stored_at_the_first_start_and_not_taken_later() {
    let path = empty_directory("seeds");
    let first = Storage::open(&settings(&path, true)).expect("opened");
    assert_eq!(first.stored.record.acceptor.view.voters.len(), 3);
    drop(first);
    let again = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(again.stored.record.acceptor.view.voters.len(), 3);
    let empty = Storage::open(&settings(&empty_directory("wiped"), false)).expect("opened");
    assert!(empty.stored.record.acceptor.view.voters.is_empty(), "an empty disk votes for nothing");
}

#[test]
fn member_with_unreadable_data_gets_a_new_identity() {
    for damaged in ["identity", "record", "value", "configuration"] {
        for truncated in [true, false] {
            let (path, identity, _) = filled_directory(&format!("damaged-{damaged}-{truncated}"));
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
fn records_without_their_identity_are_discarded() {
    let (path, identity, _) = filled_directory("no-identity");
    std::fs::remove_dir_all(path.join("identity")).expect("removed");
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_ne!(opened.identity, identity);
    assert!(opened.stored.record.acceptor.view.voters.is_empty());
}

#[test]
fn configuration_is_written_once_and_kept_while_a_version_refers_to_it() {
    let path = empty_directory("once");
    let opened = Storage::open(&settings(&path, true)).expect("opened");
    let state = state_with_generation(3);
    for sequence in 1..=40 {
        let window = StateChange::CommitUsage { window: sequence, counts: Default::default() };
        let state = state.apply(&window.encode_for_chain()).expect("applied");
        assert!(written(&opened.storage, Writes { record: None, value: value(sequence, &state) }));
    }
    assert_eq!(files(&path, "configuration").len(), 1);
    assert_eq!(files(&path, "value").len(), VERSIONS_KEPT);
    for generation in 4..20 {
        let state = state_with_generation(generation);
        assert!(written(&opened.storage, Writes { record: None, value: value(40 + generation, &state) }));
    }
    assert_eq!(files(&path, "configuration").len(), VERSIONS_KEPT);
    drop(opened);
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(opened.stored.value.generation(), 19);
}

#[test]
fn last_written_version_counts_even_if_its_sequence_is_lower() {
    let (path, _, _) = filled_directory("back");
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    let state = state_with_generation(3);
    assert!(written(&opened.storage, Writes { record: None, value: value(1, &state) }));
    drop(opened);
    let opened = Storage::open(&settings(&path, false)).expect("opened");
    assert_eq!(opened.stored.version.sequence, 1, "the last one written counts");
}
