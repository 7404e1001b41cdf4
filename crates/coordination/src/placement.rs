//! Planning of the placement of groups, from the reports of the stores: which stores are alive, which have copied a group,
//! and which hold it. The rules are described in the module `stores`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use strum::EnumIter;

use crate::{Assignment, Group, GroupNumber, Member, Store, StoreNumber, StoreView};

/// A store's confirmation that it has copied or holds a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupConfirmation {
    /// The group.
    pub group: GroupNumber,
    /// Newest view in which the confirmation is true.
    pub epoch: u64,
}

/// The newest report of a store that is alive.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreReport {
    /// The store.
    pub member: Member,
    /// Groups that it has copied as a learner.
    pub copied_groups: Vec<GroupConfirmation>,
    /// Groups of which it has everything, as a link of the chain.
    pub held_groups: Vec<GroupConfirmation>,
}

/// Computes the next placement from the reports of the stores that are alive.
pub struct Planner<'a> {
    tolerated_failures: usize,
    reports: &'a [StoreReport],
    may_bootstrap: bool,
    planted: Option<PlannerBug>,
}

impl<'a> Planner<'a> {
    /// Each chain must survive `tolerated_failures` simultaneous losses of disks. The first placement is made, on the stores
    /// that are alive, only if `may_bootstrap`.
    pub fn new(tolerated_failures: usize, reports: &'a [StoreReport], may_bootstrap: bool) -> Self {
        Self { tolerated_failures, reports, may_bootstrap, planted: None }
    }

    /// Plants a bug, to check that the tests detect it.
    #[cfg(feature = "planted-bugs")]
    pub fn with_planted(mut self, bug: Option<PlannerBug>) -> Self {
        self.planted = bug;
        self
    }

    /// Returns the next placement, or none if the present one needs no change. Its epoch is raised if stores or clients must
    /// learn of the change.
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
        // Only the planner uses the set of joining links: stores and clients need not learn of a change in it.
        let groups = next.groups.iter().zip(&view.groups);
        let needs_new_epoch = next.stores != view.stores
            || next.groups.len() != view.groups.len()
            || groups.clone().any(|(new, old)| new.differs_for_stores(old));
        next.epoch += u64::from(needs_new_epoch);
        Some(next)
    }

    /// Registers stores that report for the first time, and updates the addresses of known ones.
    fn register(&self, view: &mut StoreView) {
        for member in self.reports.iter().map(|report| &report.member) {
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

    /// Returns the number of holders below which a group is closed.
    pub(crate) fn min_holders(&self) -> usize {
        match self.has(PlannerBug::OneHolderFewer) {
            true => self.tolerated_failures.max(1),
            false => self.tolerated_failures + 1,
        }
    }

    /// Returns the length that chains should have: one link more than [`Self::min_holders`], so that the loss of one store does
    /// not leave a group without reserve while its replacement copies it.
    pub(crate) fn target_chain_length(&self, view: &StoreView) -> usize {
        let usable = view.stores.iter().filter(|store| self.is_usable(store)).count();
        (self.tolerated_failures + 2).min(usable.max(self.min_holders()))
    }

    /// Whether this bug is planted.
    pub(crate) fn has(&self, bug: PlannerBug) -> bool {
        self.planted == Some(bug)
    }

    fn report_of(&self, store: &Store) -> Option<&StoreReport> {
        self.reports.iter().find(|report| report.member.identity == store.member.identity)
    }

    /// Whether a store is alive and not retiring.
    fn is_usable(&self, store: &Store) -> bool {
        !store.retiring && self.report_of(store).is_some()
    }

    fn is_alive(&self, view: &StoreView, number: StoreNumber) -> bool {
        view.store(number).is_some_and(|store| self.report_of(store).is_some())
    }

    /// Whether a store has reported a confirmation for the group, in the list that `select` picks, that is not older than its
    /// assignment.
    fn has_confirmed(
        &self,
        view: &StoreView,
        assignment: Assignment,
        group: GroupNumber,
        select: impl Fn(&StoreReport) -> &[GroupConfirmation],
    ) -> bool {
        let report = view.store(assignment.store).and_then(|store| self.report_of(store));
        let since_epoch = match self.has(PlannerBug::WordOfAnEarlierStay) {
            true => 0,
            false => assignment.since_epoch,
        };
        report.is_some_and(|report| {
            select(report).iter().any(|it| it.group == group && it.epoch >= since_epoch)
        })
    }

    /// Makes the first placement, if that is allowed and enough stores are alive.
    fn bootstrap(&self, view: &mut StoreView) {
        let usable = view.stores.iter().filter(|store| self.is_usable(store)).count();
        if !self.may_bootstrap || usable < self.min_holders() {
            return;
        }
        let target_length = self.target_chain_length(view);
        let mut groups = Vec::new();
        for group in GroupNumber::all() {
            let mut chain = Vec::new();
            while chain.len() < target_length {
                let Some(next) = self.pick_store(view, group, &chain) else { break };
                chain.push(next);
            }
            let mut group = Group { chain, ..Group::default() };
            group.update_unchanged_since(&Group::default(), view.epoch + 1);
            groups.push(group);
        }
        view.groups = groups;
    }

    /// Returns the usable store to add to a chain: one in the zone with the fewest links, ties broken by the group's own
    /// ranking of the stores. A store of the same machine as a link has another disk and the same address: messages to the
    /// link would reach it.
    pub(crate) fn pick_store(
        &self,
        view: &StoreView,
        group: GroupNumber,
        chain: &[StoreNumber],
    ) -> Option<StoreNumber> {
        let links: Vec<&Store> = chain.iter().filter_map(|number| view.store(*number)).collect();
        let zones: Vec<&str> = links.iter().map(|link| link.member.zone.as_str()).collect();
        let has_link =
            |store: &Store| links.iter().any(|link| link.member.identity.node == store.member.identity.node);
        let candidates = view.stores.iter().filter(|store| self.is_usable(store) && !has_link(store));
        let rank = |store: &&Store| {
            let same_zone = zones.iter().filter(|zone| **zone == store.member.zone).count();
            (same_zone, store_rank(group, store.number))
        };
        candidates.min_by_key(rank).map(|store| store.number)
    }

    /// Updates the placement of every group to the stores that are alive.
    fn repair(&self, view: &mut StoreView) {
        let target_length = self.target_chain_length(view);
        for number in GroupNumber::all() {
            let Some(mut group) = view.group(number).cloned() else { continue };
            self.promote(view, number, &mut group);
            self.remove_unresponsive(view, &mut group);
            self.remove_retiring(view, &mut group, target_length);
            self.assign_learner(view, number, &mut group, target_length);
            if let Some(previous) = view.group(number) {
                group.update_unchanged_since(previous, view.epoch + 1);
            }
            view.groups[usize::from(number.0)] = group;
        }
    }

    /// Promotes joining links that have confirmed that they have everything to holders, and adds a learner that has copied the
    /// group to the chain.
    fn promote(&self, view: &StoreView, number: GroupNumber, group: &mut Group) {
        group.joining.retain(|link| !self.has_confirmed(view, *link, number, |report| &report.held_groups));
        let is_alive = |assignment: &Assignment| self.is_alive(view, assignment.store);
        group.learner = group.learner.filter(is_alive).filter(|learner| !group.may_hold_data(learner.store));
        let Some(learner) = group.learner else { return };
        if self.has_confirmed(view, learner, number, |report| &report.copied_groups) {
            group.learner = None;
            group.chain.push(learner.store);
            if !self.has(PlannerBug::JoiningCountsAsHolder) {
                group.joining.push(Assignment { store: learner.store, since_epoch: view.epoch + 1 });
            }
        }
    }

    /// Removes unresponsive links from the chain, and adds absent holders that are alive again. If no holder of the group is
    /// alive, its placement stays as it is.
    fn remove_unresponsive(&self, view: &StoreView, group: &mut Group) {
        let is_alive = |store: &StoreNumber| self.is_alive(view, *store);
        let (mut holders, unresponsive): (Vec<StoreNumber>, Vec<StoreNumber>) =
            group.holders().into_iter().partition(is_alive);
        let (returned, still_absent): (Vec<StoreNumber>, Vec<StoreNumber>) =
            group.absent.iter().copied().partition(is_alive);
        if !self.has(PlannerBug::AbsentDoNotComeBack) {
            holders.extend(returned);
        }
        if holders.is_empty() {
            return;
        }
        if !self.has(PlannerBug::SilentNewcomersStay) {
            group.joining.retain(|link| is_alive(&link.store));
        }
        let enough = holders.len() >= self.min_holders() || self.has(PlannerBug::SilentHoldersAreDropped);
        group.absent = match enough {
            true => Vec::new(),
            false if self.has(PlannerBug::EarlierAbsentAreForgotten) => unresponsive,
            false => still_absent.into_iter().chain(unresponsive).collect(),
        };
        holders.extend(group.joining.iter().map(|link| link.store));
        group.chain = holders;
        if self.has(PlannerBug::ShortChainsAreFilled) {
            self.fill_chain(view, group);
        }
    }

    /// Implements [`PlannerBug::ShortChainsAreFilled`].
    fn fill_chain(&self, view: &StoreView, group: &mut Group) {
        while group.chain.len() < self.min_holders() {
            let candidate =
                view.stores.iter().find(|store| self.is_usable(store) && !group.may_hold_data(store.number));
            let Some(candidate) = candidate else { return };
            group.chain.push(candidate.number);
        }
        group.absent.clear();
    }

    /// Once enough other stores hold the group, removes retiring links, joining links and the learner from it.
    fn remove_retiring(&self, view: &StoreView, group: &mut Group, target_length: usize) {
        let stays = |number: &StoreNumber| view.store(*number).is_some_and(|store| !store.retiring);
        if group.holders().iter().filter(|store| stays(store)).count() < target_length {
            return;
        }
        group.chain = group.holders().into_iter().filter(stays).collect();
        group.joining.clear();
        group.learner = None;
    }

    /// Assigns a learner if the chain has too few links that are not retiring.
    fn assign_learner(&self, view: &StoreView, number: GroupNumber, group: &mut Group, target_length: usize) {
        let stays = |number: &&StoreNumber| view.store(**number).is_some_and(|store| !store.retiring);
        if group.learner.is_some() || group.chain.iter().filter(stays).count() >= target_length {
            return;
        }
        let learner = self.pick_store(view, number, &group.chain);
        group.learner = learner.map(|store| Assignment { store, since_epoch: view.epoch + 1 });
    }

    /// Removes stores that neither report nor have a part in any group.
    pub(crate) fn remove_unused_stores(&self, view: &mut StoreView) {
        let used: BTreeSet<StoreNumber> = view.groups.iter().flat_map(Group::all_stores).collect();
        view.stores.retain(|store| used.contains(&store.number) || self.report_of(store).is_some());
    }
}

/// A bug that a test plants in the planner, to check that the simulation's checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter)]
pub enum PlannerBug {
    /// A learner counts as a holder as soon as it joins.
    JoiningCountsAsHolder,
    /// Unresponsive holders are dropped from the record even when too few holders are left.
    SilentHoldersAreDropped,
    /// A chain that is too short is filled with stores that have not copied the group.
    ShortChainsAreFilled,
    /// A store's confirmations from before its present assignment count.
    WordOfAnEarlierStay,
    /// A group is open with one holder fewer than is needed.
    OneHolderFewer,
    /// When more holders of a closed group become unresponsive, those that were absent before are forgotten.
    EarlierAbsentAreForgotten,
    /// Absent holders that are alive again do not return to the chain.
    AbsentDoNotComeBack,
    /// Joining links that are unresponsive stay in the chain.
    SilentNewcomersStay,
    /// A group is given up although a holder is alive.
    GivesUpWhoIsHeard,
}

/// Returns a pseudorandom rank of a store, by which each group orders the stores differently.
fn store_rank(group: GroupNumber, store: StoreNumber) -> u64 {
    let mut hash = (u64::from(group.0) << 32) | u64::from(store.0);
    hash = (hash ^ (hash >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
