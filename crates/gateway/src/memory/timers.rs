//! Timers of the event loop.

use fennelgauge::time::Moment;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer of the policy module, by its timer id.
    Policy(u64),
    /// The time limit of a relay, by the key of its connection and its serial number.
    RelayTimeout(u64, u64),
    /// The time limit for establishing a server connection, by its key.
    ConnectTimeout(u64),
    /// The time limit of a call to the counter service, by the call's number.
    CounterTimeout(u64),
    /// A client connection, by its key, has more pipelined requests than are processed at once.
    ServeClient(u64),
    /// The next request to service discovery.
    PollDiscovery,
    /// The time limit for the first reply of service discovery; then the configured list is used.
    DiscoveryTimeout,
    /// Closes idle and stalled connections and removes expired entries.
    Sweep,
    /// End of the grace period in which a stopping gateway accepts connections.
    StopAccepting,
}

/// Queue of timers, ordered by time and then by creation.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Moment, u64, TimerKind)>>,
    next_sequence: u64,
}

impl Timers {
    /// Adds a timer that expires at `at`.
    pub fn schedule(&mut self, at: Moment, kind: TimerKind) {
        self.next_sequence += 1;
        self.heap.push(Reverse((at, self.next_sequence, kind)));
    }

    /// Returns the earliest timer for which `is_relevant` is true, and discards those before it.
    pub fn peek_relevant(&mut self, is_relevant: impl Fn(TimerKind) -> bool) -> Option<(Moment, TimerKind)> {
        loop {
            let (at, _, kind) = self.heap.peek()?.0;
            if is_relevant(kind) {
                return Some((at, kind));
            }
            self.heap.pop();
        }
    }

    /// Removes the earliest timer.
    pub fn pop(&mut self) {
        self.heap.pop();
    }
}
