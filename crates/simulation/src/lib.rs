//! Simulated days of the core: the very state machines that the control plane runs, on a simulated clock, with links that
//! lose, double, delay and cut, disks that are slow or lost, freezes, replacements and operators that race. A judge looks at what
//! comes out. The same seed gives the same day, to the byte.

mod chance;
mod day;
mod exhaustive;
mod judge;
mod ledger;
mod machine;
mod network;
mod operator;
mod plant;
mod shrink;
mod stores;
mod threads;
mod world;

pub use chance::Chance;
pub use day::{Day, Family, Micros, Strike, Trouble, MILLISECOND, SECOND};
pub use exhaustive::{Exhaustive, Grain, Searched};
pub use judge::{Broken, Rule};
pub use ledger::{Decision, Ledger, Order};
pub use plant::Plant;
pub use shrink::shrunk;
pub use stores::{
    play_stores, play_stores_and_print, shrunk_stores, Aimed, Blow, Costs, Moment, StoreDay, StoreEvent,
    StoreFamily, StoreGrain, StorePlant, StoreSearch, StoreStrike, StoreTrouble, StoresPlayed, Whom,
};
pub use threads::{on_threads, seeds_on_threads};
pub use world::{play, play_and_print, Played};
