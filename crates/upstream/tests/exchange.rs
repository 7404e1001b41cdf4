//! Tests of HTTP exchanges over TCP connections: complete, truncated, foreign and surplus responses.

mod support;

use std::rc::Rc;

use fennelgauge_model::Server;
use fennelgauge_upstream::{RequestSender, SendError};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Starts a server that responds to each request with `bytes`, in which the request's id takes the place of `r-1`, and, with `closes`, closes the connection after the
/// first response. Returns it with a counter of its connections.
async fn responding_server(bytes: &'static [u8], closes: bool) -> (Server, Rc<std::cell::Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let connections = Rc::new(std::cell::Cell::new(0));
    let counter = connections.clone();
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            counter.set(counter.get() + 1);
            spawn_local(respond(stream, bytes, closes));
        }
    });
    (server(addr), connections)
}

async fn respond(mut stream: TcpStream, bytes: &'static [u8], closes: bool) {
    let mut request = vec![0; 4_096];
    while let Ok(read @ 1..) = stream.read(&mut request).await {
        let request = String::from_utf8_lossy(&request[..read]).to_ascii_lowercase();
        let id = request.lines().find_map(|line| line.strip_prefix("x-fennelgauge-request-id: "));
        let response = String::from_utf8_lossy(bytes).replace("r-1", id.unwrap_or(""));
        stream.write_all(response.as_bytes()).await.expect("written");
        if closes {
            return;
        }
    }
}

/// Starts a server that responds with `bytes` and then resets the connection.
async fn resetting_server(bytes: &'static [u8]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.write_all(bytes).await.expect("written");
            // Closing a connection with unread data resets it.
            stream.readable().await.expect("a request");
            drop(stream);
        }
    });
    server(addr)
}

#[test]
fn a_body_without_a_length_ends_with_the_connection_but_not_with_a_reset() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nConnection: close\r\n\r\nbody";
    const UNKNOWN_END: &[u8] = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\n\r\nbody";
    run_local(async {
        let sender = RequestSender::default();
        let (closing, connections) = responding_server(HEAD, true).await;
        assert_eq!(body(&sender, &closing).await, Ok(b"body".to_vec()));
        assert_eq!(body(&sender, &closing).await, Ok(b"body".to_vec()));
        assert_eq!(connections.get(), 2, "the connection is not reused");
        let resetting = resetting_server(HEAD).await;
        assert!(body(&sender, &resetting).await.is_err(), "a reset does not end a body");
        let (unknown, _) = responding_server(UNKNOWN_END, true).await;
        let result = sender.send(&unknown, &request(), TIMEOUT, TIMEOUT).await;
        assert_eq!(result.err(), Some(SendError::MayHaveExecuted), "nothing says that the connection ends");
        let (empty, _) =
            responding_server(b"HTTP/1.1 204 No Content\r\nX-Fennelgauge-Request-Id: r-1\r\n\r\n", false)
                .await;
        assert_eq!(body(&sender, &empty).await, Ok(Vec::new()), "a response that has no body");
    });
}

#[test]
fn a_body_is_complete_only_if_its_framing_says_so() {
    let cases: [(&str, &'static [u8], bool); 6] = [
        ("with a length", b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbody", true),
        (
            "in chunks",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            true,
        ),
        ("shorter than its length", b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 9\r\n\r\nbody", false),
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
            "malformed chunk",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n",
            false,
        ),
    ];
    run_local(async move {
        for (name, bytes, complete) in cases {
            let (server, _) = responding_server(bytes, true).await;
            let body = body(&RequestSender::default(), &server).await;
            assert_eq!(body.is_ok(), complete, "{name}: {body:?}");
        }
    });
}

#[test]
fn without_a_valid_response_the_request_may_have_been_executed() {
    let cases: [(&str, &'static [u8], SendError); 9] = [
        (
            "of another request",
            b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-0\r\nContent-Length: 0\r\n\r\n",
            SendError::MayHaveExecuted,
        ),
        (
            "a refusal of another request",
            b"HTTP/1.1 503 Busy\r\nX-Fennelgauge-Request-Id: r-0\r\nX-Fennelgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            SendError::MayHaveExecuted,
        ),
        ("without an id", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SendError::MayHaveExecuted),
        (
            "a refusal without an id",
            b"HTTP/1.1 503 Busy\r\nX-Fennelgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            SendError::MayHaveExecuted,
        ),
        (
            "misdirected, without an id",
            b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
            SendError::MayHaveExecuted,
        ),
        (
            "a rejection without an id",
            b"HTTP/1.1 422 Unprocessable\r\nContent-Length: 0\r\n\r\n",
            SendError::MayHaveExecuted,
        ),
        ("not HTTP", b"hello, is it me?\r\n\r\n", SendError::MayHaveExecuted),
        (
            "not executed",
            b"HTTP/1.1 503 Busy\r\nX-Fennelgauge-Request-Id: r-1\r\nX-Fennelgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            SendError::NotExecuted(awc::http::StatusCode::SERVICE_UNAVAILABLE),
        ),
        (
            "misdirected",
            b"HTTP/1.1 421 Misdirected\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n",
            SendError::NotExecuted(awc::http::StatusCode::MISDIRECTED_REQUEST),
        ),
    ];
    run_local(async move {
        for (name, bytes, expected) in cases {
            let (server, _) = responding_server(bytes, true).await;
            let result = RequestSender::default().send(&server, &request(), TIMEOUT, TIMEOUT).await;
            assert_eq!(result.err(), Some(expected), "{name}");
        }
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let result = RequestSender::default().send(&server(unused), &request(), TIMEOUT, TIMEOUT).await;
        assert_eq!(result.err(), Some(SendError::NotSent));
    });
}

#[test]
fn a_connection_is_reused_only_if_no_surplus_data_was_received() {
    let complete = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbody";
    let surplus = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n\r\n";
    let close = b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
    let cases: [(&str, &'static [u8], u32); 3] =
        [("complete", complete, 1), ("surplus data", surplus, 3), ("Connection: close", close, 3)];
    run_local(async move {
        for (name, bytes, expected) in cases {
            let (server, connections) = responding_server(bytes, false).await;
            let sender = RequestSender::default();
            for id in ["r-1", "r-2", "r-3"] {
                assert_eq!(body_of(&sender, &server, id).await.as_deref(), Ok(b"body".as_slice()), "{name}");
            }
            assert_eq!(connections.get(), expected, "{name}");
        }
    });
}

#[test]
fn a_connection_is_reused_after_a_response_without_a_body() {
    let cases: [(&str, &'static [u8]); 2] = [
        ("a failure", b"HTTP/1.1 500 Oops\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n"),
        (
            "a refusal",
            b"HTTP/1.1 503 Busy\r\nX-Fennelgauge-Request-Id: r-1\r\nX-Fennelgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    run_local(async move {
        for (name, bytes) in cases {
            let (server, connections) = responding_server(bytes, false).await;
            let sender = RequestSender::default();
            for id in ["r-1", "r-2", "r-3"] {
                drop(sender.send(&server, &request_with_id(id), TIMEOUT, TIMEOUT).await);
            }
            assert_eq!(connections.get(), 1, "{name}");
        }
    });
}

/// Guards against a second answer to an attempt that is taken for the answer to the next attempt, which has the same id.
#[test]
fn an_attempt_does_not_use_the_connection_of_the_attempt_before() {
    const FAILURE: &[u8] = b"HTTP/1.1 500 Oops\r\nX-Fennelgauge-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n";
    run_local(async {
        let (server, connections) = responding_server(FAILURE, false).await;
        let sender = RequestSender::default();
        for (id, expected) in [("r-1", 1), ("r-1", 2), ("r-2", 2), ("r-1", 2), ("r-1", 3)] {
            drop(sender.send(&server, &request_with_id(id), TIMEOUT, TIMEOUT).await);
            assert_eq!(connections.get(), expected, "after {id}");
        }
    });
}

/// Guards against a response read by the request after the one it was for: the connection of a foreign response was reused.
#[test]
fn a_connection_is_closed_after_a_response_of_another_request() {
    let cases: [(&str, &'static [u8]); 3] = [
        ("without a body", b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-0\r\nContent-Length: 0\r\n\r\n"),
        ("without an id", b"HTTP/1.1 503 Busy\r\nX-Fennelgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
        ("with a body", b"HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-0\r\nContent-Length: 4\r\n\r\nbody"),
    ];
    run_local(async move {
        for (name, bytes) in cases {
            let (server, connections) = responding_server(bytes, false).await;
            let sender = RequestSender::default();
            for sent in 1..=3 {
                assert!(body(&sender, &server).await.is_err(), "{name}");
                assert_eq!(connections.get(), sent, "{name}: connections after {sent} requests");
            }
        }
    });
}

/// Guards against surplus bytes read as the next response because the runtime had not been told of them yet.
#[test]
fn a_connection_with_unread_bytes_is_not_reused_even_if_the_runtime_has_not_seen_them() {
    run_local(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = server(listener.local_addr().expect("an address"));
        let (write_surplus, surplus_due) = std::sync::mpsc::channel();
        let (surplus_written, written) = std::sync::mpsc::channel();
        std::thread::spawn(move || serve_with_surplus(&listener, &surplus_due, &surplus_written));
        let sender = RequestSender::default();
        assert_eq!(body_of(&sender, &server, "r-0").await.as_deref(), Ok(b"body".as_slice()));
        write_surplus.send(()).expect("a server");
        // Blocks the runtime, as other work does: it cannot notice what arrives.
        written.recv().expect("surplus");
        let on_new_connection = body_of(&sender, &server, "r-1").await;
        assert_eq!(on_new_connection.as_deref(), Ok(b"body".as_slice()));
    });
}

/// Answers the first request of each connection, r-0 on the first one and so on; then writes surplus bytes on the first connection when it is told to.
fn serve_with_surplus(
    listener: &std::net::TcpListener,
    due: &std::sync::mpsc::Receiver<()>,
    written: &std::sync::mpsc::Sender<()>,
) {
    use std::io::{Read, Write};
    let mut open = Vec::new();
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-{}\r\n", open.len());
        stream.write_all((head + "Content-Length: 4\r\n\r\nbody").as_bytes()).expect("written");
        if open.is_empty() && due.recv().is_ok() {
            stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").expect("written");
            // Loopback delivers at once what was written before another system call of the same thread returns.
            let _ = written.send(());
        }
        open.push(stream);
    }
}
