use std::time::Duration;

use fennelgauge_model::ServerState;
use tokio::time::advance;

use super::*;

fn server(id: &str) -> Server {
    Server {
        id: id.to_owned(),
        backend: "s".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        cold_ms: 0,
    }
}

fn pool_of(ids: &[&str], policy: &Policy) -> ServerPool {
    let pool = ServerPool::new("z", policy);
    let servers = ids.iter().map(|id| server(id)).collect();
    pool.update(&ServerList { version: 1, reader_incarnation: 1, servers });
    pool
}

/// Two servers, `a` and `b`.
pub(crate) fn two_servers(policy: &Policy) -> ServerPool {
    pool_of(&["a", "b"], policy)
}

/// Three servers, `a` to `c`.
pub(crate) fn three_servers() -> ServerPool {
    pool_of(&["a", "b", "c"], &Policy::default())
}

pub(crate) fn on_paused_clock(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

/// How many of a hundred requests, one after the other, go to `a`.
pub(crate) fn part_of_a(pool: &ServerPool) -> usize {
    let demand = RequestProfile::default();
    (0..100).filter_map(|_| pool.choose("s", &[], &demand)).filter(|ticket| ticket.server.id == "a").count()
}

#[test]
fn servers_that_are_alike_get_requests_alike() {
    on_paused_clock(async {
        let drawn = part_of_a(&two_servers(&Policy::default()));
        assert!((20..=80).contains(&drawn), "{drawn}");
        let fixed = part_of_a(&two_servers(&Policy { random_ties: false, ..Policy::default() }));
        assert!(fixed == 0 || fixed == 100, "{fixed}");
    });
}

#[test]
fn a_server_that_fails_everything_draws_no_requests_for_being_quick() {
    on_paused_clock(async {
        // Without rests, which end before what failed is forgotten.
        let pool = two_servers(&Policy { rest_after_failure: false, ..Policy::default() });
        for _ in 0..5 {
            let ticket = pool.choose("s", &["b".to_owned()], &RequestProfile::default()).expect("a");
            pool.record_error_response(&ticket);
        }
        assert_eq!(part_of_a(&pool), 0, "what failed of late counts as fuller");
        advance(Duration::from_secs(30)).await;
        assert!(part_of_a(&pool) > 0, "that fades");
    });
}

#[test]
fn a_server_that_was_not_reached_gets_requests_once_a_connection_stands() {
    on_paused_clock(async {
        for (reconnect_first, unconnected) in [(true, 0), (false, 1)] {
            let pool = two_servers(&Policy { reconnect_first, ..Policy::default() });
            pool.record_connect_failure("a");
            assert!(pool.servers_to_probe().is_empty(), "it rests first");
            advance(Duration::from_secs(30)).await;
            assert_eq!(part_of_a(&pool).min(1), unconnected, "without a connection, {reconnect_first}");
            assert_eq!(pool.servers_to_probe().len(), usize::from(reconnect_first));
            pool.record_connect_success("a");
            assert!(part_of_a(&pool) > 0, "with one");
        }
    });
}

#[test]
fn a_silent_server_is_connected_to_before_it_gets_more() {
    on_paused_clock(async {
        let pool = two_servers(&Policy::default());
        for _ in 0..20 {
            let ticket = pool.choose("s", &[], &RequestProfile::default()).expect("a server");
            advance(Duration::from_millis(20)).await;
            pool.record_success(&ticket, None);
        }
        let waiting = pool.choose("s", &["b".to_owned()], &RequestProfile::default()).expect("a");
        pool.suspect_silent();
        assert!(pool.servers_to_probe().is_empty(), "not silent yet");
        advance(Duration::from_millis(150)).await;
        pool.suspect_silent();
        assert_eq!(pool.servers_to_probe()[0].id, "a");
        assert_eq!(part_of_a(&pool), 0, "nothing until a connection stands");
        pool.record_connect_success("a");
        drop(waiting);
        assert!(part_of_a(&pool) > 0, "it is there");
        pool.suspect_silent();
        assert!(pool.servers_to_probe().is_empty(), "and was looked at a moment ago");
    });
}
