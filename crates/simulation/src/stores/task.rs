//! What is under way at a simulated store, between two events: each is what a task of the program waits for.

use std::collections::BTreeMap;

use fennelgauge_batch::ItemOutcome;
use fennelgauge_coordination::{GroupNumber, StoreNumber};
use fennelgauge_replication::{
    Confirmation, EntryBatch, EntryPosition, GroupSnapshot, ReadOperation, Repair, Role,
};

use super::configuration::ConfigurationWait;
use super::protocol::Call;
use crate::day::Micros;

/// A question to the other links.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Questions {
    pub confirmation: Confirmation,
    /// Calls that are out, with the link that each went to.
    pub calls: BTreeMap<u64, StoreNumber>,
    pub until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Task {
    /// Entries on their way: on the own disk, then at the successor.
    Replicate { epoch: u64, batch: EntryBatch, stage: Replicating, answer_to: Option<Call> },
    /// A successor is brought level.
    Repair {
        repair: Repair,
        successor: StoreNumber,
        /// Not begun before the successor's place was heard.
        until: Option<Micros>,
    },
    /// A copy goes to the disk.
    Install { group: GroupNumber, end: EntryPosition, write: u64, answer_to: Call },
    /// What a learner asked for waits for this disk.
    Fetch { group: GroupNumber, end: EntryPosition, answer: Fetched, until: Micros, answer_to: Call },
    /// A learner's step.
    Learn { epoch: u64, group: GroupNumber, stage: Learning },
    /// A joining link asks whether it has everything.
    Hold { epoch: u64, group: GroupNumber, questions: Questions },
    /// A client waits for an entry to be committed.
    Commit { group: GroupNumber, entry: EntryPosition, until: Micros, answer_to: Call },
    Read {
        reading: Box<ReadOperation>,
        /// Questions that are out, with the link that each went to.
        calls: BTreeMap<u64, StoreNumber>,
        group: GroupNumber,
        began: Micros,
        /// When it is looked at next though nothing has changed.
        wakes_at: Micros,
        answer_to: Call,
    },
    /// After a failed write, everything is written anew: up to these places.
    WriteAll { write: u64, ends: Vec<(GroupNumber, EntryPosition)> },
    /// A group that was given up is begun anew.
    Begin { group: GroupNumber, end: EntryPosition, write: u64 },
    /// An item.
    Run { group: GroupNumber, job: String, item: u32, stage: Running },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Replicating {
    Writing {
        write: u64,
    },
    /// On the way to the successor, in the view of that role.
    Passing {
        role: Role,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fetched {
    Entries(EntryBatch),
    Copy(GroupSnapshot),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Learning {
    Asking,
    WritingEntries { write: u64, end: EntryPosition, lacked: usize },
    WritingCopy { write: u64, end: EntryPosition },
}

/// What a run knows of its item, from one attempt to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RunMemory {
    /// Entry that permits the next attempt.
    pub permit: Option<EntryPosition>,
    /// Whether the last attempt failed, and that is not recorded yet.
    pub has_unrecorded_failure: bool,
    pub wait: Option<ConfigurationWait>,
    /// Failures of this run alone, for a planted mistake.
    pub failures: u32,
}

/// What a store gets of a server's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ServerAnswer {
    Failed,
    Rejected,
    Succeeded { text: String },
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Running {
    Committing {
        entry: EntryPosition,
        until: Micros,
    },
    /// Not to be started yet: it waits for a configuration, or a server.
    Waiting {
        memory: RunMemory,
        until: Micros,
    },
    /// Waits until the permit of its next attempt is committed.
    Permitting {
        memory: RunMemory,
        until: Micros,
    },
    AtServer {
        memory: RunMemory,
        until: Micros,
    },
    /// The server has answered; its answer is on the way, or lost.
    Answering {
        memory: RunMemory,
        answer: ServerAnswer,
        until: Micros,
    },
    /// Done, while the group may not be changed.
    Done {
        text: String,
        outcome: ItemOutcome,
    },
}

impl Task {
    /// The write that it waits for.
    pub fn write(&self) -> Option<u64> {
        match self {
            Self::Replicate { stage: Replicating::Writing { write }, .. }
            | Self::Install { write, .. }
            | Self::Learn { stage: Learning::WritingEntries { write, .. }, .. }
            | Self::Learn { stage: Learning::WritingCopy { write, .. }, .. }
            | Self::WriteAll { write, .. }
            | Self::Begin { write, .. } => Some(*write),
            _ => None,
        }
    }

    /// Whether it is the run of an item that takes the place of another. One that waits for a server or a configuration does
    /// not, so that what is left at the end of a day waits without end, and not for its turn.
    pub fn is_running_item(&self) -> bool {
        let waits = |stage: &Running| matches!(stage, Running::Waiting { .. } | Running::Permitting { .. });
        matches!(self, Self::Run { stage, .. } if !waits(stage))
    }

    /// Whether it goes on when something else changes, and is to be looked at then.
    pub fn looks(&self) -> bool {
        matches!(
            self,
            Self::Repair { until: Some(_), .. }
                | Self::Fetch { .. }
                | Self::Hold { .. }
                | Self::Commit { .. }
                | Self::Read { .. }
                | Self::Run { .. }
        )
    }
}
