//! What a link does with what its neighbours send and ask. `role` is this store's part in the view that a call is for; none if it
//! has none there.

use fennelgauge_coordination::{GroupNumber, StoreNumber};

use crate::{AppendResult, CatchUp, EntryBatch, EntryPosition, GroupSnapshot, InstallResult, Replica, Role};

/// A learner that lacked so few entries at its last look may join the chain: as a link it gets the rest, and does not count as
/// a holder before.
pub const MAX_LAG_TO_JOIN: usize = 24;

/// Where entries that are on this disk go next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardTarget {
    /// Not from here: this store is not level, or lacks some of them on its disk.
    Blocked,
    /// This is the last link: all have them.
    EndOfChain,
    Successor(StoreNumber),
}

/// How a successor is to be looked after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairUrgency {
    NotNeeded,
    /// It may lack something that is most likely still on its way.
    Delayed,
    Immediate,
}

impl Replica {
    /// Entries from the predecessor. Who is no link, or heads the chain, takes none.
    pub fn append_as_link(&mut self, role: Option<&Role>, batch: &EntryBatch) -> AppendResult {
        match role.filter(|role| !role.is_head()) {
            Some(role) => self.append_from_predecessor(role, batch),
            None => AppendResult { appended: Vec::new(), is_caught_up: false },
        }
    }

    /// Where entries up to `end` go from here.
    pub fn forward_target(&self, role: &Role, end: EntryPosition) -> ForwardTarget {
        if !self.may_forward(role) || !self.is_durable(end) {
            return ForwardTarget::Blocked;
        }
        role.successor.map_or(ForwardTarget::EndOfChain, ForwardTarget::Successor)
    }

    /// The answer to whether the view still stands and how far this store is; none if it is no link in it.
    pub fn position_in_role(&self, role: Option<&Role>) -> Option<EntryPosition> {
        role.map(|_| self.position())
    }

    /// A copy from the predecessor.
    pub fn install_snapshot_as_link(&mut self, role: Option<&Role>, copy: &GroupSnapshot) -> InstallResult {
        match role.filter(|role| !role.is_head()) {
            Some(role) => self.install_snapshot(role.caught_up_since, copy),
            None => InstallResult::NotInChain,
        }
    }

    /// What a learner at that place lacks; none if this store does not head the group.
    pub fn catch_up_for_learner(
        &self,
        role: Option<&Role>,
        group: GroupNumber,
        theirs: EntryPosition,
    ) -> Option<CatchUp> {
        role.filter(|role| role.is_head()).map(|_| self.catch_up_from(group, theirs))
    }

    /// Whether a learner that took a batch of so many entries up to `end` may tell that it has copied the group.
    pub fn may_report_copied(&self, end: EntryPosition, lacked: usize) -> bool {
        self.contains(end) && lacked <= MAX_LAG_TO_JOIN
    }

    /// Whether the successor is to be looked after; `checked` is the view in which it was last found level.
    pub fn repair_urgency(&self, role: &Role, checked: Option<u64>) -> RepairUrgency {
        match () {
            () if role.successor.is_none() || !self.may_forward(role) => RepairUrgency::NotNeeded,
            () if checked < role.successor_caught_up_since => RepairUrgency::Immediate,
            () if self.has_uncommitted() => RepairUrgency::Delayed,
            () => RepairUrgency::NotNeeded,
        }
    }
}
