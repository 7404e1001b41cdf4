//! Batch jobs, their results and the count of queued tokens, as a deterministic state machine.
//!
//! Batch jobs are spread over replicated groups. `GroupState` is the state of one group: every replica applies the
//! same commands in the same order and so arrives at the same state. The crate does no I/O and reads no clock.

mod attempts;
mod item_step;
mod job;
mod state;

pub use attempts::{AttemptEvent, Attempts, FailureLimits, Rest};
pub use item_step::{ItemPast, ItemStep, KnownConfiguration, RouteStatus};
pub use job::{Item, ItemLimits, ItemOutcome, ItemResult, Job, JobError};
pub use state::{Admission, Command, GroupState, JobState, Page, MAX_PAGE_TEXT_BYTES};

#[cfg(test)]
mod tests;
