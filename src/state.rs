//! What a gateway remembers; `choice.rs` alone decides by it.

use crate::host::{Arrival, CounterKey, CustomerId, Health, JobId, RosterEntry, ServerId};
use crate::time::{Moment, Span};
use fennelgauge_spread::{RelayRate, Subset};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) struct Job {
    pub(crate) arrival: Arrival,
    /// What it takes of its plan's quota.
    pub(crate) cost: f64,
    pub(crate) stage: Stage,
    /// When an answer is wanted.
    pub(crate) target: Moment,
    pub(crate) relays: u8,
    /// The latest relay's server.
    pub(crate) server: ServerId,
    /// When the first relay that may have run was sent, and where.
    pub(crate) may_have_run: Option<(Moment, RosterEntry)>,
}

impl Job {
    /// Nothing was granted to it yet.
    pub(crate) fn ungranted(&self) -> bool {
        matches!(self.stage, Stage::Held | Stage::Drawing)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Stage {
    /// Held until the quota has room.
    Held,
    /// Draws on the pool.
    Drawing,
    /// The quota has room; waits for the ceiling or a server.
    Cleared,
    /// A relay is out since then.
    Out(Moment),
}

/// All that is known of one server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: RosterEntry,
    pub(crate) out: f64,
    /// Relays that it may have of this gateway at once before it has enough.
    pub(crate) bound: f64,
    pub(crate) cut: Moment,
    /// Rests until then where less than one relay at a time is enough.
    pub(crate) rested: Moment,
    /// The latest sign of health while it owed answers, or since when it owes one.
    pub(crate) heard: Moment,
    /// The usual span between such signs, in seconds.
    pub(crate) gap: f64,
    /// Share of late relays that ended badly.
    pub(crate) failing: f64,
    pub(crate) tried: Moment,
    /// Units a second it answered well, decaying.
    pub(crate) carried: Level,
    /// Units sent while cold and not yet worked off.
    pub(crate) push: Level,
}

/// The servers in an order, as of a state of the roster.
#[derive(Default)]
pub(crate) struct Ranking {
    pub(crate) order: Vec<ServerId>,
    pub(crate) roster: u64,
}

/// What is known of all servers together.
#[derive(Default)]
pub(crate) struct Fleet {
    /// How often the roster has changed.
    pub(crate) roster: u64,
    /// This gateway's slice of the servers, the same for all customers; as of which state of the roster, and how
    /// many servers were wanted.
    pub(crate) subset: Subset,
    pub(crate) sliced: (u64, f64),
    /// Relays a second.
    pub(crate) pace: RelayRate,
    /// Jobs with room in their quota that no server had room for, by benefit, then target time.
    pub(crate) backlog: BTreeSet<(u64, Moment, JobId)>,
    /// A timer is set to try it again.
    pub(crate) stirs: bool,
    /// Some job found no server shortly before.
    pub(crate) pressed_until: Moment,
    /// How long answers take of late, in seconds, and how many units their jobs have.
    pub(crate) usual: f64,
    pub(crate) units: f64,
    /// How long answers to usual jobs take of unhurried servers, and of all, in target times.
    pub(crate) calm: f64,
    pub(crate) slow: f64,
    /// Relays out through this gateway, how many there may be for each ready server where its part of one is
    /// below one relay, and how many servers are ready.
    pub(crate) out: f64,
    pub(crate) ready: f64,
    pub(crate) bound: f64,
    pub(crate) rested: Moment,
    /// Units a second by rating that warm servers carried when some were last there.
    pub(crate) carried: f64,
    /// Further relays that may still be made; earned by first ones.
    pub(crate) spare: f64,
}

#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    /// When its last job is over at the latest.
    pub(crate) until: Moment,
    pub(crate) set_first: u32,
    pub(crate) set_size: f64,
    /// The servers in this customer's order; with many gateways the fleet's slice stands for all.
    pub(crate) ranking: Ranking,
    pub(crate) waiting: VecDeque<JobId>,
    pub(crate) window: u64,
    pub(crate) began: Moment,
    /// Units used through this gateway in the window, and how many of them the count was told.
    pub(crate) used: f64,
    pub(crate) told: f64,
    /// The same of the count that the gateways keep among themselves.
    pub(crate) told_among: f64,
    /// Of the units used, those of former windows that no count was told of.
    pub(crate) owed: f64,
    /// The latest total heard in the window.
    pub(crate) total: f64,
    /// What the last window left unused, as far as known.
    pub(crate) unused: f64,
    pub(crate) ask: Option<Ask>,
    /// Waits for its turn to call the counter.
    pub(crate) queued: bool,
    /// Not asked for before; and how far asks in vain are apart, in seconds.
    pub(crate) shut: Moment,
    pub(crate) apart: f64,
    /// Units ahead of this gateway's part of the pace.
    pub(crate) ahead: Level,
    /// This gateway's own share of the ceiling, in units a second and at once, and what is spent of it.
    pub(crate) ceiling: Option<(f64, f64)>,
    pub(crate) spent: Level,
}

/// Before a new customer comes in and whenever the records have doubled, those are let go that had no job for
/// `kept`. One that still owes to its share of a ceiling stays.
pub(crate) fn let_go(
    customers: &mut BTreeMap<CustomerId, Customer>,
    new: CustomerId,
    now: Moment,
    kept: Span,
) {
    if customers.len().is_power_of_two() && !customers.contains_key(&new) {
        customers.retain(|_, known| {
            let owes = known.ceiling.is_some_and(|(rate, _)| known.spent.drained(rate, now) > 0.0);
            owes || now < known.until + kept
        });
    }
}

/// A call to the counter that is out, and the jobs whose units it carries.
pub(crate) struct Ask {
    pub(crate) jobs: Vec<(JobId, f64)>,
    pub(crate) amount: f64,
    pub(crate) window: u64,
    pub(crate) step: Step,
    pub(crate) sent: Moment,
    /// It went to the gateways' own count in place of the counter's.
    pub(crate) among: bool,
}

impl Customer {
    /// How many of the units used the count was told, of the counter or of the gateways among themselves.
    pub(crate) fn told(&mut self, among: bool) -> &mut f64 {
        if among {
            &mut self.told_among
        } else {
            &mut self.told
        }
    }
}

/// What a call is for; with the total that it goes on from.
#[derive(Clone, Copy)]
pub(crate) enum Step {
    Count,
    /// Reads the last window's count.
    LookUp(f64),
    /// Tells all what the burst lacked.
    Tell(f64),
}

#[derive(Default)]
pub(crate) struct Counter {
    /// How long calls take of late, in seconds.
    pub(crate) usual: f64,
    pub(crate) out: f64,
    /// Calls that may be out at once.
    pub(crate) bound: f64,
    /// What it was before calls began to fail in a row, and whether the latest was answered.
    pub(crate) borne: f64,
    pub(crate) answers: bool,
    /// Rests until then where less than one call at a time is enough.
    pub(crate) rested: Moment,
    /// Calls had to wait of late: until then the gateways count among themselves, where they can.
    pub(crate) spared: Moment,
    /// Customers that wait for a call, by benefit, then time.
    pub(crate) queue: BTreeSet<(u64, Moment, CustomerId)>,
}

#[derive(Default)]
pub(crate) struct Pool {
    /// Units to lend, and not before.
    pub(crate) lent: f64,
    pub(crate) lends_at: Moment,
    pub(crate) draw: Option<(CounterKey, f64, Vec<JobId>)>,
}

impl Server {
    /// Gone, with nothing out and nothing sent for `kept`.
    pub(crate) fn is_past(&self, now: Moment, kept: Span) -> bool {
        self.entry.health == Health::Gone && self.out <= 0.0 && now >= self.tried + kept
    }

    pub(crate) fn ready(&self) -> bool {
        self.entry.health == Health::Ready
    }
}

/// An amount as of a moment, that shrinks.
#[derive(Clone, Copy, Default)]
pub(crate) struct Level {
    pub(crate) amount: f64,
    pub(crate) at: Moment,
}

impl Level {
    pub(crate) fn drained(self, rate: f64, now: Moment) -> f64 {
        (self.amount - rate * now.since(self.at).secs()).max(0.0)
    }

    pub(crate) fn decayed(self, over: f64, now: Moment) -> f64 {
        self.amount * (-now.since(self.at).secs() / over).exp()
    }
}
