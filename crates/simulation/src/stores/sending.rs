//! What a simulated store makes as a head, and how entries and copies go on from it.

use std::collections::BTreeMap;

use fennelgauge_batch::Command;
use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::{
    Entry, EntryBatch, EntryPosition, ForwardTarget, GroupSnapshot, InstallResult, Role,
};

use super::disk::Record;
use super::moment::Moment;
use super::plant::StorePlant;
use super::protocol::{Answer, Ask, Call};
use super::store::{Effect, SimStore, Step};
use super::task::{Replicating, Task};
use crate::day::{Micros, MILLISECOND};

const GATHER_FOR: Micros = 6 * MILLISECOND;

impl SimStore {
    /// Makes a change as the head.
    pub(super) fn change(&mut self, group: GroupNumber, command: Command, step: &mut Step) -> EntryPosition {
        let epoch = self.view.epoch;
        let entry = self.replica(group).create_entry(group, epoch, command);
        let position = entry.position;
        self.pending.push(entry);
        if !std::mem::replace(&mut self.flush_due, true) {
            step.effects.push(Effect::Flush { at: step.now + GATHER_FOR });
        }
        position
    }

    /// Makes so many entries without effect, if it may.
    pub fn fill(&mut self, group: GroupNumber, entries: usize, step: &mut Step) {
        if !self.takes_changes(group) {
            return;
        }
        for _ in 0..entries {
            self.change(group, Command::Remove { job: String::new() }, step);
        }
    }

    /// Whether entries wait to be sent on.
    pub fn has_pending(&self) -> bool {
        self.flush_due
    }

    /// Sends on what was made here.
    pub fn flush(&mut self, step: &mut Step) {
        self.look_at_lease(step.now);
        self.flush_due = false;
        let mut groups: BTreeMap<GroupNumber, Vec<Entry>> = BTreeMap::new();
        for entry in std::mem::take(&mut self.pending) {
            groups.entry(entry.group).or_default().push(entry);
        }
        let batches: Vec<EntryBatch> = groups
            .into_iter()
            .filter_map(|(group, entries)| self.replicas.get(&group)?.batch_from(group, entries))
            .collect();
        let records = batches.iter().flat_map(|batch| &batch.entries).cloned().map(Record::Entry).collect();
        let write = self.write(records, step);
        for batch in batches {
            if self.role(batch.group).is_some_and(|role| role.is_head()) {
                self.replicate(batch, write, None, step);
            }
        }
        self.progress(step);
    }

    pub(super) fn replicate(
        &mut self,
        batch: EntryBatch,
        write: u64,
        answer_to: Option<Call>,
        step: &mut Step,
    ) {
        let epoch = self.view.epoch;
        if self.has(StorePlant::CommitsAlone) && answer_to.is_none() {
            if let Some(role) = self.role(batch.group) {
                self.mark_reached(&role, batch.group, batch.end);
            }
        }
        if self.has(StorePlant::PassesOnUnsynced) {
            self.replica(batch.group).mark_durable(batch.end);
            let task = self.reserve();
            if let Some(next) = self.pass_on(task, epoch, batch, answer_to, step) {
                self.tasks.insert(task, next);
            }
            return;
        }
        self.add(Task::Replicate { epoch, batch, stage: Replicating::Writing { write }, answer_to });
    }

    /// Entries are on this disk: on to the successor, or back from the tail.
    pub(super) fn pass_on(
        &mut self,
        number: u64,
        epoch: u64,
        batch: EntryBatch,
        answer_to: Option<Call>,
        step: &mut Step,
    ) -> Option<Task> {
        let (group, end) = (batch.group, batch.end);
        let role = self.role(group).filter(|_| self.epoch() == epoch);
        let onward = match &role {
            Some(role) => self.replica(group).forward_target(role, end),
            None => ForwardTarget::Blocked,
        };
        let reached = match (onward, role) {
            (ForwardTarget::Successor(successor), Some(role)) => {
                self.send(number, successor, Ask::Append { epoch, batch: batch.clone() }, step);
                return Some(Task::Replicate {
                    epoch,
                    batch,
                    stage: Replicating::Passing { role },
                    answer_to,
                });
            }
            (ForwardTarget::EndOfChain, Some(role)) => {
                self.mark_reached(&role, group, end);
                true
            }
            _ => false,
        };
        let answer = Answer::Appended { reached };
        step.effects.extend(answer_to.map(|call| Effect::Answer { call, answer }));
        None
    }

    /// Every further link had the entry, in the view of `role`.
    pub(super) fn mark_reached(&mut self, role: &Role, group: GroupNumber, end: EntryPosition) {
        let mut role = role.clone();
        let now_open = self.role(group).is_some_and(|now| now.is_open);
        role.is_open |= self.has(StorePlant::ChangesWhileClosed);
        role.is_open |= self.has(StorePlant::OpenByLaterView) && now_open;
        self.replica(group).mark_replicated(&role, end);
    }

    /// A copy was installed, or not; the write that holds it.
    pub(super) fn write_installed(
        &mut self,
        installed: InstallResult,
        group: GroupNumber,
        copy: GroupSnapshot,
        step: &mut Step,
    ) -> Option<u64> {
        let InstallResult::Installed { lost_read: drops_shown } = installed else { return None };
        if let Some(shown) = drops_shown {
            let what = format!("s{}: a copy up to {:?} drops {shown:?}", self.place, copy.position);
            step.effects.push(Effect::DropsShown { what });
        }
        step.at(Moment::CopyInMemory, group, None);
        Some(self.write(vec![Record::Copy { group, copy }], step))
    }
}
