//! The counter: sums by name, on parts that serve calls in turn. It may be slow, full, silent, lose counts, fall
//! into two halves that don't hear each other, or be replaced by another that begins from zero.

use crate::scenario::Counter as Figures;
use crate::timeline::OnCounter;
use fennelgauge::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    /// The total, and when its turn has come.
    Total(f64, Moment),
    Busy,
    Nothing,
}

#[derive(Clone, Debug)]
struct Half {
    /// Total and end of life, by name.
    counts: BTreeMap<u64, (f64, Moment)>,
    /// When each part has worked off what it has taken.
    free: Vec<Moment>,
}

#[derive(Clone, Debug)]
pub struct Counter {
    figures: Figures,
    halves: [Half; 2],
    /// Limiters that speak with the second half.
    split: BTreeSet<u32>,
    silent: bool,
    busy: bool,
    slow: f64,
    pub calls: u64,
}

/// As the protocol has it: names live a minute at most.
const LONGEST: Span = Span::from_millis(60_000);

impl Counter {
    pub fn new(figures: &Figures) -> Self {
        let free = vec![Moment::default(); figures.parts.max(1) as usize];
        let half = Half { counts: BTreeMap::new(), free };
        Self {
            figures: figures.clone(),
            halves: [half.clone(), half],
            split: BTreeSet::new(),
            silent: false,
            busy: false,
            slow: 1.0,
            calls: 0,
        }
    }

    /// A limiter's call. Calls for one name are answered in their order.
    pub fn call(&mut self, now: Moment, gateway: u32, name: u64, amount: f64, keep: Span) -> Told {
        self.calls += 1;
        if self.silent {
            return Told::Nothing;
        }
        if self.busy {
            return Told::Busy;
        }
        let half = &mut self.halves[usize::from(self.split.contains(&gateway))];
        let part = (name % half.free.len() as u64) as usize;
        let each = self.slow / self.figures.per_s;
        let turn = half.free[part].max(now);
        if turn.since(now).secs() > each * f64::from(self.figures.line) {
            return Told::Busy;
        }
        half.free[part] = turn + Span::from_secs(each);
        if half.counts.len().is_power_of_two() {
            half.counts.retain(|_, count| count.1 > now);
        }
        let fresh = (0.0, now + keep.min(LONGEST));
        let count = half.counts.entry(name).or_insert(fresh);
        if count.1 <= now {
            *count = fresh;
        }
        count.0 += amount;
        // Seven digits of a total are exact.
        let total = f64::from(count.0 as f32);
        Told::Total(total, half.free[part] + Span::from_secs(self.figures.answer_ms * self.slow / 1e3))
    }

    /// `draw` gives chances from 0 to 1 for the counts that a flush looks at.
    pub fn hit(&mut self, act: &OnCounter, mut draw: impl FnMut() -> f64) {
        match act {
            OnCounter::Silent(silent) => self.silent = *silent,
            OnCounter::Busy(busy) => self.busy = *busy,
            OnCounter::Slow(times) => self.slow = *times,
            OnCounter::Flush(share) => {
                self.halves.iter_mut().for_each(|half| half.counts.retain(|_, _| draw() >= *share));
            }
            OnCounter::Split(apart) => {
                // At first both know the same; afterwards only what the first half was told.
                self.halves[1] = self.halves[0].clone();
                self.split = apart.clone();
            }
            OnCounter::Replace => self.halves.iter_mut().for_each(|half| half.counts.clear()),
        }
    }
}

#[cfg(test)]
mod tests;
