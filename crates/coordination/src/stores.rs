//! The stores' view: which stores there are and, for each group of data, the chain of stores that holds it.
//!
//! A link *holds* a group if it has, on its disk, all that was ever committed. A store that joins a chain does not count as a
//! holder until it has told, as a link, that it has everything. While fewer than `losses` + 1 holders are heard, the group is
//! *closed*: nobody changes or reads it, and the holders that are silent stay on record as *absent*. So one of the stores on
//! record outlives the loss of `losses` disks, whoever else is silent meanwhile, and only a holder ever heads a chain.

use serde::{Deserialize, Serialize};

use crate::Member;

/// Groups that all data is divided into.
pub const GROUP_COUNT: u16 = 64;

/// A group's number, below [`GROUPS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupNumber(pub u16);

impl GroupNumber {
    /// The group of a hashed key.
    pub fn of(hash: u64) -> Self {
        Self((hash % u64::from(GROUP_COUNT)) as u16)
    }

    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUP_COUNT).map(Self)
    }
}

/// A store's number, never used again for another identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreNumber(pub u32);

/// One store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Store {
    pub number: StoreNumber,
    pub member: Member,
    /// To be emptied and taken away.
    pub retiring: bool,
}

/// A store that is given a part in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    pub store: StoreNumber,
    /// The first view in which it has that part: what it told of earlier ones does not count.
    pub since_epoch: u64,
}

/// Where a group is held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Head first; holders before those that are joining.
    pub chain: Vec<StoreNumber>,
    /// For each link: the view since which the chain from its head to that link is as it is. A link that has stood where its
    /// predecessor stands in that view or a later one still has nothing that the links before it lack.
    pub unchanged_since: Vec<u64>,
    /// Links that have not told yet that they have everything.
    pub joining: Vec<Assignment>,
    /// Silent holders, while the chain has too few.
    pub absent: Vec<StoreNumber>,
    /// Copies the group before it joins the chain's end.
    pub learner: Option<Assignment>,
    /// The view in which the group was begun anew, with nothing of what it held before; 0 where it never was.
    pub recreated_in_epoch: u64,
    /// Batch jobs that were given up then, as far as their names are known.
    pub given_up_jobs: Vec<String>,
}

impl Group {
    /// Since which view a store is a link that has still to tell that it has everything; none if it is not such a link.
    pub fn joining_since(&self, store: StoreNumber) -> Option<u64> {
        self.joining.iter().find(|newcomer| newcomer.store == store).map(|newcomer| newcomer.since_epoch)
    }

    /// The view since which the chain up to a link is as it is.
    pub fn unchanged_since(&self, store: StoreNumber) -> Option<u64> {
        let place = self.chain.iter().position(|link| *link == store)?;
        self.unchanged_since.get(place).copied()
    }

    /// The group as it was before, with another chain in the view of `epoch`.
    pub(crate) fn update_unchanged_since(&mut self, before: &Self, epoch: u64) {
        let same = self.chain.iter().zip(&before.chain).take_while(|(is, was)| is == was).count();
        self.unchanged_since = before.unchanged_since.iter().copied().take(same).collect();
        self.unchanged_since.resize(self.chain.len(), epoch);
    }

    /// Whether the group differs in more than in who is joining: all others have to know then.
    pub(crate) fn differs_for_stores(&self, before: &Self) -> bool {
        self.chain != before.chain
            || self.absent != before.absent
            || self.learner != before.learner
            || self.recreated_in_epoch != before.recreated_in_epoch
    }

    /// Whether enough links hold the group for it to be changed and read.
    pub fn is_open(&self) -> bool {
        self.absent.is_empty()
    }

    /// Links that have everything, head first.
    pub fn holders(&self) -> Vec<StoreNumber> {
        self.chain.iter().copied().filter(|link| self.joining_since(*link).is_none()).collect()
    }

    /// All stores that have a part in the group.
    pub fn all_stores(&self) -> Vec<StoreNumber> {
        let learner = self.learner.map(|learner| learner.store);
        self.chain.iter().chain(&self.absent).copied().chain(learner).collect()
    }

    /// Whether a store has any part of the group that must not be lost.
    pub fn may_hold_data(&self, store: StoreNumber) -> bool {
        self.chain.contains(&store) || self.absent.contains(&store)
    }
}

/// The placement of all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreView {
    pub epoch: u64,
    pub stores: Vec<Store>,
    /// One for each group; empty before the first placement.
    pub groups: Vec<Group>,
    pub(crate) next_number: u32,
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

    /// Whether some group can neither be changed nor read.
    pub fn has_closed_groups(&self) -> bool {
        self.groups.iter().any(|group| !group.is_open())
    }

    /// Whether the store holds a part of any group.
    pub fn holds_data(&self, number: StoreNumber) -> bool {
        self.groups.iter().any(|group| group.may_hold_data(number))
    }
}
