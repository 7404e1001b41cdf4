use super::*;

fn members(many: u32) -> Vec<Candidate> {
    (0..many).map(|server| Candidate { server, rating: 1.0, zone: 0 }).collect()
}

#[test]
fn turns_follow_the_shares() {
    let mut slice = Subset::default();
    let mut mixed = members(4);
    mixed[0].rating = 3.0;
    slice.update(&mixed, RingPosition::among_all(0, 1), 6.0);
    let mut given = [0; 4];
    for _ in 0..600 {
        let server = slice.in_turn_order().next().unwrap();
        given[server as usize] += 1;
        slice.record_relay(server);
    }
    assert_eq!(given, [300, 100, 100, 100]);
}

#[test]
fn one_without_room_makes_up_for_one_turn_and_a_new_one_waits_for_its_own() {
    let mut slice = Subset::default();
    slice.update(&members(3), RingPosition::among_all(0, 1), 6.0);
    for _ in 0..100 {
        let server = slice.in_turn_order().find(|server| *server != 2).unwrap();
        slice.record_relay(server);
    }
    let mut first = Vec::new();
    for _ in 0..6 {
        let server = slice.in_turn_order().next().unwrap();
        first.push(server);
        slice.record_relay(server);
    }
    assert!(first.iter().filter(|server| **server == 2).count() <= 3, "{first:?}");
    // A hundred gateways that hear of a new server do not all begin with it.
    let begin = (0..100).filter(|rank| {
        let mut slice = Subset::default();
        slice.update(&members(10), RingPosition::among_all(*rank, 100), 6.0);
        let server = slice.in_turn_order().next().unwrap();
        slice.record_relay(server);
        slice.update(&members(11), RingPosition::among_all(*rank, 100), 6.0);
        let next = slice.in_turn_order().next();
        next == Some(10)
    });
    assert!(begin.count() < 30);
}
