//! How a simulated store answers a call, or takes it up.

use std::collections::BTreeMap;
use std::time::Duration;

use fennelgauge_batch::Command;
use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::{
    CancelDecision, CatchUp, EntryPosition, ReadOperation, ReadQuery, SubmissionDecision,
};

use super::disk::Record;
use super::moment::Moment;
use super::plant::StorePlant;
use super::protocol::{Answer, Ask, Call};
use super::store::{Effect, SimStore, Step};
use super::task::{Fetched, Task};
use crate::day::{Micros, MILLISECOND};

pub const COMMIT_TIMEOUT: Micros = 1_000 * MILLISECOND;
pub const SYNC_TIMEOUT: Micros = 1_200 * MILLISECOND;
/// A read is held so long for a result.
const READ_HOLD: Duration = Duration::from_millis(300);

impl SimStore {
    /// Answers a call for the view that is known here, or takes it up.
    pub(super) fn answer(&mut self, call: Call, ask: Ask, step: &mut Step) -> Option<Answer> {
        match ask {
            Ask::Append { batch, .. } => {
                let group = batch.group;
                let role = self.role(group);
                let predecessor = role.as_ref().and_then(|role| role.predecessor);
                let followed = self.replica(group).append_as_link(role.as_ref(), &batch);
                if !followed.appended.is_empty() {
                    step.at(Moment::BatchTaken, group, predecessor);
                }
                let write = self.write(followed.appended.into_iter().map(Record::Entry).collect(), step);
                if !followed.is_caught_up {
                    return Some(Answer::Appended { reached: false });
                }
                if batch.entries.is_empty() {
                    step.at(Moment::ToldLevel, group, predecessor);
                }
                self.replicate(batch, write, Some(call), step);
                None
            }
            Ask::Position { group, .. } => {
                let role = self.role(group);
                let position = self.replica(group).position_in_role(role.as_ref());
                Some(position.map_or(Answer::OtherEpoch, Answer::Position))
            }
            Ask::Install { group, copy, .. } => {
                let role = self.role(group);
                let installed = self.replica(group).install_snapshot_as_link(role.as_ref(), &copy);
                let end = copy.position;
                let Some(write) = self.write_installed(installed, group, copy, step) else {
                    return Some(Answer::Unsure);
                };
                self.add(Task::Install { group, end, write, answer_to: call });
                None
            }
            Ask::Fetch { group, after, .. } => self.fetch(group, after, call, step),
            Ask::Check { group, .. } => {
                self.checked.remove(&group);
                Some(Answer::Noted)
            }
            Ask::Submit { group, job, most_queued, .. } => {
                let role = self.changing_role(group);
                let entry = match self.replica(group).decide_submission(role.as_ref(), &job, most_queued) {
                    SubmissionDecision::NotWritable => return Some(Answer::NotTaken),
                    SubmissionDecision::OverQuota => return Some(Answer::OverQuota),
                    SubmissionDecision::GivenUp => return Some(Answer::GivenUp),
                    SubmissionDecision::AlreadyAccepted(entry) => entry,
                    SubmissionDecision::Accept => {
                        let (id, items) = (job.id.clone(), (0..job.items.len() as u32).collect());
                        let entry = self.change(group, Command::Accept(job), step);
                        self.accepted_here.insert(id, (entry, items));
                        entry
                    }
                };
                self.wait_for_commit(group, entry, call, step);
                None
            }
            Ask::End { group, tenant, job, .. } => {
                let role = self.changing_role(group);
                let entry = match self.replica(group).decide_cancellation(role.as_ref(), &tenant, &job) {
                    CancelDecision::NotWritable => return Some(Answer::NotTaken),
                    CancelDecision::NotFound if self.replica(group).state().may_have_given_up(&job) => {
                        return Some(Answer::GivenUp);
                    }
                    CancelDecision::NotFound => return Some(Answer::Unsure),
                    CancelDecision::AlreadyCancelled(entry) => entry,
                    CancelDecision::Cancel => {
                        self.stop_items(&job);
                        self.change(group, Command::Cancel { job }, step)
                    }
                };
                self.wait_for_commit(group, entry, call, step);
                None
            }
            Ask::Read { group, tenant, job, start, .. } => {
                self.begin_reading(group, ReadQuery { tenant, job, start }, call, step)
            }
        }
    }

    fn fetch(
        &mut self,
        group: GroupNumber,
        after: EntryPosition,
        call: Call,
        step: &mut Step,
    ) -> Option<Answer> {
        let role = self.role(group);
        let learner = self.view.group(group).and_then(|held| held.learner).map(|learner| learner.store);
        let replica = self.replica(group);
        let Some(missing) = replica.catch_up_for_learner(role.as_ref(), group, after) else {
            return Some(Answer::OtherEpoch);
        };
        let (end, answer) = match missing {
            CatchUp::Entries(batch) => (batch.end, Fetched::Entries(batch)),
            CatchUp::Snapshot => {
                step.at(Moment::CopySent, group, learner);
                (replica.position(), Fetched::Copy(replica.snapshot()))
            }
        };
        let until = step.now + SYNC_TIMEOUT;
        step.effects.push(Effect::Wake { at: until });
        self.add(Task::Fetch { group, end, answer, until, answer_to: call });
        None
    }

    fn begin_reading(
        &mut self,
        group: GroupNumber,
        query: ReadQuery,
        call: Call,
        step: &mut Step,
    ) -> Option<Answer> {
        let role = self.role(group);
        let reading = match self.plant {
            Some(StorePlant::AnyLinkAnswers) => role
                .filter(|role| role.is_open)
                .map(|role| ReadOperation::without_role_check(role, query, READ_HOLD)),
            Some(StorePlant::AnswersWhileClosed) => role
                .filter(|role| role.is_tail())
                .map(|role| ReadOperation::without_role_check(role, query, READ_HOLD)),
            _ => ReadOperation::new(role, query, READ_HOLD),
        };
        let Some(mut reading) = reading else { return Some(Answer::Unsure) };
        let (task, epoch) = (self.reserve(), self.view.epoch);
        let mut calls = BTreeMap::new();
        for link in reading.confirming_links().to_vec() {
            if self.has(StorePlant::AnswersWithoutAsking) {
                reading.record_answer(link, Some(EntryPosition::default()));
                continue;
            }
            calls.insert(self.send(task, link, Ask::Position { epoch, group }, step), link);
        }
        step.at(Moment::LinksAsked, group, None);
        let read = Task::Read {
            reading: Box::new(reading),
            calls,
            group,
            began: step.now,
            wakes_at: 0,
            answer_to: call,
        };
        self.tasks.insert(task, read);
        None
    }

    fn wait_for_commit(
        &mut self,
        group: GroupNumber,
        entry: EntryPosition,
        answer_to: Call,
        step: &mut Step,
    ) {
        let until = step.now + COMMIT_TIMEOUT;
        step.effects.push(Effect::Wake { at: until });
        self.add(Task::Commit { group, entry, until, answer_to });
    }
}
