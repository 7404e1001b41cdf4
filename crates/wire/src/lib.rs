//! RPC among the processes of the serving tier: typed messages encoded with bincode, sent in checksummed frames over TCP.
//! All calls from one process to the same peer are multiplexed over one connection.

mod calls;
mod frame;
mod messages;
mod server;

pub use calls::{CallError, CallStats, Caller};
pub use fennelgauge_encoding::{decode, encode};
pub use fennelgauge_replication::{Entry, EntryBatch, EntryPosition, GroupSnapshot};
pub use frame::FrameError;
pub use messages::*;
pub use server::{serve, UnwrittenReplies};

#[cfg(test)]
mod tests;
