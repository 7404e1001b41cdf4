//! A generated test: whichever byte of a lawful head is spoilt, a body is complete or visibly not.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use fennelgauge_model::Server;
use fennelgauge_upstream::RequestSender;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const BODY: &str = "a body of forty bytes, with some digits 7";
const CHUNKS: &str = "14\r\na body of forty byte\r\n15\r\ns, with some digits 7\r\n0\r\n\r\n";
/// What takes the place of a byte. A digit is none of them: another length is lawful, and what follows the body is surplus.
const SPOILERS: &[u8] = b" \t\r\n\0\x01\x1f\x7f\xe4:;,-+=\"xX";

/// How much of the body a server sends, and how it ends the connection.
#[derive(Clone, Copy, Debug)]
struct End {
    cuts: bool,
    resets: bool,
}

const WHOLE: [End; 2] = [End { cuts: false, resets: false }, End { cuts: false, resets: true }];
const CUT: [End; 2] = [End { cuts: true, resets: false }, End { cuts: true, resets: true }];

/// Starts a server that sends the present bytes on each connection once a request has come.
async fn start_server(response: Rc<RefCell<(Vec<u8>, End)>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let (bytes, end) = response.borrow().clone();
            let _ = stream.write_all(&bytes).await;
            if end.resets {
                let _ = stream.set_zero_linger();
            }
        }
    });
    server(addr)
}

/// Guards against MIXED: a spoilt head had a part of the body, or its framing, taken for the whole body.
#[test]
fn body_after_a_spoilt_head_is_the_servers_or_no_response() {
    let length = format!("Content-Length: {}\r\n", BODY.len());
    let closing = format!("Connection: close\r\n{length}");
    let chunked = "Transfer-Encoding: chunked\r\n".to_owned();
    let cases = [
        (length, BODY, [WHOLE, CUT].concat()),
        (chunked, CHUNKS, [WHOLE, CUT].concat()),
        // Without its length it ends with the connection, as the head says: a cut is an end then.
        (closing, BODY, WHOLE.to_vec()),
    ];
    run_local(async move {
        let response = Rc::new(RefCell::new((Vec::new(), WHOLE[0])));
        let server = start_server(response.clone()).await;
        for (fields, sent, ends) in cases {
            let head = format!("HTTP/1.1 200 OK\r\nX-Fennelgauge-Request-Id: r-1\r\nX-A: b\r\n{fields}\r\n");
            let spoilt = (0..head.len()).flat_map(|at| SPOILERS.iter().map(move |spoiler| (at, *spoiler)));
            for ((at, spoiler), end) in spoilt.flat_map(|byte| ends.iter().map(move |end| (byte, *end))) {
                let mut bytes = head.clone().into_bytes();
                bytes[at] = spoiler;
                let sent = if end.cuts { &sent[..sent.len() / 2] } else { sent };
                bytes.extend_from_slice(sent.as_bytes());
                *response.borrow_mut() = (bytes, end);
                let received = body(&RequestSender::default(), &server).await;
                let is_safe = received.as_ref().map_or(true, |body| body == BODY.as_bytes());
                assert!(is_safe, "byte {at} of {head:?} as {spoiler:#04x}, {end:?}: {received:?}");
            }
        }
    });
}
