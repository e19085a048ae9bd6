//! Which queue goes first, and which part of the places an urgency has.
//!
//! Owns: the order of queues. Relies on: nothing; [`queue`](super::queue) keeps what was served.

use std::ops::RangeInclusive;

use curlewcleat_core::TierRank;

/// Each urgency has this many times the share of the next one: so much that what it asks for fits its share at the usual
/// mix, and so little that the next ones go on.
const URGENCY_SHARE: u64 = 4;
/// The least urgent that has a share of its own; those after it have the same.
const LAST_URGENCY: TierRank = 4;

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

    /// Its share relative to the other urgencies of its tier.
    pub fn share(self) -> u64 {
        URGENCY_SHARE.pow(u32::from(LAST_URGENCY - self.urgency.min(LAST_URGENCY)))
    }

    /// The first rank of the tiers below one.
    pub fn below(tier: TierRank) -> QueueRank {
        QueueRank { tier: tier + 1, late: false, urgency: 0 }
    }
}
