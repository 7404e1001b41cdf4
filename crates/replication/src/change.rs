//! What a head does about a change that a client asks for, and what becomes of its entry.

use fennelgauge_batch::{Admission, Job};

use crate::{EntryPosition, Replica, Role};

/// What a head does about a batch job that is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionDecision {
    /// This store may not change the group now.
    NotWritable,
    OverQuota,
    /// A batch job of that name was given up.
    GivenUp,
    /// It is there: taken once this entry is committed.
    AlreadyAccepted(EntryPosition),
    Accept,
}

/// What a head does about the end of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDecision {
    /// This store may not change the group now.
    NotWritable,
    /// It is not here; that is certain once the other links confirm the view.
    NotFound,
    /// It was ended: that counts once this entry is committed.
    AlreadyEnded(EntryPosition),
    End,
}

/// What has become of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStatus {
    Pending,
    Committed,
    /// A copy has taken it away.
    Discarded,
}

impl Replica {
    /// Whether this store, in that role, may change the group.
    pub fn accepts_writes(&self, role: Option<&Role>) -> bool {
        role.is_some_and(|role| role.accepts_writes() && self.reflects_recreation(role))
    }

    /// What to do about a batch job that is submitted.
    pub fn decide_submission(&self, role: Option<&Role>, job: &Job, most_queued: u64) -> SubmissionDecision {
        if !self.accepts_writes(role) {
            return SubmissionDecision::NotWritable;
        }
        match self.state().check_admission(job, most_queued) {
            Admission::OverQuota { .. } => SubmissionDecision::OverQuota,
            Admission::GivenUp => SubmissionDecision::GivenUp,
            Admission::AlreadyAccepted => SubmissionDecision::AlreadyAccepted(self.position()),
            Admission::Admitted => SubmissionDecision::Accept,
        }
    }

    /// What to do about the end of a tenant's batch job.
    pub fn decide_end(&self, role: Option<&Role>, tenant: &str, job: &str) -> EndDecision {
        if !self.accepts_writes(role) {
            return EndDecision::NotWritable;
        }
        match self.state().job(job).filter(|state| state.job.tenant == tenant).map(|state| state.cancelled) {
            None => EndDecision::NotFound,
            Some(true) => EndDecision::AlreadyEnded(self.position()),
            Some(false) => EndDecision::End,
        }
    }

    /// What has become of an entry that was made here.
    pub fn entry_status(&self, entry: EntryPosition) -> EntryStatus {
        match () {
            () if self.is_committed(entry) => EntryStatus::Committed,
            () if !self.contains(entry) => EntryStatus::Discarded,
            () => EntryStatus::Pending,
        }
    }
}
