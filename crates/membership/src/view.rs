//! What a limiter holds of the others, how old each fact is, and what the whole looks like from here.

use crate::identity::NO_ZONE;
use crate::MemberIndex;
use fennelgauge::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};
use std::hash::{Hash, Hasher};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Nobody has told of it yet.
    #[default]
    Unknown,
    Alive,
    /// It did not answer, neither this limiter nor those asked to try; it may still speak up.
    Suspected,
    Failed,
    /// It said itself that it goes.
    Left,
}

impl MemberState {
    /// It may be working.
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

/// What is known of one member; moments are of the time awake.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberStatus {
    pub state: MemberState,
    /// The life that this is of, in milliseconds of Unix time.
    pub generation: u64,
    /// Its place among the zones, where it told one.
    pub zone: Option<u8>,
    /// Since when it is in this state.
    pub state_since: Moment,
    /// The last datagram that came from itself.
    pub last_heard: Option<Moment>,
    /// Since when its view differs from this one.
    pub view_differs_since: Option<Moment>,
}

/// How the fleet looks from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Nobody that was ever heard of is missing.
    AllReachable,
    /// Some members failed, and no site as a whole.
    MembersFailed(Vec<MemberIndex>),
    /// All members of these sites are missing, and others of theirs are not: the sites are lost or cut off.
    ZonesLost(Vec<u8>),
    /// All other sites are missing at once: this site is the one that is cut off, or the only one left.
    OwnZoneIsolated,
    /// Nobody is heard any more: it is this limiter that is cut off.
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

/// A change, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    pub index: MemberIndex,
    pub from: MemberState,
    pub to: MemberState,
    pub generation: u64,
}

/// Where nobody at all is heard for so long, it is not the others: probes go out every second, to somebody else each.
const ISOLATION_TIMEOUT: Span = Span::from_millis(4_000);

#[derive(Clone, Debug)]
pub struct MembershipView {
    pub own_index: MemberIndex,
    pub own_zone: u8,
    statuses: Vec<MemberStatus>,
    changes: Vec<StateChange>,
}

impl MembershipView {
    pub fn new(own_index: MemberIndex, own_zone: u8, member_count: MemberIndex, now: Moment) -> Self {
        let status = MemberStatus { state_since: now, ..MemberStatus::default() };
        Self { own_index, own_zone, statuses: vec![status; usize::from(member_count)], changes: Vec::new() }
    }

    /// By number; this limiter's own stands among them and says nothing.
    pub fn statuses(&self) -> &[MemberStatus] {
        &self.statuses
    }

    pub fn status(&self, index: MemberIndex) -> Option<&MemberStatus> {
        self.statuses.get(usize::from(index))
    }

    /// The others, with what is known of them.
    pub fn peers(&self) -> impl Iterator<Item = (MemberIndex, &MemberStatus)> {
        let own_index = self.own_index;
        self.statuses
            .iter()
            .enumerate()
            .map(|(at, status)| (at as MemberIndex, status))
            .filter(move |it| it.0 != own_index)
    }

    pub fn count_in_state(&self, state: MemberState) -> usize {
        self.peers().filter(|(_, status)| status.state == state).count()
    }

    /// Of what life and state a member is; a zone is kept where none is told.
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

    /// A datagram came from it.
    pub fn record_datagram(&mut self, index: MemberIndex, now: Moment) {
        let status =
            self.statuses.get_mut(usize::from(index)).filter(|status| status.state != MemberState::Unknown);
        if let Some(status) = status {
            status.last_heard = Some(now);
        }
    }

    /// A datagram came from it that told its view.
    pub fn record_view_digest(&mut self, index: MemberIndex, now: Moment, digest: u32) {
        let matches_own = digest == self.digest();
        let Some(status) = self.statuses.get_mut(usize::from(index)) else { return };
        status.last_heard = Some(now);
        status.view_differs_since = if matches_own { None } else { status.view_differs_since.or(Some(now)) };
    }

    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sums up who is taken to be there, this limiter included: two views that agree have the same digest.
    pub fn digest(&self) -> u32 {
        self.statuses.iter().enumerate().fold(0, |sum, (index, status)| {
            let is_alive = index == usize::from(self.own_index)
                || matches!(status.state, MemberState::Alive | MemberState::Suspected);
            let mut hasher = DefaultHasher::new();
            (index, is_alive).hash(&mut hasher);
            sum ^ if is_alive { hasher.finish() as u32 } else { 0 }
        })
    }

    /// How many members of late held another view, and for how long one of them has.
    pub fn disagreement(&self, now: Moment) -> (usize, Span) {
        let differing = self.peers().filter(|(_, status)| status.state == MemberState::Alive);
        let differing: Vec<Moment> = differing.filter_map(|(_, status)| status.view_differs_since).collect();
        let longest = differing.iter().map(|since| now.since(*since)).max().unwrap_or(Span::ZERO);
        (differing.len(), longest)
    }

    pub fn reachability(&self, now: Moment) -> Reachability {
        let known: Vec<(MemberIndex, &MemberStatus)> =
            self.peers().filter(|(_, status)| status.state != MemberState::Unknown).collect();
        // One that has left, said so: it is missed by nobody.
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
        // By zone: how many are known there, and how many of them are missing.
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
