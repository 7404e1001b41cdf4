//! Replication of a group of batch jobs on a chain of stores, as state machines without I/O, clock or randomness: the store
//! does their writes and sends, and the simulation runs the same code.
//!
//! **Guarantees of a link.** In each view, a link takes part only once its predecessor has told it the chain's position and
//! its own log ends exactly there: it is *caught up* in that view. Everything that a caught-up link has is durable on every
//! link before it. So whatever a caught-up tail shows to a reader is on every link of the chain, and so is whatever is
//! committed. A store counts as a holder of a group only after it was caught up as a link; until then it is *joining* (see
//! [`fennelgauge_coordination::Group`]).

mod change;
mod confirmation;
mod entry;
mod entry_log;
mod link;
mod planted;
mod reading;
mod repair;
mod replica;
mod role;

pub use change::{CancelDecision, EntryStatus, SubmissionDecision};
pub use confirmation::{Confirmation, ConfirmationStatus};
pub use entry::{Entry, EntryBatch, EntryPosition, GroupSnapshot};
pub use entry_log::EntryLog;
pub use link::{ForwardTarget, RepairUrgency, MAX_LAG_TO_JOIN};
#[cfg(feature = "planted-bugs")]
pub use planted::ReplicaBug;
pub use reading::{ReadOperation, ReadQuery, ReadStep, CONFIRM_TIMEOUT};
pub use repair::{Repair, RepairStep};
pub use replica::{AppendResult, CatchUp, InstallResult, Replica};
pub use role::Role;
