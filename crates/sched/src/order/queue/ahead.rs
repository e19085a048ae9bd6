//! Computes the work that is served before a new request.
//!
//! Inputs: its tier, urgency, account and work in microseconds, and whether it can still begin in time. The rule: all
//! work of the higher tiers; of its own urgency the work ahead of it in its account's queue and the work of other
//! accounts that is served meanwhile; and the work that the other urgencies get by their shares during that time.
//!
//! Owns: nothing; these are methods of [`TierQueues`]. Relies on: the current shares of the urgencies.

use curlewcleat_core::{PermitRequest, WorkMicros};

use super::TierQueues;
use crate::order::rank::{QueueRank, QueueStage, UrgencyKey};
use crate::order::shares::FULL_SHARE;
use crate::order::waiting::{class_of, AccountQueue};

impl TierQueues {
    /// Returns the work that is served before a new request: that of higher tiers, and that of its own tier by the
    /// shares of the urgencies and accounts and by the order in its account's queue.
    pub fn work_ahead(&self, request: &PermitRequest, weight: u32, late: bool) -> WorkMicros {
        let stage = if late { QueueStage::Late } else { QueueStage::InTime };
        let rank = QueueRank { tier: request.tier, stage, urgency: request.objectives.urgency };
        let first = QueueRank { urgency: 0, stage: QueueStage::InTime, ..rank };
        let higher: WorkMicros = self.tiers.range(..first).map(|(_, queue)| queue.work).sum();
        let earlier_stages = QueueRank { stage: QueueStage::InTime, ..rank }..rank;
        let in_time_work = self.tiers.range(earlier_stages).map(|(_, queue)| queue.work).sum();
        let Some(queue) = self.tiers.get(&rank) else {
            return higher + self.work_of_all(rank, in_time_work);
        };
        let class = class_of(request.prompt_work + request.output_work);
        let account_queue = queue.accounts.get(&request.account);
        let account_work: WorkMicros = account_queue
            .map_or(0, |account| account.by_class.range(..=class).map(|(_, work)| *work).sum());
        let waits = |account: &&AccountQueue| !account.waiting.is_empty();
        let weights: u64 =
            queue.accounts.values().filter(waits).map(|account| account.weight).sum();
        // The waiting accounts are served alternately. Even an account with nothing waiting has to wait until each
        // other account was served once.
        let round_work = match request.objectives.length_guessed {
            true => request.prompt_work + request.output_work,
            false => 0,
        };
        let fair_work = (account_work + round_work) * weights.max(1) / u64::from(weight.max(1));
        higher + self.work_of_all(rank, in_time_work + fair_work.min(queue.work))
    }

    /// Returns the part of an amount of work that an urgency gets by its share.
    pub fn part_of(&self, urgency: UrgencyKey, work: WorkMicros) -> WorkMicros {
        let (tier, urgency) = urgency;
        let share = self.share_of(QueueRank { tier, urgency, stage: QueueStage::InTime });
        u64::try_from(u128::from(work) * u128::from(share) / u128::from(FULL_SHARE))
            .unwrap_or(WorkMicros::MAX)
    }

    /// Returns the work of all urgencies that is served until `urgency_work` of one urgency is served, assuming that
    /// the others keep requesting work.
    fn work_of_all(&self, rank: QueueRank, urgency_work: WorkMicros) -> WorkMicros {
        urgency_work * FULL_SHARE / self.share_of(rank)
    }
}
