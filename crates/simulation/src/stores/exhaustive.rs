//! Every order of events at a small size, over the stores that drawn days play: three stores and a spare one hold one group with a batch
//! job of two items. Stores fall silent, restart with or without their last writes, one loses its disk, messages come late, views are
//! decided and not told, an operator gives the group up.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use fennelgauge_batch::{Item, Job, Page};
use fennelgauge_coordination::{GroupNumber, Heard, Planner, PlannerBug, StoreView};
use stateright::{Checker, Model, Property};

use super::core::{give_up_now, seen_as_silent};
use super::plant::StorePlant;
use super::protocol::{Answer, Ask, Call, Caller};
use super::store::{Effect, SimStore, Step};
use crate::chance::Chance;
use crate::day::{Micros, MILLISECOND, SECOND};
use crate::exhaustive::Searched;
use crate::network::Network;

const STORES: usize = 4;
const LOSSES: usize = 1;
const GROUP: GroupNumber = GroupNumber(0);
const TENANT: &str = "t";
const JOB: &str = "job";
const ITEMS: usize = 2;
const MOST_RESTARTS: u8 = 2;
const MOST_DISKS_LOST: u8 = LOSSES as u8;
const MOST_READS: u8 = 2;
const MOST_GIVEN_UP: u8 = 1;
/// Time stands still but for what a settling takes: an early look and a late one.
const EARLY: Micros = 10 * SECOND;
const LATE: Micros = EARLY + 600 * MILLISECOND;
/// A store that was not told for so long has no lease any more.
const LEASE: Micros = 5 * SECOND;
/// A settling that takes more rounds does not come to its end.
const MOST_ROUNDS: usize = 200;
const MOST_PLANS: usize = 8;

/// A set of stores, a bit for each.
type Stores = u8;
const ALL: Stores = (1 << STORES) - 1;

/// How fine events are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreGrain {
    /// Each message, write and look by itself.
    Message,
    /// Stores that reach each other bring what they have begun to its end; which of them do changes from event to event.
    Partition,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// These stores hear the core and each other until nothing changes any more.
    Live(Stores),
    /// The same, for one view: what it leads to is not planned for yet.
    View(Stores),
    /// The core hears these stores and decides the next view; nobody is told yet.
    Plan(Stores),
    /// These stores are told of the newest view.
    Tell(Stores),
    /// These stores, without news, bring what they have begun to its end.
    Settle(Stores),
    Submit,
    /// By the newest view, or the one before.
    Read {
        old: bool,
    },
    /// The process begins anew; of the writes that were not done, all or none are there.
    Restart {
        store: usize,
        with_writes: bool,
    },
    LoseDisk(usize),
    /// An operator gives the group up, while only these stores are heard.
    GiveUp(Stores),
    /// All come back; everything that was accepted is to be read.
    Finish,
    Deliver(usize),
    Write(usize),
    Look(usize),
}

/// The stores with or without a mistake.
pub struct StoreSearch {
    pub planted: Option<StorePlant>,
    pub grain: StoreGrain,
    /// Events on a path at most.
    pub events: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Carried {
    Ask(Ask),
    Answer(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Way {
    from: usize,
    to: usize,
    call: Call,
    /// Tells an ask and its answer apart.
    is_answer: bool,
    /// Of what is carried.
    rank: u64,
}

/// What a reader knew when it asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    was_accepted: bool,
    shown: usize,
    was_given_up: bool,
}

/// What clients have seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Seen {
    submitted: bool,
    accepted: bool,
    given_up: bool,
    /// By position: item and text.
    shown: Vec<(u32, String)>,
    asked: BTreeMap<u64, Asked>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Used {
    restarts: u8,
    disks_lost: u8,
    reads: u8,
    given_up: u8,
}

/// All stores, what is on the way, and what was seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoresWorld {
    stores: Vec<Arc<SimStore>>,
    views: Vec<Arc<StoreView>>,
    planner_bug: Option<PlannerBug>,
    on_the_way: BTreeMap<Way, Arc<Carried>>,
    seen: Seen,
    used: Used,
    next_call: u64,
    finished: bool,
    broken: Option<&'static str>,
    /// Events since the beginning.
    events: u8,
}

impl StoreSearch {
    /// Searches all orders of so many events, from several beginnings; gives the events that break a rule, too, if any do.
    pub fn search(self, threads: usize) -> (Searched, Vec<StoreEvent>) {
        let checker = self.checker().threads(threads).spawn_bfs().join();
        let path = checker.discovery("no rule is broken");
        let broken = path.as_ref().and_then(|path| path.last_state().broken);
        let searched = Searched { states: checker.unique_state_count(), depth: checker.max_depth(), broken };
        (searched, path.map(|path| path.into_actions()).unwrap_or_default())
    }

    /// All stores up, the group placed and open.
    fn begun(&self) -> StoresWorld {
        let stores = (0..STORES).map(|place| {
            let mut store = SimStore::new(place, place, vec![GROUP], self.planted);
            store.lease = Some(LEASE);
            store.items_at_once = ITEMS;
            Arc::new(store)
        });
        let planner_bug = match self.planted {
            Some(StorePlant::Planner(bug)) => Some(bug),
            _ => None,
        };
        let mut world = StoresWorld {
            stores: stores.collect(),
            views: vec![Arc::default()],
            planner_bug,
            on_the_way: BTreeMap::new(),
            seen: Seen::default(),
            used: Used::default(),
            next_call: 0,
            finished: false,
            broken: None,
            events: 0,
        };
        for place in 0..STORES {
            world.step(place, EARLY, SimStore::begin);
        }
        world.live(ALL);
        world
    }

    /// While the head was silent the others went on; then all lose power, and who comes back is told of the first view by a source that
    /// is late.
    fn amid_return(&self, others: Stores) -> StoresWorld {
        let mut world = self.after(&[StoreEvent::Plan(others), StoreEvent::Tell(others), StoreEvent::Submit]);
        world.settle(others);
        let first = world.views.get(1).cloned().unwrap_or_default();
        for place in 0..STORES {
            Arc::make_mut(&mut world.stores[place]).end_keeping(usize::MAX);
            world.step(place, EARLY, SimStore::begin);
            world.step(place, EARLY, |store, step| store.take_view(&first, step));
        }
        world
    }

    /// The head of a closed group has brought a joining link level, whose answer is on the way while a holder that was silent is heard
    /// again: the head knows of the next view already. An entry that it made before the group was closed is on these two only.
    fn amid_joining(&self, head: usize, absent: usize, spare: usize) -> StoresWorld {
        let pair = 1 << head | 1 << spare;
        let mut world = self.after(&[StoreEvent::Submit, StoreEvent::View(pair)]);
        world.plan(pair);
        for place in places(pair) {
            world.tell(place);
        }
        world.settle_but(pair, EARLY, &|way, carried| match carried {
            Carried::Answer(Answer::Appended { .. }) => way.to == head,
            Carried::Answer(Answer::Position(_)) => way.to == spare,
            _ => false,
        });
        world.plan(pair | 1 << absent);
        world.tell(head);
        world
    }

    fn after(&self, events: &[StoreEvent]) -> StoresWorld {
        events.iter().fold(self.begun(), |world, event| world.after(event))
    }
}

impl Model for StoreSearch {
    type State = StoresWorld;
    type Action = StoreEvent;

    fn init_states(&self) -> Vec<StoresWorld> {
        use StoreEvent::{Live, Plan, Read, Restart, Submit, Tell};
        let chain = self.begun().chain();
        let bits = |places: &[usize]| places.iter().fold(0, |set: Stores, place| set | 1 << place);
        let spare = (0..STORES).find(|place| !chain.contains(place)).unwrap_or(STORES - 1);
        let (head, middle, tail) = match chain.as_slice() {
            [head, middle, tail, ..] => (*head, *middle, *tail),
            _ => return vec![self.begun()],
        };
        let rest = bits(&[middle, tail, spare]);
        vec![
            self.begun(),
            // The entry of the batch job is made and nowhere else.
            self.after(&[Submit]),
            self.after(&[Submit, Live(ALL)]),
            self.after(&[Submit, Live(ALL), Read { old: false }, Live(ALL)]),
            // The head is silent, and a spare store learns from the next one.
            self.after(&[Submit, Live(ALL), Plan(rest), Tell(rest)]),
            self.after(&[Submit, Live(ALL), Live(rest)]),
            // Two are silent, the group is closed.
            self.after(&[Submit, Live(ALL), Plan(bits(&[tail, spare])), Tell(bits(&[tail, spare]))]),
            // The head alone has made results.
            self.after(&[Submit, StoreEvent::Settle(bits(&[head])), Plan(rest)]),
            self.after(&[Submit, Live(ALL), Restart { store: head, with_writes: false }]),
            self.amid_joining(head, middle, spare),
            self.amid_return(bits(&[middle, tail])),
        ]
    }

    fn actions(&self, world: &StoresWorld, actions: &mut Vec<StoreEvent>) {
        if world.broken.is_some() || world.finished {
            return;
        }
        if world.events >= self.events {
            return actions.push(StoreEvent::Finish);
        }
        let sets = || (1..=ALL).filter(|set| set.count_ones() >= 2);
        match self.grain {
            StoreGrain::Partition => {
                actions.extend(sets().map(StoreEvent::Live));
                actions.extend(sets().map(StoreEvent::View));
                actions.extend(sets().map(StoreEvent::Settle));
            }
            StoreGrain::Message => {
                actions.extend((0..world.on_the_way.len()).map(StoreEvent::Deliver));
                actions.extend((0..STORES).map(StoreEvent::Write));
                actions.extend((0..STORES).map(StoreEvent::Look));
                actions.extend((0..STORES).map(|store| StoreEvent::Tell(1 << store)));
            }
        }
        actions.extend(sets().map(StoreEvent::Plan));
        if !world.seen.submitted {
            actions.push(StoreEvent::Submit);
        }
        if world.used.reads < MOST_READS && world.seen.submitted {
            actions.extend([StoreEvent::Read { old: false }, StoreEvent::Read { old: true }]);
        }
        if world.used.restarts < MOST_RESTARTS {
            for store in 0..STORES {
                actions.push(StoreEvent::Restart { store, with_writes: true });
                actions.push(StoreEvent::Restart { store, with_writes: false });
            }
        }
        if world.used.disks_lost < MOST_DISKS_LOST {
            actions.extend((0..STORES).map(StoreEvent::LoseDisk));
        }
        if world.used.given_up < MOST_GIVEN_UP {
            actions.extend(sets().map(StoreEvent::GiveUp));
        }
    }

    fn next_state(&self, before: &StoresWorld, event: StoreEvent) -> Option<StoresWorld> {
        let mut world = before.after(&event);
        let has_changed = world != *before;
        world.events += 1;
        has_changed.then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("no rule is broken", |_, world: &StoresWorld| world.broken.is_none())]
    }
}

fn places(set: Stores) -> impl Iterator<Item = usize> {
    (0..STORES).filter(move |place| set >> place & 1 == 1)
}

impl StoresWorld {
    fn after(&self, event: &StoreEvent) -> Self {
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

    fn view(&self) -> Arc<StoreView> {
        self.views.last().cloned().unwrap_or_default()
    }

    /// The links of the newest chain, head first.
    fn chain(&self) -> Vec<usize> {
        let view = self.view();
        let chain = view.group(GROUP).map(|group| group.chain.clone()).unwrap_or_default();
        let place = |number| Some(Network::machine(view.store(number)?.member.peer));
        chain.into_iter().filter_map(place).collect()
    }

    fn heard(&self, set: Stores) -> Vec<Heard> {
        places(set).map(|place| self.stores[place].heard()).collect()
    }

    fn planner<'a>(&self, heard: &'a [Heard]) -> Planner<'a> {
        Planner::new(LOSSES, heard, true).with_planted(self.planner_bug)
    }

    /// Decides the next view; false if the present one stays.
    fn plan(&mut self, set: Stores) -> bool {
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

    fn tell(&mut self, place: usize) {
        let view = self.view();
        self.step(place, EARLY, |store, step| store.take_view(&view, step));
    }

    fn live(&mut self, set: Stores) {
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
    fn settle(&mut self, set: Stores) {
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

    fn settle_at(&mut self, set: Stores, now: Micros) {
        self.settle_but(set, now, &|_, _| false);
    }

    /// What `stays` picks is not delivered.
    fn settle_but(&mut self, set: Stores, now: Micros, stays: &dyn Fn(&Way, &Carried) -> bool) {
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

    fn next_on_the_way(
        &self,
        within: &dyn Fn(usize) -> bool,
        stays: &dyn Fn(&Way, &Carried) -> bool,
    ) -> Option<Way> {
        let goes = |way: &Way, carried: &Carried| within(way.from) && within(way.to) && !stays(way, carried);
        self.on_the_way.iter().find(|(way, carried)| goes(way, carried)).map(|(way, _)| way.clone())
    }

    fn write_one(&mut self, place: usize, now: Micros) -> bool {
        let Some(write) = self.stores[place].disk.oldest_waiting() else { return false };
        self.step(place, now, |store, step| store.written(write, step));
        true
    }

    fn deliver_at(&mut self, at: usize) {
        if let Some(way) = self.on_the_way.keys().nth(at).cloned() {
            self.deliver(&way, EARLY);
        }
    }

    fn deliver(&mut self, way: &Way, now: Micros) {
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

    fn step(&mut self, place: usize, now: Micros, act: impl FnOnce(&mut SimStore, &mut Step)) {
        let mut chance = Chance::new(0);
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

    fn carry(&mut self, from: usize, to: usize, call: Call, carried: Carried) {
        let mut hasher = DefaultHasher::new();
        carried.hash(&mut hasher);
        let is_answer = matches!(carried, Carried::Answer(_));
        let way = Way { from, to, call, is_answer, rank: hasher.finish() };
        self.on_the_way.insert(way, Arc::new(carried));
    }

    fn client_asks(&mut self, to: Option<usize>, ask: Ask) -> Option<u64> {
        let to = to?;
        self.next_call += 1;
        let call = Call { caller: Caller::Client(0), number: self.next_call };
        self.step(to, EARLY, |store, step| store.ask(call, ask, step));
        Some(self.next_call)
    }

    fn submit(&mut self) {
        let view = self.view();
        self.submit_to(view.head(GROUP).map(|head| Network::machine(head.member.peer)));
    }

    fn submit_to(&mut self, to: Option<usize>) {
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
            items: (0..ITEMS).map(item).collect(),
        };
        self.seen.submitted = true;
        self.client_asks(to, Ask::Submit { epoch: view.epoch, group: GROUP, job, most_queued: 0 });
    }

    fn read(&mut self, old: bool) {
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

    fn client_heard(&mut self, call: u64, answer: Answer) {
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

    fn page_is_wrong(&mut self, page: &Page, asked: Asked) -> Option<&'static str> {
        if asked.was_given_up && asked.was_accepted {
            return Some("a batch job that was given up is shown");
        }
        if page.results.len() < asked.shown {
            return Some("a result that was shown is gone");
        }
        for (position, (_, result)) in page.results.iter().enumerate() {
            let listed = (result.item, result.text.clone());
            match self.seen.shown.get(position) {
                Some(before) if *before != listed => return Some("a position holds another result"),
                Some(_) => {}
                None => self.seen.shown.push(listed),
            }
        }
        let items: BTreeSet<u32> = self.seen.shown.iter().map(|(item, _)| *item).collect();
        (items.len() < self.seen.shown.len()).then_some("an item stands at two positions")
    }

    fn restart(&mut self, store: usize, with_writes: bool) {
        self.used.restarts += 1;
        let kept = if with_writes { usize::MAX } else { 0 };
        Arc::make_mut(&mut self.stores[store]).end_keeping(kept);
        self.step(store, EARLY, SimStore::begin);
    }

    fn lose_disk(&mut self, store: usize) {
        self.used.disks_lost += 1;
        let lost = Arc::make_mut(&mut self.stores[store]);
        lost.end_keeping(0);
        lost.wipe();
        self.step(store, EARLY, SimStore::begin);
    }

    fn give_up(&mut self, set: Stores) {
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
    fn finish(&mut self) {
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

#[cfg(test)]
mod tests;
