//! Which queue goes first.
//!
//! Owns: the order of queues. Relies on: nothing; [`queue`](super::queue) keeps what was served.

use std::ops::RangeInclusive;

use curlewcleat_core::TierRank;

/// A queue: the highest tier goes first; inside it the urgencies share the places, each with those that are not late first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank {
    /// Rank of the tier.
    pub tier: TierRank,
    /// Rank of the rules.
    pub urgency: TierRank,
    /// Whether its requests can no longer begin in time.
    pub late: bool,
}

/// A tier and an urgency, whose queues have one share.
pub type QueueShare = (TierRank, TierRank);

impl QueueRank {
    /// All queues of a tier.
    pub fn of_tier(tier: TierRank) -> RangeInclusive<QueueRank> {
        let first = QueueRank { tier, urgency: 0, late: false };
        first..=QueueRank { tier, urgency: TierRank::MAX, late: true }
    }

    /// What it shares a part of the places with.
    pub fn shared(self) -> QueueShare {
        (self.tier, self.urgency)
    }

    /// The first rank of the tiers below one.
    pub fn below(tier: TierRank) -> QueueRank {
        QueueRank { tier: tier + 1, late: false, urgency: 0 }
    }
}
