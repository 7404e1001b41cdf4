use super::*;

#[test]
fn estimate_covers_nearly_all_runs() {
    type Case = (&'static str, Vec<(u64, u64)>, [u64; 2]);
    let cases: [Case; 4] = [
        ("no runs recorded", vec![], [0, 0]),
        ("equal runs", vec![(1_000, 1_500); 50], [3_000, 3_020]),
        (
            "durations in proportion to tokens",
            (1..50).map(|part| (part * 100, part * 150)).collect(),
            [3_000, 3_020],
        ),
        (
            "varying durations",
            (0..50).map(|part| (1_000, 1_000 + part % 2 * 1_000)).collect(),
            [4_500, 5_500],
        ),
    ];
    for (name, runs, [min, max]) in cases {
        let mut durations = RunDurations::default();
        for (tokens, duration_ms) in runs {
            durations.record(tokens, Duration::from_millis(duration_ms));
        }
        let estimate_ms = durations.upper_estimate_ms(2_000);
        assert!((min..=max).contains(&estimate_ms), "{name}: {estimate_ms}");
    }
}
