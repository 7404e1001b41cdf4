//! The simulated platform: receives the calls of the core's duties and judges their fences.

use std::collections::BTreeMap;

/// Number of subjects for which the head calls in each round of its duties.
pub const SUBJECTS: usize = 4;

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    /// What the call is about, below [`SUBJECTS`].
    pub subject: usize,
    /// The fencing token of the call.
    pub fence: u64,
}

/// Remembers which machine has used each fence, by subject.
#[derive(Debug, Default)]
pub struct Platform {
    holders: BTreeMap<(usize, u64), usize>,
    highest_fences: BTreeMap<usize, u64>,
    /// Number of calls that were carried out.
    pub accepted: u64,
    /// Number of calls that were refused because a higher fence was used before.
    pub refused: u64,
}

impl Platform {
    /// Handles a call of a machine. Returns a description if another machine has called with the same fence, so that the
    /// platform cannot tell which of them holds the duty.
    pub fn handle_call(&mut self, machine: usize, call: PlatformCall) -> Option<String> {
        let highest = self.highest_fences.entry(call.subject).or_default();
        if call.fence < *highest {
            self.refused += 1;
        } else {
            *highest = call.fence;
            self.accepted += 1;
        }
        let holder = *self.holders.entry((call.subject, call.fence)).or_insert(machine);
        (holder != machine).then(|| {
            format!(
                "machines {holder} and {machine} called for subject {} with fence {}",
                call.subject, call.fence
            )
        })
    }
}
