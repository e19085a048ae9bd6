//! Data types of a waiting permit request, the queue of one account and the queue of one urgency of a tier.
//!
//! Owns: the data; [`TierQueues`](super::queue::TierQueues) changes it. Relies on: estimates of
//! work in microseconds.

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{AccountId, DaemonId, PermitId, PermitRequest, Uptime, WorkMicros};

/// What admission has found out about a request that may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestAdmission {
    /// Time until which the request can start and still be in time.
    pub in_time_until: Uptime,
    /// What the request begins or continues.
    pub kind: RequestKind,
}

/// What a request begins or continues.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// It was not refused before, or its return was not booked.
    #[default]
    New,
    /// It is a booked return.
    Return,
    /// It takes up a stream, which was admitted and has waited before it broke off.
    TakeUp,
}

/// A permit request in the queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WaitingRequest {
    /// The entry daemon that requested the permit.
    pub entry: DaemonId,
    /// The permit request.
    pub request: PermitRequest,
    /// The caller's deadline.
    pub deadline: Uptime,
    /// Time by which the answer has to begin to be in time.
    pub first_part_by: Uptime,
    /// Time until which it may wait.
    pub wait_until: Uptime,
    /// Latest time at which it may start.
    pub latest_start: Uptime,
    /// Time until which it can start and begin its answer in time; from then on it is late. That of a booked return
    /// counts from its return.
    pub in_time_until: Uptime,
    /// Position in its account's queue: the lowest is served first.
    pub order: Uptime,
    /// What the request begins or continues.
    pub kind: RequestKind,
    /// Estimated work.
    pub work: WorkMicros,
}

/// Number of size classes of work, one for each power of two of microseconds.
const SIZE_CLASSES: usize = 40;

/// Sort key inside an account's queue. Streams that are taken up come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Whether the request takes up no stream.
    pub is_new: bool,
    /// Position: the lowest is served first.
    pub order: Uptime,
    /// The permit.
    pub permit: PermitId,
}

/// The waiting requests of one account in one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountQueue {
    /// Work served so far, divided by the weight.
    pub served: u64,
    /// Weight of the account.
    pub weight: u64,
    /// Waiting requests by position.
    pub waiting: BTreeMap<QueueKey, WaitingRequest>,
    /// Waiting work by size class; shorter classes are served before longer ones.
    pub by_class: BTreeMap<usize, WorkMicros>,
    /// Waiting work that takes up streams, which is in no size class.
    pub take_up_work: WorkMicros,
}

impl AccountQueue {
    /// Returns whether a request waits that takes up no stream.
    pub fn has_new(&self) -> bool {
        self.waiting.keys().next_back().is_some_and(|key| key.is_new)
    }

    /// Returns the sum that the work of a request counts towards.
    pub fn sum_of(&mut self, waiting: &WaitingRequest) -> &mut WorkMicros {
        match waiting.kind {
            RequestKind::TakeUp => &mut self.take_up_work,
            _ => self.by_class.entry(class_of(waiting.work)).or_default(),
        }
    }
}

/// The waiting requests of one urgency of a tier, either late or in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TierQueue {
    /// The queue of each account.
    pub accounts: BTreeMap<AccountId, AccountQueue>,
    /// Accounts with waiting requests, by their served work.
    pub by_served: BTreeSet<(u64, AccountId)>,
    /// Virtual time: the served work of the account that was served last. Accounts that become active start here.
    pub virtual_time: u64,
    /// Waiting work.
    pub work: WorkMicros,
    /// The part of it that takes up streams.
    pub take_up_work: WorkMicros,
    /// Number of waiting requests.
    pub length: usize,
}

impl TierQueue {
    /// Returns the waiting work, without that which takes up streams where it does not count.
    pub fn counted_work(&self, counts_take_ups: bool) -> WorkMicros {
        match counts_take_ups {
            true => self.work,
            false => self.work - self.take_up_work,
        }
    }
}

/// Returns the size class of an amount of work.
pub fn class_of(work: WorkMicros) -> usize {
    // Work of zero belongs to the lowest class.
    (work.checked_ilog2().unwrap_or(0) as usize).min(SIZE_CLASSES - 1)
}
