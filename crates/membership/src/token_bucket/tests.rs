use super::*;
use fennelgauge::time::Span;

#[test]
fn a_flood_gets_the_configured_rate_and_a_clock_jump_at_most_one_burst() {
    let start = Moment::from_micros(1_000_000_000);
    let mut bucket = TokenBucket::new(start, 10.0, 4.0);
    let taken = (0..100_000).filter(|step| bucket.try_take(start + Span::from_micros(step * 100))).count();
    assert_eq!((taken, bucket.rejected), (103, 99_897));
    assert!((0..9).filter(|_| bucket.try_take(start + Span::from_secs(1e6))).count() == 4);
    assert!(!bucket.try_take(start) && !bucket.try_take(start + Span::from_millis(99)));
    assert!(bucket.try_take(start + Span::from_millis(101)), "a clock set back stops nothing");
}
