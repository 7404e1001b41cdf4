//! The role of a store in a group's chain, in one view.

use fennelgauge_coordination::{Group, GroupNumber, StoreNumber, StoreView};

/// A store's role as a link of a group's chain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Role {
    /// Epoch of the view.
    pub epoch: u64,
    /// Epoch of the view in which the group was last recreated after being given up; 0 if it never was.
    pub recreated_in_epoch: u64,
    /// Names of the batch jobs that were given up with the group.
    pub given_up_jobs: Vec<String>,
    /// Epoch since which the chain up to this store is unchanged: a store that was caught up in that view or a later one still
    /// is.
    pub caught_up_since: u64,
    /// Same as `caught_up_since`, for the successor; none for the tail.
    pub successor_caught_up_since: Option<u64>,
    /// Whether enough holders are alive for the group to be changed and read.
    pub is_open: bool,
    /// For a joining link, which has not confirmed yet that it has everything: the epoch since which it is a link.
    pub joining_since: Option<u64>,
    /// The link before this store; none for the head.
    pub predecessor: Option<StoreNumber>,
    /// The link after this store; none for the tail.
    pub successor: Option<StoreNumber>,
    /// All other links of the chain, head first.
    pub others: Vec<StoreNumber>,
}

impl Role {
    /// Returns the role of `store` in a group; none if it is not a link of the chain.
    pub fn of(view: &StoreView, group: GroupNumber, store: StoreNumber) -> Option<Self> {
        let placement: &Group = view.group(group)?;
        let index = placement.chain.iter().position(|link| *link == store)?;
        Some(Self {
            epoch: view.epoch,
            recreated_in_epoch: placement.recreated_in_epoch,
            given_up_jobs: placement.given_up_jobs.clone(),
            caught_up_since: placement.unchanged_since(store)?,
            successor_caught_up_since: placement.unchanged_since.get(index + 1).copied(),
            is_open: placement.is_open(),
            joining_since: placement.joining_since(store),
            predecessor: index.checked_sub(1).and_then(|previous| placement.chain.get(previous)).copied(),
            successor: placement.chain.get(index + 1).copied(),
            others: placement.chain.iter().copied().filter(|link| *link != store).collect(),
        })
    }

    /// Whether this store is the head, which makes the entries.
    pub fn is_head(&self) -> bool {
        self.predecessor.is_none()
    }

    /// Whether this store is the tail, which answers reads.
    pub fn is_tail(&self) -> bool {
        self.successor.is_none()
    }

    /// Whether this store takes changes of the group.
    pub fn accepts_writes(&self) -> bool {
        self.is_head() && self.is_open
    }

    /// Whether this store answers reads of the group, provided that it is caught up and the other links confirm the view.
    pub fn serves_reads(&self) -> bool {
        self.is_tail() && self.is_open
    }
}
