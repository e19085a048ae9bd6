//! Is a tier shed? The overload level of a pool: which tiers it refuses outright.
//!
//! The rule: when a tier is refused for want of capacity, every tier below it is refused outright;
//! after
//! [`LEVEL_HOLD`] without such a refusal the level falls by one tier. Model `levels`.
//!
//! Owns: the level of one pool. Relies on: `PoolScheduler` for refusals.

use std::time::Duration;

use curlewcleat_core::{TierRank, Uptime};

/// Time without a capacity refusal after which the level falls by one tier.
pub const LEVEL_HOLD: Duration = Duration::from_secs(1);

/// Refuses every tier below a rank. It rises when a tier is refused for want of capacity, so that
/// no lower tier is taken in while a higher one is shed, and falls one tier at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OverloadLevel {
    lowest_open: Option<TierRank>,
    until: Uptime,
}

impl OverloadLevel {
    /// Whether the tier is refused outright.
    pub fn sheds(&self, tier: TierRank) -> bool {
        self.lowest_open.is_some_and(|open| tier > open)
    }

    /// The lowest tier that is still taken in, `None` where all are.
    pub fn lowest_open(&self) -> Option<TierRank> {
        self.lowest_open
    }

    /// Time until the level may fall.
    pub fn remaining(&self, now: Uptime) -> Duration {
        self.until.saturating_sub(now)
    }

    /// A request of this tier was refused for want of capacity: everything below is shed.
    /// Returns whether the level rose.
    pub fn raise(&mut self, tier: TierRank, now: Uptime) -> bool {
        let rises = self.lowest_open.is_none_or(|open| tier < open);
        if rises {
            self.lowest_open = Some(tier);
        }
        // A refusal of a tier that is shed already says nothing new about the tiers above it.
        if self.lowest_open == Some(tier) {
            self.until = now + LEVEL_HOLD;
        }
        rises
    }

    /// Lets the level fall when its hold has ended.
    pub fn tick(&mut self, lowest_tier: TierRank, now: Uptime) {
        let Some(open) = self.lowest_open else { return };
        if now < self.until {
            return;
        }
        let next = open + 1;
        self.lowest_open = (next < lowest_tier).then_some(next);
        self.until = now + LEVEL_HOLD;
    }
}
