//! An exponentially weighted mean of the ratio of two sums.

/// A ratio of two sums that decay alike, so that it follows the recent samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DecayingRatio {
    /// The numerator.
    pub numerator: u64,
    /// The denominator.
    pub denominator: u64,
}

impl DecayingRatio {
    /// Reduces both sums by the fraction 1 / `divisor`.
    pub fn decay(&mut self, divisor: u64) {
        self.numerator -= self.numerator / divisor;
        self.denominator -= self.denominator / divisor;
    }

    /// Adds a sample with the weight 1 / `divisor`.
    pub fn add_sample(&mut self, numerator: u64, denominator: u64, divisor: u64) {
        self.decay(divisor);
        self.numerator += numerator;
        self.denominator += denominator;
    }

    /// Moves the ratio by the fraction 1 / `divisor` towards another one.
    pub fn approach(&mut self, other: DecayingRatio, divisor: u64) {
        self.decay(divisor);
        self.numerator += other.numerator / divisor;
        self.denominator += other.denominator / divisor;
    }

    /// Returns `amount` times the ratio, or `None` if there is no sample.
    pub fn scale(&self, amount: u64) -> Option<u64> {
        let scaled = u128::from(amount) * u128::from(self.numerator);
        let ratio = scaled.checked_div(u128::from(self.denominator))?;
        Some(u64::try_from(ratio).unwrap_or(u64::MAX))
    }
}
