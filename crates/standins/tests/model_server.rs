//! The stand-in for model servers behaves as its conduct says, and tells its observer what ran.

use std::future::Future;
use std::time::Duration;

use fennelgauge_standins::{start_model_server, Conduct, ModelServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(5);
const ALWAYS: u8 = 100;

fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

async fn connected(server: &ModelServer, address: std::net::SocketAddr, conduct: Conduct) -> TcpStream {
    server.conduct.set(conduct);
    TcpStream::connect(address).await.expect("a connection")
}

async fn send(stream: &mut TcpStream, id: &str, path: &str) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Fennelgauge-Request-Id: {id}\r\nContent-Length: 6\r\n\r\nprompt"
    );
    stream.write_all(request.as_bytes()).await.expect("written");
}

/// Reads until the text holds `end` or the connection ends.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let reading = async {
        while !String::from_utf8_lossy(&text).contains(end) {
            if !matches!(stream.read_buf(&mut text).await, Ok(1..)) {
                return;
            }
        }
    };
    timeout(TIMEOUT, reading).await.expect("an answer in time");
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn a_full_server_refuses_and_says_that_the_request_did_not_run() {
    run_local(async {
        let (address, server) = start_model_server("i-1").await.expect("a server");
        let conduct = Conduct { slots: 1, queue: 1, ..Conduct::default() };
        let mut streams = Vec::new();
        for id in ["r-1", "r-2", "r-3"] {
            let mut stream = connected(&server, address, conduct).await;
            send(&mut stream, id, "/slow/x").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            streams.push(stream);
        }
        let refused = read_until(&mut streams[2], "\r\n\r\n").await;
        assert!(
            refused.starts_with("HTTP/1.1 503") && refused.contains("X-Fennelgauge-Not-Executed"),
            "{refused}"
        );
        assert!(refused.contains("r-3"), "{refused}");
        let waited = read_until(&mut streams[1], "\r\n0\r\n\r\n").await;
        assert!(waited.starts_with("HTTP/1.1 200"), "{waited}");
        let ran: Vec<String> = server.runs.borrow().iter().map(|run| run.0.clone()).collect();
        assert_eq!(ran, ["r-1", "r-2"]);
    });
}

#[test]
fn conduct_shows_in_what_is_answered_and_in_what_runs() {
    let cases: [(&str, Conduct, &str, usize); 5] = [
        ("refused early", Conduct { early_refusals: ALWAYS, ..Conduct::default() }, "Not-Executed", 0),
        ("an unmarked refusal", Conduct { unmarked_refusals: ALWAYS, ..Conduct::default() }, "signed-i-1", 1),
        ("an early part", Conduct { early_parts: ALWAYS, ..Conduct::default() }, "signed-i-1", 1),
        ("closing", Conduct { closing_answers: ALWAYS, ..Conduct::default() }, "Connection: close", 1),
        ("a lost answer", Conduct { lost_answers: ALWAYS, ..Conduct::default() }, "", 1),
    ];
    run_local(async {
        for (name, conduct, expected, runs) in cases {
            let (address, server) = start_model_server("i-1").await.expect("a server");
            let mut stream = connected(&server, address, conduct).await;
            send(&mut stream, "r-1", "/x").await;
            let answer = read_until(&mut stream, "\r\n\r\n").await;
            assert!(answer.contains(expected), "{name}: {answer}");
            assert_eq!(answer.is_empty(), expected.is_empty(), "{name}: {answer}");
            assert_eq!(server.runs.borrow().len(), runs, "{name}");
        }
    });
}

#[test]
fn a_spoilt_head_differs_in_a_part_and_does_not_say_that_the_connection_closes() {
    run_local(async {
        let (address, server) = start_model_server("i-1").await.expect("a server");
        let mut heads = Vec::new();
        for spoilt_heads in [0, ALWAYS] {
            let conduct = Conduct { spoilt_heads, closing_answers: spoilt_heads, ..Conduct::default() };
            let mut stream = connected(&server, address, conduct).await;
            send(&mut stream, "r-1", "/body/x").await;
            heads.push(read_until(&mut stream, "data: r-1 5\n").await);
        }
        assert!(heads[0] != heads[1] && !heads[1].contains("Connection"), "{heads:?}");
        assert_eq!(server.counts.get().spoilt_heads, 1);
    });
}

#[test]
fn an_address_that_is_used_again_answers_421_to_requests_for_its_former_server() {
    run_local(async {
        let (address, server) = start_model_server("i-1").await.expect("a server");
        let mut old = connected(&server, address, Conduct::default()).await;
        send(&mut old, "r-1", "/silent/x").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        server.replace("i-2");
        assert_eq!(read_until(&mut old, "\r\n\r\n").await, "", "connections of the former server end");
        let mut stream = connected(&server, address, Conduct::default()).await;
        let request = "POST /x HTTP/1.1\r\nX-Fennelgauge-Target-Instance: i-1\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("written");
        let answer = read_until(&mut stream, "\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 421"), "{answer}");
        assert_eq!(server.runs.borrow().len(), 1);
    });
}

#[test]
fn a_frozen_server_answers_once_it_is_woken() {
    run_local(async {
        let (address, server) = start_model_server("i-1").await.expect("a server");
        let mut stream = connected(&server, address, Conduct::default()).await;
        server.frozen.set(true);
        send(&mut stream, "r-1", "/x").await;
        let early = timeout(Duration::from_millis(100), read_until(&mut stream, "\r\n\r\n")).await;
        assert!(early.is_err(), "a frozen server answers: {early:?}");
        server.frozen.set(false);
        assert!(read_until(&mut stream, "\r\n0\r\n\r\n").await.starts_with("HTTP/1.1 200"));
    });
}
