//! An exponentially weighted mean of the ratio of two sums.

/// A ratio of two sums that decay alike, so that it follows the recent samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DecayingRatio {
    /// The numerator.
    pub above: u64,
    /// The denominator.
    pub below: u64,
}

impl DecayingRatio {
    /// Reduces both sums by the fraction 1 / `divisor`.
    pub fn decay(&mut self, divisor: u64) {
        self.above -= self.above / divisor;
        self.below -= self.below / divisor;
    }

    /// Adds a sample with the weight 1 / `divisor`.
    pub fn feed(&mut self, above: u64, below: u64, divisor: u64) {
        self.decay(divisor);
        self.above += above;
        self.below += below;
    }

    /// Moves the ratio by the fraction 1 / `divisor` towards another one.
    pub fn approach(&mut self, other: DecayingRatio, divisor: u64) {
        self.decay(divisor);
        self.above += other.above / divisor;
        self.below += other.below / divisor;
    }

    /// Returns `amount` times the ratio, or `None` if there is no sample.
    pub fn of(&self, amount: u64) -> Option<u64> {
        let scaled = u128::from(amount) * u128::from(self.above);
        let ratio = scaled.checked_div(u128::from(self.below))?;
        Some(u64::try_from(ratio).unwrap_or(u64::MAX))
    }
}
