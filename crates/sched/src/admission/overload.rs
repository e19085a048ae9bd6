//! Holds the overload level of a pool: which tiers it sheds, that is, refuses at once.
//!
//! The rule: when a tier is refused for lack of capacity, every tier below it is shed. After
//! [`LEVEL_HOLD`] without such a refusal the level falls by one tier. Model `levels`.
//!
//! Owns: the level of one pool. Relies on: `PoolScheduler` for refusals.

use std::time::Duration;

use curlewcleat_core::{TierRank, Uptime};

/// Time without a capacity refusal after which the level falls by one tier.
pub const LEVEL_HOLD: Duration = Duration::from_secs(1);

/// Sheds every tier below a rank. The level rises when a tier is refused for lack of capacity, so that
/// no lower tier is admitted while a higher one is refused, and falls one tier at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OverloadLevel {
    lowest_open: Option<TierRank>,
    /// When the level may fall.
    held_until: Uptime,
}

impl OverloadLevel {
    /// Returns whether the tier is shed.
    pub fn sheds(&self, tier: TierRank) -> bool {
        self.lowest_open.is_some_and(|open| tier > open)
    }

    /// Returns the lowest tier that is still admitted, or `None` if no tier is shed.
    pub fn lowest_open(&self) -> Option<TierRank> {
        self.lowest_open
    }

    /// Returns the time until the level may fall.
    pub fn remaining(&self, now: Uptime) -> Duration {
        self.held_until.saturating_sub(now)
    }

    /// Records that a request of this tier was refused for lack of capacity: all lower tiers are shed.
    /// Returns whether the level rose.
    pub fn raise(&mut self, tier: TierRank, now: Uptime) -> bool {
        let rises = self.lowest_open.is_none_or(|open| tier < open);
        if rises {
            self.lowest_open = Some(tier);
        }
        // A refusal of a tier that is already shed does not show a lack of capacity for the tiers above it, so it does
        // not extend the hold.
        if self.lowest_open == Some(tier) {
            self.held_until = now + LEVEL_HOLD;
        }
        rises
    }

    /// Lowers the level by one tier when its hold has ended.
    pub fn tick(&mut self, lowest_tier: TierRank, now: Uptime) {
        let Some(open) = self.lowest_open else { return };
        if now < self.held_until {
            return;
        }
        let next = open + 1;
        self.lowest_open = (next < lowest_tier).then_some(next);
        self.held_until = now + LEVEL_HOLD;
    }
}
