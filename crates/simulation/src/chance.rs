//! A deterministic random number generator (splitmix64).

/// Generates the same sequence of numbers for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `limit`, or 0 if `limit` is 0.
    pub fn below(&mut self, limit: usize) -> usize {
        (self.next_u64() % limit.max(1) as u64) as usize
    }

    /// Returns a number from `from` to `to`, both included.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.next_u64() % (to.saturating_sub(from) + 1)
    }

    /// Returns true with a probability of `times` in 1000.
    pub fn per_mille(&mut self, times: u64) -> bool {
        self.next_u64() % 1_000 < times
    }

    /// Returns a random element, or `None` if `from` is empty.
    pub fn choose<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        from.get(self.below(from.len()))
    }
}
