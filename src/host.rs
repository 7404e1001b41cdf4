//! The interface between the decisions and the program that embeds them, and the plain types that cross it.

use crate::time::{Moment, Span};

/// Identifies a job at one gateway; always below [`JOB_ID_LIMIT`].
pub type JobId = u64;
/// Identifies a server of the roster.
pub type ServerId = u32;
/// Identifies a customer, the unit that quotas are kept for.
pub type CustomerId = u64;
/// Names one total that the counter service, or the gateways among themselves, keep.
pub type CounterKey = u64;

/// Exclusive upper limit of job ids, and of the ids of timers that concern a single job.
pub const JOB_ID_LIMIT: u64 = 1 << 52;

/// The actions that a gateway can take; the embedding program carries them out.
pub trait Host {
    /// Sends a job to a server (a relay) and ends the relay as timed out after `timeout`.
    fn relay(&mut self, job: JobId, server: ServerId, timeout: Span);
    /// Stops waiting for one relay of a job; a job's relays are numbered from 0.
    fn cancel_relay(&mut self, job: JobId, relay: u8);
    /// Gives the final answer that a job was not done and may safely be retried, after `retry_after` if given.
    fn reject(&mut self, job: JobId, retry_after: Option<Span>);
    /// Gives the final answer that a job failed and may or may not have taken effect.
    fn fail(&mut self, job: JobId);
    /// Requests a call of `Gateway::timer_fired` with `timer_id`; may be skipped if the id is that of a finished
    /// job.
    fn set_timer(&mut self, after: Span, timer_id: u64);
    /// Adds to a total of the counter service. A new key starts at 0 and is kept for `retention`. The reply comes
    /// through `Gateway::counter_replied`.
    fn add_to_counter(&mut self, key: CounterKey, amount: f64, retention: Span);
    /// Returns whether the gateways can currently keep totals themselves, for when the counter service cannot
    /// serve.
    fn peers_can_count(&mut self) -> bool {
        false
    }
    /// Adds `amount` to a total that the gateways keep, plus the conditional amount if the total permits it. The
    /// reply comes through `Gateway::peer_count_replied`.
    fn add_to_peer_count(&mut self, _key: CounterKey, _amount: f64, _conditional: ConditionalAdd) {}
    /// Returns how many gateways share a customer's quota when no total is available: the gateways of its set,
    /// which starts at `first_gateway`, minus some of those considered failed.
    fn quota_sharers(&mut self, _first_gateway: u32, set_size: f64) -> f64 {
        set_size
    }
    /// Subscribes to changes of the roster; the host keeps retrying if that fails.
    fn subscribe_to_roster(&mut self);
}

/// An amount to add to a total that the gateways keep, unless the total is already too high.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConditionalAdd {
    /// Units to add.
    pub amount: f64,
    /// Highest total at which the amount is added, if the total does not contain the deficit marker.
    pub max_total: f64,
    /// The same limit for a total that contains the marker and the burst deficit carried over from the last window.
    pub max_with_deficit: f64,
}

impl ConditionalAdd {
    /// Returns whether the amount may be added to a total that is `before` now.
    pub fn permits(&self, before: f64) -> bool {
        let has_marker = before >= self.max_with_deficit / 2.0;
        before <= if has_marker { self.max_with_deficit } else { self.max_total }
    }
}

/// The static description of a deployment, given when a gateway starts.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Number of gateways in the deployment.
    pub gateway_count: u32,
    /// Index of this gateway, from 0.
    pub own_index: u32,
    /// Shortest interval at which the host can act.
    pub tick: Span,
    /// Service classes; [`Arrival::class`] is an index into this list.
    pub classes: Vec<ServiceClass>,
    /// Plans; [`Arrival::plan`] is an index into this list.
    pub plans: Vec<Plan>,
    /// Whether a counter service exists.
    pub has_counter: bool,
    /// Whether the host can cancel relays.
    pub may_cancel_relays: bool,
    /// Most relays that one job may have in all, including the first.
    pub max_relays: u8,
    /// Longest retry-after advice that clients follow; `None` if they follow none.
    pub max_retry_after: Option<Span>,
    /// Whether the gateway must subscribe to the roster to receive changes.
    pub subscribe_to_roster: bool,
    /// Capacity and overload limits of servers that have just started.
    pub cold_start: ColdStart,
}

/// How much load a server that has just started can take.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// Capacity at the start, as a share of the capacity when warm.
    pub initial_share: f64,
    /// Time from the start until full capacity; the capacity grows linearly.
    pub warm_after: Span,
    /// A cold server fails if it gets more than this multiple of its capacity within `overload_window`.
    pub overload_multiple: f64,
    /// The period over which the overload is measured.
    pub overload_window: Span,
}

/// A class of jobs with the same latency target, benefit and repeat policy.
#[derive(Clone, Debug)]
pub struct ServiceClass {
    /// Time from arrival within which an answer counts as on time.
    pub latency_target: Span,
    /// Value of an answer on time; never negative.
    pub benefit: f64,
    /// Share of the benefit that a late answer still earns.
    pub late_benefit_share: f64,
    /// Whether a job may run more than once.
    pub repeat: RepeatPolicy,
}

/// Whether a job may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatPolicy {
    /// Running a job again has no further effect.
    Idempotent,
    /// Servers within the scope drop repeats, for the given time after the first relay that may have run.
    Deduplicated(DedupScope, Span),
    /// A job must not run twice.
    NonIdempotent,
}

impl RepeatPolicy {
    /// Returns whether a job may run again on any server at any time, so that a client may also retry it.
    pub fn is_safe(self) -> bool {
        matches!(self, Self::Idempotent | Self::Deduplicated(DedupScope::All, _))
    }

    /// Returns whether a job that may have run at `from` may be sent to `to`, `after` it was sent to `from`.
    pub fn allows(self, from: &RosterEntry, to: &RosterEntry, after: Span) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Deduplicated(scope, window) => {
                let same = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => to.zone == from.zone,
                    DedupScope::Cell => to.cell == from.cell,
                };
                same && after < window
            }
        }
    }
}

/// The servers that share their records of jobs already run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A plan that customers buy: a quota (by rate or by concurrency, or none), a price and an optional hard ceiling.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Quota in units per second; 0 if the plan has no rate quota.
    pub rate: f64,
    /// Units of the rate quota that can be used at once.
    pub burst: f64,
    /// Quota of relays outstanding at once; 0 if the plan has no such quota.
    pub max_concurrent_relays: f64,
    /// Multiplies the benefit of a job; never negative.
    pub price: f64,
    /// Share of the value that a job beyond the quota earns.
    pub overage_share: f64,
    /// Cost of use beyond the quota, on the scale of `price`.
    pub overage_cost: f64,
    /// A limit that must never be exceeded.
    pub ceiling: Option<Ceiling>,
}

impl Plan {
    /// Returns whether the quota is a rate.
    pub fn is_rate_limited(&self) -> bool {
        self.rate > 0.0
    }

    /// Returns whether the plan has any quota.
    pub fn has_quota(&self) -> bool {
        self.is_rate_limited() || self.max_concurrent_relays > 0.0
    }

    /// Returns whether use beyond the rate quota earns something and costs nothing.
    pub fn free_overage(&self) -> bool {
        self.is_rate_limited() && self.overage_share > 0.0 && self.overage_cost <= 0.0
    }

    /// Returns how much of the plan's quota a job uses: its units, or one relay.
    pub fn cost(&self, job: &Arrival) -> f64 {
        if self.is_rate_limited() {
            job.units
        } else {
            1.0
        }
    }
}

/// A hard limit on a customer's use over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct Ceiling {
    /// Units per second.
    pub rate: f64,
    /// Units that can be used at once.
    pub burst: f64,
    /// Units by which the limit may be exceeded without a breach.
    pub slack: f64,
}

/// A job as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Id of the job, unique at this gateway.
    pub job: JobId,
    /// The customer whose quota the job uses.
    pub customer: CustomerId,
    /// Index into [`Deployment::classes`].
    pub class: usize,
    /// Index into [`Deployment::plans`].
    pub plan: usize,
    /// Size of the job in units of the plan.
    pub units: f64,
    /// Index of the first gateway of the set that the customer's jobs arrive through.
    pub first_gateway: u32,
    /// Number of gateways in that set.
    pub gateway_set_size: u32,
    /// When the client gives up on the job.
    pub abandon_at: Moment,
}

/// How a relay, or a call to the counter service, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was answered successfully.
    Succeeded,
    /// The call was answered with an error.
    Error,
    /// The call was refused for lack of capacity and did not run.
    Full,
    /// No answer came in time.
    TimedOut,
    /// The connection could not be opened, so the call was not sent.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    Reset,
    /// The gateway cancelled the call.
    Cancelled,
    /// The call ended before it was sent.
    NotSent,
}

/// The end of a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayEnd {
    /// The job that was relayed.
    pub job: JobId,
    /// The server it was sent to.
    pub server: ServerId,
    /// How the relay ended.
    pub outcome: Outcome,
    /// Time from sending to the end.
    pub duration: Span,
    /// Whether the job needs no further answer.
    pub job_finished: bool,
}

/// Whether a server accepts jobs, according to the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The server accepts jobs.
    Ready,
    /// The server finishes what it has and must get no further jobs.
    Draining,
    /// The server no longer exists.
    #[default]
    Gone,
}

/// One server of the roster.
#[derive(Clone, Copy, Debug, Default)]
pub struct RosterEntry {
    /// Id of the server; it stays the same when the server restarts.
    pub server: ServerId,
    /// Whether the server accepts jobs.
    pub health: Health,
    /// Relative capacity, comparable across servers; 0 or less counts as 1.
    pub rating: f64,
    /// Zone the server is in.
    pub zone: u16,
    /// Cell the server is in.
    pub cell: u16,
    /// Time of the latest start; `None` if long past.
    pub started: Option<Moment>,
}
