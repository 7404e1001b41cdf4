//! The failure laboratory: many gateways, stand-ins for all they speak with, faults between them, and a judge.

pub mod chance;
pub mod compare;
pub mod front;
pub mod judge;
pub mod links;
pub mod load;
pub mod plot;
pub mod record;
pub mod report;
pub mod run;
pub mod scenario;
pub mod sim;
pub mod stand;
pub mod target;
pub mod timeline;
pub mod told;
pub mod world;
