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

/// Returns a pool of two servers, `a` and `b`.
pub(crate) fn two_servers(policy: &Policy) -> ServerPool {
    pool_of(&["a", "b"], policy)
}

/// Returns a pool of three servers, `a` to `c`.
pub(crate) fn three_servers() -> ServerPool {
    pool_of(&["a", "b", "c"], &Policy::default())
}

/// Runs a test on a runtime whose clock advances only when the test waits.
pub(crate) fn with_paused_clock(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

/// Returns how many of a hundred consecutive requests go to `a`.
pub(crate) fn requests_to_a(pool: &ServerPool) -> usize {
    let profile = RequestProfile::default();
    (0..100).filter_map(|_| pool.choose("s", &[], &profile)).filter(|guard| guard.server.id == "a").count()
}

#[test]
fn equally_loaded_servers_get_similar_numbers_of_requests() {
    with_paused_clock(async {
        let random = requests_to_a(&two_servers(&Policy::default()));
        assert!((20..=80).contains(&random), "{random}");
        let fixed = requests_to_a(&two_servers(&Policy { random_ties: false, ..Policy::default() }));
        assert!(fixed == 0 || fixed == 100, "{fixed}");
    });
}

#[test]
fn a_server_that_fails_fast_does_not_attract_requests() {
    with_paused_clock(async {
        // Without cooldowns, which end before the failures have decayed.
        let pool = two_servers(&Policy { rest_after_failure: false, ..Policy::default() });
        for _ in 0..5 {
            let guard = pool.choose("s", &["b".to_owned()], &RequestProfile::default()).expect("a");
            pool.record_error_response(&guard);
        }
        assert_eq!(requests_to_a(&pool), 0, "recent failures count as load");
        advance(Duration::from_secs(30)).await;
        assert!(requests_to_a(&pool) > 0, "failures decay");
    });
}

#[test]
fn an_unreachable_server_gets_requests_once_a_connection_succeeds() {
    with_paused_clock(async {
        for (reconnect_first, requests_before) in [(true, 0), (false, 1)] {
            let pool = two_servers(&Policy { reconnect_first, ..Policy::default() });
            pool.record_connect_failure("a");
            assert!(pool.servers_to_probe().is_empty(), "the cooldown comes first");
            advance(Duration::from_secs(30)).await;
            assert_eq!(
                requests_to_a(&pool).min(1),
                requests_before,
                "before a connection, reconnect_first: {reconnect_first}"
            );
            assert_eq!(pool.servers_to_probe().len(), usize::from(reconnect_first));
            pool.record_connect_success("a");
            assert!(requests_to_a(&pool) > 0, "after a connection");
        }
    });
}

#[test]
fn an_unresponsive_server_is_probed_before_it_gets_more_requests() {
    with_paused_clock(async {
        let pool = two_servers(&Policy::default());
        for _ in 0..20 {
            let guard = pool.choose("s", &[], &RequestProfile::default()).expect("a server");
            advance(Duration::from_millis(20)).await;
            pool.record_success(&guard, None);
        }
        let waiting = pool.choose("s", &["b".to_owned()], &RequestProfile::default()).expect("a");
        pool.suspect_unresponsive();
        assert!(pool.servers_to_probe().is_empty(), "not unresponsive yet");
        advance(Duration::from_millis(150)).await;
        pool.suspect_unresponsive();
        assert_eq!(pool.servers_to_probe()[0].id, "a");
        assert_eq!(requests_to_a(&pool), 0, "no requests until a connection succeeds");
        pool.record_connect_success("a");
        drop(waiting);
        assert!(requests_to_a(&pool) > 0, "the connection succeeded");
        pool.suspect_unresponsive();
        assert!(pool.servers_to_probe().is_empty(), "it was probed a moment ago");
    });
}
