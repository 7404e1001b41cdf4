//! How a group of batch jobs is kept on a chain of stores. State machines without I/O, clock or chance: the store does
//! their writes and sends, the simulator plays the same code.
//!
//! **What a link of a chain guarantees.** In each view, a link takes part only once its predecessor has told it where the
//! chain stands and it stands exactly there: it is *level* in that view. All that a level link has, every link before it has on
//! its disk. So what a level tail shows is on every link of the chain, and what is committed is, too. A store counts as one
//! that holds a group only after it was level as a link; until then it is *joining* ([`fennelgauge_coordination::Group`]).

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

pub use change::{EndDecision, EntryStatus, SubmissionDecision};
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
