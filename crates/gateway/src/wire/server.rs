//! Connections to servers, and the outcomes of relays.

use super::client::RESERVE;
use super::http::{self, Response};
use super::request;
use crate::memory::channel::{Channel, ReadOutcome};
use crate::memory::machines::{Link, Relay};
use crate::memory::timers::TimerKind;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host::{JobId, Outcome, RelayEnd, ServerId};
use fennelgauge::time::{Moment, Span};
use std::collections::HashSet;
use tracing::info;

/// Derives the outcome of a relay from the response. A server marks a request that it did not start to process.
fn outcome_of(response: &Response) -> Outcome {
    let is_unprocessed = |header: &httparse::Header| {
        header.name.eq_ignore_ascii_case("x-unprocessed") && header.value.trim_ascii() == b"1"
    };
    match response.status {
        200 => Outcome::Succeeded,
        503 | 504 if response.headers.iter().any(is_unprocessed) => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Handles readiness of a server connection.
pub fn moved(limiter: &mut Limiter, key: u64) {
    if limiter.host.check_connected(key) {
        start_relay(limiter, key);
    }
    limiter.host.link_moved(key);
    settle(limiter);
}

/// Starts a relay whose connection has been established, perhaps long after it was requested. By now the client may
/// have disconnected, or the server may drain or no longer deduplicate this job; then the relay ends as never sent.
fn start_relay(limiter: &mut Limiter, key: u64) {
    let Some(job) = limiter.host.links.get(&key).and_then(|link| link.relay.as_ref()).map(|relay| relay.job)
    else {
        return;
    };
    limiter.host.check_client_of(job);
    let now = limiter.host.clock.now();
    match limiter.relay_connected(now, job) {
        Some(time_left) => limiter.host.write_request(key, time_left),
        None => limiter.host.cancel_unsent(key),
    }
}

impl Sockets {
    /// Returns the key of an idle connection to a server, or of a new one. Errs with the relay's outcome if there is
    /// none.
    pub fn connection_to(&mut self, server: ServerId, now: Moment) -> Result<u64, Outcome> {
        while let Some(key) =
            self.machines.by_id.get_mut(&server).and_then(|machine| machine.idle_links.pop())
        {
            let Some(link) = self.links.get_mut(&key) else { continue };
            if now.since(link.idle_since) >= self.idle {
                self.close_link(key, None, "idle");
                continue;
            }
            // The server may have closed the idle connection or sent unrequested data, which would be mistaken for the
            // result of the next job. The event for it may not have been processed yet, so the connection is read
            // first.
            let read = link.channel.fill(http::MAX_REQUEST);
            match (read == ReadOutcome::Open, link.channel.input.is_empty()) {
                (true, true) => return Ok(key),
                (open, _) => self.close_link(key, None, if open { "unasked" } else { "closed by server" }),
            }
        }
        let address = self.machines.by_id.get(&server).and_then(|machine| machine.address);
        let address = address.ok_or(Outcome::ConnectFailed)?;
        if !self.make_room_for_link(now) {
            // Not a failure of the server.
            return Err(Outcome::NotSent);
        }
        let key = self.number();
        let channel = Channel::connect(&self.handle, address, Moved::Server(key));
        match channel {
            Ok(channel) => {
                self.links.insert(key, Link { channel, server, up: false, relay: None, idle_since: now });
                self.timers.schedule(now + self.connect_within, TimerKind::ConnectTimeout(key));
                Ok(key)
            }
            Err(error) => {
                info!(side = "server", key, server, reason = "refused", %error);
                Err(Outcome::ConnectFailed)
            }
        }
    }

    /// Ensures that a descriptor is free, closing the server connection that has been idle for longest if necessary.
    /// Returns false if there is none.
    pub fn make_room(&mut self) -> bool {
        if self.clients.len() + self.links.len() < self.most {
            return true;
        }
        let idle = self.links.iter().filter(|(_, link)| link.relay.is_none());
        let Some(oldest) = idle.min_by_key(|(_, link)| link.idle_since).map(|(key, _)| *key) else {
            return false;
        };
        self.close_link(oldest, None, "crowded");
        true
    }

    /// Ensures that a descriptor is free for a server connection, displacing an idle client if necessary: idle clients
    /// must not block all jobs.
    fn make_room_for_link(&mut self, now: Moment) -> bool {
        let kept = self.links.is_empty() && self.clients.len() < self.most + RESERVE;
        self.make_room() || kept || self.displace_client(now)
    }

    /// Assigns a relay to a connection and sends its request once the connection is established.
    pub fn send(&mut self, key: u64, job: JobId, number: u8, now: Moment, time_left: Span) {
        let serial = self.number();
        let Some(record) = self.jobs.open.get_mut(&job) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        record.relay_link = Some(key);
        link.relay = Some(Relay { job, number, serial, sent: now, request_written: false });
        self.timers.schedule(now + time_left, TimerKind::RelayTimeout(key, serial));
        if link.up {
            self.write_request(key, time_left);
        }
    }

    /// Writes the request of a relay to its connection, which is established.
    fn write_request(&mut self, key: u64, time_left: Span) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let Some(relay) = &mut link.relay else { return };
        let Some(record) = self.jobs.open.get(&relay.job) else { return };
        relay.request_written = true;
        request::write_relay(&mut link.channel.output, &record.forwarded_request, time_left);
        if link.channel.flush().is_err() {
            self.close_link(key, None, "broken");
        }
    }

    /// Cancels a relay whose request was not completely written, so that the server has not started it. If nothing was
    /// written, the connection is reused.
    pub fn cancel_unsent(&mut self, key: u64) {
        let Some(link) = self.links.get(&key) else { return };
        // If it was cancelled already, the connection is idle and must not be added to the idle list twice.
        let Some(request_written) = link.relay.as_ref().map(|relay| relay.request_written) else { return };
        if request_written && link.channel.unwritten() > 0 {
            self.close_link(key, Some(Outcome::NotSent), "taken back");
        } else if !request_written {
            let up = link.up;
            self.end_relay(key, Outcome::NotSent);
            if up {
                self.mark_idle(key);
            }
        }
    }

    /// Closes the connections to these servers that are idle or whose relay has not been sent yet.
    pub fn close_links_to(&mut self, servers: &HashSet<ServerId>) {
        let waits = |link: &Link| link.relay.as_ref().is_none_or(|relay| !relay.request_written);
        let unused = self.links.iter().filter(|(_, link)| servers.contains(&link.server) && waits(link));
        let unused: Vec<u64> = unused.map(|(key, _)| *key).collect();
        unused.into_iter().for_each(|key| self.close_link(key, Some(Outcome::NotSent), "roster"));
    }

    /// Checks a connection that is being established. Returns whether it has just been established.
    fn check_connected(&mut self, key: u64) -> bool {
        let Some(link) = self.links.get_mut(&key).filter(|link| !link.up) else { return false };
        match link.channel.is_up() {
            Ok(up) => link.up = up,
            Err(_) => self.close_link(key, None, "refused"),
        }
        let Some(link) = self.links.get(&key).filter(|link| link.up) else { return false };
        if link.relay.is_none() {
            self.mark_idle(key);
        }
        true
    }

    /// Writes the rest of the request and reads the response.
    fn link_moved(&mut self, key: u64) {
        let Some(link) = self.links.get_mut(&key).filter(|link| link.up) else { return };
        let flushed = link.channel.flush();
        // The server may have responded although the rest of the request could not be written.
        let max_body = self.most_answer;
        let read = link.channel.fill(http::message_size_limit(max_body));
        let (fully_sent, open) = (matches!(flushed, Ok(true)), read == ReadOutcome::Open);
        let Some(relay) = &link.relay else {
            if !open || !link.channel.input.is_empty() {
                self.close_link(key, None, if open { "unasked" } else { "closed by server" });
            }
            return;
        };
        // A write that failed has taken the connection's error: the end of file says nothing any more.
        let has_ended = read == ReadOutcome::Eof && fully_sent;
        match http::parse_response(&link.channel.input, has_ended, max_body) {
            Ok(Some(response)) => {
                let (job, outcome) = (relay.job, outcome_of(&response));
                let reusable = response.keep_alive
                    && fully_sent
                    && open
                    && response.consumed == link.channel.input.len();
                if let (Outcome::Succeeded, Some(record)) = (outcome, self.jobs.open.get(&job)) {
                    let client = self.clients.get_mut(&record.client);
                    if let Some(client) = client {
                        let keep = client.keep_alive && !self.stop.has_begun();
                        client.keep_alive = keep;
                        request::write_success(&mut client.channel.output, &response, keep);
                    }
                }
                link.channel.consume(usize::MAX);
                if outcome == Outcome::Succeeded {
                    self.finish(job, |_, _| {});
                }
                self.end_relay(key, outcome);
                if reusable {
                    self.mark_idle(key);
                } else {
                    self.close_link(key, None, if open { "answered" } else { "closed by server" });
                }
            }
            Ok(None) if flushed.is_err() || !open => self.close_link(key, None, "broken"),
            Ok(None) if link.channel.input.len() > http::MAX_REQUEST => {
                if self.buffered_response_bytes() > self.most_answers {
                    self.close_link(key, Some(Outcome::Error), "no memory");
                }
            }
            Ok(None) => {}
            Err(_) => self.close_link(key, Some(Outcome::Error), "malformed answer"),
        }
    }

    /// Returns the number of buffered bytes of responses, received from servers and not yet sent to clients.
    fn buffered_response_bytes(&self) -> usize {
        let received = self.links.values().map(|link| link.channel.input.len());
        let unsent = self.clients.values().map(|client| client.channel.unwritten());
        received.chain(unsent).sum()
    }

    /// Makes a connection available for another relay.
    fn mark_idle(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&key) else { return };
        link.idle_since = now;
        if let Some(machine) = self.machines.by_id.get_mut(&link.server) {
            machine.idle_links.push(key);
        }
    }

    /// Ends the relay of a connection and queues its outcome for the policy module.
    fn end_relay(&mut self, key: u64, outcome: Outcome) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&key) else { return };
        let Some(relay) = link.relay.take() else { return };
        let record = self.jobs.open.get_mut(&relay.job);
        let job_finished = record.is_none();
        if let Some(record) = record {
            record.relay_link = None;
        }
        let duration = now.since(relay.sent);
        self.ended.push_back(RelayEnd {
            job: relay.job,
            server: link.server,
            outcome,
            duration,
            job_finished,
        });
    }

    /// Closes a connection to a server and ends its relay: with `outcome`, or as reset, if the request was completely
    /// written.
    pub fn close_link(&mut self, key: u64, outcome: Option<Outcome>, reason: &str) {
        let Some(link) = self.links.get(&key) else { return };
        // A server starts a job only when its request is complete; before that, a timeout means no more than a failed
        // connection attempt.
        let unsent =
            link.relay.as_ref().is_some_and(|relay| !relay.request_written) || link.channel.unwritten() > 0;
        let outcome = match outcome {
            // Cancelled by the gateway, so it is not a failure of the server.
            Some(Outcome::Cancelled | Outcome::NotSent) if unsent => Outcome::NotSent,
            _ if unsent => Outcome::ConnectFailed,
            given => given.unwrap_or(Outcome::Reset),
        };
        info!(side = "server", key, server = link.server, reason);
        self.end_relay(key, outcome);
        if let Some(link) = self.links.remove(&key) {
            if let Some(machine) = self.machines.by_id.get_mut(&link.server) {
                machine.idle_links.retain(|idle| *idle != key);
            }
            link.channel.close(&self.handle);
        }
    }

    /// Closes connections that the server itself would soon close: a request written at that moment would be reset.
    pub fn sweep_links(&mut self, now: Moment) {
        let expired = |link: &Link| link.relay.is_none() && now.since(link.idle_since) >= self.idle;
        let expired: Vec<u64> =
            self.links.iter().filter(|(_, link)| expired(link)).map(|(key, _)| *key).collect();
        expired.into_iter().for_each(|key| self.close_link(key, None, "idle"));
    }
}
