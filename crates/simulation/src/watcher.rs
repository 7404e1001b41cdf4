//! Simulated watchers: processes that find the core through their seeds and follow its views, as data planes, stores and
//! control planes without a disk do.

use std::net::SocketAddr;

use fennelgauge_coordination::{SourceOutcome, SourceSelector, View};

use crate::day::{Micros, MILLISECOND};

/// Time after which the view that a source confirmed counts as unconfirmed.
pub const CONFIRMATION_TTL: Micros = 1_500 * MILLISECOND;
/// Time after which a request without a reply is given up.
pub const REPLY_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Time between a confirmed reply and the next request.
const WATCH_INTERVAL: Micros = 400 * MILLISECOND;
/// Pause after a request that did not help.
const RETRY_DELAY: Micros = 100 * MILLISECOND;

/// What a source replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchReply {
    /// The newest view that the source knows, if any.
    pub view: Option<View>,
    /// When a majority confirmed that view last, as far as the source knows.
    pub confirmed_at: Option<Micros>,
}

/// A watching process. What it knows is lost when it restarts.
#[derive(Debug)]
pub struct Watcher {
    /// Number of the watcher in the network.
    pub node: usize,
    /// Number of the latest request; replies to earlier ones are ignored.
    pub attempt: u64,
    selector: SourceSelector,
    view: Option<View>,
    confirmed_at: Option<Micros>,
}

impl Watcher {
    /// Creates a watcher that knows nothing.
    pub fn new(node: usize) -> Self {
        Self {
            node,
            attempt: 0,
            selector: SourceSelector::new(format!("machine-{node}"), format!("zone-{}", node % 4)),
            view: None,
            confirmed_at: None,
        }
    }

    /// Restarts the process: it forgets everything.
    pub fn restart(&mut self) {
        *self = Self { attempt: self.attempt + 1, ..Self::new(self.node) };
    }

    /// Returns the source to ask, given the seeds of the settings.
    pub fn source(&self, seeds: Vec<SocketAddr>) -> Option<SocketAddr> {
        self.selector.source(self.view.as_ref(), || seeds)
    }

    /// Returns what this process replies to others that watch it.
    pub fn reply(&self) -> WatchReply {
        WatchReply { view: self.view.clone(), confirmed_at: self.confirmed_at }
    }

    /// Takes in a view that this process learned in another way.
    pub fn learn_view(&mut self, view: &View) {
        if view.epoch > self.epoch() {
            self.view = Some(view.clone());
        }
    }

    /// Returns the epoch of the newest view known here, 0 without one.
    pub fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Returns when the view known here was confirmed last.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at
    }

    /// Handles the reply to the latest request, or its absence. Returns the time until the next request.
    pub fn handle_reply(&mut self, now: Micros, reply: Option<WatchReply>) -> Micros {
        self.attempt += 1;
        let outcome = reply.map_or(SourceOutcome::NoReply, |reply| self.apply(now, reply));
        self.selector.record(outcome);
        match outcome {
            SourceOutcome::LaterView => 0,
            SourceOutcome::Confirmed => WATCH_INTERVAL,
            SourceOutcome::Unconfirmed | SourceOutcome::NoReply => RETRY_DELAY,
        }
    }

    fn apply(&mut self, now: Micros, reply: WatchReply) -> SourceOutcome {
        let previous = self.epoch();
        if let Some(view) = &reply.view {
            self.learn_view(view);
        }
        self.confirmed_at = self.confirmed_at.max(reply.confirmed_at);
        let is_confirmed = reply.confirmed_at.is_some_and(|at| now <= at + CONFIRMATION_TTL);
        match is_confirmed {
            _ if self.epoch() > previous => SourceOutcome::LaterView,
            true => SourceOutcome::Confirmed,
            false => SourceOutcome::Unconfirmed,
        }
    }
}
