//! Coordination among the processes of a fleet, as pure state machines: views of a chain agreed step by step, the chain
//! itself, learning, and the placement of groups of data on stores. No I/O, no clock, no chance: callers hand these in.

mod acceptor;
mod coordinator;
mod identity;
mod liveness;
mod message;
mod replica;
mod sampling;
mod stores;
mod timing;
mod version;
mod view;

pub use acceptor::{Acceptor, Ballot};
pub use coordinator::{Coordinator, Progress, Question};
pub use identity::{Identity, Member};
pub use message::{Copying, Envelope, Message};
#[cfg(feature = "planted-bugs")]
pub use replica::PlantedBug;
pub use replica::{NotTaken, Outcome, Record, Replica, Stored};
pub use sampling::{PartialView, Peer, Sighting, Swap};
#[cfg(feature = "planted-bugs")]
pub use stores::PlannerBug;
pub use stores::{Group, GroupNumber, Heard, Newcomer, Planner, Store, StoreNumber, StoreView, Told, GROUPS};
pub use timing::Timing;
pub use version::{content_digest, Replicated, Step, Version};
pub use view::{next_view, Judgement, View, ViewRules};
