//! What is due, and when.

use fennelgauge::time::Moment;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module asked to be woken with this mark.
    Module(u64),
    /// The patience for a relay, by its connection and its own number, is over.
    Patience(u64, u64),
    /// A connection should have come up.
    Connected(u64),
    /// A call should have been answered.
    Counted(u64),
    /// A client has written more requests than are taken in one turn.
    Serve(u64),
    /// Discovery is to be asked again.
    Watch,
    /// Discovery should have answered for the first time.
    Known,
    /// Connections are looked over for those that stand still.
    Sweep,
    /// The time in which a stopping gateway takes new connections is over.
    Closed,
}

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Moment, u64, Due)>>,
    set: u64,
}

impl Timers {
    pub fn set(&mut self, at: Moment, due: Due) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, due)));
    }

    /// The first one that still matters.
    pub fn next(&mut self, matters: impl Fn(Due) -> bool) -> Option<(Moment, Due)> {
        loop {
            let (at, _, due) = self.heap.peek()?.0;
            if matters(due) {
                return Some((at, due));
            }
            self.heap.pop();
        }
    }

    pub fn pop(&mut self) {
        self.heap.pop();
    }
}
