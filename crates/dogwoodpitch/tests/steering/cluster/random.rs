//! Generator of the random numbers of a simulation, which depend on nothing but the seed.

/// Generator `SplitMix64`.
#[derive(Debug, Clone)]
pub(super) struct Random(u64);

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Number from 0 to `limit`, exclusive.
    pub(super) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// Number from `from` to `to`, exclusive.
    pub(super) fn range(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from)
    }

    pub(super) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub(super) fn seq(&mut self) -> u32 {
        u32::try_from(self.next() >> 32).expect("32 bits remain")
    }

    pub(super) fn choose<T: Copy>(&mut self, items: &[T]) -> Option<T> {
        let index = usize::try_from(self.below(items.len() as u64)).expect("the index fits");
        items.get(index).copied()
    }
}
