//! Each wait for a client has a limit, and a response that cannot be whole ends visibly incomplete.

mod support;

use std::time::Duration;

use actix_web::web::Bytes;
use actix_web::{web, HttpRequest, HttpResponse};
use fennelgauge_http::{limit_response, HttpTimeouts};
use futures_util::stream;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, Instant};

/// Time limit that the tests set, and by when it must have taken effect.
const LIMIT: Duration = Duration::from_millis(300);
const CUT_BY: Duration = Duration::from_millis(800);

fn short_timeouts() -> HttpTimeouts {
    HttpTimeouts { request_head: LIMIT, response: LIMIT, ..HttpTimeouts::default() }
}

async fn large_body(request: HttpRequest) -> HttpResponse {
    limit_response(&request, Instant::now() + LIMIT);
    HttpResponse::Ok().body(vec![b'x'; LARGE_BODY_BYTES])
}

/// A body that the HTTP library takes as a whole, and the sockets do not.
async fn buffered_body() -> HttpResponse {
    HttpResponse::Ok().body(vec![b'x'; 30 << 10])
}

async fn endless_body() -> HttpResponse {
    let piece = || async { Some((Ok::<_, std::io::Error>(Bytes::from_static(&[b'x'; 1_024])), ())) };
    HttpResponse::Ok().streaming(Box::pin(stream::unfold((), move |()| piece())))
}

/// Guards against a response that is held for as long as its client does not read.
#[test]
fn response_to_a_client_that_does_not_read_is_cut_at_its_limit() {
    for (path, timeouts) in [("/large", HttpTimeouts::default()), ("/endless", short_timeouts())] {
        run_local(async {
            let server = TestServer::start_with(timeouts, |app| {
                app.route("/large", web::get().to(large_body)).route("/endless", web::get().to(endless_body));
            })
            .await;
            let mut client = server.send_get(path).await;
            let sent_at = Instant::now();
            until("the response", || server.connections.unfinished().in_progress == 1).await;
            until("the cut", || server.connections.unfinished().open == 0).await;
            assert!(
                sent_at.elapsed() >= LIMIT && sent_at.elapsed() < CUT_BY,
                "{path}: {:?}",
                sent_at.elapsed()
            );
            let (response, _) = read_to_end(&mut client).await;
            assert!(response.len() < LARGE_BODY_BYTES && !response.ends_with(b"\r\n0\r\n\r\n"), "{path}");
        });
    }
}

/// Guards against a response that waits in the HTTP library's buffer, complete, for as long as its client does not read.
#[test]
fn complete_response_that_its_client_does_not_read_is_cut_at_its_limit() {
    run_local(async {
        let server = TestServer::start_with(short_timeouts(), |app| {
            app.route("/buffered", web::get().to(buffered_body));
        })
        .await;
        let _client = server.send_get("/buffered").await;
        let sent_at = Instant::now();
        until("the complete response", || server.connections.unfinished().unwritten == 1).await;
        until("the cut", || server.connections.unfinished().open == 0).await;
        assert!(sent_at.elapsed() >= LIMIT && sent_at.elapsed() < CUT_BY, "{:?}", sent_at.elapsed());
    });
}

/// Guards against a limit that counts anew with each byte that a slow client takes.
#[test]
fn response_to_a_client_that_trickles_is_cut_at_its_limit() {
    run_local(async {
        let server = TestServer::start(|app| {
            app.route("/large", web::get().to(large_body));
        })
        .await;
        let mut client = server.send_get("/large").await;
        let sent_at = Instant::now();
        let mut piece = [0; 2_000];
        while let Ok(1..) = client.read(&mut piece).await {
            assert!(sent_at.elapsed() < CUT_BY);
            sleep(Duration::from_millis(5)).await;
            if server.connections.unfinished().open == 0 {
                return assert!(sent_at.elapsed() >= LIMIT);
            }
        }
        panic!("the client read all of the response, or the connection was reset");
    });
}

/// Guards against an incomplete response that looks complete to clients which take the end of the connection for its end.
#[test]
fn incomplete_response_to_an_older_client_ends_with_a_reset() {
    run_local(async {
        let server = TestServer::start_with(short_timeouts(), |app| {
            app.route("/endless", web::get().to(endless_body));
        })
        .await;
        let mut client = server.connect().await;
        client.write_all(b"GET /endless HTTP/1.0\r\nHost: h\r\n\r\n").await.expect("sent");
        let (_, was_reset) = read_to_end(&mut client).await;
        assert!(was_reset);
    });
}

/// Guards against a second request whose head never ends: the HTTP library has a limit for the first one only.
#[test]
fn head_of_a_later_request_is_awaited_for_a_limited_time() {
    run_local(async {
        let timeouts = HttpTimeouts { request_head: LIMIT, ..HttpTimeouts::default() };
        let server = TestServer::start_with(timeouts, |app| {
            app.route("/small", web::get().to(|| async { HttpResponse::Ok().body("done") }));
        })
        .await;
        let mut client = server.send_get("/small").await;
        until("the response", || server.connections.unfinished().is_drained()).await;
        sleep(LIMIT * 2).await;
        assert_eq!(server.connections.unfinished().open, 1, "an idle connection is kept");
        for byte in get_request("/small").bytes() {
            sleep(LIMIT / 10).await;
            if client.write_all(&[byte]).await.is_err() {
                break;
            }
        }
        assert_eq!(server.connections.unfinished().open, 0);
        let (response, _) = read_to_end(&mut client).await;
        assert_eq!(response.windows(15).filter(|window| window == b"HTTP/1.1 200 OK").count(), 1);
    });
}

/// Guards against an upload that never ends, whatever the handler does.
#[test]
fn body_that_trickles_is_cut_at_the_limit_of_its_response() {
    run_local(async {
        let server = TestServer::start_with(short_timeouts(), |app| {
            app.route("/upload", web::post().to(|_: Bytes| async { HttpResponse::Ok().finish() }));
        })
        .await;
        let mut client = server.connect().await;
        let head = b"POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n";
        client.write_all(head).await.expect("sent");
        let sent_at = Instant::now();
        while client.write_all(b"x").await.is_ok() && sent_at.elapsed() < TIMEOUT {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(sent_at.elapsed() < CUT_BY, "{:?}", sent_at.elapsed());
    });
}
