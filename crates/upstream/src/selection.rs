//! The choice among the servers that may have a request.

use fennelgauge_model::{splitmix64, stable_hash};
use fennelgauge_settings::Policy;
use tokio::time::Instant;

use crate::request_profile::{RequestKind, RequestProfile};
use crate::tracked_server::TrackedServer;

/// A server keeps the prompts it has cached while its load is at most so much above the least loaded one's, in slots.
const KEEP_WITHIN: f64 = 0.35;
/// A server for the other kind of request is chosen when those for the own kind are fuller by so much, in slots.
const OWN_KIND_WITHIN: f64 = 0.35;
/// A server in another zone is chosen when those in the own zone are fuller by so much, in slots.
const OWN_ZONE_WITHIN: f64 = 0.2;
/// From this part of its slots on, a server is left in favour of one that is emptier.
const CROWDED: f64 = 0.85;

/// Among so many, drawn at random, the least loaded is taken where the load is known from others.
const CHOICES: usize = 2;

/// What the choice goes by, beside the servers.
pub(crate) struct SelectionCriteria<'a> {
    pub demand: &'a RequestProfile,
    /// The part of the servers that is for long prompts; none where nothing is kept apart.
    pub long_part: Option<f64>,
    /// The own zone.
    pub zone: &'a str,
    pub policy: &'a Policy,
    pub now: Instant,
}

impl SelectionCriteria<'_> {
    /// The best of the candidates: those for the request's kind unless they are much fuller than the others, then those near,
    /// then the one that has its prompt, else the least loaded.
    pub fn best<'s>(&self, candidates: &[&'s TrackedServer]) -> Option<&'s TrackedServer> {
        let candidates = self.narrowed(candidates, |seen| self.is_of_kind(seen), OWN_KIND_WITHIN);
        let candidates = self.narrowed(&candidates, |seen| self.is_near(seen), OWN_ZONE_WITHIN);
        let least = self.least_load(&candidates)?;
        match self.home(&candidates) {
            Some(home) if home.burden(self.now) <= least + KEEP_WITHIN && home.burden(self.now) < CROWDED => {
                Some(home)
            }
            _ => self.least_loaded(candidates),
        }
    }

    fn is_of_kind(&self, seen: &TrackedServer) -> bool {
        let long_part = self.long_part.filter(|_| self.policy.kinds_apart);
        match (long_part, self.demand.kind) {
            (None, _) | (_, RequestKind::BatchItem) => true,
            (Some(part), RequestKind::Long) => seen.rank < part,
            (Some(part), RequestKind::Short) => seen.rank >= part,
        }
    }

    fn affinity(&self) -> Option<u64> {
        self.demand.affinity.filter(|_| self.policy.cached_prompts)
    }

    fn is_near(&self, seen: &TrackedServer) -> bool {
        !self.policy.own_zone_first || self.affinity().is_some() || seen.server.zone == self.zone
    }

    /// The server that keeps the request's shared part.
    fn home<'s>(&self, candidates: &[&'s TrackedServer]) -> Option<&'s TrackedServer> {
        let affinity = self.affinity()?;
        candidates.iter().copied().max_by_key(|seen| splitmix64(affinity ^ stable_hash(&seen.server.id)))
    }

    fn least_loaded<'s>(&self, mut candidates: Vec<&'s TrackedServer>) -> Option<&'s TrackedServer> {
        if self.policy.random_ties {
            fastrand::shuffle(&mut candidates);
        }
        if self.policy.two_choices
            && self.demand.kind != RequestKind::BatchItem
            && self.only_from_others(&candidates)
        {
            candidates.truncate(CHOICES);
        }
        let burden = |seen: &&TrackedServer| seen.burden(self.now);
        candidates.into_iter().min_by(|left, right| burden(left).total_cmp(&burden(right)))
    }

    /// Whether the load is known from others and not from the servers. What others told is a moment old: all who go by the least
    /// of it would go to the same server. Items come from few stores, which know their own best.
    fn only_from_others(&self, candidates: &[&TrackedServer]) -> bool {
        candidates.iter().any(|seen| seen.knows_others(self.now))
            && !candidates.iter().any(|seen| seen.tells_load(self.now))
    }

    /// Those that fulfil a wish, unless the least loaded of them is fuller by more than `within` than the least loaded of all.
    fn narrowed<'s>(
        &self,
        candidates: &[&'s TrackedServer],
        wish: impl Fn(&TrackedServer) -> bool,
        within: f64,
    ) -> Vec<&'s TrackedServer> {
        let wished: Vec<&TrackedServer> = candidates.iter().copied().filter(|seen| wish(seen)).collect();
        match (self.least_load(&wished), self.least_load(candidates)) {
            (Some(least), Some(least_of_all)) if least <= least_of_all + within => wished,
            _ => candidates.to_vec(),
        }
    }

    fn least_load(&self, candidates: &[&TrackedServer]) -> Option<f64> {
        candidates.iter().map(|seen| seen.burden(self.now)).min_by(f64::total_cmp)
    }
}
