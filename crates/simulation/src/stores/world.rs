//! Plays a day of the stores: one queue of events in the order of simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fennelgauge_batch_judge::{BatchJobChecker, Limits, Rule, Violation};
use fennelgauge_coordination::{StoreReport, StoreView};

use super::client::{group_of, with_overage, Client, Duty, CLIENT_PATIENCE};
use super::configuration::{Configurations, Version};
use super::core::{OfGroups, SimCore, PLAN_EVERY};
use super::costs::Costs;
use super::day::{AtView, StoreDay, STORE_LEASE};
use super::moment::{Aimed, Whom};
use super::placing::CONVERGE;
use super::plant::StorePlant;
use super::protocol::{Answer, Ask, Call, Caller};
use super::store::{Effect, SimStore, Step};
use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND, SECOND};
use crate::network::Network;

const LOOK_EVERY: Micros = 100 * MILLISECOND;
const PRESENCE_EVERY: Micros = 250 * MILLISECOND;
const PRESENCE_LEAST: Micros = 60 * MILLISECOND;
const CLIENTS_BEGIN: Micros = 2_500 * MILLISECOND;
/// After the closing, all is open and level by then.
const RECOVER: Micros = 15 * SECOND;
/// All that is open is finished then, and is read once more.
const FINISH: Micros = 10 * SECOND;
const SWEEP: Micros = 5 * SECOND;
pub(super) const CLOSING_DARK: (Micros, Micros) = (300 * MILLISECOND, 900 * MILLISECOND);
pub(super) const OPERATOR_EVERY: Micros = 300 * MILLISECOND;
const PLANES: usize = 3;
const READERS: usize = 4;
/// On days with late calls, so many submissions of a thousand are late.
const LATE_CALLS_PER_MILLE: u64 = 100;
pub(super) const CLIENT_DELAY: (Micros, Micros) = (MILLISECOND, 5 * MILLISECOND);
const ROUTES_BEGIN: Micros = 500 * MILLISECOND;
const SETTLE: Micros = SECOND;
const CANCEL: Micros = 3 * SECOND;
/// More broken rules are not kept.
const ENOUGH: usize = 20;

/// What came of a day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoresPlayed {
    pub broken: Vec<Violation>,
    pub acceptances: u64,
    pub reads: u64,
    pub views: u64,
    /// Copies that took away what a reader had been shown.
    pub shown_dropped: Vec<String>,
    /// Mixes all that happened: the same for the same day.
    pub trace: u64,
    pub costs: Costs,
    /// Batch jobs that were given up and of which nobody knew the names any more.
    pub forgotten: u64,
}

/// Plays one day.
pub fn play_stores(day: &StoreDay, plant: Option<StorePlant>) -> StoresPlayed {
    World::new(day, plant, false).run()
}

/// Plays one day and prints what happens as it comes.
pub fn play_stores_and_print(day: &StoreDay, plant: Option<StorePlant>) -> StoresPlayed {
    World::new(day, plant, true).run()
}

#[derive(Debug)]
pub(super) enum Event {
    Start(usize),
    Ask {
        to: usize,
        call: Call,
        ask: Ask,
    },
    Answer {
        call: Call,
        answer: Option<Answer>,
    },
    Written {
        store: usize,
        life: u64,
        write: u64,
    },
    Flush {
        store: usize,
        life: u64,
    },
    Look {
        store: usize,
        life: u64,
    },
    LookOnce {
        store: usize,
        life: u64,
    },
    Presence {
        store: usize,
        life: u64,
    },
    Hear {
        heard: StoreReport,
        of_groups: OfGroups,
    },
    Plan {
        again: bool,
    },
    /// The plan that follows from who was heard when the head looked.
    Decide {
        heard: Vec<StoreReport>,
    },
    /// An operator looks at the groups.
    Operator,
    /// An operator changes the batch routes.
    ChangeRoutes,
    PlaneConfiguration {
        plane: usize,
        version: Arc<Version>,
    },
    /// A quota is in force everywhere.
    QuotaInForce {
        most: u64,
    },
    PlaneQuota {
        plane: usize,
        most: u64,
    },
    News {
        store: usize,
        view: Arc<StoreView>,
    },
    PlaneNews {
        plane: usize,
        view: Arc<StoreView>,
    },
    Client(usize),
    Strike(usize),
    Thaw(usize),
    Close,
}

/// A data plane: only its view of the stores matters here.
#[derive(Debug, Default)]
pub(super) struct Plane {
    pub view: Arc<StoreView>,
    pub stale_until: Micros,
    /// The configuration that it knows, which may be older than those of the stores.
    pub configuration: Arc<Version>,
    /// A tenant may have so many tokens queued.
    pub most_queued: u64,
}

/// What waits for the next occasion.
#[derive(Clone, Copy, Debug)]
pub(super) enum Trap {
    FreezeHead { for_: Micros },
    StrikeReader { for_: Micros, kill: bool },
    StrikeAtView { for_: Micros, how: AtView, rank: usize },
}

pub(super) struct World<'a> {
    pub day: &'a StoreDay,
    pub plant: Option<StorePlant>,
    pub prints: bool,
    pub now: Micros,
    pub chance: SeededRng,
    queue: BTreeMap<(Micros, u64), Event>,
    queued: u64,
    pub stores: Vec<SimStore>,
    /// Events that came while a store was frozen.
    pub held: BTreeMap<usize, Vec<Event>>,
    pub network: Network,
    /// Stores that the core does not hear, until when.
    pub unheard: BTreeMap<usize, Micros>,
    pub core: SimCore,
    pub configurations: Configurations,
    /// When each store was last out of touch with the core.
    pub out_of_touch_at: BTreeMap<usize, Micros>,
    pub planes: Vec<Plane>,
    pub clients: Vec<Client>,
    pub judge: BatchJobChecker,
    pub traps: Vec<Trap>,
    pub aimed: Vec<Aimed>,
    /// Entries that the next learners find more.
    pub behind: Vec<usize>,
    /// Strikes at the first word after all were dark.
    pub first_word: Option<(Micros, Whom)>,
    /// A store that goes between the look and the word.
    pub after_look: Option<(usize, Micros)>,
    /// The next message of that store is so late.
    pub late: Option<(usize, Micros)>,
    /// Until when a tenant sends no new batch jobs.
    pub away: BTreeMap<usize, Micros>,
    pub quota: u64,
    pub forgotten: u64,
    pub costs: Costs,
    pub to_end: Vec<String>,
    pub swept: BTreeSet<String>,
    pub acceptances: u64,
    pub views: u64,
    pub wipes: usize,
    pub troubled_until: Micros,
    pub closed: bool,
    pub told: BTreeMap<usize, StoreReport>,
    next_call: u64,
    shown_dropped: Vec<String>,
    trace: u64,
}

impl<'a> World<'a> {
    fn new(day: &'a StoreDay, plant: Option<StorePlant>, prints: bool) -> Self {
        let planted = match plant {
            Some(StorePlant::Planner(bug)) => Some(bug),
            _ => None,
        };
        let bounds = Limits {
            visibility_delay: SETTLE,
            cancellation_grace: CANCEL,
            max_queued_tokens: with_overage(day.most_queued()),
            items_may_be_given_up: false,
            route_end_grace: CONVERGE,
        };
        let first_configuration = match day.changes_routes {
            true => Version::default(),
            false => Version::unchanging(),
        };
        let mut world = Self {
            day,
            plant,
            prints,
            now: 0,
            chance: SeededRng::new(day.seed),
            queue: BTreeMap::new(),
            queued: 0,
            stores: Vec::new(),
            held: BTreeMap::new(),
            network: Network::default(),
            unheard: BTreeMap::new(),
            core: SimCore::new(day.losses, planted),
            configurations: Configurations::new(first_configuration.clone()),
            out_of_touch_at: BTreeMap::new(),
            planes: (0..PLANES)
                .map(|_| Plane {
                    most_queued: day.most_queued(),
                    configuration: Arc::new(first_configuration.clone()),
                    ..Plane::default()
                })
                .collect(),
            clients: Vec::new(),
            judge: BatchJobChecker::new(bounds),
            traps: Vec::new(),
            aimed: Vec::new(),
            behind: Vec::new(),
            first_word: None,
            after_look: None,
            late: None,
            away: BTreeMap::new(),
            quota: day.most_queued(),
            forgotten: 0,
            costs: Costs::default(),
            to_end: Vec::new(),
            swept: BTreeSet::new(),
            acceptances: 0,
            views: 0,
            wipes: 0,
            troubled_until: 0,
            closed: false,
            told: BTreeMap::new(),
            next_call: 0,
            shown_dropped: Vec::new(),
            trace: 0,
        };
        for _ in 0..day.stores {
            world.add_store();
        }
        let submitters = (0..day.tenants).map(|tenant| Duty::Submit {
            tenant,
            job: None,
            tries: 0,
            may_have_executed: false,
        });
        let readers = (0..READERS).map(|_| Duty::Read { job: None });
        world.clients = submitters.chain(readers).chain([Duty::End { job: None }]).map(Client::new).collect();
        for client in 0..world.clients.len() {
            let at = CLIENTS_BEGIN + world.chance.between(0, SECOND);
            world.at(at, Event::Client(client));
        }
        for (place, strike) in day.strikes.iter().enumerate() {
            world.at(strike.at, Event::Strike(place));
        }
        world.at(day.closing, Event::Close);
        world.at(PLAN_EVERY, Event::Plan { again: true });
        if day.gives_up {
            world.at(CLIENTS_BEGIN, Event::Operator);
        }
        if day.changes_routes {
            world.judge.record_configuration(0, Version::default().judged());
            world.at(ROUTES_BEGIN, Event::ChangeRoutes);
        }
        world
    }

    pub fn add_store(&mut self) {
        let place = self.stores.len();
        let groups = (0..self.day.tenants).map(group_of).collect();
        let mut store = SimStore::new(place, place % self.day.zones, groups, self.plant);
        store.lease = self.day.gives_up.then_some(STORE_LEASE);
        store.disk.fixed_sync = self.day.fixed_sync;
        store.items_at_once = self.day.items_at_once;
        store.changes_routes = self.day.changes_routes;
        store.lost_answers_per_mille = self.day.lost_answers_per_mille;
        self.stores.push(store);
        let at = self.now + self.chance.between(0, 300 * MILLISECOND);
        self.at(at, Event::Start(place));
    }

    pub fn at(&mut self, at: Micros, event: Event) {
        self.queued += 1;
        self.queue.insert((at.max(self.now), self.queued), event);
    }

    pub fn print(&self, what: impl FnOnce() -> String) {
        if self.prints {
            println!("{:>9.3} {}", self.now as f64 / 1_000_000.0, what());
        }
    }

    fn ends_at(&self) -> Micros {
        self.day.closing + RECOVER + FINISH + SWEEP
    }

    pub fn is_sweeping(&self) -> bool {
        self.now > self.day.closing + RECOVER + FINISH
    }

    /// New batch jobs come until all is to be finished.
    pub fn may_submit(&self) -> bool {
        self.now < self.day.closing + RECOVER
    }

    fn run(mut self) -> StoresPlayed {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > self.ends_at() || self.judge.violations.len() >= ENOUGH {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish();
        StoresPlayed {
            broken: self.judge.violations,
            acceptances: self.acceptances,
            reads: self.judge.pages_read,
            views: self.views,
            shown_dropped: self.shown_dropped,
            trace: self.trace,
            costs: self.costs.with_syncs(self.stores.iter().map(|store| store.disk.syncs).sum()),
            forgotten: self.forgotten,
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        for job in self.judge.accepted_jobs() {
            if !self.swept.contains(&job) && now >= self.ends_at().saturating_sub(SECOND) {
                let what = format!("{job} cannot be read in the end");
                self.judge.violations.push(Violation { rule: Rule::Lost, at: now, description: what });
            }
        }
        self.judge.check_completeness(now);
    }

    fn mix(&mut self, value: u64) {
        self.trace = (self.trace ^ value).wrapping_mul(0x0100_0000_01b3).rotate_left(23) ^ self.now;
    }

    /// The store that an event is for, if it is for one.
    fn store_of(event: &Event) -> Option<usize> {
        match event {
            Event::Ask { to: store, .. }
            | Event::Flush { store, .. }
            | Event::Look { store, .. }
            | Event::LookOnce { store, .. }
            | Event::Presence { store, .. }
            | Event::Written { store, .. }
            | Event::News { store, .. } => Some(*store),
            Event::Answer { call: Call { caller: Caller::Store { store, .. }, .. }, .. } => Some(*store),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(store) = Self::store_of(&event) {
            if self.now < self.stores[store].frozen_until {
                return self.held.entry(store).or_default().push(event);
            }
        }
        self.mix(self.queued);
        match event {
            Event::Start(store) => self.start(store),
            Event::Ask { to, call, ask } => {
                if self.stores[to].is_up {
                    self.print(|| format!("s{to} is asked by {:?}: {}", call.caller, brief(&ask)));
                    self.step(to, |store, step| store.ask(call, ask, step));
                }
            }
            Event::Answer { call, answer } => self.answer(call, answer),
            Event::Written { store, life, write } => match self.stores[store].disk.stalled_until(self.now) {
                Some(until) => self.at(until, Event::Written { store, life, write }),
                None => self.step_in(store, life, |store, step| store.written(write, step)),
            },
            Event::Flush { store, life } => self.step_in(store, life, SimStore::flush),
            Event::LookOnce { store, life } => self.step_in(store, life, SimStore::look),
            Event::Look { store, life } => self.look(store, life),
            Event::Presence { store, life } => self.presence(store, life),
            Event::Hear { heard, of_groups } => self.hear(heard, of_groups),
            Event::Plan { again } => self.plan(again),
            Event::Decide { heard } => self.decide(&heard),
            Event::Operator => self.operator(),
            Event::ChangeRoutes => self.change_routes(),
            Event::PlaneConfiguration { plane, version } => self.plane_configured(plane, &version),
            Event::QuotaInForce { most } => {
                if most == self.quota {
                    self.judge.set_max_queued_tokens(with_overage(most));
                }
            }
            // One that was overtaken by a later one is not taken.
            Event::PlaneQuota { plane, most } if most == self.quota => self.planes[plane].most_queued = most,
            Event::PlaneQuota { .. } => {}
            Event::News { store, view } => {
                if self.stores[store].is_up && !self.is_unheard(store) {
                    self.send_configuration(store);
                    self.step(store, |store, step| store.take_view(&view, step));
                }
            }
            Event::PlaneNews { plane, view } => {
                let plane = &mut self.planes[plane];
                if self.now >= plane.stale_until && view.epoch > plane.view.epoch {
                    plane.view = view;
                }
            }
            Event::Client(client) => self.client_turn(client),
            Event::Strike(place) => self.strike(place),
            Event::Thaw(store) => self.thaw(store),
            Event::Close => self.close(),
        }
    }

    fn start(&mut self, store: usize) {
        if self.stores[store].is_up || self.stores[store].is_gone {
            return;
        }
        self.print(|| format!("s{store} starts"));
        self.step(store, SimStore::begin);
        let life = self.stores[store].life;
        self.told.remove(&store);
        let age = self.chance.between(0, 1_500 * MILLISECOND);
        let view = self.core.view_as_of(self.now, age);
        self.out_of_touch_at.insert(store, self.now);
        if !self.core.is_dark(self.now) && !self.is_unheard(store) {
            self.send_configuration(store);
            self.step(store, |store, step| store.take_view(&view, step));
        }
        self.at(self.now + MILLISECOND, Event::Look { store, life });
        self.at(self.now + MILLISECOND, Event::Presence { store, life });
    }

    /// One step of a store, and what follows from it.
    pub fn step(&mut self, store: usize, act: impl FnOnce(&mut SimStore, &mut Step)) {
        let effects = {
            let mut step = Step { now: self.now, chance: &mut self.chance, effects: Vec::new() };
            act(&mut self.stores[store], &mut step);
            step.effects
        };
        for effect in effects {
            self.follow(store, effect);
        }
    }

    fn step_in(&mut self, store: usize, life: u64, act: impl FnOnce(&mut SimStore, &mut Step)) {
        if self.stores[store].is_up && self.stores[store].life == life {
            self.step(store, act);
        }
    }

    fn follow(&mut self, store: usize, effect: Effect) {
        let life = self.stores[store].life;
        match effect {
            Effect::Send { to, call, ask, within } => {
                self.costs.sent(&ask);
                self.at(self.now + within, Event::Answer { call, answer: None });
                let late = self.late_of(store);
                for at in self.network.arrivals(self.now, store, to, &mut self.chance) {
                    self.at(at + late, Event::Ask { to, call, ask: ask.clone() });
                }
            }
            Effect::Answer { call, answer } => self.send_answer(store, call, answer),
            Effect::Written { write, at } => self.at(at, Event::Written { store, life, write }),
            Effect::Wake { at } => self.at(at, Event::LookOnce { store, life }),
            Effect::Flush { at } => self.at(at, Event::Flush { store, life }),
            Effect::Began { item } => {
                self.print(|| format!("s{store} has {item} run"));
                self.judge.check_refusal_of_start(self.now, &item);
                self.judge.record_item_start(self.now, &item);
                if self.is_in_touch(store) {
                    self.judge.check_route_of_start(self.now, &item);
                }
            }
            Effect::Failed { item } => self.judge.record_item_failure(self.now, &item),
            Effect::Rejected { item } => self.judge.record_item_rejection(&item),
            Effect::Done { item, text } => {
                self.judge.record_item_output(&item, &text);
                self.costs.done(self.now, &item);
            }
            Effect::Listed { item } => self.costs.listed(self.now, &item),
            Effect::At(occasion) => self.at_moment(store, occasion),
            Effect::DropsShown { what } => {
                self.print(|| what.clone());
                self.shown_dropped.push(what);
            }
        }
    }

    fn send_answer(&mut self, from: usize, call: Call, answer: Answer) {
        self.print(|| format!("s{from} answers {:?}: {}", call.caller, brief(&answer)));
        let arrivals = match call.caller {
            Caller::Store { store, .. } => self.network.arrivals(self.now, from, store, &mut self.chance),
            Caller::Client(_) => vec![self.now + self.chance.between(CLIENT_DELAY.0, CLIENT_DELAY.1)],
        };
        let late = match call.caller {
            Caller::Store { .. } => self.late_of(from),
            Caller::Client(_) => 0,
        };
        self.costs.answered(&answer);
        for at in arrivals.into_iter().take(1) {
            self.at(at + late, Event::Answer { call, answer: Some(answer.clone()) });
        }
    }

    fn answer(&mut self, call: Call, answer: Option<Answer>) {
        match call.caller {
            Caller::Store { store, life } => {
                self.step_in(store, life, |store, step| store.heard_back(call.number, answer, step));
            }
            Caller::Client(client) => self.client_heard(client, call.number, answer),
        }
    }

    /// A client's call; its number.
    pub fn call_of_client(&mut self, client: usize, to: usize, ask: Ask) -> u64 {
        self.next_call += 1;
        let call = Call { caller: Caller::Client(client), number: self.next_call };
        self.at(self.now + CLIENT_PATIENCE, Event::Answer { call, answer: None });
        let mut at = self.now + self.chance.between(CLIENT_DELAY.0, CLIENT_DELAY.1);
        let may_be_late = self.day.has_late_calls && matches!(ask, Ask::Submit { .. });
        if may_be_late && self.chance.per_mille(LATE_CALLS_PER_MILLE) {
            at += self.chance.between(0, 2 * CLIENT_PATIENCE);
        }
        self.at(at, Event::Ask { to, call, ask });
        self.next_call
    }

    pub fn client_again(&mut self, client: usize, after: Micros) {
        self.at(self.now + after, Event::Client(client));
    }

    fn look(&mut self, store: usize, life: u64) {
        if !self.stores[store].is_up || self.stores[store].life != life {
            return;
        }
        self.at(self.now + LOOK_EVERY, Event::Look { store, life });
        match self.core.is_dark(self.now) || self.is_unheard(store) {
            true => drop(self.out_of_touch_at.insert(store, self.now)),
            false => {
                let view = self.core.view_as_of(self.now, 400 * MILLISECOND);
                self.send_configuration(store);
                self.step(store, |store, step| store.take_view(&view, step));
            }
        }
        self.step(store, SimStore::look);
        let news = self.told.get(&store) != Some(&self.stores[store].heard());
        if news {
            let at = self.now + PRESENCE_LEAST;
            self.tell(store, at);
        }
    }

    fn presence(&mut self, store: usize, life: u64) {
        if self.stores[store].is_up && self.stores[store].life == life {
            self.at(self.now + PRESENCE_EVERY, Event::Presence { store, life });
            self.tell(store, self.now);
        }
    }
}

fn brief(what: &impl std::fmt::Debug) -> String {
    const MOST: usize = 160;
    let text = format!("{what:?}");
    text.chars().take(MOST).collect()
}
