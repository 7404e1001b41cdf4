//! Where groups are held next, worked out from what the stores tell: who is silent, who has copied a group, who holds it. The rules stand
//! at the head of [`crate::StoreView`]'s module.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use strum::EnumIter;

use crate::{Assignment, Group, GroupNumber, Member, Store, StoreNumber, StoreView};

/// What a store told of its part in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupConfirmation {
    pub group: GroupNumber,
    /// The newest view in which it is so.
    pub epoch: u64,
}

/// A store that was heard of late.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreReport {
    pub member: Member,
    /// Groups of which it has a copy, as a learner.
    pub copied_groups: Vec<GroupConfirmation>,
    /// Groups of which it has everything, as a link.
    pub held_groups: Vec<GroupConfirmation>,
}

/// Works out the next placement from what is known of the stores.
pub struct Planner<'a> {
    tolerated_failures: usize,
    reports: &'a [StoreReport],
    may_bootstrap: bool,
    planted: Option<PlannerBug>,
}

impl<'a> Planner<'a> {
    /// `losses` at once must be outlived by each chain; the first placement is made with the stores that are there if it `may_begin`.
    pub fn new(losses: usize, heard: &'a [StoreReport], may_begin: bool) -> Self {
        Self { tolerated_failures: losses, reports: heard, may_bootstrap: may_begin, planted: None }
    }

    /// Plants a mistake, to see that it is found.
    #[cfg(feature = "planted-bugs")]
    pub fn with_planted(mut self, bug: Option<PlannerBug>) -> Self {
        self.planted = bug;
        self
    }

    /// The next placement, or none if the present one is as it should be. It has another epoch where others have to know of it.
    pub fn plan(&self, view: &StoreView) -> Option<StoreView> {
        let mut next = view.clone();
        self.register(&mut next);
        match next.groups.is_empty() {
            true => self.bootstrap(&mut next),
            false => self.repair(&mut next),
        }
        self.remove_unused_stores(&mut next);
        if next == *view {
            return None;
        }
        // Who is joining matters to the planner only: no link and no reader goes by it.
        let groups = next.groups.iter().zip(&view.groups);
        let is_news = next.stores != view.stores
            || next.groups.len() != view.groups.len()
            || groups.clone().any(|(is, was)| is.differs_for_stores(was));
        next.epoch += u64::from(is_news);
        Some(next)
    }

    fn register(&self, view: &mut StoreView) {
        for member in self.reports.iter().map(|heard| &heard.member) {
            match view.stores.iter_mut().find(|store| store.member.identity == member.identity) {
                Some(store) => store.member = member.clone(),
                None => {
                    let number = StoreNumber(view.next_number);
                    view.next_number += 1;
                    view.stores.push(Store { number, member: member.clone(), retiring: false });
                }
            }
        }
    }

    /// Holders without which a group is closed.
    pub(crate) fn min_holders(&self) -> usize {
        match self.has(PlannerBug::OneHolderFewer) {
            true => self.tolerated_failures.max(1),
            false => self.tolerated_failures + 1,
        }
    }

    /// Links that a chain should have: one more than must be kept, so that a loss needs no copying at once.
    pub(crate) fn target_chain_length(&self, view: &StoreView) -> usize {
        let usable = view.stores.iter().filter(|store| self.is_usable(store)).count();
        (self.tolerated_failures + 2).min(usable.max(self.min_holders()))
    }

    pub(crate) fn has(&self, bug: PlannerBug) -> bool {
        self.planted == Some(bug)
    }

    fn report_of(&self, store: &Store) -> Option<&StoreReport> {
        self.reports.iter().find(|heard| heard.member.identity == store.member.identity)
    }

    fn is_usable(&self, store: &Store) -> bool {
        !store.retiring && self.report_of(store).is_some()
    }

    fn is_alive(&self, view: &StoreView, number: StoreNumber) -> bool {
        view.store(number).is_some_and(|store| self.report_of(store).is_some())
    }

    /// Whether a store told, of a view in which it had its part already, what `told` picks.
    fn has_confirmed(
        &self,
        view: &StoreView,
        newcomer: Assignment,
        group: GroupNumber,
        told: impl Fn(&StoreReport) -> &[GroupConfirmation],
    ) -> bool {
        let heard = view.store(newcomer.store).and_then(|store| self.report_of(store));
        let since = match self.has(PlannerBug::WordOfAnEarlierStay) {
            true => 0,
            false => newcomer.since_epoch,
        };
        heard.is_some_and(|heard| told(heard).iter().any(|told| told.group == group && told.epoch >= since))
    }

    fn bootstrap(&self, view: &mut StoreView) {
        let usable = view.stores.iter().filter(|store| self.is_usable(store)).count();
        if !self.may_bootstrap || usable < self.min_holders() {
            return;
        }
        let wanted = self.target_chain_length(view);
        let mut groups = Vec::new();
        for group in GroupNumber::all() {
            let mut chain = Vec::new();
            while chain.len() < wanted {
                let Some(next) = self.pick_store(view, group, &chain) else { break };
                chain.push(next);
            }
            let mut group = Group { chain, ..Group::default() };
            group.update_unchanged_since(&Group::default(), view.epoch + 1);
            groups.push(group);
        }
        view.groups = groups;
    }

    /// The store to add to a chain: in a zone that the chain lacks, else by the group's own ranking.
    pub(crate) fn pick_store(
        &self,
        view: &StoreView,
        group: GroupNumber,
        chain: &[StoreNumber],
    ) -> Option<StoreNumber> {
        let zones: Vec<&str> = chain
            .iter()
            .filter_map(|number| view.store(*number))
            .map(|store| store.member.zone.as_str())
            .collect();
        let free = view.stores.iter().filter(|store| self.is_usable(store) && !chain.contains(&store.number));
        let rank = |store: &&Store| {
            let same_zone = zones.iter().filter(|zone| **zone == store.member.zone).count();
            (same_zone, ranked(group, store.number))
        };
        free.min_by_key(rank).map(|store| store.number)
    }

    fn repair(&self, view: &mut StoreView) {
        let wanted = self.target_chain_length(view);
        for number in GroupNumber::all() {
            let Some(mut group) = view.group(number).cloned() else { continue };
            self.promote(view, number, &mut group);
            self.remove_silent(view, &mut group);
            self.remove_retiring(view, &mut group, wanted);
            self.assign_learner(view, number, &mut group, wanted);
            if let Some(before) = view.group(number) {
                group.update_unchanged_since(before, view.epoch + 1);
            }
            view.groups[usize::from(number.0)] = group;
        }
    }

    /// Joining links that have everything are holders; a learner that has a copy joins the chain.
    fn promote(&self, view: &StoreView, number: GroupNumber, group: &mut Group) {
        group
            .joining
            .retain(|newcomer| !self.has_confirmed(view, *newcomer, number, |heard| &heard.held_groups));
        let lives = |newcomer: &Assignment| self.is_alive(view, newcomer.store);
        group.learner = group.learner.filter(lives).filter(|learner| !group.may_hold_data(learner.store));
        let Some(learner) = group.learner else { return };
        if self.has_confirmed(view, learner, number, |heard| &heard.copied_groups) {
            group.learner = None;
            group.chain.push(learner.store);
            if !self.has(PlannerBug::JoiningCountsAsHolder) {
                group.joining.push(Assignment { store: learner.store, since_epoch: view.epoch + 1 });
            }
        }
    }

    /// Silent links leave the chain; absent holders that are heard again come back. Where nobody who holds the group is heard,
    /// it stays as it is.
    fn remove_silent(&self, view: &StoreView, group: &mut Group) {
        let lives = |store: &StoreNumber| self.is_alive(view, *store);
        let (mut holders, silent): (Vec<StoreNumber>, Vec<StoreNumber>) =
            group.holders().into_iter().partition(lives);
        let (back, still_absent): (Vec<StoreNumber>, Vec<StoreNumber>) =
            group.absent.iter().copied().partition(lives);
        if !self.has(PlannerBug::AbsentDoNotComeBack) {
            holders.extend(back);
        }
        if holders.is_empty() {
            return;
        }
        if !self.has(PlannerBug::SilentNewcomersStay) {
            group.joining.retain(|newcomer| lives(&newcomer.store));
        }
        let enough = holders.len() >= self.min_holders() || self.has(PlannerBug::SilentHoldersAreDropped);
        group.absent = match enough {
            true => Vec::new(),
            false if self.has(PlannerBug::EarlierAbsentAreForgotten) => silent,
            false => still_absent.into_iter().chain(silent).collect(),
        };
        holders.extend(group.joining.iter().map(|newcomer| newcomer.store));
        group.chain = holders;
        if self.has(PlannerBug::ShortChainsAreFilled) {
            self.fill(view, group);
        }
    }

    /// A planted mistake: stores that have copied nothing are links at once.
    fn fill(&self, view: &StoreView, group: &mut Group) {
        while group.chain.len() < self.min_holders() {
            let free =
                view.stores.iter().find(|store| self.is_usable(store) && !group.may_hold_data(store.number));
            let Some(free) = free else { return };
            group.chain.push(free.number);
        }
        group.absent.clear();
    }

    /// Retiring links leave once enough others hold the group; so do newcomers that are not needed any more.
    fn remove_retiring(&self, view: &StoreView, group: &mut Group, wanted: usize) {
        let stays = |number: &StoreNumber| view.store(*number).is_some_and(|store| !store.retiring);
        if group.holders().iter().filter(|store| stays(store)).count() < wanted {
            return;
        }
        group.chain = group.holders().into_iter().filter(stays).collect();
        group.joining.clear();
        group.learner = None;
    }

    fn assign_learner(&self, view: &StoreView, number: GroupNumber, group: &mut Group, wanted: usize) {
        let stays = |number: &&StoreNumber| view.store(**number).is_some_and(|store| !store.retiring);
        if group.learner.is_some() || group.chain.iter().filter(stays).count() >= wanted {
            return;
        }
        let learner = self.pick_store(view, number, &group.chain);
        group.learner = learner.map(|store| Assignment { store, since_epoch: view.epoch + 1 });
    }

    /// Stores that are gone and hold nothing are no longer listed.
    pub(crate) fn remove_unused_stores(&self, view: &mut StoreView) {
        let used: BTreeSet<StoreNumber> = view.groups.iter().flat_map(Group::all_stores).collect();
        view.stores.retain(|store| used.contains(&store.number) || self.report_of(store).is_some());
    }
}

/// A mistake that a test plants, to see that the judge finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter)]
pub enum PlannerBug {
    /// A learner counts as a holder as soon as it joins.
    JoiningCountsAsHolder,
    /// Silent holders are forgotten though too few are left.
    SilentHoldersAreDropped,
    /// A short chain is filled with stores that have copied nothing.
    ShortChainsAreFilled,
    /// What a store told of an earlier stay counts.
    WordOfAnEarlierStay,
    /// A group is open with one holder fewer.
    OneHolderFewer,
    /// Of the silent holders of a closed group, those that were silent before are forgotten.
    EarlierAbsentAreForgotten,
    /// Silent holders that are heard again do not come back.
    AbsentDoNotComeBack,
    /// Joining links that are silent stay in the chain.
    SilentNewcomersStay,
    /// A group is given up though a holder is heard.
    GivesUpWhoIsHeard,
}

/// A ranking of the stores that differs from group to group.
fn ranked(group: GroupNumber, store: StoreNumber) -> u64 {
    let mut hash = (u64::from(group.0) << 32) | u64::from(store.0);
    hash = (hash ^ (hash >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
