//! Tests of the wall clock with steps of the system clock.

use std::time::Duration;

use fennelgauge_upstream::WallClock;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Seconds of the monotonic clock, of the system clock, and of the expected time of day.
type Reading = (u64, u64, u64);

#[test]
fn a_step_is_ignored_until_it_has_lasted_for_two_minutes() {
    let cases: [(&str, &[Reading]); 4] = [
        ("no step", &[(0, 1_000, 1_000), (5, 1_005, 1_005), (90, 1_090, 1_090)]),
        ("forwards and back", &[(1, 1_001, 1_001), (2, 1_004, 1_002), (9, 1_011, 1_009), (10, 1_010, 1_010)]),
        ("backwards and forth", &[(1, 1_001, 1_001), (2, 999, 1_002), (9, 1_006, 1_009), (10, 1_010, 1_010)]),
        (
            "permanent step",
            &[
                (1, 1_001, 1_001),
                (2, 1_062, 1_002),
                (121, 1_181, 1_121),
                (123, 1_183, 1_183),
                (124, 1_184, 1_184),
            ],
        ),
    ];
    for (name, readings) in cases {
        let mut clock = WallClock::new(s(1_000));
        for (monotonic, system, expected) in readings {
            assert_eq!(clock.read(s(*monotonic), s(*system)), s(*expected), "{name}, at {monotonic} s");
        }
    }
}

#[test]
fn small_deviations_of_the_system_clock_are_followed() {
    let mut clock = WallClock::new(s(1_000));
    for second in 1..200 {
        let system = Duration::from_millis(1_000_000 + second * 1_010);
        assert_eq!(clock.read(s(second), system), system);
    }
}
