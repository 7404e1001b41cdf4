use super::*;

#[test]
fn a_slice_is_as_large_as_evenness_takes_and_stays_so() {
    let sizes = [0.0, 0.1, 1.0, 2.0, 3.0, 50.0, f64::INFINITY].map(|pace| subset_size(pace, 0.0));
    assert_eq!(sizes, [6.0, 6.0, 6.0, 3.0, 2.0, 2.0, 2.0]);
    assert_eq!(subset_size(f64::NAN, 0.0), 6.0);
    assert_eq!([0.9, 1.3, 1.7, 3.0].map(|pace| subset_size(pace, 6.0)), [6.0, 6.0, 3.0, 2.0]);
    assert_eq!([4.0, 2.0, 1.5].map(|pace| subset_size(pace, 2.0)), [2.0, 2.0, 3.0]);
}

#[test]
fn a_pace_begins_high_and_follows_what_is_sent() {
    let mut pace = RelayRate::new(100.0);
    assert_eq!(pace.per_second(100.0), 3.0);
    (1..=60).for_each(|second| pace.record(100.0 + f64::from(second)));
    assert!((pace.per_second(160.0) - 1.0).abs() < 0.1, "{}", pace.per_second(160.0));
    (1..=60).for_each(|tenth| pace.record(160.0 + f64::from(tenth) / 10.0));
    assert!(pace.per_second(166.0) > 2.5);
    assert!(pace.per_second(300.0) < 0.1);
}
