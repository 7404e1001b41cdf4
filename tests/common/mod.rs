//! A host that keeps what a gateway asked of it, and a small deployment to run it in.

use fennelgauge::choice::Gateway;
use fennelgauge::host::*;
use fennelgauge::time::{Moment, Span};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Relay(JobId, ServerId, Span),
    Withdraw(JobId, u8),
    Dismiss(JobId),
    Forfeit(JobId),
    Wake(Span, u64),
    Add(CounterKey, f64),
    Among(CounterKey, f64, ConditionalAdd),
}

/// The second says whether the gateways can count among themselves, the third among how many a quota is shared.
#[derive(Clone, Default)]
pub struct Notes(pub Rc<RefCell<Vec<Act>>>, pub Rc<Cell<bool>>, pub Rc<Cell<Option<f64>>>);

impl Notes {
    pub fn take(&self) -> Vec<Act> {
        self.0.take()
    }

    fn put(&self, act: Act) {
        self.0.borrow_mut().push(act);
    }
}

impl Host for Notes {
    fn relay(&mut self, job: JobId, server: ServerId, patience: Span) {
        self.put(Act::Relay(job, server, patience));
    }
    fn cancel_relay(&mut self, job: JobId, relay: u8) {
        self.put(Act::Withdraw(job, relay));
    }
    fn reject(&mut self, job: JobId, _: Option<Span>) {
        self.put(Act::Dismiss(job));
    }
    fn fail(&mut self, job: JobId) {
        self.put(Act::Forfeit(job));
    }
    fn set_timer(&mut self, after: Span, mark: u64) {
        self.put(Act::Wake(after, mark));
    }
    fn add_to_counter(&mut self, name: CounterKey, amount: f64, _: Span) {
        self.put(Act::Add(name, amount));
    }
    fn peers_can_count(&mut self) -> bool {
        self.1.get()
    }
    fn add_to_peer_count(&mut self, name: CounterKey, amount: f64, wanted: ConditionalAdd) {
        self.put(Act::Among(name, amount, wanted));
    }
    fn quota_sharers(&mut self, _: u32, set_size: f64) -> f64 {
        self.2.get().unwrap_or(set_size)
    }
    fn subscribe_to_roster(&mut self) {}
}

pub const CEILING: Ceiling = Ceiling { rate: 3.0, burst: 12.0, slack: 1.0 };

/// Every kind of band; a plan of rate, one of relays out, a soft one with a ceiling.
pub fn deployment() -> Deployment {
    let band = |repeat| ServiceClass {
        latency_target: Span::from_millis(500),
        benefit: 1.0,
        late_benefit_share: 0.1,
        repeat,
    };
    let window = Span::from_millis(300);
    Deployment {
        gateway_count: 2,
        tick: Span::from_millis(2),
        classes: vec![
            band(RepeatPolicy::Idempotent),
            band(RepeatPolicy::Deduplicated(DedupScope::All, window)),
            band(RepeatPolicy::Deduplicated(DedupScope::Cell, window)),
            band(RepeatPolicy::NonIdempotent),
        ],
        plans: vec![
            Plan { rate: 4.0, burst: 12.0, overage_cost: 1.0, ..Plan::default() },
            Plan { max_concurrent_relays: 3.0, overage_cost: 0.5, ..Plan::default() },
            Plan { rate: 15.0, burst: 12.0, overage_share: 0.2, ceiling: Some(CEILING), ..Plan::default() },
        ],
        has_counter: true,
        may_cancel_relays: true,
        max_relays: 4,
        max_retry_after: Some(Span::from_millis(1_000)),
        cold_start: ColdStart {
            initial_share: 0.3,
            warm_after: Span::from_millis(10_000),
            overload_multiple: 2.0,
            overload_window: Span::from_millis(1_000),
        },
        ..Deployment::default()
    }
}

pub fn at(millis: u64) -> Moment {
    Moment::from_micros(1_000_000_000 + millis * 1_000)
}

pub fn entry(server: ServerId, health: Health, started: Option<Moment>) -> RosterEntry {
    RosterEntry { server, health, rating: 1.0, zone: 0, cell: (server % 2) as u16, started }
}

pub fn arrival(job: JobId, band: usize, plan: usize, units: f64, abandon: Moment) -> Arrival {
    Arrival {
        job,
        customer: 7 + plan as u64,
        class: band,
        plan,
        units,
        first_gateway: 0,
        gateway_set_size: 2,
        abandon_at: abandon,
    }
}

/// A gateway that knows `servers` warm servers.
pub fn gateway(deployment: Deployment, servers: u32) -> (Gateway<Notes>, Notes) {
    let notes = Notes::default();
    let mut gateway = Gateway::start(at(0), notes.clone(), deployment, 5);
    gateway.roster_replaced(at(0), (0..servers).map(|id| entry(id, Health::Ready, None)));
    (gateway, notes)
}

pub fn end(job: JobId, server: ServerId, outcome: Outcome, took: u64) -> RelayEnd {
    RelayEnd {
        job,
        server,
        outcome,
        duration: Span::from_millis(took),
        job_finished: outcome == Outcome::Succeeded,
    }
}
