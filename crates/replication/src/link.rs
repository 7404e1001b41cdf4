//! What a link does with what its neighbours send and ask. `role` is this store's part in the view that a call is for; none if it
//! has none there.

use fennelgauge_coordination::{GroupNumber, StoreNumber};

use crate::{EntryBatch, EntryPosition, Followed, GroupCopy, Installed, Missing, Replica, Role};

/// A learner that lacked so few entries at its last look may join the chain: as a link it gets the rest, and does not count as
/// a holder before.
pub const JOINS_WITHIN: usize = 24;

/// Where entries that are on this disk go next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Onward {
    /// Not from here: this store is not level, or lacks some of them on its disk.
    Nowhere,
    /// This is the last link: all have them.
    Everywhere,
    To(StoreNumber),
}

/// How a successor is to be looked after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    Needless,
    /// It may lack something that is most likely still on its way.
    Soon,
    Now,
}

impl Replica {
    /// Entries from the predecessor. Who is no link, or heads the chain, takes none.
    pub fn append(&mut self, role: Option<&Role>, batch: &EntryBatch) -> Followed {
        match role.filter(|role| !role.is_head()) {
            Some(role) => self.follow(role, batch),
            None => Followed { taken: Vec::new(), is_level: false },
        }
    }

    /// Where entries up to `end` go from here.
    pub fn onward(&self, role: &Role, end: EntryPosition) -> Onward {
        if !self.passes_on(role) || !self.has_on_disk(end) {
            return Onward::Nowhere;
        }
        role.successor.map_or(Onward::Everywhere, Onward::To)
    }

    /// The answer to whether the view still stands and how far this store is; none if it is no link in it.
    pub fn position_as(&self, role: Option<&Role>) -> Option<EntryPosition> {
        role.map(|_| self.position())
    }

    /// A copy from the predecessor.
    pub fn install_as_link(&mut self, role: Option<&Role>, copy: &GroupCopy) -> Installed {
        match role.filter(|role| !role.is_head()) {
            Some(role) => self.install(role.level_since, copy),
            None => Installed::NotALink,
        }
    }

    /// What a learner at that place lacks; none if this store does not head the group.
    pub fn missing_for_learner(
        &self,
        role: Option<&Role>,
        group: GroupNumber,
        theirs: EntryPosition,
    ) -> Option<Missing> {
        role.filter(|role| role.is_head()).map(|_| self.missing_at(group, theirs))
    }

    /// Whether a learner that took a batch of so many entries up to `end` may tell that it has copied the group.
    pub fn has_copied(&self, end: EntryPosition, lacked: usize) -> bool {
        self.contains(end) && lacked <= JOINS_WITHIN
    }

    /// Whether the successor is to be looked after; `checked` is the view in which it was last found level.
    pub fn care(&self, role: &Role, checked: Option<u64>) -> Care {
        match () {
            () if role.successor.is_none() || !self.passes_on(role) => Care::Needless,
            () if checked < role.successor_level_since => Care::Now,
            () if self.is_in_doubt() => Care::Soon,
            () => Care::Needless,
        }
    }
}
