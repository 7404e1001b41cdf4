//! How a link brings its successor level: it asks where the successor is, has on its disk what that one lacks, sends it, and tells
//! where the chain stands.

use fennelgauge_coordination::GroupNumber;

use crate::{CatchUp, EntryBatch, EntryPosition, GroupSnapshot, Replica, Role};

/// One attempt, in one view. It is given up at any failure; the next one begins anew.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Repair {
    pub group: GroupNumber,
    pub epoch: u64,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The successor is asked for its place.
    Asking,
    /// What it lacks waits for this disk.
    WritingEntries(EntryBatch),
    WritingCopy(GroupSnapshot),
    /// A copy is on its way.
    Installing(EntryPosition),
    /// The successor is told where the chain stands.
    Telling(EntryPosition, Role),
}

/// What an attempt has done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Something has to change here first.
    Wait,
    Install(GroupSnapshot),
    Append(EntryBatch),
    /// All links have what is here up to that place, in the view of that role.
    Replicated(Role, EntryPosition),
    /// To be begun anew.
    Failed,
}

impl Repair {
    /// Begins with the question for the successor's place.
    pub fn new(group: GroupNumber, epoch: u64) -> Self {
        Self { group, epoch, stage: Stage::Asking }
    }

    /// The successor's place, or none if it is in another view or silent.
    pub fn on_position(&mut self, replica: &Replica, theirs: Option<EntryPosition>) -> RepairStep {
        let (Stage::Asking, Some(theirs)) = (&self.stage, theirs) else { return RepairStep::Failed };
        self.stage = match replica.catch_up_from(self.group, theirs) {
            CatchUp::Entries(batch) => Stage::WritingEntries(batch),
            CatchUp::Snapshot => Stage::WritingCopy(replica.snapshot()),
        };
        RepairStep::Wait
    }

    /// Something has changed here: perhaps what the successor lacks is on this disk. `role` is the present one.
    pub fn poll(&mut self, replica: &Replica, role: Option<&Role>) -> RepairStep {
        let end = match &self.stage {
            Stage::WritingEntries(batch) => batch.end,
            Stage::WritingCopy(copy) => copy.position,
            _ => return RepairStep::Wait,
        };
        if !replica.contains(end) {
            return RepairStep::Failed;
        }
        if !replica.is_durable(end) {
            return RepairStep::Wait;
        }
        let Some(role) = role.filter(|role| role.epoch == self.epoch) else { return RepairStep::Failed };
        match std::mem::replace(&mut self.stage, Stage::Installing(end)) {
            Stage::WritingEntries(batch) => {
                self.stage = Stage::Telling(end, role.clone());
                RepairStep::Append(batch)
            }
            Stage::WritingCopy(copy) => RepairStep::Install(copy),
            other => {
                self.stage = other;
                RepairStep::Wait
            }
        }
    }

    /// Whether what the successor lacks is not on this disk yet.
    pub fn awaits_durability(&self) -> bool {
        matches!(self.stage, Stage::WritingEntries(_) | Stage::WritingCopy(_))
    }

    /// Whether the successor has the copy on its disk. `role` is the present one.
    pub fn on_installed(&mut self, role: Option<&Role>, installed: bool) -> RepairStep {
        let Stage::Installing(end) = self.stage else { return RepairStep::Failed };
        let Some(role) = role.filter(|role| installed && role.epoch == self.epoch) else {
            return RepairStep::Failed;
        };
        self.stage = Stage::Telling(end, role.clone());
        RepairStep::Append(EntryBatch { group: self.group, after: end, entries: Vec::new(), end })
    }

    /// Whether the successor, and every link after it, is level with all that was sent.
    pub fn on_appended(&mut self, reached: bool) -> RepairStep {
        match std::mem::replace(&mut self.stage, Stage::Asking) {
            Stage::Telling(end, role) if reached => RepairStep::Replicated(role, end),
            _ => RepairStep::Failed,
        }
    }
}
