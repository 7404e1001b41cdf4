//! The stores' view: the registered stores and, for each group of data, the chain of stores that replicates it.
//!
//! A link is a *holder* of a group if all that was ever committed in the group is durable on it. A store that joins a chain
//! does not count as a holder until it has reported, as a link, that it has everything. While no more holders are
//! alive than failures are tolerated, the group is *closed*: it can be neither changed nor read, and the holders that are unresponsive
//! stay on record as *absent*. So at least one of the recorded holders survives the loss of as many disks as are tolerated,
//! whichever other stores are unresponsive meanwhile, and the head of a chain is always a holder.

use serde::{Deserialize, Serialize};

use crate::Member;

/// Number of groups that all data is partitioned into.
pub const GROUP_COUNT: u16 = 64;

/// A group's number, below [`GROUP_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupNumber(pub u16);

impl GroupNumber {
    /// Returns the group of a key, given the key's hash.
    pub fn of(hash: u64) -> Self {
        Self((hash % u64::from(GROUP_COUNT)) as u16)
    }

    /// Returns all groups in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUP_COUNT).map(Self)
    }
}

/// A store's number; never reused for another identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreNumber(pub u32);

/// A registered store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Store {
    /// The store's number.
    pub number: StoreNumber,
    /// Identity and address of the store's process.
    pub member: Member,
    /// Whether the store is being drained: its data moves elsewhere so that it can be removed.
    pub retiring: bool,
}

/// A store that was assigned to a group as a learner or as a joining link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// The assigned store.
    pub store: StoreNumber,
    /// Epoch of the first view with this assignment; the store's confirmations for earlier views do not count.
    pub since_epoch: u64,
}

/// The placement of a group: the stores that replicate it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Links, head first; holders come before joining links.
    pub chain: Vec<StoreNumber>,
    /// For each link, the epoch since which the chain from the head to that link is unchanged. A link that was caught up with
    /// its predecessor in that view or a later one still has nothing that the links before it lack.
    pub unchanged_since: Vec<u64>,
    /// Links that have not yet confirmed that they have everything.
    pub joining: Vec<Assignment>,
    /// Unresponsive holders, kept on record while the chain has too few holders.
    pub absent: Vec<StoreNumber>,
    /// Store that copies the group before it joins the end of the chain.
    pub learner: Option<Assignment>,
    /// Epoch of the view in which the group was last recreated empty after being given up; 0 if it never was.
    pub recreated_in_epoch: u64,
    /// Names of the batch jobs that were given up with the group, as far as they are known.
    pub given_up_jobs: Vec<String>,
}

impl Group {
    /// Returns the epoch since which a store is a joining link; none if it is not one.
    pub fn joining_since(&self, store: StoreNumber) -> Option<u64> {
        self.joining.iter().find(|joining| joining.store == store).map(|joining| joining.since_epoch)
    }

    /// Returns the epoch since which the chain up to a link is unchanged; none if the store is no link.
    pub fn unchanged_since(&self, store: StoreNumber) -> Option<u64> {
        let index = self.chain.iter().position(|link| *link == store)?;
        self.unchanged_since.get(index).copied()
    }

    /// Recomputes `unchanged_since` from the group's placement in the previous view; links behind the first difference get
    /// `epoch`.
    pub(crate) fn update_unchanged_since(&mut self, before: &Self, epoch: u64) {
        let unchanged = self.chain.iter().zip(&before.chain).take_while(|(new, old)| new == old).count();
        self.unchanged_since = before.unchanged_since.iter().copied().take(unchanged).collect();
        self.unchanged_since.resize(self.chain.len(), epoch);
    }

    /// Whether the placement differs from `before` in a way that stores and clients act on. The set of joining links does not
    /// count: only the planner uses it.
    pub(crate) fn differs_for_stores(&self, before: &Self) -> bool {
        self.chain != before.chain
            || self.absent != before.absent
            || self.learner != before.learner
            || self.recreated_in_epoch != before.recreated_in_epoch
    }

    /// Whether enough holders are alive for the group to be changed and read.
    pub fn is_open(&self) -> bool {
        self.absent.is_empty()
    }

    /// Returns the links that have everything, head first.
    pub fn holders(&self) -> Vec<StoreNumber> {
        self.chain.iter().copied().filter(|link| self.joining_since(*link).is_none()).collect()
    }

    /// Returns all stores that have a part in the group: links, absent holders and the learner.
    pub fn all_stores(&self) -> Vec<StoreNumber> {
        let learner = self.learner.map(|learner| learner.store);
        self.chain.iter().chain(&self.absent).copied().chain(learner).collect()
    }

    /// Whether a store is a link or an absent holder, and so may hold committed data of the group.
    pub fn may_hold_data(&self, store: StoreNumber) -> bool {
        self.chain.contains(&store) || self.absent.contains(&store)
    }
}

/// The registered stores and the placement of all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreView {
    /// Number of the view; raised when stores or clients must learn of a change.
    pub epoch: u64,
    /// The registered stores.
    pub stores: Vec<Store>,
    /// Placement of each group, indexed by group number; empty before the first placement.
    pub groups: Vec<Group>,
    /// Number for the next store that registers.
    pub(crate) next_number: u32,
}

impl StoreView {
    /// Returns the store with a number.
    pub fn store(&self, number: StoreNumber) -> Option<&Store> {
        self.stores.iter().find(|store| store.number == number)
    }

    /// Returns the store of a node.
    pub fn by_node(&self, node: &str) -> Option<&Store> {
        self.stores.iter().find(|store| store.member.identity.node == node)
    }

    /// Returns the placement of a group; none before the first placement.
    pub fn group(&self, group: GroupNumber) -> Option<&Group> {
        self.groups.get(usize::from(group.0))
    }

    /// Returns the store that takes writes of the group and runs its work.
    pub fn head(&self, group: GroupNumber) -> Option<&Store> {
        self.store(*self.group(group)?.chain.first()?)
    }

    /// Returns the store that answers reads of the group.
    pub fn tail(&self, group: GroupNumber) -> Option<&Store> {
        self.store(*self.group(group)?.chain.last()?)
    }

    /// Whether any group is closed.
    pub fn has_closed_groups(&self) -> bool {
        self.groups.iter().any(|group| !group.is_open())
    }

    /// Whether the store may hold committed data of any group.
    pub fn holds_data(&self, number: StoreNumber) -> bool {
        self.groups.iter().any(|group| group.may_hold_data(number))
    }
}
