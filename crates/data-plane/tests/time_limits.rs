//! No request is held past the time limit of its route, whatever its server or its client does.

mod support;

use std::time::Duration;

use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Instant};

/// Returns whether a response is complete by its framing.
fn is_whole(response: &str) -> bool {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let length: Option<usize> = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Guards against the wait for a body that never ends: a server that goes dark amid its answer, trickles or goes on.
#[test]
fn response_that_a_server_does_not_finish_ends_incomplete_at_the_route_s_time_limit() {
    let cases = [
        ("/idempotent/a", Script::PartOfBody),
        ("/mutating/a", Script::PartOfChunks),
        ("/mutating/a", Script::PartUntilClose),
        ("/stream/a", Script::OneEvent),
        ("/stream/a", Script::EndlessEvents),
        ("/stream/a", Script::TricklingEvent),
        ("/resume/a", Script::OneEvent),
        ("/resume/a", Script::EndlessEvents),
        ("/resume/a", Script::TricklingEvent),
    ];
    for (path, script) in cases {
        run_local(async {
            let plane = TestPlane::start(&[script, script]).await;
            let (response, duration) = plane.exchange(path).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{path} {script:?}: {response}");
            assert!(!is_whole(&response), "{path} {script:?}: {response}");
            assert!(
                duration >= ROUTE_TIMEOUT && duration < ENDED_BY,
                "{path} {script:?}: ended after {duration:?}"
            );
            until("the end at the servers", || plane.at_work() == 0).await;
            let report = plane.plane.timeliness.borrow().report();
            assert_eq!((report[0].responses, report[0].late), (1, 1), "{path} {script:?}: cut off, so late");
        });
    }
}

/// Guards against a request without a head that is held too long, and against a cut where an answer is still possible.
#[test]
fn request_that_gets_no_response_is_answered_at_the_route_s_time_limit() {
    for path in ["/idempotent/a", "/mutating/a", "/stream/a", "/resume/a"] {
        run_local(async {
            let plane = TestPlane::start(&[Script::Silent, Script::Silent]).await;
            let (response, duration) = plane.exchange(path).await;
            assert!(response.starts_with("HTTP/1.1 504") && is_whole(&response), "{path}: {response}");
            assert!(duration >= ROUTE_TIMEOUT && duration < ENDED_BY, "{path}: ended after {duration:?}");
        });
    }
}

/// Guards against a request that is held for as long as its client does not read: nobody asks for the next part of the body.
#[test]
fn response_that_its_client_does_not_read_ends_at_the_route_s_time_limit() {
    for path in ["/idempotent/a", "/mutating/a", "/stream/a"] {
        run_local(async {
            let plane = TestPlane::start(&[Script::EndlessBytes]).await;
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(4 << 10).expect("a buffer size");
            let mut client = socket.connect(plane.address).await.expect("connected");
            client.write_all(request(path).as_bytes()).await.expect("sent");
            let sent_at = Instant::now();
            until("the request", || plane.at_work() == 1).await;
            until("the cut", || plane.at_work() == 0).await;
            assert!(sent_at.elapsed() < ENDED_BY, "{path}: held for {:?}", sent_at.elapsed());
        });
    }
}

/// Guards against a server that is blamed for a stream which was only longer than its route allows.
#[test]
fn server_that_still_sends_when_a_response_is_cut_off_does_not_count_as_failed() {
    for path in ["/resume/a", "/stream/a"] {
        run_local(async {
            let plane = TestPlane::start(&[Script::EndlessEvents]).await;
            plane.exchange(path).await;
            assert!(plane.plane.pool.mean_load("model").is_some(), "{path}: the server is not used any more");
        });
    }
}

/// Guards against a body that never arrives: it holds a request past its time, and through a stop.
#[test]
fn upload_that_does_not_end_is_refused_at_the_route_s_time_limit() {
    for framing in ["Content-Length: 1000", "Transfer-Encoding: chunked"] {
        run_local(async {
            let plane = TestPlane::start(&[Script::Whole]).await;
            let mut client = TcpStream::connect(plane.address).await.expect("connected");
            let head = format!(
                "POST /mutating/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {API_KEY}\r\nX-Fennelgauge-Request-Id: r\r\n{framing}\r\n\r\n"
            );
            client.write_all(head.as_bytes()).await.expect("sent");
            let sent_at = Instant::now();
            let (mut read, mut write) = client.split();
            let upload = async {
                let byte: &[u8] = if framing.starts_with('C') { b"x" } else { b"1\r\nx\r\n" };
                while write.write_all(byte).await.is_ok() {
                    sleep(Duration::from_millis(20)).await;
                }
            };
            let download = async {
                let mut status = [0; 12];
                read.read_exact(&mut status).await.expect("a response");
                assert_eq!(&status, b"HTTP/1.1 408", "{framing}");
                let duration = sent_at.elapsed();
                assert!(duration >= ROUTE_TIMEOUT && duration < ENDED_BY, "{framing}: {duration:?}");
                let _ = read.read_to_end(&mut Vec::new()).await;
            };
            tokio::join!(upload, download);
            assert!(sent_at.elapsed() < TIMEOUT, "{framing}: the connection does not end");
            assert_eq!(plane.arrived(), 0, "a request that was refused with 408 is not sent to a server");
        });
    }
}
