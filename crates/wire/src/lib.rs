//! What processes of the tier say to each other: typed messages in bincode, in checked frames on TCP, many calls at a time on
//! one connection a peer.

mod calls;
mod frame;
mod messages;
mod server;

pub use calls::{CallError, CallStats, Caller};
pub use fennelgauge_encoding::{decode, encode};
pub use fennelgauge_replication::{Entry, EntryBatch, EntryPosition, GroupCopy};
pub use frame::FrameError;
pub use messages::*;
pub use server::serve;

#[cfg(test)]
mod tests;
