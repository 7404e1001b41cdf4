//! Clients of live streams: each keeps to its connection until the process at the other end is gone, and judges each answer.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_standins::EVENTS_PER_RESPONSE;
use tokio::time::{sleep, Instant};

use crate::connection::Connection;
use crate::http::{NoAnswer, Whole};
use crate::world::{Phase, World, MUTATING_PREFIX};

/// Length of the body of a request for a stream.
const STREAM_REQUEST_BYTES: usize = 6;
/// Longest and shortest time that clients give their requests.
const LONGEST_DEADLINE_MS: u64 = 4_000;
const SHORTEST_DEADLINE_MS: u64 = 150;
/// Of that of a request for a body, at most.
const MOST_REQUEST_BYTES: usize = 60_000;
/// Of a body that does not fit into buffers.
const UPLOAD_BYTES: usize = 4_100_000;
const AGAIN: Duration = Duration::from_millis(100);
const WITHIN: Duration = Duration::from_millis(5_000);
/// A process that has read a whole request answers it, or closes the connection within so long.
const SLACK: Duration = Duration::from_millis(200);
/// Of the machine's own slowness: what is written to a closed connection is told late.
const SLACK_HERE: Duration = Duration::from_millis(150);

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// A stream that may not be resumed.
    Stream,
    /// A body of known length, by a request that may run once only.
    Body,
    /// The same, by a request whose body does not fit into the buffers of its connection.
    BodyForUpload,
}

impl Asked {
    fn path(self) -> String {
        match self {
            Self::Stream => "/stream/run/slow/x".to_owned(),
            Self::Body | Self::BodyForUpload => format!("{MUTATING_PREFIX}run/body/x"),
        }
    }

    /// How long a client waits, in milliseconds.
    fn deadline_ms(self) -> u64 {
        match self {
            Self::Stream | Self::BodyForUpload => LONGEST_DEADLINE_MS,
            Self::Body => fastrand::u64(SHORTEST_DEADLINE_MS..=LONGEST_DEADLINE_MS),
        }
    }

    /// Length of a request's body.
    fn request_bytes(self) -> usize {
        match self {
            Self::Stream => STREAM_REQUEST_BYTES,
            Self::Body => fastrand::usize(0..=MOST_REQUEST_BYTES),
            Self::BodyForUpload => UPLOAD_BYTES,
        }
    }
}

/// One client, at one data plane: a new connection only when the last one is gone.
pub async fn request_on(world: Rc<World>, front: u8, asked: Asked) {
    let mut connection: Option<Connection> = None;
    while world.phase.get() <= Phase::Recovering {
        if connection.as_ref().is_none_or(|connection| !connection.is_open()) {
            connection = Connection::open(world.tier.front_address(front)).await;
        }
        let Some(open) = &mut connection else {
            sleep(AGAIN).await;
            continue;
        };
        let id = format!("live-{}", world.number());
        let (sent, began) = (world.events.now(), Instant::now());
        let answer = open.exchange(&request(&id, asked), WITHIN).await;
        if answer.is_err() {
            connection = None;
        }
        judge(&world, front, &id, sent, began.elapsed(), answer);
        sleep(Duration::from_millis(fastrand::u64(0..120))).await;
    }
}

fn request(id: &str, asked: Asked) -> Vec<u8> {
    let (key, path, length) = (World::key(0), asked.path(), asked.request_bytes());
    let deadline_ms = asked.deadline_ms();
    let mut request = format!(
        "POST {path} HTTP/1.1\r\nHost: tier.example\r\nAuthorization: Bearer {key}\r\n\
         X-Fennelgauge-Request-Id: {id}\r\nX-Fennelgauge-Request-Deadline: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + length, b'p');
    request
}

fn judge(world: &World, front: u8, id: &str, sent: u64, took: Duration, answer: Result<Whole, NoAnswer>) {
    let runs = world.live_runs.borrow().get(id).copied().unwrap_or(0);
    match answer {
        Ok(Whole { status: 200, body }) => {
            world.live_answers.set(world.live_answers.get() + 1);
            if let Some(wrong) = wrong_in(id, &String::from_utf8_lossy(&body)) {
                world.blame("MIXED", format!("{id} at edge-{front}: {wrong}"));
            }
        }
        Ok(Whole { status: 429 | 503 | 408 | 421, .. }) => {
            world.live_refused.borrow_mut().insert(id.to_owned());
        }
        Ok(Whole { status: status @ 400..=499, .. }) => {
            world.blame("DENIED", format!("{id} at edge-{front} is answered {status}"));
        }
        Err(NoAnswer::Malformed) => {
            world.blame("MIXED", format!("{id} at edge-{front}: what came is no answer"));
        }
        // What its server broke off may be cut.
        Err(NoAnswer::Broken) if world.live_broken_off.borrow().contains(id) => {}
        Err(NoAnswer::Broken)
            if world.only_planned_since(sent) && (runs > 0 || took > SLACK + SLACK_HERE) =>
        {
            let what = format!("{id} at edge-{front}: no answer after {} ms, {runs} runs", took.as_millis());
            world.blame("LOST", what);
        }
        _ => {}
    }
    if runs > 1 {
        world.blame("TWICE", format!("{id} ran {runs} times"));
    }
}

/// What is wrong with an answer that claims to be whole.
fn wrong_in(id: &str, body: &str) -> Option<String> {
    let data: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    if data.len() as u64 != EVENTS_PER_RESPONSE {
        return Some(format!("{} of {EVENTS_PER_RESPONSE} events", data.len()));
    }
    let run = data[0].split(" run ").nth(1)?;
    let place = data
        .iter()
        .enumerate()
        .position(|(place, event)| *event != format!("{id} {} run {run}", place + 1))?;
    Some(format!("event {} is {:?}", place + 1, data[place]))
}

/// Refused requests never run, and none that may run once only runs twice.
pub fn judge_all(world: &World) {
    let runs = world.live_runs.borrow();
    for id in world.live_refused.borrow().iter() {
        if runs.contains_key(id) {
            world.blame("REFUSED", format!("{id} was refused and ran"));
        }
    }
    for (id, count) in runs.iter().filter(|(_, count)| **count > 1) {
        world.blame("TWICE", format!("{id} ran {count} times"));
    }
}

#[cfg(test)]
mod tests;
