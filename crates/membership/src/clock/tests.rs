use super::*;

#[test]
fn pauses_do_not_count_as_active_time_and_a_clock_set_back_adds_none() {
    let start = Moment::from_micros(50_000_000);
    let mut clock = ActiveClock::new(start);
    for step in 1..=8 {
        clock.advance(start + Span::from_millis(250 * step));
    }
    assert_eq!(clock.advance(start + Span::from_millis(2_000)), start + Span::from_millis(2_000));
    // Stopped for 3.25 s, of which 0.25 s count as active.
    assert_eq!(clock.advance(start + Span::from_millis(5_250)), start + Span::from_millis(2_250));
    assert_eq!((clock.recent_pauses(), clock.total_paused), (1, Span::from_millis(3_000)));
    // The clock is set back, then continues normally.
    let back = Moment::from_micros(1_000_000);
    assert_eq!(clock.advance(back), start + Span::from_millis(2_250));
    assert_eq!(clock.advance(back + Span::from_millis(100)), start + Span::from_millis(2_350));
    for step in 1..=120 {
        clock.advance(back + Span::from_millis(100 + 100 * step));
    }
    assert_eq!(clock.recent_pauses(), 0);
}
