use super::*;

const TIMED_OUT: Option<u64> = None;

#[test]
fn the_timeout_follows_the_duration_of_attempts() {
    type Case = (&'static str, bool, Vec<Option<u64>>, [u64; 2]);
    let cases: [Case; 7] = [
        ("no attempts", true, vec![], [300, 300]),
        ("not adaptive", false, vec![Some(1); 20], [300, 300]),
        ("fast attempts", true, vec![Some(1); 20], [50, 50]),
        ("one timeout", true, [vec![Some(1); 20], vec![TIMED_OUT]].concat(), [100, 100]),
        ("many timeouts", true, [vec![Some(1); 20], vec![TIMED_OUT; 9]].concat(), [300, 300]),
        (
            "a success after timeouts",
            true,
            [vec![Some(1); 20], vec![TIMED_OUT; 9], vec![Some(1)]].concat(),
            [50, 50],
        ),
        ("a distant server", true, vec![Some(80); 40], [80, 110]),
    ];
    for (name, adaptive, attempts, [min_ms, max_ms]) in cases {
        let mut connect_timeout = ConnectTimeout::new(adaptive);
        for attempt in attempts {
            match attempt {
                Some(duration_ms) => connect_timeout.record_completed(Duration::from_millis(duration_ms)),
                None => connect_timeout.record_timeout(),
            }
        }
        let timeout_ms = connect_timeout.timeout().as_millis() as u64;
        assert!((min_ms..=max_ms).contains(&timeout_ms), "{name}: {timeout_ms}");
    }
}
