use super::*;

#[test]
fn nearly_all_runs_end_within_the_usual_time() {
    type Case = (&'static str, Vec<(u64, u64)>, [u64; 2]);
    let cases: [Case; 4] = [
        ("nothing known", vec![], [0, 0]),
        ("all alike", vec![(1_000, 1_500); 50], [3_000, 3_020]),
        ("by their tokens", (1..50).map(|part| (part * 100, part * 150)).collect(), [3_000, 3_020]),
        ("scattered", (0..50).map(|part| (1_000, 1_000 + part % 2 * 1_000)).collect(), [4_500, 5_500]),
    ];
    for (name, runs, [least, most]) in cases {
        let mut times = RunTimes::default();
        for (tokens, took_ms) in runs {
            times.took(tokens, Duration::from_millis(took_ms));
        }
        let within = times.longest_usual_ms(2_000);
        assert!((least..=most).contains(&within), "{name}: {within}");
    }
}
