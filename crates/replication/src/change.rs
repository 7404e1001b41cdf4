//! Decisions of a head about changes that clients request, and the status of the entries made for them.

use fennelgauge_batch::{Admission, Job};

use crate::{EntryPosition, Replica, Role};

/// How a head handles the submission of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionDecision {
    /// This store may not change the group now.
    NotWritable,
    /// The job would exceed the tenant's limit of queued tokens.
    OverQuota,
    /// A batch job of that name was given up with its group; the name must not be used again.
    GivenUp,
    /// The job exists; it is certain to be accepted once the entry at this position is committed.
    AlreadyAccepted(EntryPosition),
    /// The job is new: append an entry for it.
    Accept,
}

/// How a head handles a request to cancel a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// This store may not change the group now.
    NotWritable,
    /// The tenant has no such job; that is certain once the other links have confirmed the view.
    NotFound,
    /// The job was cancelled before; that is certain once the entry at this position is committed.
    AlreadyCancelled(EntryPosition),
    /// Append an entry that cancels the job.
    Cancel,
}

/// The status of an entry that this store made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStatus {
    /// Neither committed nor discarded so far.
    Pending,
    /// The entry is committed.
    Committed,
    /// A snapshot that does not have the entry has replaced it.
    Discarded,
}

impl Replica {
    /// Whether this store, in this role, may change the group: it is the head of an open group, and its state reflects the
    /// group's last recreation.
    pub fn accepts_writes(&self, role: Option<&Role>) -> bool {
        role.is_some_and(|role| role.accepts_writes() && self.reflects_recreation(role))
    }

    /// Decides how to handle the submission of a batch job, given the tenant's limit of queued tokens.
    pub fn decide_submission(&self, role: Option<&Role>, job: &Job, max_queued: u64) -> SubmissionDecision {
        if !self.accepts_writes(role) {
            return SubmissionDecision::NotWritable;
        }
        match self.state().check_admission(job, max_queued) {
            Admission::OverQuota { .. } => SubmissionDecision::OverQuota,
            Admission::GivenUp => SubmissionDecision::GivenUp,
            Admission::AlreadyAccepted => SubmissionDecision::AlreadyAccepted(self.position()),
            Admission::Admitted => SubmissionDecision::Accept,
        }
    }

    /// Decides how to handle a request to cancel a tenant's batch job.
    pub fn decide_cancellation(&self, role: Option<&Role>, tenant: &str, job: &str) -> CancelDecision {
        if !self.accepts_writes(role) {
            return CancelDecision::NotWritable;
        }
        match self.state().job(job).filter(|state| state.job.tenant == tenant).map(|state| state.cancelled) {
            None => CancelDecision::NotFound,
            Some(true) => CancelDecision::AlreadyCancelled(self.position()),
            Some(false) => CancelDecision::Cancel,
        }
    }

    /// Returns the status of an entry that was made here.
    pub fn entry_status(&self, entry: EntryPosition) -> EntryStatus {
        match () {
            () if self.is_committed(entry) => EntryStatus::Committed,
            () if !self.contains(entry) => EntryStatus::Discarded,
            () => EntryStatus::Pending,
        }
    }
}
