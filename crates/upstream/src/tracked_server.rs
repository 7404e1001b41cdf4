//! State that this process keeps about one server.

use std::time::Duration;

use fennelgauge_model::{Server, ServerState};
use fennelgauge_settings::Policy;
use fennelgauge_sharing::{DecayingOutcomes, ServerKey, ServerStats};
use tokio::time::Instant;

/// Time for which the load that a server reported is used.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(1_500);
/// Cooldown after the first failure; it doubles with each further one.
const FIRST_COOLDOWN: Duration = Duration::from_millis(500);
/// Upper bound of the cooldown.
const MAX_COOLDOWN: Duration = Duration::from_secs(8);
/// Upper bound of the time until the next connection attempt to an unreachable server. Such an attempt puts no
/// request at risk, so it can be made sooner.
const MAX_UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(1);
/// Cooldown of a server that rejected a request because it is full.
const OVERLOAD_COOLDOWN: Duration = Duration::from_millis(100);
/// Number of unprocessed prompt tokens that weigh as much as a server full of requests.
const TOKENS_PER_FULL_LOAD: f64 = 60_000.0;

/// Time for which statistics of other processes are used.
const PEER_STATS_TTL: Duration = Duration::from_millis(500);
/// Time for which a successful connection test exempts a server from suspicion.
const TEST_VALID_FOR: Duration = Duration::from_secs(1);
/// Weight of the failure ratio in a server's score: a ratio of 1 counts like this many times its slots in requests.
const FAILURE_WEIGHT: f64 = 2.0;

/// A server and what this process knows about its state.
#[derive(Debug)]
pub(crate) struct TrackedServer {
    /// The entry of the server list.
    pub server: Server,
    /// Whether the server is in the current list; an unlisted one is kept while requests are in flight.
    pub listed: bool,
    /// Position in a stable ranking of the servers of the same service and zone, between 0 and 1.
    pub rank: f64,
    /// Number of requests of this process in flight.
    pub in_flight: u32,
    /// Number of prompt tokens in requests of this process that have no response yet.
    pub unprocessed_tokens: u64,
    reported_load: Option<ReportedLoad>,
    /// Number of consecutive failures.
    failures: u32,
    cooldown_until: Option<Instant>,
    /// No connection could be opened; the server gets no requests until a connection succeeds.
    unreachable: bool,
    /// The server may be unresponsive; it gets no requests until a connection succeeds.
    suspected: bool,
    /// Time of the last successful connection test on suspicion.
    tested_at: Option<Instant>,
    /// Requests without a response yet: number of the guard and time of sending.
    unanswered: Vec<(u64, Instant)>,
    /// Outcomes of this process's requests, decayed up to `outcomes_at`.
    outcomes: DecayingOutcomes,
    outcomes_at: Instant,
    peer_stats: Option<PeerStats>,
}

/// Statistics of other processes that use the server.
#[derive(Clone, Copy, Debug)]
struct PeerStats {
    in_flight: u32,
    outcomes: DecayingOutcomes,
    suspected_by: u32,
    received_at: Instant,
}

/// Load from the requests of all processes, as reported by the server.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    running: u32,
    waiting: u32,
    received_at: Instant,
    /// Number of requests of this process in flight when the report was received.
    in_flight_then: u32,
}

impl TrackedServer {
    /// Creates the state of a newly listed server.
    pub fn new(server: Server) -> Self {
        Self {
            server,
            listed: true,
            rank: 0.0,
            in_flight: 0,
            unprocessed_tokens: 0,
            reported_load: None,
            failures: 0,
            cooldown_until: None,
            unreachable: false,
            suspected: false,
            tested_at: None,
            unanswered: Vec::new(),
            outcomes: DecayingOutcomes::default(),
            outcomes_at: Instant::now(),
            peer_stats: None,
        }
    }

    fn fresh_peer_stats(&self, now: Instant) -> Option<&PeerStats> {
        self.peer_stats.as_ref().filter(|stats| now - stats.received_at < PEER_STATS_TTL)
    }

    /// Returns whether current statistics of other processes are known.
    pub fn has_peer_stats(&self, now: Instant) -> bool {
        self.fresh_peer_stats(now).is_some()
    }

    fn slots(&self) -> f64 {
        f64::from(self.server.slots.max(1))
    }

    /// Returns the score by which servers are compared: the load plus a penalty for recent failures. Lower is better.
    pub fn score(&self, now: Instant) -> f64 {
        self.load(now) + FAILURE_WEIGHT * self.failure_ratio(now)
    }

    /// Returns the fraction of failures among the recent requests of this and other processes.
    fn failure_ratio(&self, now: Instant) -> f64 {
        let mut own = self.outcomes;
        own.decay(now - self.outcomes_at);
        match self.fresh_peer_stats(now) {
            Some(stats) => own.combined_with(&stats.outcomes).failure_ratio(),
            None => own.failure_ratio(),
        }
    }

    /// Returns the estimated number of running and waiting requests as a fraction of the slots, plus the weight of
    /// prompts that are still to be processed.
    pub fn load(&self, now: Instant) -> f64 {
        let in_flight = self.in_flight + self.fresh_peer_stats(now).map_or(0, |stats| stats.in_flight);
        let in_flight = f64::from(in_flight);
        let requests = match self.reported_load.filter(|load| now - load.received_at < REPORTED_LOAD_TTL) {
            Some(load) => {
                let sent_since = f64::from(self.in_flight) - f64::from(load.in_flight_then);
                (f64::from(load.running + load.waiting) + sent_since).max(in_flight)
            }
            None => in_flight,
        };
        requests / self.slots() + self.unprocessed_tokens as f64 / TOKENS_PER_FULL_LOAD
    }

    /// Returns whether the server has reported its load recently.
    pub fn has_reported_load(&self, now: Instant) -> bool {
        self.reported_load.is_some_and(|load| now - load.received_at < REPORTED_LOAD_TTL)
    }

    /// Returns whether the server is listed as ready for new requests.
    pub fn is_ready(&self) -> bool {
        self.listed && self.server.state == ServerState::Ready
    }

    fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| until > now)
    }

    /// Returns whether the server may get a request now. After a failure it gets one at a time until it responds.
    pub fn is_usable(&self, policy: &Policy, now: Instant) -> bool {
        self.is_ready()
            && !self.is_cooling_down(now)
            && !self.unreachable
            && !self.suspected
            && (self.failures == 0 || self.in_flight == 0 || !policy.one_at_a_time)
    }

    /// Returns whether a connection to the server should be tested now.
    pub fn needs_probe(&self, now: Instant) -> bool {
        self.is_ready() && (self.suspected || (self.unreachable && !self.is_cooling_down(now)))
    }

    /// Records that a request is sent; `guard` is the number of its guard, `tokens` the size of its prompt.
    pub fn record_sent(&mut self, guard: u64, tokens: u64) {
        self.in_flight += 1;
        self.unprocessed_tokens += tokens;
        self.unanswered.push((guard, Instant::now()));
    }

    /// Records that the response to a request has started, or that there will be none.
    pub fn record_prompt_processed(&mut self, guard: u64, tokens: u64) {
        self.unprocessed_tokens = self.unprocessed_tokens.saturating_sub(tokens);
        self.unanswered.retain(|(number, _)| *number != guard);
    }

    /// Returns whether a request has been waiting for its response for longer than `limit`.
    fn is_unresponsive(&self, limit: Duration, now: Instant) -> bool {
        self.unanswered.iter().any(|(_, sent_at)| now - *sent_at > limit)
    }

    /// Marks the server as suspected if a request of this process has been waiting for longer than `limit` or another
    /// process suspects the server, unless a connection test succeeded a moment ago.
    pub fn suspect(&mut self, limit: Duration, now: Instant) {
        let suspected_by_peers = self.fresh_peer_stats(now).is_some_and(|stats| stats.suspected_by > 0);
        let recently_tested = self.tested_at.is_some_and(|tested_at| now - tested_at < TEST_VALID_FOR);
        self.suspected |=
            (suspected_by_peers || self.is_unresponsive(limit, now)) && !recently_tested && !self.unreachable;
    }

    /// Returns whether this process itself failed to connect to the server.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Returns the statistics of this process that are reported to others.
    pub fn own_stats(&self, now: Instant) -> ServerStats {
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

    /// Stores the statistics of other processes; `None` if they do not use the server.
    pub fn set_peer_stats(&mut self, stats: Option<&ServerStats>, now: Instant) {
        self.peer_stats = Some(PeerStats {
            in_flight: stats.map_or(0, |stats| stats.in_flight),
            outcomes: stats.map_or(DecayingOutcomes::default(), |stats| {
                DecayingOutcomes::from_tenths(stats.success_tenths, stats.failure_tenths)
            }),
            suspected_by: stats.map_or(0, |stats| stats.suspected_by),
            received_at: now,
        });
    }

    fn record_outcome(&mut self, record: impl Fn(&mut DecayingOutcomes)) {
        let now = Instant::now();
        self.outcomes.decay(now - self.outcomes_at);
        self.outcomes_at = now;
        record(&mut self.outcomes);
    }

    /// Records a response, with the numbers of running and waiting requests if the server reported them.
    pub fn record_success(&mut self, load: Option<(u32, u32)>) {
        self.record_outcome(DecayingOutcomes::record_success);
        self.failures = 0;
        self.cooldown_until = None;
        self.unreachable = false;
        if let Some((running, waiting)) = load {
            self.reported_load = Some(ReportedLoad {
                running,
                waiting,
                received_at: Instant::now(),
                in_flight_then: self.in_flight,
            });
        }
    }

    /// Records a failure: a lost connection, a missing response, or another instance at the server's address.
    pub fn record_failure(&mut self, policy: &Policy) {
        self.record_outcome(DecayingOutcomes::record_failure);
        self.start_cooldown(policy);
    }

    fn start_cooldown(&mut self, policy: &Policy) {
        let cooldown = FIRST_COOLDOWN * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        if policy.rest_after_failure {
            self.cooldown_until = Some(Instant::now() + cooldown.min(MAX_COOLDOWN));
        }
    }

    /// Records that no connection could be opened.
    pub fn record_connect_failure(&mut self, policy: &Policy) {
        self.start_cooldown(policy);
        self.suspected = false;
        if policy.reconnect_first {
            self.unreachable = true;
            let latest = Instant::now() + MAX_UNREACHABLE_COOLDOWN;
            self.cooldown_until = self.cooldown_until.map(|until| until.min(latest));
        }
    }

    /// Records that a connection test succeeded.
    pub fn record_connect_success(&mut self) {
        if self.suspected {
            self.suspected = false;
            self.tested_at = Some(Instant::now());
            return;
        }
        self.unreachable = false;
        self.cooldown_until = None;
    }

    /// Records that the server rejected a request because it is full.
    pub fn record_overload(&mut self) {
        self.cooldown_until = Some(Instant::now() + OVERLOAD_COOLDOWN);
    }
}
