//! Repair of a successor by its predecessor: the link asks for the successor's position, waits until what the successor lacks
//! is durable here, sends it, and tells the successor the chain's position.

use fennelgauge_coordination::GroupNumber;

use crate::{CatchUp, EntryBatch, EntryPosition, GroupSnapshot, Replica, Role};

/// One attempt to bring the successor to this link's position, in one view. It ends at any failure; the next attempt starts
/// from the beginning.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Repair {
    /// The group to repair.
    pub group: GroupNumber,
    /// Epoch of the view.
    pub epoch: u64,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// Waits for the successor's position.
    AwaitingPosition,
    /// Waits until these entries, which the successor lacks, are durable on this disk.
    EntriesNotDurable(EntryBatch),
    /// Waits until this snapshot, which the successor needs, is durable on this disk.
    SnapshotNotDurable(GroupSnapshot),
    /// Waits until the successor has installed a snapshot up to this position.
    Installing(EntryPosition),
    /// Waits until the successor, and the links after it, have appended everything up to this position, in this role.
    Appending(EntryPosition, Role),
}

/// What the caller has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Poll again when the replica has changed.
    Wait,
    /// Send this snapshot to the successor, and report with [`Repair::on_installed`].
    Install(GroupSnapshot),
    /// Send this batch to the successor, and report with [`Repair::on_appended`].
    Append(EntryBatch),
    /// Done: all links after this one have everything up to this position, in the view of this role.
    Replicated(Role, EntryPosition),
    /// The attempt has failed; start a new one.
    Failed,
}

impl Repair {
    /// Starts an attempt. The caller asks the successor for its position, and reports with [`Self::on_position`].
    pub fn new(group: GroupNumber, epoch: u64) -> Self {
        Self { group, epoch, stage: Stage::AwaitingPosition }
    }

    /// Handles the successor's position, or none if it is in another view or did not answer.
    pub fn on_position(&mut self, replica: &Replica, position: Option<EntryPosition>) -> RepairStep {
        let (Stage::AwaitingPosition, Some(position)) = (&self.stage, position) else {
            return RepairStep::Failed;
        };
        self.stage = match replica.catch_up_from(self.group, position) {
            CatchUp::Entries(batch) => Stage::EntriesNotDurable(batch),
            CatchUp::Snapshot => Stage::SnapshotNotDurable(replica.snapshot()),
        };
        RepairStep::Wait
    }

    /// Checks whether what the successor lacks is durable here by now. `role` is the present role of this store.
    pub fn poll(&mut self, replica: &Replica, role: Option<&Role>) -> RepairStep {
        let end = match &self.stage {
            Stage::EntriesNotDurable(batch) => batch.end,
            Stage::SnapshotNotDurable(snapshot) => snapshot.position,
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
            Stage::EntriesNotDurable(batch) => {
                self.stage = Stage::Appending(end, role.clone());
                RepairStep::Append(batch)
            }
            Stage::SnapshotNotDurable(snapshot) => RepairStep::Install(snapshot),
            stage => {
                self.stage = stage;
                RepairStep::Wait
            }
        }
    }

    /// Whether the attempt waits until what the successor lacks is durable here.
    pub fn awaits_durability(&self) -> bool {
        matches!(self.stage, Stage::EntriesNotDurable(_) | Stage::SnapshotNotDurable(_))
    }

    /// Handles whether the successor has installed the snapshot durably. `role` is the present role of this store.
    pub fn on_installed(&mut self, role: Option<&Role>, installed: bool) -> RepairStep {
        let Stage::Installing(end) = self.stage else { return RepairStep::Failed };
        let Some(role) = role.filter(|role| installed && role.epoch == self.epoch) else {
            return RepairStep::Failed;
        };
        self.stage = Stage::Appending(end, role.clone());
        RepairStep::Append(EntryBatch { group: self.group, after: end, entries: Vec::new(), end })
    }

    /// Handles whether the successor, and every link after it, is caught up and has everything that was sent.
    pub fn on_appended(&mut self, appended: bool) -> RepairStep {
        match std::mem::replace(&mut self.stage, Stage::AwaitingPosition) {
            Stage::Appending(end, role) if appended => RepairStep::Replicated(role, end),
            _ => RepairStep::Failed,
        }
    }
}
