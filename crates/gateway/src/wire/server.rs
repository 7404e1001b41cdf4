//! Connections to servers, and what their answers mean.

use super::client::RESERVE;
use super::http::{self, Answer};
use super::request;
use crate::memory::channel::{Channel, Filled};
use crate::memory::machines::{Link, Relay};
use crate::memory::timers::Due;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host::{JobId, Outcome, RelayEnd, ServerId};
use fennelgauge::time::{Moment, Span};
use std::collections::HashSet;
use tracing::info;

fn outcome(answer: &Answer) -> Outcome {
    let unrun = |header: &httparse::Header| {
        header.name.eq_ignore_ascii_case("x-unprocessed") && header.value.trim_ascii() == b"1"
    };
    match answer.status {
        200 => Outcome::Succeeded,
        503 | 504 if answer.headers.iter().any(unrun) => Outcome::Full,
        _ => Outcome::Error,
    }
}

pub fn moved(limiter: &mut Limiter, key: u64) {
    if limiter.host.comes_up(key) {
        begin(limiter, key);
    }
    limiter.host.link_moved(key);
    settle(limiter);
}

/// A connection that a relay waits for has come up, perhaps long after that was asked for: by now its client may
/// have left, its server may drain or drop no repeats of the job any more. Then it ends as never sent.
fn begin(limiter: &mut Limiter, key: u64) {
    let Some(job) = limiter.host.links.get(&key).and_then(|link| link.out.as_ref()).map(|out| out.job) else {
        return;
    };
    limiter.host.look_at_client_of(job);
    let now = limiter.host.clock.now();
    match limiter.relay_connected(now, job) {
        Some(patience) => limiter.host.begin(key, patience),
        None => limiter.host.take_back(key),
    }
}

impl Sockets {
    /// A connection to a server that carries nothing: one that stands idle, or a new one.
    pub fn link_to(&mut self, server: ServerId, now: Moment) -> Result<u64, Outcome> {
        while let Some(key) = self.machines.by_id.get_mut(&server).and_then(|machine| machine.idle.pop()) {
            let Some(link) = self.links.get_mut(&key) else { continue };
            if now.since(link.idle) >= self.idle {
                self.close_link(key, None, "idle");
                continue;
            }
            // Servers close idle connections when they like, and may have sent more than was theirs: it would be
            // taken for the end, or even the answer, of the next job. No event may have told of it yet.
            let filled = link.channel.fill(http::MOST_MESSAGE);
            match (filled == Filled::Open, link.channel.input.is_empty()) {
                (true, true) => return Ok(key),
                (open, _) => self.close_link(key, None, if open { "unasked" } else { "closed by server" }),
            }
        }
        let address = self.machines.by_id.get(&server).and_then(|machine| machine.address);
        let address = address.ok_or(Outcome::ConnectFailed)?;
        if !self.room_for_link(now) {
            // Nothing speaks against the server.
            return Err(Outcome::NotSent);
        }
        let key = self.number();
        let channel = Channel::connect(&self.handle, address, Moved::Server(key));
        match channel {
            Ok(channel) => {
                self.links.insert(key, Link { channel, server, up: false, out: None, idle: now });
                self.timers.set(now + self.connect_within, Due::Connected(key));
                Ok(key)
            }
            Err(error) => {
                info!(side = "server", key, server, reason = "refused", %error);
                Err(Outcome::ConnectFailed)
            }
        }
    }

    /// Keeps within the descriptors allowed: the connection to a server that stood idle the longest makes room.
    pub fn make_room(&mut self) -> bool {
        if self.clients.len() + self.links.len() < self.most {
            return true;
        }
        let idle = self.links.iter().filter(|(_, link)| link.out.is_none());
        let Some(oldest) = idle.min_by_key(|(_, link)| link.idle).map(|(key, _)| *key) else { return false };
        self.close_link(oldest, None, "crowded");
        true
    }

    /// Room for a connection to a server: clients that say nothing must not keep all jobs from their servers.
    fn room_for_link(&mut self, now: Moment) -> bool {
        let kept = self.links.is_empty() && self.clients.len() < self.most + RESERVE;
        self.make_room() || kept || self.displace_client(now)
    }

    pub fn send(&mut self, key: u64, job: JobId, number: u8, now: Moment, patience: Span) {
        let serial = self.number();
        let Some(record) = self.jobs.open.get_mut(&job) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        record.out = Some(key);
        link.out = Some(Relay { job, number, serial, sent: now, begun: false });
        self.timers.set(now + patience, Due::Patience(key, serial));
        if link.up {
            self.begin(key, patience);
        }
    }

    /// Writes the request of a relay to its connection, which is up.
    fn begin(&mut self, key: u64, patience: Span) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let Some(relay) = &mut link.out else { return };
        let Some(record) = self.jobs.open.get(&relay.job) else { return };
        relay.begun = true;
        request::relay(&mut link.channel.output, &record.onward, patience);
        if link.channel.flush().is_err() {
            self.close_link(key, None, "broken");
        }
    }

    /// Takes back a relay whose request has not reached its server whole, which has therefore not begun with it.
    /// A connection that nothing was written to serves another job.
    pub fn take_back(&mut self, key: u64) {
        let Some(link) = self.links.get(&key) else { return };
        // Taken back already, its connection rests and may not be handed out twice.
        let Some(begun) = link.out.as_ref().map(|out| out.begun) else { return };
        if begun && link.channel.unwritten() > 0 {
            self.close_link(key, Some(Outcome::NotSent), "taken back");
        } else if !begun {
            let up = link.up;
            self.relay_over(key, Outcome::NotSent);
            if up {
                self.rest_link(key);
            }
        }
    }

    /// Leaves the connections to servers that want no more jobs on them: those that carry nothing, and those that
    /// a relay only waits for.
    pub fn leave_servers(&mut self, servers: &HashSet<ServerId>) {
        let waits = |link: &Link| link.out.as_ref().is_none_or(|out| !out.begun);
        let left = self.links.iter().filter(|(_, link)| servers.contains(&link.server) && waits(link));
        let left: Vec<u64> = left.map(|(key, _)| *key).collect();
        left.into_iter().for_each(|key| self.close_link(key, Some(Outcome::NotSent), "roster"));
    }

    /// Sees if a connection that was begun has come up; true if it just has.
    fn comes_up(&mut self, key: u64) -> bool {
        let Some(link) = self.links.get_mut(&key).filter(|link| !link.up) else { return false };
        match link.channel.is_up() {
            Ok(up) => link.up = up,
            Err(_) => self.close_link(key, None, "refused"),
        }
        let Some(link) = self.links.get(&key).filter(|link| link.up) else { return false };
        if link.out.is_none() {
            self.rest_link(key);
        }
        true
    }

    fn link_moved(&mut self, key: u64) {
        let Some(link) = self.links.get_mut(&key).filter(|link| link.up) else { return };
        let flushed = link.channel.flush();
        // An answer may have come although the rest of the request could not be written.
        let most = self.most_answer;
        let filled = link.channel.fill(http::with_body(most));
        let (whole, open) = (matches!(flushed, Ok(true)), filled == Filled::Open);
        let Some(relay) = &link.out else {
            if !open || !link.channel.input.is_empty() {
                self.close_link(key, None, if open { "unasked" } else { "closed by server" });
            }
            return;
        };
        match http::answer(&link.channel.input, filled == Filled::Ended, most) {
            Ok(Some(answer)) => {
                let (job, outcome) = (relay.job, outcome(&answer));
                let keep = answer.keep && whole && open && answer.used == link.channel.input.len();
                if let (Outcome::Succeeded, Some(record)) = (outcome, self.jobs.open.get(&job)) {
                    let client = self.clients.get_mut(&record.client);
                    if let Some(client) = client {
                        let keep = client.keep && !self.stop.begun();
                        client.keep = keep;
                        request::satisfied(&mut client.channel.output, &answer, keep);
                    }
                }
                link.channel.used(usize::MAX);
                if outcome == Outcome::Succeeded {
                    self.finish(job, |_, _| {});
                }
                self.relay_over(key, outcome);
                if keep {
                    self.rest_link(key);
                } else {
                    self.close_link(key, None, if open { "answered" } else { "closed by server" });
                }
            }
            Ok(None) if flushed.is_err() || !open => self.close_link(key, None, "broken"),
            Ok(None) if link.channel.input.len() > http::MOST_MESSAGE => {
                if self.answers() > self.most_answers {
                    self.close_link(key, Some(Outcome::Error), "no memory");
                }
            }
            Ok(None) => {}
            Err(_) => self.close_link(key, Some(Outcome::Error), "malformed answer"),
        }
    }

    /// Bytes of answers in memory, on their way in and out.
    fn answers(&self) -> usize {
        let coming = self.links.values().map(|link| link.channel.input.len());
        let going = self.clients.values().map(|client| client.channel.unwritten());
        coming.chain(going).sum()
    }

    fn rest_link(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&key) else { return };
        link.idle = now;
        if let Some(machine) = self.machines.by_id.get_mut(&link.server) {
            machine.idle.push(key);
        }
    }

    fn relay_over(&mut self, key: u64, outcome: Outcome) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&key) else { return };
        let Some(relay) = link.out.take() else { return };
        let record = self.jobs.open.get_mut(&relay.job);
        let settled = record.is_none();
        if let Some(record) = record {
            record.out = None;
        }
        let took = now.since(relay.sent);
        self.ended.push_back(RelayEnd {
            job: relay.job,
            server: link.server,
            outcome,
            duration: took,
            job_finished: settled,
        });
    }

    /// Closes a connection to a server. A relay on it ends as told, if its last byte was written.
    pub fn close_link(&mut self, key: u64, outcome: Option<Outcome>, reason: &str) {
        let Some(link) = self.links.get(&key) else { return };
        // A server begins a job with its last byte: without that, waiting in vain tells no more than a refusal.
        let unsent = link.out.as_ref().is_some_and(|out| !out.begun) || link.channel.unwritten() > 0;
        let outcome = match outcome {
            // Given up from this side, it says nothing against the server.
            Some(Outcome::Cancelled | Outcome::NotSent) if unsent => Outcome::NotSent,
            _ if unsent => Outcome::ConnectFailed,
            told => told.unwrap_or(Outcome::Reset),
        };
        info!(side = "server", key, server = link.server, reason);
        self.relay_over(key, outcome);
        if let Some(link) = self.links.remove(&key) {
            if let Some(machine) = self.machines.by_id.get_mut(&link.server) {
                machine.idle.retain(|idle| *idle != key);
            }
            link.channel.close(&self.handle);
        }
    }

    /// Closes what the server itself would soon close: a request written to it then would end as a reset.
    pub fn sweep_links(&mut self, now: Moment) {
        let old = |link: &Link| link.out.is_none() && now.since(link.idle) >= self.idle;
        let old: Vec<u64> = self.links.iter().filter(|(_, link)| old(link)).map(|(key, _)| *key).collect();
        old.into_iter().for_each(|key| self.close_link(key, None, "idle"));
    }
}
