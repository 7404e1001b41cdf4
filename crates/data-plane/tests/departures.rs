//! No server works for a client that has left, and none gets its request anew.

mod support;

use std::time::Duration;

use support::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;
use tokio::time::{sleep, Instant};

/// By when servers have stopped after a departure: well within the half second after which it counts as needless work.
const STOPPED_BY: Duration = Duration::from_millis(400);
/// Longer than a data plane waits for a server that it may leave for another one.
const LONGER_THAN_IDLE_TIMEOUT: Duration = Duration::from_millis(900);

async fn expect_no_work(name: &str, plane: &TestPlane) {
    let left_at = Instant::now();
    until(name, || plane.at_work() == 0).await;
    assert!(left_at.elapsed() < STOPPED_BY, "{name}: {:?}", left_at.elapsed());
    let arrived = plane.arrived();
    sleep(LONGER_THAN_IDLE_TIMEOUT).await;
    assert_eq!(plane.arrived(), arrived, "{name}: a server got the request after its client had left");
    assert_eq!(plane.plane.pool.mean_load("model"), Some(0.0), "{name}: load of a request that is gone");
}

/// Guards against servers that work on, and against a further attempt, before the first byte of the response.
#[test]
fn client_that_leaves_before_the_first_byte_ends_the_attempt_and_those_to_come() {
    for path in ["/long/idempotent/a", "/long/stream/a", "/long/resume/a"] {
        run_local(async {
            let plane = TestPlane::start(&[Script::Silent, Script::Silent]).await;
            let client = plane.send(path).await;
            until("the request at a server", || plane.at_work() == 1).await;
            drop(client);
            expect_no_work(path, &plane).await;
            assert_eq!(plane.arrived(), 1);
        });
    }
}

/// Guards against a server that works on because its client left between two parts of the response.
#[test]
fn client_that_leaves_amid_the_response_ends_the_server_s_work() {
    let cases = [
        ("/long/idempotent/a", Script::PartOfBody),
        ("/long/idempotent/a", Script::PartOfChunks),
        ("/long/stream/a", Script::OneEvent),
        ("/long/stream/a", Script::EndlessEvents),
        ("/long/resume/a", Script::OneEvent),
        ("/long/resume/a", Script::EndlessEvents),
    ];
    for (path, script) in cases {
        run_local(async {
            let plane = TestPlane::start(&[script, script]).await;
            let mut client = plane.send(path).await;
            let mut begun = [0; 200];
            assert!(client.read(&mut begun).await.expect("a response") > 0);
            drop(client);
            expect_no_work(&format!("{path} {script:?}"), &plane).await;
        });
    }
}

/// Guards against a server that is blamed for a client that left, and against responses that count as late although no client
/// has waited for them too long.
#[test]
fn client_that_leaves_counts_as_served_late_only_if_it_has_waited_too_long() {
    // The route's objective is 200 ms.
    for (waits_ms, responses_and_late) in [(20, (0, 0)), (400, (1, 1))] {
        run_local(async {
            let plane = TestPlane::start(&[Script::Silent]).await;
            let client = plane.send("/long/idempotent/a").await;
            until("the request at a server", || plane.at_work() == 1).await;
            sleep(Duration::from_millis(waits_ms)).await;
            drop(client);
            until("the end of the request", || plane.plane.connections.unfinished().in_progress == 0).await;
            let report = plane.plane.timeliness.borrow().report();
            let counted = report.first().map_or((0, 0), |service| (service.responses, service.late));
            assert_eq!(counted, responses_and_late, "left after {waits_ms} ms");
            let load = plane.plane.pool.mean_load("model");
            assert_eq!(load, Some(0.0), "left after {waits_ms} ms: its server has not failed");
        });
    }
}

/// Guards against a request that is sent once a server is there, although its client left while it waited for one.
#[test]
fn client_that_leaves_while_there_is_no_server_gets_none() {
    run_local(async {
        let plane = TestPlane::start(&[]).await;
        let client = plane.send("/long/idempotent/a").await;
        until("the request", || plane.plane.connections.unfinished().in_progress == 1).await;
        drop(client);
        until("the end of the request", || plane.plane.connections.unfinished().in_progress == 0).await;
        let server = plane.add_server(Script::Silent).await;
        sleep(LONGER_THAN_IDLE_TIMEOUT).await;
        assert_eq!(server.arrived.get(), 0);
    });
}

/// Guards against a further attempt after a connection could not be opened, although the client left meanwhile.
#[test]
fn client_that_leaves_while_a_connection_is_opened_reaches_no_other_server() {
    run_local(async {
        let plane = TestPlane::start(&[]).await;
        // A listener that accepts nothing and whose queue is full: opening a connection hangs.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let full = socket.listen(1).expect("listens");
        let address = full.local_addr().expect("an address");
        let mut queued = Vec::new();
        for _ in 0..8 {
            queued.push(tokio::task::spawn_local(tokio::net::TcpStream::connect(address)));
        }
        sleep(Duration::from_millis(50)).await;
        plane.list_servers(&[address]);
        let client = plane.send("/long/idempotent/a").await;
        until("the request", || plane.plane.connections.unfinished().in_progress == 1).await;
        let second = plane.start_server(Script::Silent).await;
        plane.list_servers(&[address, second.address]);
        drop(client);
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(second.arrived.get(), 0);
        queued.iter().for_each(|connecting| connecting.abort());
    });
}
