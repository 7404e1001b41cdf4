//! One server as this process sees it.

use std::time::Duration;

use fennelgauge_model::{Server, ServerState};
use fennelgauge_settings::Policy;
use fennelgauge_sharing::{DecayingOutcomes, ServerKey, ServerStats};
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

/// What others told counts for so long.
const OTHERS_FOR: Duration = Duration::from_millis(500);
/// A connection that stood shows for so long that the server can be reached.
const CHECKED_FOR: Duration = Duration::from_secs(1);
/// A server all of whose answers of late were failures counts as fuller by so many times its slots.
const TROUBLE_WEIGHT: f64 = 2.0;

/// A server, and what was seen of it from here.
#[derive(Debug)]
pub(crate) struct TrackedServer {
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
    /// It may be silent: a connection is tried before it gets more requests.
    suspected: bool,
    /// When a connection to it was last opened on suspicion.
    checked: Option<Instant>,
    /// Requests without an answer yet, by the number of their ticket.
    unanswered: Vec<(u64, Instant)>,
    outcomes: DecayingOutcomes,
    outcomes_at: Instant,
    others: Option<Others>,
}

/// The use that other processes make of it.
#[derive(Clone, Copy, Debug)]
struct Others {
    in_flight: u32,
    outcomes: DecayingOutcomes,
    suspected_by: u32,
    at: Instant,
}

/// The load of all callers together, as the server told it.
#[derive(Clone, Copy, Debug)]
struct Told {
    running: u32,
    waiting: u32,
    at: Instant,
    in_flight_then: u32,
}

impl TrackedServer {
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
            suspected: false,
            checked: None,
            unanswered: Vec::new(),
            outcomes: DecayingOutcomes::default(),
            outcomes_at: Instant::now(),
            others: None,
        }
    }

    fn fresh_others(&self, now: Instant) -> Option<&Others> {
        self.others.as_ref().filter(|others| now - others.at < OTHERS_FOR)
    }

    /// Whether others told of their use of late.
    pub fn knows_others(&self, now: Instant) -> bool {
        self.fresh_others(now).is_some()
    }

    fn slots(&self) -> f64 {
        f64::from(self.server.slots.max(1))
    }

    /// What the choice goes by: its load, with more for what has failed of late.
    pub fn burden(&self, now: Instant) -> f64 {
        self.load(now) + TROUBLE_WEIGHT * self.trouble(now)
    }

    /// The part of the answers of late that were failures, here and at others.
    fn trouble(&self, now: Instant) -> f64 {
        let mut own = self.outcomes;
        own.decay(now - self.outcomes_at);
        match self.fresh_others(now) {
            Some(others) => own.combined_with(&others.outcomes).failure_ratio(),
            None => own.failure_ratio(),
        }
    }

    /// Requests there, running and waiting, as far as can be told, as a part of its slots.
    pub fn load(&self, now: Instant) -> f64 {
        let in_flight = self.in_flight + self.fresh_others(now).map_or(0, |others| others.in_flight);
        let own = f64::from(in_flight);
        let requests = match self.told.filter(|told| now - told.at < TOLD_FOR) {
            Some(told) => {
                let since = f64::from(self.in_flight) - f64::from(told.in_flight_then);
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
            && !self.suspected
            && (self.failures == 0 || self.in_flight == 0 || !policy.one_at_a_time)
    }

    /// Whether a connection should be tried.
    pub fn wants_connection(&self, now: Instant) -> bool {
        self.is_ready() && (self.suspected || (self.unreachable && !self.rests(now)))
    }

    /// A request goes there.
    pub fn sent(&mut self, ticket: u64, tokens: u64) {
        self.in_flight += 1;
        self.unread_tokens += tokens;
        self.unanswered.push((ticket, Instant::now()));
    }

    /// A request's answer began, or there will be none.
    pub fn heard(&mut self, ticket: u64, tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens);
        self.unanswered.retain(|(number, _)| *number != ticket);
    }

    /// Whether a request waits for its answer longer than `usual`.
    fn is_silent(&self, usual: Duration, now: Instant) -> bool {
        self.unanswered.iter().any(|(_, since)| now - *since > usual)
    }

    /// Suspects it if a request waits for longer than `usual`, here or at others, unless it was just found to be there.
    pub fn suspect(&mut self, usual: Duration, now: Instant) {
        let others = self.fresh_others(now).is_some_and(|others| others.suspected_by > 0);
        let checked = self.checked.is_some_and(|checked| now - checked < CHECKED_FOR);
        self.suspected |= (others || self.is_silent(usual, now)) && !checked && !self.unreachable;
    }

    /// Whether this process knows of itself that it cannot be reached.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// What this process has to tell of it.
    pub fn own_use(&self, now: Instant) -> ServerStats {
        let mut outcomes = self.outcomes;
        outcomes.decay(now - self.outcomes_at);
        let (success_tenths, failure_tenths) = outcomes.tenths();
        ServerStats {
            server: ServerKey::from_id(&self.server.id),
            in_flight: self.in_flight,
            success_tenths,
            failure_tenths,
            suspected_by: u32::from(self.unreachable),
        }
    }

    /// What others told of it; none where they do not use it.
    pub fn take_others(&mut self, told: Option<&ServerStats>, now: Instant) {
        self.others = Some(Others {
            in_flight: told.map_or(0, |told| told.in_flight),
            outcomes: told.map_or(DecayingOutcomes::default(), |told| {
                DecayingOutcomes::from_tenths(told.success_tenths, told.failure_tenths)
            }),
            suspected_by: told.map_or(0, |told| told.suspected_by),
            at: now,
        });
    }

    fn count_outcome(&mut self, count: impl Fn(&mut DecayingOutcomes)) {
        let now = Instant::now();
        self.outcomes.decay(now - self.outcomes_at);
        self.outcomes_at = now;
        count(&mut self.outcomes);
    }

    /// A request was answered.
    pub fn answered(&mut self, load: Option<(u32, u32)>) {
        self.count_outcome(DecayingOutcomes::record_success);
        self.failures = 0;
        self.rests_until = None;
        self.unreachable = false;
        if let Some((running, waiting)) = load {
            self.told = Some(Told { running, waiting, at: Instant::now(), in_flight_then: self.in_flight });
        }
    }

    /// It broke off, was silent or is another server by now.
    pub fn failed(&mut self, policy: &Policy) {
        self.count_outcome(DecayingOutcomes::record_failure);
        self.rest(policy);
    }

    fn rest(&mut self, policy: &Policy) {
        let rest = FIRST_REST * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        if policy.rest_after_failure {
            self.rests_until = Some(Instant::now() + rest.min(LONGEST_REST));
        }
    }

    /// No connection could be opened.
    pub fn not_reached(&mut self, policy: &Policy) {
        self.rest(policy);
        self.suspected = false;
        if policy.reconnect_first {
            self.unreachable = true;
            let longest = Instant::now() + LONGEST_REST_UNREACHABLE;
            self.rests_until = self.rests_until.map(|until| until.min(longest));
        }
    }

    /// A connection stands again.
    pub fn reached(&mut self) {
        if self.suspected {
            self.suspected = false;
            self.checked = Some(Instant::now());
            return;
        }
        self.unreachable = false;
        self.rests_until = None;
    }

    /// It refused for want of room.
    pub fn full(&mut self) {
        self.rests_until = Some(Instant::now() + FULL_REST);
    }
}
