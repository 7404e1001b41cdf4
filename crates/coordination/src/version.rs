//! Versions of the replicated value, the trait of a value that can be replicated, and log entries.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies one version of the value. Versions order by the epoch of the view in which a member holds them, then by
/// sequence number; the digest lets two machines detect that they do not mean the same content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Epoch of the view in which the member holds the content.
    pub epoch: u64,
    /// Number of changes since the default value.
    pub sequence: u64,
    /// [`content_digest`] of the encoded value.
    pub digest: u128,
}

impl Version {
    /// Returns the version of the default value, from which every replica starts.
    pub fn initial<S: Replicated>() -> Self {
        Self { epoch: 0, sequence: 0, digest: S::default().digest() }
    }

    /// Returns the same content as a version of the view with this epoch.
    pub fn with_epoch(self, epoch: u64) -> Self {
        Self { epoch, ..self }
    }
}

/// A value that is replicated as a whole and modified by deterministic changes.
pub trait Replicated: Clone + Debug + Default {
    /// Returns the value after a change, or none if the change is invalid. The result must be the same on every machine.
    fn apply(&self, change: &[u8]) -> Option<Self>;

    /// Encodes the whole value.
    fn encode(&self) -> Vec<u8>;

    /// Decodes an encoded value; none if the bytes are invalid.
    fn decode(bytes: &[u8]) -> Option<Self>;

    /// Returns the digest of the whole encoded value.
    fn digest(&self) -> u128 {
        content_digest(&self.encode())
    }
}

/// Returns the first 16 bytes of the SHA-256 of `bytes`.
pub fn content_digest(bytes: &[u8]) -> u128 {
    let hash: [u8; 32] = Sha256::digest(bytes).into();
    u128::from_le_bytes(std::array::from_fn(|index| hash[index]))
}

/// One transition from a version to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// Version that the entry applies to.
    pub base: Version,
    /// Encoded change; none if only the view changed and the content stays the same.
    #[serde(with = "serde_bytes")]
    pub change: Option<Vec<u8>>,
    /// Version after the entry is applied.
    pub result: Version,
}

impl LogEntry {
    /// Returns the length of the encoded change, in bytes.
    pub fn size(&self) -> usize {
        self.change.as_ref().map_or(0, Vec::len)
    }
}
