//! Chance and fixed rankings from the standard library's hasher.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

pub(crate) fn hashed(parts: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// Draws that follow from the seed, the instance and how many came before.
pub(crate) struct Chance {
    seed: u64,
    instance: u32,
    drawn: u64,
}

impl Chance {
    pub(crate) fn new(seed: u64, instance: u32) -> Self {
        Self { seed, instance, drawn: 0 }
    }

    /// An even chance between 0 and 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let drawn = hashed(&[self.seed, u64::from(self.instance), self.drawn]);
        (drawn >> 11) as f64 / (1u64 << 53) as f64
    }
}
