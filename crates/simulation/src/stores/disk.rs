//! A store's disk: writes one after the other, each whole or missing. It may be slow, stall, or be full; after a write that failed
//! nothing counts until everything was written anew.

use std::collections::VecDeque;

use fennelgauge_coordination::GroupNumber;
use fennelgauge_replication::{Entry, GroupSnapshot};

use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND};

const SYNC: (Micros, Micros) = (2 * MILLISECOND, 14 * MILLISECOND);
/// A write that takes longer keeps the store silent, as in the program.
const SLOW_WRITE: Micros = 800 * MILLISECOND;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    Entry(Entry),
    Copy { group: GroupNumber, copy: GroupSnapshot },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    number: u64,
    records: Vec<Record>,
    began: Micros,
    /// Holds all that counts.
    whole: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Disk {
    /// What outlives the process.
    pub records: Vec<Record>,
    waiting: VecDeque<Write>,
    next: u64,
    busy_until: Micros,
    /// Until when writes take so many times as long.
    slow: Option<(Micros, u64)>,
    full_until: Micros,
    stalled_until: Micros,
    /// A write failed, and not all was written anew.
    lacking: bool,
    /// A sync takes so long, where that is not drawn.
    pub fixed_sync: Option<Micros>,
    pub syncs: u64,
}

impl Disk {
    /// Hands records over; gives the number of the write and when it is done.
    pub fn write(&mut self, now: Micros, records: Vec<Record>, chance: &mut SeededRng) -> (u64, Micros) {
        self.hand_over(now, records, false, chance)
    }

    /// The same, of all that counts.
    pub fn write_whole(
        &mut self,
        now: Micros,
        records: Vec<Record>,
        chance: &mut SeededRng,
    ) -> (u64, Micros) {
        self.hand_over(now, records, true, chance)
    }

    fn hand_over(
        &mut self,
        now: Micros,
        records: Vec<Record>,
        whole: bool,
        chance: &mut SeededRng,
    ) -> (u64, Micros) {
        let times = self.slow.filter(|(until, _)| now < *until).map_or(1, |(_, times)| times);
        let sync = self.fixed_sync.unwrap_or_else(|| chance.between(SYNC.0, SYNC.1));
        let done = match records.is_empty() {
            // Nothing to write: it waits for what is before it.
            true => self.busy_until.max(now),
            false => self.busy_until.max(now).max(self.stalled_until) + sync * times,
        };
        self.syncs += u64::from(!records.is_empty());
        self.busy_until = done;
        self.next += 1;
        self.waiting.push_back(Write { number: self.next, records, began: now, whole });
        (self.next, done)
    }

    /// The write of that number, and those before it, have ended: whether it is on the disk.
    pub fn written(&mut self, number: u64, now: Micros) -> bool {
        let mut on_disk = !self.lacking;
        while self.waiting.front().is_some_and(|write| write.number <= number) {
            let Some(write) = self.waiting.pop_front() else { break };
            let fails = now < self.full_until || (self.lacking && !write.whole);
            on_disk = !fails;
            self.lacking |= fails && !write.records.is_empty();
            if fails {
                continue;
            }
            if write.whole {
                self.lacking = false;
                self.records.clear();
            }
            self.records.extend(write.records);
        }
        on_disk
    }

    pub fn slow_down(&mut self, until: Micros, times: u64) {
        self.slow = Some((until, times));
    }

    /// Takes nothing any more for a time.
    pub fn fill_up(&mut self, until: Micros) {
        self.full_until = until;
    }

    /// Writes nothing for a time, what was handed over included.
    pub fn stall(&mut self, until: Micros) {
        self.stalled_until = until;
        self.busy_until = self.busy_until.max(until);
    }

    /// Until when a write that would end now is held up.
    pub fn stalled_until(&self, now: Micros) -> Option<Micros> {
        Some(self.stalled_until).filter(|until| now < *until)
    }

    /// Troubles end.
    pub fn heal(&mut self) {
        (self.slow, self.full_until, self.stalled_until) = (None, 0, 0);
    }

    /// Whether the last write failed.
    pub fn has_failed(&self) -> bool {
        self.lacking
    }

    /// Whether a write failed or takes too long.
    pub fn is_in_trouble(&self, now: Micros) -> bool {
        self.lacking || self.waiting.front().is_some_and(|write| now > write.began + SLOW_WRITE)
    }

    /// Number of the oldest write that is not done.
    pub fn oldest_waiting(&self) -> Option<u64> {
        self.waiting.front().map(|write| write.number)
    }

    /// Forgets how busy it is: for who has no time.
    pub fn be_idle(&mut self) {
        self.busy_until = 0;
    }

    /// The process ends: of the writes that were not done, the first ones may be there.
    pub fn end(&mut self, chance: &mut SeededRng) {
        let kept = chance.below(self.waiting.len() + 1);
        self.end_keeping(kept);
    }

    /// The process ends: of the writes that were not done, so many are there.
    pub fn end_keeping(&mut self, kept: usize) {
        let lacking = self.lacking || self.full_until > 0;
        for write in self.waiting.drain(..).take(kept) {
            if !lacking {
                self.records.extend(write.records);
            }
        }
        self.busy_until = 0;
        self.lacking = false;
    }

    /// All is lost.
    pub fn wipe(&mut self) {
        *self = Self { next: self.next, syncs: self.syncs, fixed_sync: self.fixed_sync, ..Self::default() };
    }
}
