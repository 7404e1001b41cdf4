//! Chance that repeats: the same seed draws the same numbers (splitmix64).

/// A sequence of draws.
#[derive(Clone, Debug)]
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Below `limit`; 0 where that is 0.
    pub fn below(&mut self, limit: usize) -> usize {
        (self.number() % limit.max(1) as u64) as usize
    }

    /// From `from` to `to`, both in microseconds.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.number() % (to.saturating_sub(from) + 1)
    }

    /// True so many times in a thousand.
    pub fn in_thousand(&mut self, times: u64) -> bool {
        self.number() % 1_000 < times
    }

    /// One of several.
    pub fn pick<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        from.get(self.below(from.len()))
    }
}
