//! Simulated operators. Each sends one order at a time to a random machine, and repeats it until it receives a definite answer.

use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND};
use crate::ledger::Order;

/// A request of an operator to a machine. It is printed in traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Change the configuration.
    Order(Order),
    /// Read the current generation.
    Read,
}

/// The response of a machine to an operator. It is printed in traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order is committed.
    Acknowledged {
        /// The sequence number at which the order was committed, or a later one.
        place: u64,
    },
    /// The order is rejected: it is based on an outdated generation.
    Conflict,
    /// The response to a read.
    Value {
        generation: u64,
        /// The sequence number of the version that was read.
        place: u64,
    },
    /// The outcome is unknown: send the request again.
    Unsure,
}

/// Time without a response after which an operator sends its request again.
pub const RESPONSE_TIMEOUT: Micros = 1_000 * MILLISECOND;

/// A simulated operator.
#[derive(Debug)]
pub struct Operator {
    /// The generation that the next order is based on.
    base_generation: u64,
    /// The order that was sent and has no definite answer yet.
    pending_order: Option<Order>,
    /// Number of the latest request; responses to earlier ones are ignored.
    pub attempt: u64,
    /// The lowest sequence number that a response to the latest request may have been read at.
    pub min_read_position: u64,
    /// Requests sent since the last definite answer.
    attempts_since_answer: u64,
    /// False after a rejection, until the current generation was read.
    is_base_known: bool,
    /// The operator never sends orders.
    pub only_reads: bool,
}

impl Operator {
    /// Creates an operator that bases its first order on generation 0.
    pub fn new(only_reads: bool) -> Self {
        Self {
            base_generation: 0,
            pending_order: None,
            attempt: 0,
            min_read_position: 0,
            attempts_since_answer: 0,
            is_base_known: true,
            only_reads,
        }
    }

    /// Returns the next request: a read, the pending order again, or a new random order.
    pub fn ask(&mut self, rng: &mut SeededRng) -> Ask {
        self.attempt += 1;
        self.attempts_since_answer += 1;
        if self.only_reads || !self.is_base_known {
            return Ask::Read;
        }
        let base = self.base_generation;
        let order = self.pending_order.get_or_insert_with(|| Order {
            base,
            generation: base + 1 + rng.below(3) as u64,
            content: rng.next_u64(),
        });
        Ask::Order(*order)
    }

    /// Returns the order that was sent and has no definite answer yet.
    pub fn pending_order(&self) -> Option<Order> {
        self.pending_order
    }

    /// Records a definite answer to an order or a read, with the current generation if the answer tells it.
    pub fn finish(&mut self, generation: Option<u64>) {
        self.pending_order = None;
        self.attempts_since_answer = 0;
        self.is_base_known = generation.is_some();
        self.base_generation = generation.unwrap_or(self.base_generation);
    }

    /// Returns a random delay before the next attempt, which grows with the number of attempts.
    pub fn retry_delay(&self, rng: &mut SeededRng) -> Micros {
        rng.between(20, 60 + 60 * self.attempts_since_answer.min(8)) * MILLISECOND
    }
}
