//! What follows from the view for shares of a whole that limiters hold without asking one another.
//!
//! What must never be exceeded (ceilings, a cold server's part) keeps the share by the deployment's full number.
//! That a member is gone is never certain: one that is stopped, starved or cut off looks the same as one that died, and
//! goes on with its share when it goes on. What may be exceeded at a price (quotas judged alone) may take over failed
//! members' shares, within a bound stated in advance.

use crate::view::{State, View};
use crate::Number;
use fennelgauge::time::{Moment, Span};

/// A member has to stay failed for so long before its share is taken over: two probes' time, in which one that was
/// only slow has spoken up. Given back at once.
const SURE: Span = Span::from_millis(2_000);
/// Shares grow by this factor at most.
pub const MOST_GROWTH: f64 = 2.0;

/// The share of what must never be exceeded: in every partition, with any views, all in use sum to the whole at most.
pub fn strict(of: Number) -> f64 {
    1.0 / f64::from(of.max(1))
}

/// Among how many the quota of a customer is shared, whose set begins at `first` and has `size` members, counted
/// round; `now` is of the time awake. Fewer than `size` only where more than half of the fleet may be working:
/// whoever sees less than that is likelier the one that is cut off.
pub fn parts(view: &View, now: Moment, first: u32, size: f64) -> f64 {
    let of = view.facts().len();
    if of == 0 || size < 2.0 {
        return size;
    }
    let gone = |fact: &crate::view::Fact| match fact.state {
        State::Left => true,
        State::Failed => now.since(fact.since) >= SURE,
        _ => false,
    };
    let missing = view.others().filter(|(_, fact)| gone(fact)).count();
    if missing == 0 || (of - missing) * 2 <= of {
        return size;
    }
    let set = (0..size as usize).map(|step| (first as usize + step) % of);
    let working = set
        .filter(|number| *number == usize::from(view.own) || !view.facts().get(*number).is_some_and(gone))
        .count();
    (working as f64).max(size / MOST_GROWTH).max(1.0)
}

/// The greatest overrun of a quota by shares alone, as a part of it, with any views whatever: each of the `size`
/// members takes `MOST_GROWTH / size` at most.
pub fn greatest_overrun() -> f64 {
    MOST_GROWTH - 1.0
}

/// The same where the fleet falls into parts that each see themselves alone, `larger` being the part of the set on the
/// side that has more than half of the fleet: that side takes the whole at most, the others keep their even shares.
pub fn overrun_in_partition(larger: f64) -> f64 {
    let larger = larger.clamp(0.0, 1.0);
    ((larger * MOST_GROWTH).min(1.0) + (1.0 - larger) - 1.0).max(0.0)
}
