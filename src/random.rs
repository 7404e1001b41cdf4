//! Hashes and pseudo-random numbers from the standard library's hasher.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Returns a hash of the numbers that is the same in every process of a build.
pub(crate) fn hash_of(parts: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// A pseudo-random sequence that is determined by the seed and the gateway's index.
pub(crate) struct Random {
    seed: u64,
    gateway: u32,
    count: u64,
}

impl Random {
    /// Creates the sequence of one gateway.
    pub(crate) fn new(seed: u64, gateway: u32) -> Self {
        Self { seed, gateway, count: 0 }
    }

    /// Returns the next number, uniform in [0, 1).
    pub(crate) fn draw(&mut self) -> f64 {
        self.count += 1;
        let hash = hash_of(&[self.seed, u64::from(self.gateway), self.count]);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}
