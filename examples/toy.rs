//! Minimal versions of what a gateway needs: two servers, a counter and a discovery service on the loopback interface.
//! `examples/gateway.json` is a matching configuration of the gateway.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: [&str; 2] = ["127.0.0.1:9001", "127.0.0.1:9002"];

fn main() -> Result<()> {
    for (name, address) in SERVERS.into_iter().enumerate() {
        listen(address, move |stream| serve_jobs(stream, &format!("server {name} did it\n")))?;
    }
    let totals = Arc::new(Mutex::new(HashMap::new()));
    listen("127.0.0.1:6400", move |stream| serve_counter(stream, &totals))?;
    listen("127.0.0.1:8500", serve_discovery)?;
    println!("servers at {SERVERS:?}, counter at 127.0.0.1:6400, discovery at 127.0.0.1:8500");
    loop {
        thread::park();
    }
}

/// Accepts connections at `address` and handles each one in a thread of its own.
fn listen(address: &str, handle: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static) -> Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            // An error of a connection ends only its own thread.
            thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

/// Reads the next request and returns its first line, or `None` at the end of the connection. The body is skipped.
fn read_request(input: &mut impl BufRead) -> Result<Option<String>> {
    let (mut first_line, mut content_length) = (String::new(), 0);
    if input.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            content_length = value.trim().parse().unwrap_or(0);
        }
    }
    std::io::copy(&mut input.take(content_length), &mut std::io::sink())?;
    Ok(Some(first_line))
}

fn respond(mut stream: &TcpStream, body: &str) -> Result<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Answers every request with `body` after 60 ms.
fn serve_jobs(stream: TcpStream, body: &str) -> Result<()> {
    let mut input = BufReader::new(&stream);
    while read_request(&mut input)?.is_some() {
        thread::sleep(Duration::from_millis(60));
        respond(&stream, body)?;
    }
    Ok(())
}

/// Handles `bump NAME AMOUNT LIFETIME` lines: adds to the total of a name and returns it. Totals never expire here.
fn serve_counter(stream: TcpStream, totals: &Mutex<HashMap<String, f64>>) -> Result<()> {
    for line in BufReader::new(&stream).lines() {
        let line = line?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let reply = match (words.as_slice(), totals.lock()) {
            (["bump", name, amount, _], Ok(mut totals)) => {
                let total: &mut f64 = totals.entry(name.to_string()).or_default();
                *total += amount.parse().unwrap_or(0.0);
                format!("ok {total}")
            }
            (["ping"], _) => "pong".to_string(),
            _ => "error".to_string(),
        };
        println!("counter: {line} -> {reply}");
        write!(&stream, "{reply}\r\n")?;
    }
    Ok(())
}

/// Answers requests for the list of servers with the whole list, and watches for changes with no change.
fn serve_discovery(stream: TcpStream) -> Result<()> {
    let mut input = BufReader::new(&stream);
    while let Some(line) = read_request(&mut input)? {
        if line.contains("from=1") {
            let hold_ms = line.split("hold_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            thread::sleep(Duration::from_millis(hold_ms.unwrap_or(1_000)));
            respond(&stream, r#"{"seq":1,"whole":false,"hosts":[]}"#)?;
            continue;
        }
        let hosts = SERVERS.into_iter().enumerate().map(|(name, dial)| {
            format!(
                r#"{{"host":"toy-{name}","dial":"{dial}","site":"here","class":"toy","block":{name},"health":"in_service","share":1.0,"born_ms":0}}"#
            )
        });
        let hosts: Vec<String> = hosts.collect();
        respond(&stream, &format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(",")))?;
    }
    Ok(())
}
