//! What is to happen in a simulated play, in the order of time; what falls on one moment goes in the order in which
//! it was put, so that a play is the same to the byte each time.

use fennelgauge::time::Moment;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: Moment,
    number: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    put: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), put: 0 }
    }
}

impl<T> Queue<T> {
    pub fn put(&mut self, at: Moment, what: T) {
        self.put += 1;
        self.heap.push(Reverse(Entry { at, number: self.put, what }));
    }

    pub fn pop(&mut self) -> Option<(Moment, T)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }
}
