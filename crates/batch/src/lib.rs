//! Batch jobs: what is accepted, its results at fixed positions, its end, and the count of queued tokens by tenant and
//! route. Pure: a group's state follows from its commands in order, alike at every copy.

mod job;
mod state;

pub use job::{Item, ItemOutcome, ItemResult, Job, JobError};
pub use state::{Admission, Command, GroupState, JobState, Page, MAX_PAGE_TEXT_BYTES};

#[cfg(test)]
mod tests;
