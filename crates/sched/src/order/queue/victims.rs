//! Selects the waiting request that is evicted where the queue is full.
//!
//! Owns: nothing; these are methods of [`TierQueues`]. Relies on: the order of each account's queue.

use curlewcleat_core::{AccountId, PermitId, TierRank};

use super::TierQueues;
use crate::order::rank::QueueRank;

impl TierQueues {
    /// Returns the permit request to evict for a request of `tier`: the last one of the lowest tier below it.
    pub fn victim_below(&self, tier: TierRank) -> Option<PermitId> {
        let below = self.tiers.range(QueueRank::below(tier)..);
        let (_, queue) = below.rev().find(|(_, queue)| queue.length > 0)?;
        queue
            .accounts
            .values()
            .filter_map(|account_queue| account_queue.waiting.keys().next_back())
            .max()
            .map(|key| key.permit)
    }

    /// Returns the permit request to evict for a request of `account` in the same tier: the last one of the account
    /// with the most waiting requests for its weight, if it has at least two more than `account` by that measure.
    pub fn victim_within(&self, tier: TierRank, account: &AccountId) -> Option<PermitId> {
        let of_tier = self.tiers.range(QueueRank::of_tier(tier)).rev().map(|(_, queue)| queue);
        let queue = of_tier.into_iter().find(|queue| queue.length > 0)?;
        let own_length = queue.accounts.get(account).map_or(0, |account_queue| {
            account_queue.waiting.len() as u64 / account_queue.weight.max(1)
        });
        let longest = queue.accounts.values().max_by_key(|account_queue| {
            account_queue.waiting.len() as u64 / account_queue.weight.max(1)
        })?;
        if longest.waiting.len() as u64 / longest.weight.max(1) <= own_length + 1 {
            return None;
        }
        longest.waiting.keys().next_back().map(|key| key.permit)
    }
}
