//! The items that a simulated store runs as a head.

use std::collections::BTreeSet;

use fennelgauge_batch::{
    AttemptEvent, Attempts, Command, FailureLimits, ItemLimits, ItemOutcome, ItemPast, ItemResult, ItemStep,
    Job, KnownConfiguration, RouteStatus,
};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::EntryPosition;

use super::configuration::{ConfigurationWait, ItemNature};
use super::plant::StorePlant;
use super::store::{Effect, SimStore, Step};
use super::task::{RunMemory, Running, ServerAnswer, Task};
use crate::day::{Micros, MILLISECOND};

const RUN: (Micros, Micros) = (20 * MILLISECOND, 500 * MILLISECOND);
/// Pause before an item is looked at again that could not be sent.
const RETRY_DELAY: Micros = 120 * MILLISECOND;
/// Age up to which a confirmation of the configuration counts.
const CONFIRMATION_MAX_AGE: Micros = 2_000 * MILLISECOND;
const COMMIT_PATIENCE: Micros = 4_000 * MILLISECOND;
const COMMIT_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Time for which an item rests if the outcome of too many of its attempts is unknown.
const REST: Micros = 3_000 * MILLISECOND;
/// Time that a server's answer takes to the store.
const ANSWER_DELAY: (Micros, Micros) = (MILLISECOND, 30 * MILLISECOND);
/// A lost answer is waited for so long.
const ANSWER_TIMEOUT: Micros = 600 * MILLISECOND;
/// As the product is set by default.
const IS_PATIENT: bool = true;

/// An item of a batch job.
struct ItemPlace {
    group: GroupNumber,
    job: String,
    item: u32,
}

impl SimStore {
    pub(super) fn start_items(&mut self, step: &mut Step) {
        for group in self.groups.clone() {
            let Some(replica) = self.replicas.get(&group).filter(|_| self.takes_changes(group)) else {
                continue;
            };
            if replica.commit_position_unknown() {
                continue;
            }
            let entry = replica.position();
            let held = self.jobs_held_for_configuration(group, step.now);
            let Some(replica) = self.replicas.get(&group) else { continue };
            let open: Vec<(String, u32)> = replica
                .state()
                .jobs()
                .filter(|state| !state.is_complete())
                .filter(|state| !held.contains(&state.job.id))
                .flat_map(|state| state.unfinished_items().map(|item| (state.job.id.clone(), item)))
                .collect();
            for (job, item) in open {
                let runs = self.tasks.values().filter(|task| task.is_running_item()).count();
                let busy = self.is_busy(
                    |task| matches!(task, Task::Run { job: of, item: at, .. } if *of == job && *at == item),
                );
                let rested_since = self.resting_since.get(&(job.clone(), item));
                let rests = rested_since.is_some_and(|since| step.now < *since + REST);
                if runs >= self.items_at_once || busy || rests {
                    continue;
                }
                let stage = Running::Committing { entry, until: step.now + COMMIT_PATIENCE };
                self.add(Task::Run { group, job, item, stage });
            }
        }
    }

    /// Returns what to do next with an item of a job that has this past and waits for a configuration.
    fn item_step(&self, job: &Job, past: ItemPast, wait: Option<ConfigurationWait>, now: Micros) -> ItemStep {
        if !self.changes_routes {
            let known = KnownConfiguration { generation: job.generation, is_confirmed: true };
            let route = self.route_status(Some(&job.limits), job);
            return job.next_item_step(known, route, past, now / MILLISECOND);
        }
        let Some(configuration) = &self.configuration else { return ItemStep::AwaitConfiguration };
        let known = KnownConfiguration {
            generation: configuration.generation,
            is_confirmed: wait.is_some_and(|wait| self.is_confirmed(wait, now)),
        };
        let route = self.route_status(configuration.routes.get(&job.route), job);
        job.next_item_step(self.planted_knowledge(known, job), route, past, now / MILLISECOND)
    }

    fn is_confirmed(&self, wait: ConfigurationWait, now: Micros) -> bool {
        let counts = |at: Micros| at > wait.since && now <= at + CONFIRMATION_MAX_AGE;
        self.configuration_confirmed_at.is_some_and(counts)
    }

    fn planted_knowledge(&self, known: KnownConfiguration, job: &Job) -> KnownConfiguration {
        let is_as_new_as_job = known.generation >= job.generation;
        match self.plant {
            Some(StorePlant::UnknownRouteIsEnded) => KnownConfiguration { is_confirmed: true, ..known },
            Some(StorePlant::UnconfirmedGivesUp) if is_as_new_as_job => {
                KnownConfiguration { is_confirmed: true, ..known }
            }
            _ => known,
        }
    }

    fn route_status(&self, route: Option<&ItemLimits>, job: &Job) -> RouteStatus {
        let newest = match route {
            Some(limits) => *limits,
            None if self.has(StorePlant::EndedRouteRunsOn) => job.limits,
            None => return RouteStatus::Absent,
        };
        let limits = match self.has(StorePlant::OnlyLimitsOfAcceptance) {
            true => job.limits,
            false => job.limits.union(newest),
        };
        let retention_ms = limits.retention_ms.filter(|_| !self.has(StorePlant::RetentionIsEndless));
        RouteStatus::InForce {
            expires_ms: retention_ms.map(|retention_ms| job.received_ms + retention_ms),
            failures: FailureLimits::new(job.limits.retries, newest.retries, IS_PATIENT),
        }
    }

    /// Returns the jobs of a group whose items are not to be started, because they would only wait for a configuration.
    fn jobs_held_for_configuration(&mut self, group: GroupNumber, now: Micros) -> BTreeSet<String> {
        let Some(replica) = self.replicas.get(&group).filter(|_| self.changes_routes) else {
            return BTreeSet::new();
        };
        let awaits =
            |job: &&Job| self.item_step(job, ItemPast::default(), None, now) == ItemStep::AwaitConfiguration;
        let unfinished = replica.state().jobs().filter(|state| !state.is_complete()).map(|state| &state.job);
        let (awaiting, others): (Vec<&Job>, Vec<&Job>) = unfinished.partition(awaits);
        let awaiting: Vec<String> = awaiting.into_iter().map(|job| job.id.clone()).collect();
        let others: Vec<String> = others.into_iter().map(|job| job.id.clone()).collect();
        for job in others {
            self.awaiting_configuration.remove(&job);
        }
        let mut held = BTreeSet::new();
        for job in awaiting {
            let begun = ConfigurationWait { since: now };
            let wait = *self.awaiting_configuration.entry(job.clone()).or_insert(begun);
            if !self.is_confirmed(wait, now) {
                held.insert(job);
            }
        }
        held
    }

    /// The text of a new run: no two runs have the same.
    fn new_text(&mut self, item: &str) -> String {
        self.runs += 1;
        format!("{item} by s{} life {} run {}", self.place, self.life, self.runs)
    }

    pub(super) fn stop_items(&mut self, job: &str) {
        self.tasks.retain(|_, task| !matches!(task, Task::Run { job: of, .. } if of == job));
    }

    fn job(&self, group: GroupNumber, job: &str) -> Option<&Job> {
        self.replicas.get(&group)?.state().job(job).map(|state| &state.job)
    }

    fn nature(&self, at: &ItemPlace) -> ItemNature {
        let job = self.job(at.group, &at.job);
        let body = job.and_then(|job| job.items.get(at.item as usize)).map(|item| &item.body);
        body.map_or(ItemNature::Runs, |body| ItemNature::of_body(body))
    }

    /// Returns the next stage of a run: to a server, the result, or a pause. Returns `None` if the item is to rest.
    fn next_stage(&mut self, at: &ItemPlace, mut memory: RunMemory, step: &mut Step) -> Option<Running> {
        let now = step.now;
        if memory.has_unrecorded_failure && !self.takes_changes(at.group) {
            return Some(pause(memory, step));
        }
        if std::mem::take(&mut memory.has_unrecorded_failure) {
            memory.permit = Some(self.record_attempt(at, AttemptEvent::Failed, step));
        }
        let past = self.item_past(at, &memory, now);
        let next = self.job(at.group, &at.job).map(|job| self.item_step(job, past, memory.wait, now));
        match next {
            // Decided anew once the result can be recorded.
            Some(ItemStep::DeadLetter) if !self.takes_changes(at.group) => {}
            Some(ItemStep::DeadLetter) => {
                return Some(Running::Done { text: String::new(), outcome: ItemOutcome::DeadLettered });
            }
            Some(ItemStep::Rest) => {
                self.resting_since.insert((at.job.clone(), at.item), now);
                step.effects.push(Effect::Wake { at: now + REST });
                return None;
            }
            Some(ItemStep::Run) if self.nature(at) != ItemNature::FindsNoServer => {
                memory.wait = None;
                return Some(self.permitted_stage(at, memory, step));
            }
            Some(ItemStep::AwaitConfiguration) => {
                memory.wait.get_or_insert(ConfigurationWait { since: now });
            }
            Some(ItemStep::Run) | None => memory.wait = None,
        }
        Some(pause(memory, step))
    }

    /// Returns the next stage of a run that is to go to a server: there if its permit is committed, else a wait for that.
    fn permitted_stage(&mut self, at: &ItemPlace, mut memory: RunMemory, step: &mut Step) -> Running {
        memory.permit = memory.permit.filter(|entry| self.replica(at.group).contains(*entry));
        let is_committed = memory.permit.is_some_and(|entry| self.replica(at.group).is_committed(entry));
        if is_committed || self.has(StorePlant::PermitsAreNotTaken) {
            return self.at_server(at, memory, step);
        }
        if memory.permit.is_none() && !self.takes_changes(at.group) {
            return pause(memory, step);
        }
        if memory.permit.is_none() {
            memory.permit = Some(self.record_attempt(at, AttemptEvent::Permitted, step));
        }
        if self.has(StorePlant::PermitsAreNotCommitted) {
            return self.at_server(at, memory, step);
        }
        let until = step.now + COMMIT_TIMEOUT;
        step.effects.push(Effect::Wake { at: until });
        Running::Permitting { memory, until }
    }

    fn at_server(&mut self, at: &ItemPlace, memory: RunMemory, step: &mut Step) -> Running {
        self.resting_since.remove(&(at.job.clone(), at.item));
        step.effects.push(Effect::Began { item: self.item_id(at) });
        let until = step.now + step.chance.between(RUN.0, RUN.1);
        step.effects.push(Effect::Wake { at: until });
        Running::AtServer { memory, until }
    }

    fn record_attempt(&mut self, at: &ItemPlace, event: AttemptEvent, step: &mut Step) -> EntryPosition {
        let command = Command::RecordAttempts { job: at.job.clone(), item_index: at.item, event };
        self.change(at.group, command, step)
    }

    /// Returns what is known here of an item's past.
    fn item_past(&self, at: &ItemPlace, memory: &RunMemory, now: Micros) -> ItemPast {
        let state = self.replicas.get(&at.group).and_then(|replica| replica.state().job(&at.job));
        let recorded = state.map(|state| state.attempts(at.item)).unwrap_or_default();
        let attempts = match memory.permit {
            Some(_) => recorded.without_own_permit(),
            None => recorded,
        };
        let planted = match self.plant {
            Some(StorePlant::FailuresAreForgotten) => Attempts { failures: 0, ..attempts },
            Some(StorePlant::FailuresEndWithTheRun) => {
                Attempts { failures: memory.failures, open_permits: 0, has_responded: false }
            }
            Some(StorePlant::PermitsAreNotTaken) => Attempts { open_permits: 0, ..attempts },
            Some(StorePlant::UnknownOutcomesAreFailures) => {
                Attempts { failures: attempts.failures + attempts.open_permits, ..attempts }
            }
            _ => attempts,
        };
        let rested_since = self.resting_since.get(&(at.job.clone(), at.item));
        let has_rested = rested_since.is_some_and(|since| now >= *since + REST);
        ItemPast { attempts: planted, has_rested: has_rested && !self.has(StorePlant::RestsWithoutEnd) }
    }

    fn item_id(&self, at: &ItemPlace) -> String {
        let job = self.job(at.group, &at.job);
        job.and_then(|job| job.items.get(at.item as usize)).map(|item| item.id.clone()).unwrap_or_default()
    }

    /// Takes the permit that was recorded with the acceptance of the item's job, if this store accepted it.
    fn take_first_permit(&mut self, at: &ItemPlace) -> Option<EntryPosition> {
        let (entry, unused) = self.accepted_here.get_mut(&at.job)?;
        let (entry, is_unused) = (*entry, unused.remove(&at.item));
        (is_unused && self.replica(at.group).contains(entry)).then_some(entry)
    }

    pub(super) fn run_looked_at(
        &mut self,
        group: GroupNumber,
        job: String,
        item: u32,
        stage: Running,
        step: &mut Step,
    ) -> (Option<Task>, bool) {
        let now = step.now;
        let at = ItemPlace { group, job, item };
        let state = self.replicas.get(&group).and_then(|replica| replica.state().job(&at.job));
        if state.is_none_or(|state| state.cancelled || state.has_result[item as usize]) {
            return (None, true);
        }
        let stays = |at: ItemPlace, stage| {
            (Some(Task::Run { group: at.group, job: at.job, item: at.item, stage }), false)
        };
        let next = match stage {
            Running::Committing { entry, until } => {
                let replica = self.replica(group);
                if !replica.is_committed(entry) {
                    let waits = replica.contains(entry) && now < until;
                    return if waits { stays(at, stage) } else { (None, true) };
                }
                let wait = self.awaiting_configuration.get(&at.job).copied();
                let memory = RunMemory { permit: self.take_first_permit(&at), wait, ..RunMemory::default() };
                self.next_stage(&at, memory, step)
            }
            Running::Waiting { until, .. }
            | Running::AtServer { until, .. }
            | Running::Answering { until, .. }
                if now < until =>
            {
                return stays(at, stage);
            }
            Running::Permitting { memory, until } if now < until && self.is_permit_pending(&at, memory) => {
                return stays(at, stage);
            }
            Running::Waiting { memory, .. } | Running::Permitting { memory, .. } => {
                self.next_stage(&at, memory, step)
            }
            Running::AtServer { memory, .. } => Some(self.answered(&at, memory, step)),
            Running::Answering { memory, answer, .. } => self.after_answer(&at, memory, answer, step),
            Running::Done { text, outcome } if self.takes_changes(group) => {
                let result = ItemResult { item_index: item, outcome, text };
                let (job, id) = (at.job.clone(), self.item_id(&at));
                let entry = self.change(group, Command::RecordResults { job, results: vec![result] }, step);
                self.unlisted.push((group, entry, id));
                return (None, true);
            }
            Running::Done { .. } => return stays(at, stage),
        };
        let ItemPlace { job, .. } = at;
        (next.map(|stage| Task::Run { group, job, item, stage }), true)
    }

    fn is_permit_pending(&mut self, at: &ItemPlace, memory: RunMemory) -> bool {
        let replica = self.replica(at.group);
        memory.permit.is_some_and(|entry| replica.contains(entry) && !replica.is_committed(entry))
    }

    /// The server answers; the store gets the answer a little later, or never.
    fn answered(&mut self, at: &ItemPlace, memory: RunMemory, step: &mut Step) -> Running {
        let id = self.item_id(at);
        let answer = match self.nature(at) {
            ItemNature::Fails => {
                step.effects.push(Effect::Failed { item: id });
                ServerAnswer::Failed
            }
            ItemNature::Rejected => {
                step.effects.push(Effect::Rejected { item: id });
                ServerAnswer::Rejected
            }
            ItemNature::Runs | ItemNature::FindsNoServer => {
                let text = self.new_text(&id);
                step.effects.push(Effect::Done { item: id, text: text.clone() });
                ServerAnswer::Succeeded { text }
            }
        };
        let is_lost = step.chance.per_mille(self.lost_answers_per_mille);
        let (answer, delay) = match is_lost {
            true => (ServerAnswer::Lost, ANSWER_TIMEOUT),
            false => (answer, step.chance.between(ANSWER_DELAY.0, ANSWER_DELAY.1)),
        };
        let until = step.now + delay;
        step.effects.push(Effect::Wake { at: until });
        Running::Answering { memory, answer, until }
    }

    fn after_answer(
        &mut self,
        at: &ItemPlace,
        mut memory: RunMemory,
        answer: ServerAnswer,
        step: &mut Step,
    ) -> Option<Running> {
        match answer {
            ServerAnswer::Succeeded { text } => Some(Running::Done { text, outcome: ItemOutcome::Succeeded }),
            ServerAnswer::Rejected => {
                Some(Running::Done { text: String::new(), outcome: ItemOutcome::DeadLettered })
            }
            ServerAnswer::Failed => {
                memory.failures += 1;
                memory.has_unrecorded_failure = true;
                self.next_stage(at, memory, step)
            }
            ServerAnswer::Lost => {
                if !self.has(StorePlant::LostAnswersKeepThePermit) {
                    memory.permit = None;
                }
                self.next_stage(at, memory, step)
            }
        }
    }
}

/// Returns the stage of a run that is looked at again after a while.
fn pause(memory: RunMemory, step: &mut Step) -> Running {
    let until = step.now + RETRY_DELAY;
    step.effects.push(Effect::Wake { at: until });
    Running::Waiting { memory, until }
}
