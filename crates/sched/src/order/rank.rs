//! Identifies the queues of a pool and their order.
//!
//! Owns: the order of queues. Relies on: nothing; [`queue`](super::queue) keeps the work served to each.

use std::ops::RangeInclusive;

use curlewcleat_core::TierRank;

/// A queue. The highest tier is served first; inside it the urgencies share the slots, and each serves the requests
/// that are not late first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank {
    /// Rank of the tier.
    pub tier: TierRank,
    /// Urgency of the requests: the rank of their rules.
    pub urgency: TierRank,
    /// Whether the requests can no longer begin in time.
    pub late: bool,
}

/// A tier and an urgency. Their queues, late and in time, have one share of the slots.
pub type UrgencyKey = (TierRank, TierRank);

impl QueueRank {
    /// Returns the range of all queues of a tier.
    pub fn of_tier(tier: TierRank) -> RangeInclusive<QueueRank> {
        let first = QueueRank { tier, urgency: 0, late: false };
        first..=QueueRank { tier, urgency: TierRank::MAX, late: true }
    }

    /// Returns the tier and urgency of the queue.
    pub fn urgency_key(self) -> UrgencyKey {
        (self.tier, self.urgency)
    }

    /// Returns the first rank of the tiers below `tier`.
    pub fn below(tier: TierRank) -> QueueRank {
        QueueRank { tier: tier + 1, late: false, urgency: 0 }
    }
}
