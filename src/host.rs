//! What the decisions need from the program that embeds them, and the plain types that pass between the two.

use crate::time::{Moment, Span};

/// Below [`JOB_IDS`].
pub type JobId = u64;
pub type ServerId = u32;
pub type CustomerId = u64;
pub type CountName = u64;

/// Ids of jobs are below this, and so are the marks of timers that are only about a job.
pub const JOB_IDS: u64 = 1 << 52;

/// The acts open to a gateway.
pub trait Host {
    /// Sends a job to a server and stops waiting for it after `patience`.
    fn relay(&mut self, job: JobId, server: ServerId, patience: Span);
    /// Stops waiting for one relay, numbered from 0 by job.
    fn withdraw(&mut self, job: JobId, relay: u8);
    /// Final answer: not done, a retry is harmless, best after `hold_off` where one is named.
    fn dismiss(&mut self, job: JobId, hold_off: Option<Span>);
    /// Final answer: failed, with no promise about effects.
    fn forfeit(&mut self, job: JobId);
    /// Asks for a call of `timer_fired` with `mark`. Where the mark is a job's id, none is needed once that is over.
    fn wake(&mut self, after: Span, mark: u64);
    /// Adds to a count of the counter; a new name starts at 0 and is kept for `keep`.
    fn add(&mut self, name: CountName, amount: f64, keep: Span);
    /// Whether the gateways themselves can keep counts now, for while the counter cannot serve.
    fn counts_among(&mut self) -> bool {
        false
    }
    /// Adds to a count that the gateways keep, and what is wanted besides where it fits; comes back by `counted_among`.
    fn add_among(&mut self, _name: CountName, _amount: f64, _wanted: Wanted) {}
    /// Among how many gateways a customer's quota is shared that is judged alone: those of its set, from the first,
    /// less some that are held to have failed.
    fn sharers(&mut self, _first: u32, set_size: f64) -> f64 {
        set_size
    }
    /// Asks to be told of changes to the roster, from now on and however often that fails.
    fn follow_roster(&mut self);
}

/// Units wanted of a count that the gateways keep, and the totals above which they are in vain: of a plain total, and
/// of one that holds the mark.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wanted {
    pub amount: f64,
    pub most: f64,
    pub most_marked: f64,
}

impl Wanted {
    /// The count stands so that the units may be added.
    pub fn fits(&self, before: f64) -> bool {
        let marked = before >= self.most_marked / 2.0;
        before <= if marked { self.most_marked } else { self.most }
    }
}

/// A deployment as told at start.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub gateways: u32,
    pub own_index: u32,
    /// How often the host can act at most.
    pub tick: Span,
    pub bands: Vec<Band>,
    pub plans: Vec<Plan>,
    pub has_counter: bool,
    pub may_withdraw: bool,
    pub most_relays: u8,
    /// The longest wait that clients take as advice; none where they take no advice.
    pub longest_hold_off: Option<Span>,
    pub roster_is_asked: bool,
    pub cold: Cold,
}

/// How a freshly started server has to be treated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    pub share: f64,
    pub warm_after: Span,
    pub fall_multiple: f64,
    pub fall_span: Span,
}

#[derive(Clone, Debug)]
pub struct Band {
    pub target: Span,
    /// What a job is worth; never negative.
    pub benefit: f64,
    /// Share of the benefit that a late answer earns.
    pub late_share: f64,
    pub repeat: Repeat,
}

/// Whether a job may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    Pure,
    /// Repeats are dropped within the group for the span after the first relay that may have run.
    Receipted(Group, Span),
    Effectful,
}

impl Repeat {
    /// May run again anywhere.
    pub fn is_free(self) -> bool {
        matches!(self, Self::Pure | Self::Receipted(Group::All, _))
    }

    /// May run again at `to`, that long after it was sent to `from`, where it may have run.
    pub fn may_go(self, from: &Entry, to: &Entry, after: Span) -> bool {
        match self {
            Self::Pure => true,
            Self::Effectful => false,
            Self::Receipted(group, window) => {
                let same = match group {
                    Group::All => true,
                    Group::Zone => to.zone == from.zone,
                    Group::Cell => to.cell == from.cell,
                };
                same && after < window
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    pub relays_out: f64,
    /// Multiplies the benefit; never negative.
    pub price: f64,
    pub over_share: f64,
    pub over_cost: f64,
    pub ceiling: Option<Ceiling>,
}

impl Plan {
    pub fn by_rate(&self) -> bool {
        self.rate > 0.0
    }

    pub fn limited(&self) -> bool {
        self.by_rate() || self.relays_out > 0.0
    }

    /// Use beyond the quota earns something and costs nothing.
    pub fn soft(&self) -> bool {
        self.by_rate() && self.over_share > 0.0 && self.over_cost <= 0.0
    }

    /// What a job takes of its plan's quota: its units, or one relay.
    pub fn cost(&self, job: &Arrival) -> f64 {
        if self.by_rate() {
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
    pub band: usize,
    pub plan: usize,
    pub units: f64,
    /// The gateways that the customer's jobs come in through: the first one's index, and how many there are.
    pub set_first: u32,
    pub set_size: u32,
    pub abandon: Moment,
}

/// How a relay, or a call to the counter, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Satisfied,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Withdrawn,
    NotSent,
}

#[derive(Clone, Copy, Debug)]
pub struct RelayEnd {
    pub job: JobId,
    pub server: ServerId,
    pub outcome: Outcome,
    pub took: Span,
    /// The job needs no further answer.
    pub settled: bool,
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
pub struct Entry {
    pub server: ServerId,
    pub health: Health,
    pub rating: f64,
    pub zone: u16,
    pub cell: u16,
    /// Latest start; none: long past.
    pub started: Option<Moment>,
}
