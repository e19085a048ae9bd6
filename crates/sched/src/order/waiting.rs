//! A permit request that waits, and the queue of one account and of one tier.
//!
//! Owns: the data; the moves are those of [`TierQueues`](super::queue::TierQueues). Relies on: estimates of
//! work in microseconds.

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{AccountId, DaemonId, PermitId, PermitRequest, Uptime, WorkMicros};

/// A permit request in the queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WaitingRequest {
    /// The daemon that asked.
    pub entry: DaemonId,
    /// The permit request.
    pub request: PermitRequest,
    /// When its caller's time ends.
    pub deadline: Uptime,
    /// When its answer has to begin to be in time.
    pub first_part_by: Uptime,
    /// Until when it may wait.
    pub wait_until: Uptime,
    /// When it has to start at the latest.
    pub latest_start: Uptime,
    /// Until when it can begin in time; from then on it is late.
    pub in_time_until: Uptime,
    /// Place in its account's queue: the lowest goes first.
    pub order: Uptime,
    /// Estimated work.
    pub work: WorkMicros,
}

/// Size classes of work in a line, one for each power of two of microseconds.
const CLASSES: usize = 40;

/// Order inside an account's queue.
pub type QueueKey = (Uptime, PermitId);

/// The waiting requests of one account in one tier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountQueue {
    /// Work served so far divided by the weight.
    pub served: u64,
    /// Share of the account.
    pub weight: u64,
    /// Waiting requests by their place.
    pub waiting: BTreeMap<QueueKey, WaitingRequest>,
    /// Waiting work by size class; shorter classes go before longer ones.
    pub by_class: BTreeMap<usize, WorkMicros>,
}

/// The accounts that wait in one tier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TierQueue {
    /// Queue of each account.
    pub lines: BTreeMap<AccountId, AccountQueue>,
    /// Accounts with waiting requests by their served work.
    pub order: BTreeSet<(u64, AccountId)>,
    /// Served work of the account that went last; newcomers begin here.
    pub clock: u64,
    /// Waiting work.
    pub work: WorkMicros,
    /// Number of waiting requests.
    pub length: usize,
}

/// Size class of so much work.
pub fn class_of(work: WorkMicros) -> usize {
    // No work at all belongs to the lowest class.
    (work.checked_ilog2().unwrap_or(0) as usize).min(CLASSES - 1)
}
