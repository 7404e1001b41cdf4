//! The right to carry out the duties of the core's head towards outside systems, which refuse a holder that was replaced by
//! the fencing token of its calls.

use std::time::Duration;

use crate::replica::PlantedBug;
use crate::{Coordinator, Replicated};

/// The right to carry out the head's duties in one view. It is taken together with the check of that right and carried by
/// every call that follows from the check, so that a head that was replaced meanwhile never calls in its successor's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken {
    epoch: u64,
}

impl FencingToken {
    /// Returns the number to send: it rises whenever the holder changes.
    pub fn number(self) -> u64 {
        self.epoch
    }
}

impl<S: Replicated> Coordinator<S> {
    /// Returns the token of the head's duties if this machine is the head of a view that a majority confirmed recently and
    /// that began at least `settling_time` ago.
    pub fn duty_token(&self, now: Duration, settling_time: Duration) -> Option<FencingToken> {
        let has_settled = now.saturating_sub(self.view_installed_at()) >= settling_time;
        self.confirmed_head_token(now).filter(|_| has_settled)
    }

    /// Returns the token to send with a call, if the right that `held` stands for still holds: this machine is still the head
    /// of the same view, and a majority confirmed that recently. To be asked right before each call.
    pub fn authorize_call(&self, now: Duration, held: FencingToken) -> Option<FencingToken> {
        if self.replica().has(PlantedBug::FenceReadAtCall) {
            return Some(FencingToken { epoch: self.replica().view().epoch });
        }
        self.confirmed_head_token(now).filter(|current| *current == held)
    }

    /// Whether a majority confirmed this machine's view recently.
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.quorum_confirmed_at()
            .is_some_and(|at| now.saturating_sub(at) < self.timing().confirmation_max_age)
    }

    fn confirmed_head_token(&self, now: Duration) -> Option<FencingToken> {
        let is_holder = self.replica().is_head() && self.is_confirmed(now);
        is_holder.then(|| FencingToken { epoch: self.replica().view().epoch })
    }
}
