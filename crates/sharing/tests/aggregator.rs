//! Tests of the aggregator and of decaying outcomes, also with lost, late and repeated reports of many processes.

use std::time::Duration;

use fennelgauge_sharing::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stats(id: &str, in_flight: u32) -> ServerStats {
    ServerStats { in_flight, ..ServerStats::empty(ServerKey::from_id(id)) }
}

fn report(incarnation: u64, sequence: u64, servers: Vec<ServerStats>) -> StatsReport {
    StatsReport { incarnation, sequence, servers }
}

fn in_flight(totals: &StatsTotals, id: &str) -> u32 {
    let key = ServerKey::from_id(id);
    totals.servers.iter().find(|stats| stats.server == key).map_or(0, |stats| stats.in_flight)
}

#[test]
fn a_reporter_receives_the_totals_of_the_others() {
    let mut aggregator = StatsAggregator::default();
    assert_eq!(aggregator.add_report(report(1, 1, vec![stats("a", 3)]), ms(0)), Ok(StatsTotals::default()));
    let totals =
        aggregator.add_report(report(2, 1, vec![stats("a", 1), stats("b", 5)]), ms(10)).expect("accepted");
    assert_eq!((totals.reporters, in_flight(&totals, "a"), in_flight(&totals, "b")), (1, 3, 0));
    let totals = aggregator.add_report(report(1, 2, vec![]), ms(20)).expect("accepted");
    assert_eq!((in_flight(&totals, "a"), in_flight(&totals, "b")), (1, 5));
    let totals = aggregator.add_report(report(3, 1, vec![]), ms(30)).expect("accepted");
    assert_eq!((totals.reporters, in_flight(&totals, "a"), in_flight(&totals, "b")), (2, 1, 5));
}

#[test]
fn outdated_and_expired_reports_do_not_count() {
    type Case = (&'static str, Vec<(StatsReport, u64)>, u32);
    let cases: [Case; 4] = [
        ("fresh", vec![(report(1, 1, vec![stats("a", 3)]), 0)], 3),
        (
            "an older one arrives later",
            vec![(report(1, 2, vec![stats("a", 3)]), 0), (report(1, 1, vec![]), 5)],
            3,
        ),
        (
            "a repeated sequence number",
            vec![(report(1, 1, vec![stats("a", 3)]), 0), (report(1, 1, vec![stats("a", 9)]), 5)],
            3,
        ),
        (
            "no report for longer than the TTL",
            vec![(report(1, 1, vec![stats("a", 3)]), 0), (report(7, 1, vec![]), 1_500)],
            0,
        ),
    ];
    for (name, reports, expected) in cases {
        let mut aggregator = StatsAggregator::default();
        let mut now = 0;
        for (report, at) in reports {
            now = at;
            aggregator.add_report(report, ms(at)).expect("accepted");
        }
        let totals = aggregator.add_report(report(9, 1, vec![]), ms(now + 10)).expect("accepted");
        assert_eq!(in_flight(&totals, "a"), expected, "{name}");
    }
}

#[test]
fn oversized_reports_and_excess_reporters_are_rejected() {
    let mut aggregator = StatsAggregator::default();
    let large = report(1, 1, vec![stats("a", 1); MAX_SERVERS_PER_REPORT + 1]);
    let error = aggregator.add_report(large, ms(0)).expect_err("too large");
    assert!(error.to_string().contains("dropped"), "{error}");
    for incarnation in 0..MAX_REPORTERS as u64 {
        aggregator.add_report(report(incarnation, 1, vec![stats("a", u32::MAX)]), ms(0)).expect("accepted");
    }
    assert_eq!(aggregator.add_report(report(5_000, 1, vec![]), ms(0)), Err(ReportError::TooManyReporters));
    let totals = aggregator.add_report(report(3, 2, vec![]), ms(1)).expect("a known reporter is accepted");
    assert_eq!(in_flight(&totals, "a"), u32::MAX, "totals saturate");
}

#[test]
fn the_failure_ratio_is_the_fraction_of_failures_and_decays() {
    type Case = (&'static str, u32, u32, u64, [f64; 2]);
    let cases: [Case; 7] = [
        ("nothing", 0, 0, 0, [0.0, 0.0]),
        ("one failure", 0, 1, 0, [0.49, 0.51]),
        ("one among many successes", 30, 1, 0, [0.0, 0.0]),
        ("one failure, almost decayed", 0, 1, 9_000, [0.0, 0.0]),
        ("all fail", 0, 9, 0, [0.89, 0.91]),
        ("half fail", 10, 10, 0, [0.45, 0.5]),
        ("only failures, some time ago", 0, 9, 8_000, [0.0, 0.15]),
    ];
    for (name, successes, failures, elapsed_ms, [min, max]) in cases {
        let mut outcomes = DecayingOutcomes::default();
        (0..successes).for_each(|_| outcomes.record_success());
        (0..failures).for_each(|_| outcomes.record_failure());
        outcomes.decay(ms(elapsed_ms));
        let ratio = outcomes.failure_ratio();
        assert!((min..=max).contains(&ratio), "{name}: {ratio}");
        let (success_tenths, failure_tenths) = outcomes.tenths();
        assert!(
            DecayingOutcomes::from_tenths(success_tenths, failure_tenths).failure_ratio() <= ratio + 0.1,
            "{name}"
        );
    }
}

/// Twenty processes report every 100 ms; reports are in turn lost, delayed by up to three rounds or sent twice. The totals that a
/// process receives never exceed what the others can have had in flight at some time within the TTL of one second.
#[test]
fn totals_stay_within_values_reported_during_the_ttl() {
    const PROCESSES: u64 = 20;
    const ROUNDS: u64 = 200;
    let in_flight_of = |incarnation: u64, round: u64| ((incarnation * 7 + round * 13) % 5) as u32;
    let mut aggregator = StatsAggregator::default();
    let mut delayed: Vec<(u64, StatsReport)> = Vec::new();
    for round in 0..ROUNDS {
        let now = ms(round * 100);
        for incarnation in 0..PROCESSES {
            let report = report(incarnation, round + 1, vec![stats("a", in_flight_of(incarnation, round))]);
            match (incarnation + round) % 7 {
                0 => {}
                1 => delayed.push((round + 1 + incarnation % 3, report)),
                2 => {
                    aggregator.add_report(report.clone(), now).expect("accepted");
                    aggregator.add_report(report, now).expect("accepted");
                }
                _ => {
                    let totals = aggregator.add_report(report, now).expect("accepted");
                    let max_in_flight = (round.saturating_sub(10)..=round)
                        .map(|then| {
                            (0..PROCESSES)
                                .filter(|other| *other != incarnation)
                                .map(|other| in_flight_of(other, then))
                                .max()
                        })
                        .max()
                        .flatten()
                        .unwrap_or(0);
                    assert!(
                        in_flight(&totals, "a") <= max_in_flight * (PROCESSES as u32 - 1),
                        "round {round}"
                    );
                    assert!(totals.reporters < PROCESSES as u32, "round {round}");
                }
            }
        }
        let (due, rest) = delayed.into_iter().partition(|(due, _)| *due <= round);
        delayed = rest;
        for (_, report) in due {
            let _: Result<StatsTotals, ReportError> = aggregator.add_report(report, now);
        }
    }
}
