//! Coordination among the processes of a fleet, as pure state machines: view changes decided by Paxos, chain replication of
//! a value, catch-up of learners, the placement of groups of data on stores, and peer sampling. The crate does no I/O and
//! reads no clock or random source: callers pass in messages, the time and random numbers.

mod acceptor;
mod coordinator;
mod duty;
mod giving_up;
mod identity;
mod liveness;
mod message;
mod placement;
mod replica;
mod sampling;
mod source_selection;
mod stores;
mod timing;
mod version;
mod view;

pub use acceptor::{Acceptor, Ballot};
pub use coordinator::{Coordinator, Progress, QuorumCheck};
pub use duty::FencingToken;
pub use giving_up::{
    GiveUpError, GiveUpRecord, GiveUpRequest, HolderStatus, LastHolder, MIN_SILENCE_BEFORE_GIVE_UP,
    STORE_LEASE_DURATION,
};
pub use identity::{Identity, Member};
pub use message::{Envelope, Message, SnapshotProgress};
#[cfg(feature = "planted-bugs")]
pub use placement::PlannerBug;
pub use placement::{GroupConfirmation, Planner, StoreReport};
#[cfg(feature = "planted-bugs")]
pub use replica::PlantedBug;
pub use replica::{DurableState, Effects, Replica, VotingRecord, WriteRefusal};
pub use sampling::{PartialView, Peer, PeerEntry, Shuffle};
pub use source_selection::{SourceOutcome, SourceSelector};
pub use stores::{Assignment, Group, GroupNumber, Store, StoreNumber, StoreView, GROUP_COUNT};
pub use timing::Timing;
pub use version::{content_digest, LogEntry, Replicated, Version};
pub use view::{next_view, ClusterStatus, View, ViewRules};
