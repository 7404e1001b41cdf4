//! Every order of events at a small size, over the stores that drawn days play: three stores and a spare one hold one group with a batch
//! job of two items. Stores fall silent, restart with or without their last writes, one loses its disk, messages come late, views are
//! decided and not told, an operator gives the group up.

mod event;
mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use stateright::{Checker, Model, Property};

use super::plant::StorePlant;
use super::protocol::Answer;
use super::store::SimStore;
use crate::exhaustive::Searched;
pub use event::StoreEvent;
use event::{
    places, Stores, ALL, EARLY, GROUP, ITEMS, LEASE, MOST_DISKS_LOST, MOST_GIVEN_UP, MOST_READS,
    MOST_RESTARTS, STORES,
};
use world::{Carried, Seen, StoresWorld, Used};

/// How fine events are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreGrain {
    /// Each message, write and look by itself.
    Message,
    /// Stores that reach each other bring what they have begun to its end; which of them do changes from event to event.
    Partition,
}

/// The stores with or without a mistake.
pub struct StoreSearch {
    pub planted: Option<StorePlant>,
    pub grain: StoreGrain,
    /// Events on a path at most.
    pub events: u8,
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

#[cfg(test)]
mod tests;
