//! The state that a gateway keeps of jobs, servers, customers and the counter. All decisions are in `choice.rs`.

use crate::host::{Arrival, CounterKey, CustomerId, Health, JobId, RosterEntry, ServerId};
use crate::time::{Moment, Span};
use fennelgauge_spread::{RelayRate, Subset};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A job from its arrival to its final answer.
pub(crate) struct Job {
    /// The job as it arrived.
    pub(crate) arrival: Arrival,
    /// How much of its plan's quota it uses.
    pub(crate) cost: f64,
    /// What it waits for.
    pub(crate) stage: Stage,
    /// Time by which an answer counts as on time.
    pub(crate) target: Moment,
    /// Number of relays sent so far.
    pub(crate) relays: u8,
    /// Server of the latest relay.
    pub(crate) server: ServerId,
    /// Start time and server of the first relay that may have run.
    pub(crate) may_have_run: Option<(Moment, RosterEntry)>,
}

impl Job {
    /// Returns whether its units have not been granted yet.
    pub(crate) fn awaits_grant(&self) -> bool {
        matches!(self.stage, Stage::Held | Stage::Drawing)
    }
}

#[derive(Clone, Copy, PartialEq)]
/// What a job waits for.
pub(crate) enum Stage {
    /// Units of the quota.
    Held,
    /// The reply to a draw on the pool of lent units.
    Drawing,
    /// Units of the ceiling, or a server; the quota has been granted.
    Admitted,
    /// The answer to a relay that was sent at this time.
    Relayed(Moment),
}

/// Roster entry and measurements of one server.
#[derive(Default)]
pub(crate) struct Server {
    /// Latest entry of the roster.
    pub(crate) entry: RosterEntry,
    /// Relays in progress from this gateway.
    pub(crate) active: f64,
    /// Limit of relays in progress; below 1, relays are spaced by pauses instead.
    pub(crate) limit: f64,
    /// When the limit was last lowered.
    pub(crate) last_cut: Moment,
    /// End of the pause that spaces relays while the limit is below 1.
    pub(crate) pause_until: Moment,
    /// Latest success, or the start of the first relay in progress if that is later.
    pub(crate) last_alive: Moment,
    /// Mean time between successes in seconds.
    pub(crate) mean_gap_s: f64,
    /// Share of recent relays that failed (moving average).
    pub(crate) failure_share: f64,
    /// When the latest relay was sent.
    pub(crate) last_relay: Moment,
    /// Units per second answered successfully (moving average).
    pub(crate) throughput: Bucket,
    /// Units sent while cold and not yet worked off.
    pub(crate) cold_load: Bucket,
}

/// Servers in the order in which one customer uses them.
#[derive(Default)]
pub(crate) struct Ranking {
    /// The order; the first server with capacity is used.
    pub(crate) order: Vec<ServerId>,
    /// Version of the roster that the order was made from.
    pub(crate) version: u64,
}

/// What is known of all servers together.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Version of the roster: the number of changes so far.
    pub(crate) version: u64,
    /// This gateway's subset of the servers, the same for all customers.
    pub(crate) subset: Subset,
    /// Version of the roster and wanted size that the subset was made for.
    pub(crate) subset_basis: (u64, f64),
    /// Relays per second of this gateway.
    pub(crate) relay_rate: RelayRate,
    /// Admitted jobs that no server had capacity for, by benefit, target time and id.
    pub(crate) backlog: BTreeSet<(u64, Moment, JobId)>,
    /// Whether a timer is set to try the backlog again.
    pub(crate) backlog_timer_set: bool,
    /// Servers count as saturated until then, as some job found none with capacity.
    pub(crate) saturated_until: Moment,
    /// Mean time to an answer in seconds.
    pub(crate) answer_s: f64,
    /// Mean units of an answered job.
    pub(crate) mean_units: f64,
    /// Usual answer time of servers without overload, as a fraction of the latency target.
    pub(crate) baseline: f64,
    /// Recent answer time of all servers, as a fraction of the latency target.
    pub(crate) slowness: f64,
    /// Relays in progress from this gateway.
    pub(crate) active: f64,
    /// Number of ready servers.
    pub(crate) ready: f64,
    /// Limit of relays in progress per ready server, for when the limit of each one is below 1.
    pub(crate) limit: f64,
    /// End of the pause that spaces relays while the total limit is below 1.
    pub(crate) pause_until: Moment,
    /// Units per second, per unit of rating, that warm servers carried when there last were some.
    pub(crate) throughput: f64,
    /// Retries that may still be sent; earned by first relays.
    pub(crate) retry_budget: f64,
}

/// Quota and ceiling of one customer, as seen by this gateway.
#[derive(Default)]
pub(crate) struct Customer {
    /// Index of the plan of the latest job.
    pub(crate) plan: usize,
    /// Latest abandon time of its jobs.
    pub(crate) active_until: Moment,
    /// Index of the first gateway of its set.
    pub(crate) first_gateway: u32,
    /// Number of gateways in its set.
    pub(crate) set_size: f64,
    /// Its order of servers; with many gateways, the fleet's subset is used instead.
    pub(crate) ranking: Ranking,
    /// Jobs that wait for units of the quota, oldest first.
    pub(crate) held_jobs: VecDeque<JobId>,
    /// Number of the current window.
    pub(crate) window: u64,
    /// Start of the current window.
    pub(crate) window_start: Moment,
    /// Units used through this gateway in the window, plus earlier ones not yet reported.
    pub(crate) used: f64,
    /// Units of `used` that were added to the total of the counter.
    pub(crate) reported: f64,
    /// Units of `used` that were added to the peer count.
    pub(crate) reported_to_peers: f64,
    /// Units of `used` that are from earlier windows and were never reported.
    pub(crate) older_debt: f64,
    /// Latest total known in the window.
    pub(crate) total: f64,
    /// Units that the last window left unused, as far as known.
    pub(crate) last_unused: f64,
    /// The call in progress.
    pub(crate) call: Option<Call>,
    /// Whether it waits in the queue of counter calls.
    pub(crate) queued: bool,
    /// No call is made before this time.
    pub(crate) next_call: Moment,
    /// Interval between calls that grant nothing, in seconds.
    pub(crate) interval_s: f64,
    /// Units granted here beyond what this gateway's share of the quota has refilled.
    pub(crate) excess: Bucket,
    /// This gateway's share of the ceiling: units per second and at once.
    pub(crate) ceiling: Option<(f64, f64)>,
    /// Units spent of that share and not yet refilled.
    pub(crate) spent: Bucket,
}

/// Drops customers without a job for `kept`, unless their share of a ceiling is still partly spent. Runs only
/// before a new customer is added and when the number of customers is a power of two, so its cost per customer is
/// constant.
pub(crate) fn drop_idle_customers(
    customers: &mut BTreeMap<CustomerId, Customer>,
    new: CustomerId,
    now: Moment,
    kept: Span,
) {
    if customers.len().is_power_of_two() && !customers.contains_key(&new) {
        customers.retain(|_, customer| {
            let has_spent = customer.ceiling.is_some_and(|(rate, _)| customer.spent.drained(rate, now) > 0.0);
            has_spent || now < customer.active_until + kept
        });
    }
}

/// A call to the counter or the peer count that is in progress.
pub(crate) struct Call {
    /// Jobs whose units the call requests, with their costs.
    pub(crate) jobs: Vec<(JobId, f64)>,
    /// Units added by the call, including earlier unreported ones.
    pub(crate) amount: f64,
    /// Window whose total the call concerns.
    pub(crate) window: u64,
    /// What the call is for.
    pub(crate) step: Step,
    /// When the call was sent.
    pub(crate) sent: Moment,
    /// Whether it went to the peer count instead of the counter.
    pub(crate) to_peers: bool,
}

impl Customer {
    /// Returns the units that were added to the peer count, or to the total of the counter.
    pub(crate) fn reported(&mut self, to_peers: bool) -> &mut f64 {
        if to_peers {
            &mut self.reported_to_peers
        } else {
            &mut self.reported
        }
    }
}

/// What a call is for. The later steps carry the total to continue with.
#[derive(Clone, Copy)]
pub(crate) enum Step {
    /// Adds units and returns the total.
    Add,
    /// Reads the last window's total.
    ReadLastWindow(f64),
    /// Adds the marker and the burst deficit at the start of the window, for all gateways.
    AddDeficit(f64),
}

/// State of the calls to the counter.
#[derive(Default)]
pub(crate) struct Counter {
    /// Mean duration of a call in seconds.
    pub(crate) call_s: f64,
    /// Calls in progress.
    pub(crate) active: f64,
    /// Limit of calls in progress; below 1, calls are spaced by pauses instead.
    pub(crate) limit: f64,
    /// The limit just after the first failure of the latest run of failures.
    pub(crate) stable_limit: f64,
    /// Whether the latest call was answered.
    pub(crate) last_answered: bool,
    /// End of the pause that spaces calls.
    pub(crate) pause_until: Moment,
    /// Until then peer counts are used, if available, as calls had to wait recently.
    pub(crate) use_peers_until: Moment,
    /// Customers that wait for a call, by benefit and time.
    pub(crate) queue: BTreeSet<(u64, Moment, CustomerId)>,
}

/// Units that customers left unused, lent to plans with free overage.
#[derive(Default)]
pub(crate) struct Pool {
    /// Units to add to the next pool.
    pub(crate) to_lend: f64,
    /// Units are not added before this time.
    pub(crate) next_lend: Moment,
    /// The draw in progress: key of the pool, units drawn, jobs they are for.
    pub(crate) pending_draw: Option<(CounterKey, f64, Vec<JobId>)>,
}

impl Server {
    /// Returns whether it is gone, without relays in progress and without a new one for `kept`.
    pub(crate) fn can_be_dropped(&self, now: Moment, kept: Span) -> bool {
        self.entry.health == Health::Gone && self.active <= 0.0 && now >= self.last_relay + kept
    }

    /// Returns whether it accepts jobs.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.health == Health::Ready
    }
}

/// An amount that shrinks over time, linearly or exponentially.
#[derive(Clone, Copy, Default)]
pub(crate) struct Bucket {
    /// The amount at `at`.
    pub(crate) amount: f64,
    /// When the amount was last set.
    pub(crate) at: Moment,
}

impl Bucket {
    /// Returns what is left if `rate` flows out per second.
    pub(crate) fn drained(self, rate: f64, now: Moment) -> f64 {
        (self.amount - rate * now.since(self.at).secs()).max(0.0)
    }

    /// Returns what is left after exponential decay with the given time constant.
    pub(crate) fn decayed(self, time_constant_s: f64, now: Moment) -> f64 {
        self.amount * (-now.since(self.at).secs() / time_constant_s).exp()
    }
}
