//! What the decisions need from the program that embeds them, and the plain types that pass between the two.

use crate::time::{Moment, Span};

/// Below [`JOB_ID_LIMIT`].
pub type JobId = u64;
pub type ServerId = u32;
pub type CustomerId = u64;
pub type CounterKey = u64;

/// Ids of jobs are below this, and so are the marks of timers that are only about a job.
pub const JOB_ID_LIMIT: u64 = 1 << 52;

/// The acts open to a gateway.
pub trait Host {
    /// Sends a job to a server and stops waiting for it after `patience`.
    fn relay(&mut self, job: JobId, server: ServerId, patience: Span);
    /// Stops waiting for one relay, numbered from 0 by job.
    fn cancel_relay(&mut self, job: JobId, relay: u8);
    /// Final answer: not done, a retry is harmless, best after `hold_off` where one is named.
    fn reject(&mut self, job: JobId, hold_off: Option<Span>);
    /// Final answer: failed, with no promise about effects.
    fn fail(&mut self, job: JobId);
    /// Asks for a call of `timer_fired` with `mark`. Where the mark is a job's id, none is needed once that is over.
    fn set_timer(&mut self, after: Span, mark: u64);
    /// Adds to a count of the counter; a new name starts at 0 and is kept for `keep`.
    fn add_to_counter(&mut self, name: CounterKey, amount: f64, keep: Span);
    /// Whether the gateways themselves can keep counts now, for while the counter cannot serve.
    fn peers_can_count(&mut self) -> bool {
        false
    }
    /// Adds to a count that the gateways keep, and what is wanted besides where it fits; comes back by `counted_among`.
    fn add_to_peer_count(&mut self, _name: CounterKey, _amount: f64, _wanted: ConditionalAdd) {}
    /// Among how many gateways a customer's quota is shared that is judged alone: those of its set, from the first,
    /// less some that are held to have failed.
    fn quota_sharers(&mut self, _first: u32, set_size: f64) -> f64 {
        set_size
    }
    /// Asks to be told of changes to the roster, from now on and however often that fails.
    fn subscribe_to_roster(&mut self);
}

/// Units wanted of a count that the gateways keep, and the totals above which they are in vain: of a plain total, and
/// of one that holds the mark.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConditionalAdd {
    pub amount: f64,
    pub max_total: f64,
    pub max_with_deficit: f64,
}

impl ConditionalAdd {
    /// The count stands so that the units may be added.
    pub fn permits(&self, before: f64) -> bool {
        let marked = before >= self.max_with_deficit / 2.0;
        before <= if marked { self.max_with_deficit } else { self.max_total }
    }
}

/// A deployment as told at start.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub gateway_count: u32,
    pub own_index: u32,
    /// How often the host can act at most.
    pub tick: Span,
    pub classes: Vec<ServiceClass>,
    pub plans: Vec<Plan>,
    pub has_counter: bool,
    pub may_cancel_relays: bool,
    pub max_relays: u8,
    /// The longest wait that clients take as advice; none where they take no advice.
    pub max_retry_after: Option<Span>,
    pub subscribe_to_roster: bool,
    pub cold_start: ColdStart,
}

/// How a freshly started server has to be treated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    pub initial_share: f64,
    pub warm_after: Span,
    pub overload_multiple: f64,
    pub overload_window: Span,
}

#[derive(Clone, Debug)]
pub struct ServiceClass {
    pub latency_target: Span,
    /// What a job is worth; never negative.
    pub benefit: f64,
    /// Share of the benefit that a late answer earns.
    pub late_benefit_share: f64,
    pub repeat: RepeatPolicy,
}

/// Whether a job may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatPolicy {
    Idempotent,
    /// Repeats are dropped within the group for the span after the first relay that may have run.
    Deduplicated(DedupScope, Span),
    NonIdempotent,
}

impl RepeatPolicy {
    /// May run again anywhere.
    pub fn is_safe(self) -> bool {
        matches!(self, Self::Idempotent | Self::Deduplicated(DedupScope::All, _))
    }

    /// May run again at `to`, that long after it was sent to `from`, where it may have run.
    pub fn allows(self, from: &RosterEntry, to: &RosterEntry, after: Span) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Deduplicated(group, window) => {
                let same = match group {
                    DedupScope::All => true,
                    DedupScope::Zone => to.zone == from.zone,
                    DedupScope::Cell => to.cell == from.cell,
                };
                same && after < window
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    pub burst: f64,
    /// Most relays out at once; 0: no such quota.
    pub max_concurrent_relays: f64,
    /// Multiplies the benefit; never negative.
    pub price: f64,
    pub overage_share: f64,
    pub overage_cost: f64,
    pub ceiling: Option<Ceiling>,
}

impl Plan {
    pub fn is_rate_limited(&self) -> bool {
        self.rate > 0.0
    }

    pub fn has_quota(&self) -> bool {
        self.is_rate_limited() || self.max_concurrent_relays > 0.0
    }

    /// Use beyond the quota earns something and costs nothing.
    pub fn free_overage(&self) -> bool {
        self.is_rate_limited() && self.overage_share > 0.0 && self.overage_cost <= 0.0
    }

    /// What a job takes of its plan's quota: its units, or one relay.
    pub fn cost(&self, job: &Arrival) -> f64 {
        if self.is_rate_limited() {
            job.units
        } else {
            1.0
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Ceiling {
    pub rate: f64,
    pub burst: f64,
    pub slack: f64,
}

/// A job as it comes in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub job: JobId,
    pub customer: CustomerId,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    /// The gateways that the customer's jobs come in through: the first one's index, and how many there are.
    pub first_gateway: u32,
    pub gateway_set_size: u32,
    pub abandon_at: Moment,
}

/// How a relay, or a call to the counter, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
}

#[derive(Clone, Copy, Debug)]
pub struct RelayEnd {
    pub job: JobId,
    pub server: ServerId,
    pub outcome: Outcome,
    pub duration: Span,
    /// The job needs no further answer.
    pub job_finished: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A line of the roster.
#[derive(Clone, Copy, Debug, Default)]
pub struct RosterEntry {
    pub server: ServerId,
    pub health: Health,
    pub rating: f64,
    pub zone: u16,
    pub cell: u16,
    /// Latest start; none: long past.
    pub started: Option<Moment>,
}
