//! Coordination among the processes of a fleet, as pure state machines: views of a chain agreed step by step, and the
//! placement of groups of data on stores. No I/O, no clock, no chance: callers hand these in.

mod identity;
mod proposer;
mod sampling;
mod stores;
mod view;

pub use identity::{Identity, Member};
pub use proposer::{Proposer, Step};
pub use sampling::{PartialView, Peer, Sighting, Swap};
pub use stores::{Group, GroupNumber, Planner, Store, StoreNumber, StoreView, GROUPS};
pub use view::{
    next_view, AcceptReply, Acceptor, Ballot, PrepareReply, Promise, Proposal, StateVersion, View, ViewRules,
};

#[cfg(test)]
mod tests;
