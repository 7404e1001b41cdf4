//! The stores' view: which stores there are and, for each group of data, the chain of stores that holds it. A chain's
//! survivors keep their order, so the first of them has all that any other has; new members stand at the end.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::Member;

/// Groups that all data is divided into.
pub const GROUPS: u16 = 64;

/// A group's number, below [`GROUPS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupNumber(pub u16);

impl GroupNumber {
    /// The group of a hashed key.
    pub fn of(hash: u64) -> Self {
        Self((hash % u64::from(GROUPS)) as u16)
    }

    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUPS).map(Self)
    }
}

/// A store's number, never used again for another identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreNumber(pub u32);

/// One store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    pub number: StoreNumber,
    pub member: Member,
    /// To be emptied and taken away.
    pub retiring: bool,
}

/// Where a group is held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Head first.
    pub chain: Vec<StoreNumber>,
    /// Copies the group before it joins the chain's end.
    pub learner: Option<StoreNumber>,
}

/// The placement of all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    pub epoch: u64,
    pub stores: Vec<Store>,
    /// One for each group; empty before the first placement.
    pub groups: Vec<Group>,
    next_number: u32,
}

impl StoreView {
    pub fn store(&self, number: StoreNumber) -> Option<&Store> {
        self.stores.iter().find(|store| store.number == number)
    }

    pub fn by_node(&self, node: &str) -> Option<&Store> {
        self.stores.iter().find(|store| store.member.identity.node == node)
    }

    pub fn group(&self, group: GroupNumber) -> Option<&Group> {
        self.groups.get(usize::from(group.0))
    }

    /// Who takes writes of the group and runs its work.
    pub fn head(&self, group: GroupNumber) -> Option<&Store> {
        self.store(*self.group(group)?.chain.first()?)
    }

    /// Who answers reads of the group.
    pub fn tail(&self, group: GroupNumber) -> Option<&Store> {
        self.store(*self.group(group)?.chain.last()?)
    }

    /// Whether the store holds a part of any group.
    pub fn holds_data(&self, number: StoreNumber) -> bool {
        self.groups.iter().any(|group| group.chain.contains(&number))
    }
}

/// Works out the next placement from what is known of the stores.
pub struct Planner<'a> {
    /// Losses at once that each chain must outlive.
    pub losses: usize,
    pub alive: &'a dyn Fn(&Member) -> bool,
    /// Stores that have told of themselves.
    pub present: &'a [Member],
    /// Learners that have copied their group.
    pub level: &'a BTreeSet<(StoreNumber, GroupNumber)>,
    /// Whether the first placement may be made with the stores that are there.
    pub may_begin: bool,
}

impl Planner<'_> {
    /// The next placement, or none if the present one is as it should be.
    pub fn plan(&self, view: &StoreView) -> Option<StoreView> {
        let mut next = view.clone();
        self.register(&mut next);
        match next.groups.is_empty() {
            true => self.begin(&mut next),
            false => self.repair(&mut next),
        }
        self.forget_lost(&mut next);
        if next == *view {
            return None;
        }
        next.epoch += 1;
        Some(next)
    }

    fn register(&self, view: &mut StoreView) {
        for member in self.present {
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

    fn fewest(&self) -> usize {
        self.losses + 1
    }

    /// Links that a chain should have: one more than must be kept, so that a loss needs no copying at once.
    fn wanted(&self, view: &StoreView) -> usize {
        let usable = view.stores.iter().filter(|store| self.usable(store)).count();
        (self.losses + 2).min(usable.max(self.fewest()))
    }

    fn usable(&self, store: &Store) -> bool {
        !store.retiring && (self.alive)(&store.member)
    }

    fn begin(&self, view: &mut StoreView) {
        let usable = view.stores.iter().filter(|store| self.usable(store)).count();
        if !self.may_begin || usable < self.fewest() {
            return;
        }
        let wanted = self.wanted(view);
        let mut groups = Vec::new();
        for group in GroupNumber::all() {
            let mut chain = Vec::new();
            while chain.len() < wanted {
                let Some(next) = self.best_new(view, group, &chain) else { break };
                chain.push(next);
            }
            groups.push(Group { chain, learner: None });
        }
        view.groups = groups;
    }

    /// The store to add to a chain: in a zone that the chain lacks, else by the group's own ranking.
    fn best_new(&self, view: &StoreView, group: GroupNumber, chain: &[StoreNumber]) -> Option<StoreNumber> {
        let zones: Vec<&str> = chain
            .iter()
            .filter_map(|number| view.store(*number))
            .map(|store| store.member.zone.as_str())
            .collect();
        let free = view.stores.iter().filter(|store| self.usable(store) && !chain.contains(&store.number));
        let rank = |store: &&Store| {
            let same_zone = zones.iter().filter(|zone| **zone == store.member.zone).count();
            (same_zone, ranked(group, store.number))
        };
        free.min_by_key(rank).map(|store| store.number)
    }

    fn repair(&self, view: &mut StoreView) {
        let wanted = self.wanted(view);
        for number in GroupNumber::all() {
            let Some(group) = view.group(number).cloned() else { continue };
            view.groups[usize::from(number.0)] = self.repaired(view, number, group, wanted);
        }
    }

    fn repaired(&self, view: &StoreView, number: GroupNumber, group: Group, wanted: usize) -> Group {
        let Group { mut chain, mut learner } = group;
        let lives =
            |number: &StoreNumber| view.store(*number).is_some_and(|store| (self.alive)(&store.member));
        learner = learner.filter(|store| lives(store) && !chain.contains(store));
        if let Some(store) = learner.filter(|store| self.level.contains(&(*store, number))) {
            chain.push(store);
            learner = None;
        }
        let survivors: Vec<StoreNumber> = chain.iter().copied().filter(lives).collect();
        if !survivors.is_empty() {
            let mut shorter = survivors;
            while shorter.len() < self.fewest() {
                let Some(new) = learner.take().or_else(|| self.best_new(view, number, &shorter)) else {
                    break;
                };
                shorter.push(new);
            }
            if shorter.len() >= self.fewest() {
                chain = shorter;
            }
        }
        let staying = |number: &StoreNumber| view.store(*number).is_some_and(|store| !store.retiring);
        if chain.iter().filter(|store| staying(store)).count() >= wanted {
            chain.retain(staying);
        }
        if learner.is_none() && chain.iter().filter(|store| staying(store)).count() < wanted {
            learner = self.best_new(view, number, &chain);
        }
        Group { chain, learner }
    }

    /// Stores that are gone and hold nothing are no longer listed.
    fn forget_lost(&self, view: &mut StoreView) {
        let used: BTreeSet<StoreNumber> =
            view.groups.iter().flat_map(|group| group.chain.iter().copied().chain(group.learner)).collect();
        view.stores.retain(|store| used.contains(&store.number) || (self.alive)(&store.member));
    }
}

/// A ranking of the stores that differs from group to group.
fn ranked(group: GroupNumber, store: StoreNumber) -> u64 {
    let mut hash = (u64::from(group.0) << 32) | u64::from(store.0);
    hash = (hash ^ (hash >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
