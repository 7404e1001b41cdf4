//! Which process a watcher asks for the newest state: the members of the core that it knows from a view, then the seeds.

use std::net::SocketAddr;

use fennelgauge_model::stable_hash;

use crate::View;

/// What came of asking a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceOutcome {
    /// The source told a later view than the watcher had.
    LaterView,
    /// The source's view was confirmed by a majority recently.
    Confirmed,
    /// The source's view is the watcher's own or none, and was not confirmed recently.
    Unconfirmed,
    /// No usable reply came in time.
    NoReply,
}

/// Chooses the sources of one watcher. It stays with a source that is in touch with a majority, and goes on to the next
/// one otherwise. After the last source the first one follows again.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    node: String,
    zone: String,
    position: usize,
}

impl SourceSelector {
    /// Creates the selector of the process `node` in `zone`.
    pub fn new(node: String, zone: String) -> Self {
        Self { node, zone, position: 0 }
    }

    /// Returns the source to ask now; none if there is no view and no seed. The seeds are looked up only once all members
    /// of the core have failed.
    pub fn source(&self, view: Option<&View>, seeds: impl FnOnce() -> Vec<SocketAddr>) -> Option<SocketAddr> {
        let mut sources = view.map(|view| self.core_sources(view)).unwrap_or_default();
        if let Some(source) = sources.get(self.position) {
            return Some(*source);
        }
        for seed in seeds() {
            if !sources.contains(&seed) {
                sources.push(seed);
            }
        }
        sources.get(self.position.checked_rem(sources.len())?).copied()
    }

    /// Records what came of asking the present source.
    pub fn record(&mut self, outcome: SourceOutcome) {
        match outcome {
            // The chain of the new view is a better choice than the next source of the old one.
            SourceOutcome::LaterView => self.position = 0,
            SourceOutcome::Confirmed => {}
            SourceOutcome::Unconfirmed | SourceOutcome::NoReply => self.position += 1,
        }
    }

    /// Returns to the first source.
    pub fn return_to_first(&mut self) {
        self.position = 0;
    }

    /// Returns the members of the core in order of preference: the chain, with members in the own zone first and
    /// otherwise in an order that depends on the node, so that watchers spread over them; then the other voters.
    fn core_sources(&self, view: &View) -> Vec<SocketAddr> {
        let mut chain: Vec<_> = view.chain.iter().collect();
        chain.sort_by_key(|member| {
            let node_pair = format!("{}/{}", self.node, member.identity.node);
            (member.zone != self.zone, stable_hash(&node_pair))
        });
        let is_in_chain = |peer| view.chain.iter().any(|member| member.peer == peer);
        let other_voters = view.voters.iter().filter(|voter| !is_in_chain(voter.peer));
        chain.into_iter().chain(other_voters).map(|member| member.peer).collect()
    }
}
