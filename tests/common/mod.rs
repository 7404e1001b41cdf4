//! A host that records the actions of a gateway, and a small deployment for tests.

use fennelgauge::choice::Gateway;
use fennelgauge::host::*;
use fennelgauge::time::{Moment, Span};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Relay(JobId, ServerId, Span),
    CancelRelay(JobId, u8),
    Reject(JobId),
    Fail(JobId),
    SetTimer(Span, u64),
    AddToCounter(CounterKey, f64),
    AddToPeerCount(CounterKey, f64, ConditionalAdd),
}

/// Records all actions. Clones share their state, so that a test can hold one beside the gateway.
#[derive(Clone, Default)]
pub struct RecordingHost {
    actions: Rc<RefCell<Vec<Action>>>,
    /// Whether the gateways can keep totals themselves.
    pub peers_can_count: Rc<Cell<bool>>,
    /// Among how many gateways a quota is shared; `None` for all of the customer's set.
    pub sharers: Rc<Cell<Option<f64>>>,
}

impl RecordingHost {
    /// Returns the actions since the last call.
    pub fn take(&self) -> Vec<Action> {
        self.actions.take()
    }

    fn record(&self, action: Action) {
        self.actions.borrow_mut().push(action);
    }
}

impl Host for RecordingHost {
    fn relay(&mut self, job: JobId, server: ServerId, timeout: Span) {
        self.record(Action::Relay(job, server, timeout));
    }
    fn cancel_relay(&mut self, job: JobId, relay: u8) {
        self.record(Action::CancelRelay(job, relay));
    }
    fn reject(&mut self, job: JobId, _: Option<Span>) {
        self.record(Action::Reject(job));
    }
    fn fail(&mut self, job: JobId) {
        self.record(Action::Fail(job));
    }
    fn set_timer(&mut self, after: Span, timer_id: u64) {
        self.record(Action::SetTimer(after, timer_id));
    }
    fn add_to_counter(&mut self, key: CounterKey, amount: f64, _: Span) {
        self.record(Action::AddToCounter(key, amount));
    }
    fn peers_can_count(&mut self) -> bool {
        self.peers_can_count.get()
    }
    fn add_to_peer_count(&mut self, key: CounterKey, amount: f64, conditional: ConditionalAdd) {
        self.record(Action::AddToPeerCount(key, amount, conditional));
    }
    fn quota_sharers(&mut self, _: u32, set_size: f64) -> f64 {
        self.sharers.get().unwrap_or(set_size)
    }
    fn subscribe_to_roster(&mut self) {}
}

/// The ceiling of the plan with free overage.
pub const CEILING: Ceiling = Ceiling { rate: 3.0, burst: 12.0, slack: 1.0 };

/// One service class per repeat policy; plans with a rate quota, a concurrency quota, and free overage with a ceiling.
pub fn deployment() -> Deployment {
    let class = |repeat| ServiceClass {
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
            class(RepeatPolicy::Idempotent),
            class(RepeatPolicy::Deduplicated(DedupScope::All, window)),
            class(RepeatPolicy::Deduplicated(DedupScope::Cell, window)),
            class(RepeatPolicy::NonIdempotent),
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

/// Returns a time in milliseconds after the start of the test.
pub fn at(millis: u64) -> Moment {
    Moment::from_micros(1_000_000_000 + millis * 1_000)
}

/// Returns a roster entry; servers with even and odd ids are in two cells.
pub fn entry(server: ServerId, health: Health, started: Option<Moment>) -> RosterEntry {
    RosterEntry { server, health, rating: 1.0, zone: 0, cell: (server % 2) as u16, started }
}

/// Returns a job of the plan's only customer, whose jobs arrive through two gateways.
pub fn arrival(job: JobId, class: usize, plan: usize, units: f64, abandon: Moment) -> Arrival {
    Arrival {
        job,
        customer: 7 + plan as u64,
        class,
        plan,
        units,
        first_gateway: 0,
        gateway_set_size: 2,
        abandon_at: abandon,
    }
}

/// Starts a gateway that knows `servers` warm servers, and returns it with its host.
pub fn gateway(deployment: Deployment, servers: u32) -> (Gateway<RecordingHost>, RecordingHost) {
    let host = RecordingHost::default();
    let mut gateway = Gateway::start(at(0), host.clone(), deployment, 5);
    gateway.roster_replaced(at(0), (0..servers).map(|id| entry(id, Health::Ready, None)));
    (gateway, host)
}

/// Returns the end of a relay after `took` milliseconds.
pub fn end(job: JobId, server: ServerId, outcome: Outcome, took: u64) -> RelayEnd {
    RelayEnd {
        job,
        server,
        outcome,
        duration: Span::from_millis(took),
        job_finished: outcome == Outcome::Succeeded,
    }
}
