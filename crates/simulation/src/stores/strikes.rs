//! What strikes the stores: troubles, and the closing of the day.

use fennelgauge_coordination::StoreView;

use super::client::{group_of, tenant_name};
use super::day::{AtView, StoreTrouble, GIVE_UP_AFTER};
use super::moment::{Aimed, Blow, Moment, Occasion, Whom};
use super::store::SimStore;
use super::world::{Event, Trap, World, CLOSING_DARK, OPERATOR_EVERY};
use crate::day::{Micros, MILLISECOND, SECOND};
use crate::network::Network;

/// A lost disk counts as lost until all has been calm for so long.
const CATCH_UP: Micros = 6 * SECOND;
const SPRINGS_WITHIN: Micros = 2 * MILLISECOND;
/// A disk that a blow makes slow takes so many times as long.
const SLOW_TIMES: u64 = 60;

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
                self.network.partition(inside, now + for_, one_way);
                self.trouble(for_);
            }
            StoreTrouble::CutFromCore { stores, for_ } => {
                self.unheard.extend(stores.into_iter().map(|store| (store, now + for_)));
                self.trouble(for_);
            }
            StoreTrouble::Lossy { for_, lost } => {
                self.network.set_loss(now + for_, lost, 0);
                self.trouble(for_);
            }
            StoreTrouble::SlowLink { store, for_, delay } => {
                self.network.add_delay(store, now + for_, delay);
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
            StoreTrouble::AtMoment(aimed) => self.aimed.push(aimed),
            StoreTrouble::Behind { entries } => self.behind.push(entries),
            StoreTrouble::LateCopy { entries, for_ } => {
                self.behind.push(entries);
                let (blow, whom) = (Blow::LateMessage, Whom::Actor);
                self.aimed.push(Aimed { moment: Moment::CopySent, passes: 0, blow, whom, for_ });
            }
            StoreTrouble::FullDisk { store, for_ } => {
                if let Some(store) = self.stores.get_mut(store) {
                    store.disk.fill_up(now + for_);
                }
                self.trouble(for_);
            }
            StoreTrouble::StalledDisk { store, for_ } => {
                if let Some(store) = self.stores.get_mut(store) {
                    store.disk.stall(now + for_);
                }
                self.trouble(for_);
            }
            StoreTrouble::LoseGroup { cut_off, for_ } => self.lose_group(place, cut_off, for_),
            StoreTrouble::Quota { most } => self.change_quota(most),
            StoreTrouble::TenantAway { tenant, for_ } => drop(self.away.insert(tenant, now + for_)),
            StoreTrouble::FirstWord { for_, whom } => {
                self.first_word = Some((for_, whom));
                let back =
                    (0..self.stores.len()).map(|_| self.chance.between(CLOSING_DARK.0, CLOSING_DARK.1));
                for (store, back) in back.collect::<Vec<_>>().into_iter().enumerate() {
                    self.power_off(store, back);
                }
            }
            StoreTrouble::BetweenLookAndWord { rank, for_ } => self.after_look = Some((rank, for_)),
        }
    }

    /// The links of a group, head to tail.
    fn links(&self, strike: usize) -> Vec<usize> {
        let view = self.core.view.clone();
        let chain = view.group(group_of(strike % self.day.tenants)).map(|group| group.chain.clone());
        chain.unwrap_or_default().into_iter().filter_map(|number| self.place_of(number)).collect()
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
            AtView::KillAllButJoining => {
                for link in joined.unwrap_or_default() {
                    self.power_off(link, for_);
                }
            }
            AtView::Kill => self.deal(store, store, Blow::Kill, for_),
            AtView::Freeze => self.deal(store, store, Blow::Freeze, for_),
            AtView::SlowLink => self.deal(store, store, Blow::SlowLink, for_),
            AtView::Cut => self.deal(store, store, Blow::Cut, for_),
            AtView::Unheard => self.deal(store, store, Blow::Unheard, for_),
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
        self.out_of_touch_at.insert(store, self.now);
        for event in self.held.remove(&store).unwrap_or_default() {
            self.at(self.now, event);
        }
    }

    /// All stores that hold a group are lost beyond what is borne, or cut off together.
    fn lose_group(&mut self, strike: usize, cut_off: bool, for_: Micros) {
        let view = self.core.view.clone();
        let holders = view.recorded_holders(group_of(strike % self.day.tenants));
        let places: Vec<usize> = holders.into_iter().filter_map(|number| self.place_of(number)).collect();
        if places.len() + self.day.losses + 1 > self.stores.len() {
            return;
        }
        self.print(|| {
            format!("--- {places:?} hold a group and are {}", if cut_off { "cut off" } else { "lost" })
        });
        self.trouble(for_);
        if cut_off {
            self.unheard.extend(places.iter().map(|store| (*store, self.now + for_)));
            self.network.partition(places, self.now + for_, false);
            self.planes[0].stale_until = self.now + for_;
            return;
        }
        for store in places {
            self.power_off(store, for_);
            self.stores[store].wipe();
        }
    }

    /// An operator gives up what may be given up.
    pub(super) fn operator(&mut self) {
        self.at(self.now + OPERATOR_EVERY, Event::Operator);
        for tenant in 0..self.day.tenants {
            let group = group_of(tenant);
            let holders = self.core.view.recorded_holders(group);
            let heard = self.core.holders_seen(self.now, group).iter().any(|seen| seen.silent_for.is_none());
            let Some(Ok(view)) = self.core.give_up(self.now, group, GIVE_UP_AFTER) else { continue };
            self.print(|| format!("--- group {} is given up: {holders:?}", group.0));
            let now = self.now;
            if heard {
                self.judge.record_wrongful_give_up(
                    now,
                    format!("group {} is given up, a holder is heard", group.0),
                );
            }
            let names = view
                .group(group)
                .map(|group| group.given_up_jobs.iter().cloned().collect())
                .unwrap_or_default();
            self.forgotten += self.judge.record_give_up(now, &tenant_name(tenant), &names) as u64;
            self.spread(&view);
        }
    }

    /// A moment at a store: blows may wait for it, and learners that are to be behind.
    pub(super) fn at_moment(&mut self, store: usize, occasion: Occasion) {
        match occasion.moment {
            Moment::BatchSynced => self.spring(store, false),
            Moment::ReaderAnswered => self.spring(store, true),
            Moment::Copied => self.add_entries(occasion),
            _ => {}
        }
        if self.closed {
            return;
        }
        let Some(place) = self.aimed.iter().position(|aimed| aimed.moment == occasion.moment) else { return };
        if self.aimed[place].passes > 0 {
            self.aimed[place].passes -= 1;
            return;
        }
        let aimed = self.aimed.swap_remove(place);
        self.print(|| format!("--- s{store} at {occasion:?}: {aimed:?}"));
        for struck in self.whom(store, occasion, aimed.whom) {
            self.deal(struck, store, aimed.blow, aimed.for_);
        }
    }

    fn add_entries(&mut self, occasion: Occasion) {
        let head = occasion.peer.and_then(|head| self.place_of(head));
        let (Some(entries), Some(head)) = (self.behind.pop(), head) else { return };
        if self.stores[head].is_up {
            self.step(head, |store, step| store.fill(occasion.group, entries, step));
        }
    }

    fn place_of(&self, number: fennelgauge_coordination::StoreNumber) -> Option<usize> {
        Some(Network::machine(self.core.view.store(number)?.member.peer))
    }

    fn whom(&self, actor: usize, occasion: Occasion, whom: Whom) -> Vec<usize> {
        let view = self.core.view.clone();
        let chain = view.group(occasion.group).map(|group| group.chain.clone()).unwrap_or_default();
        let links: Vec<usize> = chain.into_iter().filter_map(|link| self.place_of(link)).collect();
        match whom {
            Whom::Actor => vec![actor],
            Whom::Peer => occasion.peer.and_then(|peer| self.place_of(peer)).into_iter().collect(),
            Whom::Head => links.first().copied().into_iter().collect(),
            Whom::Others => links.into_iter().filter(|link| *link != actor).collect(),
            Whom::Links => links,
            Whom::All => (0..self.stores.len()).collect(),
        }
    }

    fn deal(&mut self, struck: usize, actor: usize, blow: Blow, for_: Micros) {
        let until = self.now + for_;
        match blow {
            Blow::Kill => self.power_off(struck, for_),
            Blow::Freeze => self.freeze(struck, for_),
            Blow::Cut | Blow::CutOneWay => {
                self.network.partition(vec![struck], until, blow == Blow::CutOneWay);
                self.trouble(for_);
            }
            Blow::Unheard => {
                self.unheard.insert(struck, until);
                self.trouble(for_);
            }
            Blow::SlowLink => {
                self.network.add_delay(struck, until, for_ / 2);
                self.trouble(2 * for_);
            }
            Blow::LateMessage => {
                self.late = Some((actor, for_));
                self.trouble(for_);
            }
            Blow::Wipe => self.wipe(struck, for_),
            Blow::SlowDisk => {
                if let Some(store) = self.stores.get_mut(struck) {
                    store.disk.slow_down(until, SLOW_TIMES);
                }
                self.trouble(for_);
            }
        }
    }

    /// The first store that is heard after all were dark.
    pub(super) fn strike_first_word(&mut self, store: usize) {
        let Some((for_, whom)) = self.first_word.take().filter(|_| !self.closed) else { return };
        let struck: Vec<usize> = match whom {
            Whom::Actor | Whom::Head => vec![store],
            Whom::All | Whom::Links => (0..self.stores.len()).collect(),
            Whom::Peer | Whom::Others => (0..self.stores.len()).filter(|other| *other != store).collect(),
        };
        self.print(|| format!("--- s{store} is heard first: {struck:?} lose power"));
        for store in struck {
            self.power_off(store, for_);
        }
    }

    /// The head of the core has looked, and has not told the next view yet.
    pub(super) fn strike_after_look(&mut self) {
        let Some((rank, for_)) = self.after_look.take().filter(|_| !self.closed) else { return };
        if let Some(store) = self.ranked(rank).get(rank).copied() {
            self.print(|| format!("--- s{store} goes after the look"));
            self.power_off(store, for_);
        }
    }

    /// A head has synced, or a reader was answered: a trap may wait for that.
    fn spring(&mut self, store: usize, reader: bool) {
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
        self.network.clear_faults();
        self.unheard.clear();
        self.traps.clear();
        self.aimed.clear();
        self.late = None;
        self.first_word = None;
        self.after_look = None;
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
            self.stores[*store].disk.heal();
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
