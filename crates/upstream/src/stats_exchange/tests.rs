use tokio::time::advance;

use super::*;
use crate::pool::tests::{requests_to_a, three_servers, two_servers, with_paused_clock};
use crate::RequestProfile;
use fennelgauge_settings::Policy;

fn totals(id: &str, change: impl Fn(&mut ServerStats)) -> StatsTotals {
    let mut stats = ServerStats::empty(ServerKey::from_id(id));
    change(&mut stats);
    StatsTotals { reporters: 3, servers: vec![stats] }
}

#[test]
fn statistics_of_other_processes_affect_the_choice_until_they_expire() {
    with_paused_clock(async {
        let pool = two_servers(&Policy::default());
        pool.apply_peer_totals(&totals("a", |stats| stats.in_flight = 6));
        assert_eq!(requests_to_a(&pool), 0, "other processes load it");
        advance(Duration::from_millis(600)).await;
        assert!(requests_to_a(&pool) > 0, "the statistics have expired");
        pool.apply_peer_totals(&totals("a", |stats| stats.failure_tenths = 90));
        assert_eq!(requests_to_a(&pool), 0, "it fails for other processes");
        pool.apply_peer_totals(&StatsTotals::default());
        assert!(requests_to_a(&pool) > 0, "no other process uses it any more");
    });
}

#[test]
fn a_server_that_others_cannot_reach_is_probed_first() {
    with_paused_clock(async {
        let pool = two_servers(&Policy::default());
        pool.apply_peer_totals(&totals("a", |stats| stats.suspected_by = 1));
        pool.suspect_unresponsive();
        assert_eq!(pool.servers_to_probe()[0].id, "a");
        assert_eq!(requests_to_a(&pool), 0);
    });
}

#[test]
fn own_statistics_are_reported_without_suspicions_from_a_process_that_is_cut_off() {
    with_paused_clock(async {
        let pool = two_servers(&Policy::default());
        assert!(pool.own_stats().is_empty());
        let guard = pool.choose("s", &["b".to_owned()], &RequestProfile::default()).expect("a");
        pool.record_success(&guard, None);
        let stats = pool.own_stats();
        assert_eq!(
            (stats[0].server, stats[0].in_flight, stats[0].success_tenths),
            (ServerKey::from_id("a"), 1, 10)
        );
        drop(guard);
        pool.record_connect_failure("b");
        let suspected =
            |pool: &ServerPool| pool.own_stats().iter().map(|stats| stats.suspected_by).sum::<u32>();
        assert_eq!(suspected(&pool), 1);
        pool.record_connect_failure("a");
        assert_eq!(suspected(&pool), 0, "it cannot reach any server");
    });
}

#[test]
fn larger_reports_are_sent_less_often() {
    let cases = [(0, 100), (20, 100), (100, 350), (1_000, 3_500)];
    for (entries, interval_ms) in cases {
        assert_eq!(report_interval(entries), Duration::from_millis(interval_ms), "{entries}");
    }
}

#[test]
fn two_random_servers_are_compared_only_where_servers_do_not_report_their_load() {
    with_paused_clock(async {
        for (load, uses_random_choices) in [(None, true), (Some("0,0,8"), false)] {
            let pool = three_servers();
            for _ in 0..3 {
                let guard = pool.choose("s", &[], &RequestProfile::default()).expect("a server");
                pool.record_success(&guard, load);
            }
            let mut servers: Vec<ServerStats> =
                ["a", "b"].map(|id| ServerStats::empty(ServerKey::from_id(id))).to_vec();
            servers.iter_mut().for_each(|stats| stats.in_flight = 4);
            pool.apply_peer_totals(&StatsTotals { reporters: 3, servers });
            let chosen: Vec<String> = (0..100)
                .filter_map(|_| pool.choose("s", &[], &RequestProfile::default()))
                .map(|guard| guard.server.id.clone())
                .collect();
            assert_eq!(chosen.iter().any(|id| id != "c"), uses_random_choices, "{load:?}");
        }
    });
}
