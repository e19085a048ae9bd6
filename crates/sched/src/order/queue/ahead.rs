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
use crate::order::waiting::{class_of, AccountQueue, TierQueue};

impl TierQueues {
    /// Returns the work that is served before a new request: that of higher tiers, and that of its own tier by the
    /// shares of the urgencies and accounts and by the order in its account's queue. Work that takes up streams counts
    /// unless the targets differ in their versions: it may wait for busy ones while others are idle.
    pub fn work_ahead(
        &self,
        request: &PermitRequest,
        weight: u32,
        late: bool,
        counts_take_ups: bool,
    ) -> WorkMicros {
        let work_of = |(_, queue): (_, &TierQueue)| queue.counted_work(counts_take_ups);
        let stage = if late { QueueStage::Late } else { QueueStage::InTime };
        let rank = QueueRank { tier: request.tier, stage, urgency: request.objectives.urgency };
        let first = QueueRank { urgency: 0, stage: QueueStage::InTime, ..rank };
        let higher: WorkMicros = self.tiers.range(..first).map(work_of).sum();
        let earlier_stages = QueueRank { stage: QueueStage::InTime, ..rank }..rank;
        let in_time_work = self.tiers.range(earlier_stages).map(work_of).sum();
        let Some(queue) = self.tiers.get(&rank) else {
            return higher + self.work_of_all(rank, in_time_work);
        };
        let fair_work = fair_work_ahead(queue, request, weight, counts_take_ups);
        let queue_work = queue.counted_work(counts_take_ups);
        higher + self.work_of_all(rank, in_time_work + fair_work.min(queue_work))
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

/// Returns the work of a queue that is served before a new request, if each account gets its share.
fn fair_work_ahead(
    queue: &TierQueue,
    request: &PermitRequest,
    weight: u32,
    counts_take_ups: bool,
) -> WorkMicros {
    let class = class_of(request.prompt_work + request.output_work);
    let account_work = queue.accounts.get(&request.account).map_or(0, |account| {
        let by_class: WorkMicros = account.by_class.range(..=class).map(|(_, work)| *work).sum();
        by_class + if counts_take_ups { account.take_up_work } else { 0 }
    });
    let waits = |account: &&AccountQueue| match counts_take_ups {
        true => !account.waiting.is_empty(),
        false => account.has_new(),
    };
    let weights: u64 = queue.accounts.values().filter(waits).map(|account| account.weight).sum();
    // The waiting accounts are served alternately. Even an account with nothing waiting has to wait until each
    // other account was served once.
    let round_work = match request.objectives.length_guessed {
        true => request.prompt_work + request.output_work,
        false => 0,
    };
    (account_work + round_work) * weights.max(1) / u64::from(weight.max(1))
}
