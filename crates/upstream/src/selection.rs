//! Selection of a server for a request among the candidates.

use fennelgauge_model::{splitmix64, stable_hash};
use fennelgauge_settings::Policy;
use tokio::time::Instant;

use crate::request_profile::{RequestKind, RequestProfile};
use crate::tracked_server::TrackedServer;

// The limits below are loads: requests as a fraction of a server's slots.

/// The server that caches a request's prompt prefix is used while its score exceeds the lowest one by no more than
/// this.
const PREFIX_AFFINITY_MARGIN: f64 = 0.35;
/// Servers for the other kind of request are used if those for the request's own kind are fuller by more than this.
const KIND_MARGIN: f64 = 0.35;
/// Servers in other zones are used if those in the own zone are fuller by more than this.
const ZONE_MARGIN: f64 = 0.2;
/// From this load on, the server that caches a request's prompt prefix is not preferred any more.
const CROWDED_LOAD: f64 = 0.85;

/// Number of servers drawn at random, of which the less loaded is taken, where loads are known from other processes
/// only.
const RANDOM_CHOICES: usize = 2;

/// What the selection depends on besides the servers.
pub(crate) struct SelectionCriteria<'a> {
    /// The request.
    pub profile: &'a RequestProfile,
    /// Fraction of the servers that is reserved for long prompts; `None` if all servers take all requests.
    pub long_prompt_fraction: Option<f64>,
    /// Zone of this process.
    pub zone: &'a str,
    /// Policy switches.
    pub policy: &'a Policy,
    /// Current time.
    pub now: Instant,
}

impl SelectionCriteria<'_> {
    /// Selects a server. Candidates are narrowed to those reserved for the request's kind, then to those in the own
    /// zone, unless these are much fuller than the others. Of the rest, the one that caches the request's prompt
    /// prefix is taken unless it is much fuller or crowded, else the least loaded one. Returns `None` if there are no
    /// candidates.
    pub fn select<'s>(&self, candidates: &[&'s TrackedServer]) -> Option<&'s TrackedServer> {
        let candidates = self.narrow(candidates, |server| self.is_for_kind(server), KIND_MARGIN);
        let candidates = self.narrow(&candidates, |server| self.is_preferred_zone(server), ZONE_MARGIN);
        let lowest = self.lowest_score(&candidates)?;
        match self.prefix_server(&candidates) {
            Some(server)
                if server.score(self.now) <= lowest + PREFIX_AFFINITY_MARGIN
                    && server.score(self.now) < CROWDED_LOAD =>
            {
                Some(server)
            }
            _ => self.least_loaded(candidates),
        }
    }

    fn is_for_kind(&self, server: &TrackedServer) -> bool {
        let fraction = self.long_prompt_fraction.filter(|_| self.policy.kinds_apart);
        match (fraction, self.profile.kind) {
            (None, _) | (_, RequestKind::BatchItem) => true,
            (Some(fraction), RequestKind::Long) => server.rank < fraction,
            (Some(fraction), RequestKind::Short) => server.rank >= fraction,
        }
    }

    fn affinity(&self) -> Option<u64> {
        self.profile.affinity.filter(|_| self.policy.cached_prompts)
    }

    fn is_preferred_zone(&self, server: &TrackedServer) -> bool {
        !self.policy.own_zone_first || self.affinity().is_some() || server.server.zone == self.zone
    }

    /// Returns the server that requests with this prompt prefix are sent to, by rendezvous hashing.
    fn prefix_server<'s>(&self, candidates: &[&'s TrackedServer]) -> Option<&'s TrackedServer> {
        let affinity = self.affinity()?;
        candidates
            .iter()
            .copied()
            .max_by_key(|candidate| splitmix64(affinity ^ stable_hash(&candidate.server.id)))
    }

    fn least_loaded<'s>(&self, mut candidates: Vec<&'s TrackedServer>) -> Option<&'s TrackedServer> {
        if self.policy.random_ties {
            fastrand::shuffle(&mut candidates);
        }
        if self.policy.two_choices
            && self.profile.kind != RequestKind::BatchItem
            && self.is_load_from_peers_only(&candidates)
        {
            candidates.truncate(RANDOM_CHOICES);
        }
        let score = |server: &&TrackedServer| server.score(self.now);
        candidates.into_iter().min_by(|left, right| score(left).total_cmp(&score(right)))
    }

    /// Returns whether loads are known from other processes but not from the servers. Such loads are slightly out of
    /// date, and all processes that took the least loaded server would send their requests to the same one. Batch
    /// items are exempt: they come from few stores, which know best themselves what they have sent.
    fn is_load_from_peers_only(&self, candidates: &[&TrackedServer]) -> bool {
        candidates.iter().any(|server| server.has_peer_stats(self.now))
            && !candidates.iter().any(|server| server.has_reported_load(self.now))
    }

    /// Returns the candidates that satisfy `preference`, or all candidates if the lowest score among those exceeds
    /// the lowest of all by more than `margin`.
    fn narrow<'s>(
        &self,
        candidates: &[&'s TrackedServer],
        preference: impl Fn(&TrackedServer) -> bool,
        margin: f64,
    ) -> Vec<&'s TrackedServer> {
        let preferred: Vec<&TrackedServer> =
            candidates.iter().copied().filter(|server| preference(server)).collect();
        match (self.lowest_score(&preferred), self.lowest_score(candidates)) {
            (Some(lowest), Some(lowest_of_all)) if lowest <= lowest_of_all + margin => preferred,
            _ => candidates.to_vec(),
        }
    }

    fn lowest_score(&self, candidates: &[&TrackedServer]) -> Option<f64> {
        candidates.iter().map(|server| server.score(self.now)).min_by(f64::total_cmp)
    }
}
