use super::*;

const OFFER: Offer = Offer { slots: 400, stores: 10 };
const BEARABLE: Duration = Duration::from_millis(75);

fn after(waits_ms: &[u64]) -> usize {
    let mut window = ItemWindow::default();
    let begun = Instant::now();
    for (number, wait_ms) in waits_ms.iter().enumerate() {
        let now = begun + Duration::from_millis(10) * number as u32;
        window.answered(Duration::from_millis(*wait_ms), BEARABLE, OFFER, now);
    }
    window.size(OFFER)
}

#[test]
fn the_window_follows_how_long_items_wait() {
    let cases = [
        ("nothing known: a store's part", vec![], [40, 40]),
        ("quick answers", vec![20; 60], [100, 100]),
        ("never over the items' part of the slots", vec![20; 900], [320, 320]),
        ("slow answers", vec![300; 200], [20, 30]),
        ("slow for long", vec![300; 2_000], [4, 4]),
        ("one slow answer among quick ones", [vec![20; 30], vec![300], vec![20; 30]].concat(), [101, 101]),
        ("slow, then quick again", [vec![300; 200], vec![20; 300]].concat(), [110, 130]),
    ];
    for (name, waits_ms, [least, most]) in cases {
        let size = after(&waits_ms);
        assert!((least..=most).contains(&size), "{name}: {size}");
    }
}

#[test]
fn a_refusal_for_want_of_room_shrinks_it_once_in_a_while() {
    let mut window = ItemWindow::default();
    let begun = Instant::now();
    for number in 0..10 {
        window.refused(OFFER, begun + Duration::from_millis(30) * number);
    }
    assert_eq!(window.size(OFFER), 34);
    window.refused(OFFER, begun + SHRINK_EVERY);
    assert_eq!(window.size(OFFER), 28);
}

#[test]
fn few_slots_or_many_stores_leave_a_few_items() {
    for (slots, stores, size) in [(0, 0, 4), (8, 1, 6), (8, 12, 4), (400, 12, 33)] {
        assert_eq!(
            ItemWindow::default().size(Offer { slots, stores }),
            size,
            "{slots} slots, {stores} stores"
        );
    }
}
