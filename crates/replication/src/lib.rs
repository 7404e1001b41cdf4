//! How a group of batch jobs is kept on a chain of stores. State machines without I/O, clock or chance: the store does
//! their writes and sends, the simulator plays the same code.
//!
//! **What a link of a chain guarantees.** In each view, a link takes part only once its predecessor has told it where the
//! chain stands and it stands exactly there: it is *level* in that view. All that a level link has, every link before it has on
//! its disk. So what a level tail shows is on every link of the chain, and what is committed is, too. A store counts as one
//! that holds a group only after it was level as a link; until then it is *joining* ([`fennelgauge_coordination::Group`]).

mod confirmation;
mod entry;
mod entry_log;
mod planted;
mod replica;
mod role;

pub use confirmation::{Confirmation, Outcome};
pub use entry::{Entry, EntryBatch, EntryPosition, GroupCopy};
pub use entry_log::EntryLog;
#[cfg(feature = "planted-bugs")]
pub use planted::ReplicaBug;
pub use replica::{Followed, Installed, Missing, Replica};
pub use role::Role;
