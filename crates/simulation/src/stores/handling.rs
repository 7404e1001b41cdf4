//! How a simulated store's calls and tasks go on: the bodies of the program's asynchronous functions, cut at their waits.

use fennelgauge_batch::{Admission, Command, ItemOutcome, ItemResult};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::{EntryBatch, EntryPosition, Missing, Outcome, Role};

use super::disk::Record;
use super::plant::StorePlant;
use super::protocol::{Answer, Ask, Call};
use super::store::{Effect, SimStore, Step};
use super::task::{Fetched, Learning, ReadStage, Reading, Repairing, Replicating, Running, Task};
use crate::day::{Micros, MILLISECOND};

const COMMIT_TIMEOUT: Micros = 1_000 * MILLISECOND;
const SYNC_TIMEOUT: Micros = 1_200 * MILLISECOND;
/// A read is held so long for a result.
const READ_WAIT: Micros = 300 * MILLISECOND;
const JOINS_WITHIN: usize = 24;
const RUN: (Micros, Micros) = (20 * MILLISECOND, 500 * MILLISECOND);

impl SimStore {
    /// Answers a call for the view that is known here, or takes it up.
    pub(super) fn answer(&mut self, call: Call, ask: Ask, step: &mut Step) -> Option<Answer> {
        match ask {
            Ask::Append { batch, .. } => {
                let role = self.role(batch.group).filter(|role| !role.is_head());
                let Some(role) = role else { return Some(Answer::Appended { reached: false }) };
                let followed = self.replicas.entry(batch.group).or_default().follow(&role, &batch);
                let write = self.write(followed.taken.into_iter().map(Record::Entry).collect(), step);
                if !followed.is_level {
                    return Some(Answer::Appended { reached: false });
                }
                self.replicate(batch, write, Some(call), step);
                None
            }
            Ask::Position { group, .. } => Some(match self.role(group) {
                Some(_) => Answer::Position(self.replicas.entry(group).or_default().position()),
                None => Answer::OtherEpoch,
            }),
            Ask::Install { group, copy, .. } => {
                let role = self.role(group).filter(|role| !role.is_head());
                let Some(role) = role else { return Some(Answer::Unsure) };
                let Some(write) = self.install(role.level_since, group, &copy, step) else {
                    return Some(Answer::Unsure);
                };
                self.add(Task::Install { group, end: copy.position, write, answer_to: call });
                None
            }
            Ask::Fetch { group, after, .. } => {
                if !self.role(group).is_some_and(|role| role.is_head()) {
                    return Some(Answer::OtherEpoch);
                }
                let replica = self.replicas.entry(group).or_default();
                let (end, answer) = match replica.missing_at(group, after) {
                    Missing::Entries(batch) => (batch.end, Fetched::Entries(batch)),
                    Missing::Copy => (replica.position(), Fetched::Copy(replica.copy())),
                };
                let until = step.now + SYNC_TIMEOUT;
                self.add(Task::Fetch { group, end, answer, until, answer_to: call });
                None
            }
            Ask::Check { group, .. } => {
                self.checked.remove(&group);
                Some(Answer::Noted)
            }
            Ask::Submit { group, job, most_queued, .. } => {
                if !self.takes_changes(group) {
                    return Some(Answer::NotTaken);
                }
                let replica = self.replicas.entry(group).or_default();
                let entry = match replica.state().admission(&job, most_queued) {
                    Admission::OverQuota { .. } => return Some(Answer::OverQuota),
                    Admission::Known => replica.position(),
                    Admission::Fits => self.change(group, Command::Accept(job), step),
                };
                self.wait_for_commit(group, entry, call, step);
                None
            }
            Ask::End { group, job, .. } => {
                if !self.takes_changes(group) {
                    return Some(Answer::NotTaken);
                }
                let replica = self.replicas.entry(group).or_default();
                let entry = match replica.state().job(&job).map(|state| state.ended) {
                    None => return Some(Answer::Unsure),
                    Some(true) => replica.position(),
                    Some(false) => {
                        self.stop_items(&job);
                        self.change(group, Command::End { job }, step)
                    }
                };
                self.wait_for_commit(group, entry, call, step);
                None
            }
            Ask::Read { epoch, group, tenant, job, start } => {
                let role = self.role(group).filter(|role| self.answers_reads(role));
                let Some(role) = role else { return Some(Answer::Unsure) };
                let task = self.reserve();
                let questions = self.question(task, &role, group, step);
                let read = Reading { group, tenant, job, start };
                let stage = ReadStage::Asking(questions);
                self.tasks.insert(task, Task::Read { epoch, read, stage, answer_to: call });
                None
            }
        }
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
                step.effects.extend(
                    answer_to.map(|call| Effect::Answer { call, answer: Answer::Appended { reached } }),
                );
                None
            }
            Task::Repair { epoch, group, successor, stage } => {
                let stage = self.repair_heard(epoch, group, stage, answer, step.now)?;
                step.effects.push(Effect::Wake { at: step.now + SYNC_TIMEOUT });
                match stage {
                    Repairing::Done => {
                        self.checked.insert(group, epoch);
                        return None;
                    }
                    Repairing::Passing { end, .. } => {
                        let batch = EntryBatch { group, after: end, entries: Vec::new(), end };
                        self.send(number, successor, Ask::Append { epoch, batch }, step);
                    }
                    _ => {}
                }
                Some(Task::Repair { epoch, group, successor, stage })
            }
            Task::Learn { epoch, group, stage: Learning::Asking } => {
                let stage = match answer? {
                    Answer::Entries(batch) => {
                        let lacked = batch.entries.len();
                        let taken = self.replicas.entry(group).or_default().learn(epoch, &batch);
                        let write = self.write(taken.into_iter().map(Record::Entry).collect(), step);
                        Learning::WritingEntries { write, end: batch.end, lacked }
                    }
                    Answer::Copy(copy) => {
                        let write = self.install(epoch, group, &copy, step)?;
                        Learning::WritingCopy { write, end: copy.position }
                    }
                    _ => return None,
                };
                Some(Task::Learn { epoch, group, stage })
            }
            Task::Hold { epoch, group, mut questions } => {
                let link = questions.calls.remove(&call);
                if let Some(link) = link {
                    questions.confirmation.hear(link, position(answer));
                }
                Some(Task::Hold { epoch, group, questions })
            }
            Task::Read { epoch, read, stage: ReadStage::Asking(mut questions), answer_to } => {
                let link = questions.calls.remove(&call);
                if let Some(link) = link {
                    questions.confirmation.hear(link, position(answer));
                }
                Some(Task::Read { epoch, read, stage: ReadStage::Asking(questions), answer_to })
            }
            other => Some(other),
        }
    }

    /// The next stage of a repair; [`Repairing::Done`] once the successor is level, none if it has to begin anew.
    fn repair_heard(
        &mut self,
        epoch: u64,
        group: GroupNumber,
        stage: Repairing,
        answer: Option<Answer>,
        now: Micros,
    ) -> Option<Repairing> {
        let until = now + SYNC_TIMEOUT;
        match (stage, answer?) {
            (Repairing::Asking, Answer::Position(theirs)) => {
                let replica = self.replicas.get(&group)?;
                Some(match replica.missing_at(group, theirs) {
                    Missing::Entries(batch) => Repairing::Syncing { batch, until },
                    Missing::Copy => Repairing::CopySyncing { copy: replica.copy(), until },
                })
            }
            (Repairing::Installing { end }, Answer::Installed) => {
                let role = self.role(group).filter(|role| role.epoch == epoch)?;
                Some(Repairing::Passing { end, role })
            }
            (Repairing::Passing { end, role }, Answer::Appended { reached: true }) => {
                self.mark_reached(&role, group, end);
                Some(Repairing::Done)
            }
            _ => None,
        }
    }

    /// Every further link had the entry, in the view of `role`.
    pub(super) fn mark_reached(&mut self, role: &Role, group: GroupNumber, end: EntryPosition) {
        let mut role = role.clone();
        let now_open = self.role(group).is_some_and(|now| now.is_open);
        role.is_open |= self.has(StorePlant::ChangesWhileClosed);
        role.is_open |= self.has(StorePlant::OpenByLaterView) && now_open;
        self.replicas.entry(group).or_default().mark_reached(&role, end);
    }

    /// A task that waited for a write; none if it has ended.
    pub(super) fn after_write(
        &mut self,
        number: u64,
        task: Task,
        written: u64,
        step: &mut Step,
    ) -> Option<Task> {
        match task {
            Task::Replicate { epoch, batch, stage: Replicating::Writing { write }, answer_to }
                if write == written =>
            {
                self.replicas.entry(batch.group).or_default().mark_synced(batch.end);
                if answer_to.is_none() {
                    step.effects.push(Effect::HeadSynced);
                }
                self.pass_on(number, epoch, batch, answer_to, step)
            }
            Task::Install { group, end, write, answer_to } if write == written => {
                self.replicas.entry(group).or_default().mark_synced(end);
                step.effects.push(Effect::Answer { call: answer_to, answer: Answer::Installed });
                None
            }
            Task::Learn { epoch, group, stage: Learning::WritingEntries { write, end, lacked } }
                if write == written =>
            {
                let replica = self.replicas.entry(group).or_default();
                replica.mark_synced(end);
                if replica.contains(end) && lacked <= JOINS_WITHIN {
                    self.copied.insert(group, epoch);
                }
                None
            }
            Task::Learn { group, stage: Learning::WritingCopy { write, end }, .. } if write == written => {
                self.replicas.entry(group).or_default().mark_synced(end);
                None
            }
            other => Some(other),
        }
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
        let role = self.role(batch.group).filter(|_| self.view.epoch == epoch);
        let may_pass = self.replicas.get(&batch.group).is_some_and(|replica| {
            role.as_ref().is_some_and(|role| replica.passes_on(role)) && replica.has_on_disk(batch.end)
        });
        let Some(role) = role.filter(|_| may_pass) else {
            let answer = Answer::Appended { reached: false };
            step.effects.extend(answer_to.map(|call| Effect::Answer { call, answer }));
            return None;
        };
        match role.successor {
            Some(successor) => {
                let ask = Ask::Append { epoch, batch: batch.clone() };
                self.send(number, successor, ask, step);
                let stage = Replicating::Passing { role };
                Some(Task::Replicate { epoch, batch, stage, answer_to })
            }
            None => {
                self.mark_reached(&role, batch.group, batch.end);
                let answer = Answer::Appended { reached: true };
                step.effects.extend(answer_to.map(|call| Effect::Answer { call, answer }));
                None
            }
        }
    }

    /// Goes on with whatever waits for something that is true now.
    pub(super) fn progress(&mut self, step: &mut Step) {
        loop {
            let before = step.effects.len();
            let tasks: Vec<u64> = self.tasks.keys().copied().collect();
            let mut moved = false;
            for number in tasks {
                let Some(task) = self.tasks.remove(&number) else { continue };
                let (next, did) = self.looked_at(number, task, step);
                moved |= did;
                if let Some(next) = next {
                    self.tasks.insert(number, next);
                }
            }
            if !moved && step.effects.len() == before {
                return;
            }
        }
    }

    /// A task, looked at; none if it has ended, and whether it moved.
    fn looked_at(&mut self, number: u64, task: Task, step: &mut Step) -> (Option<Task>, bool) {
        let now = step.now;
        match task {
            Task::Repair { epoch, group, successor, stage } => {
                let replica = self.replicas.entry(group).or_default();
                let (end, until) = match &stage {
                    Repairing::Syncing { batch, until } => (batch.end, *until),
                    Repairing::CopySyncing { copy, until } => (copy.position, *until),
                    _ => return (Some(Task::Repair { epoch, group, successor, stage }), false),
                };
                if !replica.has_on_disk(end) {
                    let waits = now < until && replica.contains(end);
                    return (waits.then_some(Task::Repair { epoch, group, successor, stage }), !waits);
                }
                let Some(role) = self.role(group).filter(|role| role.epoch == epoch) else {
                    return (None, true);
                };
                let stage = match stage {
                    Repairing::Syncing { batch, .. } => {
                        self.send(number, successor, Ask::Append { epoch, batch }, step);
                        Repairing::Passing { end, role }
                    }
                    Repairing::CopySyncing { copy, .. } => {
                        self.send(number, successor, Ask::Install { epoch, group, copy }, step);
                        Repairing::Installing { end }
                    }
                    stage => stage,
                };
                (Some(Task::Repair { epoch, group, successor, stage }), true)
            }
            Task::Fetch { group, end, answer, until, answer_to } => {
                let replica = self.replicas.entry(group).or_default();
                if replica.has_on_disk(end) {
                    let answer = match answer {
                        Fetched::Entries(batch) => Answer::Entries(batch),
                        Fetched::Copy(copy) => Answer::Copy(copy),
                    };
                    step.effects.push(Effect::Answer { call: answer_to, answer });
                    return (None, true);
                }
                match now < until {
                    true => (Some(Task::Fetch { group, end, answer, until, answer_to }), false),
                    false => {
                        step.effects.push(Effect::Answer { call: answer_to, answer: Answer::Unsure });
                        (None, true)
                    }
                }
            }
            Task::Hold { epoch, group, questions } => {
                let replica = self.replicas.entry(group).or_default();
                match questions.confirmation.outcome(replica) {
                    Outcome::Certain if self.view.epoch == epoch => {
                        self.holds.insert(group, epoch);
                        (None, true)
                    }
                    Outcome::Waits if now < questions.until => {
                        (Some(Task::Hold { epoch, group, questions }), false)
                    }
                    _ => (None, true),
                }
            }
            Task::Commit { group, entry, until, answer_to } => {
                let replica = self.replicas.entry(group).or_default();
                let answer = match () {
                    () if replica.is_committed(entry) => Answer::Accepted,
                    () if !replica.contains(entry) || now >= until => Answer::Unknown,
                    () => return (Some(Task::Commit { group, entry, until, answer_to }), false),
                };
                step.effects.push(Effect::Answer { call: answer_to, answer });
                (None, true)
            }
            Task::Read { epoch, read, stage, answer_to } => {
                self.read_looked_at(epoch, read, stage, answer_to, step)
            }
            Task::Run { group, job, item, stage } => self.run_looked_at(group, job, item, stage, step),
            other => (Some(other), false),
        }
    }

    fn read_looked_at(
        &mut self,
        epoch: u64,
        read: Reading,
        stage: ReadStage,
        answer_to: Call,
        step: &mut Step,
    ) -> (Option<Task>, bool) {
        let now = step.now;
        let replica = self.replicas.entry(read.group).or_default();
        let page = replica.state().page(&read.tenant, &read.job, read.start);
        let next = match stage {
            ReadStage::Asking(questions) => match questions.confirmation.outcome(replica) {
                Outcome::Certain => {
                    step.effects.push(Effect::Wake { at: now + READ_WAIT });
                    Some(ReadStage::Waiting { until: now + READ_WAIT })
                }
                Outcome::Waits if now < questions.until => {
                    let stage = ReadStage::Asking(questions);
                    return (Some(Task::Read { epoch, read, stage, answer_to }), false);
                }
                _ => None,
            },
            ReadStage::Waiting { until } => {
                let has_news = page.as_ref().is_none_or(|page| !page.results.is_empty() || page.complete);
                if !has_news && now < until {
                    let stage = ReadStage::Waiting { until };
                    return (Some(Task::Read { epoch, read, stage, answer_to }), false);
                }
                let Some(page) = page else {
                    step.effects.push(Effect::Answer { call: answer_to, answer: Answer::NotFound });
                    return (None, true);
                };
                let position = replica.position();
                step.effects.push(Effect::Wake { at: now + COMMIT_TIMEOUT });
                Some(ReadStage::Syncing { page, position, until: now + COMMIT_TIMEOUT })
            }
            ReadStage::Syncing { page, position, until } => {
                if replica.has_on_disk(position) && self.view.epoch == epoch {
                    if !page.results.is_empty() {
                        replica.mark_shown(position);
                        step.effects.push(Effect::ReaderAnswered);
                    }
                    step.effects.push(Effect::Answer { call: answer_to, answer: Answer::Page(page) });
                    return (None, true);
                }
                if now < until && self.view.epoch == epoch {
                    let stage = ReadStage::Syncing { page, position, until };
                    return (Some(Task::Read { epoch, read, stage, answer_to }), false);
                }
                None
            }
        };
        if next.is_none() {
            step.effects.push(Effect::Answer { call: answer_to, answer: Answer::Unsure });
        }
        (next.map(|stage| Task::Read { epoch, read, stage, answer_to }), true)
    }

    fn run_looked_at(
        &mut self,
        group: GroupNumber,
        job: String,
        item: u32,
        stage: Running,
        step: &mut Step,
    ) -> (Option<Task>, bool) {
        let now = step.now;
        let ended = self
            .replicas
            .get(&group)
            .and_then(|replica| replica.state().job(&job))
            .is_none_or(|state| state.ended || state.finished[item as usize]);
        let Some(id) = self.job(group, &job).map(|job| job.items[item as usize].id.clone()) else {
            return (None, true);
        };
        if ended {
            return (None, true);
        }
        let stage = match stage {
            Running::Committing { entry, until } => {
                let replica = self.replicas.entry(group).or_default();
                if !replica.is_committed(entry) {
                    let waits = replica.contains(entry) && now < until;
                    let stage = Running::Committing { entry, until };
                    return (waits.then_some(Task::Run { group, job, item, stage }), !waits);
                }
                step.effects.push(Effect::Began { item: id });
                let until = now + step.chance.between(RUN.0, RUN.1);
                step.effects.push(Effect::Wake { at: until });
                Running::AtServer { until }
            }
            Running::AtServer { until } if now < until => {
                return (Some(Task::Run { group, job, item, stage: Running::AtServer { until } }), false);
            }
            Running::AtServer { .. } => {
                let text = self.new_text(&id);
                step.effects.push(Effect::Done { item: id, text: text.clone() });
                Running::Done { text }
            }
            Running::Done { text } if self.takes_changes(group) => {
                let result = ItemResult { item, outcome: ItemOutcome::Succeeded, text };
                self.change(group, Command::Finish { job, results: vec![result] }, step);
                return (None, true);
            }
            Running::Done { text } => {
                return (Some(Task::Run { group, job, item, stage: Running::Done { text } }), false);
            }
        };
        (Some(Task::Run { group, job, item, stage }), true)
    }
}

fn position(answer: Option<Answer>) -> Option<EntryPosition> {
    match answer {
        Some(Answer::Position(position)) => Some(position),
        _ => None,
    }
}
