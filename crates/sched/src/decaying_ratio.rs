//! An exponentially weighted mean of a ratio of two sums.

/// Both sums decay alike, so their ratio follows what it is fed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DecayingRatio {
    /// Sum above the line.
    pub above: u64,
    /// Sum below the line.
    pub below: u64,
}

impl DecayingRatio {
    /// Lets both sums lose one part in `parts`.
    pub fn decay(&mut self, parts: u64) {
        self.above -= self.above / parts;
        self.below -= self.below / parts;
    }

    /// Feeds a sample that weighs one part in `parts`.
    pub fn feed(&mut self, above: u64, below: u64, parts: u64) {
        self.decay(parts);
        self.above += above;
        self.below += below;
    }

    /// Moves one part in `parts` of the way towards another ratio.
    pub fn approach(&mut self, other: DecayingRatio, parts: u64) {
        self.decay(parts);
        self.above += other.above / parts;
        self.below += other.below / parts;
    }

    /// `amount` times the ratio, `None` where nothing was fed.
    pub fn of(&self, amount: u64) -> Option<u64> {
        let scaled = u128::from(amount) * u128::from(self.above);
        let ratio = scaled.checked_div(u128::from(self.below))?;
        Some(u64::try_from(ratio).unwrap_or(u64::MAX))
    }
}
