use super::wrong_in;

fn body(events: &[&str]) -> String {
    let event = |(place, data): (usize, &&str)| format!("id: {}\ndata: {data}\n\n", place + 1);
    events.iter().enumerate().map(event).collect()
}

#[test]
fn an_answer_has_all_events_of_one_run_in_order() {
    let whole = ["a 1 run x", "a 2 run x", "a 3 run x", "a 4 run x", "a 5 run x"];
    assert_eq!(wrong_in("a", &body(&whole)), None);
    let mut cases = vec![body(&whole[..4]), body(&[])];
    for (place, event) in [(1, "a 2 run y"), (2, "b 3 run x"), (3, "a 3 run x")] {
        let mut events = whole;
        events[place] = event;
        cases.push(body(&events));
    }
    for case in cases {
        assert!(wrong_in("a", &case).is_some(), "{case}");
    }
}
