//! How a simulated store's tasks go on: the bodies of the program's asynchronous functions, cut at their waits.

use std::time::Duration;

use fennelgauge_coordination::StoreNumber;
use fennelgauge_replication::{ConfirmationStatus, EntryPosition, EntryStatus, ReadStep, Repair, RepairStep};

use super::answering::SYNC_TIMEOUT;
use super::disk::Record;
use super::moment::Moment;
use super::plant::StorePlant;
use super::protocol::{Answer, Ask};
use super::store::{Effect, SimStore, Step};
use super::task::{Fetched, Learning, Replicating, Task};
use crate::day::Micros;

impl SimStore {
    /// A task that waited for an answer; none if it has ended.
    pub(super) fn continued(
        &mut self,
        number: u64,
        task: Task,
        call: u64,
        answer: Option<Answer>,
        step: &mut Step,
    ) -> Option<Task> {
        match task {
            Task::Replicate { batch, stage: Replicating::Passing { role }, answer_to, .. } => {
                let reached = matches!(answer, Some(Answer::Appended { reached: true }));
                if reached {
                    self.mark_reached(&role, batch.group, batch.end);
                }
                let answer = Answer::Appended { reached };
                step.effects.extend(answer_to.map(|call| Effect::Answer { call, answer }));
                None
            }
            Task::Repair { repair, successor, until } => {
                self.repair_heard(number, repair, successor, until, answer, step)
            }
            Task::Learn { epoch, group, stage: Learning::Asking } => {
                let stage = match answer? {
                    Answer::Entries(batch) => {
                        let lacked = batch.entries.len();
                        let taken = self.replica(group).append_as_learner(epoch, &batch);
                        let write = self.write(taken.into_iter().map(Record::Entry).collect(), step);
                        Learning::WritingEntries { write, end: batch.end, lacked }
                    }
                    Answer::Copy(copy) => {
                        let end = copy.position;
                        let installed = self.replica(group).install_snapshot_as_learner(epoch, &copy);
                        let write = self.write_installed(installed, group, copy, step)?;
                        Learning::WritingCopy { write, end }
                    }
                    _ => return None,
                };
                Some(Task::Learn { epoch, group, stage })
            }
            Task::Hold { epoch, group, mut questions } => {
                if let Some(link) = questions.calls.remove(&call) {
                    questions.confirmation.record_answer(link, position(answer));
                }
                Some(Task::Hold { epoch, group, questions })
            }
            Task::Read { mut reading, mut calls, group, began, wakes_at, answer_to } => {
                if let Some(link) = calls.remove(&call) {
                    reading.record_answer(link, position(answer));
                }
                Some(Task::Read { reading, calls, group, began, wakes_at, answer_to })
            }
            other => Some(other),
        }
    }

    fn repair_heard(
        &mut self,
        number: u64,
        mut repair: Repair,
        successor: StoreNumber,
        until: Option<Micros>,
        answer: Option<Answer>,
        step: &mut Step,
    ) -> Option<Task> {
        let role = self.role(repair.group);
        let next = match answer {
            Some(Answer::Position(theirs)) => repair.on_position(self.replica(repair.group), Some(theirs)),
            Some(Answer::Installed) => repair.on_installed(role.as_ref(), true),
            Some(Answer::Appended { reached }) => repair.on_appended(reached),
            _ => return None,
        };
        let until = until.unwrap_or(step.now + SYNC_TIMEOUT);
        step.effects.push(Effect::Wake { at: until });
        self.follow_repair(number, repair, successor, until, next, step)
    }

    /// Does what an attempt has come to; none if it has ended.
    fn follow_repair(
        &mut self,
        number: u64,
        repair: Repair,
        successor: StoreNumber,
        until: Micros,
        next: RepairStep,
        step: &mut Step,
    ) -> Option<Task> {
        let (group, epoch) = (repair.group, repair.epoch);
        match next {
            RepairStep::Wait => {}
            RepairStep::Install(copy) => {
                step.at(Moment::CopySent, group, Some(successor));
                self.send(number, successor, Ask::Install { epoch, group, copy }, step);
            }
            RepairStep::Append(batch) => {
                self.send(number, successor, Ask::Append { epoch, batch }, step);
            }
            RepairStep::Replicated(role, end) => {
                self.mark_reached(&role, group, end);
                self.checked.insert(group, epoch);
                return None;
            }
            RepairStep::Failed => return None,
        }
        Some(Task::Repair { repair, successor, until: Some(until) })
    }

    /// A task whose write is on the disk; none if it has ended.
    pub(super) fn after_write(&mut self, number: u64, task: Task, step: &mut Step) -> Option<Task> {
        match task {
            Task::Replicate { epoch, batch, answer_to, .. } => {
                self.replica(batch.group).mark_durable(batch.end);
                if answer_to.is_none() {
                    let successor = self.role(batch.group).and_then(|role| role.successor);
                    step.at(Moment::BatchSynced, batch.group, successor);
                }
                self.pass_on(number, epoch, batch, answer_to, step)
            }
            Task::Install { group, end, answer_to, .. } => {
                self.replica(group).mark_durable(end);
                step.effects.push(Effect::Answer { call: answer_to, answer: Answer::Installed });
                None
            }
            Task::Learn { epoch, group, stage: Learning::WritingEntries { end, lacked, .. } } => {
                let replica = self.replica(group);
                replica.mark_durable(end);
                if replica.may_report_copied(end, lacked) && self.copied.insert(group, epoch).is_none() {
                    let head = self.view.head(group).map(|head| head.number);
                    step.at(Moment::Copied, group, head);
                }
                None
            }
            Task::Learn { group, stage: Learning::WritingCopy { end, .. }, .. }
            | Task::Begin { group, end, .. } => {
                self.replica(group).mark_durable(end);
                None
            }
            Task::WriteAll { ends, .. } => {
                for (group, end) in ends {
                    self.replica(group).mark_durable(end);
                }
                None
            }
            other => Some(other),
        }
    }

    /// A task whose write has failed; none if it has ended.
    pub(super) fn after_failed_write(&mut self, task: Task, step: &mut Step) -> Option<Task> {
        match task {
            Task::Replicate { answer_to, .. } => {
                let answer = Answer::Appended { reached: false };
                step.effects.extend(answer_to.map(|call| Effect::Answer { call, answer }));
            }
            Task::Install { answer_to, .. } => {
                step.effects.push(Effect::Answer { call: answer_to, answer: Answer::Unsure });
            }
            _ => {}
        }
        None
    }

    /// Goes on with whatever waits for something that is true now.
    pub(super) fn progress(&mut self, step: &mut Step) {
        loop {
            let tasks: Vec<u64> =
                self.tasks.iter().filter(|(_, task)| task.looks()).map(|(number, _)| *number).collect();
            let mut moved = false;
            for number in tasks {
                let Some(task) = self.tasks.remove(&number) else { continue };
                let (next, did) = self.looked_at(number, task, step);
                moved |= did;
                if let Some(next) = next {
                    self.tasks.insert(number, next);
                }
            }
            self.tell_listed(step);
            if !moved {
                return;
            }
        }
    }

    /// Results that are committed now.
    fn tell_listed(&mut self, step: &mut Step) {
        let unlisted = std::mem::take(&mut self.unlisted);
        for (group, entry, item) in unlisted {
            match self.replica(group).entry_status(entry) {
                EntryStatus::Committed => step.effects.push(Effect::Listed { item }),
                EntryStatus::Pending => self.unlisted.push((group, entry, item)),
                EntryStatus::Discarded => {}
            }
        }
    }

    /// A task, looked at; none if it has ended, and whether it moved.
    fn looked_at(&mut self, number: u64, task: Task, step: &mut Step) -> (Option<Task>, bool) {
        let now = step.now;
        match task {
            Task::Repair { mut repair, successor, until: Some(until) } => {
                let role = self.role(repair.group);
                match repair.poll(self.replica(repair.group), role.as_ref()) {
                    RepairStep::Wait if now < until || !repair.awaits_durability() => {
                        (Some(Task::Repair { repair, successor, until: Some(until) }), false)
                    }
                    RepairStep::Wait => (None, true),
                    next => (self.follow_repair(number, repair, successor, until, next, step), true),
                }
            }
            Task::Fetch { group, end, answer, until, answer_to } => {
                let answer = match (self.replica(group).is_durable(end), answer) {
                    (true, Fetched::Entries(batch)) => Answer::Entries(batch),
                    (true, Fetched::Copy(copy)) => Answer::Copy(copy),
                    (false, answer) if now < until => {
                        return (Some(Task::Fetch { group, end, answer, until, answer_to }), false);
                    }
                    (false, _) => Answer::Unsure,
                };
                step.effects.push(Effect::Answer { call: answer_to, answer });
                (None, true)
            }
            Task::Hold { epoch, group, questions } => {
                let is_now = self.epoch() == epoch;
                match questions.confirmation.status(self.replica(group)) {
                    ConfirmationStatus::Confirmed if is_now => {
                        self.holds.insert(group, epoch);
                        step.at(Moment::Holds, group, None);
                        (None, true)
                    }
                    ConfirmationStatus::Pending if now < questions.until => {
                        (Some(Task::Hold { epoch, group, questions }), false)
                    }
                    _ => (None, true),
                }
            }
            Task::Commit { group, entry, until, answer_to } => {
                let answer = match self.replica(group).entry_status(entry) {
                    EntryStatus::Committed => Answer::Accepted,
                    EntryStatus::Pending if now < until => {
                        return (Some(Task::Commit { group, entry, until, answer_to }), false);
                    }
                    EntryStatus::Pending | EntryStatus::Discarded => Answer::Unknown,
                };
                step.effects.push(Effect::Answer { call: answer_to, answer });
                (None, true)
            }
            Task::Read { .. } => self.reading_looked_at(task, step),
            Task::Run { group, job, item, stage } => self.run_looked_at(group, job, item, stage, step),
            other => (Some(other), false),
        }
    }

    fn reading_looked_at(&mut self, task: Task, step: &mut Step) -> (Option<Task>, bool) {
        let Task::Read { mut reading, calls, group, began, wakes_at, answer_to } = task else {
            return (Some(task), false);
        };
        let epoch = match self.has(StorePlant::OldViewsAreServed) {
            true => reading.epoch(),
            false => self.epoch(),
        };
        let since = Duration::from_micros(step.now.saturating_sub(began));
        let answer = match reading.poll(self.replica(group), epoch, since) {
            ReadStep::Wait(until) => {
                let at = began + until.as_micros() as Micros;
                if wakes_at != at {
                    step.effects.push(Effect::Wake { at });
                }
                return (Some(Task::Read { reading, calls, group, began, wakes_at: at, answer_to }), false);
            }
            ReadStep::Page(page, _) => {
                if !page.results.is_empty() {
                    step.at(Moment::ReaderAnswered, group, None);
                }
                Answer::Page(page)
            }
            ReadStep::NotFound => Answer::NotFound,
            ReadStep::GivenUp if self.has(StorePlant::GivenUpIsUnknown) => Answer::NotFound,
            ReadStep::GivenUp => Answer::GivenUp,
            ReadStep::Undetermined => Answer::Unsure,
        };
        step.effects.push(Effect::Answer { call: answer_to, answer });
        (None, true)
    }
}

fn position(answer: Option<Answer>) -> Option<EntryPosition> {
    match answer {
        Some(Answer::Position(position)) => Some(position),
        _ => None,
    }
}
