//! The control state and how changes change it. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fennelgauge_coordination::{
    content_digest, GiveUpRecord, GiveUpRequest, GroupNumber, Replicated, StoreView,
};
use fennelgauge_encoding::{compress, decompress};
use fennelgauge_model::{apply_patch, Document};
use fennelgauge_wire::{decode, encode, ChangeKind, ConfigurationChange};
use serde::{Deserialize, Serialize};

/// Orders whose content is remembered, so that one sent again is known.
const ORDERS_KEPT: usize = 512;
/// Usage windows whose counts are kept after they were fixed.
const WINDOWS_KEPT: usize = 16;
/// A longer change goes along the chain packed.
const LONGEST_UNPACKED: usize = 2 << 10;
/// No configuration is longer.
const MOST_BYTES: usize = 64 << 20;
/// Groups that were given up are kept on record, the newest of them.
const GIVEN_UP_KEPT: usize = 256;

/// A configuration as the operator wrote it, shared by all versions that have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedConfiguration {
    json: Arc<[u8]>,
    digest: u128,
}

impl SharedConfiguration {
    pub fn new(json: Vec<u8>) -> Self {
        Self { digest: content_digest(&json), json: json.into() }
    }

    pub fn json(&self) -> &[u8] {
        &self.json
    }

    pub fn digest(&self) -> u128 {
        self.digest
    }
}

impl Default for SharedConfiguration {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

/// All that the core agrees on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// Empty before the first.
    pub configuration: SharedConfiguration,
    pub small: SmallState,
}

/// All but the configuration: what changes without it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SmallState {
    pub generation: u64,
    /// Oldest first.
    orders: Vec<TakenOrder>,
    /// The highest base among the orders that are remembered no more.
    forgotten_base: Option<u64>,
    pub stores: StoreView,
    /// Nodes that were asked to be emptied, and whether they are.
    pub retirements: BTreeMap<String, Retirement>,
    /// Counts of usage windows, fixed before they are first reported.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Oldest first.
    given_up: Vec<GiveUpRecord>,
    /// Names of batch jobs of groups whose holders were all silent.
    names: BTreeMap<GroupNumber, BTreeSet<String>>,
}

impl SmallState {
    /// Whether that very order was carried out.
    pub fn has_given_up(&self, order: &GiveUpRequest) -> bool {
        self.given_up.iter().any(|given_up| given_up.order == *order)
    }

    /// Names of a group's batch jobs that are on record.
    pub fn names_of(&self, group: GroupNumber) -> BTreeSet<String> {
        self.names.get(&group).cloned().unwrap_or_default()
    }

    /// When and by which orders a group was given up, oldest first.
    pub fn given_up_of(&self, group: GroupNumber) -> Vec<GiveUpRecord> {
        self.given_up.iter().filter(|given_up| given_up.order.group == group).cloned().collect()
    }
}

/// An order that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TakenOrder {
    /// The generation that it built on.
    base: u64,
    /// Of all that it said.
    digest: u128,
}

impl TakenOrder {
    fn of(order: &ConfigurationChange) -> Self {
        let mut whole = order.base_generation.to_le_bytes().to_vec();
        whole.push(order.kind as u8);
        whole.extend_from_slice(&order.body);
        Self { base: order.base_generation, digest: content_digest(&whole) }
    }
}

/// How far the emptying of a store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retirement {
    Running,
    Succeeded,
}

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateChange {
    Order(ConfigurationChange),
    /// Fixes the counts of a window.
    Usage {
        window: u64,
        counts: BTreeMap<String, u64>,
    },
    /// Another placement, and nodes that are empty now.
    Placement {
        stores: Option<StoreView>,
        emptied: Vec<String>,
    },
    /// A node is to be emptied.
    Retire {
        node: String,
    },
    /// Names of batch jobs of groups whose holders are all silent.
    Names {
        names: BTreeMap<GroupNumber, BTreeSet<String>>,
    },
    /// A group is begun anew, with nothing of what it held.
    GiveUp {
        given_up: GiveUpRecord,
        stores: StoreView,
    },
}

impl StateChange {
    /// As it goes along the chain: packed if it is long.
    pub fn written(&self) -> Vec<u8> {
        let bytes = encode(self);
        match bytes.len() > LONGEST_UNPACKED {
            true => encode(&Carried::Packed(compress(&bytes))),
            false => encode(&Carried::Plain(bytes)),
        }
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        let unreadable = |reason: String| log::error!("a change cannot be read: {reason}");
        let carried = decode(bytes).map_err(|reason| unreadable(reason.to_string())).ok()?;
        let bytes = match carried {
            Carried::Plain(bytes) => bytes,
            Carried::Packed(bytes) => {
                decompress(&bytes, MOST_BYTES).map_err(|reason| unreadable(reason.to_string())).ok()?
            }
        };
        decode(&bytes).map_err(|reason| unreadable(reason.to_string())).ok()
    }
}

/// How a change goes along the chain.
#[derive(Serialize, Deserialize)]
enum Carried {
    Plain(#[serde(with = "serde_bytes")] Vec<u8>),
    Packed(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// What an order comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Taken before.
    Known,
    /// It builds on so old a generation that it may have been taken and forgotten: no clear answer.
    Forgotten,
    /// Builds on another generation than the current one.
    Conflict {
        current: u64,
    },
    Invalid(String),
    New(Box<ControlState>),
}

impl ControlState {
    pub fn generation(&self) -> u64 {
        self.small.generation
    }

    /// Decides about an order.
    pub fn decide(&self, order: &ConfigurationChange) -> Decision {
        let taken = TakenOrder::of(order);
        if self.small.orders.contains(&taken) {
            return Decision::Known;
        }
        if order.base_generation != self.small.generation {
            return match self.small.forgotten_base >= Some(order.base_generation) {
                true => Decision::Forgotten,
                false => Decision::Conflict { current: self.small.generation },
            };
        }
        let document = match order.kind {
            ChangeKind::Put => Document::parse(&order.body, self.small.generation),
            ChangeKind::Patch => apply_patch(self.configuration.json(), &order.body)
                .and_then(|json| Document::parse(&json, self.small.generation)),
        };
        match document {
            Ok(document) => Decision::New(Box::new(self.with_configuration(document, taken))),
            Err(reason) => Decision::Invalid(reason.to_string()),
        }
    }

    fn with_configuration(&self, document: Document, taken: TakenOrder) -> Self {
        let mut small = self.small.clone();
        small.generation = document.configuration.generation;
        small.orders.push(taken);
        let surplus = small.orders.len().saturating_sub(ORDERS_KEPT);
        for forgotten in small.orders.drain(..surplus) {
            small.forgotten_base = small.forgotten_base.max(Some(forgotten.base));
        }
        Self { configuration: SharedConfiguration::new(document.json), small }
    }

    /// The change that fixes the counts of a window; none if they are fixed.
    pub fn usage_change(&self, window: u64, counts: BTreeMap<String, u64>) -> Option<StateChange> {
        let fixed = self.small.usage.contains_key(&window);
        (!fixed).then_some(StateChange::Usage { window, counts })
    }

    fn changed(&self, change: StateChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            StateChange::Order(order) => match self.decide(&order) {
                Decision::New(next) => return Some(*next),
                _ => return None,
            },
            StateChange::Usage { window, counts } => {
                next.small.usage.insert(window, counts);
                while next.small.usage.len() > WINDOWS_KEPT {
                    next.small.usage.pop_first();
                }
            }
            StateChange::Placement { stores, emptied } => {
                if let Some(stores) = stores {
                    next.small.stores = stores;
                }
                for node in emptied {
                    next.small.retirements.insert(node, Retirement::Succeeded);
                }
            }
            StateChange::Retire { node } => {
                let stores = &mut next.small.stores;
                let store = stores.stores.iter_mut().find(|store| store.member.identity.node == node)?;
                store.retiring = true;
                stores.epoch += 1;
                next.small.retirements.insert(node, Retirement::Running);
            }
            StateChange::Names { names } => {
                for (group, names) in names {
                    next.small.names.entry(group).or_default().extend(names);
                }
            }
            StateChange::GiveUp { given_up, stores } => {
                next.small.names.remove(&given_up.order.group);
                next.small.stores = stores;
                next.small.given_up.push(given_up);
                let surplus = next.small.given_up.len().saturating_sub(GIVEN_UP_KEPT);
                next.small.given_up.drain(..surplus);
            }
        }
        Some(next)
    }
}

impl Replicated for ControlState {
    fn apply(&self, change: &[u8]) -> Option<Self> {
        self.changed(StateChange::read(change)?)
    }

    fn encode(&self) -> Vec<u8> {
        encode(&(serde_bytes::ByteBuf::from(compress(self.configuration.json())), &self.small))
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let decoded: Result<(serde_bytes::ByteBuf, SmallState), _> = decode(bytes);
        let (json, small) = decoded.map_err(|reason| log::error!("a copy cannot be read: {reason}")).ok()?;
        let json = decompress(&json, MOST_BYTES)
            .map_err(|reason| log::error!("a copy cannot be read: {reason}"))
            .ok()?;
        Some(Self { configuration: SharedConfiguration::new(json), small })
    }

    /// Of the configuration's digest and all else: a small change does not read the configuration again.
    fn digest(&self) -> u128 {
        content_digest(&encode(&(self.configuration.digest, &self.small)))
    }
}

#[cfg(test)]
mod tests;
