//! The items that a simulated store runs as a head.

use fennelgauge_batch::{Command, ItemOutcome, ItemResult, Job};
use fennelgauge_coordination::GroupNumber;

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
                let result = ItemResult { item_index: item, outcome: ItemOutcome::Succeeded, text };
                let entry = self.change(group, Command::RecordResults { job, results: vec![result] }, step);
                self.unlisted.push((group, entry, id));
                return (None, true);
            }
            Running::Done { text } => {
                return (Some(Task::Run { group, job, item, stage: Running::Done { text } }), false);
            }
        };
        (Some(Task::Run { group, job, item, stage }), true)
    }
}
