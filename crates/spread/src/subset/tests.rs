use super::*;

fn servers(count: u32) -> Vec<Candidate> {
    (0..count).map(|server| Candidate { server, rating: 1.0, zone: 0 }).collect()
}

#[test]
fn turns_follow_the_shares() {
    let mut subset = Subset::default();
    let mut mixed = servers(4);
    mixed[0].rating = 3.0;
    subset.update(&mixed, RingPosition::among_all(0, 1), 6.0);
    let mut sent = [0; 4];
    for _ in 0..600 {
        let server = subset.in_turn_order().next().unwrap();
        sent[server as usize] += 1;
        subset.record_relay(server);
    }
    assert_eq!(sent, [300, 100, 100, 100]);
}

#[test]
fn a_skipped_server_catches_up_by_one_turn_and_a_new_one_waits_for_its_turn() {
    let mut subset = Subset::default();
    subset.update(&servers(3), RingPosition::among_all(0, 1), 6.0);
    for _ in 0..100 {
        let server = subset.in_turn_order().find(|server| *server != 2).unwrap();
        subset.record_relay(server);
    }
    let mut first = Vec::new();
    for _ in 0..6 {
        let server = subset.in_turn_order().next().unwrap();
        first.push(server);
        subset.record_relay(server);
    }
    assert!(first.iter().filter(|server| **server == 2).count() <= 3, "{first:?}");
    // A hundred gateways that learn of a new server do not all use it next.
    let use_it_next = (0..100).filter(|own| {
        let mut subset = Subset::default();
        subset.update(&servers(10), RingPosition::among_all(*own, 100), 6.0);
        let server = subset.in_turn_order().next().unwrap();
        subset.record_relay(server);
        subset.update(&servers(11), RingPosition::among_all(*own, 100), 6.0);
        let next = subset.in_turn_order().next();
        next == Some(10)
    });
    assert!(use_it_next.count() < 30);
}
