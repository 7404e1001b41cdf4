//! The state of every member as one gateway sees it, with the age of each observation, and the reachability that
//! follows from it.

use crate::identity::NO_ZONE;
use crate::MemberIndex;
use fennelgauge::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};
use std::hash::{Hash, Hasher};

/// What this gateway believes about another member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// No datagram from it or about it has arrived yet.
    #[default]
    Unknown,
    /// It answers probes.
    Alive,
    /// It answered neither a direct nor an indirect probe; it can still refute the suspicion.
    Suspected,
    /// It did not refute the suspicion in time.
    Failed,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Returns whether the member may still be running.
    pub fn may_be_alive(self) -> bool {
        !matches!(self, Self::Failed | Self::Left)
    }
}

impl Display for MemberState {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            Self::Unknown => "never heard",
            Self::Alive => "present",
            Self::Suspected => "suspected",
            Self::Failed => "failed",
            Self::Left => "left",
        })
    }
}

/// What is known about one member. All moments are active time (see [`crate::clock::ActiveClock`]).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberStatus {
    /// The current belief about the member.
    pub state: MemberState,
    /// Generation of the member that this status describes: its start time in milliseconds of Unix time.
    pub generation: u64,
    /// Index of its zone, if the member has announced one.
    pub zone: Option<u8>,
    /// When it entered `state`.
    pub state_since: Moment,
    /// When the last datagram arrived directly from the member.
    pub last_heard: Option<Moment>,
    /// Since when the member's view digest differs from this gateway's; `None` while they agree.
    pub view_differs_since: Option<Moment>,
}

/// Which part of the group is unreachable from this gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// No known member has failed.
    AllReachable,
    /// These members have failed, but no zone as a whole.
    MembersFailed(Vec<MemberIndex>),
    /// All known members of these zones (two or more in each) have failed: the zones are down or partitioned. There is
    /// another reachable zone, or only one zone besides this gateway's.
    ZonesLost(Vec<u8>),
    /// All other zones (two or more) have failed: this zone is partitioned, or the only one left.
    OwnZoneIsolated,
    /// No member is heard any more, so this gateway itself is partitioned.
    Isolated,
}

impl Display for Reachability {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::AllReachable => out.write_str("whole"),
            Self::MembersFailed(members) => write!(out, "{} failed", members.len()),
            Self::ZonesLost(zones) => write!(out, "sites {zones:?} lost or cut off"),
            Self::OwnZoneIsolated => out.write_str("this site is cut off or alone"),
            Self::Isolated => out.write_str("this limiter is cut off"),
        }
    }
}

/// A change of a member's state or generation, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// The member that changed.
    pub index: MemberIndex,
    /// State before the change.
    pub from: MemberState,
    /// State after the change.
    pub to: MemberState,
    /// The member's generation after the change.
    pub generation: u64,
}

/// Without any datagram for this long, this gateway considers itself partitioned. Probes go out every second, each to a
/// different member, so the fault is unlikely to lie with the others.
const ISOLATION_TIMEOUT: Span = Span::from_millis(4_000);

/// The status of every member as this gateway sees it.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// Index of this gateway.
    pub own_index: MemberIndex,
    /// Zone of this gateway; [`NO_ZONE`] if it has none.
    pub own_zone: u8,
    /// By member index. The entry of this gateway is unused.
    statuses: Vec<MemberStatus>,
    /// Changes since the last call of [`Self::take_changes`].
    changes: Vec<StateChange>,
}

impl MembershipView {
    /// Creates a view of `member_count` members in state [`MemberState::Unknown`].
    pub fn new(own_index: MemberIndex, own_zone: u8, member_count: MemberIndex, now: Moment) -> Self {
        let status = MemberStatus { state_since: now, ..MemberStatus::default() };
        Self { own_index, own_zone, statuses: vec![status; usize::from(member_count)], changes: Vec::new() }
    }

    /// Returns all statuses by member index; the entry of this gateway itself is meaningless.
    pub fn statuses(&self) -> &[MemberStatus] {
        &self.statuses
    }

    /// Returns the status of a member, or `None` if the index is not in the list.
    pub fn status(&self, index: MemberIndex) -> Option<&MemberStatus> {
        self.statuses.get(usize::from(index))
    }

    /// Returns the other members with their statuses.
    pub fn peers(&self) -> impl Iterator<Item = (MemberIndex, &MemberStatus)> {
        let own_index = self.own_index;
        self.statuses
            .iter()
            .enumerate()
            .map(|(at, status)| (at as MemberIndex, status))
            .filter(move |it| it.0 != own_index)
    }

    /// Returns how many other members are in `state`.
    pub fn count_in_state(&self, state: MemberState) -> usize {
        self.peers().filter(|(_, status)| status.state == state).count()
    }

    /// Sets state and generation of a member and records the change. With [`NO_ZONE`] the known zone is kept.
    pub fn update(&mut self, index: MemberIndex, state: MemberState, generation: u64, zone: u8, now: Moment) {
        let Some(status) = self.statuses.get_mut(usize::from(index)).filter(|_| index != self.own_index)
        else {
            return;
        };
        if zone != NO_ZONE {
            status.zone = Some(zone);
        }
        if (status.state, status.generation) == (state, generation) {
            return;
        }
        self.changes.push(StateChange { index, from: status.state, to: state, generation });
        if status.state != state {
            status.state_since = now;
        }
        (status.state, status.generation) = (state, generation);
    }

    /// Notes that a datagram arrived from a member that is already known.
    pub fn record_datagram(&mut self, index: MemberIndex, now: Moment) {
        let status =
            self.statuses.get_mut(usize::from(index)).filter(|status| status.state != MemberState::Unknown);
        if let Some(status) = status {
            status.last_heard = Some(now);
        }
    }

    /// Notes that a datagram with the sender's view digest arrived, and compares the digest with this view's.
    pub fn record_view_digest(&mut self, index: MemberIndex, now: Moment, digest: u32) {
        let matches_own = digest == self.digest();
        let Some(status) = self.statuses.get_mut(usize::from(index)) else { return };
        status.last_heard = Some(now);
        status.view_differs_since = if matches_own { None } else { status.view_differs_since.or(Some(now)) };
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns a hash of the set of members that are alive or suspected, this gateway included. Views that agree on
    /// that set have the same digest.
    pub fn digest(&self) -> u32 {
        self.statuses.iter().enumerate().fold(0, |sum, (index, status)| {
            let is_alive = index == usize::from(self.own_index)
                || matches!(status.state, MemberState::Alive | MemberState::Suspected);
            let mut hasher = DefaultHasher::new();
            (index, is_alive).hash(&mut hasher);
            sum ^ if is_alive { hasher.finish() as u32 } else { 0 }
        })
    }

    /// Returns how many live members last reported a different view, and the longest time for which one of them has.
    pub fn disagreement(&self, now: Moment) -> (usize, Span) {
        let differing = self.peers().filter(|(_, status)| status.state == MemberState::Alive);
        let differing: Vec<Moment> = differing.filter_map(|(_, status)| status.view_differs_since).collect();
        let longest = differing.iter().map(|since| now.since(*since)).max().unwrap_or(Span::ZERO);
        (differing.len(), longest)
    }

    /// Derives from the statuses which part of the group is unreachable.
    pub fn reachability(&self, now: Moment) -> Reachability {
        let known: Vec<(MemberIndex, &MemberStatus)> =
            self.peers().filter(|(_, status)| status.state != MemberState::Unknown).collect();
        // Members that left on purpose do not count as failed.
        let failed: BTreeSet<MemberIndex> =
            known.iter().filter(|(_, status)| status.state == MemberState::Failed).map(|it| it.0).collect();
        let possibly_alive = known.iter().filter(|(_, status)| status.state.may_be_alive());
        let last_heard = possibly_alive.clone().filter_map(|(_, status)| status.last_heard).max();
        let silent = last_heard.is_none_or(|heard| now.since(heard) > ISOLATION_TIMEOUT);
        if possibly_alive.clone().count() + failed.len() >= 2 && (silent || possibly_alive.count() == 0) {
            return Reachability::Isolated;
        }
        if failed.is_empty() {
            return Reachability::AllReachable;
        }
        // Per zone: number of known members, and how many of them have failed.
        let mut zones: BTreeMap<u8, (usize, usize)> = BTreeMap::new();
        for (index, status) in known.iter().filter(|(_, status)| status.state != MemberState::Left) {
            let Some(zone) = status.zone else { continue };
            let counts = zones.entry(zone).or_default();
            counts.0 += 1;
            counts.1 += usize::from(failed.contains(index));
        }
        zones.remove(&self.own_zone);
        let lost_zones: Vec<u8> = zones
            .iter()
            .filter(|(_, counts)| counts.0 >= 2 && counts.0 == counts.1)
            .map(|it| *it.0)
            .collect();
        if lost_zones.is_empty() {
            return Reachability::MembersFailed(failed.into_iter().collect());
        }
        if lost_zones.len() == zones.len() && lost_zones.len() >= 2 {
            return Reachability::OwnZoneIsolated;
        }
        Reachability::ZonesLost(lost_zones)
    }
}

#[cfg(test)]
mod tests;
