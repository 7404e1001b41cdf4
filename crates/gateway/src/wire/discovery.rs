//! Discovery's lists, and the watch that asks for them.

use super::http;
use crate::memory::channel::{Channel, Filled};
use crate::memory::timers::Due;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host;
use fennelgauge::time::{Moment, Span};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// A lost watch begins anew after this; well within the time in which changes count as told.
const PAUSE: Span = Span::from_millis(100);
/// How long discovery may hold a watch, and how late it may then be. A connection that fell silent looks like a
/// list without changes: it is noticed well within the time in which changes count as told, a few seconds. The
/// agent is on this machine, and asking it costs nothing.
const HOLD: Duration = Duration::from_secs(1);
const LATE: Span = Span::from_millis(500);
/// A list of hundreds of servers, indented, may be larger than any request; one beyond this is no list.
const MOST_LIST: usize = 1024 * 1024;
/// The list known at the start may be old: it is used once discovery has told what changed since, or has said nothing
/// for so long. Far more than an agent on this machine takes, and far below what a start may take.
const FIRST: Span = Span::from_millis(500);
/// A list older than the one known may come from an agent that lags, and would send jobs to servers that drain; or
/// the versions began anew. It is asked for again, and believed if it still comes after this, well within the time in
/// which changes count as told.
const BELIEVED: Span = Span::from_millis(2_000);

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<Line>,
}

impl Listing {
    /// The whole list after those changes.
    fn changed_by(mut self, changes: Self) -> Self {
        let changed: HashSet<&str> = changes.hosts.iter().map(|line| line.host.as_str()).collect();
        self.hosts.retain(|line| !changed.contains(line.host.as_str()));
        self.hosts.extend(changes.hosts);
        Self { seq: changes.seq, whole: true, hosts: self.hosts }
    }
}

/// One server.
#[derive(Debug, Deserialize)]
pub struct Line {
    pub host: String,
    /// As text: one that is no address must not cost the rest of the list.
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub block: u16,
    pub health: Health,
    #[serde(default)]
    pub share: f64,
    /// Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// What is not known is not given new work.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    InService,
    Terminated,
    #[serde(other)]
    Terminating,
}

impl From<Health> for host::Health {
    fn from(health: Health) -> Self {
        match health {
            Health::InService => Self::Ready,
            Health::Terminating => Self::Draining,
            Health::Terminated => Self::Gone,
        }
    }
}

/// Asks for what is newer than a version, or for the whole list.
fn watch(out: &mut Vec<u8>, agent: SocketAddr, from: Option<u64>) {
    let hold = HOLD.as_millis();
    match from {
        Some(seq) => http::put(out, format_args!("GET /api/targets?from={seq}&hold_ms={hold} HTTP/1.1\r\n")),
        None => out.extend_from_slice(b"GET /api/targets HTTP/1.1\r\n"),
    }
    http::put(out, format_args!("Host: {agent}\r\n\r\n"));
}

fn listing(answer: &http::Answer) -> Option<Listing> {
    serde_json::from_slice(&answer.body).ok().filter(|_| answer.status == 200)
}

/// The watch of discovery's agent.
pub struct Discovery {
    agent: SocketAddr,
    channel: Option<Channel>,
    /// The version to go on from; none asks for the whole list.
    seq: Option<u64>,
    /// The list known at the start, until discovery has told what changed since.
    known: Option<Listing>,
    /// The latest version heard of, and since when only older ones come.
    latest: u64,
    older: Option<Moment>,
    key: u64,
    /// When the watch was sent; a timer is set to send it.
    asked: Moment,
    waits: bool,
}

impl Discovery {
    /// Goes on from the list that is known, where one is.
    pub fn new(agent: SocketAddr, known: Listing) -> Self {
        let (latest, known) = (known.seq, Some(known).filter(|known| !known.hosts.is_empty()));
        let (seq, older) = (known.as_ref().map(|known| known.seq), None);
        Self {
            agent,
            channel: None,
            seq,
            known,
            latest,
            older,
            key: 0,
            asked: Moment::default(),
            waits: false,
        }
    }

    /// Whether a list is acted on, and what it says along with the one known at the start.
    fn accept(&mut self, now: Moment, listing: Listing) -> Option<Listing> {
        let older = listing.seq < self.latest;
        let since = *self.older.get_or_insert(now);
        if older && now.since(since) < BELIEVED {
            self.seq = None;
            return None;
        }
        (self.older, self.latest, self.seq) = (None, listing.seq, Some(listing.seq));
        match self.known.take() {
            Some(known) if !listing.whole => Some(known.changed_by(listing)),
            _ => Some(listing),
        }
    }
}

pub fn moved(limiter: &mut Limiter, key: u64) {
    while limiter.host.discovery.key == key {
        let Some(listing) = limiter.host.discovery_moved() else { break };
        learn(limiter, listing);
    }
    settle(limiter);
}

/// Discovery has not answered since the start: what was known then has to do.
pub fn use_known_list(limiter: &mut Limiter) {
    if let Some(known) = limiter.host.discovery.known.take() {
        learn(limiter, known);
    }
}

/// Tells the module what a listing says.
fn learn(limiter: &mut Limiter, listing: Listing) {
    let (now, whole) = (limiter.host.clock.now(), listing.whole);
    let host = &mut limiter.host;
    let (entries, left) = host.machines.learn(now, listing, &host.zones);
    host.leave_servers(&left);
    if whole {
        limiter.roster_replaced(now, entries.into_iter());
    } else {
        limiter.roster_changed(now, entries.into_iter());
    }
}

impl Sockets {
    /// Starts to follow discovery, whose time to answer runs from when it was asked.
    pub fn follow_discovery(&mut self) {
        self.watch();
        self.timers.set(self.clock.now() + FIRST, Due::Known);
    }

    pub fn watch_soon(&mut self) {
        if self.discovery.channel.is_none() && !std::mem::replace(&mut self.discovery.waits, true) {
            let pause = if self.discovery.asked == Moment::default() { Span::ZERO } else { PAUSE };
            self.timers.set(self.clock.now() + pause, Due::Watch);
        }
    }

    pub fn watch(&mut self) {
        self.discovery.waits = false;
        if self.discovery.channel.is_some() {
            return;
        }
        let (agent, key) = (self.discovery.agent, self.number());
        match Channel::connect(&self.handle, agent, Moved::Discovery(key)) {
            Ok(channel) => (self.discovery.channel, self.discovery.key) = (Some(channel), key),
            Err(error) => info!(side = "discovery", key, reason = "refused", %error),
        }
        self.ask();
    }

    /// Asks the agent at that address from now on, and at once for the whole list: versions and changes told
    /// elsewhere say nothing of what it has.
    pub fn move_discovery(&mut self, agent: SocketAddr) {
        if agent != self.discovery.agent {
            (self.discovery.agent, self.discovery.seq) = (agent, None);
            (self.discovery.latest, self.discovery.older) = (0, None);
            self.close_discovery("moved");
            self.watch();
        }
    }

    fn ask(&mut self) {
        let discovery = &mut self.discovery;
        discovery.asked = self.clock.now();
        let Some(channel) = &mut discovery.channel else { return self.watch_soon() };
        watch(&mut channel.output, discovery.agent, discovery.seq);
        // A connection that is not up yet takes no bytes; it moves once it is.
        if channel.flush().is_err() {
            self.close_discovery("broken");
        }
    }

    /// The next listing that has come; the watch is renewed at once.
    fn discovery_moved(&mut self) -> Option<Listing> {
        let now = self.clock.now();
        let discovery = &mut self.discovery;
        let channel = discovery.channel.as_mut()?;
        let flushed = channel.flush();
        let filled = channel.fill(http::with_body(MOST_LIST));
        let answer = http::answer(&channel.input, filled == Filled::Ended, MOST_LIST);
        let (used, keep, listing) = match &answer {
            Ok(Some(answer)) => (answer.used, answer.keep, listing(answer)),
            Ok(None) if flushed.is_ok() && filled == Filled::Open && !channel.stuffed => return None,
            _ => {
                self.close_discovery("broken");
                return None;
            }
        };
        channel.used(used);
        // An answer that cannot be read, or is not believed, is followed by the whole list.
        discovery.seq = None;
        let Some(listing) = listing else {
            self.close_discovery("malformed answer");
            return None;
        };
        let accepted = discovery.accept(now, listing);
        if accepted.is_none() {
            self.close_discovery("older list");
        } else if !keep || filled != Filled::Open {
            self.close_discovery("closed by discovery");
        } else {
            self.ask();
        }
        accepted
    }

    fn close_discovery(&mut self, reason: &str) {
        let Some(channel) = self.discovery.channel.take() else { return };
        info!(side = "discovery", key = self.discovery.key, reason);
        channel.close(&self.handle);
        self.watch_soon();
    }

    /// Leaves an agent that says nothing long after it had to answer.
    pub fn sweep_discovery(&mut self, now: Moment) {
        let most = Span::from_micros(HOLD.as_micros() as u64) + LATE;
        if self.discovery.channel.is_some() && now.since(self.discovery.asked) > most {
            self.close_discovery("silent");
        }
    }

    /// Servers are known, so that jobs can be sent on; and they are wanted.
    pub fn is_ready(&self) -> bool {
        !self.machines.by_id.is_empty() && !self.stop.begun()
    }
}
