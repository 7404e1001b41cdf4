//! Coordination among the processes of a fleet, as pure state machines: views of a chain agreed step by step, the chain
//! itself, learning, and the placement of groups of data on stores. No I/O, no clock, no chance: callers hand these in.

mod acceptor;
mod coordinator;
mod giving_up;
mod identity;
mod liveness;
mod message;
mod placement;
mod replica;
mod sampling;
mod stores;
mod timing;
mod version;
mod view;

pub use acceptor::{Acceptor, Ballot};
pub use coordinator::{Coordinator, Progress, Question};
pub use giving_up::{GiveUp, GiveUpRefusal, GivenUp, HolderSeen, LastHolder, GIVE_UP_AFTER, STORE_LEASE};
pub use identity::{Identity, Member};
pub use message::{Copying, Envelope, Message};
#[cfg(feature = "planted-bugs")]
pub use placement::PlannerBug;
pub use placement::{Heard, Planner, Told};
#[cfg(feature = "planted-bugs")]
pub use replica::PlantedBug;
pub use replica::{NotTaken, Outcome, Record, Replica, Stored};
pub use sampling::{PartialView, Peer, Sighting, Swap};
pub use stores::{Group, GroupNumber, Newcomer, Store, StoreNumber, StoreView, GROUPS};
pub use timing::Timing;
pub use version::{content_digest, Replicated, Step, Version};
pub use view::{next_view, Judgement, View, ViewRules};
