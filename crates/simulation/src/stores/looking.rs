//! What a simulated store looks after time and again: the program's loops.

use std::collections::BTreeMap;

use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_replication::{Confirmation, EntryPosition, Repair, RepairUrgency, Replica, Role};

use super::disk::Record;
use super::moment::Moment;
use super::plant::StorePlant;
use super::protocol::{Ask, Call};
use super::store::{Effect, SimStore, Step};
use super::task::{Learning, Questions, Task};
use crate::day::{Micros, MILLISECOND};

const CONFIRM_WITHIN: Micros = 900 * MILLISECOND;
const REPAIR_PATIENCE: Micros = 120 * MILLISECOND;
const CHECK_AFTER: Micros = 300 * MILLISECOND;
const TRY_DISK_EVERY: Micros = 400 * MILLISECOND;

impl SimStore {
    /// Looks after everything that the program's loops look after.
    pub fn look(&mut self, step: &mut Step) {
        self.look_at_lease(step.now);
        self.answer_late_calls(step);
        let view = self.view.clone();
        for group in self.groups.clone() {
            self.look_at_learning(&view, group, step);
            let Some(role) = self.role(group) else {
                self.holds.remove(&group);
                continue;
            };
            self.lead(&role, group, step);
            self.look_at_successor(&role, group, step);
            self.look_at_own_level(&role, group, step);
        }
        let foreign: Vec<u64> =
            self.tasks.iter().filter(|(_, task)| self.is_foreign(task)).map(|(number, _)| *number).collect();
        for number in foreign {
            self.tasks.remove(&number);
        }
        self.look_at_disk(step);
        self.start_items(step);
        self.progress(step);
    }

    fn answer_late_calls(&mut self, step: &mut Step) {
        let (late, early): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.early).into_iter().partition(|(until, ..)| *until <= step.now);
        self.early = early;
        let late: Vec<(Micros, Call, Ask)> = late;
        step.effects.extend(
            late.into_iter()
                .map(|(_, call, ask)| Effect::Answer { call, answer: Self::of_another_view(&ask) }),
        );
    }

    /// A head stands where its chain stands; a group that was given up it begins anew.
    fn lead(&mut self, role: &Role, group: GroupNumber, step: &mut Step) {
        let Some(copy) = self.replica(group).become_head(group, role) else { return };
        self.tasks.retain(|_, task| !matches!(task, Task::Run { group: of, .. } if *of == group));
        let end = copy.position;
        let write = self.write(vec![Record::Copy { group, copy }], step);
        self.add(Task::Begin { group, end, write });
        step.at(Moment::BegunAnew, group, role.successor);
    }

    fn is_foreign(&self, task: &Task) -> bool {
        match task {
            Task::Run { group, .. } => !self.role(*group).is_some_and(|role| role.is_head()),
            _ => false,
        }
    }

    pub(super) fn is_busy(&self, with: impl Fn(&Task) -> bool) -> bool {
        self.tasks.values().any(with)
    }

    fn look_at_learning(&mut self, view: &StoreView, group: GroupNumber, step: &mut Step) {
        let own = self.number();
        let learner = view.group(group).and_then(|held| held.learner).map(|learner| learner.store);
        if own.is_none() || learner != own {
            self.copied.remove(&group);
            return;
        }
        let busy = self.is_busy(|task| matches!(task, Task::Learn { group: of, .. } if *of == group));
        let Some(head) = view.head(group).map(|head| head.number).filter(|_| !busy) else { return };
        let after = self.replicas.get(&group).map(Replica::position).unwrap_or_default();
        let task = self.reserve();
        self.send(task, head, Ask::Fetch { epoch: view.epoch, group, after }, step);
        self.tasks.insert(task, Task::Learn { epoch: view.epoch, group, stage: Learning::Asking });
        step.at(Moment::CopyAsked, group, Some(head));
    }

    fn look_at_successor(&mut self, role: &Role, group: GroupNumber, step: &mut Step) {
        let Some(successor) = role.successor else { return };
        let Some(replica) = self.replicas.get(&group) else { return };
        let care = replica.repair_urgency(role, self.checked.get(&group).copied());
        if care == RepairUrgency::NotNeeded {
            self.doubtful.remove(&group);
            return;
        }
        let since = *self.doubtful.entry(group).or_insert(step.now);
        let busy = self.is_busy(|task| matches!(task, Task::Repair { repair, .. } if repair.group == group));
        if busy || !(care == RepairUrgency::Immediate || step.now > since + REPAIR_PATIENCE) {
            return;
        }
        let task = self.reserve();
        self.send(task, successor, Ask::Position { epoch: role.epoch, group }, step);
        let repair = Repair::new(group, role.epoch);
        self.tasks.insert(task, Task::Repair { repair, successor, until: None });
    }

    fn look_at_own_level(&mut self, role: &Role, group: GroupNumber, step: &mut Step) {
        let is_level = self.replicas.get(&group).is_some_and(|replica| replica.is_caught_up(role));
        match (is_level, role.predecessor) {
            (false, Some(predecessor)) => {
                let since = *self.behind.entry(group).or_insert(step.now);
                if step.now >= since + CHECK_AFTER {
                    self.send(0, predecessor, Ask::Check { epoch: role.epoch, group }, step);
                }
            }
            _ => drop(self.behind.remove(&group)),
        }
        let Some(since) = role.joining_since else {
            self.holds.remove(&group);
            return;
        };
        self.holds.retain(|of, epoch| *of != group || *epoch >= since);
        let busy = self.is_busy(|task| matches!(task, Task::Hold { group: of, .. } if *of == group));
        if is_level && !busy && !self.holds.contains_key(&group) {
            let task = self.reserve();
            let questions = self.question(task, role, group, step);
            self.tasks.insert(task, Task::Hold { epoch: role.epoch, group, questions });
        }
    }

    /// Asks all other links whether the view still stands.
    fn question(&mut self, task: u64, role: &Role, group: GroupNumber, step: &mut Step) -> Questions {
        let mut confirmation = Confirmation::new(role);
        let mut calls = BTreeMap::new();
        for link in &role.others {
            if self.has(StorePlant::AnswersWithoutAsking) {
                confirmation.record_answer(*link, Some(EntryPosition::default()));
                continue;
            }
            let call = self.send(task, *link, Ask::Position { epoch: role.epoch, group }, step);
            calls.insert(call, *link);
        }
        let until = step.now + CONFIRM_WITHIN;
        step.effects.push(Effect::Wake { at: until });
        Questions { confirmation, calls, until }
    }

    /// After a failed write, everything is written anew until the disk takes it.
    fn look_at_disk(&mut self, step: &mut Step) {
        let busy = self.is_busy(|task| matches!(task, Task::WriteAll { .. }));
        if !self.disk.has_failed() || busy || step.now < self.disk_tried + TRY_DISK_EVERY {
            return;
        }
        self.disk_tried = step.now;
        let kept = self.replicas.iter().filter(|(_, replica)| replica.position().sequence > 0);
        let whole: Vec<(GroupNumber, _)> =
            kept.map(|(group, replica)| (*group, replica.snapshot())).collect();
        let ends = whole.iter().map(|(group, copy)| (*group, copy.position)).collect();
        let records = whole.into_iter().map(|(group, copy)| Record::Copy { group, copy }).collect();
        let (write, at) = self.disk.write_whole(step.now, records, step.chance);
        step.effects.push(Effect::Written { write, at });
        self.add(Task::WriteAll { write, ends });
    }
}
