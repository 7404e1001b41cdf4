//! The items that a simulated store runs as a head.

use std::collections::BTreeSet;

use fennelgauge_batch::{
    Command, ItemLimits, ItemOutcome, ItemResult, ItemStep, Job, KnownConfiguration, RouteStatus,
};
use fennelgauge_coordination::GroupNumber;

use super::configuration::{ConfigurationWait, ItemNature};
use super::plant::StorePlant;
use super::store::{Effect, SimStore, Step};
use super::task::{Running, Task};
use crate::day::{Micros, MILLISECOND};

const RUN: (Micros, Micros) = (20 * MILLISECOND, 500 * MILLISECOND);
/// Pause before an item is looked at again that could not be sent.
const RETRY_DELAY: Micros = 120 * MILLISECOND;
/// Age up to which a confirmation of the configuration counts.
const CONFIRMATION_MAX_AGE: Micros = 2_000 * MILLISECOND;
const COMMIT_PATIENCE: Micros = 4_000 * MILLISECOND;

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
                if runs >= self.items_at_once || busy {
                    continue;
                }
                let stage = Running::Committing { entry, until: step.now + COMMIT_PATIENCE };
                self.add(Task::Run { group, job, item, stage });
            }
        }
    }

    /// Returns what to do next with an item of a job that has failed so often and waits for a configuration.
    fn item_step(&self, job: &Job, failures: u32, wait: Option<ConfigurationWait>, now: Micros) -> ItemStep {
        if !self.changes_routes {
            return ItemStep::Run;
        }
        let Some(configuration) = &self.configuration else { return ItemStep::AwaitConfiguration };
        let failures = if self.has(StorePlant::FailuresAreForgotten) { 0 } else { failures };
        let known = KnownConfiguration {
            generation: configuration.generation,
            is_confirmed: wait.is_some_and(|wait| self.is_confirmed(wait, now)),
        };
        let route = self.route_status(configuration.routes.get(&job.route), job);
        job.next_item_step(self.planted_knowledge(known, job), route, failures, now / MILLISECOND)
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
            max_failures: limits.retries,
        }
    }

    /// Returns the jobs of a group whose items are not to be started, because they would only wait for a configuration.
    fn jobs_held_for_configuration(&mut self, group: GroupNumber, now: Micros) -> BTreeSet<String> {
        let Some(replica) = self.replicas.get(&group).filter(|_| self.changes_routes) else {
            return BTreeSet::new();
        };
        let awaits = |job: &&Job| self.item_step(job, 0, None, now) == ItemStep::AwaitConfiguration;
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

    fn nature(&self, group: GroupNumber, job: &str, item: u32) -> ItemNature {
        let body = self.job(group, job).and_then(|job| job.items.get(item as usize)).map(|item| &item.body);
        body.map_or(ItemNature::Runs, |body| ItemNature::of_body(body))
    }

    /// Returns the next stage of a run, by the configuration known here: to a server, the result, or a pause. The item has
    /// failed so often, and waits for a configuration.
    fn next_stage(
        &self,
        group: GroupNumber,
        job: &str,
        item: u32,
        (failures, wait): (u32, Option<ConfigurationWait>),
        step: &mut Step,
    ) -> Running {
        let now = step.now;
        let next = self.job(group, job).map(|job| self.item_step(job, failures, wait, now));
        let wait = match next {
            // Decided anew once the result can be recorded.
            Some(ItemStep::DeadLetter) if !self.takes_changes(group) => wait,
            Some(ItemStep::DeadLetter) => {
                return Running::Done { text: String::new(), outcome: ItemOutcome::DeadLettered };
            }
            Some(ItemStep::Run) if self.nature(group, job, item) != ItemNature::FindsNoServer => {
                let id = self.job(group, job).map(|job| job.items[item as usize].id.clone());
                step.effects.push(Effect::Began { item: id.unwrap_or_default() });
                let until = now + step.chance.between(RUN.0, RUN.1);
                step.effects.push(Effect::Wake { at: until });
                return Running::AtServer { until, failures };
            }
            Some(ItemStep::AwaitConfiguration) => Some(wait.unwrap_or(ConfigurationWait { since: now })),
            Some(ItemStep::Run) | None => None,
        };
        let until = now + RETRY_DELAY;
        step.effects.push(Effect::Wake { at: until });
        Running::Waiting { failures, wait, until }
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
        let ended = self
            .replicas
            .get(&group)
            .and_then(|replica| replica.state().job(&job))
            .is_none_or(|state| state.cancelled || state.has_result[item as usize]);
        let Some(id) = self.job(group, &job).map(|job| job.items[item as usize].id.clone()) else {
            return (None, true);
        };
        if ended {
            return (None, true);
        }
        let stage = match stage {
            Running::Committing { entry, until } => {
                let replica = self.replica(group);
                if !replica.is_committed(entry) {
                    let waits = replica.contains(entry) && now < until;
                    let stage = Running::Committing { entry, until };
                    return (waits.then_some(Task::Run { group, job, item, stage }), !waits);
                }
                let wait = self.awaiting_configuration.get(&job).copied();
                self.next_stage(group, &job, item, (0, wait), step)
            }
            Running::Waiting { failures, wait, until } if now < until => {
                let stage = Running::Waiting { failures, wait, until };
                return (Some(Task::Run { group, job, item, stage }), false);
            }
            Running::Waiting { failures, wait, .. } => {
                self.next_stage(group, &job, item, (failures, wait), step)
            }
            Running::AtServer { until, failures } if now < until => {
                let stage = Running::AtServer { until, failures };
                return (Some(Task::Run { group, job, item, stage }), false);
            }
            Running::AtServer { failures, .. } => match self.nature(group, &job, item) {
                ItemNature::Fails => {
                    step.effects.push(Effect::Failed { item: id });
                    self.next_stage(group, &job, item, (failures + 1, None), step)
                }
                ItemNature::Rejected => {
                    step.effects.push(Effect::Rejected { item: id });
                    Running::Done { text: String::new(), outcome: ItemOutcome::DeadLettered }
                }
                ItemNature::Runs | ItemNature::FindsNoServer => {
                    let text = self.new_text(&id);
                    step.effects.push(Effect::Done { item: id, text: text.clone() });
                    Running::Done { text, outcome: ItemOutcome::Succeeded }
                }
            },
            Running::Done { text, outcome } if self.takes_changes(group) => {
                let result = ItemResult { item_index: item, outcome, text };
                let entry = self.change(group, Command::RecordResults { job, results: vec![result] }, step);
                self.unlisted.push((group, entry, id));
                return (None, true);
            }
            Running::Done { .. } => {
                return (Some(Task::Run { group, job, item, stage }), false);
            }
        };
        (Some(Task::Run { group, job, item, stage }), true)
    }
}
