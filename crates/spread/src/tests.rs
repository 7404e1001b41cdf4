use super::*;

#[test]
fn subset_size_follows_the_relay_rate_and_ignores_small_changes() {
    let sizes = [0.0, 0.1, 1.0, 2.0, 3.0, 50.0, f64::INFINITY].map(|rate| subset_size(rate, 0.0));
    assert_eq!(sizes, [6.0, 6.0, 6.0, 3.0, 2.0, 2.0, 2.0]);
    assert_eq!(subset_size(f64::NAN, 0.0), 6.0);
    assert_eq!([0.9, 1.3, 1.7, 3.0].map(|rate| subset_size(rate, 6.0)), [6.0, 6.0, 3.0, 2.0]);
    assert_eq!([4.0, 2.0, 1.5].map(|rate| subset_size(rate, 2.0)), [2.0, 2.0, 3.0]);
}

#[test]
fn relay_rate_starts_high_and_follows_the_relays_sent() {
    let mut rate = RelayRate::new(100.0);
    assert_eq!(rate.per_second(100.0), 3.0);
    (1..=60).for_each(|second| rate.record(100.0 + f64::from(second)));
    assert!((rate.per_second(160.0) - 1.0).abs() < 0.1, "{}", rate.per_second(160.0));
    (1..=60).for_each(|tenth| rate.record(160.0 + f64::from(tenth) / 10.0));
    assert!(rate.per_second(166.0) > 2.5);
    assert!(rate.per_second(300.0) < 0.1);
}
