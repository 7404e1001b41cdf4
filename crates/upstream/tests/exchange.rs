//! Answers over real connections: whole, broken off, of another request, with more than was asked for.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::Bytes;
use awc::http::Method;
use fennelgauge_model::{Server, ServerState};
use fennelgauge_upstream::{OutgoingRequest, RequestSender, SendError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

const WITHIN: Duration = Duration::from_secs(5);

fn local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A server that answers each request of a connection with the same bytes, and then closes it or not.
async fn answering(bytes: &'static [u8], closes: bool) -> (Server, Rc<std::cell::Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let connections = Rc::new(std::cell::Cell::new(0));
    let counted = connections.clone();
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            counted.set(counted.get() + 1);
            spawn_local(answer(stream, bytes, closes));
        }
    });
    (server(addr), connections)
}

async fn answer(mut stream: TcpStream, bytes: &'static [u8], closes: bool) {
    let mut request = vec![0; 4_096];
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        stream.write_all(bytes).await.expect("written");
        if closes {
            return;
        }
    }
}

fn server(addr: SocketAddr) -> Server {
    Server {
        id: "i-1".to_owned(),
        backend: "s".to_owned(),
        addr,
        zone: "z".to_owned(),
        slots: 1,
        state: ServerState::Ready,
        cold_ms: 0,
    }
}

fn outgoing() -> OutgoingRequest {
    OutgoingRequest {
        method: Method::POST,
        path_and_query: "/a".to_owned(),
        host: "h".to_owned(),
        id: "r-1".to_owned(),
        headers: vec![],
        body: Bytes::from_static(b"prompt"),
    }
}

/// The body of an answer; an error if it is not whole.
async fn body(sender: &RequestSender, server: &Server) -> Result<Vec<u8>, String> {
    let sent = sender.send(server, &outgoing(), WITHIN, WITHIN).await;
    let mut answer = sent.map_err(|error| error.to_string())?;
    let mut body = Vec::new();
    while let Some(piece) = answer.next().await {
        body.extend_from_slice(&piece.map_err(|error| error.to_string())?);
    }
    Ok(body)
}

/// A server that answers once with these bytes and then resets the connection.
async fn resetting(bytes: &'static [u8]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.write_all(bytes).await.expect("written");
            // Closed while the request is unread: that is a reset.
            stream.readable().await.expect("a request");
            drop(stream);
        }
    });
    server(addr)
}

#[test]
fn a_body_without_a_length_ends_with_its_connection_and_not_with_a_reset() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\n\r\nbody";
    local(async {
        let sender = RequestSender::default();
        let (ending, connections) = answering(HEAD, true).await;
        assert_eq!(body(&sender, &ending).await, Ok(b"body".to_vec()));
        assert_eq!(body(&sender, &ending).await, Ok(b"body".to_vec()));
        assert_eq!(connections.get(), 2, "such a connection is not used again");
        let reset = resetting(HEAD).await;
        assert!(body(&sender, &reset).await.is_err(), "a reset is no end");
        let (empty, _) =
            answering(b"HTTP/1.1 204 No Content\r\nX-Fennelgauge-Request-Id: r-1\r\n\r\n", false).await;
        assert_eq!(body(&sender, &empty).await, Ok(Vec::new()), "an answer that has no body");
    });
}

#[test]
fn a_body_is_whole_only_when_its_framing_says_so() {
    let cases: [(&str, &'static [u8], bool); 6] = [
        ("with a length", b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbody", true),
        (
            "in chunks",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            true,
        ),
        ("short of its length", b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 9\r\n\r\nbody", false),
        (
            "between two chunks",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
            false,
        ),
        (
            "within a chunk",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody",
            false,
        ),
        (
            "garbled chunk",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n",
            false,
        ),
    ];
    local(async move {
        for (name, bytes, whole) in cases {
            let (server, _) = answering(bytes, true).await;
            let body = body(&RequestSender::default(), &server).await;
            assert_eq!(body.is_ok(), whole, "{name}: {body:?}");
        }
    });
}

#[test]
fn what_is_no_answer_to_the_request_may_have_run() {
    let cases: [(&str, &'static [u8], SendError); 4] = [
        (
            "of another request",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-0\r\nContent-Length: 0\r\n\r\n",
            SendError::MayHaveExecuted,
        ),
        ("without an id", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SendError::MayHaveExecuted),
        ("no HTTP", b"hello, is it me?\r\n\r\n", SendError::MayHaveExecuted),
        (
            "refused",
            b"HTTP/1.1 503 Busy\r\nX-Fennelgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            SendError::NotExecuted(awc::http::StatusCode::SERVICE_UNAVAILABLE),
        ),
    ];
    local(async move {
        for (name, bytes, expected) in cases {
            let (server, _) = answering(bytes, true).await;
            let sent = RequestSender::default().send(&server, &outgoing(), WITHIN, WITHIN).await;
            assert_eq!(sent.err(), Some(expected), "{name}");
        }
        let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let sent = RequestSender::default().send(&server(nobody), &outgoing(), WITHIN, WITHIN).await;
        assert_eq!(sent.err(), Some(SendError::NotSent));
    });
}

#[test]
fn a_connection_is_used_again_only_when_nothing_is_left_on_it() {
    let whole = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbody";
    let more = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n\r\n";
    let close = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
    let cases: [(&str, &'static [u8], u32); 3] =
        [("clean", whole, 1), ("more on it", more, 3), ("to be closed", close, 3)];
    local(async move {
        for (name, bytes, expected) in cases {
            let (server, connections) = answering(bytes, false).await;
            let sender = RequestSender::default();
            for _ in 0..3 {
                assert_eq!(body(&sender, &server).await.as_deref(), Ok(b"body".as_slice()), "{name}");
            }
            assert_eq!(connections.get(), expected, "{name}");
        }
    });
}
