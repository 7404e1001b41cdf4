//! A store's disk: writes one after the other, each whole or missing.

use std::collections::VecDeque;

use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::{Entry, GroupCopy};

use crate::chance::Chance;
use crate::day::{Micros, MILLISECOND};

const SYNC: (Micros, Micros) = (2 * MILLISECOND, 14 * MILLISECOND);
/// A write that takes longer keeps the store silent, as in the program.
const SLOW_WRITE: Micros = 800 * MILLISECOND;

#[derive(Clone, Debug)]
pub enum Record {
    Entry(Entry),
    Copy { group: GroupNumber, copy: GroupCopy },
}

#[derive(Clone, Debug)]
struct Write {
    number: u64,
    records: Vec<Record>,
    began: Micros,
}

#[derive(Debug, Default)]
pub struct Disk {
    /// What outlives the process.
    pub records: Vec<Record>,
    waiting: VecDeque<Write>,
    next: u64,
    busy_until: Micros,
    /// Until when writes take so many times as long.
    slow: Option<(Micros, u64)>,
}

impl Disk {
    /// Hands records over; gives the number of the write and when it is done.
    pub fn write(&mut self, now: Micros, records: Vec<Record>, chance: &mut Chance) -> (u64, Micros) {
        let times = self.slow.filter(|(until, _)| now < *until).map_or(1, |(_, times)| times);
        let done = self.busy_until.max(now) + chance.between(SYNC.0, SYNC.1) * times;
        self.busy_until = done;
        self.next += 1;
        self.waiting.push_back(Write { number: self.next, records, began: now });
        (self.next, done)
    }

    /// The write of that number is on the disk.
    pub fn written(&mut self, number: u64) {
        while self.waiting.front().is_some_and(|write| write.number <= number) {
            self.records.extend(self.waiting.pop_front().into_iter().flat_map(|write| write.records));
        }
    }

    pub fn slow_down(&mut self, until: Micros, times: u64) {
        self.slow = Some((until, times));
    }

    /// Whether a write takes too long.
    pub fn is_in_trouble(&self, now: Micros) -> bool {
        self.waiting.front().is_some_and(|write| now > write.began + SLOW_WRITE)
    }

    /// The process ends: of the writes that were not done, the first ones may be there.
    pub fn end(&mut self, chance: &mut Chance) {
        let kept = chance.below(self.waiting.len() + 1);
        for write in self.waiting.drain(..).take(kept) {
            self.records.extend(write.records);
        }
        self.busy_until = 0;
    }

    /// All is lost.
    pub fn wipe(&mut self) {
        *self = Self { next: self.next, ..Self::default() };
    }
}
