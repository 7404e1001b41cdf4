//! Tables of cases for homes and fading outcomes, and a small fleet with lost, late and repeated reports.

use std::time::Duration;

use fennelgauge_sharing::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn used(id: &str, in_flight: u32) -> ServerStats {
    ServerStats { in_flight, ..ServerStats::empty(ServerKey::from_id(id)) }
}

fn report(life: u64, sequence: u64, servers: Vec<ServerStats>) -> StatsReport {
    StatsReport { incarnation: life, sequence, servers }
}

fn in_flight(sums: &StatsTotals, id: &str) -> u32 {
    let key = ServerKey::from_id(id);
    sums.servers.iter().find(|told| told.server == key).map_or(0, |told| told.in_flight)
}

#[test]
fn a_reporter_gets_the_sums_of_the_others() {
    let mut home = StatsAggregator::default();
    assert_eq!(home.add_report(report(1, 1, vec![used("a", 3)]), ms(0)), Ok(StatsTotals::default()));
    let sums = home.add_report(report(2, 1, vec![used("a", 1), used("b", 5)]), ms(10)).expect("taken");
    assert_eq!((sums.reporters, in_flight(&sums, "a"), in_flight(&sums, "b")), (1, 3, 0));
    let sums = home.add_report(report(1, 2, vec![]), ms(20)).expect("taken");
    assert_eq!((in_flight(&sums, "a"), in_flight(&sums, "b")), (1, 5));
    let sums = home.add_report(report(3, 1, vec![]), ms(30)).expect("taken");
    assert_eq!((sums.reporters, in_flight(&sums, "a"), in_flight(&sums, "b")), (2, 1, 5));
}

#[test]
fn what_is_old_does_not_count() {
    type Case = (&'static str, Vec<(StatsReport, u64)>, u32);
    let cases: [Case; 4] = [
        ("fresh", vec![(report(1, 1, vec![used("a", 3)]), 0)], 3),
        ("an older one overtaken", vec![(report(1, 2, vec![used("a", 3)]), 0), (report(1, 1, vec![]), 5)], 3),
        (
            "the same again",
            vec![(report(1, 1, vec![used("a", 3)]), 0), (report(1, 1, vec![used("a", 9)]), 5)],
            3,
        ),
        (
            "its process is silent",
            vec![(report(1, 1, vec![used("a", 3)]), 0), (report(7, 1, vec![]), 1_500)],
            0,
        ),
    ];
    for (name, reports, expected) in cases {
        let mut home = StatsAggregator::default();
        let mut now = 0;
        for (told, at) in reports {
            now = at;
            home.add_report(told, ms(at)).expect("taken");
        }
        let sums = home.add_report(report(9, 1, vec![]), ms(now + 10)).expect("taken");
        assert_eq!(in_flight(&sums, "a"), expected, "{name}");
    }
}

#[test]
fn what_is_too_much_is_dropped_and_named() {
    let mut home = StatsAggregator::default();
    let large = report(1, 1, vec![used("a", 1); MAX_SERVERS_PER_REPORT + 1]);
    let error = home.add_report(large, ms(0)).expect_err("too large");
    assert!(error.to_string().contains("dropped"), "{error}");
    for life in 0..MAX_REPORTERS as u64 {
        home.add_report(report(life, 1, vec![used("a", u32::MAX)]), ms(0)).expect("taken");
    }
    assert_eq!(home.add_report(report(5_000, 1, vec![]), ms(0)), Err(ReportError::TooManyReporters));
    let sums = home.add_report(report(3, 2, vec![]), ms(1)).expect("known already");
    assert_eq!(in_flight(&sums, "a"), u32::MAX, "sums do not overflow");
}

#[test]
fn failure_ratio_is_the_part_of_failures_and_fades() {
    type Case = (&'static str, u32, u32, u64, [f64; 2]);
    let cases: [Case; 7] = [
        ("nothing", 0, 0, 0, [0.0, 0.0]),
        ("one failure", 0, 1, 0, [0.49, 0.51]),
        ("one among many answers", 30, 1, 0, [0.0, 0.0]),
        ("a trace of one", 0, 1, 9_000, [0.0, 0.0]),
        ("all fail", 0, 9, 0, [0.89, 0.91]),
        ("half fail", 10, 10, 0, [0.45, 0.5]),
        ("all failed a while ago", 0, 9, 8_000, [0.0, 0.15]),
    ];
    for (name, good, bad, passed_ms, [least, most]) in cases {
        let mut outcomes = DecayingOutcomes::default();
        (0..good).for_each(|_| outcomes.record_success());
        (0..bad).for_each(|_| outcomes.record_failure());
        outcomes.decay(ms(passed_ms));
        let trouble = outcomes.failure_ratio();
        assert!((least..=most).contains(&trouble), "{name}: {trouble}");
        let (good, bad) = outcomes.tenths();
        assert!(DecayingOutcomes::from_tenths(good, bad).failure_ratio() <= trouble + 0.1, "{name}");
    }
}

/// Twenty limiters; each report is lost, delayed by up to three rounds or sent twice by turns. What a limiter sees of the
/// others is never more than what they had at some moment of the last second.
#[test]
fn sums_stay_within_what_was_true_of_late() {
    const LIMITERS: u64 = 20;
    const ROUNDS: u64 = 200;
    let held = |life: u64, round: u64| ((life * 7 + round * 13) % 5) as u32;
    let mut home = StatsAggregator::default();
    let mut late: Vec<(u64, StatsReport)> = Vec::new();
    for round in 0..ROUNDS {
        let now = ms(round * 100);
        for life in 0..LIMITERS {
            let told = report(life, round + 1, vec![used("a", held(life, round))]);
            match (life + round) % 7 {
                0 => {}
                1 => late.push((round + 1 + life % 3, told)),
                2 => {
                    home.add_report(told.clone(), now).expect("taken");
                    home.add_report(told, now).expect("taken");
                }
                _ => {
                    let sums = home.add_report(told, now).expect("taken");
                    let most = (round.saturating_sub(10)..=round)
                        .map(|then| {
                            (0..LIMITERS).filter(|other| *other != life).map(|other| held(other, then)).max()
                        })
                        .max()
                        .flatten()
                        .unwrap_or(0);
                    assert!(in_flight(&sums, "a") <= most * (LIMITERS as u32 - 1), "round {round}");
                    assert!(sums.reporters < LIMITERS as u32, "round {round}");
                }
            }
        }
        let (due, rest) = late.into_iter().partition(|(due, _)| *due <= round);
        late = rest;
        for (_, told) in due {
            let _: Result<StatsTotals, ReportError> = home.add_report(told, now);
        }
    }
}
