//! What is under way at a simulated store, between two events: each is what a task of the program waits for.

use std::collections::BTreeMap;

use fennelgauge_batch::Page;
use fennelgauge_coordination::{GroupNumber, StoreNumber};
use fennelgauge_replication::{Confirmation, EntryBatch, EntryPosition, GroupCopy, Role};

use super::protocol::Call;
use crate::day::Micros;

/// A question to the other links.
#[derive(Clone, Debug)]
pub struct Questions {
    pub confirmation: Confirmation,
    /// Calls that are out, with the link that each went to.
    pub calls: BTreeMap<u64, StoreNumber>,
    pub until: Micros,
}

#[derive(Clone, Debug)]
pub enum Task {
    /// Entries on their way: on the own disk, then at the successor.
    Replicate {
        epoch: u64,
        batch: EntryBatch,
        stage: Replicating,
        answer_to: Option<Call>,
    },
    /// A successor is brought level.
    Repair {
        epoch: u64,
        group: GroupNumber,
        successor: StoreNumber,
        stage: Repairing,
    },
    /// A copy goes to the disk.
    Install {
        group: GroupNumber,
        end: EntryPosition,
        write: u64,
        answer_to: Call,
    },
    /// What a learner asked for waits for this disk.
    Fetch {
        group: GroupNumber,
        end: EntryPosition,
        answer: Fetched,
        until: Micros,
        answer_to: Call,
    },
    /// A learner's step.
    Learn {
        epoch: u64,
        group: GroupNumber,
        stage: Learning,
    },
    /// A joining link asks whether it has everything.
    Hold {
        epoch: u64,
        group: GroupNumber,
        questions: Questions,
    },
    /// A client waits for an entry to be committed.
    Commit {
        group: GroupNumber,
        entry: EntryPosition,
        until: Micros,
        answer_to: Call,
    },
    Read {
        epoch: u64,
        read: Reading,
        stage: ReadStage,
        answer_to: Call,
    },
    /// An item.
    Run {
        group: GroupNumber,
        job: String,
        item: u32,
        stage: Running,
    },
}

#[derive(Clone, Debug)]
pub enum Replicating {
    Writing {
        write: u64,
    },
    /// On the way to the successor, in the view of that role.
    Passing {
        role: Role,
    },
}

#[derive(Clone, Debug)]
pub enum Repairing {
    Asking,
    Syncing {
        batch: EntryBatch,
        until: Micros,
    },
    CopySyncing {
        copy: GroupCopy,
        until: Micros,
    },
    Installing {
        end: EntryPosition,
    },
    /// Told where the chain stands, in the view of that role.
    Passing {
        end: EntryPosition,
        role: Role,
    },
    /// The successor is level.
    Done,
}

#[derive(Clone, Debug)]
pub enum Fetched {
    Entries(EntryBatch),
    Copy(GroupCopy),
}

#[derive(Clone, Debug)]
pub enum Learning {
    Asking,
    WritingEntries { write: u64, end: EntryPosition, lacked: usize },
    WritingCopy { write: u64, end: EntryPosition },
}

/// What a reader wants.
#[derive(Clone, Debug)]
pub struct Reading {
    pub group: GroupNumber,
    pub tenant: String,
    pub job: String,
    pub start: u32,
}

#[derive(Clone, Debug)]
pub enum ReadStage {
    Asking(Questions),
    /// For a result to come.
    Waiting {
        until: Micros,
    },
    Syncing {
        page: Page,
        position: EntryPosition,
        until: Micros,
    },
}

#[derive(Clone, Debug)]
pub enum Running {
    Committing {
        entry: EntryPosition,
        until: Micros,
    },
    AtServer {
        until: Micros,
    },
    /// Done, while the group may not be changed.
    Done {
        text: String,
    },
}
