//! Operators: each sends one order at a time, to any machine, and again until the answer is clear.

use crate::chance::Chance;
use crate::day::{Micros, MILLISECOND};
use crate::ledger::Order;

/// What is asked of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Order(Order),
    Read,
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// At this place in the history, or before it.
    Acknowledged {
        place: u64,
    },
    Conflict,
    Value {
        generation: u64,
        place: u64,
    },
    /// Nothing is said: ask again.
    Unsure,
}

/// Silence is waited for so long.
pub const PATIENCE: Micros = 1_000 * MILLISECOND;

/// One operator.
#[derive(Debug)]
pub struct Operator {
    /// The generation that it builds on.
    base: u64,
    /// Sent and not clearly answered.
    order: Option<Order>,
    /// The newest question; answers to earlier ones are passed over.
    pub attempt: u64,
    /// What was acknowledged when the question was asked.
    pub floor: u64,
    tries: u64,
    /// After a refusal the base has to be read first.
    knows_base: bool,
    pub only_reads: bool,
}

impl Operator {
    pub fn new(only_reads: bool) -> Self {
        Self { base: 0, order: None, attempt: 0, floor: 0, tries: 0, knows_base: true, only_reads }
    }

    /// What it asks next.
    pub fn ask(&mut self, chance: &mut Chance) -> Ask {
        self.attempt += 1;
        self.tries += 1;
        if self.only_reads || !self.knows_base {
            return Ask::Read;
        }
        let base = self.base;
        let order = self.order.get_or_insert_with(|| Order {
            base,
            generation: base + 1 + chance.below(3) as u64,
            content: chance.number(),
        });
        Ask::Order(*order)
    }

    pub fn current_order(&self) -> Option<Order> {
        self.order
    }

    /// The order is over, taken or refused, or a read was answered; the generation that is current now, where it is known.
    pub fn finish(&mut self, generation: Option<u64>) {
        self.order = None;
        self.tries = 0;
        self.knows_base = generation.is_some();
        self.base = generation.unwrap_or(self.base);
    }

    /// A growing pause after an answer that was none.
    pub fn pause(&self, chance: &mut Chance) -> Micros {
        chance.between(20, 60 + 60 * self.tries.min(8)) * MILLISECOND
    }
}
