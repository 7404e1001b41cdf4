//! A batch job as a client submitted it, the checks that it must pass, and the results of its items.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The largest number of items that one batch job may have.
pub const MAX_ITEMS_PER_JOB: usize = 200;

/// One request of a batch job; a store sends it to a server of the job's route later.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// Unique within the job; chosen by the client.
    pub id: String,
    /// Request path, with the query if there is one; must begin with the route's path prefix.
    pub path: String,
    /// Request headers as name and value.
    pub headers: Vec<(String, String)>,
    /// Request body; dropped once the item has a result or the job is cancelled.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the largest number of tokens the response may have.
    pub tokens: u64,
}

/// How long and how often a route lets an item be tried before it may be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ItemLimits {
    /// Time after the submission from which on an unfinished item may be given up, in milliseconds; `None`: never.
    pub retention_ms: Option<u64>,
    /// Number of failures at servers after which an item may be given up; at least 1.
    pub retries: u32,
}

impl ItemLimits {
    /// Returns the limits that allow an item to be given up only where both of these do.
    pub fn union(self, other: Self) -> Self {
        let retention_ms = self.retention_ms.zip(other.retention_ms).map(|(own, other)| own.max(other));
        Self { retention_ms, retries: self.retries.max(other.retries) }
    }
}

impl Default for ItemLimits {
    fn default() -> Self {
        Self { retention_ms: None, retries: 1 }
    }
}

/// A batch job: items that one tenant submitted together for one route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    /// The tenant and the request id of the submission: tenants choose ids independently of each other.
    pub id: String,
    /// Name of the tenant that owns the job; empty where the configuration names no tenants.
    pub tenant: String,
    /// Name of the batch route that took the submission.
    pub route: String,
    /// Value of the submission's Host header; its items are routed by it.
    pub host: String,
    /// Wall-clock time of the submission, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// Generation of the configuration by which the submission was taken, or a later one.
    pub generation: u64,
    /// Limits of the route by which the submission was taken.
    pub limits: ItemLimits,
    /// Items in the order of the submission; results refer to them by index.
    pub items: Vec<Item>,
}

/// Why a submitted batch job is malformed. The message is sent to the client; it names the item and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The request id, which becomes the job's id, is missing.
    #[error("the batch job has no id: send X-Fennelgauge-Request-Id")]
    MissingId,
    /// The job has no items, or more than `MAX_ITEMS_PER_JOB`; holds their number.
    #[error("{0} items: send between 1 and {MAX_ITEMS_PER_JOB}")]
    ItemCount(usize),
    /// Two items have this id.
    #[error("item {0:?} stands in the batch job twice: give every item an id of its own")]
    DuplicateItem(String),
    /// The item at this index has an empty id.
    #[error("item {0}: its id is empty: give every item an id")]
    EmptyItemId(usize),
    /// The path of the item with this id does not begin with the route's path prefix.
    #[error("item {0:?}: its path does not lie under the route's path_prefix")]
    PathOutsideRoute(String),
}

impl Job {
    /// Checks the job's id, the number of items, their ids, and that their paths begin with `path_prefix`.
    ///
    /// Returns the first problem found, in the order of the items.
    pub fn validate(&self, path_prefix: &str) -> Result<(), JobError> {
        if self.id.is_empty() {
            return Err(JobError::MissingId);
        }
        if self.items.is_empty() || self.items.len() > MAX_ITEMS_PER_JOB {
            return Err(JobError::ItemCount(self.items.len()));
        }
        let mut ids = BTreeSet::new();
        for (index, item) in self.items.iter().enumerate() {
            if item.id.is_empty() {
                return Err(JobError::EmptyItemId(index));
            }
            if !item.path.starts_with(path_prefix) {
                return Err(JobError::PathOutsideRoute(item.id.clone()));
            }
            if !ids.insert(item.id.as_str()) {
                return Err(JobError::DuplicateItem(item.id.clone()));
            }
        }
        Ok(())
    }

    /// Returns the sum of the items' tokens, which counts towards the tenant's quota.
    pub fn total_tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// The final outcome of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// A server answered the item completely.
    Succeeded,
    /// The item was rejected by a server, failed on every allowed attempt, or could not be run before its retention ended.
    DeadLettered,
}

/// The result of an item that will not run again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in `Job::items`.
    pub item_index: u32,
    /// Whether the item succeeded.
    pub outcome: ItemOutcome,
    /// Data of the response's events in order, separated by line feeds; empty for a dead-lettered item.
    pub text: String,
}
