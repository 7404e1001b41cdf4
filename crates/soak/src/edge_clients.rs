//! Clients and servers that behave badly: clients that read a large response slowly, also through a SIGTERM; servers that go
//! dark amid a response; clients that leave.

mod result_readers;

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_response_head::{parse_response_head, BodyEnd};
use fennelgauge_standins::{EVENTS_PER_RESPONSE, LARGE_EVENT_BYTES};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

pub use self::result_readers::read_results_slowly;
use crate::world::{EdgeCases, Phase, World, BRIEF_PREFIX, BRIEF_TIMEOUT};

/// Receive buffer of a slow reader, in bytes: what it does not read stays at the data plane.
const SMALL_RECEIVE_BUFFER: usize = 8 << 10;
/// Largest segment that a client accepts, in bytes. With the large ones of the loopback device, the kernel of the data plane
/// would take a whole response at once.
const MAX_SEGMENT_BYTES: u32 = 1_400;
/// Bytes that a client reads at once at most.
const READ_BYTES: usize = 32 << 10;
/// Bytes that a slow reader takes in a second: a large response lasts for about a second.
const SLOW_BYTES_PER_S: f64 = 1_400_000.0;
/// Longest time that a client reads one response.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// A request that is held past its route's time by more than this is a fault.
const OVERTIME: Duration = Duration::from_millis(500);
/// Servers that work on for longer than this after a client has left are a fault.
const WORK_AFTER_DEPARTURE: Duration = Duration::from_millis(500);
/// A process that has read a whole request answers it, or closes the connection within so long.
const SLACK: Duration = Duration::from_millis(200);
/// What this machine, which runs everything, may be late by.
const MACHINE_SLACK: Duration = Duration::from_millis(400);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ResponseEnd {
    /// By its framing; the body is as sent, with its chunk headers.
    Whole {
        status: u16,
        body: Vec<u8>,
    },
    /// The connection ended before the response did, or was never open.
    Broken {
        has_begun: bool,
    },
    TimedOut,
}

/// Reads one large response after the other slowly. One that breaks off around planned work only is lost.
pub async fn read_slowly(world: Rc<World>, front: u8) {
    while world.phase.get() <= Phase::Recovering {
        sleep(PAUSE).await;
        let id = format!("live-slow-{}", world.number());
        let (sent, sent_at) = (world.events.now(), Instant::now());
        let Some(stream) = connect(&world, front).await else { continue };
        match exchange(stream, &request(&id, "/stream/large/x", 5_000), Some(SLOW_BYTES_PER_S)).await {
            ResponseEnd::Whole { status: 200, body } => {
                let least = EVENTS_PER_RESPONSE as usize * LARGE_EVENT_BYTES;
                if body.len() < least {
                    world.blame("MIXED", format!("{id} at edge-{front}: {} of {least} bytes", body.len()));
                }
                count(&world, |cases| cases.read_slowly += 1);
            }
            ResponseEnd::Broken { has_begun } => {
                let late = sent_at.elapsed() > SLACK + MACHINE_SLACK;
                if world.only_planned_since(sent) && (has_begun || late) {
                    let took = sent_at.elapsed().as_millis();
                    world.blame("LOST", format!("{id} at edge-{front}: cut after {took} ms"));
                }
            }
            end => world.events.note(format_args!("{id} at edge-{front}: {end:?}")),
        }
    }
}

/// Sends requests whose servers go dark amid the response: each ends at its route's time, and is not whole.
pub async fn meet_dark_servers(world: Rc<World>, front: u8) {
    while world.phase.get() <= Phase::Recovering {
        sleep(PAUSE).await;
        let id = format!("live-dark-{}", world.number());
        let (sent, sent_at) = (world.events.now(), Instant::now());
        let Some(stream) = connect(&world, front).await else { continue };
        let request = request(&id, &format!("{BRIEF_PREFIX}dark/x"), 9_000);
        let end = exchange(stream, &request, None).await;
        let took = sent_at.elapsed();
        match end {
            ResponseEnd::Whole { status: 200, .. } => {
                world.blame("MIXED", format!("{id} at edge-{front}: a cut response looks whole"));
            }
            _ if !world.only_planned_since(sent) => {}
            _ if took > BRIEF_TIMEOUT + OVERTIME + MACHINE_SLACK => {
                world.blame("CONFIG", format!("{id} at edge-{front}: held for {} ms", took.as_millis()));
            }
            ResponseEnd::Broken { has_begun: true } => count(&world, |cases| cases.cut_off += 1),
            _ => {}
        }
    }
}

/// Sends requests and leaves before the response, or amid it: no server works on for long, and none begins later.
pub async fn leave(world: Rc<World>, front: u8) {
    while world.phase.get() <= Phase::Recovering {
        sleep(PAUSE).await;
        let id = format!("live-left-{}", world.number());
        let sent = world.events.now();
        let Some(mut stream) = connect(&world, front).await else { continue };
        let path = if fastrand::bool() { "/stream/dark/x" } else { "/stream/silent/x" };
        if stream.write_all(&request(&id, path, 9_000)).await.is_err() {
            continue;
        }
        // Unread bytes would turn the close into a reset, which is another way to leave.
        let _ =
            timeout(Duration::from_millis(fastrand::u64(0..250)), stream.read_to_end(&mut Vec::new())).await;
        if fastrand::bool() {
            let _ = stream.set_zero_linger();
        }
        drop(stream);
        world.left_at.borrow_mut().insert(id.clone(), world.events.now());
        sleep(WORK_AFTER_DEPARTURE + MACHINE_SLACK).await;
        if !world.only_planned_since(sent) {
            continue;
        }
        // One that reached no server shows nothing.
        if !world.live_runs.borrow().contains_key(&id) {
            continue;
        }
        match world.live_at_work.borrow().get(&id).copied().unwrap_or(0) {
            0 => count(&world, |cases| cases.left += 1),
            runs => {
                world.blame("GONE", format!("{id} at edge-{front}: {runs} servers are still at work on it"))
            }
        }
    }
}

/// Judges a run that starts: none may for a client that left a while ago.
pub fn judge_start(world: &World, id: &str) {
    let Some(left_at) = world.left_at.borrow().get(id).copied() else { return };
    let since = Duration::from_micros(world.events.now().saturating_sub(left_at));
    if since > WORK_AFTER_DEPARTURE + MACHINE_SLACK && world.only_planned_since(left_at) {
        let late = since.as_millis();
        world.blame("GONE", format!("{id}: a server got it {late} ms after its client had left"));
    }
}

fn count(world: &World, change: impl FnOnce(&mut EdgeCases)) {
    let mut cases = world.edge_cases.get();
    change(&mut cases);
    world.edge_cases.set(cases);
}

async fn connect(world: &World, front: u8) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_nonblocking(true).ok()?;
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).ok()?;
    socket.set_tcp_mss(MAX_SEGMENT_BYTES).ok()?;
    let socket = TcpSocket::from_std_stream(socket.into());
    let connected = timeout(Duration::from_secs(1), socket.connect(world.tier.front_address(front)));
    connected.await.ok()?.ok()
}

fn request(id: &str, path: &str, deadline_ms: u64) -> Vec<u8> {
    format!("{}Content-Length: 0\r\n\r\n", request_head("POST", path, id, deadline_ms)).into_bytes()
}

/// Returns the head of a request without the empty line, by a client of the first tenant.
fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let key = World::key(0);
    format!(
        "{method} {path} HTTP/1.1\r\nHost: tier.example\r\nAuthorization: Bearer {key}\r\n\
         X-Fennelgauge-Request-Id: {id}\r\nX-Fennelgauge-Request-Deadline: {deadline_ms}\r\nConnection: close\r\n"
    )
}

/// Sends a request on a connection of its own and reads until that ends, at most so many bytes a second.
async fn exchange(mut stream: TcpStream, request: &[u8], bytes_per_s: Option<f64>) -> ResponseEnd {
    let mut received = Vec::new();
    let reading = async {
        stream.write_all(request).await.ok()?;
        let started_at = Instant::now();
        let mut piece = vec![0; READ_BYTES];
        loop {
            match stream.read(&mut piece).await.ok()? {
                0 => return Some(()),
                read => received.extend_from_slice(&piece[..read]),
            }
            if let Some(rate) = bytes_per_s {
                sleep_until(started_at + Duration::from_secs_f64(received.len() as f64 / rate)).await;
            }
        }
    };
    if timeout(READ_TIMEOUT, reading).await.is_err() {
        return ResponseEnd::TimedOut;
    }
    end_of(&received)
}

/// Tells how a response ended of which these bytes came before the end of its connection.
fn end_of(received: &[u8]) -> ResponseEnd {
    let broken = ResponseEnd::Broken { has_begun: !received.is_empty() };
    let Ok(Some(head)) = parse_response_head(received, false) else { return broken };
    let body = &received[head.consumed_bytes..];
    let is_whole = match head.body_end {
        BodyEnd::NoBody => body.is_empty(),
        BodyEnd::Length(length) => body.len() as u64 == length,
        BodyEnd::LastChunk => body.ends_with(b"\r\n0\r\n\r\n") || body == b"0\r\n\r\n",
        // Data planes delimit all bodies.
        BodyEnd::ConnectionClose => false,
    };
    match is_whole {
        true => ResponseEnd::Whole { status: head.status, body: body.to_vec() },
        false => broken,
    }
}

#[cfg(test)]
mod tests;
