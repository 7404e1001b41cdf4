//! The control state, which the core replicates, and the changes to it. Does no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fennelgauge_coordination::{
    content_digest, GiveUpRecord, GiveUpRequest, GroupNumber, Replicated, StoreView,
};
use fennelgauge_encoding::{compress, decompress};
use fennelgauge_model::{apply_patch, Document};
use fennelgauge_wire::{decode, encode, ChangeKind, ConfigurationChange};
use serde::{Deserialize, Serialize};

/// Number of configuration changes whose digests are remembered, so that a change sent again is recognized.
const MAX_REMEMBERED_CHANGES: usize = 512;
/// Number of usage windows whose committed counts are kept.
const MAX_USAGE_WINDOWS: usize = 16;
/// Size in bytes above which a change is compressed for the chain.
const COMPRESSION_THRESHOLD_BYTES: usize = 2 << 10;
/// Limit on the size of a decompressed configuration or change, in bytes.
const MAX_DECOMPRESSED_BYTES: usize = 64 << 20;
/// Number of records of given-up groups that are kept.
const MAX_GIVEN_UP_RECORDS: usize = 256;

/// The text of a configuration as the operator sent it, with its digest. Clones share the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedConfiguration {
    json: Arc<[u8]>,
    digest: u128,
}

impl SharedConfiguration {
    /// Takes a configuration's JSON text and computes its digest.
    pub fn new(json: Vec<u8>) -> Self {
        Self { digest: content_digest(&json), json: json.into() }
    }

    /// Returns the JSON text.
    pub fn json(&self) -> &[u8] {
        &self.json
    }

    /// Returns the digest of the text.
    pub fn digest(&self) -> u128 {
        self.digest
    }
}

impl Default for SharedConfiguration {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

/// Everything that the core replicates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The current configuration; empty before the first one.
    pub configuration: SharedConfiguration,
    /// Everything else.
    pub metadata: ControlMetadata,
}

/// The control state other than the text of the configuration. It is small, and changes without the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMetadata {
    /// Generation of the current configuration; 0 before the first one.
    pub generation: u64,
    /// The newest applied configuration changes, oldest first.
    applied_changes: Vec<AppliedChange>,
    /// The highest base generation of the applied changes that are no longer in `applied_changes`.
    max_forgotten_base: Option<u64>,
    /// The stores and the placement of groups on them.
    pub stores: StoreView,
    /// Store nodes that an operator retires, and whether their groups have been moved away.
    pub retirements: BTreeMap<String, Retirement>,
    /// Committed request counts by usage window and tenant. A window's counts never change.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Groups that operators gave up, oldest first.
    given_up: Vec<GiveUpRecord>,
    /// Ids of batch jobs that would be lost with their group, recorded while all holders of the group were silent.
    lost_jobs: BTreeMap<GroupNumber, BTreeSet<String>>,
}

impl ControlMetadata {
    /// Returns true if exactly this order to give up a group was carried out.
    pub fn has_given_up(&self, order: &GiveUpRequest) -> bool {
        self.given_up.iter().any(|given_up| given_up.order == *order)
    }

    /// Returns the recorded ids of a group's batch jobs that would be lost with it.
    pub fn lost_jobs_of(&self, group: GroupNumber) -> BTreeSet<String> {
        self.lost_jobs.get(&group).cloned().unwrap_or_default()
    }

    /// Returns the records of a group having been given up, oldest first.
    pub fn given_up_records(&self, group: GroupNumber) -> Vec<GiveUpRecord> {
        self.given_up.iter().filter(|given_up| given_up.order.group == group).cloned().collect()
    }
}

/// Identifies a configuration change that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AppliedChange {
    /// Generation that the change was based on.
    base_generation: u64,
    /// Digest of the base generation, the kind and the body.
    digest: u128,
}

impl AppliedChange {
    fn from_change(change: &ConfigurationChange) -> Self {
        let mut content = change.base_generation.to_le_bytes().to_vec();
        content.push(change.kind as u8);
        content.extend_from_slice(&change.body);
        Self { base_generation: change.base_generation, digest: content_digest(&content) }
    }
}

/// Progress of a store's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retirement {
    /// The store still holds data.
    Running,
    /// The store holds no data any more.
    Succeeded,
}

/// A change to the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateChange {
    /// Replaces or patches the configuration.
    Configure(ConfigurationChange),
    /// Commits the request counts of a usage window.
    CommitUsage {
        /// Number of the window.
        window: u64,
        /// Requests by tenant.
        counts: BTreeMap<String, u64>,
    },
    /// Replaces the placement of groups, if `stores` is set, and marks retiring nodes that hold no data any more.
    Placement {
        /// The new store view, if the placement changes.
        stores: Option<StoreView>,
        /// Retiring nodes that hold no data any more.
        emptied: Vec<String>,
    },
    /// Begins the retirement of a store node.
    Retire {
        /// Name of the node.
        node: String,
    },
    /// Records ids of batch jobs in groups whose holders are all silent.
    RecordLostJobs {
        /// Ids of batch jobs by group.
        lost_jobs: BTreeMap<GroupNumber, BTreeSet<String>>,
    },
    /// Replaces a group by an empty one, as an operator ordered.
    GiveUp {
        /// The operator's order and its effect, for the record.
        given_up: GiveUpRecord,
        /// The store view in which the group starts again.
        stores: StoreView,
    },
}

impl StateChange {
    /// Encodes the change for the chain, compressed if it is long.
    pub fn encode_for_chain(&self) -> Vec<u8> {
        let bytes = encode(self);
        match bytes.len() > COMPRESSION_THRESHOLD_BYTES {
            true => encode(&EncodedChange::Compressed(compress(&bytes))),
            false => encode(&EncodedChange::Plain(bytes)),
        }
    }

    /// Decodes a change; logs the reason and returns `None` if that fails.
    fn decode_from_chain(bytes: &[u8]) -> Option<Self> {
        let log_failure = |reason: String| log::error!("control-state change cannot be decoded: {reason}");
        let encoded = decode(bytes).map_err(|reason| log_failure(reason.to_string())).ok()?;
        let bytes = match encoded {
            EncodedChange::Plain(bytes) => bytes,
            EncodedChange::Compressed(bytes) => decompress(&bytes, MAX_DECOMPRESSED_BYTES)
                .map_err(|reason| log_failure(reason.to_string()))
                .ok()?,
        };
        decode(&bytes).map_err(|reason| log_failure(reason.to_string())).ok()
    }
}

/// An encoded change, as it is sent along the chain.
#[derive(Serialize, Deserialize)]
enum EncodedChange {
    Plain(#[serde(with = "serde_bytes")] Vec<u8>),
    Compressed(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// The decision about a configuration change.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The same change was applied before.
    AlreadyApplied,
    /// The change is based on a generation so old that it may have been applied and forgotten, so neither success nor
    /// failure can be reported.
    Undetermined,
    /// The change is based on another generation than the current one.
    Conflict {
        /// The current generation.
        current: u64,
    },
    /// The resulting configuration is invalid; holds the reason for the operator.
    Invalid(String),
    /// The change is valid; holds the state after it.
    New(Box<ControlState>),
}

impl ControlState {
    /// Returns the generation of the current configuration; 0 before the first one.
    pub fn generation(&self) -> u64 {
        self.metadata.generation
    }

    /// Decides whether a configuration change can be applied.
    pub fn decide(&self, change: &ConfigurationChange) -> Decision {
        let applied = AppliedChange::from_change(change);
        if self.metadata.applied_changes.contains(&applied) {
            return Decision::AlreadyApplied;
        }
        if change.base_generation != self.metadata.generation {
            return match self.metadata.max_forgotten_base >= Some(change.base_generation) {
                true => Decision::Undetermined,
                false => Decision::Conflict { current: self.metadata.generation },
            };
        }
        let document = match change.kind {
            ChangeKind::Put => Document::parse(&change.body, self.metadata.generation),
            ChangeKind::Patch => apply_patch(self.configuration.json(), &change.body)
                .and_then(|json| Document::parse(&json, self.metadata.generation)),
        };
        match document {
            Ok(document) => Decision::New(Box::new(self.with_configuration(document, applied))),
            Err(reason) => Decision::Invalid(reason.to_string()),
        }
    }

    /// Returns the state with a new configuration, and remembers the change that led to it.
    fn with_configuration(&self, document: Document, applied: AppliedChange) -> Self {
        let mut metadata = self.metadata.clone();
        metadata.generation = document.configuration.generation;
        metadata.applied_changes.push(applied);
        let surplus = metadata.applied_changes.len().saturating_sub(MAX_REMEMBERED_CHANGES);
        for forgotten in metadata.applied_changes.drain(..surplus) {
            metadata.max_forgotten_base = metadata.max_forgotten_base.max(Some(forgotten.base_generation));
        }
        Self { configuration: SharedConfiguration::new(document.json), metadata }
    }

    /// Returns the change that commits the counts of a usage window, or `None` if the window has committed counts.
    pub fn usage_change(&self, window: u64, counts: BTreeMap<String, u64>) -> Option<StateChange> {
        let is_committed = self.metadata.usage.contains_key(&window);
        (!is_committed).then_some(StateChange::CommitUsage { window, counts })
    }

    /// Returns the state after a change, or `None` if the change does not apply.
    fn with_change(&self, change: StateChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            StateChange::Configure(change) => match self.decide(&change) {
                Decision::New(next) => return Some(*next),
                _ => return None,
            },
            StateChange::CommitUsage { window, counts } => {
                next.metadata.usage.insert(window, counts);
                while next.metadata.usage.len() > MAX_USAGE_WINDOWS {
                    next.metadata.usage.pop_first();
                }
            }
            StateChange::Placement { stores, emptied } => {
                if let Some(stores) = stores {
                    next.metadata.stores = stores;
                }
                for node in emptied {
                    next.metadata.retirements.insert(node, Retirement::Succeeded);
                }
            }
            StateChange::Retire { node } => {
                let stores = &mut next.metadata.stores;
                let store = stores.stores.iter_mut().find(|store| store.member.identity.node == node)?;
                store.retiring = true;
                stores.epoch += 1;
                next.metadata.retirements.insert(node, Retirement::Running);
            }
            StateChange::RecordLostJobs { lost_jobs } => {
                for (group, job_ids) in lost_jobs {
                    next.metadata.lost_jobs.entry(group).or_default().extend(job_ids);
                }
            }
            StateChange::GiveUp { given_up, stores } => {
                next.metadata.lost_jobs.remove(&given_up.order.group);
                next.metadata.stores = stores;
                next.metadata.given_up.push(given_up);
                let surplus = next.metadata.given_up.len().saturating_sub(MAX_GIVEN_UP_RECORDS);
                next.metadata.given_up.drain(..surplus);
            }
        }
        Some(next)
    }
}

impl Replicated for ControlState {
    fn apply(&self, change: &[u8]) -> Option<Self> {
        self.with_change(StateChange::decode_from_chain(change)?)
    }

    fn encode(&self) -> Vec<u8> {
        encode(&(serde_bytes::ByteBuf::from(compress(self.configuration.json())), &self.metadata))
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let decoded: Result<(serde_bytes::ByteBuf, ControlMetadata), _> = decode(bytes);
        let (json, metadata) = decoded
            .map_err(|reason| {
                log::error!("control state received from another member cannot be decoded: {reason}")
            })
            .ok()?;
        let json = decompress(&json, MAX_DECOMPRESSED_BYTES)
            .map_err(|reason| {
                log::error!("control state received from another member cannot be decoded: {reason}")
            })
            .ok()?;
        Some(Self { configuration: SharedConfiguration::new(json), metadata })
    }

    /// Digests the configuration's digest and the metadata, so that a change of the metadata does not read the
    /// configuration again.
    fn digest(&self) -> u128 {
        content_digest(&encode(&(self.configuration.digest, &self.metadata)))
    }
}

#[cfg(test)]
mod tests;
