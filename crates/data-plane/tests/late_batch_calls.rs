//! Batch calls end before the process does: those that arrive late during a stop are refused at once, and no poll is held for
//! longer than a stop takes.

mod support;

use std::time::Duration;

use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Guards against pages of results that are cut at the end of a stop, because reads are accepted until then.
#[test]
fn batch_calls_that_arrive_too_late_during_a_stop_are_refused() {
    run_local(async {
        let plane = TestPlane::start(&[]).await;
        let late = plane.plane.settings.shutdown_grace() / 2;
        plane.plane.stop_requested_at.set(Instant::now().checked_sub(late));
        for call in ["GET /-/lots/job", "GET /-/items/job?id=i", "DELETE /-/lots/job", "POST /batch/submit"] {
            let mut stream = TcpStream::connect(plane.address).await.expect("connected");
            let head = format!(
                "{call} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {API_KEY}\r\nX-Fennelgauge-Request-Id: r-1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("sent");
            let (sent_at, mut response) = (Instant::now(), String::new());
            stream.read_to_string(&mut response).await.expect("an answer");
            let response = response.to_ascii_lowercase();
            assert!(response.starts_with("http/1.1 503"), "{call}: {response}");
            assert!(
                response.contains("retry-after: 0.010"),
                "{call}: another process answers at once: {response}"
            );
            assert!(
                sent_at.elapsed() < Duration::from_secs(1),
                "{call}: refused after {:?}",
                sent_at.elapsed()
            );
        }
    });
}

/// Guards against a poll that a stop cuts, because it is held for longer than the stop takes.
#[test]
fn poll_is_held_no_longer_than_a_stop_takes() {
    const GRACE_S: f64 = 3.0;
    run_local(async {
        let plane = TestPlane::start_with_grace(&[], GRACE_S).await;
        let mut stream = TcpStream::connect(plane.address).await.expect("connected");
        let head = format!(
            "GET /-/lots/job HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {API_KEY}\r\nX-Fennelgauge-Poll-Wait: 10000\r\n\
             Connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        let (sent_at, mut response) = (Instant::now(), String::new());
        stream.read_to_string(&mut response).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 503"), "there is no store: {response}");
        assert!(sent_at.elapsed() < Duration::from_secs_f64(GRACE_S), "held for {:?}", sent_at.elapsed());
    });
}
