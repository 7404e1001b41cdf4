//! Lists of servers that the platform sends broken. The library's client takes a lost connection for the end of a body and reads heads
//! leniently; what is no whole list is no list all the same, since a page is one JSON value.

mod support;

use std::time::Duration;

use fennelgauge_upstream::{fetch_server_list, platform_client};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const PAGE: &str = r#"{"instances":[{"backend":"s","addr":"127.0.0.1:80","zone":"z","slots":1,"state":"ready","cold_ms":0,"id":"i-1"}],"next_token":null}"#;

/// Returns the number of servers of the list that the platform sends in `answer` before it ends the connection.
async fn listed(answer: &str, resets: bool) -> Option<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).await;
        stream.write_all(answer.as_bytes()).await.expect("written");
        sleep(Duration::from_millis(5)).await;
        if resets {
            stream.set_zero_linger().expect("a reset");
        }
    };
    let client = platform_client();
    let (list, ()) = tokio::join!(fetch_server_list(&client, address), serving);
    list.ok().map(|servers| servers.len())
}

/// Guards against a part of the list taken for the whole: servers that it lacks would be left.
#[test]
fn list_that_is_cut_or_has_a_spoilt_head_is_no_list() {
    let (length, half) = (PAGE.len(), &PAGE[..PAGE.len() / 2]);
    let sized = |page: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{page}");
    let broken = [
        sized(half),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{half}"),
        format!("HTTP/1.1 200 OK\r\n\r\n{half}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 9 \r\n\r\n{PAGE}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n{PAGE}"),
        format!("HTTP/1.1 200 OK\r\nno field\r\nContent-Length: {length}\r\n\r\n{PAGE}"),
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{PAGE}"),
        format!("HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: {length}\r\n\r\n{PAGE}"),
        format!("HTTP/1.1 200 OK\r\nX\u{1}: b\r\nContent-Length: {length}\r\n\r\n{PAGE}"),
    ];
    run_local(async move {
        assert_eq!(listed(&sized(PAGE), false).await, Some(1));
        for (answer, resets) in broken.iter().flat_map(|answer| [(answer, false), (answer, true)]) {
            assert_eq!(listed(answer, resets).await, None, "{answer:?}, reset: {resets}");
        }
    });
}
