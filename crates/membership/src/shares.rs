//! What follows from the view for shares of a whole that limiters hold without asking one another.
//!
//! What must never be exceeded (ceilings, a cold server's part) keeps the share by the deployment's full number.
//! That a member is gone is never certain: one that is stopped, starved or cut off looks the same as one that died, and
//! goes on with its share when it goes on. What may be exceeded at a price (quotas judged alone) may take over failed
//! members' shares, within a bound stated in advance.

use crate::view::{MemberState, MembershipView};
use crate::MemberIndex;
use fennelgauge::time::{Moment, Span};

/// A member has to stay failed for so long before its share is taken over: two probes' time, in which one that was
/// only slow has spoken up. Given back at once.
const TAKEOVER_DELAY: Span = Span::from_millis(2_000);
/// Shares grow by this factor at most.
pub const MAX_SHARE_GROWTH: f64 = 2.0;

/// The share of what must never be exceeded: in every partition, with any views, all in use sum to the whole at most.
pub fn strict_share(member_count: MemberIndex) -> f64 {
    1.0 / f64::from(member_count.max(1))
}

/// Among how many the quota of a customer is shared, whose set begins at `first` and has `set_size` members, counted
/// round; `now` is of the time awake. Fewer than `set_size` only where more than half of the fleet may be working:
/// whoever sees less than that is likelier the one that is cut off.
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

/// The greatest overrun of a quota by shares alone, as a part of it, with any views whatever: each of the `set_size`
/// members takes `MAX_SHARE_GROWTH / set_size` at most.
pub fn max_overrun() -> f64 {
    MAX_SHARE_GROWTH - 1.0
}

/// The same where the fleet falls into parts that each see themselves alone, `larger_side` being the part of the set on the
/// side that has more than half of the fleet: that side takes the whole at most, the others keep their even shares.
pub fn max_partition_overrun(larger_side: f64) -> f64 {
    let larger_side = larger_side.clamp(0.0, 1.0);
    ((larger_side * MAX_SHARE_GROWTH).min(1.0) + (1.0 - larger_side) - 1.0).max(0.0)
}
