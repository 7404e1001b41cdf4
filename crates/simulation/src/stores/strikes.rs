//! What strikes the stores: troubles, and the closing of the day.

use fennelgauge_coordination::StoreView;

use super::client::group_of;
use super::day::{AtView, StoreTrouble};
use super::store::SimStore;
use super::world::{Event, Trap, World, CLOSING_DARK};
use crate::day::{Micros, MILLISECOND, SECOND};
use crate::network::Network;

/// A lost disk counts as lost until all has been calm for so long.
const CATCH_UP: Micros = 6 * SECOND;
const SPRINGS_WITHIN: Micros = 2 * MILLISECOND;

impl World<'_> {
    pub(super) fn strike(&mut self, place: usize) {
        if self.closed {
            return;
        }
        let ranked = self.ranked(place);
        let of_rank = |rank: usize| ranked.get(rank).copied().unwrap_or(rank);
        let trouble = self.day.strikes[place].trouble.clone().at(&of_rank);
        self.print(|| format!("--- {trouble:?}"));
        let calm = self.now > self.troubled_until + CATCH_UP;
        if calm {
            self.wipes = 0;
        }
        let now = self.now;
        match trouble {
            StoreTrouble::Kill { stores, for_ } => {
                for store in stores {
                    self.power_off(store, for_);
                }
            }
            StoreTrouble::Freeze { store, for_ } => self.freeze(store, for_),
            StoreTrouble::FreezeHead { for_ } => self.traps.push(Trap::FreezeHead { for_ }),
            StoreTrouble::StrikeAtView { for_, how, rank } => {
                self.traps.push(Trap::StrikeAtView { for_, how, rank });
            }
            StoreTrouble::StrikeReader { for_, kill } => self.traps.push(Trap::StrikeReader { for_, kill }),
            StoreTrouble::Cut { inside, for_, one_way } => {
                self.network.cut(inside, now + for_, one_way);
                self.trouble(for_);
            }
            StoreTrouble::CutFromCore { stores, for_ } => {
                self.unheard.extend(stores.into_iter().map(|store| (store, now + for_)));
                self.trouble(for_);
            }
            StoreTrouble::Lossy { for_, lost } => {
                self.network.lose(now + for_, lost, 0);
                self.trouble(for_);
            }
            StoreTrouble::SlowLink { store, for_, delay } => {
                self.network.slow_down(store, now + for_, delay);
                self.trouble(for_ + delay);
            }
            StoreTrouble::SlowDisk { store, for_, times } => {
                if let Some(store) = self.stores.get_mut(store) {
                    store.disk.slow_down(now + for_, times);
                }
                self.trouble(for_);
            }
            StoreTrouble::CoreDark { for_ } => {
                self.core.go_dark(now + for_);
                self.trouble(for_);
            }
            StoreTrouble::AllDark { back } => {
                for (store, for_) in back.into_iter().enumerate() {
                    self.power_off(store, for_);
                }
            }
            StoreTrouble::Wipe { store, for_ } => self.wipe(store, for_),
            StoreTrouble::Replace { store, gap } => {
                if self.may_lose_a_disk(store) {
                    self.wipes += 1;
                    self.power_off(store, Micros::MAX / 4);
                    self.stores[store].is_gone = true;
                    self.troubled_until = now;
                    self.trouble(gap);
                    self.add_store();
                }
            }
            StoreTrouble::Retire { store } => {
                if let Some(view) = self.core.retire(now, &SimStore::node(store)) {
                    self.spread(&view);
                }
            }
            StoreTrouble::Add => self.add_store(),
            StoreTrouble::StaleTail { plane, for_ } => {
                self.planes[plane].stale_until = now + for_;
                if let Some(tail) = self.links(place).last() {
                    self.unheard.insert(*tail, now + for_);
                }
                self.trouble(for_);
            }
            StoreTrouble::StalePlane { plane, for_ } => self.planes[plane].stale_until = now + for_,
        }
    }

    /// The links of a group, head to tail.
    fn links(&self, strike: usize) -> Vec<usize> {
        let view = self.core.view.clone();
        let chain = view.group(group_of(strike % self.day.tenants)).map(|group| group.chain.clone());
        let place = |number| Some(Network::machine(view.store(number)?.member.peer));
        chain.unwrap_or_default().into_iter().filter_map(place).collect()
    }

    /// The stores by rank: the links of one group first, head to tail.
    fn ranked(&self, strike: usize) -> Vec<usize> {
        let mut ranked = self.links(strike);
        let others = (0..self.stores.len()).filter(|store| !ranked.contains(store)).collect::<Vec<_>>();
        ranked.extend(others);
        ranked
    }

    /// The links before a store that has joined a chain in the newest view.
    fn predecessors_of_newest(&self) -> Option<Vec<usize>> {
        let (before, view) = (self.core.view_before(), &self.core.view);
        let chain_of = |view: &StoreView, tenant| view.group(group_of(tenant)).map(|held| held.chain.clone());
        let joined = (0..self.day.tenants).find_map(|tenant| {
            let (was, mut is) = (chain_of(&before, tenant)?, chain_of(view, tenant)?);
            is.pop().filter(|tail| !was.contains(tail)).map(|_| is)
        });
        let holders = joined?;
        let place = |number| Some(Network::machine(view.store(number)?.member.peer));
        Some(holders.into_iter().filter_map(place).collect())
    }

    /// A view was decided: a trap may wait for that.
    pub(super) fn spring_at_view(&mut self) {
        let Some(place) = self.traps.iter().position(|trap| matches!(trap, Trap::StrikeAtView { .. })) else {
            return;
        };
        let Trap::StrikeAtView { for_, how, rank } = self.traps.swap_remove(place) else { return };
        let joined = self.predecessors_of_newest();
        if how == AtView::KillAllButJoining && joined.is_none() {
            return self.traps.push(Trap::StrikeAtView { for_, how, rank });
        }
        let ranked = self.ranked(place);
        let Some(store) = ranked.get(rank).copied() else { return };
        self.print(|| format!("--- s{store}, at the view: {how:?}"));
        match how {
            AtView::Kill => self.power_off(store, for_),
            AtView::KillAllButJoining => {
                for link in joined.unwrap_or_default() {
                    self.power_off(link, for_);
                }
            }
            AtView::Freeze => self.freeze(store, for_),
            AtView::SlowLink => {
                self.network.slow_down(store, self.now + for_, for_ / 2);
                self.trouble(2 * for_);
            }
            AtView::Cut => {
                self.network.cut(vec![store], self.now + for_, false);
                self.trouble(for_);
            }
            AtView::Unheard => {
                self.unheard.insert(store, self.now + for_);
                self.trouble(for_);
            }
        }
    }

    fn trouble(&mut self, for_: Micros) {
        self.troubled_until = self.troubled_until.max(self.now + for_);
    }

    fn may_lose_a_disk(&self, store: usize) -> bool {
        self.wipes < self.day.losses && self.stores.get(store).is_some_and(|store| !store.is_gone)
    }

    fn wipe(&mut self, store: usize, for_: Micros) {
        if self.may_lose_a_disk(store) {
            self.wipes += 1;
            self.power_off(store, for_);
            self.stores[store].wipe();
        }
    }

    fn power_off(&mut self, store: usize, for_: Micros) {
        let Some(ending) = self.stores.get_mut(store).filter(|store| !store.is_gone) else { return };
        ending.end(&mut self.chance);
        self.held.remove(&store);
        self.trouble(for_);
        self.at(self.now + for_, Event::Start(store));
    }

    fn freeze(&mut self, store: usize, for_: Micros) {
        let Some(frozen) = self.stores.get_mut(store).filter(|store| store.is_up) else { return };
        frozen.frozen_until = frozen.frozen_until.max(self.now + for_);
        self.trouble(for_);
        self.at(self.now + for_, Event::Thaw(store));
    }

    pub(super) fn thaw(&mut self, store: usize) {
        if self.now < self.stores[store].frozen_until {
            return;
        }
        for event in self.held.remove(&store).unwrap_or_default() {
            self.at(self.now, event);
        }
    }

    /// A head has synced, or a reader was answered: a trap may wait for that.
    pub(super) fn spring(&mut self, store: usize, reader: bool) {
        let waits = |trap: &Trap| match trap {
            Trap::StrikeReader { .. } => reader,
            Trap::FreezeHead { .. } => !reader,
            Trap::StrikeAtView { .. } => false,
        };
        let Some(place) = self.traps.iter().position(waits) else { return };
        match self.traps.swap_remove(place) {
            Trap::FreezeHead { for_ } => {
                self.print(|| format!("--- s{store} freezes"));
                self.freeze(store, for_);
            }
            Trap::StrikeReader { for_, kill: true } => {
                self.print(|| format!("--- s{store} loses power"));
                self.power_off(store, for_ + SPRINGS_WITHIN);
            }
            Trap::StrikeReader { for_, kill: false } => {
                self.unheard.insert(store, self.now + for_);
                self.trouble(for_);
            }
            Trap::StrikeAtView { .. } => {}
        }
    }

    /// A store that is emptied goes, disk and all.
    pub(super) fn take_retired_away(&mut self) {
        let view = self.core.view.clone();
        for store in view.stores.iter().filter(|store| store.retiring && !view.holds_data(store.number)) {
            let place = Network::machine(store.member.peer);
            if self.stores.get(place).is_some_and(|there| there.member().identity == store.member.identity) {
                self.print(|| format!("--- s{place} is empty and taken away"));
                self.stores[place].end(&mut self.chance);
                self.stores[place].is_gone = true;
            }
        }
    }

    /// All troubles end; all lose power once more, some their disks; all come back.
    pub(super) fn close(&mut self) {
        self.closed = true;
        self.print(|| "--- the closing".to_owned());
        self.network.heal();
        self.unheard.clear();
        self.traps.clear();
        for plane in &mut self.planes {
            plane.stale_until = 0;
        }
        if self.now > self.troubled_until + CATCH_UP {
            self.wipes = 0;
        }
        self.core.go_dark(self.now);
        let places: Vec<usize> = (0..self.stores.len()).collect();
        for store in &places {
            let for_ = self.chance.between(CLOSING_DARK.0, CLOSING_DARK.1);
            self.power_off(*store, for_);
            self.stores[*store].disk.slow_down(0, 1);
        }
        for _ in 0..self.day.closing_wipes {
            let store = self.chance.below(places.len());
            if self.may_lose_a_disk(store) {
                self.wipes += 1;
                self.stores[store].wipe();
            }
        }
    }
}
