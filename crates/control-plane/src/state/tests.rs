use super::*;

fn put(base_generation: u64, generation: u64, note: &str) -> ConfigurationChange {
    let body = format!(r#"{{"generation":{generation},"note":"{note}","routes":[],"services":[]}}"#);
    ConfigurationChange { kind: ChangeKind::Put, base_generation, body: body.into_bytes() }
}

fn applied(state: &ControlState, change: &ConfigurationChange) -> ControlState {
    state.apply(&StateChange::Configure(change.clone()).encode_for_chain()).expect("applied")
}

#[test]
fn changes_are_decided_by_base_generation_and_content() {
    let first = put(0, 3, "a");
    let state = applied(&ControlState::default(), &first);
    let state = applied(&state, &put(3, 7, "b"));
    let same_generation = put(3, 7, "c");
    let cases = [
        ("sent again", put(3, 7, "b"), Decision::AlreadyApplied),
        ("sent again after another change was applied", first, Decision::AlreadyApplied),
        ("same generation, other content", same_generation, Decision::Conflict { current: 7 }),
        (
            "based on another generation than the current one",
            put(5, 9, "d"),
            Decision::Conflict { current: 7 },
        ),
    ];
    for (name, change, expected) in cases {
        assert_eq!(state.decide(&change), expected, "{name}");
    }
    assert!(matches!(state.decide(&put(7, 7, "e")), Decision::Invalid(_)));
    assert!(matches!(state.decide(&put(7, 8, "e")), Decision::New(_)));
    let patch = ConfigurationChange { kind: ChangeKind::Patch, ..put(7, 8, "e") };
    let put = ConfigurationChange { kind: ChangeKind::Put, ..put(7, 8, "e") };
    let state = applied(&state, &put);
    assert_eq!(state.decide(&put), Decision::AlreadyApplied);
    assert_eq!(state.decide(&patch), Decision::Conflict { current: 8 }, "another kind of change");
}

#[test]
fn change_that_may_have_been_forgotten_is_undetermined() {
    let mut state = ControlState::default();
    let old = put(0, 1, "first");
    state = applied(&state, &old);
    for generation in 2..=(MAX_REMEMBERED_CHANGES as u64 + 1) {
        state = applied(&state, &put(generation - 1, generation, "next"));
    }
    assert_eq!(state.decide(&old), Decision::Undetermined, "it may be one that was applied");
    assert!(matches!(state.decide(&put(1, 2, "other")), Decision::Conflict { .. }));
    assert_eq!(state.decide(&put(1, 2, "next")), Decision::AlreadyApplied);
}

#[test]
fn decoded_state_equals_the_encoded_one() {
    let state = applied(&ControlState::default(), &put(0, 3, "a"));
    let copy = ControlState::decode(&state.encode()).expect("read");
    assert_eq!(copy, state);
    assert_eq!(copy.digest(), state.digest());
    assert_ne!(state.digest(), ControlState::default().digest());
    assert_eq!(ControlState::decode(b"junk"), None);
}

#[test]
fn change_that_cannot_be_decoded_or_applied_is_rejected() {
    let state = applied(&ControlState::default(), &put(0, 3, "a"));
    assert_eq!(state.apply(b""), None);
    assert_eq!(state.apply(&StateChange::Configure(put(0, 9, "late")).encode_for_chain()), None);
    assert_eq!(state.apply(&StateChange::Retire { node: "nobody".to_owned() }.encode_for_chain()), None);
}

#[test]
fn counts_of_a_window_are_committed_once() {
    let counts = BTreeMap::from([("t".to_owned(), 4)]);
    let state = ControlState::default();
    let change = state.usage_change(9, counts.clone()).expect("not committed yet");
    let state = state.apply(&change.encode_for_chain()).expect("committed");
    assert_eq!(state.metadata.usage.get(&9), Some(&counts));
    assert_eq!(state.usage_change(9, BTreeMap::new()), None);
}
