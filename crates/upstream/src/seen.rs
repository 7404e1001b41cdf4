//! One server as this process sees it.

use std::time::Duration;

use fennelgauge_model::{Server, ServerState};
use fennelgauge_settings::Policy;
use tokio::time::Instant;

/// What a server told of its load is trusted for so long.
const TOLD_FOR: Duration = Duration::from_millis(1_500);
/// A server that could not be reached rests for so long, doubling with each further failure.
const FIRST_REST: Duration = Duration::from_millis(500);
const LONGEST_REST: Duration = Duration::from_secs(8);
/// While it is tried without a request, nothing is lost by trying sooner.
const LONGEST_REST_UNREACHABLE: Duration = Duration::from_secs(1);
/// A server that refused for want of room rests for so long.
const FULL_REST: Duration = Duration::from_millis(100);
/// So many tokens of prompts still to be read weigh as much as a server full of requests.
const UNREAD_TOKENS: f64 = 60_000.0;

/// A server, and what was seen of it from here.
#[derive(Debug)]
pub(crate) struct Seen {
    pub server: Server,
    pub listed: bool,
    /// Its place in a fixed ranking of its service's servers in its zone, between 0 and 1.
    pub rank: f64,
    pub in_flight: u32,
    /// Tokens of prompts sent there from here that have brought no answer yet.
    pub unread_tokens: u64,
    told: Option<Told>,
    failures: u32,
    rests_until: Option<Instant>,
    /// No connection to it could be opened; it gets no request until one stands.
    unreachable: bool,
}

/// The load of all callers together, as the server told it.
#[derive(Clone, Copy, Debug)]
struct Told {
    running: u32,
    waiting: u32,
    at: Instant,
    in_flight_then: u32,
}

impl Seen {
    pub fn new(server: Server) -> Self {
        Self {
            server,
            listed: true,
            rank: 0.0,
            in_flight: 0,
            unread_tokens: 0,
            told: None,
            failures: 0,
            rests_until: None,
            unreachable: false,
        }
    }

    fn slots(&self) -> f64 {
        f64::from(self.server.slots.max(1))
    }

    /// Requests there, running and waiting, as far as can be told, as a part of its slots.
    pub fn load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let requests = match self.told.filter(|told| now - told.at < TOLD_FOR) {
            Some(told) => {
                let since = own - f64::from(told.in_flight_then);
                (f64::from(told.running + told.waiting) + since).max(own)
            }
            None => own,
        };
        requests / self.slots() + self.unread_tokens as f64 / UNREAD_TOKENS
    }

    /// Whether the server has told its load of late.
    pub fn tells_load(&self, now: Instant) -> bool {
        self.told.is_some_and(|told| now - told.at < TOLD_FOR)
    }

    pub fn is_ready(&self) -> bool {
        self.listed && self.server.state == ServerState::Ready
    }

    fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| until > now)
    }

    /// Whether it may have requests; after a failure one at a time, until one is answered.
    pub fn usable(&self, policy: &Policy, now: Instant) -> bool {
        self.is_ready()
            && !self.rests(now)
            && !self.unreachable
            && (self.failures == 0 || self.in_flight == 0 || !policy.one_at_a_time)
    }

    /// Whether a connection should be tried.
    pub fn wants_connection(&self, now: Instant) -> bool {
        self.unreachable && self.is_ready() && !self.rests(now)
    }

    /// A request was answered.
    pub fn answered(&mut self, load: Option<(u32, u32)>) {
        self.failures = 0;
        self.rests_until = None;
        self.unreachable = false;
        if let Some((running, waiting)) = load {
            self.told = Some(Told { running, waiting, at: Instant::now(), in_flight_then: self.in_flight });
        }
    }

    /// It broke off, was silent or is another server by now.
    pub fn failed(&mut self, policy: &Policy) {
        let rest = FIRST_REST * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        if policy.rest_after_failure {
            self.rests_until = Some(Instant::now() + rest.min(LONGEST_REST));
        }
    }

    /// No connection could be opened.
    pub fn not_reached(&mut self, policy: &Policy) {
        self.failed(policy);
        if policy.reconnect_first {
            self.unreachable = true;
            let longest = Instant::now() + LONGEST_REST_UNREACHABLE;
            self.rests_until = self.rests_until.map(|until| until.min(longest));
        }
    }

    /// A connection stands again.
    pub fn reached(&mut self) {
        self.unreachable = false;
        self.rests_until = None;
    }

    /// It refused for want of room.
    pub fn full(&mut self) {
        self.rests_until = Some(Instant::now() + FULL_REST);
    }
}
