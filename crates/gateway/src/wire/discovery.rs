//! Discovery's lists, and the watch that asks for them.

use super::http;
use crate::memory::channel::{Channel, Filled};
use crate::memory::timers::Due;
use crate::sockets::{settle, Limiter, Sockets};
use fennelgauge::host::Standing;
use fennelgauge::time::{Moment, Span};
use serde::Deserialize;
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

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<Line>,
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

impl From<Health> for Standing {
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
    /// The version that is known.
    seq: Option<u64>,
    key: u64,
    /// When the watch was sent; a timer is set to send it.
    asked: Moment,
    waits: bool,
}

impl Discovery {
    /// Goes on from the list that is known, where one is.
    pub fn new(agent: SocketAddr, known: &Listing) -> Self {
        let seq = Some(known.seq).filter(|_| !known.hosts.is_empty());
        Self { agent, channel: None, seq, key: 0, asked: Moment::default(), waits: false }
    }
}

fn moved(limiter: &mut Limiter, key: u64) {
    limiter.host.moves += 1;
    while limiter.host.discovery.key == key {
        let Some(listing) = limiter.host.discovery_moved() else { break };
        learn(limiter, listing);
    }
    settle(limiter);
}

/// Tells the module what a listing says.
pub fn learn(limiter: &mut Limiter, listing: Listing) {
    let (now, whole) = (limiter.host.clock.now(), listing.whole);
    let host = &mut limiter.host;
    let (entries, useless) = host.machines.learn(now, listing, &host.zones);
    useless.into_iter().for_each(|key| host.close_link(key, None, "roster"));
    if whole {
        limiter.roster_listed(now, entries.into_iter());
    } else {
        limiter.roster_changed(now, entries.into_iter());
    }
}

impl Sockets {
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
        match Channel::connect(&self.handle, agent, move |limiter| moved(limiter, key)) {
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
        let discovery = &mut self.discovery;
        let channel = discovery.channel.as_mut()?;
        let flushed = channel.flush();
        let filled = channel.fill(http::MOST_MESSAGE);
        let answer = http::answer(&channel.input, filled == Filled::Ended, http::MOST_BODY);
        let (used, keep, listing) = match &answer {
            Ok(Some(answer)) => (answer.used, answer.keep, listing(answer)),
            Ok(None) if flushed.is_ok() && filled == Filled::Open => return None,
            _ => {
                self.close_discovery("broken");
                return None;
            }
        };
        channel.used(used);
        match &listing {
            Some(listing) => discovery.seq = Some(listing.seq),
            // An answer that cannot be read is followed by the whole list.
            None => discovery.seq = None,
        }
        if listing.is_none() || !keep || filled != Filled::Open {
            self.close_discovery(if listing.is_none() { "malformed answer" } else { "closed by discovery" });
        } else {
            self.ask();
        }
        listing
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
