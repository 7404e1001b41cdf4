//! What the core hears and decides in a simulated day, how the news of it spread, and quotas.

use std::sync::Arc;

use fennelgauge_coordination::{StoreReport, StoreView};

use super::client::{group_of, with_overage};
use super::configuration::Version;
use super::core::{OfGroups, GATHER_FOR, PLAN_EVERY};
use super::plant::StorePlant;
use super::world::{Event, World, CLIENT_DELAY};
use crate::day::{Micros, MILLISECOND, SECOND};
use crate::network::Network;

/// From the look at the stores to the word of the next view.
const DECIDE_DELAY: (Micros, Micros) = (2 * MILLISECOND, 40 * MILLISECOND);
/// A configuration is everywhere within this time.
pub(super) const CONVERGE: Micros = 2 * SECOND;
/// Between two changes of the batch routes.
const CHANGE_EVERY: (Micros, Micros) = (150 * MILLISECOND, 900 * MILLISECOND);
const CHANGE_EVERY_IN_SERIES: Micros = 100 * MILLISECOND;
/// Age of what a source that is in touch with the core sends.
const SOURCE_AGE: (Micros, Micros) = (2 * MILLISECOND, 400 * MILLISECOND);
/// A store's word may be so late.
const LATE_PRESENCE: Micros = 600 * MILLISECOND;
const NEWS_DELAY: (Micros, Micros) = (2 * MILLISECOND, 90 * MILLISECOND);

impl World<'_> {
    pub(super) fn tell(&mut self, store: usize, at: Micros) {
        if self.stores[store].disk.is_in_trouble(self.now) || self.is_unheard(store) {
            return;
        }
        let heard = self.stores[store].heard();
        let of_groups = self.stores[store].of_groups();
        self.told.insert(store, heard.clone());
        let late = if self.chance.per_mille(5) { self.chance.between(0, LATE_PRESENCE) } else { 0 };
        let at = at + late + self.chance.between(CLIENT_DELAY.0, CLIENT_DELAY.1);
        self.at(at, Event::Hear { heard, of_groups });
    }

    pub fn is_unheard(&self, store: usize) -> bool {
        self.unheard.get(&store).is_some_and(|until| self.now < *until)
    }

    pub(super) fn plan(&mut self, again: bool) {
        if again {
            self.at(self.now + PLAN_EVERY, Event::Plan { again });
            self.planes_ask();
        }
        let Some(heard) = self.core.look(self.now) else { return };
        let at = self.now + self.chance.between(DECIDE_DELAY.0, DECIDE_DELAY.1);
        self.strike_after_look();
        self.at(at, Event::Decide { heard });
    }

    pub(super) fn decide(&mut self, heard: &[StoreReport]) {
        let before = self.core.view.epoch;
        if let Some(view) = self.core.plan(self.now, heard) {
            if view.epoch > before {
                self.spread(&view);
            }
        }
        self.take_retired_away();
    }

    pub(super) fn hear(&mut self, heard: StoreReport, of_groups: OfGroups) {
        let store = Network::machine(heard.member.peer);
        if !self.core.is_dark(self.now) {
            self.strike_first_word(store);
        }
        if self.core.hear(self.now, heard, of_groups) && self.core.view.has_closed_groups() {
            self.at(self.now + GATHER_FOR, Event::Plan { again: false });
        }
    }

    /// How much later than the others the next message of a store is.
    pub(super) fn late_of(&mut self, store: usize) -> Micros {
        match self.late.take_if(|(late, _)| *late == store) {
            Some((_, by)) => by,
            None => 0,
        }
    }

    /// A quota changes: data planes know it sooner or later, within the time in which a configuration is everywhere.
    pub fn change_quota(&mut self, most: u64) {
        // Any quota that may still be in force somewhere counts.
        let before = self.judge.max_queued_tokens();
        self.judge.set_max_queued_tokens(with_overage(most).max(before));
        self.quota = most;
        for plane in 0..self.planes.len() {
            let at = self.now + self.chance.between(0, CONVERGE);
            self.at(at, Event::PlaneQuota { plane, most });
        }
        self.at(self.now + 2 * CONVERGE, Event::QuotaInForce { most });
    }

    /// An operator changes the batch routes, unless the core takes no orders; data planes know it sooner or later.
    pub(super) fn change_routes(&mut self) {
        let every = match self.day.has_failing_items {
            true => CHANGE_EVERY_IN_SERIES,
            false => self.chance.between(CHANGE_EVERY.0, CHANGE_EVERY.1),
        };
        if !self.may_submit() {
            return;
        }
        self.at(self.now + every, Event::ChangeRoutes);
        if self.core.is_dark(self.now) {
            return;
        }
        let version = self.configurations.change(self.now, self.day.has_failing_items, &mut self.chance);
        self.print(|| format!("configuration {}: {:?}", version.generation, version.routes));
        self.judge.record_configuration(self.now, version.judged());
        for plane in 0..self.planes.len() {
            let at = self.now + self.chance.between(NEWS_DELAY.0, NEWS_DELAY.1);
            self.at(at, Event::PlaneConfiguration { plane, version: version.clone() });
        }
    }

    pub(super) fn plane_configured(&mut self, plane: usize, version: &Arc<Version>) {
        let plane = &mut self.planes[plane];
        if self.now >= plane.stale_until && version.generation > plane.configuration.generation {
            plane.configuration = version.clone();
        }
    }

    /// A store's source sends it the configuration that was the newest some moments ago.
    pub(super) fn send_configuration(&mut self, store: usize) {
        if !self.day.changes_routes {
            return;
        }
        let age = self.chance.between(SOURCE_AGE.0, SOURCE_AGE.1);
        let confirmed_at = self.now.saturating_sub(age);
        let version = self.configurations.as_of(confirmed_at);
        let confirmed_at = match self.plant {
            Some(StorePlant::StaleIsConfirmed) => self.now,
            _ => confirmed_at,
        };
        self.stores[store].take_configuration(&version, confirmed_at);
    }

    /// Whether a store has been in touch with the core for so long that it knows what was acknowledged before.
    pub(super) fn is_in_touch(&self, store: usize) -> bool {
        self.out_of_touch_at.get(&store).is_some_and(|at| self.now > *at + CONVERGE)
    }

    /// The news of a view, to all stores and data planes.
    pub fn spread(&mut self, view: &Arc<StoreView>) {
        self.views += 1;
        self.print(|| {
            let groups = (0..self.day.tenants).filter_map(|tenant| view.group(group_of(tenant)));
            format!("view {}: {:?}", view.epoch, groups.collect::<Vec<_>>())
        });
        for store in 0..self.stores.len() {
            let at = self.now + self.chance.between(NEWS_DELAY.0, NEWS_DELAY.1);
            self.at(at, Event::News { store, view: view.clone() });
        }
        for plane in 0..self.planes.len() {
            let at = self.now + self.chance.between(NEWS_DELAY.0, NEWS_DELAY.1);
            self.at(at, Event::PlaneNews { plane, view: view.clone() });
        }
        self.spring_at_view();
    }

    /// Data planes ask for news from time to time.
    fn planes_ask(&mut self) {
        if self.core.is_dark(self.now) {
            return;
        }
        let view = self.core.view_as_of(self.now, PLAN_EVERY);
        let version = self.configurations.as_of(self.now.saturating_sub(PLAN_EVERY));
        for plane in 0..self.planes.len() {
            self.plane_configured(plane, &version);
        }
        for plane in self.planes.iter_mut().filter(|plane| self.now >= plane.stale_until) {
            if view.epoch > plane.view.epoch {
                plane.view = view.clone();
            }
        }
    }
}
