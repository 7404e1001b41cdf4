//! The module's host on sockets.

use crate::lifecycle::clock::Clock;
use crate::lifecycle::drain::Stop;
use crate::memory::jobs::Jobs;
use crate::memory::machines::{Link, ServerTable};
use crate::memory::timers::{TimerKind, Timers};
use crate::peers::{self, Peers};
use crate::wire::client::{self, Client};
use crate::wire::counter::{self, Counter};
use crate::wire::discovery::{self, Discovery};
use crate::wire::request::{self, RequestNames};
use crate::wire::server;
use calloop::LoopHandle;
use fennelgauge::choice::Gateway;
use fennelgauge::host::{ConditionalAdd, CounterKey, Host, JobId, Outcome, RelayEnd, ServerId};
use fennelgauge::time::{Moment, Span};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The module and its sockets; what the loop hands to each callback.
pub type Limiter = Gateway<Sockets>;

/// A connection that bytes may be read from or written to, by its number. What the loop found moved is taken in
/// by this order, not by the system's: after a stall all comes at once, and a total or an answer taken in before
/// the list that came with it would send a job to a server that was told to drain long before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moved {
    Discovery(u64),
    Server(u64),
    Counter(u64),
    Peers,
    Client(u64),
}

impl Moved {
    pub fn take_in(self, limiter: &mut Limiter) {
        match self {
            Self::Discovery(key) => discovery::moved(limiter, key),
            Self::Server(key) => server::moved(limiter, key),
            Self::Counter(key) => counter::moved(limiter, key),
            Self::Peers => peers::on_readable(limiter),
            Self::Client(key) => client::moved(limiter, key),
        }
    }
}

/// Everything outside the module.
pub struct Sockets {
    pub handle: LoopHandle<'static, Limiter>,
    pub clock: Clock,
    pub timers: Timers,
    /// How often the module may be woken at most.
    pub tick: Span,
    pub jobs: Jobs,
    pub names: RequestNames,
    pub clients: HashMap<u64, Client>,
    pub links: HashMap<u64, Link>,
    pub machines: ServerTable,
    pub zones: Vec<String>,
    pub idle: Span,
    pub connect_within: Span,
    pub counter: Counter,
    pub discovery: Discovery,
    /// The other gateways, where the operator and the settings let them be spoken to.
    pub peers: Option<Peers>,
    pub stop: Stop,
    /// Connections that may be held, of clients and of all.
    pub most_clients: usize,
    pub most: usize,
    /// Bytes of answers that may wait in memory, of one and of all.
    pub most_answer: usize,
    pub most_answers: usize,
    /// Connections and relays are numbered, so that nothing late is taken for something new.
    pub numbered: u64,
    /// How often anything came in, what of it is not taken in yet, and when it was last looked for.
    pub moves: u64,
    pub moved: BTreeSet<Moved>,
    pub looked: Moment,
    /// What has ended inside a call from the module; it is told after that call.
    pub ended: VecDeque<RelayEnd>,
    pub counted: VecDeque<(CounterKey, Option<f64>, Outcome)>,
    pub left: VecDeque<JobId>,
    /// Clients whose next request may have come already.
    pub resumed: VecDeque<u64>,
}

impl Sockets {
    pub fn number(&mut self) -> u64 {
        self.numbered += 1;
        self.numbered
    }

    pub fn note(&mut self, moved: Moved) {
        self.moves += 1;
        self.moved.insert(moved);
    }

    pub fn count(&mut self, name: CounterKey, total: Option<f64>, outcome: Outcome) {
        self.counted.push_back((name, total, outcome));
    }
}

/// Tells the module what has ended since, until nothing is left to tell.
pub fn settle(limiter: &mut Limiter) {
    loop {
        let now = limiter.host.clock.now();
        if let Some(end) = limiter.host.ended.pop_front() {
            limiter.relay_ended(now, end);
        } else if let Some((name, total, outcome)) = limiter.host.counted.pop_front() {
            limiter.counter_replied(now, name, total, outcome);
        } else if let Some(job) = limiter.host.left.pop_front() {
            limiter.job_closed(now, job);
        } else if let Some(key) = limiter.host.resumed.pop_front() {
            client::serve(limiter, key);
        } else if let Some((name, total)) = limiter.host.peers.as_mut().and_then(Peers::next_outcome) {
            limiter.peer_count_replied(now, name, total);
        } else if !limiter.host.flush_calls() {
            if let Some(peers) = &mut limiter.host.peers {
                peers.send(now);
            }
            return;
        }
    }
}

impl Host for Sockets {
    fn relay(&mut self, job: JobId, server: ServerId, patience: Span) {
        self.check_client_of(job);
        let now = self.clock.now();
        let Some(record) = self.jobs.open.get_mut(&job) else {
            let end =
                RelayEnd { job, server, outcome: Outcome::NotSent, duration: Span::ZERO, job_finished: true };
            return self.ended.push_back(end);
        };
        let number = record.relays;
        record.relays = number.saturating_add(1);
        match self.connection_to(server, now) {
            Ok(key) => self.send(key, job, number, now, patience),
            Err(outcome) => self.ended.push_back(RelayEnd {
                job,
                server,
                outcome,
                duration: Span::ZERO,
                job_finished: false,
            }),
        }
    }

    fn cancel_relay(&mut self, job: JobId, relay: u8) {
        let out = self.jobs.open.get(&job).and_then(|record| record.relay_link);
        let is_it =
            |link: &Link| link.relay.as_ref().is_some_and(|out| (out.job, out.number) == (job, relay));
        if let Some(key) = out.filter(|key| self.links.get(key).is_some_and(is_it)) {
            self.close_link(key, Some(Outcome::Cancelled), "withdrawn");
        }
    }

    fn reject(&mut self, job: JobId, hold_off: Option<Span>) {
        self.finish(job, |out, keep| request::write_response(out, 429, hold_off, keep));
    }

    fn fail(&mut self, job: JobId) {
        self.finish(job, |out, keep| request::write_response(out, 502, None, keep));
    }

    fn set_timer(&mut self, after: Span, mark: u64) {
        // Never at once, and all that is due within one tick together.
        let tick = self.tick.micros().max(1);
        let at = (self.clock.now() + after).micros() / tick * tick;
        self.timers.schedule(Moment::from_micros(at.saturating_add(tick)), TimerKind::Policy(mark));
    }

    fn add_to_counter(&mut self, name: CounterKey, amount: f64, keep: Span) {
        self.call(name, amount, keep);
    }

    fn peers_can_count(&mut self) -> bool {
        let now = self.clock.now();
        self.peers.as_mut().is_some_and(|peers| peers.can_count(now))
    }

    fn add_to_peer_count(&mut self, name: CounterKey, amount: f64, wanted: ConditionalAdd) {
        let now = self.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.add_to_count(now, name, amount, wanted);
        }
    }

    fn quota_sharers(&mut self, first: u32, set_size: f64) -> f64 {
        let now = self.clock.now();
        self.peers.as_mut().map_or(set_size, |peers| peers.quota_sharers(now, first, set_size))
    }

    fn subscribe_to_roster(&mut self) {
        self.schedule_poll();
    }
}
