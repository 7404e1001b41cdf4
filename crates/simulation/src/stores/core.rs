//! The placement: one planner over what the stores tell, with the timing of the program. The core's own days are played by the
//! other world of this crate.

use std::collections::BTreeMap;
use std::rc::Rc;

use fennelgauge_coordination::{Heard, Identity, Planner, PlannerBug, StoreView};

use crate::day::{Micros, MILLISECOND};

pub const PLAN_EVERY: Micros = 250 * MILLISECOND;
pub const GATHER_FOR: Micros = 60 * MILLISECOND;
const LOST_AFTER: Micros = 1_100 * MILLISECOND;
const HEAD_PATIENCE: Micros = 1_300 * MILLISECOND;
const FIRST_WAIT: Micros = 1_500 * MILLISECOND;
/// A source may hand out a view that is so old.
const OLD_VIEW: Micros = 1_500 * MILLISECOND;

#[derive(Debug)]
pub struct SimCore {
    losses: usize,
    planted: Option<PlannerBug>,
    pub view: Rc<StoreView>,
    /// All views, with when each was decided.
    views: Vec<(Micros, Rc<StoreView>)>,
    heard: BTreeMap<Identity, (Heard, Micros)>,
    dark_until: Micros,
    /// A new head hears the stores before it judges any.
    judges_from: Micros,
    first_heard: Option<Micros>,
}

impl SimCore {
    pub fn new(losses: usize, planted: Option<PlannerBug>) -> Self {
        let view = Rc::new(StoreView::default());
        Self {
            losses,
            planted,
            views: vec![(0, view.clone())],
            view,
            heard: BTreeMap::new(),
            dark_until: 0,
            judges_from: 0,
            first_heard: None,
        }
    }

    pub fn is_dark(&self, now: Micros) -> bool {
        now < self.dark_until
    }

    /// The head ends; another takes over then, which has heard nobody.
    pub fn go_dark(&mut self, until: Micros) {
        self.dark_until = self.dark_until.max(until);
        self.judges_from = self.dark_until + HEAD_PATIENCE;
        self.heard.clear();
    }

    /// A store told of itself; true if that is news.
    pub fn hear(&mut self, now: Micros, heard: Heard) -> bool {
        if self.is_dark(now) {
            return false;
        }
        self.first_heard = self.first_heard.or(Some(now));
        let before = self.heard.insert(heard.member.identity.clone(), (heard.clone(), now));
        before.is_none_or(|(before, _)| before != heard)
    }

    /// Plans; gives the next view, if there is one.
    pub fn plan(&mut self, now: Micros) -> Option<Rc<StoreView>> {
        if self.is_dark(now) || now < self.judges_from {
            return None;
        }
        self.heard.retain(|_, (_, at)| now < *at + LOST_AFTER);
        let heard: Vec<Heard> = self.heard.values().map(|(heard, _)| heard.clone()).collect();
        let may_begin = self.first_heard.is_some_and(|at| now > at + FIRST_WAIT);
        let planner = Planner::new(self.losses, &heard, may_begin).with_planted(self.planted);
        let next = Rc::new(planner.plan(&self.view)?);
        self.decide(now, next.clone());
        Some(next)
    }

    /// A store is to be emptied.
    pub fn retire(&mut self, now: Micros, node: &str) -> Option<Rc<StoreView>> {
        let mut next = StoreView::clone(&self.view);
        let staying = next.stores.iter().filter(|store| !store.retiring).count();
        let store = next.stores.iter_mut().find(|store| store.member.identity.node == node)?;
        if store.retiring || staying <= self.losses + 2 || self.is_dark(now) {
            return None;
        }
        store.retiring = true;
        next.epoch += 1;
        let next = Rc::new(next);
        self.decide(now, next.clone());
        Some(next)
    }

    fn decide(&mut self, now: Micros, next: Rc<StoreView>) {
        self.view = next.clone();
        self.views.push((now, next));
    }

    /// The view before the newest.
    pub fn view_before(&self) -> Rc<StoreView> {
        let before = self.views.iter().rev().nth(1).map(|(_, view)| view.clone());
        before.unwrap_or_default()
    }

    /// The newest view as of `age` ago, no older than a source may hand out.
    pub fn view_as_of(&self, now: Micros, age: Micros) -> Rc<StoreView> {
        let at = now.saturating_sub(age.min(OLD_VIEW));
        let known = self.views.iter().rev().find(|(decided, _)| *decided <= at);
        known.map_or_else(|| self.view.clone(), |(_, view)| view.clone())
    }
}
