//! What simulated stores and clients ask one another: the calls of `fennelgauge-wire`, for one group at a time.

use fennelgauge_batch::{Job, Page};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::{EntryBatch, EntryPosition, GroupSnapshot};

/// Whoever waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Caller {
    Store { store: usize, life: u64 },
    Client(usize),
}

/// A call with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    pub caller: Caller,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ask {
    Append { epoch: u64, batch: EntryBatch },
    Position { epoch: u64, group: GroupNumber },
    Install { epoch: u64, group: GroupNumber, copy: GroupSnapshot },
    Fetch { epoch: u64, group: GroupNumber, after: EntryPosition },
    Check { epoch: u64, group: GroupNumber },
    Submit { epoch: u64, group: GroupNumber, job: Job, most_queued: u64 },
    End { epoch: u64, group: GroupNumber, tenant: String, job: String },
    Read { epoch: u64, group: GroupNumber, tenant: String, job: String, start: u32 },
}

impl Ask {
    /// Of the view that the call is for.
    pub fn epoch(&self) -> u64 {
        match self {
            Self::Append { epoch, .. }
            | Self::Position { epoch, .. }
            | Self::Install { epoch, .. }
            | Self::Fetch { epoch, .. }
            | Self::Check { epoch, .. }
            | Self::Submit { epoch, .. }
            | Self::End { epoch, .. }
            | Self::Read { epoch, .. } => *epoch,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Appended {
        reached: bool,
    },
    Position(EntryPosition),
    OtherEpoch,
    Installed,
    Entries(EntryBatch),
    Copy(GroupSnapshot),
    Accepted,
    OverQuota,
    /// Certainly not taken.
    NotTaken,
    /// May have been taken.
    Unknown,
    Unsure,
    Page(Page),
    NotFound,
    GivenUp,
    Noted,
}
