//! The stores of the search, what is on the way among them, and what clients have seen.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use fennelgauge_batch::{Item, Job, Page};
use fennelgauge_coordination::{Planner, PlannerBug, StoreReport, StoreView};

use super::event::{
    places, StoreEvent, Stores, ALL, EARLY, GROUP, ITEMS, JOB, LATE, LOSSES, MOST_PLANS, MOST_ROUNDS, STORES,
    TENANT,
};
use crate::chance::SeededRng;
use crate::day::Micros;
use crate::network::Network;
use crate::stores::core::{give_up_now, seen_as_silent};
use crate::stores::protocol::{Answer, Ask, Call, Caller};
use crate::stores::store::{Effect, SimStore, Step};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Carried {
    Ask(Ask),
    Answer(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Way {
    pub from: usize,
    pub to: usize,
    pub call: Call,
    /// Tells an ask and its answer apart.
    pub is_answer: bool,
    /// Of what is carried.
    pub rank: u64,
}

/// What a reader knew when it asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Asked {
    pub was_accepted: bool,
    pub shown: usize,
    pub was_given_up: bool,
}

/// What clients have seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Seen {
    pub submitted: bool,
    pub accepted: bool,
    pub given_up: bool,
    /// By position: item and text.
    pub shown: Vec<(u32, String)>,
    pub asked: BTreeMap<u64, Asked>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Used {
    pub restarts: u8,
    pub disks_lost: u8,
    pub reads: u8,
    pub given_up: u8,
}

/// All stores, what is on the way, and what was seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoresWorld {
    pub stores: Vec<Arc<SimStore>>,
    pub views: Vec<Arc<StoreView>>,
    pub planner_bug: Option<PlannerBug>,
    pub on_the_way: BTreeMap<Way, Arc<Carried>>,
    pub seen: Seen,
    pub used: Used,
    pub next_call: u64,
    pub finished: bool,
    pub broken: Option<&'static str>,
    /// Events since the beginning.
    pub events: u8,
}

impl StoresWorld {
    pub fn after(&self, event: &StoreEvent) -> Self {
        let mut world = self.clone();
        match event {
            StoreEvent::Live(set) => world.live(*set),
            StoreEvent::View(set) => {
                world.plan(*set);
                places(*set).for_each(|place| world.tell(place));
                world.settle(*set);
            }
            StoreEvent::Plan(set) => drop(world.plan(*set)),
            StoreEvent::Tell(set) => places(*set).for_each(|place| world.tell(place)),
            StoreEvent::Settle(set) => world.settle(*set),
            StoreEvent::Submit => world.submit(),
            StoreEvent::Read { old } => world.read(*old),
            StoreEvent::Restart { store, with_writes } => world.restart(*store, *with_writes),
            StoreEvent::LoseDisk(store) => world.lose_disk(*store),
            StoreEvent::GiveUp(set) => world.give_up(*set),
            StoreEvent::Finish => world.finish(),
            StoreEvent::Deliver(at) => world.deliver_at(*at),
            StoreEvent::Write(store) => drop(world.write_one(*store, EARLY)),
            StoreEvent::Look(store) => world.step(*store, EARLY, SimStore::look),
        }
        for store in &mut world.stores {
            Arc::make_mut(store).disk.be_idle();
        }
        world
    }

    pub fn view(&self) -> Arc<StoreView> {
        self.views.last().cloned().unwrap_or_default()
    }

    /// The links of the newest chain, head first.
    pub fn chain(&self) -> Vec<usize> {
        let view = self.view();
        let chain = view.group(GROUP).map(|group| group.chain.clone()).unwrap_or_default();
        let place = |number| Some(Network::machine(view.store(number)?.member.peer));
        chain.into_iter().filter_map(place).collect()
    }

    pub fn heard(&self, set: Stores) -> Vec<StoreReport> {
        places(set).map(|place| self.stores[place].heard()).collect()
    }

    pub fn planner<'a>(&self, heard: &'a [StoreReport]) -> Planner<'a> {
        Planner::new(LOSSES, heard, true).with_planted(self.planner_bug)
    }

    /// Decides the next view; false if the present one stays.
    pub fn plan(&mut self, set: Stores) -> bool {
        let heard = self.heard(set);
        let Some(mut next) = self.planner(&heard).plan(&self.view()) else { return false };
        next.groups.truncate(1);
        let is_news = next.epoch > self.view().epoch;
        match is_news {
            true => self.views.push(Arc::new(next)),
            // Who is joining matters to the core only.
            false => drop(self.views.last_mut().map(|view| *view = Arc::new(next))),
        }
        true
    }

    pub fn tell(&mut self, place: usize) {
        let view = self.view();
        self.step(place, EARLY, |store, step| store.take_view(&view, step));
    }

    pub fn live(&mut self, set: Stores) {
        for _ in 0..MOST_PLANS {
            let planned = self.plan(set);
            for place in places(set) {
                self.tell(place);
            }
            self.settle(set);
            if !planned {
                return;
            }
        }
    }

    /// Has these stores bring to its end what they have begun among themselves; what waits for others is given up.
    pub fn settle(&mut self, set: Stores) {
        for now in [EARLY, LATE, LATE] {
            for place in places(set) {
                self.step(place, now, SimStore::look);
            }
            self.settle_at(set, now);
            for place in places(set) {
                self.step(place, now, SimStore::give_up_waiting);
            }
        }
        self.settle_at(set, LATE);
    }

    pub fn settle_at(&mut self, set: Stores, now: Micros) {
        self.settle_but(set, now, &|_, _| false);
    }

    /// What `stays` picks is not delivered.
    pub fn settle_but(&mut self, set: Stores, now: Micros, stays: &dyn Fn(&Way, &Carried) -> bool) {
        let within = |place: usize| set >> place & 1 == 1;
        for _ in 0..MOST_ROUNDS {
            let mut moved = false;
            while let Some(way) = self.next_on_the_way(&within, stays) {
                self.deliver(&way, now);
                moved = true;
            }
            for place in places(set) {
                if self.stores[place].has_pending() {
                    self.step(place, now, SimStore::flush);
                    moved = true;
                }
                moved |= self.write_one(place, now);
            }
            if !moved || self.broken.is_some() {
                return;
            }
        }
    }

    pub fn next_on_the_way(
        &self,
        within: &dyn Fn(usize) -> bool,
        stays: &dyn Fn(&Way, &Carried) -> bool,
    ) -> Option<Way> {
        let goes = |way: &Way, carried: &Carried| within(way.from) && within(way.to) && !stays(way, carried);
        self.on_the_way.iter().find(|(way, carried)| goes(way, carried)).map(|(way, _)| way.clone())
    }

    pub fn write_one(&mut self, place: usize, now: Micros) -> bool {
        let Some(write) = self.stores[place].disk.oldest_waiting() else { return false };
        self.step(place, now, |store, step| store.written(write, step));
        true
    }

    pub fn deliver_at(&mut self, at: usize) {
        if let Some(way) = self.on_the_way.keys().nth(at).cloned() {
            self.deliver(&way, EARLY);
        }
    }

    pub fn deliver(&mut self, way: &Way, now: Micros) {
        let Some(carried) = self.on_the_way.remove(way) else { return };
        let call = way.call;
        match (carried.as_ref().clone(), call.caller) {
            (Carried::Ask(ask), _) => self.step(way.to, now, |store, step| store.ask(call, ask, step)),
            (Carried::Answer(answer), Caller::Store { store, life }) if self.stores[store].life == life => {
                self.step(store, now, |store, step| store.heard_back(call.number, Some(answer), step));
            }
            _ => {}
        }
    }

    pub fn step(&mut self, place: usize, now: Micros, act: impl FnOnce(&mut SimStore, &mut Step)) {
        let mut chance = SeededRng::new(0);
        let effects = {
            let mut step = Step { now, chance: &mut chance, effects: Vec::new() };
            act(Arc::make_mut(&mut self.stores[place]), &mut step);
            step.effects
        };
        for effect in effects {
            match effect {
                Effect::Send { to, call, ask, .. } => self.carry(place, to, call, Carried::Ask(ask)),
                Effect::Answer { call, answer } => match call.caller {
                    Caller::Store { store, .. } => self.carry(place, store, call, Carried::Answer(answer)),
                    Caller::Client(_) => self.client_heard(call.number, answer),
                },
                Effect::DropsShown { .. } => self.broken = Some("a copy takes away what was shown"),
                _ => {}
            }
        }
    }

    pub fn carry(&mut self, from: usize, to: usize, call: Call, carried: Carried) {
        let mut hasher = DefaultHasher::new();
        carried.hash(&mut hasher);
        let is_answer = matches!(carried, Carried::Answer(_));
        let way = Way { from, to, call, is_answer, rank: hasher.finish() };
        self.on_the_way.insert(way, Arc::new(carried));
    }

    pub fn client_asks(&mut self, to: Option<usize>, ask: Ask) -> Option<u64> {
        let to = to?;
        self.next_call += 1;
        let call = Call { caller: Caller::Client(0), number: self.next_call };
        self.step(to, EARLY, |store, step| store.ask(call, ask, step));
        Some(self.next_call)
    }

    pub fn submit(&mut self) {
        let view = self.view();
        self.submit_to(view.head(GROUP).map(|head| Network::machine(head.member.peer)));
    }

    pub fn submit_to(&mut self, to: Option<usize>) {
        let view = self.view();
        let item = |place: usize| Item {
            id: format!("{JOB}-{place}"),
            path: "/p/".to_owned(),
            headers: Vec::new(),
            body: vec![1],
            tokens: 1,
        };
        let job = Job {
            id: JOB.to_owned(),
            tenant: TENANT.to_owned(),
            route: "r".to_owned(),
            host: "h".to_owned(),
            received_ms: 0,
            generation: 0,
            limits: Default::default(),
            items: (0..ITEMS).map(item).collect(),
        };
        self.seen.submitted = true;
        self.client_asks(to, Ask::Submit { epoch: view.epoch, group: GROUP, job, most_queued: 0 });
    }

    pub fn read(&mut self, old: bool) {
        let Some(view) = self.views.iter().rev().nth(usize::from(old)).cloned() else { return };
        let to = view.tail(GROUP).map(|tail| Network::machine(tail.member.peer));
        let asked = Asked {
            was_accepted: self.seen.accepted,
            shown: self.seen.shown.len(),
            was_given_up: self.seen.given_up,
        };
        self.used.reads += 1;
        self.seen.asked.insert(self.next_call + 1, asked);
        let ask = Ask::Read {
            epoch: view.epoch,
            group: GROUP,
            tenant: TENANT.to_owned(),
            job: JOB.to_owned(),
            start: 0,
        };
        self.client_asks(to, ask);
    }

    pub fn client_heard(&mut self, call: u64, answer: Answer) {
        let Some(asked) = self.seen.asked.remove(&call) else {
            self.seen.accepted |= matches!(answer, Answer::Accepted) && !self.seen.given_up;
            return;
        };
        let wrong = match answer {
            Answer::Page(page) => self.page_is_wrong(&page, asked),
            Answer::NotFound if asked.was_accepted => Some("an accepted batch job is not found"),
            Answer::GivenUp if asked.was_accepted && !self.seen.given_up => Some("told to be given up"),
            _ => None,
        };
        self.broken = self.broken.or(wrong);
    }

    pub fn page_is_wrong(&mut self, page: &Page, asked: Asked) -> Option<&'static str> {
        if asked.was_given_up && asked.was_accepted {
            return Some("a batch job that was given up is shown");
        }
        if page.results.len() < asked.shown {
            return Some("a result that was shown is gone");
        }
        for (position, (_, result)) in page.results.iter().enumerate() {
            let listed = (result.item_index, result.text.clone());
            match self.seen.shown.get(position) {
                Some(before) if *before != listed => return Some("a position holds another result"),
                Some(_) => {}
                None => self.seen.shown.push(listed),
            }
        }
        let items: BTreeSet<u32> = self.seen.shown.iter().map(|(item, _)| *item).collect();
        (items.len() < self.seen.shown.len()).then_some("an item stands at two positions")
    }

    pub fn restart(&mut self, store: usize, with_writes: bool) {
        self.used.restarts += 1;
        let kept = if with_writes { usize::MAX } else { 0 };
        Arc::make_mut(&mut self.stores[store]).end_keeping(kept);
        self.step(store, EARLY, SimStore::begin);
    }

    pub fn lose_disk(&mut self, store: usize) {
        self.used.disks_lost += 1;
        let lost = Arc::make_mut(&mut self.stores[store]);
        lost.end_keeping(0);
        lost.wipe();
        self.step(store, EARLY, SimStore::begin);
    }

    pub fn give_up(&mut self, set: Stores) {
        let heard = self.heard(set);
        let view = self.view();
        let seen = seen_as_silent(&view, GROUP, &heard);
        let names = if self.seen.submitted { vec![JOB.to_owned()] } else { Vec::new() };
        let given_up = give_up_now(&self.planner(&heard), &view, GROUP, &seen, names);
        let Ok(mut next) = given_up else { return };
        next.groups.truncate(1);
        if seen.iter().any(|seen| seen.silent_for.is_none()) {
            self.broken = Some("given up though a holder is heard");
        }
        self.used.given_up += 1;
        self.seen.given_up = true;
        self.views.push(Arc::new(next));
        // Whoever was silent for so long that it may be given up has no lease any more.
        for place in (0..STORES).filter(|place| set >> place & 1 == 0) {
            Arc::make_mut(&mut self.stores[place]).hear_core(0);
        }
    }

    /// Everybody is there again: the group opens, and what was accepted is read.
    pub fn finish(&mut self) {
        for _ in 0..MOST_PLANS {
            self.live(ALL);
            if self.view().group(GROUP).is_some_and(|group| group.is_open() && group.joining.is_empty()) {
                break;
            }
        }
        self.finished = true;
        // Whoever asked before has gone away.
        self.seen.asked.clear();
        self.read(false);
        self.settle(ALL);
        if !self.seen.asked.is_empty() && self.broken.is_none() && self.seen.accepted {
            self.broken = Some("in the end nobody answers for an accepted batch job");
        }
        self.seen.asked.clear();
    }
}
