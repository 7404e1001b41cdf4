//! What a store is to a group in one view.

use fennelgauge_coordination::{Group, GroupNumber, StoreNumber, StoreView};

/// A store's part in a group's chain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Role {
    pub epoch: u64,
    /// The view in which the group was begun anew; 0 where it never was.
    pub recreated_in_epoch: u64,
    /// Batch jobs that were given up then.
    pub given_up_jobs: Vec<String>,
    /// Being level in this view or a later one is being level now.
    pub caught_up_since: u64,
    /// The same, of the successor.
    pub successor_caught_up_since: Option<u64>,
    /// Whether enough links hold the group for it to be changed and read.
    pub is_open: bool,
    /// Where it has not told yet that it has everything: since which view it is a link.
    pub joining_since: Option<u64>,
    pub predecessor: Option<StoreNumber>,
    pub successor: Option<StoreNumber>,
    /// All links of the chain but this store, head first.
    pub others: Vec<StoreNumber>,
}

impl Role {
    /// The part of `store` in a group; none if it is no link of the chain.
    pub fn of(view: &StoreView, group: GroupNumber, store: StoreNumber) -> Option<Self> {
        let held: &Group = view.group(group)?;
        let place = held.chain.iter().position(|link| *link == store)?;
        Some(Self {
            epoch: view.epoch,
            recreated_in_epoch: held.recreated_in_epoch,
            given_up_jobs: held.given_up_jobs.clone(),
            caught_up_since: held.unchanged_since(store)?,
            successor_caught_up_since: held.unchanged_since.get(place + 1).copied(),
            is_open: held.is_open(),
            joining_since: held.joining_since(store),
            predecessor: place.checked_sub(1).and_then(|before| held.chain.get(before)).copied(),
            successor: held.chain.get(place + 1).copied(),
            others: held.chain.iter().copied().filter(|link| *link != store).collect(),
        })
    }

    pub fn is_head(&self) -> bool {
        self.predecessor.is_none()
    }

    pub fn is_tail(&self) -> bool {
        self.successor.is_none()
    }

    /// Whether this store may take changes of the group.
    pub fn accepts_writes(&self) -> bool {
        self.is_head() && self.is_open
    }

    /// Whether this store may answer reads of the group, once it is level and the others have confirmed the view.
    pub fn serves_reads(&self) -> bool {
        self.is_tail() && self.is_open
    }
}
