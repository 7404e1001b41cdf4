//! Connections of clients.

use super::http;
use super::request::{self, Request, Taken};
use crate::memory::channel::{Channel, Filled};
use crate::memory::timers::Due;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host::{Arrival, JobId};
use fennelgauge::time::{Moment, Span};
use std::net::TcpStream;
use tracing::info;

/// Requests of one connection that are taken in one turn: a client that writes them without pause must not keep
/// the loop from all others.
const AT_ONCE: usize = 16;
/// How long a request may take to come in, from the connection's start or once begun; far above any sound
/// client's. One that says nothing is owed a close within 3 s of its connecting; the sweep takes its part of that.
const SLOW: Span = Span::from_millis(2_000);
/// How long an answer may take to be taken.
const SLOW_READER: Span = Span::from_millis(10_000);
/// How long an ended connection may take to be closed by the other side.
const LINGER: Span = Span::from_millis(1_000);
/// What is sent on an ended connection is read over up to so much, so that its answer is not lost by a reset; and
/// on one with more requests waiting than are taken in, so that its client's leaving behind them is seen. A client
/// that sends without end must not cost the others more than that in one turn, and the next comes some time later.
const READ_OVER: usize = 8 * http::MOST_MESSAGE;
const READ_ON: Span = Span::from_millis(10);
/// A client's leaving may stand unread while a job of its is held or tried again: no attempt may begin a tenth of a
/// second after it. So before each the connection is read, where it was not just read.
const JUST_READ: Span = Span::from_millis(10);
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
    /// More was sent than is taken in at once, and read over: what cannot be read whole gets no answer but its end.
    overrun: bool,
    /// When it was last read, and until when what it sends beyond that is left where it is.
    read: Moment,
    rests: Moment,
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

pub fn moved(limiter: &mut Limiter, key: u64) {
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
    /// A descriptor is left for a further client, be it only to dismiss its job, or another makes room. Servers keep
    /// theirs: one connection at the least, however many clients come and say nothing.
    pub fn may_accept(&self) -> bool {
        let (clients, links) = (self.clients.len(), self.links.len().max(1));
        let room = clients < self.most_clients + RESERVE && clients + links < self.most + RESERVE;
        room || self.displaceable(self.clock.now()).is_some()
    }

    /// The client that makes room first: one that has not sent a whole request for a while, or stands ended, or else
    /// the one unused the longest.
    fn displaceable(&self, now: Moment) -> Option<u64> {
        let rank = |client: &Client| match client.stage {
            // Its next request has come, and is served.
            Stage::Idle if !client.channel.input.is_empty() => None,
            Stage::Idle if client.served => Some(1),
            Stage::Idle | Stage::Receiving | Stage::Ended => (now.since(client.since) > QUIET).then_some(0),
            Stage::Working | Stage::Answering => None,
        };
        let ranked = self.clients.iter().filter_map(|(key, it)| Some(((rank(it)?, it.since), *key)));
        ranked.min().map(|(_, key)| key)
    }

    /// Closes a client that makes room, between requests; false where none does.
    pub fn displace_client(&mut self, now: Moment) -> bool {
        while let Some(key) = self.displaceable(now) {
            let received = |host: &Self| host.clients.get(&key).map(|it| it.channel.input.len());
            let before = received(self);
            self.receive(key);
            match self.clients.get_mut(&key) {
                // It speaks after all, and is served.
                Some(client) if Some(client.channel.input.len()) > before => client.since = now,
                _ => {
                    self.close_client(key, "crowded");
                    return true;
                }
            }
            self.resumed.push_back(key);
        }
        false
    }

    /// What a new client is taken in for, once room was made where it is short.
    fn room_for_client(&mut self, now: Moment) -> Room {
        if self.clients.len() < self.most_clients && self.make_room() || self.displace_client(now) {
            return Room::ForJobs;
        }
        Room::ToDismiss
    }

    pub fn accept(&mut self, stream: TcpStream) {
        let now = self.clock.now();
        let room = self.room_for_client(now);
        let key = self.number();
        let opened = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        let channel = opened.and_then(|()| Channel::new(&self.handle, stream, Moved::Client(key)));
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
                    overrun: false,
                    read: now,
                    rests: now,
                    room,
                };
                self.clients.insert(key, client);
            }
            Err(error) => info!(side = "client", key, reason = "not accepted", %error),
        }
    }

    /// Closes the connection of a job's client that has left, though nothing told of it yet.
    pub fn look_at_client_of(&mut self, job: JobId) {
        let Some(key) = self.jobs.open.get(&job).map(|job| job.client) else { return };
        let now = self.clock.now();
        if self.clients.get(&key).is_some_and(|client| now.since(client.read) > JUST_READ) {
            self.receive(key);
        }
    }

    /// Reads what has come, and writes what could not be written before.
    fn receive(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&key) else { return };
        if client.stage == Stage::Answering {
            self.push(key);
        }
        let Some(client) = self.clients.get_mut(&key) else { return };
        if client.channel.stuffed && now < client.rests {
            return;
        }
        client.read = now;
        let ended = client.stage == Stage::Ended;
        let mut filled = client.channel.fill(http::MOST_MESSAGE);
        if ended {
            client.channel.used(usize::MAX);
        }
        if client.channel.stuffed {
            client.overrun = true;
            filled = client.channel.skip(READ_OVER);
        }
        match filled {
            Filled::Open if ended && client.channel.stuffed => self.close_client(key, "sends on"),
            Filled::Open if client.channel.stuffed => {
                client.rests = now + READ_ON;
                self.timers.set(now + READ_ON, Due::Serve(key));
            }
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
        let (ready, stopping, late) = (self.is_ready(), self.stop.begun(), self.stop.is_late(now));
        let waits = |client: &Client| matches!(client.stage, Stage::Idle | Stage::Receiving);
        let client = self.clients.get_mut(&key);
        let has_more = |it: &Client| it.overrun || !it.channel.input.is_empty();
        let Some(client) = client.filter(|it| waits(it) && has_more(it)) else { return Next::Nothing };
        // It sends faster than it is read over, and would never be quiet enough to be heard.
        if client.channel.stuffed {
            self.refuse(key, 413);
            return Next::Nothing;
        }
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
                    Request::Job(job) => {
                        client.stage = Stage::Working;
                        // A client that speaks has the place of one that does not.
                        let crowded = client.room == Room::ToDismiss && !self.displace_client(now);
                        let Some(client) = self.clients.get_mut(&key) else { return Next::Nothing };
                        if crowded || late {
                            let (status, reason) = if late { (503, "stopping") } else { (429, "crowded") };
                            (client.keep, client.reason) = (false, reason);
                            request::own(&mut client.channel.output, status, None, false);
                            self.push(key);
                            return Next::Answered;
                        }
                        let id = self.jobs.take(key, job.onward);
                        (client.room, client.job) = (Room::ForJobs, Some(id));
                        return Next::Job(Arrival { job: id, ..job.arrival });
                    }
                }
            }
            Ok(None) if client.overrun => self.refuse(key, 413),
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
            Ok(true) if client.keep && !self.stop.closed() => {
                client.served = true;
                (client.stage, client.since, client.until) = (Stage::Idle, now, now + UNUSED);
                if client.overrun || !client.channel.input.is_empty() {
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
            let out = self.jobs.end(id).and_then(|job| job.out);
            self.left.push_back(id);
            out.into_iter().for_each(|out| self.take_back(out));
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
                _ => self.end_client(key, "unused"),
            }
        }
    }

    /// Ends the connections that no job is on; a request that crosses this is sent again by its client.
    pub fn end_idle_clients(&mut self) {
        let idle = |client: &Client| client.stage == Stage::Idle;
        let idle: Vec<u64> = self.clients.iter().filter(|(_, it)| idle(it)).map(|(key, _)| *key).collect();
        idle.into_iter().for_each(|key| self.end_client(key, "stopping"));
    }

    /// Ends the sending on a connection between requests. One that has come meanwhile is served first: its client
    /// need not send it again. What crosses the end is read over, as a close over it would be a reset.
    fn end_client(&mut self, key: u64, reason: &'static str) {
        self.receive(key);
        let Some(client) = self.clients.get_mut(&key).filter(|client| client.stage == Stage::Idle) else {
            return;
        };
        if client.overrun || !client.channel.input.is_empty() {
            return self.resumed.push_back(key);
        }
        (client.keep, client.reason) = (false, reason);
        self.push(key);
    }
}
