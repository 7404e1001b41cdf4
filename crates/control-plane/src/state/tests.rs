use super::*;

fn order(base: u64, generation: u64, note: &str) -> ConfigurationChange {
    let body = format!(r#"{{"generation":{generation},"note":"{note}","routes":[],"services":[]}}"#);
    ConfigurationChange { kind: ChangeKind::Put, base_generation: base, body: body.into_bytes() }
}

fn taken(state: &ControlState, order: &ConfigurationChange) -> ControlState {
    state.apply(&StateChange::Order(order.clone()).written()).expect("taken")
}

#[test]
fn orders_are_decided_by_what_they_build_on_and_by_their_content() {
    let first = order(0, 3, "a");
    let state = taken(&ControlState::default(), &first);
    let state = taken(&state, &order(3, 7, "b"));
    let same_number = order(3, 7, "c");
    let cases = [
        ("sent again", order(3, 7, "b"), Decision::Known),
        ("sent again after another was taken", first, Decision::Known),
        ("the same number, another content", same_number, Decision::Conflict { current: 7 }),
        ("a version that is not current", order(5, 9, "d"), Decision::Conflict { current: 7 }),
    ];
    for (what, order, expected) in cases {
        assert_eq!(state.decide(&order), expected, "{what}");
    }
    assert!(matches!(state.decide(&order(7, 7, "e")), Decision::Invalid(_)));
    assert!(matches!(state.decide(&order(7, 8, "e")), Decision::New(_)));
    let patch = ConfigurationChange { kind: ChangeKind::Patch, ..order(7, 8, "e") };
    let put = ConfigurationChange { kind: ChangeKind::Put, ..order(7, 8, "e") };
    let state = taken(&state, &put);
    assert_eq!(state.decide(&put), Decision::Known);
    assert_eq!(state.decide(&patch), Decision::Conflict { current: 8 }, "another kind of order");
}

#[test]
fn what_is_remembered_no_more_is_never_refused() {
    let mut state = ControlState::default();
    let old = order(0, 1, "first");
    state = taken(&state, &old);
    for generation in 2..=(ORDERS_KEPT as u64 + 1) {
        state = taken(&state, &order(generation - 1, generation, "next"));
    }
    assert_eq!(state.decide(&old), Decision::Forgotten, "it may be one that was taken");
    assert!(matches!(state.decide(&order(1, 2, "other")), Decision::Conflict { .. }));
    assert_eq!(state.decide(&order(1, 2, "next")), Decision::Known);
}

#[test]
fn a_copy_is_the_same_state() {
    let state = taken(&ControlState::default(), &order(0, 3, "a"));
    let copy = ControlState::decode(&state.encode()).expect("read");
    assert_eq!(copy, state);
    assert_eq!(copy.digest(), state.digest());
    assert_ne!(state.digest(), ControlState::default().digest());
    assert_eq!(ControlState::decode(b"junk"), None);
}

#[test]
fn a_change_that_cannot_be_read_or_applied_changes_nothing() {
    let state = taken(&ControlState::default(), &order(0, 3, "a"));
    assert_eq!(state.apply(b""), None);
    assert_eq!(state.apply(&StateChange::Order(order(0, 9, "late")).written()), None);
    assert_eq!(state.apply(&StateChange::Retire { node: "nobody".to_owned() }.written()), None);
}

#[test]
fn counts_of_a_window_are_fixed_once() {
    let counts = BTreeMap::from([("t".to_owned(), 4)]);
    let state = ControlState::default();
    let change = state.usage_change(9, counts.clone()).expect("not fixed yet");
    let state = state.apply(&change.written()).expect("fixed");
    assert_eq!(state.small.usage.get(&9), Some(&counts));
    assert_eq!(state.usage_change(9, BTreeMap::new()), None);
}
