//! One batch job and its items as they were submitted.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The largest number of items in a batch job.
pub const MAX_ITEMS_PER_JOB: usize = 200;

/// A request to be run later.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Of the prompt and the most out, summed.
    pub tokens: u64,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub tenant: String,
    pub route: String,
    pub host: String,
    /// When it was first received, in milliseconds of the wall clock.
    pub received_ms: u64,
    pub items: Vec<Item>,
}

/// Why a submitted batch job is malformed; each message names item and remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    #[error("the batch job has no id: send X-Fennelgauge-Request-Id")]
    MissingId,
    #[error("{0} items: send between 1 and {MAX_ITEMS_PER_JOB}")]
    ItemCount(usize),
    #[error("item {0:?} stands in the batch job twice: give every item an id of its own")]
    DuplicateItem(String),
    #[error("item {0}: its id is empty: give every item an id")]
    EmptyItemId(usize),
    #[error("item {0:?}: its path does not lie under the route's path_prefix")]
    PathOutsideRoute(String),
}

impl Job {
    /// Checks what the items must fulfil under a route's prefix.
    pub fn validate(&self, path_prefix: &str) -> Result<(), JobError> {
        if self.id.is_empty() {
            return Err(JobError::MissingId);
        }
        if self.items.is_empty() || self.items.len() > MAX_ITEMS_PER_JOB {
            return Err(JobError::ItemCount(self.items.len()));
        }
        let mut ids = BTreeSet::new();
        for (position, item) in self.items.iter().enumerate() {
            if item.id.is_empty() {
                return Err(JobError::EmptyItemId(position));
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

    pub fn total_tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ItemOutcome {
    Succeeded,
    DeadLettered,
}

/// An ended item: the data of all events in order, separated by line feeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ItemResult {
    /// Its place among the submitted items.
    pub item_index: u32,
    pub outcome: ItemOutcome,
    pub text: String,
}
