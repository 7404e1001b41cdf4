use super::*;

fn members(many: u32) -> Vec<Member> {
    (0..many).map(|server| Member { server, rating: 1.0, zone: 0 }).collect()
}

#[test]
fn turns_follow_the_shares() {
    let mut slice = Slice::default();
    let mut mixed = members(4);
    mixed[0].rating = 3.0;
    slice.set(&mixed, Seat::of_all(0, 1), 6.0);
    let mut given = [0; 4];
    for _ in 0..600 {
        let server = slice.in_turn().next().unwrap();
        given[server as usize] += 1;
        slice.took(server);
    }
    assert_eq!(given, [300, 100, 100, 100]);
}

#[test]
fn one_without_room_makes_up_for_one_turn_and_a_new_one_waits_for_its_own() {
    let mut slice = Slice::default();
    slice.set(&members(3), Seat::of_all(0, 1), 6.0);
    for _ in 0..100 {
        let server = slice.in_turn().find(|server| *server != 2).unwrap();
        slice.took(server);
    }
    let mut first = Vec::new();
    for _ in 0..6 {
        let server = slice.in_turn().next().unwrap();
        first.push(server);
        slice.took(server);
    }
    assert!(first.iter().filter(|server| **server == 2).count() <= 3, "{first:?}");
    // A hundred gateways that hear of a new server do not all begin with it.
    let begin = (0..100).filter(|rank| {
        let mut slice = Slice::default();
        slice.set(&members(10), Seat::of_all(*rank, 100), 6.0);
        let server = slice.in_turn().next().unwrap();
        slice.took(server);
        slice.set(&members(11), Seat::of_all(*rank, 100), 6.0);
        let next = slice.in_turn().next();
        next == Some(10)
    });
    assert!(begin.count() < 30);
}
