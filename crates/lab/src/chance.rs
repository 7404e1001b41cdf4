//! Chance for everything outside the gateways, from the scenario's seed. Each use draws from a stream of its
//! own, so that more draws in one place move nothing elsewhere.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What is drawn for.
#[derive(Clone, Copy, Debug)]
pub enum Use {
    Load = 1,
    Targets = 2,
    World = 3,
    Links = 4,
    Gateways = 5,
}

pub fn stream(seed: u64, purpose: Use) -> ChaCha8Rng {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    chance.set_stream(purpose as u64);
    chance
}

/// The chance of one thing among many of a kind, whenever it is drawn.
pub fn of(seed: u64, purpose: Use, number: u64) -> ChaCha8Rng {
    // An odd factor keeps neighbouring numbers far apart.
    stream(seed ^ (number.wrapping_add(1)).wrapping_mul(0x9e37_79b9_7f4a_7c15), purpose)
}
