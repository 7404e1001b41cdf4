//! The items that a simulated store runs as a head.

use fennelgauge_batch::{Command, ItemOutcome, ItemResult, ItemStep, Job, KnownConfiguration, RouteStatus};
use fennelgauge_coordination::GroupNumber;

use super::core::generation_at;
use super::plant::StorePlant;
use super::store::{Effect, SimStore, Step};
use super::task::{Running, Task};
use crate::day::{Micros, MILLISECOND};

const RUN: (Micros, Micros) = (20 * MILLISECOND, 500 * MILLISECOND);
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
            let open: Vec<(String, u32)> = replica
                .state()
                .jobs()
                .filter(|state| !state.is_complete())
                .filter(|state| self.item_step(&state.job) != ItemStep::AwaitConfiguration)
                .flat_map(|state| state.unfinished_items().map(|item| (state.job.id.clone(), item)))
                .collect();
            for (job, item) in open {
                let runs = self.tasks.values().filter(|task| matches!(task, Task::Run { .. })).count();
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

    /// Returns what to do next with the items of a job, by the configuration that this store had from the core last. The
    /// job's route was added in the job's generation.
    fn item_step(&self, job: &Job) -> ItemStep {
        let known_generation = generation_at(self.configured_at.unwrap_or(0));
        let route = match known_generation < job.generation {
            true => RouteStatus::Absent,
            false => RouteStatus::InForce { expires_ms: None, max_failures: 1 },
        };
        let known = |generation, is_confirmed| KnownConfiguration { generation, is_confirmed };
        match self.has(StorePlant::UnknownRouteIsEnded) {
            true => job.next_item_step(known(u64::MAX, true), route, 0, 0),
            false => job.next_item_step(known(known_generation, false), route, 0, 0),
        }
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
                match self.job(group, &job).map(|job| self.item_step(job)) {
                    Some(ItemStep::Run) => {}
                    Some(ItemStep::DeadLetter) => {
                        let stage = Running::Done { text: String::new(), outcome: ItemOutcome::DeadLettered };
                        return (Some(Task::Run { group, job, item, stage }), true);
                    }
                    Some(ItemStep::AwaitConfiguration) | None => return (None, true),
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
                Running::Done { text, outcome: ItemOutcome::Succeeded }
            }
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
