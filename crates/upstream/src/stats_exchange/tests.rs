use tokio::time::advance;

use super::*;
use crate::pool::tests::{on_paused_clock, part_of_a, three_servers, two_servers};
use crate::RequestProfile;
use fennelgauge_settings::Policy;

fn told(id: &str, change: impl Fn(&mut ServerStats)) -> StatsTotals {
    let mut told = ServerStats::empty(ServerKey::from_id(id));
    change(&mut told);
    StatsTotals { reporters: 3, servers: vec![told] }
}

#[test]
fn what_others_use_counts_for_a_moment() {
    on_paused_clock(async {
        let pool = two_servers(&Policy::default());
        pool.take_sums(&told("a", |told| told.in_flight = 6));
        assert_eq!(part_of_a(&pool), 0, "others keep it busy");
        advance(Duration::from_millis(600)).await;
        assert!(part_of_a(&pool) > 0, "old news do not count");
        pool.take_sums(&told("a", |told| told.failure_tenths = 90));
        assert_eq!(part_of_a(&pool), 0, "it fails for others");
        pool.take_sums(&StatsTotals::default());
        assert!(part_of_a(&pool) > 0, "nobody uses it any more");
    });
}

#[test]
fn a_server_that_others_cannot_reach_is_connected_to_first() {
    on_paused_clock(async {
        let pool = two_servers(&Policy::default());
        pool.take_sums(&told("a", |told| told.suspected_by = 1));
        pool.suspect_silent();
        assert_eq!(pool.servers_to_probe()[0].id, "a");
        assert_eq!(part_of_a(&pool), 0);
    });
}

#[test]
fn a_process_tells_what_it_saw_and_no_suspicion_when_it_is_cut_off() {
    on_paused_clock(async {
        let pool = two_servers(&Policy::default());
        assert!(pool.uses().is_empty());
        let ticket = pool.choose("s", &["b".to_owned()], &RequestProfile::default()).expect("a");
        pool.record_success(&ticket, None);
        let uses = pool.uses();
        assert_eq!(
            (uses[0].server, uses[0].in_flight, uses[0].success_tenths),
            (ServerKey::from_id("a"), 1, 10)
        );
        drop(ticket);
        pool.record_connect_failure("b");
        let suspected = |pool: &ServerPool| pool.uses().iter().map(|told| told.suspected_by).sum::<u32>();
        assert_eq!(suspected(&pool), 1);
        pool.record_connect_failure("a");
        assert_eq!(suspected(&pool), 0, "it cannot reach anybody");
    });
}

#[test]
fn reports_come_less_often_the_more_they_name() {
    let cases = [(0, 100), (20, 100), (100, 350), (1_000, 3_500)];
    for (uses, pause_ms) in cases {
        assert_eq!(pause_for(uses), Duration::from_millis(pause_ms), "{uses}");
    }
}

#[test]
fn two_are_drawn_only_where_servers_do_not_tell_their_load() {
    on_paused_clock(async {
        for (load, drawn_alone) in [(None, true), (Some("0,0,8"), false)] {
            let pool = three_servers();
            for _ in 0..3 {
                let ticket = pool.choose("s", &[], &RequestProfile::default()).expect("a server");
                pool.record_success(&ticket, load);
            }
            let mut uses: Vec<ServerStats> =
                ["a", "b"].map(|id| ServerStats::empty(ServerKey::from_id(id))).to_vec();
            uses.iter_mut().for_each(|told| told.in_flight = 4);
            pool.take_sums(&StatsTotals { reporters: 3, servers: uses });
            let chosen: Vec<String> = (0..100)
                .filter_map(|_| pool.choose("s", &[], &RequestProfile::default()))
                .map(|ticket| ticket.server.id.clone())
                .collect();
            assert_eq!(chosen.iter().any(|id| id != "c"), drawn_alone, "{load:?}");
        }
    });
}
