//! A drain waits for the last byte of each response: a response counts as ended too early if it does so when its
//! handler returns, when its body has been taken, or while it can still be reset on its way.

mod support;

use std::cell::Cell;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::Bytes;
use actix_web::{web, HttpResponse};
use futures_util::stream::{self, Stream, StreamExt};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, Instant};

async fn large_body() -> HttpResponse {
    HttpResponse::Ok().body(vec![b'x'; LARGE_BODY_BYTES])
}

fn far_future() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Guards against a drain that ends when a handler has returned a body that its client has not read.
#[test]
fn drain_waits_until_a_slow_reader_has_a_large_body() {
    run_local(async {
        let server = TestServer::start(|app| {
            app.route("/large", web::get().to(large_body));
        })
        .await;
        let mut client = server.send_get("/large").await;
        until("the response", || server.connections.unfinished().in_progress == 1).await;
        let unfinished = server.connections.drain(Instant::now() + Duration::from_millis(300)).await;
        assert!(!unfinished.is_drained(), "nobody has read the response: {unfinished}");
        let (unfinished, (response, was_reset)) =
            tokio::join!(server.connections.drain(far_future()), read_to_end(&mut client));
        assert!(unfinished.is_drained(), "{unfinished}");
        assert_eq!((body_of(&response).len(), was_reset), (LARGE_BODY_BYTES, false));
    });
}

/// Guards against a drain that counts a response as written once the HTTP library has taken its last part.
#[test]
fn drain_waits_for_what_is_left_in_the_library_s_write_buffer() {
    run_local(async {
        let produced = Rc::new(Cell::new(0));
        let handler_produced = produced.clone();
        let server = TestServer::start(move |app| {
            let handler = move || ready(HttpResponse::Ok().streaming(pieces(handler_produced.clone())));
            app.route("/pieces", web::get().to(handler));
        })
        .await;
        let mut client = server.send_get("/pieces").await;
        until("the response", || server.connections.unfinished().in_progress == 1).await;
        let mut buffer = vec![0; 1 << 10];
        while server.connections.unfinished().in_progress == 1 {
            client.read_exact(&mut buffer).await.expect("read");
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(produced.get(), PIECES);
        let unfinished = server.connections.unfinished();
        assert!(unfinished.unwritten == 1 && !unfinished.is_drained(), "{unfinished}");
        let (unfinished, (rest, _)) =
            tokio::join!(server.connections.drain(far_future()), read_to_end(&mut client));
        assert!(unfinished.is_drained() && rest.ends_with(b"\r\n0\r\n\r\n"), "{unfinished}");
    });
}

/// Number of the pieces of a streamed body.
const PIECES: usize = 64;
/// Size of a piece: the library's write buffer takes it although it is not empty.
const PIECE_BYTES: usize = 16 << 10;

/// A body in pieces, which counts those that were taken from it.
fn pieces(produced: Rc<Cell<usize>>) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    stream::iter(0..PIECES).map(move |piece| {
        produced.set(piece + 1);
        Ok(Bytes::from(vec![b'x'; PIECE_BYTES]))
    })
}

/// Guards against a close that resets a connection on which bytes of the client are unread: a reset takes the end of the
/// response, which was written, from a client that reads slowly.
#[test]
fn bytes_that_arrive_after_the_response_do_not_reset_the_connection() {
    run_local(async {
        let server = TestServer::start(|app| {
            app.route("/large", web::get().to(large_body));
        })
        .await;
        let mut client = server.connect().await;
        client.write_all(b"GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await.expect("sent");
        let mut received = vec![0; 1 << 20];
        let mut read = 0;
        while server.connections.unfinished().lingering == 0 {
            let bytes = client.read(&mut received).await.expect("read");
            assert!(bytes > 0, "the connection does not linger after {read} bytes");
            read += bytes;
        }
        client.write_all(b"GET /large HTTP/1.1\r\nHost: h\r\n").await.expect("the server still reads");
        sleep(Duration::from_millis(50)).await;
        let (rest, was_reset) = read_to_end(&mut client).await;
        assert!(!was_reset && read + rest.len() > LARGE_BODY_BYTES, "{read} and {} bytes", rest.len());
        drop(client);
        until("the end of the connection", || server.connections.unfinished().open == 0).await;
    });
}

/// Guards against a stop that waits for clients which keep an idle connection open.
#[test]
fn drain_closes_idle_connections_and_does_not_wait_long_for_their_clients() {
    run_local(async {
        let server = TestServer::start(|app| {
            app.route("/small", web::get().to(HttpResponse::Ok));
        })
        .await;
        let mut idle = server.send_get("/small").await;
        let mut head = [0; 16];
        idle.read_exact(&mut head).await.expect("a response");
        let silent = server.connect().await;
        until("two connections", || server.connections.unfinished().open == 2).await;
        let started_at = Instant::now();
        let unfinished = server.connections.drain(far_future()).await;
        assert!(unfinished.is_drained() && started_at.elapsed() < Duration::from_secs(3), "{unfinished}");
        let (_, was_reset) = read_to_end(&mut idle).await;
        assert!(!was_reset, "an idle connection is closed in an orderly way");
        drop(silent);
    });
}

/// Guards against a drain that leaves a request unanswered which arrives on an open connection while it waits for others.
#[test]
fn requests_that_arrive_during_a_drain_are_answered() {
    run_local(async {
        let server = TestServer::start(|app| {
            app.route("/large", web::get().to(large_body)).route("/small", web::get().to(HttpResponse::Ok));
        })
        .await;
        let mut slow = server.send_get("/large").await;
        let mut second = server.connect().await;
        until("the response", || server.connections.unfinished().in_progress == 1).await;
        let clients = async {
            sleep(Duration::from_millis(100)).await;
            second.write_all(get_request("/small").as_bytes()).await.expect("sent");
            let mut head = [0; 15];
            second.read_exact(&mut head).await.expect("a response");
            assert_eq!(&head, b"HTTP/1.1 200 OK");
            let (response, _) = read_to_end(&mut slow).await;
            assert_eq!(body_of(&response).len(), LARGE_BODY_BYTES);
            let (_, was_reset) = read_to_end(&mut second).await;
            assert!(!was_reset);
        };
        let (unfinished, ()) = tokio::join!(server.connections.drain(far_future()), clients);
        assert!(unfinished.is_drained(), "{unfinished}");
    });
}
