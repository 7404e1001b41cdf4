//! Connections of clients.

use super::http;
use super::request::{self, Request, Taken};
use crate::memory::channel::{Channel, Filled};
use crate::memory::timers::Due;
use crate::sockets::{settle, Limiter, Sockets};
use fennelgauge::host::{Arrival, JobId};
use fennelgauge::time::{Moment, Span};
use std::net::TcpStream;
use tracing::info;

/// Requests of one connection that are taken in one turn: a client that writes them without pause must not keep
/// the loop from all others.
const AT_ONCE: usize = 16;
/// Bytes of a next request that are taken in while a job is out.
const PIPELINED: usize = 4 * 1024;
/// How long a request may take to come in, from the connection's start or once begun; far above any sound
/// client's. One that says nothing is owed a close within 3 s of its connecting; the sweep takes its part of that.
const SLOW: Span = Span::from_millis(2_000);
/// How long an answer may take to be taken.
const SLOW_READER: Span = Span::from_millis(10_000);
/// How long an ended connection may take to be closed by the other side.
const LINGER: Span = Span::from_millis(1_000);
/// What is sent on an ended connection is read over this often, so that its answer is not lost by a reset; a
/// client that sends without end must not cost the others more than that.
const READ_OVER: usize = 8;
/// A served connection that stands unused is closed: some clients never come back, and a machine that vanished
/// says nothing. A client that does come back by then saves a connection.
const UNUSED: Span = Span::from_millis(10_000);
/// A client that connects writes at once. Where room is short, one that has written no whole request for so
/// long, or has not taken its end, makes room first.
const QUIET: Span = Span::from_millis(250);

/// Connections beyond the room for jobs, each open only until its job is dismissed.
pub const RESERVE: usize = 8;

pub struct Client {
    pub channel: Channel,
    pub job: Option<JobId>,
    /// The connection goes on after the present answer.
    pub keep: bool,
    stage: Stage,
    since: Moment,
    /// When the stage has lasted too long.
    until: Moment,
    /// Why this side ends the connection.
    reason: &'static str,
    /// It was told to go on with the body of the present request.
    continued: bool,
    /// It had an answer.
    served: bool,
    room: Room,
}

/// What a connection was taken in for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    ForJobs,
    /// The descriptors allowed are used up by others' jobs.
    ToDismiss,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Receiving,
    Working,
    Answering,
    /// All is written and the sending ended.
    Ended,
}

fn moved(limiter: &mut Limiter, key: u64) {
    limiter.host.moves += 1;
    limiter.host.receive(key);
    serve(limiter, key);
    settle(limiter);
}

/// Hands the requests that have come on a connection to the module, one after the other.
pub fn serve(limiter: &mut Limiter, key: u64) {
    for _ in 0..AT_ONCE {
        let now = limiter.host.clock.now();
        match limiter.host.next_request(key, now) {
            Next::Nothing => return,
            Next::Answered => {}
            Next::Job(arrival) => limiter.job_arrived(now, arrival),
        }
    }
    let now = limiter.host.clock.now();
    limiter.host.timers.set(now, Due::Serve(key));
}

enum Next {
    Nothing,
    /// It was no job, and has its answer.
    Answered,
    Job(Arrival),
}

impl Sockets {
    /// A descriptor is left for a further client, be it only to dismiss its job.
    pub fn may_accept(&self) -> bool {
        self.clients.len() + self.links.len() < self.most + RESERVE
    }

    /// What a new client is taken in for. Where room is short, one that never sent a whole request makes room, or
    /// one that stands ended, or else the one unused the longest: closed between requests.
    fn room_for_client(&mut self, now: Moment) -> Room {
        if self.clients.len() < self.most_clients && self.make_room() {
            return Room::ForJobs;
        }
        let rank = |client: &Client| match client.stage {
            Stage::Idle if client.served => Some(1),
            Stage::Idle | Stage::Receiving | Stage::Ended => (now.since(client.since) > QUIET).then_some(0),
            Stage::Working | Stage::Answering => None,
        };
        let ranked = self.clients.iter().filter_map(|(key, it)| Some(((rank(it)?, it.since), *key)));
        let Some((_, oldest)) = ranked.min() else { return Room::ToDismiss };
        let received = |host: &Self| host.clients.get(&oldest).map_or(0, |it| it.channel.input.len());
        let before = received(self);
        self.receive(oldest);
        if received(self) > before {
            self.resumed.push_back(oldest);
            return Room::ToDismiss;
        }
        self.close_client(oldest, "crowded");
        Room::ForJobs
    }

    pub fn accept(&mut self, stream: TcpStream) {
        let now = self.clock.now();
        let room = self.room_for_client(now);
        let key = self.number();
        let opened = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        let channel =
            opened.and_then(|()| Channel::new(&self.handle, stream, move |limiter| moved(limiter, key)));
        match channel {
            Ok(channel) => {
                let client = Client {
                    channel,
                    job: None,
                    keep: true,
                    stage: Stage::Idle,
                    since: now,
                    until: now + SLOW,
                    reason: "answered",
                    continued: false,
                    served: false,
                    room,
                };
                self.clients.insert(key, client);
            }
            Err(error) => info!(side = "client", key, reason = "not accepted", %error),
        }
    }

    /// Reads what has come, and writes what could not be written before.
    fn receive(&mut self, key: u64) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        if client.stage == Stage::Answering {
            self.push(key);
        }
        let Some(client) = self.clients.get_mut(&key) else { return };
        let busy = client.job.is_some() || client.stage == Stage::Answering;
        let filled = client.channel.fill(if busy { PIPELINED } else { http::MOST_MESSAGE });
        if client.stage == Stage::Ended {
            client.channel.used(usize::MAX);
            for _ in 0..READ_OVER {
                if !client.channel.stuffed || client.channel.fill(http::MOST_MESSAGE) != Filled::Open {
                    break;
                }
                client.channel.used(usize::MAX);
            }
        }
        let ended = client.stage == Stage::Ended;
        match filled {
            Filled::Open if ended && client.channel.stuffed => self.close_client(key, "sends on"),
            Filled::Open => {}
            Filled::Ended if ended => {
                let reason = client.reason;
                self.close_client(key, reason);
            }
            Filled::Ended => self.close_client(key, "closed by client"),
            Filled::Broken => self.close_client(key, "broken"),
        }
    }

    /// The next request on a connection, where one has come and the one before is answered.
    fn next_request(&mut self, key: u64, now: Moment) -> Next {
        let (ready, stopping) = (self.is_ready(), self.stop.begun());
        let waits = |client: &Client| matches!(client.stage, Stage::Idle | Stage::Receiving);
        if self.clients.get(&key).is_some_and(|client| waits(client) && client.channel.stuffed) {
            self.receive(key);
        }
        let client = self.clients.get_mut(&key);
        let Some(client) = client.filter(|it| waits(it) && !it.channel.input.is_empty()) else {
            return Next::Nothing;
        };
        let open = |id: &str| self.jobs.ids.contains(id);
        match request::take(&client.channel.input, now, &self.names) {
            // Passed on, a job under the id of another would be taken for a copy of it.
            Ok(Some(Taken { request: Request::Job(job), .. })) if open(&job.onward.id) => {
                self.refuse(key, 409)
            }
            Ok(Some(taken)) => {
                client.channel.used(taken.used);
                (client.keep, client.continued) = (taken.keep, false);
                match taken.request {
                    Request::Ready => {
                        client.keep &= !stopping;
                        let status = if ready { 200 } else { 503 };
                        request::own(&mut client.channel.output, status, None, client.keep);
                        self.push(key);
                        return Next::Answered;
                    }
                    Request::Job(_) if client.room == Room::ToDismiss => {
                        (client.keep, client.reason) = (false, "crowded");
                        request::own(&mut client.channel.output, 429, None, false);
                        self.push(key);
                        return Next::Answered;
                    }
                    Request::Job(job) => {
                        let id = self.jobs.take(key, job.onward);
                        (client.stage, client.job) = (Stage::Working, Some(id));
                        return Next::Job(Arrival { job: id, ..job.arrival });
                    }
                }
            }
            Ok(None) => {
                if client.stage == Stage::Idle {
                    // A first request has its time from the connection's start.
                    let until = if client.served { now + SLOW } else { client.until };
                    (client.stage, client.since, client.until) = (Stage::Receiving, now, until);
                }
                if !client.continued && request::waits_for_word(&client.channel.input) {
                    client.continued = true;
                    client.channel.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    self.push_part(key);
                }
            }
            Err(wrong) => self.refuse(key, wrong.0),
        }
        Next::Nothing
    }

    fn refuse(&mut self, key: u64, status: u16) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        (client.keep, client.reason) = (false, request::reason(status));
        request::own(&mut client.channel.output, status, None, false);
        self.push(key);
    }

    /// Gives a job its final answer.
    pub fn finish(&mut self, id: JobId, write: impl FnOnce(&mut Vec<u8>, bool)) {
        let Some(job) = self.jobs.end(id) else { return };
        let Some(client) = self.clients.get_mut(&job.client) else { return };
        client.job = None;
        client.keep &= !self.stop.begun();
        write(&mut client.channel.output, client.keep);
        self.push(job.client);
    }

    /// Writes what belongs to no answer; what is left of it goes with the next.
    fn push_part(&mut self, key: u64) {
        if self.clients.get_mut(&key).is_some_and(|client| client.channel.flush().is_err()) {
            self.close_client(key, "broken");
        }
    }

    /// Writes what there is to write, and goes on once nothing is left.
    fn push(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&key) else { return };
        match client.channel.flush() {
            Ok(true) if client.keep => {
                client.served = true;
                (client.stage, client.since, client.until) = (Stage::Idle, now, now + UNUSED);
                if client.channel.stuffed || !client.channel.input.is_empty() {
                    self.resumed.push_back(key);
                }
            }
            Ok(true) => {
                // A close with bytes unread would reset the connection and lose the answer.
                client.channel.end();
                (client.stage, client.since, client.until) = (Stage::Ended, now, now + LINGER);
                if client.channel.stuffed {
                    self.receive(key);
                }
            }
            Ok(false) if client.stage != Stage::Answering => {
                (client.stage, client.until) = (Stage::Answering, now + SLOW_READER);
            }
            Ok(false) => {}
            Err(_) => self.close_client(key, "broken"),
        }
    }

    pub fn close_client(&mut self, key: u64, reason: &str) {
        let Some(client) = self.clients.remove(&key) else { return };
        if let Some(id) = client.job {
            self.jobs.end(id);
            self.left.push_back(id);
        }
        info!(side = "client", key, reason, stage = ?client.stage);
        client.channel.close(&self.handle);
    }

    /// Closes what stands still: clients that send or take too slowly, or whose machine vanished.
    pub fn sweep_clients(&mut self, now: Moment) {
        let late = |client: &Client| client.stage != Stage::Working && now >= client.until;
        let late: Vec<u64> = self.clients.iter().filter(|(_, it)| late(it)).map(|(key, _)| *key).collect();
        for key in late {
            match self.clients.get(&key).map(|client| client.stage) {
                Some(Stage::Receiving) => self.refuse(key, 408),
                Some(Stage::Answering) => self.close_client(key, "slow reader"),
                Some(Stage::Ended) => self.close_client(key, "not closed by client"),
                _ => self.close_client(key, "unused"),
            }
        }
    }

    /// Ends the connections that no job is on; a request that crosses this is sent again by its client.
    pub fn end_idle_clients(&mut self) {
        let idle = |client: &Client| client.stage == Stage::Idle;
        let idle: Vec<u64> = self.clients.iter().filter(|(_, it)| idle(it)).map(|(key, _)| *key).collect();
        for key in idle {
            if let Some(client) = self.clients.get_mut(&key) {
                client.keep = false;
            }
            self.push(key);
        }
    }
}
