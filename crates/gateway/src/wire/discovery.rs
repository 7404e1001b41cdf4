//! Long polling of the service discovery agent for the list of servers.

use super::http;
use crate::memory::channel::{Channel, ReadOutcome};
use crate::memory::timers::TimerKind;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host;
use fennelgauge::time::{Moment, Span};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// Time until a failed poll is repeated; far below the time within which the agent's changes must take effect.
const RETRY_DELAY: Span = Span::from_millis(100);
/// How long the agent may hold a poll open. It is short because a dead connection looks like a list without changes,
/// and must be noticed within the few seconds in which changes must take effect. The agent runs on the same machine, so
/// polls are cheap.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// How late the reply to a poll may be beyond [`POLL_TIMEOUT`].
const MAX_POLL_DELAY: Span = Span::from_millis(500);
/// Largest reply, in bytes. An indented list of hundreds of servers exceeds the limit of requests.
const MAX_LIST_BYTES: usize = 1024 * 1024;
/// How long the first reply is waited for. The list in the configuration may be outdated, so it is used only once the
/// agent has sent the changes since, or after this time: far more than a local agent needs, and far less than a start
/// may take.
const FIRST_REPLY_TIMEOUT: Span = Span::from_millis(500);
/// A list with a lower version than the present one either comes from an agent that lags, and would direct jobs to
/// draining servers, or the versions were restarted. It is polled again and accepted if it still comes after this time,
/// which is below the time within which changes must take effect.
const ACCEPT_OLDER_AFTER: Span = Span::from_millis(2_000);

/// A list of servers, or of changes to it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Listing {
    /// Version of the list.
    pub seq: u64,
    /// Whether it is the complete list; otherwise it holds only changes.
    pub whole: bool,
    /// The servers.
    pub hosts: Vec<Line>,
}

impl Listing {
    /// Returns the complete list after applying changes.
    fn with_changes(mut self, changes: Self) -> Self {
        let changed: HashSet<&str> = changes.hosts.iter().map(|line| line.host.as_str()).collect();
        self.hosts.retain(|line| !changed.contains(line.host.as_str()));
        self.hosts.extend(changes.hosts);
        Self { seq: changes.seq, whole: true, hosts: self.hosts }
    }
}

/// One server in a list.
#[derive(Debug, Deserialize)]
pub struct Line {
    /// Host name.
    pub host: String,
    /// Socket address, kept as text so that an invalid one does not invalidate the whole list.
    #[serde(default)]
    pub dial: String,
    /// Name of its zone.
    #[serde(default)]
    pub site: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it accepts jobs.
    pub health: Health,
    /// Its rated capacity.
    #[serde(default)]
    pub share: f64,
    /// Its start in milliseconds of Unix time; 0 if it was long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// Health of a server. An unknown value counts as terminating, so that the server gets no new jobs.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Accepts jobs.
    InService,
    /// Gone.
    Terminated,
    /// Finishes its jobs and accepts no new ones.
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

/// Writes a poll for changes after version `from`, or for the complete list.
fn write_poll(out: &mut Vec<u8>, agent: SocketAddr, from: Option<u64>) {
    let hold_ms = POLL_TIMEOUT.as_millis();
    match from {
        Some(seq) => {
            http::write(out, format_args!("GET /api/targets?from={seq}&hold_ms={hold_ms} HTTP/1.1\r\n"))
        }
        None => out.extend_from_slice(b"GET /api/targets HTTP/1.1\r\n"),
    }
    http::write(out, format_args!("Host: {agent}\r\n\r\n"));
}

/// Parses the body of a successful response.
fn parse_listing(response: &http::Response) -> Option<Listing> {
    serde_json::from_slice(&response.body).ok().filter(|_| response.status == 200)
}

/// Client of the service discovery agent.
pub struct Discovery {
    agent: SocketAddr,
    channel: Option<Channel>,
    /// Version whose changes are polled; `None` polls the complete list.
    seq: Option<u64>,
    /// The list in the configuration, until the agent's first reply.
    configured: Option<Listing>,
    /// Latest version received.
    latest: u64,
    /// Since when only older versions arrive.
    older_since: Option<Moment>,
    /// Key of the present connection.
    key: u64,
    /// When the last poll was sent.
    polled_at: Moment,
    /// A timer for the next poll is set.
    poll_scheduled: bool,
}

impl Discovery {
    /// Creates a client that polls changes to the configured list, or the complete list if that is empty.
    pub fn new(agent: SocketAddr, configured: Listing) -> Self {
        let (latest, configured) =
            (configured.seq, Some(configured).filter(|configured| !configured.hosts.is_empty()));
        let (seq, older_since) = (configured.as_ref().map(|configured| configured.seq), None);
        Self {
            agent,
            channel: None,
            seq,
            configured,
            latest,
            older_since,
            key: 0,
            polled_at: Moment::default(),
            poll_scheduled: false,
        }
    }

    /// Decides whether to accept a list, and combines its changes with the configured list if that is not used yet.
    /// Returns `None` for a list that is older than the present one.
    fn accept(&mut self, now: Moment, listing: Listing) -> Option<Listing> {
        let is_older = listing.seq < self.latest;
        let since = *self.older_since.get_or_insert(now);
        if is_older && now.since(since) < ACCEPT_OLDER_AFTER {
            self.seq = None;
            return None;
        }
        (self.older_since, self.latest, self.seq) = (None, listing.seq, Some(listing.seq));
        match self.configured.take() {
            Some(configured) if !listing.whole => Some(configured.with_changes(listing)),
            _ => Some(listing),
        }
    }
}

/// Handles readiness of the connection to the agent.
pub fn moved(limiter: &mut Limiter, key: u64) {
    while limiter.host.discovery.key == key {
        let Some(listing) = limiter.host.discovery_moved() else { break };
        apply_listing(limiter, listing);
    }
    settle(limiter);
}

/// Uses the configured list if the agent has not replied since the start.
pub fn use_configured_list(limiter: &mut Limiter) {
    if let Some(configured) = limiter.host.discovery.configured.take() {
        apply_listing(limiter, configured);
    }
}

/// Passes a list to the policy module and closes connections that may not be reused.
fn apply_listing(limiter: &mut Limiter, listing: Listing) {
    let (now, whole) = (limiter.host.clock.now(), listing.whole);
    let host = &mut limiter.host;
    let (entries, obsolete) = host.machines.apply_listing(now, listing, &host.zones);
    host.close_links_to(&obsolete);
    if whole {
        limiter.roster_replaced(now, entries.into_iter());
    } else {
        limiter.roster_changed(now, entries.into_iter());
    }
}

impl Sockets {
    /// Sends the first poll and starts the timer for its reply.
    pub fn start_discovery(&mut self) {
        self.connect_and_poll();
        self.timers.schedule(self.clock.now() + FIRST_REPLY_TIMEOUT, TimerKind::DiscoveryTimeout);
    }

    /// Schedules a new connection and poll, unless one exists or is scheduled.
    pub fn schedule_poll(&mut self) {
        if self.discovery.channel.is_none() && !std::mem::replace(&mut self.discovery.poll_scheduled, true) {
            let pause = if self.discovery.polled_at == Moment::default() { Span::ZERO } else { RETRY_DELAY };
            self.timers.schedule(self.clock.now() + pause, TimerKind::PollDiscovery);
        }
    }

    /// Connects to the agent and polls it, unless it is connected.
    pub fn connect_and_poll(&mut self) {
        self.discovery.poll_scheduled = false;
        if self.discovery.channel.is_some() {
            return;
        }
        let (agent, key) = (self.discovery.agent, self.number());
        match Channel::connect(&self.handle, agent, Moved::Discovery(key)) {
            Ok(channel) => (self.discovery.channel, self.discovery.key) = (Some(channel), key),
            Err(error) => info!(side = "discovery", key, reason = "refused", %error),
        }
        self.poll();
    }

    /// Changes the agent's address and polls the complete list there, since versions of different agents are not
    /// comparable.
    pub fn move_discovery(&mut self, agent: SocketAddr) {
        if agent != self.discovery.agent {
            (self.discovery.agent, self.discovery.seq) = (agent, None);
            (self.discovery.latest, self.discovery.older_since) = (0, None);
            self.close_discovery("moved");
            self.connect_and_poll();
        }
    }

    /// Sends a poll on the present connection.
    fn poll(&mut self) {
        let discovery = &mut self.discovery;
        discovery.polled_at = self.clock.now();
        let Some(channel) = &mut discovery.channel else { return self.schedule_poll() };
        write_poll(&mut channel.output, discovery.agent, discovery.seq);
        // Nothing is written before the connection is established; its readiness event resumes the write.
        if channel.flush().is_err() {
            self.close_discovery("broken");
        }
    }

    /// Returns the next list that has arrived, and sends the next poll at once.
    fn discovery_moved(&mut self) -> Option<Listing> {
        let now = self.clock.now();
        let discovery = &mut self.discovery;
        let channel = discovery.channel.as_mut()?;
        let flushed = channel.flush();
        let read = channel.fill(http::message_size_limit(MAX_LIST_BYTES));
        let has_ended = read == ReadOutcome::Eof && matches!(flushed, Ok(true));
        let response = http::parse_response(&channel.input, has_ended, MAX_LIST_BYTES);
        let (consumed, keep, listing) = match &response {
            Ok(Some(response)) => (response.consumed, response.keep_alive, parse_listing(response)),
            Ok(None) if flushed.is_ok() && read == ReadOutcome::Open && !channel.may_have_more => {
                return None
            }
            _ => {
                self.close_discovery("broken");
                return None;
            }
        };
        channel.consume(consumed);
        // After an invalid or rejected reply, the complete list is polled.
        discovery.seq = None;
        let Some(listing) = listing else {
            self.close_discovery("malformed answer");
            return None;
        };
        let accepted = discovery.accept(now, listing);
        if accepted.is_none() {
            self.close_discovery("older list");
        } else if !keep || read != ReadOutcome::Open {
            self.close_discovery("closed by discovery");
        } else {
            self.poll();
        }
        accepted
    }

    /// Closes the connection, logs the reason and schedules a new poll.
    fn close_discovery(&mut self, reason: &str) {
        let Some(channel) = self.discovery.channel.take() else { return };
        info!(side = "discovery", key = self.discovery.key, reason);
        channel.close(&self.handle);
        self.schedule_poll();
    }

    /// Closes the connection if the reply to a poll is overdue.
    pub fn sweep_discovery(&mut self, now: Moment) {
        let max_wait = Span::from_micros(POLL_TIMEOUT.as_micros() as u64) + MAX_POLL_DELAY;
        if self.discovery.channel.is_some() && now.since(self.discovery.polled_at) > max_wait {
            self.close_discovery("silent");
        }
    }

    /// Returns whether the gateway is ready for jobs: it knows servers and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.machines.by_id.is_empty() && !self.stop.has_begun()
    }
}
