//! How often an item was sent to servers, as its group has recorded it, and what follows from that.
//!
//! Every attempt is covered by a permit, which is recorded in the group before the attempt, and by one permit for each item that is
//! recorded with the acceptance of its job. A failure is recorded with the permit for the next attempt. So however many heads
//! are lost, and whatever they knew, servers have failed an item at least `failures` times and at most `failures + open_permits`
//! times: the first number decides when the item may be given up, the second when it must not be sent again.

use serde::{Deserialize, Serialize};

/// Number of open permits with which an item must not be sent again: a server may have rejected the item at each of these
/// attempts, and three rejections are the most that a server may give to one item.
const MAX_OPEN_PERMITS: u32 = 3;
/// Factor on `retries` that gives the number of failures after which an item must not be sent again.
const MAX_FAILURES_FACTOR: u32 = 3;
/// Factor on `retries` that gives the number of failures after which an item is given up if the outcome of each attempt is known.
const PATIENT_FACTOR: u32 = 2;

/// What is recorded of the attempts at one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempts {
    /// Attempts that are known to have failed at a server.
    pub failures: u32,
    /// Permits for attempts whose outcome is not known to have been harmless. Each may stand for a failure or a rejection.
    pub open_permits: u32,
    /// Whether a server is known to have begun a successful response, so that the item does not fail at each attempt.
    pub has_responded: bool,
}

impl Default for Attempts {
    /// The attempts at an item of a job that was just accepted: the head that accepts it may send the item.
    fn default() -> Self {
        Self { failures: 0, open_permits: 1, has_responded: false }
    }
}

/// A change to the recorded attempts at one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptEvent {
    /// The head takes a permit for an attempt.
    Permitted,
    /// The attempt under the head's permit failed at a server; the permit is renewed for the next attempt.
    Failed,
    /// A server has begun a successful response.
    Responded,
}

impl Attempts {
    /// Applies a change.
    pub fn apply(&mut self, event: AttemptEvent) {
        match event {
            AttemptEvent::Permitted => self.open_permits = self.open_permits.saturating_add(1),
            AttemptEvent::Failed => self.failures = self.failures.saturating_add(1),
            AttemptEvent::Responded => self.has_responded = true,
        }
    }

    /// Returns the attempts without the permit that the asking head itself holds and has not used.
    pub fn without_own_permit(self) -> Self {
        Self { open_permits: self.open_permits.saturating_sub(1), ..self }
    }
}

/// Bounds on the number of failures of an item at servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureLimits {
    /// With fewer failures the item must not be given up for them.
    pub required: u32,
    /// With so many failures it is given up, even if the outcome of each attempt is known.
    pub patient: u32,
    /// After so many failures it must not be sent again by the smaller number of retries.
    pub max: u32,
    /// After so many failures it must not be sent again by the larger number of retries.
    pub max_by_larger: u32,
}

impl FailureLimits {
    /// Returns the limits of an item whose job was accepted with `accepted` retries, on a route that now has `current` ones.
    ///
    /// Where these differ, an item is given up only if both allow it, and not sent again if one of them forbids it, unless it has
    /// rested. A patient store tries on up to twice as often.
    pub fn new(accepted: u32, current: u32, is_patient: bool) -> Self {
        let required = accepted.max(current);
        let max = accepted.min(current).saturating_mul(MAX_FAILURES_FACTOR).max(required);
        let max_by_larger = required.saturating_mul(MAX_FAILURES_FACTOR);
        let factor = if is_patient { PATIENT_FACTOR } else { 1 };
        Self { required, patient: required.saturating_mul(factor).min(max), max, max_by_larger }
    }

    /// Returns whether an item is to be given up for its failures. Patience ends where the outcome of an attempt is unknown.
    pub fn give_up(self, attempts: Attempts) -> bool {
        let is_certain = attempts.open_permits == 0;
        attempts.failures >= if is_certain { self.patient } else { self.required }
    }

    /// Returns whether an item may be sent to a server under a further permit. `rest` tells whether the item has not been sent for
    /// some time although it was ready. After that the possible rejections do not hold it back any more, so that one whose
    /// attempts were cut off is not left; the possible failures do, unless its time never ends.
    pub fn allow_attempt(self, attempts: Attempts, rest: Rest) -> bool {
        let Attempts { failures, open_permits, has_responded } = attempts;
        let most_failures = failures.saturating_add(open_permits);
        match rest {
            _ if has_responded => failures < self.max,
            Rest::None => open_permits < MAX_OPEN_PERMITS && most_failures < self.max,
            Rest::Over => most_failures < self.max_by_larger,
            Rest::OverAndEndless => true,
        }
    }

    /// Returns whether the next attempt is left early if its server is silent, so that another server can have the item. The
    /// outcome of an attempt that is left is unknown, although the item may only have waited in the server's queue. So an
    /// item that could not be sent again after the attempt waits for what its server says.
    pub fn leaves_silent_server(self, attempts: Attempts) -> bool {
        let Attempts { failures, open_permits, has_responded } = attempts;
        let most_failures_if_left = failures.saturating_add(open_permits).saturating_add(1);
        has_responded || most_failures_if_left < self.max_by_larger
    }
}

/// Whether an item has rested, because the outcome of too many of its attempts is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// It has not, or not for long enough.
    None,
    /// It has, and is given up once its time is up.
    Over,
    /// It has, and its route sets no time after which it is given up.
    OverAndEndless,
}
