//! The value that the simulated core keeps: a configuration's number and content, and the orders that were taken. It decides
//! about orders as the control state does.

use std::collections::BTreeSet;

use fennelgauge_coordination::Replicated;

/// An operator's order: what it builds on, and its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    pub base: u64,
    /// The number that the configuration gets; two operators may choose the same.
    pub generation: u64,
    pub content: u64,
}

/// What an order comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Known,
    Conflict,
    New,
    /// So old that it may have been taken and forgotten: no clear answer.
    Forgotten,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub generation: u64,
    pub content: u64,
    pub taken: BTreeSet<Order>,
    /// Oldest first; so many are remembered.
    order: Vec<Order>,
    /// The highest base among the orders that are remembered no more.
    forgotten: u64,
}

const ORDERS_KEPT: usize = 48;
const ORDER_BYTES: usize = 24;

impl Ledger {
    pub fn decide(&self, order: &Order) -> Decision {
        if self.taken.contains(order) {
            return Decision::Known;
        }
        match order.base == self.generation && order.generation > self.generation {
            true => Decision::New,
            false if order.base <= self.forgotten && self.forgotten > 0 => Decision::Forgotten,
            false => Decision::Conflict,
        }
    }

    /// Orders that are remembered, oldest first.
    pub fn orders(&self) -> &[Order] {
        &self.order
    }

    fn with(&self, order: Order) -> Self {
        let mut next = self.clone();
        next.generation = order.generation;
        next.content = order.content;
        next.taken.insert(order);
        next.order.push(order);
        while next.order.len() > ORDERS_KEPT {
            let oldest = next.order.remove(0);
            next.taken.remove(&oldest);
            next.forgotten = next.forgotten.max(oldest.base);
        }
        next
    }
}

impl Order {
    pub fn encode(&self) -> Vec<u8> {
        [self.base, self.generation, self.content].iter().flat_map(|number| number.to_le_bytes()).collect()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let number = |at: usize| Some(u64::from_le_bytes(bytes.get(8 * at..8 * at + 8)?.try_into().ok()?));
        (bytes.len() == ORDER_BYTES).then_some(())?;
        Some(Self { base: number(0)?, generation: number(1)?, content: number(2)? })
    }
}

impl Replicated for Ledger {
    fn apply(&self, change: &[u8]) -> Option<Self> {
        Some(self.with(Order::decode(change)?))
    }

    fn encode(&self) -> Vec<u8> {
        let head = [self.generation, self.content, self.forgotten];
        let mut bytes: Vec<u8> = head.iter().flat_map(|number| number.to_le_bytes()).collect();
        for order in &self.order {
            bytes.extend_from_slice(&order.encode());
        }
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (head, orders) = bytes.split_at_checked(ORDER_BYTES)?;
        let Order { base: generation, generation: content, content: forgotten } = Order::decode(head)?;
        let order: Option<Vec<Order>> = orders.chunks(ORDER_BYTES).map(Order::decode).collect();
        let order = order?;
        Some(Self { generation, content, taken: order.iter().copied().collect(), order, forgotten })
    }

    /// A quick mix: the simulation makes hundreds of thousands of versions a second.
    fn digest(&self) -> u128 {
        let mut hash: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
        for byte in [self.generation, self.content, self.order.len() as u64] {
            hash = (hash ^ u128::from(byte)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b);
            hash ^= hash >> 61;
        }
        for order in &self.order {
            hash = (hash ^ u128::from(order.content)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b);
            hash ^= hash >> 59;
        }
        hash
    }
}
