//! One simulated store: memory, disk, what is under way. What it decides, it asks `fennelgauge-replication`; here and in the files
//! beside stands only what the program's tasks do around that: writing, sending, waiting.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fennelgauge_coordination::{
    GroupConfirmation, GroupNumber, Identity, Member, StoreNumber, StoreReport, StoreView,
};
use fennelgauge_replication::{Entry, EntryPosition, Replica, Role};

use super::configuration::{ConfigurationWait, Version};
use super::core::OfGroups;
use super::disk::{Disk, Record};
use super::moment::{Moment, Occasion};
use super::plant::StorePlant;
use super::protocol::{Answer, Ask, Call, Caller};
use super::task::Task;
use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND};
use crate::network::Network;

pub const NEWS_PATIENCE: Micros = 400 * MILLISECOND;
const APPEND_TIMEOUT: Micros = 1_200 * MILLISECOND;
const ASK_TIMEOUT: Micros = 600 * MILLISECOND;
const FETCH_TIMEOUT: Micros = 6_000 * MILLISECOND;

/// What a store has the world do.
#[derive(Debug)]
pub enum Effect {
    Send {
        to: usize,
        call: Call,
        ask: Ask,
        within: Micros,
    },
    Answer {
        call: Call,
        answer: Answer,
    },
    Written {
        write: u64,
        at: Micros,
    },
    /// Looks at everything again.
    Wake {
        at: Micros,
    },
    Flush {
        at: Micros,
    },
    /// A server begins an item, or has done it.
    Began {
        item: String,
    },
    /// A server has failed to run an item.
    Failed {
        item: String,
    },
    /// A server rejects an item for good.
    Rejected {
        item: String,
    },
    Done {
        item: String,
        text: String,
    },
    /// The result of an item is committed.
    Listed {
        item: String,
    },
    /// A moment at which a trouble may strike.
    At(Occasion),
    /// A reader was shown something that a copy takes away.
    DropsShown {
        what: String,
    },
}

/// The surroundings of one step.
pub struct Step<'a> {
    pub now: Micros,
    pub chance: &'a mut SeededRng,
    pub effects: Vec<Effect>,
}

impl Step<'_> {
    pub(super) fn at(&mut self, moment: Moment, group: GroupNumber, peer: Option<StoreNumber>) {
        self.effects.push(Effect::At(Occasion { moment, group, peer }));
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SimStore {
    pub place: usize,
    pub zone: usize,
    /// Of the disk: another one is another identity.
    pub disk_number: u64,
    pub life: u64,
    pub is_up: bool,
    pub frozen_until: Micros,
    pub is_gone: bool,
    pub disk: Disk,
    pub plant: Option<StorePlant>,
    pub groups: Vec<GroupNumber>,
    pub(super) view: Arc<StoreView>,
    earliest_view: u64,
    /// It takes part in its view for so long without hearing the core; none where that is not limited.
    pub lease: Option<Micros>,
    core_heard: Micros,
    /// The configuration that it knows; `None` before the first one.
    pub(super) configuration: Option<Arc<Version>>,
    /// Every configuration that was acknowledged before this moment is known here, or a newer one is.
    pub(super) configuration_confirmed_at: Option<Micros>,
    /// Batch jobs that wait until the core confirms the configuration or sends a newer one.
    pub(super) awaiting_configuration: BTreeMap<String, ConfigurationWait>,
    /// Batch jobs that this store accepted as the head: the entry that did, and the items whose permit is not used.
    pub(super) accepted_here: BTreeMap<String, (EntryPosition, BTreeSet<u32>)>,
    /// Items that are left alone, each since when.
    pub(super) resting_since: BTreeMap<(String, u32), Micros>,
    has_lease: bool,
    pub(super) replicas: BTreeMap<GroupNumber, Replica>,
    pub(super) checked: BTreeMap<GroupNumber, u64>,
    pub(super) copied: BTreeMap<GroupNumber, u64>,
    pub(super) holds: BTreeMap<GroupNumber, u64>,
    pub(super) pending: Vec<Entry>,
    pub(super) flush_due: bool,
    pub(super) doubtful: BTreeMap<GroupNumber, Micros>,
    pub(super) behind: BTreeMap<GroupNumber, Micros>,
    pub(super) disk_tried: Micros,
    pub(super) tasks: BTreeMap<u64, Task>,
    next_task: u64,
    /// The task that waits for an answer.
    calls: BTreeMap<u64, u64>,
    next_call: u64,
    /// Calls for a view that is not known here yet.
    pub(super) early: Vec<(Micros, Call, Ask)>,
    pub(super) runs: u64,
    /// Items of which the result is not known to be committed, with its entry.
    pub(super) unlisted: Vec<(GroupNumber, EntryPosition, String)>,
    /// How many items run at once.
    pub items_at_once: usize,
    /// Whether it goes by the configurations that it is sent; else there is one that does not change.
    pub changes_routes: bool,
    /// Of a thousand answers of servers, so many are lost on the way.
    pub lost_answers_per_mille: u64,
}

impl SimStore {
    pub fn new(place: usize, zone: usize, groups: Vec<GroupNumber>, plant: Option<StorePlant>) -> Self {
        Self {
            place,
            zone,
            disk_number: 1,
            life: 0,
            is_up: false,
            frozen_until: 0,
            is_gone: false,
            disk: Disk::default(),
            plant,
            groups,
            view: Arc::default(),
            earliest_view: 0,
            lease: None,
            core_heard: 0,
            configuration: None,
            configuration_confirmed_at: None,
            awaiting_configuration: BTreeMap::new(),
            accepted_here: BTreeMap::new(),
            resting_since: BTreeMap::new(),
            has_lease: true,
            replicas: BTreeMap::new(),
            checked: BTreeMap::new(),
            copied: BTreeMap::new(),
            holds: BTreeMap::new(),
            pending: Vec::new(),
            flush_due: false,
            doubtful: BTreeMap::new(),
            behind: BTreeMap::new(),
            disk_tried: 0,
            tasks: BTreeMap::new(),
            next_task: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            early: Vec::new(),
            runs: 0,
            unlisted: Vec::new(),
            items_at_once: 1,
            changes_routes: false,
            lost_answers_per_mille: 0,
        }
    }

    pub(super) fn has(&self, plant: StorePlant) -> bool {
        self.plant == Some(plant)
    }

    pub fn node(place: usize) -> String {
        format!("s{place}")
    }

    pub fn member(&self) -> Member {
        Member {
            identity: Identity { node: Self::node(self.place), disk: self.disk_number },
            peer: Network::address(self.place),
            zone: format!("z{}", self.zone),
            region: "r".to_owned(),
        }
    }

    /// The process ends; what was not on the disk may be lost.
    pub fn end(&mut self, chance: &mut SeededRng) {
        self.has_ended();
        self.disk.end(chance);
    }

    /// The process ends; of the writes that are not done, so many are there.
    pub fn end_keeping(&mut self, writes: usize) {
        self.has_ended();
        self.disk.end_keeping(writes);
    }

    fn has_ended(&mut self) {
        self.is_up = false;
        self.life += 1;
        self.frozen_until = 0;
    }

    /// The process begins, from its disk.
    pub fn begin(&mut self, step: &mut Step) {
        let fresh = Self::new(self.place, self.zone, self.groups.clone(), self.plant);
        let disk = std::mem::take(&mut self.disk);
        *self = Self {
            disk_number: self.disk_number,
            life: self.life + 1,
            is_gone: self.is_gone,
            next_call: self.next_call,
            lease: self.lease,
            core_heard: step.now,
            items_at_once: self.items_at_once,
            changes_routes: self.changes_routes,
            lost_answers_per_mille: self.lost_answers_per_mille,
            disk,
            is_up: true,
            ..fresh
        };
        for group in self.groups.clone() {
            self.replicas.insert(group, self.planted_replica());
        }
        for record in &self.disk.records {
            match record {
                Record::Entry(entry) => {
                    if let Some(replica) = self.replicas.get_mut(&entry.group) {
                        replica.restore_entry(entry);
                    }
                }
                Record::Copy { group, copy } => {
                    if let Some(replica) = self.replicas.get_mut(group) {
                        replica.restore_snapshot(copy);
                    }
                }
            }
        }
        for replica in self.replicas.values_mut() {
            replica.mark_durable(replica.position());
        }
        if !self.has(StorePlant::GoesBack) {
            self.earliest_view = self.replicas.values().map(Replica::newest_epoch).max().unwrap_or(0);
        }
        step.effects.push(Effect::Wake { at: step.now + MILLISECOND });
    }

    fn planted_replica(&self) -> Replica {
        let mut replica = Replica::default();
        if let Some(StorePlant::Replica(bug)) = self.plant {
            replica.plant(bug);
        }
        replica
    }

    pub(super) fn replica(&mut self, group: GroupNumber) -> &mut Replica {
        self.replicas.entry(group).or_default()
    }

    pub fn wipe(&mut self) {
        self.disk.wipe();
        if !self.has(StorePlant::WipedKeepsIdentity) {
            self.disk_number += 1;
        }
    }

    pub fn heard(&self) -> StoreReport {
        let told = |groups: &BTreeMap<GroupNumber, u64>| {
            groups.iter().map(|(group, epoch)| GroupConfirmation { group: *group, epoch: *epoch }).collect()
        };
        StoreReport {
            member: self.member(),
            copied_groups: told(&self.copied),
            held_groups: told(&self.holds),
        }
    }

    /// The entries that it has of a group.
    fn entries(&self, group: GroupNumber) -> u64 {
        self.replicas.get(&group).map_or(0, |replica| replica.position().sequence)
    }

    /// What it tells of its groups.
    pub fn of_groups(&self) -> OfGroups {
        let groups = || self.groups.iter().copied();
        let heads = |group: &GroupNumber| self.role(*group).is_some_and(|role| role.is_head());
        let names = |group| {
            self.replicas.get(&group).map(|replica| replica.state().known_job_ids()).unwrap_or_default()
        };
        OfGroups {
            entries: groups().map(|group| (group, self.entries(group))).collect(),
            names: groups().filter(heads).map(|group| (group, names(group))).collect(),
        }
    }

    /// The core's word, in whatever view, has reached this store.
    pub fn hear_core(&mut self, now: Micros) {
        self.core_heard = now;
    }

    /// A source has sent the configuration that was the newest at a moment.
    pub fn take_configuration(&mut self, version: &Arc<Version>, confirmed_at: Micros) {
        if self.configuration.as_ref().is_none_or(|known| known.generation < version.generation) {
            self.configuration = Some(version.clone());
        }
        if !self.has(StorePlant::ConfirmationIsForgotten) {
            self.configuration_confirmed_at = self.configuration_confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Whether it may take part in its view, as of now.
    pub(super) fn look_at_lease(&mut self, now: Micros) {
        let lasts = self.lease.is_none_or(|lease| now <= self.core_heard + lease);
        self.has_lease = lasts || self.has(StorePlant::NoLease);
    }

    /// Of the view that it takes part in; 0 where it takes part in none.
    pub(super) fn epoch(&self) -> u64 {
        match self.has_lease {
            true => self.view.epoch,
            false => 0,
        }
    }

    pub(super) fn number(&self) -> Option<StoreNumber> {
        if !self.has_lease {
            return None;
        }
        let is_own = |member: &Member| {
            let identity = &member.identity;
            identity.disk == self.disk_number && Network::machine(member.peer) == self.place
        };
        self.view.stores.iter().find(|store| is_own(&store.member)).map(|store| store.number)
    }

    pub(super) fn role(&self, group: GroupNumber) -> Option<Role> {
        Role::of(&self.view, group, self.number()?)
    }

    /// The role in which it takes changes and what follows from them.
    pub(super) fn changing_role(&self, group: GroupNumber) -> Option<Role> {
        let mut role = self.role(group)?;
        role.is_open |= self.has(StorePlant::ChangesWhileClosed);
        Some(role)
    }

    pub(super) fn takes_changes(&self, group: GroupNumber) -> bool {
        let role = self.changing_role(group);
        self.replicas.get(&group).is_some_and(|replica| replica.accepts_writes(role.as_ref()))
    }

    fn place_of(&self, store: StoreNumber) -> Option<usize> {
        self.view.store(store).map(|store| Network::machine(store.member.peer))
    }

    /// Another view is known.
    pub fn take_view(&mut self, view: &Arc<StoreView>, step: &mut Step) {
        self.hear_core(step.now);
        if view.epoch <= self.view.epoch || view.epoch < self.earliest_view {
            return;
        }
        self.view = view.clone();
        self.look_at_lease(step.now);
        let early = std::mem::take(&mut self.early);
        for (until, call, ask) in early {
            match ask.epoch() <= self.view.epoch {
                true => self.take_ask(call, ask, step),
                false => self.early.push((until, call, ask)),
            }
        }
        self.look(step);
    }

    /// A call comes in.
    pub fn ask(&mut self, call: Call, ask: Ask, step: &mut Step) {
        self.look_at_lease(step.now);
        if ask.epoch() > self.epoch() {
            step.effects.push(Effect::Wake { at: step.now + NEWS_PATIENCE });
            return self.early.push((step.now + NEWS_PATIENCE, call, ask));
        }
        self.take_ask(call, ask, step);
        self.progress(step);
    }

    fn take_ask(&mut self, call: Call, ask: Ask, step: &mut Step) {
        let is_now = ask.epoch() == self.epoch();
        if !is_now && !self.has(StorePlant::OldViewsAreServed) {
            let answer = Self::of_another_view(&ask);
            return step.effects.push(Effect::Answer { call, answer });
        }
        if let Some(answer) = self.answer(call, ask, step) {
            step.effects.push(Effect::Answer { call, answer });
        }
    }

    /// The answer to a call for a view that is not known here, or is no longer in force.
    pub(super) fn of_another_view(ask: &Ask) -> Answer {
        match ask {
            Ask::Submit { .. } | Ask::End { .. } => Answer::NotTaken,
            Ask::Read { .. } => Answer::Unsure,
            _ => Answer::OtherEpoch,
        }
    }

    pub(super) fn add(&mut self, task: Task) {
        let number = self.reserve();
        self.tasks.insert(number, task);
    }

    pub(super) fn reserve(&mut self) -> u64 {
        self.next_task += 1;
        self.next_task
    }

    pub(super) fn write(&mut self, records: Vec<Record>, step: &mut Step) -> u64 {
        let (write, at) = self.disk.write(step.now, records, step.chance);
        step.effects.push(Effect::Written { write, at });
        write
    }

    /// Asks another store; the task of that number waits for the answer.
    pub(super) fn send(&mut self, task: u64, to: StoreNumber, ask: Ask, step: &mut Step) -> u64 {
        self.next_call += 1;
        let number = self.next_call;
        self.calls.insert(number, task);
        let within = match &ask {
            Ask::Append { .. } => APPEND_TIMEOUT,
            Ask::Install { .. } | Ask::Fetch { .. } => FETCH_TIMEOUT,
            _ => ASK_TIMEOUT,
        };
        let call = Call { caller: Caller::Store { store: self.place, life: self.life }, number };
        if let Some(to) = self.place_of(to) {
            step.effects.push(Effect::Send { to, call, ask, within });
        }
        number
    }

    /// An answer, or none when the time is up.
    pub fn heard_back(&mut self, call: u64, answer: Option<Answer>, step: &mut Step) {
        self.look_at_lease(step.now);
        let Some(task) = self.calls.remove(&call) else { return };
        let Some(under_way) = self.tasks.remove(&task) else { return };
        if let Some(next) = self.continued(task, under_way, call, answer, step) {
            self.tasks.insert(task, next);
        }
        self.progress(step);
    }

    /// Whoever has not answered by now does not any more.
    pub fn give_up_waiting(&mut self, step: &mut Step) {
        for call in self.calls.keys().copied().collect::<Vec<_>>() {
            self.heard_back(call, None, step);
        }
    }

    /// A write has ended.
    pub fn written(&mut self, write: u64, step: &mut Step) {
        self.look_at_lease(step.now);
        let on_disk = self.disk.written(write, step.now);
        let waits = |task: &Task| task.write() == Some(write);
        let tasks: Vec<u64> =
            self.tasks.iter().filter(|(_, task)| waits(task)).map(|(number, _)| *number).collect();
        for number in tasks {
            let Some(task) = self.tasks.remove(&number) else { continue };
            let next = match on_disk {
                true => self.after_write(number, task, step),
                false => self.after_failed_write(task, step),
            };
            if let Some(next) = next {
                self.tasks.insert(number, next);
            }
        }
        self.progress(step);
    }
}
