//! The placement: one planner over what the stores tell, with the timing of the program. The core's own days are played by the
//! other world of this crate.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fennelgauge_coordination::{
    GiveUpError, GiveUpRequest, GroupNumber, HolderStatus, Identity, LastHolder, Planner, PlannerBug,
    StoreReport, StoreView,
};

use crate::day::{Micros, MILLISECOND};

pub const PLAN_EVERY: Micros = 250 * MILLISECOND;
pub const GATHER_FOR: Micros = 60 * MILLISECOND;
const LOST_AFTER: Micros = 1_100 * MILLISECOND;
const HEAD_PATIENCE: Micros = 1_300 * MILLISECOND;
const FIRST_WAIT: Micros = 1_500 * MILLISECOND;
/// A source may hand out a view that is so old.
const OLD_VIEW: Micros = 1_500 * MILLISECOND;

/// What a store tells of its groups.
#[derive(Clone, Debug, Default)]
pub struct OfGroups {
    pub entries: BTreeMap<GroupNumber, u64>,
    /// Of batch jobs, of the groups that it heads.
    pub names: BTreeMap<GroupNumber, BTreeSet<String>>,
}

#[derive(Debug)]
struct LastTold {
    at: Micros,
    entries: BTreeMap<GroupNumber, u64>,
}

#[derive(Debug)]
pub struct SimCore {
    losses: usize,
    planted: Option<PlannerBug>,
    pub view: Arc<StoreView>,
    /// All views, with when each was decided.
    views: Vec<(Micros, Arc<StoreView>)>,
    heard: BTreeMap<Identity, (StoreReport, Micros)>,
    /// What each store told last, to the present head.
    last: BTreeMap<Identity, LastTold>,
    /// Names of batch jobs that the present head was told, and those on record.
    names: BTreeMap<GroupNumber, BTreeSet<String>>,
    recorded: BTreeMap<GroupNumber, BTreeSet<String>>,
    dark_until: Micros,
    /// A new head hears the stores before it judges any.
    judges_from: Micros,
    first_heard: Option<Micros>,
}

impl SimCore {
    pub fn new(losses: usize, planted: Option<PlannerBug>) -> Self {
        let view = Arc::new(StoreView::default());
        Self {
            losses,
            planted,
            views: vec![(0, view.clone())],
            view,
            heard: BTreeMap::new(),
            last: BTreeMap::new(),
            names: BTreeMap::new(),
            recorded: BTreeMap::new(),
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
        self.last.clear();
        self.names.clear();
    }

    /// A store told of itself; true if that is news.
    pub fn hear(&mut self, now: Micros, heard: StoreReport, of_groups: OfGroups) -> bool {
        if self.is_dark(now) {
            return false;
        }
        let OfGroups { entries, names } = of_groups;
        for (group, names) in names {
            self.names.entry(group).or_default().extend(names);
        }
        self.first_heard = self.first_heard.or(Some(now));
        self.last.insert(heard.member.identity.clone(), LastTold { at: now, entries });
        let before = self.heard.insert(heard.member.identity.clone(), (heard.clone(), now));
        before.is_none_or(|(before, _)| before != heard)
    }

    fn judges(&self, now: Micros) -> bool {
        !self.is_dark(now) && now >= self.judges_from
    }

    fn fresh(&mut self, now: Micros) -> Vec<StoreReport> {
        self.heard.retain(|_, (_, at)| now < *at + LOST_AFTER);
        self.heard.values().map(|(heard, _)| heard.clone()).collect()
    }

    /// Looks at the stores: who is heard, if the head may judge that.
    pub fn look(&mut self, now: Micros) -> Option<Vec<StoreReport>> {
        self.judges(now).then(|| self.fresh(now))
    }

    /// Plans with what was seen when the head looked; gives the next view, if there is one.
    pub fn plan(&mut self, now: Micros, heard: &[StoreReport]) -> Option<Arc<StoreView>> {
        if !self.judges(now) {
            return None;
        }
        self.record_names(heard);
        let may_begin = self.first_heard.is_some_and(|at| now > at + FIRST_WAIT);
        let planner = Planner::new(self.losses, heard, may_begin).with_planted(self.planted);
        let next = Arc::new(planner.plan(&self.view)?);
        self.decide(now, next.clone());
        Some(next)
    }

    /// Names of batch jobs whose holders are all silent go on record.
    fn record_names(&mut self, heard: &[StoreReport]) {
        for (group, names) in &self.names {
            let holders = seen_as_silent(&self.view, *group, heard);
            if !holders.is_empty() && holders.iter().all(|seen| seen.silent_for.is_some()) {
                self.recorded.entry(*group).or_default().extend(names.iter().cloned());
            }
        }
    }

    /// What the head knows of a group's holders.
    pub fn holders_seen(&self, now: Micros, group: GroupNumber) -> Vec<HolderStatus> {
        let seen = |number| {
            let identity = &self.view.store(number)?.member.identity;
            let last = self.last.get(identity);
            let silent = now - last.map_or(self.judges_from.min(now), |last| last.at);
            let silent_for = (silent >= LOST_AFTER).then(|| Duration::from_micros(silent));
            let entries = last.and_then(|last| last.entries.get(&group).copied());
            Some(HolderStatus { holder: LastHolder { node: identity.node.clone(), entries }, silent_for })
        };
        self.view.recorded_holders(group).into_iter().filter_map(seen).collect()
    }

    /// An operator looks at a group and gives it up.
    pub fn give_up(
        &mut self,
        now: Micros,
        group: GroupNumber,
        after: Micros,
    ) -> Option<Result<Arc<StoreView>, GiveUpError>> {
        if !self.judges(now) {
            return None;
        }
        let heard = self.fresh(now);
        let seen = self.holders_seen(now, group);
        let order = order_of(&self.view, group, &seen);
        let planner = Planner::new(self.losses, &heard, false).with_planted(self.planted);
        let mut names = self.recorded.get(&group).cloned().unwrap_or_default();
        names.extend(self.names.get(&group).into_iter().flatten().cloned());
        let names = names.into_iter().collect();
        let next = planner.give_up(&self.view, &order, &seen, names, Duration::from_micros(after));
        Some(next.map(|next| {
            let next = Arc::new(next);
            self.decide(now, next.clone());
            next
        }))
    }

    /// A store is to be emptied.
    pub fn retire(&mut self, now: Micros, node: &str) -> Option<Arc<StoreView>> {
        let mut next = StoreView::clone(&self.view);
        let staying = next.stores.iter().filter(|store| !store.retiring).count();
        let store = next.stores.iter_mut().find(|store| store.member.identity.node == node)?;
        if store.retiring || staying <= self.losses + 2 || self.is_dark(now) {
            return None;
        }
        store.retiring = true;
        next.epoch += 1;
        let next = Arc::new(next);
        self.decide(now, next.clone());
        Some(next)
    }

    fn decide(&mut self, now: Micros, next: Arc<StoreView>) {
        self.view = next.clone();
        self.views.push((now, next));
    }

    /// The view before the newest.
    pub fn view_before(&self) -> Arc<StoreView> {
        let before = self.views.iter().rev().nth(1).map(|(_, view)| view.clone());
        before.unwrap_or_default()
    }

    /// The newest view as of `age` ago, no older than a source may hand out.
    pub fn view_as_of(&self, now: Micros, age: Micros) -> Arc<StoreView> {
        let at = now.saturating_sub(age.min(OLD_VIEW));
        let known = self.views.iter().rev().find(|(decided, _)| *decided <= at);
        known.map_or_else(|| self.view.clone(), |(_, view)| view.clone())
    }
}

/// The order of an operator who has looked at a group.
fn order_of(view: &StoreView, group: GroupNumber, seen: &[HolderStatus]) -> GiveUpRequest {
    let holders = seen.iter().map(|seen| seen.holder.clone()).collect();
    GiveUpRequest { group, epoch: view.epoch, holders, forced: false }
}

/// The view after giving a group up, however short its holders were silent.
pub fn give_up_now(
    planner: &Planner,
    view: &StoreView,
    group: GroupNumber,
    seen: &[HolderStatus],
    names: Vec<String>,
) -> Result<StoreView, GiveUpError> {
    planner.give_up(view, &order_of(view, group, seen), seen, names, Duration::ZERO)
}

/// A group's holders, silent but for those that are heard.
pub fn seen_as_silent(view: &StoreView, group: GroupNumber, heard: &[StoreReport]) -> Vec<HolderStatus> {
    let seen = |number| {
        let identity = &view.store(number)?.member.identity;
        let is_heard = heard.iter().any(|heard| heard.member.identity == *identity);
        let holder = LastHolder { node: identity.node.clone(), entries: None };
        Some(HolderStatus { holder, silent_for: (!is_heard).then_some(Duration::ZERO) })
    };
    view.recorded_holders(group).into_iter().filter_map(seen).collect()
}
