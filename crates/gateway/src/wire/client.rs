//! Client connections: their requests, responses and time limits.

use super::http;
use super::request::{self, ParsedRequest, Request};
use crate::memory::channel::{Channel, ReadOutcome};
use crate::memory::timers::TimerKind;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host::{Arrival, JobId};
use fennelgauge::time::{Moment, Span};
use std::net::TcpStream;
use tracing::info;

/// Most requests of one connection that are processed in one iteration of the event loop, so that a client that
/// pipelines without pause does not block the others.
const MAX_REQUESTS_PER_TURN: usize = 16;
/// How long a request may take to arrive, from the start of the connection or from its first byte; far more than a
/// normal client needs. A connection without a request must be closed within 3 s, of which the sweep interval takes a
/// part.
const REQUEST_TIMEOUT: Span = Span::from_millis(2_000);
/// How long a client may take to read its response.
const RESPONSE_TIMEOUT: Span = Span::from_millis(10_000);
/// How long the client may take to close a connection after this side has closed the sending direction.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);
/// Most bytes that are read and discarded at once: on a connection that is being closed, so that a reset does not lose
/// the response; and on one with more input than is buffered, so that a disconnect behind it is noticed. The limit
/// keeps a client that sends without end from delaying the others.
const MAX_DISCARD_BYTES: usize = 8 * http::MAX_REQUEST;
/// Pause between two such reads of a connection.
const DISCARD_INTERVAL: Span = Span::from_millis(10);
/// Before each relay the client's connection is read unless that was done within this time, because no relay may start
/// later than 0.1 s after the client has disconnected, even if the job was queued or is retried.
const MAX_READ_AGE: Span = Span::from_millis(10);
/// How long a connection is kept open for another request. Some clients never send another one, and a machine that
/// vanished does not close its connections.
const KEEP_ALIVE_TIMEOUT: Span = Span::from_millis(10_000);
/// If descriptors are short, a connection that has not sent a complete request for this long, or that the client has
/// not closed, is displaced first. Normal clients send their request right after connecting.
const DISPLACE_AFTER: Span = Span::from_millis(250);

/// Number of additional connections beyond those for jobs, each open only until its job is rejected.
pub const RESERVE: usize = 8;

/// A client connection.
pub struct Client {
    /// The TCP connection.
    pub channel: Channel,
    /// Its open job.
    pub job: Option<JobId>,
    /// Whether the connection stays open after the present response.
    pub keep_alive: bool,
    stage: Stage,
    /// When the stage began, or the client last showed activity.
    since: Moment,
    /// When the stage times out.
    deadline: Moment,
    /// Why this side closes the connection, for the log.
    reason: &'static str,
    /// `100 Continue` was sent for the present request.
    sent_continue: bool,
    /// It has received a response.
    served: bool,
    /// Input was discarded because it exceeded the buffer, so later requests can't be parsed and the connection ends.
    overrun: bool,
    /// When it was last read.
    last_read: Moment,
    /// Until then excess input is not read.
    read_paused_until: Moment,
    admission: Admission,
}

/// For what a connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its jobs are processed.
    ForJobs,
    /// Its jobs are rejected, since all descriptors are used by other clients' jobs.
    ToReject,
}

/// Stage of a client connection; the names are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for a request.
    Idle,
    /// A request has arrived in part.
    Receiving,
    /// A job is being processed.
    Working,
    /// A response is being written.
    Answering,
    /// All is written and the sending direction is closed.
    Ended,
}

/// Handles readiness of a client connection.
pub fn moved(limiter: &mut Limiter, key: u64) {
    limiter.host.receive(key);
    serve(limiter, key);
    settle(limiter);
}

/// Processes the requests that have arrived on a connection, one after the other.
pub fn serve(limiter: &mut Limiter, key: u64) {
    for _ in 0..MAX_REQUESTS_PER_TURN {
        let now = limiter.host.clock.now();
        match limiter.host.next_request(key, now) {
            Next::Nothing => return,
            Next::Answered => {}
            Next::Job(arrival) => limiter.job_arrived(now, arrival),
        }
    }
    let now = limiter.host.clock.now();
    limiter.host.timers.schedule(now, TimerKind::ServeClient(key));
}

/// Result of looking for the next request.
enum Next {
    /// No complete request, or the connection is busy.
    Nothing,
    /// The request was answered by the gateway itself.
    Answered,
    /// A job for the policy module.
    Job(Arrival),
}

impl Sockets {
    /// Returns whether another client can be accepted, at least to reject its job, or one can be displaced. At least
    /// one descriptor stays reserved for server connections.
    pub fn may_accept(&self) -> bool {
        let (clients, links) = (self.clients.len(), self.links.len().max(1));
        let room = clients < self.most_clients + RESERVE && clients + links < self.most + RESERVE;
        room || self.client_to_displace(self.clock.now()).is_some()
    }

    /// Returns the client to displace: one without a complete request for [`DISPLACE_AFTER`] or one that is being
    /// closed, else the one that has been idle for longest.
    fn client_to_displace(&self, now: Moment) -> Option<u64> {
        let rank = |client: &Client| match client.stage {
            // Its next request has arrived and is processed.
            Stage::Idle if !client.channel.input.is_empty() => None,
            Stage::Idle if client.served => Some(1),
            Stage::Idle | Stage::Receiving | Stage::Ended => {
                (now.since(client.since) > DISPLACE_AFTER).then_some(0)
            }
            Stage::Working | Stage::Answering => None,
        };
        let ranked = self.clients.iter().filter_map(|(key, it)| Some(((rank(it)?, it.since), *key)));
        ranked.min().map(|(_, key)| key)
    }

    /// Closes a client to free its descriptor. Returns false if none can be displaced.
    pub fn displace_client(&mut self, now: Moment) -> bool {
        while let Some(key) = self.client_to_displace(now) {
            let received = |host: &Self| host.clients.get(&key).map(|it| it.channel.input.len());
            let before = received(self);
            self.receive(key);
            match self.clients.get_mut(&key) {
                // It has sent data after all and is served.
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

    /// Frees a descriptor for a new client if necessary, and returns for what the client is accepted.
    fn make_room_for_client(&mut self, now: Moment) -> Admission {
        if self.clients.len() < self.most_clients && self.make_room() || self.displace_client(now) {
            return Admission::ForJobs;
        }
        Admission::ToReject
    }

    /// Registers a new client connection.
    pub fn accept(&mut self, stream: TcpStream) {
        let now = self.clock.now();
        let admission = self.make_room_for_client(now);
        let key = self.number();
        let opened = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        let channel = opened.and_then(|()| Channel::new(&self.handle, stream, Moved::Client(key)));
        match channel {
            Ok(channel) => {
                let client = Client {
                    channel,
                    job: None,
                    keep_alive: true,
                    stage: Stage::Idle,
                    since: now,
                    deadline: now + REQUEST_TIMEOUT,
                    reason: "answered",
                    sent_continue: false,
                    served: false,
                    overrun: false,
                    last_read: now,
                    read_paused_until: now,
                    admission,
                };
                self.clients.insert(key, client);
            }
            Err(error) => info!(side = "client", key, reason = "not accepted", %error),
        }
    }

    /// Reads the connection of a job's client, and closes it if the client has disconnected.
    pub fn check_client_of(&mut self, job: JobId) {
        let Some(key) = self.jobs.open.get(&job).map(|job| job.client) else { return };
        let now = self.clock.now();
        if self.clients.get(&key).is_some_and(|client| now.since(client.last_read) > MAX_READ_AGE) {
            self.receive(key);
        }
    }

    /// Continues a partly written response and reads available input.
    fn receive(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&key) else { return };
        if client.stage == Stage::Answering {
            self.flush_response(key);
        }
        let Some(client) = self.clients.get_mut(&key) else { return };
        if client.channel.may_have_more && now < client.read_paused_until {
            return;
        }
        client.last_read = now;
        let ended = client.stage == Stage::Ended;
        let mut read = client.channel.fill(http::MAX_REQUEST);
        if ended {
            client.channel.consume(usize::MAX);
        }
        if client.channel.may_have_more {
            client.overrun = true;
            read = client.channel.skip(MAX_DISCARD_BYTES);
        }
        match read {
            ReadOutcome::Open if ended && client.channel.may_have_more => self.close_client(key, "sends on"),
            ReadOutcome::Open if client.channel.may_have_more => {
                client.read_paused_until = now + DISCARD_INTERVAL;
                self.timers.schedule(now + DISCARD_INTERVAL, TimerKind::ServeClient(key));
            }
            ReadOutcome::Open => {}
            ReadOutcome::Eof if ended => {
                let reason = client.reason;
                self.close_client(key, reason);
            }
            ReadOutcome::Eof => self.close_client(key, "closed by client"),
            ReadOutcome::Failed => self.close_client(key, "broken"),
        }
    }

    /// Parses the next request of a connection, if it is complete and the previous one is answered.
    fn next_request(&mut self, key: u64, now: Moment) -> Next {
        let (ready, stopping, late) = (self.is_ready(), self.stop.has_begun(), self.stop.is_late(now));
        let awaits_request = |client: &Client| matches!(client.stage, Stage::Idle | Stage::Receiving);
        let client = self.clients.get_mut(&key);
        let has_more = |it: &Client| it.overrun || !it.channel.input.is_empty();
        let Some(client) = client.filter(|it| awaits_request(it) && has_more(it)) else {
            return Next::Nothing;
        };
        // The client sends faster than its excess input is discarded.
        if client.channel.may_have_more {
            self.reject(key, 413);
            return Next::Nothing;
        }
        let is_open = |id: &str| self.jobs.ids.contains(id);
        match request::parse(&client.channel.input, now, &self.names) {
            // A server would treat a job with the id of another open job as its duplicate.
            Ok(Some(ParsedRequest { request: Request::Job(job), .. }))
                if is_open(&job.forwarded_request.id) =>
            {
                self.reject(key, 409)
            }
            Ok(Some(parsed)) => {
                client.channel.consume(parsed.consumed);
                (client.keep_alive, client.sent_continue) = (parsed.keep_alive, false);
                match parsed.request {
                    Request::Ready => {
                        client.keep_alive &= !stopping;
                        let status = if ready { 200 } else { 503 };
                        request::write_response(&mut client.channel.output, status, None, client.keep_alive);
                        self.flush_response(key);
                        return Next::Answered;
                    }
                    Request::Job(job) => {
                        client.stage = Stage::Working;
                        // A client with a job may displace an idle one.
                        let crowded = client.admission == Admission::ToReject && !self.displace_client(now);
                        let Some(client) = self.clients.get_mut(&key) else { return Next::Nothing };
                        if crowded || late {
                            let (status, reason) = if late { (503, "stopping") } else { (429, "crowded") };
                            (client.keep_alive, client.reason) = (false, reason);
                            request::write_response(&mut client.channel.output, status, None, false);
                            self.flush_response(key);
                            return Next::Answered;
                        }
                        let id = self.jobs.accept(key, job.forwarded_request);
                        (client.admission, client.job) = (Admission::ForJobs, Some(id));
                        return Next::Job(Arrival { job: id, ..job.arrival });
                    }
                }
            }
            Ok(None) if client.overrun => self.reject(key, 413),
            Ok(None) => {
                if client.stage == Stage::Idle {
                    // The time limit of the first request runs from the start of the connection.
                    let deadline = if client.served { now + REQUEST_TIMEOUT } else { client.deadline };
                    (client.stage, client.since, client.deadline) = (Stage::Receiving, now, deadline);
                }
                if !client.sent_continue && request::expects_continue(&client.channel.input) {
                    client.sent_continue = true;
                    client.channel.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    self.flush_interim(key);
                }
            }
            Err(error) => self.reject(key, error.0),
        }
        Next::Nothing
    }

    /// Responds with an error status and closes the connection.
    fn reject(&mut self, key: u64, status: u16) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        (client.keep_alive, client.reason) = (false, request::reason(status));
        request::write_response(&mut client.channel.output, status, None, false);
        self.flush_response(key);
    }

    /// Ends a job with the response that `write` produces.
    pub fn finish(&mut self, id: JobId, write: impl FnOnce(&mut Vec<u8>, bool)) {
        let Some(job) = self.jobs.remove(id) else { return };
        let Some(client) = self.clients.get_mut(&job.client) else { return };
        client.job = None;
        client.keep_alive &= !self.stop.has_begun();
        write(&mut client.channel.output, client.keep_alive);
        self.flush_response(job.client);
    }

    /// Writes an interim response; what can't be written yet goes out with the next response.
    fn flush_interim(&mut self, key: u64) {
        if self.clients.get_mut(&key).is_some_and(|client| client.channel.flush().is_err()) {
            self.close_client(key, "broken");
        }
    }

    /// Writes the pending output; once all is written, waits for the next request or closes the sending direction.
    fn flush_response(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&key) else { return };
        match client.channel.flush() {
            Ok(true) if client.keep_alive && !self.stop.is_closed() => {
                client.served = true;
                (client.stage, client.since, client.deadline) = (Stage::Idle, now, now + KEEP_ALIVE_TIMEOUT);
                if client.overrun || !client.channel.input.is_empty() {
                    self.resumed.push_back(key);
                }
            }
            Ok(true) => {
                // Closing a socket with unread input would reset the connection and lose the response.
                client.channel.shutdown_write();
                (client.stage, client.since, client.deadline) = (Stage::Ended, now, now + LINGER_TIMEOUT);
                if client.channel.may_have_more {
                    self.receive(key);
                }
            }
            Ok(false) if client.stage != Stage::Answering => {
                (client.stage, client.deadline) = (Stage::Answering, now + RESPONSE_TIMEOUT);
            }
            Ok(false) => {}
            Err(_) => self.close_client(key, "broken"),
        }
    }

    /// Closes a client connection and cancels its job.
    pub fn close_client(&mut self, key: u64, reason: &str) {
        let Some(client) = self.clients.remove(&key) else { return };
        if let Some(id) = client.job {
            let relay_link = self.jobs.remove(id).and_then(|job| job.relay_link);
            self.left.push_back(id);
            relay_link.into_iter().for_each(|link| self.cancel_unsent(link));
        }
        info!(side = "client", key, reason, stage = ?client.stage);
        client.channel.close(&self.handle);
    }

    /// Ends connections that exceeded the time limit of their stage.
    pub fn sweep_clients(&mut self, now: Moment) {
        let is_late = |client: &Client| client.stage != Stage::Working && now >= client.deadline;
        let late: Vec<u64> = self.clients.iter().filter(|(_, it)| is_late(it)).map(|(key, _)| *key).collect();
        for key in late {
            match self.clients.get(&key).map(|client| client.stage) {
                Some(Stage::Receiving) => self.reject(key, 408),
                Some(Stage::Answering) => self.close_client(key, "slow reader"),
                Some(Stage::Ended) => self.close_client(key, "not closed by client"),
                _ => self.end_client(key, "unused"),
            }
        }
    }

    /// Ends all idle connections. A client whose request was under way at that moment sends it again.
    pub fn end_idle_clients(&mut self) {
        let is_idle = |client: &Client| client.stage == Stage::Idle;
        let idle: Vec<u64> = self.clients.iter().filter(|(_, it)| is_idle(it)).map(|(key, _)| *key).collect();
        idle.into_iter().for_each(|key| self.end_client(key, "stopping"));
    }

    /// Closes the sending direction of an idle connection. A request that has already arrived is served first, so that
    /// its client need not send it again. Later input is discarded, since closing the socket at once would reset the
    /// connection.
    fn end_client(&mut self, key: u64, reason: &'static str) {
        self.receive(key);
        let Some(client) = self.clients.get_mut(&key).filter(|client| client.stage == Stage::Idle) else {
            return;
        };
        if client.overrun || !client.channel.input.is_empty() {
            return self.resumed.push_back(key);
        }
        (client.keep_alive, client.reason) = (false, reason);
        self.flush_response(key);
    }
}
