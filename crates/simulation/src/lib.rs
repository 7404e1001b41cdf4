//! Deterministic simulation of the core and of the stores.
//!
//! A simulated "day" runs the state machines of the control plane on a simulated clock. Links lose, duplicate, delay and block
//! messages, disks are slow or lost, processes freeze, machines are replaced, and operators send conflicting changes. A checker
//! compares the observable results with the guarantees. The same seed always produces exactly the same day.

mod chance;
mod day;
mod exhaustive;
mod judge;
mod ledger;
mod machine;
mod network;
mod operator;
mod plant;
mod platform;
mod shrink;
mod stores;
mod threads;
mod watcher;
mod world;

pub use fennelgauge_coordination::PlantedBug;

pub use chance::SeededRng;
pub use day::{Day, Family, Micros, Strike, Trouble, MILLISECOND, SECOND};
pub use exhaustive::{Exhaustive, Grain, Searched};
pub use judge::{Rule, Violation};
pub use ledger::{Decision, Order, SimulatedConfig};
pub use plant::SimulationBug;
pub use shrink::shrink_day;
pub use stores::{
    play_stores, play_stores_and_print, shrunk_stores, Aimed, Blow, Costs, Moment, StoreDay, StoreEvent,
    StoreFamily, StoreGrain, StorePlant, StoreSearch, StoreStrike, StoreTrouble, StoresPlayed, Whom,
};
pub use threads::{play_days_on_threads, run_seeds_on_threads};
pub use world::{play, play_and_print, Played};
