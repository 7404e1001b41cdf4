//! Static shares of a common limit that gateways use without coordination, and how the view affects them.
//!
//! Limits that must never be exceeded (concurrency ceilings, the share of a cold server) are always divided by the full
//! number of gateways. A failure is never certain: a member that is stopped, starved of CPU or partitioned looks like
//! one that crashed, and uses its share again as soon as it continues. Limits that may be exceeded at a price (quotas
//! that a gateway enforces alone) may absorb the shares of failed members, up to a fixed bound.

use crate::view::{MemberState, MembershipView};
use crate::MemberIndex;
use fennelgauge::time::{Moment, Span};

/// How long a member must stay failed before its share is redistributed: two probe periods, in which a member that was
/// only slow refutes the failure. The share is given back immediately.
const TAKEOVER_DELAY: Span = Span::from_millis(2_000);
/// Largest factor by which a member's share may grow through redistribution.
pub const MAX_SHARE_GROWTH: f64 = 2.0;

/// Returns the share of a limit that must never be exceeded, as a fraction. The shares of all members sum to at most 1
/// in every partition and with any views.
pub fn strict_share(member_count: MemberIndex) -> f64 {
    1.0 / f64::from(member_count.max(1))
}

/// Returns among how many members a customer's quota is divided. The customer's gateway set begins at `first` and has
/// `set_size` members, wrapping around the list; `now` is active time.
///
/// The result is below `set_size` only while more than half of the group may be alive: a gateway that sees fewer is
/// more likely partitioned itself.
pub fn quota_sharers(view: &MembershipView, now: Moment, first: u32, set_size: f64) -> f64 {
    let member_count = view.statuses().len();
    if member_count == 0 || set_size < 2.0 {
        return set_size;
    }
    let is_gone = |status: &crate::view::MemberStatus| match status.state {
        MemberState::Left => true,
        MemberState::Failed => now.since(status.state_since) >= TAKEOVER_DELAY,
        _ => false,
    };
    let gone_count = view.peers().filter(|(_, status)| is_gone(status)).count();
    if gone_count == 0 || (member_count - gone_count) * 2 <= member_count {
        return set_size;
    }
    let set = (0..set_size as usize).map(|step| (first as usize + step) % member_count);
    let remaining = set
        .filter(|index| {
            *index == usize::from(view.own_index) || !view.statuses().get(*index).is_some_and(is_gone)
        })
        .count();
    (remaining as f64).max(set_size / MAX_SHARE_GROWTH).max(1.0)
}

/// Returns the largest possible overrun of a quota as a fraction of it, with any views: each of the `set_size` members
/// uses at most `MAX_SHARE_GROWTH / set_size`.
pub fn max_overrun() -> f64 {
    MAX_SHARE_GROWTH - 1.0
}

/// Returns the largest overrun in a clean partition, where each side sees only itself. `larger_side` is the fraction of
/// the customer's gateway set on the side with more than half of the group: that side uses at most the whole quota, and
/// the others keep their even shares.
pub fn max_partition_overrun(larger_side: f64) -> f64 {
    let larger_side = larger_side.clamp(0.0, 1.0);
    ((larger_side * MAX_SHARE_GROWTH).min(1.0) + (1.0 - larger_side) - 1.0).max(0.0)
}
