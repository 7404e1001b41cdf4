//! Versions of the replicated value, and what a value must offer to be replicated.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Names one version of the value. Versions order by the epoch of the view in which a member has them, then by sequence;
/// the digest of the content tells two machines that they mean the same bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub sequence: u64,
    pub digest: u128,
}

impl Version {
    /// The version with which everything begins: the default value.
    pub fn initial<S: Replicated>() -> Self {
        Self { epoch: 0, sequence: 0, digest: S::default().digest() }
    }

    /// The same content as a version of another view.
    pub fn with_epoch(self, epoch: u64) -> Self {
        Self { epoch, ..self }
    }
}

/// A value that is replicated as a whole and changed by changes, which give the same result on every machine.
pub trait Replicated: Clone + Debug + Default {
    /// The value after a change; none where the change cannot be read.
    fn apply(&self, change: &[u8]) -> Option<Self>;

    fn encode(&self) -> Vec<u8>;

    fn decode(bytes: &[u8]) -> Option<Self>;

    /// Of the whole content.
    fn digest(&self) -> u128 {
        content_digest(&self.encode())
    }
}

/// The first half of the SHA-256 of some bytes.
pub fn content_digest(bytes: &[u8]) -> u128 {
    let hash: [u8; 32] = Sha256::digest(bytes).into();
    u128::from_le_bytes(std::array::from_fn(|at| hash[at]))
}

/// One step from a version to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    pub base: Version,
    /// None where only the view changed.
    #[serde(with = "serde_bytes")]
    pub change: Option<Vec<u8>>,
    pub result: Version,
}

impl LogEntry {
    pub fn size(&self) -> usize {
        self.change.as_ref().map_or(0, Vec::len)
    }
}
