//! What a server in trouble sends reaches no client as a complete response, unless it is one.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Receive buffer of a server that does not read an upload, in bytes.
const SMALL_RECEIVE_BUFFER: u32 = 4 << 10;
/// More than the sockets' buffers take: the upload is still being written when the response comes.
const UPLOAD_BYTES: usize = 4_000_000;
/// A server resets the connection so long after its early response.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Routes of each kind, by a path on them.
const PATHS: [&str; 4] = ["/long/idempotent/a", "/mutating/a", "/long/stream/a", "/long/resume/a"];
/// An event stream, so that it may be the body on each kind of route.
const BODY: &str = "id: 1\ndata: first\n\nid: 2\ndata: second\n\n";

/// How a server ends the connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    KeepOpen,
}

/// What a client received.
#[derive(Debug, PartialEq, Eq)]
enum Received {
    /// A complete response.
    Whole { status: u16, body: String },
    /// A response that visibly breaks off.
    Cut,
}

/// Starts a server that gives each request the same response. It does not read the bodies of requests if `reads_uploads` is false.
async fn start_server(response: String, end: End, reads_uploads: bool) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    if !reads_uploads {
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).expect("a small buffer");
    }
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(respond(stream, response.clone(), end, reads_uploads));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, response: String, end: End, reads_uploads: bool) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    if reads_uploads {
        let length = value("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
        let _ = stream.read_exact(&mut vec![0; length]).await;
    }
    let id = value("x-fennelgauge-request-id:").unwrap_or("");
    let _ = stream.write_all(response.replace("REQUEST-ID", id).as_bytes()).await;
    match end {
        End::Close => {}
        End::KeepOpen => std::future::pending().await,
        End::Reset => {
            sleep(RESET_DELAY).await;
            let _ = stream.set_zero_linger();
        }
    }
}

/// Returns a response with a first line, the fields that each response has, and more fields.
fn response(status_line: &str, fields: &str, body: &str) -> String {
    format!("{status_line}\r\nX-Fennelgauge-Request-Id: REQUEST-ID\r\nX-Fennelgauge-Response-Signature: s\r\n{fields}\r\n{body}")
}

/// Sends a request with a body to a data plane whose only server gives this response.
async fn exchange(path: &str, upload_bytes: usize, server: SocketAddr) -> Received {
    let plane = TestPlane::start(&[]).await;
    plane.list_servers(&[server]);
    let mut stream = TcpStream::connect(plane.address).await.expect("connected");
    let head = request(path).replace("Content-Length: 0", &format!("Content-Length: {upload_bytes}"));
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&vec![b'u'; upload_bytes]).await.expect("sent");
    let mut received = Vec::new();
    let _ = timeout(TIMEOUT, stream.read_to_end(&mut received)).await.expect("the connection ends in time");
    received_response(&received)
}

/// Takes apart what came on a connection until its end.
fn received_response(received: &[u8]) -> Received {
    let text = String::from_utf8_lossy(received).into_owned();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Received::Cut };
    let head = head.to_ascii_lowercase();
    let length: Option<usize> =
        head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let body = match length {
        Some(length) => (body.len() == length).then(|| body.to_owned()),
        None => unchunked(body),
    };
    match body {
        Some(body) => Received::Whole { status: status(&text), body },
        None => Received::Cut,
    }
}

/// Returns the data of all chunks; `None` without the last one.
fn unchunked(mut rest: &str) -> Option<String> {
    let mut data = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(data);
        }
        data += after.get(..size)?;
        rest = after.get(size..)?.strip_prefix("\r\n")?;
    }
}

/// Returns the chunks of a body, each event in one.
fn chunked(body: &str) -> String {
    let chunk = |event: &str| format!("{:x}\r\n{event}\r\n", event.len());
    body.split_inclusive("\n\n").map(chunk).collect::<String>() + "0\r\n\r\n"
}

/// Guards against MIXED: a part of a body looked complete because the reset had failed the upload before it could fail a read.
#[test]
fn early_response_to_an_upload_that_breaks_off_is_not_complete() {
    let fields = ["", "Connection: close\r\n"];
    let part = BODY.split_inclusive("\n\n").next().expect("an event");
    let mut passed = Vec::new();
    for (path, fields) in PATHS.iter().flat_map(|path| fields.map(|fields| (path, fields))) {
        run_local(async {
            let early = response("HTTP/1.1 200 OK", fields, part);
            let server = start_server(early, End::Reset, false).await;
            let received = exchange(path, UPLOAD_BYTES, server).await;
            if matches!(received, Received::Whole { status: 200, .. }) {
                passed.push(format!("{path}, {fields:?}: {received:?}"));
            }
        });
    }
    assert!(passed.is_empty(), "{} parts look complete:\n{}", passed.len(), passed.join("\n"));
}

/// Heads without the fields that each response has; the body has 39 bytes, or is in chunks where the head has the word.
const SPOILT_HEADS: [&str; 37] = [
    "HTTP/1.1 200 OK\r\nContent-Length : 39",
    "HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nX\u{1}A: b\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nContent\u{2}Length: 39",
    "HTTP/1.1 200 OK\r\nX-A\t: b\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nX-A: b\n\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nContent-Length: 39x",
    "HTTP/1.1 200 OK\r\nContent-Length: +39",
    "HTTP/1.1 200 OK\r\nContent-Length: 3 9",
    "HTTP/1.1 200 OK\r\nContent-Length: 3 ",
    "HTTP/1.1 200 OK\r\nContent-Length: ",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nContent-Length: 4, 39",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 39",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: identity",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkex\r\nConnection: close",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
    "HTTP/1.1 200 OK\r\nContent-Lexgth: 39",
    "HTTP/1.1 200 OK\r\nTransfex-Encoding: chunked",
    "HTTP/1.1 000 OK\r\nContent-Length: 39",
    "HTTP/1.1 099 OK\r\nContent-Length: 39",
    "HTTP/1.1 600 OK\r\nContent-Length: 39",
    "HTTP/1.1 999 OK\r\nContent-Length: 39",
    "HTTP/1.1 2000 OK\r\nContent-Length: 39",
    "HTTP/1.1 20 OK\r\nContent-Length: 39",
    "HTTP/1.1 103 OK\r\nX-A: b",
    "HTTP/1.1 101 OK\r\nX-A: b",
    "HTTP/1.1 204 OK\r\nContent-Length: 39",
    "HTTP/2.0 200 OK\r\nContent-Length: 39",
];

/// Starts a server that gives this response, which lacks the fields that each has, and sends a request to it.
async fn received_after(head: &str, end: End, path: &str) -> Received {
    let body = if head.contains("chunk") { chunked(BODY) } else { BODY.to_owned() };
    let (status_line, fields) = head.rsplit_once(" OK").expect("a status line");
    let fields = format!("{}\r\n", fields.trim_start_matches("\r\n"));
    let server = start_server(response(&format!("{status_line} OK"), &fields, &body), end, true).await;
    exchange(path, 0, server).await
}

/// Guards against MIXED: a response whose head contradicts itself, or is none, reached the client as a complete one.
#[test]
fn response_whose_head_is_spoilt_does_not_reach_the_client() {
    assert_eq!(BODY.len(), 39);
    let mut passed = Vec::new();
    for (head, path) in SPOILT_HEADS.iter().flat_map(|head| PATHS.map(|path| (head, path))) {
        run_local(async {
            let received = received_after(head, End::Close, path).await;
            if received != (Received::Whole { status: 502, body: String::new() }) {
                passed.push(format!("{head:?}, {path}: {received:?}"));
            }
        });
    }
    assert!(passed.is_empty(), "{} passed:\n{}", passed.len(), passed.join("\n"));
}

#[test]
fn lawful_responses_reach_the_client_whole() {
    let cases = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 39", End::KeepOpen),
        ("HTTP/1.1 200 OK\r\nContent-Length: 39", End::Reset),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked", End::KeepOpen),
        ("HTTP/1.1 200 OK\r\nConnection: close", End::Close),
        ("HTTP/1.0 200 OK\r\nX-A: b", End::Close),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 39", End::KeepOpen),
    ];
    let whole = || Received::Whole { status: 200, body: BODY.to_owned() };
    for ((head, end), path) in cases.iter().flat_map(|case| PATHS.map(|path| (case, path))) {
        run_local(async { assert_eq!(received_after(head, *end, path).await, whole(), "{head:?}, {path}") });
    }
    let chunks = chunked(BODY).replacen("\r\n", ";a=b\r\n", 1);
    let extended = chunks.replace("\r\n0\r\n\r\n", "\r\n0\r\nX-T: a\r\n\r\n");
    let response = response("HTTP/1.1 200", "Transfer-Encoding: chunked\r\n", &extended);
    run_local(async {
        let server = start_server(response, End::KeepOpen, true).await;
        assert_eq!(exchange(PATHS[0], 0, server).await, whole(), "no reason, an extension and a trailer");
    });
}

/// Guards against MIXED: a response without a body was followed by the end of chunks, bytes that are no response.
#[test]
fn response_without_a_body_is_followed_by_nothing() {
    let cases = [("HTTP/1.1 204 No Content", ""), ("HTTP/1.1 304 Not Modified", "Content-Length: 39\r\n")];
    for ((status_line, fields), path) in cases.iter().flat_map(|case| PATHS.map(|path| (case, path))) {
        run_local(async {
            let server = start_server(response(status_line, fields, ""), End::KeepOpen, true).await;
            let plane = TestPlane::start(&[]).await;
            plane.list_servers(&[server]);
            let (received, _) = plane.exchange(path).await;
            assert!(received.starts_with(status_line), "not passed on, {path}: {received:?}");
            assert!(
                received.ends_with("\r\n\r\n") && !received.ends_with("0\r\n\r\n"),
                "{path}: {received:?}"
            );
        });
    }
}

/// Guards against MIXED: a success whose signature was lost, as its name was spoilt, reached the client.
#[test]
fn success_without_the_servers_signature_does_not_reach_the_client() {
    let fields = format!("Content-Length: {}\r\n", BODY.len());
    for path in PATHS {
        run_local(async {
            let response = response("HTTP/1.1 200 OK", &fields, BODY).replace("Signature", "Signatuse");
            let server = start_server(response, End::Close, true).await;
            let received = exchange(path, 0, server).await;
            assert_eq!(received, Received::Whole { status: 502, body: String::new() }, "{path}");
        });
    }
}
