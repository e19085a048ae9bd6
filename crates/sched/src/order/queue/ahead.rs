//! How much work goes before a new request?
//!
//! Inputs: its tier, urgency, account and work in microseconds, and whether it can still begin in time. The rule: all of the
//! tiers above; of its own urgency what its account's line and the turns of the other accounts let go first; beside that
//! the other urgencies have their shares.
//!
//! Owns: nothing; these are methods of [`TierQueues`]. Relies on: the shares that were divided last.

use curlewcleat_core::{PermitRequest, WorkMicros};

use super::TierQueues;
use crate::order::rank::QueueRank;
use crate::order::shares::ALL_PLACES;
use crate::order::waiting::{class_of, AccountQueue};

impl TierQueues {
    /// Work that goes before a new request: higher tiers, and of its own tier what fair shares and its
    /// account's line let go first.
    pub fn work_ahead(&self, request: &PermitRequest, weight: u32, late: bool) -> WorkMicros {
        let rank = QueueRank { tier: request.tier, late, urgency: request.objectives.urgency };
        let first = QueueRank { urgency: 0, late: false, ..rank };
        let higher: WorkMicros = self.tiers.range(..first).map(|(_, queue)| queue.work).sum();
        let in_time = self.tiers.get(&QueueRank { late: false, ..rank }).filter(|_| late);
        let sooner = in_time.map_or(0, |queue| queue.work);
        let Some(queue) = self.tiers.get(&rank) else {
            return higher + self.work_beside(rank, sooner);
        };
        let class = class_of(request.prompt_work + request.output_work);
        let line = queue.lines.get(&request.account);
        let own: WorkMicros =
            line.map_or(0, |line| line.by_class.range(..=class).map(|(_, work)| *work).sum());
        let waits = |line: &&AccountQueue| !line.waiting.is_empty();
        let weights: u64 = queue.lines.values().filter(waits).map(|line| line.weight).sum();
        // The accounts that wait are served in turn. One with nothing waiting still lets each other one go first once.
        let turn = match request.objectives.length_guessed {
            true => request.prompt_work + request.output_work,
            false => 0,
        };
        let share = (own + turn) * weights.max(1) / u64::from(weight.max(1));
        higher + self.work_beside(rank, sooner + share.min(queue.work))
    }

    /// Work that is served until so much of one urgency is, with that of the other urgencies, which go on asking.
    fn work_beside(&self, rank: QueueRank, own: WorkMicros) -> WorkMicros {
        own * ALL_PLACES / self.share_of(rank)
    }
}
