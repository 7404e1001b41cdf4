//! The time of day through steps of the machine's clock.

use std::time::Duration;

use fennelgauge_upstream::WallClock;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Seconds on the steady clock, what the machine says, what is believed.
type Reading = (u64, u64, u64);

#[test]
fn a_step_is_passed_over_until_it_has_lasted() {
    let cases: [(&str, &[Reading]); 4] = [
        ("no step", &[(0, 1_000, 1_000), (5, 1_005, 1_005), (90, 1_090, 1_090)]),
        ("ahead and back", &[(1, 1_001, 1_001), (2, 1_004, 1_002), (9, 1_011, 1_009), (10, 1_010, 1_010)]),
        ("back and ahead", &[(1, 1_001, 1_001), (2, 999, 1_002), (9, 1_006, 1_009), (10, 1_010, 1_010)]),
        (
            "for good",
            &[
                (1, 1_001, 1_001),
                (2, 1_062, 1_002),
                (121, 1_181, 1_121),
                (123, 1_183, 1_183),
                (124, 1_184, 1_184),
            ],
        ),
    ];
    for (what, readings) in cases {
        let mut clock = WallClock::new(s(1_000));
        for (steady, told, believed) in readings {
            assert_eq!(clock.read(s(*steady), s(*told)), s(*believed), "{what}, at {steady} s");
        }
    }
}

#[test]
fn small_differences_are_followed() {
    let mut clock = WallClock::new(s(1_000));
    for second in 1..200 {
        let told = Duration::from_millis(1_000_000 + second * 1_010);
        assert_eq!(clock.read(s(second), told), told);
    }
}
