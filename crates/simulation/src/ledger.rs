//! The replicated value of the simulated core: a configuration's generation and content, and the configuration changes that were
//! applied. It decides about changes as the control state of the control plane does.

use std::collections::BTreeSet;

use fennelgauge_coordination::Replicated;

/// An operator's request to change the configuration. Its fields appear under these names in printed traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// The generation that the change is based on.
    pub base: u64,
    /// The generation that the configuration gets; two operators may choose the same one.
    pub generation: u64,
    /// Stands for the text of the configuration.
    pub content: u64,
}

/// What is to be done with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The order is remembered as applied: acknowledge it again.
    AlreadyApplied,
    /// The order is based on another generation than the current one, or does not raise it: reject it.
    Conflict,
    /// The order can be applied.
    New,
    /// The order is so old that it may have been applied and then forgotten: neither acknowledge nor reject it.
    Undetermined,
}

/// The replicated value: the current configuration and the most recently applied orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SimulatedConfig {
    /// The generation of the current configuration; 0 before the first change.
    pub generation: u64,
    /// The content of the last applied order.
    pub content: u64,
    /// The remembered orders, as a set.
    pub applied: BTreeSet<Order>,
    /// The last `MAX_REMEMBERED_ORDERS` applied orders, oldest first.
    remembered: Vec<Order>,
    /// The highest base among the applied orders that are no longer remembered.
    max_forgotten_base: u64,
}

const MAX_REMEMBERED_ORDERS: usize = 48;
/// Length of an encoded order: three little-endian 64-bit numbers.
const ORDER_BYTES: usize = 24;

impl SimulatedConfig {
    /// Returns what is to be done with an order.
    pub fn decide(&self, order: &Order) -> Decision {
        if self.applied.contains(order) {
            return Decision::AlreadyApplied;
        }
        match order.base == self.generation && order.generation > self.generation {
            true => Decision::New,
            false if order.base <= self.max_forgotten_base && self.max_forgotten_base > 0 => {
                Decision::Undetermined
            }
            false => Decision::Conflict,
        }
    }

    /// Returns the remembered orders, oldest first.
    pub fn orders(&self) -> &[Order] {
        &self.remembered
    }

    /// Returns the value after an order was applied.
    fn with(&self, order: Order) -> Self {
        let mut next = self.clone();
        next.generation = order.generation;
        next.content = order.content;
        next.applied.insert(order);
        next.remembered.push(order);
        while next.remembered.len() > MAX_REMEMBERED_ORDERS {
            let oldest = next.remembered.remove(0);
            next.applied.remove(&oldest);
            next.max_forgotten_base = next.max_forgotten_base.max(oldest.base);
        }
        next
    }
}

impl Order {
    /// Returns the bytes of the order as `decode` expects them.
    pub fn encode(&self) -> Vec<u8> {
        [self.base, self.generation, self.content].iter().flat_map(|number| number.to_le_bytes()).collect()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let number =
            |index: usize| Some(u64::from_le_bytes(bytes.get(8 * index..8 * index + 8)?.try_into().ok()?));
        (bytes.len() == ORDER_BYTES).then_some(())?;
        Some(Self { base: number(0)?, generation: number(1)?, content: number(2)? })
    }
}

impl Replicated for SimulatedConfig {
    fn apply(&self, change: &[u8]) -> Option<Self> {
        Some(self.with(Order::decode(change)?))
    }

    fn encode(&self) -> Vec<u8> {
        let head = [self.generation, self.content, self.max_forgotten_base];
        let mut bytes: Vec<u8> = head.iter().flat_map(|number| number.to_le_bytes()).collect();
        for order in &self.remembered {
            bytes.extend_from_slice(&order.encode());
        }
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (head, orders) = bytes.split_at_checked(ORDER_BYTES)?;
        let Order { base: generation, generation: content, content: max_forgotten_base } =
            Order::decode(head)?;
        let remembered: Option<Vec<Order>> = orders.chunks(ORDER_BYTES).map(Order::decode).collect();
        let remembered = remembered?;
        Some(Self {
            generation,
            content,
            applied: remembered.iter().copied().collect(),
            remembered,
            max_forgotten_base,
        })
    }

    /// A fast non-cryptographic hash, since the simulation creates hundreds of thousands of versions per second.
    fn digest(&self) -> u128 {
        let mut hash: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
        for number in [self.generation, self.content, self.remembered.len() as u64] {
            hash = (hash ^ u128::from(number)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b);
            hash ^= hash >> 61;
        }
        for order in &self.remembered {
            hash = (hash ^ u128::from(order.content)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b);
            hash ^= hash >> 59;
        }
        hash
    }
}
