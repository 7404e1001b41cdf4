//! The control state and how orders change it. Pure.

use std::collections::BTreeMap;

use fennelgauge_coordination::StoreView;
use fennelgauge_model::{patched, stable_hash, Document};
use fennelgauge_wire::{Order, OrderKind};
use serde::{Deserialize, Serialize};

/// Orders whose content is remembered, so that one sent again is known.
const ORDERS_KEPT: usize = 512;
/// Usage windows whose counts are kept after they were fixed.
const WINDOWS_KEPT: usize = 16;

/// All that the core agrees on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    pub generation: u64,
    /// The configuration as JSON; empty before the first.
    #[serde(with = "serde_bytes")]
    pub configuration: Vec<u8>,
    /// Oldest first.
    pub orders: Vec<OrderDigest>,
    pub stores: StoreView,
    /// Nodes that were asked to be emptied, and whether they are.
    pub retirements: BTreeMap<String, Retirement>,
    /// Counts of usage windows, fixed before they are first reported.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
}

/// The content of an order, shortened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderDigest(u64, u64);

impl OrderDigest {
    pub fn of(order: &Order) -> Self {
        let mut keyed = order.base.to_le_bytes().to_vec();
        keyed.push(order.kind as u8);
        keyed.extend_from_slice(&order.body);
        let first = stable_hash(&keyed);
        keyed.extend_from_slice(&first.to_le_bytes());
        keyed.reverse();
        Self(first, stable_hash(&keyed))
    }
}

/// How far the emptying of a store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retirement {
    Running,
    Succeeded,
}

/// What an order comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Taken before.
    Known,
    /// Builds on another generation than the current one.
    Conflict {
        current: u64,
    },
    Invalid(String),
    New(ControlState),
}

impl ControlState {
    /// Decides about an order.
    pub fn decide(&self, order: &Order) -> Decision {
        let digest = OrderDigest::of(order);
        if self.orders.contains(&digest) {
            return Decision::Known;
        }
        if order.base != self.generation {
            return Decision::Conflict { current: self.generation };
        }
        let document = match order.kind {
            OrderKind::Put => Document::parse(&order.body, self.generation),
            OrderKind::Patch => patched(&self.configuration, &order.body)
                .and_then(|json| Document::parse(&json, self.generation)),
        };
        match document {
            Ok(document) => Decision::New(self.with_configuration(document, digest)),
            Err(reason) => Decision::Invalid(reason.to_string()),
        }
    }

    fn with_configuration(&self, document: Document, digest: OrderDigest) -> Self {
        let mut next = self.clone();
        next.generation = document.configuration.generation;
        next.configuration = document.json;
        next.orders.push(digest);
        let surplus = next.orders.len().saturating_sub(ORDERS_KEPT);
        next.orders.drain(..surplus);
        next
    }

    /// Fixes the counts of a window; none if they are fixed.
    pub fn with_usage(&self, window: u64, counts: BTreeMap<String, u64>) -> Option<Self> {
        if self.usage.contains_key(&window) {
            return None;
        }
        let mut next = self.clone();
        next.usage.insert(window, counts);
        while next.usage.len() > WINDOWS_KEPT {
            next.usage.pop_first();
        }
        Some(next)
    }
}
