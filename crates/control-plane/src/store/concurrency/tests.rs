use super::*;

const CAPACITY: ServiceCapacity = ServiceCapacity { slots: 400, stores: 10 };
const MAX_WAIT: Duration = Duration::from_millis(75);

/// Returns the size after responses with these waits, 10 ms apart.
fn size_after(waits_ms: &[u64]) -> usize {
    let mut window = ConcurrencyWindow::default();
    let start = Instant::now();
    for (number, wait_ms) in waits_ms.iter().enumerate() {
        let now = start + Duration::from_millis(10) * number as u32;
        window.on_response(Duration::from_millis(*wait_ms), MAX_WAIT, CAPACITY, now);
    }
    window.size(CAPACITY)
}

#[test]
fn size_follows_the_waits_for_responses() {
    let cases = [
        ("no response yet: an equal share", vec![], [40, 40]),
        ("quick responses", vec![20; 60], [100, 100]),
        ("never more than the share of slots for items", vec![20; 900], [320, 320]),
        ("slow responses", vec![300; 200], [20, 30]),
        ("slow responses for a long time", vec![300; 2_000], [4, 4]),
        ("one slow response among quick ones", [vec![20; 30], vec![300], vec![20; 30]].concat(), [101, 101]),
        ("slow, then quick again", [vec![300; 200], vec![20; 300]].concat(), [110, 130]),
    ];
    for (name, waits_ms, [min, max]) in cases {
        let size = size_after(&waits_ms);
        assert!((min..=max).contains(&size), "{name}: {size}");
    }
}

#[test]
fn repeated_overload_decreases_the_size_once_per_interval() {
    let mut window = ConcurrencyWindow::default();
    let start = Instant::now();
    for number in 0..10 {
        window.on_overload(CAPACITY, start + Duration::from_millis(30) * number);
    }
    assert_eq!(window.size(CAPACITY), 34);
    window.on_overload(CAPACITY, start + DECREASE_INTERVAL);
    assert_eq!(window.size(CAPACITY), 28);
}

#[test]
fn size_has_a_minimum_for_few_slots_or_many_stores() {
    for (slots, stores, size) in [(0, 0, 4), (8, 1, 6), (8, 12, 4), (400, 12, 33)] {
        assert_eq!(
            ConcurrencyWindow::default().size(ServiceCapacity { slots, stores }),
            size,
            "{slots} slots, {stores} stores"
        );
    }
}
