//! Handling of calls from neighbours in the chain and from learners. `role` is this store's role in the view that the call
//! belongs to; none if it is not a link in that view.

use fennelgauge_coordination::{GroupNumber, StoreNumber};

use crate::{AppendResult, CatchUp, EntryBatch, EntryPosition, GroupSnapshot, InstallResult, Replica, Role};

/// A learner that lacked at most this many entries when it last caught up may join the chain. It receives the rest as a link,
/// and does not count as a holder until then.
pub const MAX_LAG_TO_JOIN: usize = 24;

/// Where to forward entries that are durable on this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardTarget {
    /// Nowhere: this store is not caught up, or some of the entries are not durable here.
    Blocked,
    /// Nowhere: this store is the tail, so all links have the entries.
    EndOfChain,
    /// To this store, the next link.
    Successor(StoreNumber),
}

/// How urgently a successor needs a repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairUrgency {
    /// The successor needs no repair.
    NotNeeded,
    /// The successor may lack entries that are most likely still in flight: repair it if that lasts.
    Delayed,
    /// The successor has not been found caught up in this view: repair it now.
    Immediate,
}

impl Replica {
    /// Appends a batch from the predecessor. A store that is the head or not a link appends nothing.
    pub fn append_as_link(&mut self, role: Option<&Role>, batch: &EntryBatch) -> AppendResult {
        match role.filter(|role| !role.is_head()) {
            Some(role) => self.append_from_predecessor(role, batch),
            None => AppendResult { appended: Vec::new(), is_caught_up: false },
        }
    }

    /// Returns where to forward entries up to `end`.
    pub fn forward_target(&self, role: &Role, end: EntryPosition) -> ForwardTarget {
        if !self.may_forward(role) || !self.is_durable(end) {
            return ForwardTarget::Blocked;
        }
        role.successor.map_or(ForwardTarget::EndOfChain, ForwardTarget::Successor)
    }

    /// Returns the answer to a confirmation request: this store's position, or none if it is not a link in the view.
    pub fn position_in_role(&self, role: Option<&Role>) -> Option<EntryPosition> {
        role.map(|_| self.position())
    }

    /// Installs a snapshot from the predecessor.
    pub fn install_snapshot_as_link(
        &mut self,
        role: Option<&Role>,
        snapshot: &GroupSnapshot,
    ) -> InstallResult {
        match role.filter(|role| !role.is_head()) {
            Some(role) => self.install_snapshot(role.caught_up_since, snapshot),
            None => InstallResult::NotInChain,
        }
    }

    /// Returns what a learner at `learner_position` lacks; none if this store is not the head.
    pub fn catch_up_for_learner(
        &self,
        role: Option<&Role>,
        group: GroupNumber,
        learner_position: EntryPosition,
    ) -> Option<CatchUp> {
        role.filter(|role| role.is_head()).map(|_| self.catch_up_from(group, learner_position))
    }

    /// Whether a learner may report that it has copied the group, after it has received a batch of `lacked` entries up to `end`.
    pub fn may_report_copied(&self, end: EntryPosition, lacked: usize) -> bool {
        self.contains(end) && lacked <= MAX_LAG_TO_JOIN
    }

    /// Returns how urgently the successor needs a repair. `checked` is the epoch in which it was last found caught up.
    pub fn repair_urgency(&self, role: &Role, checked: Option<u64>) -> RepairUrgency {
        match () {
            () if role.successor.is_none() || !self.may_forward(role) => RepairUrgency::NotNeeded,
            () if checked < role.successor_caught_up_since => RepairUrgency::Immediate,
            () if self.has_uncommitted() => RepairUrgency::Delayed,
            () => RepairUrgency::NotNeeded,
        }
    }
}
