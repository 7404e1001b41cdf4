//! What a head does about a change that a client asks for, and what becomes of its entry.

use fennelgauge_batch::{Admission, Job};

use crate::{EntryPosition, Replica, Role};

/// What a head does about a batch job that is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// This store may not change the group now.
    NotTaken,
    OverQuota,
    /// A batch job of that name was given up.
    GivenUp,
    /// It is there: taken once this entry is committed.
    Known(EntryPosition),
    New,
}

/// What a head does about the end of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// This store may not change the group now.
    NotTaken,
    /// It is not here; that is certain once the other links confirm the view.
    NotHere,
    /// It was ended: that counts once this entry is committed.
    Known(EntryPosition),
    New,
}

/// What has become of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    InDoubt,
    Committed,
    /// A copy has taken it away.
    Gone,
}

impl Replica {
    /// Whether this store, in that role, may change the group.
    pub fn takes_changes(&self, role: Option<&Role>) -> bool {
        role.is_some_and(|role| role.takes_changes() && self.is_begun(role))
    }

    /// What to do about a batch job that is submitted.
    pub fn submission(&self, role: Option<&Role>, job: &Job, most_queued: u64) -> Submission {
        if !self.takes_changes(role) {
            return Submission::NotTaken;
        }
        match self.state().check_admission(job, most_queued) {
            Admission::OverQuota { .. } => Submission::OverQuota,
            Admission::GivenUp => Submission::GivenUp,
            Admission::AlreadyAccepted => Submission::Known(self.position()),
            Admission::Admitted => Submission::New,
        }
    }

    /// What to do about the end of a tenant's batch job.
    pub fn ending(&self, role: Option<&Role>, tenant: &str, job: &str) -> Ending {
        if !self.takes_changes(role) {
            return Ending::NotTaken;
        }
        match self.state().job(job).filter(|state| state.job.tenant == tenant).map(|state| state.cancelled) {
            None => Ending::NotHere,
            Some(true) => Ending::Known(self.position()),
            Some(false) => Ending::New,
        }
    }

    /// What has become of an entry that was made here.
    pub fn fate(&self, entry: EntryPosition) -> Fate {
        match () {
            () if self.is_committed(entry) => Fate::Committed,
            () if !self.contains(entry) => Fate::Gone,
            () => Fate::InDoubt,
        }
    }
}
