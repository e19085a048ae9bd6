//! Identifies the queues of a pool and their order.
//!
//! Owns: the order of queues. Relies on: nothing; [`queue`](super::queue) keeps the work served to each.

use std::ops::RangeInclusive;

use curlewcleat_core::TierRank;

/// Order in which the requests of one urgency are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueStage {
    /// The answer can begin within the objective, counted from the caller's first attempt.
    InTime,
    /// A booked return, whose answer can begin within the objective, counted from its return.
    Returned,
    /// The answer can no longer begin in time.
    Late,
}

impl QueueStage {
    /// All stages, in their order.
    pub const ALL: [QueueStage; 3] = [QueueStage::InTime, QueueStage::Returned, QueueStage::Late];
}

/// A queue. The highest tier is served first; inside it the urgencies share the slots, and each serves its stages in
/// their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank {
    /// Rank of the tier.
    pub tier: TierRank,
    /// Urgency of the requests: the rank of their rules.
    pub urgency: TierRank,
    /// Whether the requests can still begin in time.
    pub stage: QueueStage,
}

/// A tier and an urgency. Its queues have one share of the slots.
pub type UrgencyKey = (TierRank, TierRank);

impl QueueRank {
    /// Returns the range of all queues of a tier.
    pub fn of_tier(tier: TierRank) -> RangeInclusive<QueueRank> {
        let first = QueueRank { tier, urgency: 0, stage: QueueStage::InTime };
        first..=QueueRank { tier, urgency: TierRank::MAX, stage: QueueStage::Late }
    }

    /// Returns the tier and urgency of the queue.
    pub fn urgency_key(self) -> UrgencyKey {
        (self.tier, self.urgency)
    }

    /// Returns the first rank of the tiers below `tier`.
    pub fn below(tier: TierRank) -> QueueRank {
        QueueRank { tier: tier + 1, stage: QueueStage::InTime, urgency: 0 }
    }
}
