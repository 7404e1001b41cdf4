//! Simulated days of the stores: the very state machines that stores and the placement run (`fennelgauge-replication`, the planner of
//! `fennelgauge-coordination`), with clients that submit, end and read batch jobs through data planes whose views are old, while stores are
//! killed, frozen, cut off, wiped and replaced. The judge is `fennelgauge-batch-judge`, which the soak uses, too.

mod answering;
mod client;
mod configuration;
mod continuing;
mod core;
mod costs;
mod day;
mod disk;
mod exhaustive;
mod items;
mod looking;
mod moment;
mod placing;
mod plant;
mod protocol;
mod sending;
mod store;
mod strikes;
mod task;
mod turns;
mod world;

use crate::shrink::minimize_faults;
pub use costs::Costs;
pub use day::{StoreDay, StoreFamily, StoreStrike, StoreTrouble};
pub use exhaustive::{StoreEvent, StoreGrain, StoreSearch};
pub use moment::{Aimed, Blow, Moment, Whom};
pub use plant::StorePlant;
pub use world::{play_stores, play_stores_and_print, StoresPlayed};

/// The day without the troubles that the broken rule does not need.
pub fn shrunk_stores(
    day: &StoreDay,
    rule: fennelgauge_batch_judge::Rule,
    plant: Option<StorePlant>,
) -> StoreDay {
    let breaks = |day: &StoreDay| play_stores(day, plant).broken.iter().any(|broken| broken.rule == rule);
    let mut smallest = day.clone();
    smallest.strikes =
        minimize_faults(day.strikes.clone(), |strikes| breaks(&StoreDay { strikes, ..day.clone() }));
    let mut without_wipes = smallest.clone();
    without_wipes.closing_wipes = 0;
    match breaks(&without_wipes) {
        true => without_wipes,
        false => smallest,
    }
}
