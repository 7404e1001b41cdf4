//! One gateway of a simulated play: the decision module, and what its adapter keeps for it.

use super::Word;
use crate::chance::{of, Use};
use crate::record::Answer;
use crate::scenario::Scenario;
use crate::target::Layout;
use crate::told;
use fennelgauge::choice::Gateway;
use fennelgauge::host::{
    Arrival, ConditionalAdd, CounterKey, Deployment, Host, JobId, Outcome, RelayEnd, RosterEntry, ServerId,
};
use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::node::{MembershipNode, NodeConfig};
use fennelgauge_membership::view::StateChange;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// What a gateway asks of its host.
#[derive(Clone, Debug)]
pub enum Deed {
    Relay(JobId, ServerId, Span),
    Withdraw(JobId, u8),
    Answer(JobId, Answer, Option<Span>),
    Wake(Moment, u64),
    Add(CounterKey, f64, Span),
}

#[derive(Clone, Default)]
pub struct Desk {
    deeds: Rc<RefCell<VecDeque<Deed>>>,
    now: Rc<Cell<Moment>>,
    tick: Span,
    /// The other gateways, where the scenario switches membership on; and whether shares follow from the view.
    circle: Rc<RefCell<Option<MembershipNode>>>,
    shares: bool,
}

impl Desk {
    fn put(&self, deed: Deed) {
        self.deeds.borrow_mut().push_back(deed);
    }
}

impl Host for Desk {
    fn relay(&mut self, job: JobId, server: ServerId, patience: Span) {
        self.put(Deed::Relay(job, server, patience));
    }
    fn cancel_relay(&mut self, job: JobId, relay: u8) {
        self.put(Deed::Withdraw(job, relay));
    }
    fn reject(&mut self, job: JobId, hold_off: Option<Span>) {
        self.put(Deed::Answer(job, Answer::Dismissed, hold_off));
    }
    fn fail(&mut self, job: JobId) {
        self.put(Deed::Answer(job, Answer::Forfeited, None));
    }
    fn set_timer(&mut self, after: Span, mark: u64) {
        // As the gateway on sockets does: never at once, and all of one tick together.
        let tick = self.tick.micros().max(1);
        let at = (self.now.get() + after).micros() / tick * tick;
        self.put(Deed::Wake(Moment::from_micros(at.saturating_add(tick)), mark));
    }
    fn add_to_counter(&mut self, name: CounterKey, amount: f64, keep: Span) {
        // The wire carries four digits after the point.
        self.put(Deed::Add(name, (amount * 1e4).round() / 1e4, keep));
    }
    fn peers_can_count(&mut self) -> bool {
        self.circle.borrow_mut().as_mut().is_some_and(|circle| circle.can_count(self.now.get()))
    }
    fn add_to_peer_count(&mut self, name: CounterKey, amount: f64, wanted: ConditionalAdd) {
        if let Some(circle) = self.circle.borrow_mut().as_mut() {
            circle.add_to_count(self.now.get(), name, amount, wanted);
        }
    }
    fn quota_sharers(&mut self, first: u32, set_size: f64) -> f64 {
        let mut circle = self.circle.borrow_mut();
        let circle = circle.as_mut().filter(|_| self.shares);
        circle.map_or(set_size, |circle| circle.quota_sharers(self.now.get(), first, set_size))
    }
    fn subscribe_to_roster(&mut self) {}
}

/// What comes of seeing to a gateway's circle.
pub struct Round {
    pub sends: Vec<(u32, Vec<u8>)>,
    pub changes: Vec<StateChange>,
    pub next: Moment,
}

pub struct Node {
    gateway: Option<Gateway<Desk>>,
    desk: Desk,
    deployment: Deployment,
    number: u32,
    membership: Option<crate::scenario::Membership>,
    zone: Option<u8>,
    /// When its circle is next seen to.
    pub looks: Moment,
    /// How often it was started.
    pub life: u32,
    pub stopped: bool,
    /// What came while it was stopped.
    pub inbox: Vec<Word>,
    /// Told to stop: ends then at the earliest, and starts again so long after.
    pub ends: Option<(Moment, Span)>,
    /// Jobs without a final answer.
    pub open: BTreeSet<JobId>,
    /// Its relays by job and number.
    pub relays: BTreeMap<(JobId, u8), u64>,
    made: BTreeMap<JobId, u8>,
    /// Idle connections: since when they are, and were made.
    idle: BTreeMap<ServerId, Vec<(Moment, Moment)>>,
    /// The version of the list that it was told.
    pub version: usize,
}

impl Node {
    pub fn new(scenario: &Scenario, layout: &Layout, number: u32) -> Self {
        let launch = serde_json::from_value(told::settings(scenario, layout, number));
        // Settings that are made here are read there; without any, a gateway would stand alone.
        let deployment =
            launch.map(|launch: fennelgauge_launch::LaunchSettings| launch.deployment).unwrap_or_default();
        let shares = scenario.membership.as_ref().is_some_and(|it| it.shares);
        let desk = Desk { tick: deployment.tick, shares, ..Desk::default() };
        let zone = layout.gateways.get(number as usize).and_then(|zone| u8::try_from(*zone).ok());
        Self {
            gateway: None,
            desk,
            deployment,
            number,
            membership: scenario.membership.clone(),
            zone,
            looks: Moment::default(),
            life: 0,
            stopped: false,
            inbox: Vec::new(),
            ends: None,
            open: BTreeSet::new(),
            relays: BTreeMap::new(),
            made: BTreeMap::new(),
            idle: BTreeMap::new(),
            version: 0,
        }
    }

    pub fn is_up(&self) -> bool {
        self.gateway.is_some()
    }

    pub fn is(&self, life: u32) -> bool {
        self.is_up() && self.life == life
    }

    pub fn start(&mut self, now: Moment, seed: u64, version: usize, entries: &[RosterEntry]) {
        self.life += 1;
        self.desk.now.set(now);
        let seed = of(seed, Use::Gateways, u64::from(self.number) << 20 | u64::from(self.life)).random();
        let circle = self.membership.as_ref().map(|membership| {
            let (own_index, member_count) = (self.number as u16, self.deployment.gateway_count as u16);
            let Self { zone, .. } = *self;
            let (max_datagrams_per_s, peer_counting) = (membership.mail_per_s, membership.counts);
            MembershipNode::start(
                now,
                NodeConfig { own_index, member_count, zone, max_datagrams_per_s, peer_counting, seed },
            )
        });
        *self.desk.circle.borrow_mut() = circle;
        self.looks = now;
        let mut gateway = Gateway::start(now, self.desk.clone(), self.deployment.clone(), seed);
        gateway.roster_replaced(now, entries.iter().copied());
        (self.gateway, self.version) = (Some(gateway), version);
    }

    /// All that it held is lost.
    pub fn end(&mut self) {
        self.gateway = None;
        *self.desk.circle.borrow_mut() = None;
        self.desk.deeds.borrow_mut().clear();
        self.inbox.clear();
        self.open.clear();
        self.relays.clear();
        self.made.clear();
        self.idle.clear();
        (self.stopped, self.ends) = (false, None);
    }

    /// A job has its final answer, or its client has left; false if it was over before.
    pub fn close(&mut self, job: JobId) -> bool {
        let made = self.made.remove(&job).unwrap_or_default();
        (0..made).for_each(|nth| {
            self.relays.remove(&(job, nth));
        });
        self.open.remove(&job)
    }

    pub fn has_deeds(&self) -> bool {
        !self.desk.deeds.borrow().is_empty()
    }

    pub fn deed(&mut self) -> Option<Deed> {
        self.desk.deeds.borrow_mut().pop_front()
    }

    fn with(&mut self, now: Moment, tell: impl FnOnce(&mut Gateway<Desk>)) {
        self.desk.now.set(now);
        if let Some(gateway) = &mut self.gateway {
            tell(gateway);
        }
    }

    pub fn arrived(&mut self, now: Moment, arrival: Arrival) {
        self.with(now, |gateway| gateway.job_arrived(now, arrival));
    }

    pub fn timer_fired(&mut self, now: Moment, mark: u64) {
        self.with(now, |gateway| gateway.timer_fired(now, mark));
    }

    pub fn left(&mut self, now: Moment, job: JobId) {
        self.with(now, |gateway| gateway.job_closed(now, job));
    }

    pub fn counted(&mut self, now: Moment, name: CounterKey, total: Option<f64>, outcome: Outcome) {
        self.with(now, |gateway| gateway.counter_replied(now, name, total, outcome));
    }

    pub fn told(&mut self, now: Moment, entries: &[RosterEntry]) {
        self.with(now, |gateway| gateway.roster_changed(now, entries.iter().copied()));
    }

    pub fn relay_ended(&mut self, now: Moment, end: RelayEnd) {
        self.with(now, |gateway| gateway.relay_ended(now, end));
    }

    /// A datagram has come.
    pub fn mail(&mut self, now: Moment, from: u32, bytes: &[u8]) {
        if let Some(circle) = self.desk.circle.borrow_mut().as_mut() {
            // What is refused is counted there.
            let _ = circle.receive(now, Some(from as u16), bytes);
        }
    }

    /// Sees to the circle: what is due, what it tells the gateway, what it sends, and when it wants to be seen to next.
    pub fn circle(&mut self, now: Moment) -> Option<Round> {
        self.desk.now.set(now);
        let due = |circle: &mut MembershipNode| {
            if circle.next_due_at(now) <= now {
                circle.run_due(now);
            }
        };
        self.desk.circle.borrow_mut().as_mut().map(due)?;
        loop {
            let results = self.desk.circle.borrow_mut().as_mut().map(MembershipNode::take_outcomes)?;
            if results.is_empty() {
                break;
            }
            for (name, outcome) in results {
                self.with(now, |gateway| gateway.peer_count_replied(now, name, outcome));
            }
        }
        let mut circle = self.desk.circle.borrow_mut();
        let circle = circle.as_mut()?;
        let sends =
            circle.take_datagrams(now).into_iter().map(|(to, bytes)| (u32::from(to), bytes)).collect();
        Some(Round { sends, changes: circle.take_changes(), next: circle.next_due_at(now) })
    }

    pub fn relayed(&mut self, job: JobId, relay: u64) {
        let made = self.made.entry(job).or_default();
        self.relays.insert((job, *made), relay);
        *made = made.saturating_add(1);
    }

    /// The idle connection used last, as the others grow old; returns when it was made.
    pub fn idle_link(&mut self, server: ServerId, now: Moment, idle: Span) -> Option<Moment> {
        let links = self.idle.get_mut(&server)?;
        let (since, made) = links.pop()?;
        if now.since(since) < idle {
            return Some(made);
        }
        links.clear();
        None
    }

    pub fn rest_link(&mut self, server: ServerId, made: Moment, now: Moment) {
        self.idle.entry(server).or_default().push((now, made));
    }

    /// The server's connections are gone.
    pub fn forget(&mut self, server: ServerId) {
        self.idle.remove(&server);
    }
}
