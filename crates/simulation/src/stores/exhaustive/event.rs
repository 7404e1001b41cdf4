//! The sizes of the search, and its events.

use fennelgauge_coordination::GroupNumber;

use crate::day::{Micros, MILLISECOND, SECOND};

pub const STORES: usize = 4;
pub const LOSSES: usize = 1;
pub const GROUP: GroupNumber = GroupNumber(0);
pub const TENANT: &str = "t";
pub const JOB: &str = "job";
pub const ITEMS: usize = 2;
pub const MOST_RESTARTS: u8 = 2;
pub const MOST_DISKS_LOST: u8 = LOSSES as u8;
pub const MOST_READS: u8 = 2;
pub const MOST_GIVEN_UP: u8 = 1;
/// Time stands still but for what a settling takes: an early look and a late one.
pub const EARLY: Micros = 10 * SECOND;
pub const LATE: Micros = EARLY + 600 * MILLISECOND;
/// A store that was not told for so long has no lease any more.
pub const LEASE: Micros = 5 * SECOND;
/// A settling that takes more rounds does not come to its end.
pub const MOST_ROUNDS: usize = 200;
pub const MOST_PLANS: usize = 8;

/// A set of stores, a bit for each.
pub type Stores = u8;
pub const ALL: Stores = (1 << STORES) - 1;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// These stores hear the core and each other until nothing changes any more.
    Live(Stores),
    /// The same, for one view: what it leads to is not planned for yet.
    View(Stores),
    /// The core hears these stores and decides the next view; nobody is told yet.
    Plan(Stores),
    /// These stores are told of the newest view.
    Tell(Stores),
    /// These stores, without news, bring what they have begun to its end.
    Settle(Stores),
    Submit,
    /// By the newest view, or the one before.
    Read {
        old: bool,
    },
    /// The process begins anew; of the writes that were not done, all or none are there.
    Restart {
        store: usize,
        with_writes: bool,
    },
    LoseDisk(usize),
    /// An operator gives the group up, while only these stores are heard.
    GiveUp(Stores),
    /// All come back; everything that was accepted is to be read.
    Finish,
    Deliver(usize),
    Write(usize),
    Look(usize),
}

/// The stores of a set.
pub fn places(set: Stores) -> impl Iterator<Item = usize> {
    (0..STORES).filter(move |place| set >> place & 1 == 1)
}
