//! Pseudorandom numbers for generated cases.
//!
//! Owns: the state of one sequence. Relies on: nothing.

/// Pseudorandom numbers from a seed.
pub struct Random(u64);

impl Random {
    /// Creates the numbers of a seed.
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0xd1b5_4a32_d192_ed03))
    }

    /// Returns a number below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ self.0 >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ mixed >> 31) % end.max(1) as u64) as usize
    }

    /// Returns `true` once in `count` times.
    pub fn one_in(&mut self, count: usize) -> bool {
        self.below(count) == 0
    }

    /// Returns one of some values.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len())]
    }
}
