//! Holds the state of one pool's scheduler: its options, its queues and permits, and its answers.
//!
//! Owns: [`PoolScheduler`] and its types. The events that change it are in `scheduler`, the rules in
//! `admission`, `order` and `placement`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AccountId, DaemonId, PermitAnswer, PermitDecision, PermitId, PermitRequest, PoolId, Refusal,
    TargetId, TierRank, Uptime, VmId, WorkMicros,
};

use crate::admission::account::{AccountLimit, RateBucket};
use crate::admission::overload::OverloadLevel;
use crate::admission::shared_rate::{RateRole, RateShare};
use crate::admission::throughput::PoolThroughput;
use crate::lost_permits::LostPermits;
use crate::order::flows::UrgencyFlows;
use crate::order::queue::TierQueues;
use crate::permit_record::PermitRecord;
use crate::placement::idle_connections::EntryNumbers;
use crate::placement::pace::StreamPace;
use crate::placement::target::TargetState;
use crate::returns::ReturnBook;
use crate::rollout::exposure::TrialShare;

/// Options of a pool's scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolOptions {
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// Percentage of the slots that only the top tier may use.
    pub reserve_percent: u32,
    /// Number of prompt prefixes that a target is assumed to cache.
    pub cached_prefixes: usize,
    /// Rank of the top tier.
    pub top: TierRank,
    /// Rank of the lowest tier.
    pub lowest: TierRank,
    /// Age that offsets a unit of work in the order of an account's queue. At 0 the oldest request is served
    /// first, at a large value the shortest.
    pub age_per_work: u64,
    /// Whether the returns of refused requests are booked.
    pub books_returns: bool,
    /// Limits of the accounts.
    pub accounts: BTreeMap<AccountId, AccountLimit>,
    /// Whether entry daemons reuse their connections to the targets.
    pub reuses_connections: bool,
}

impl Default for PoolOptions {
    fn default() -> PoolOptions {
        PoolOptions {
            queue_limit: 1_000,
            reserve_percent: 0,
            cached_prefixes: 16,
            top: 0,
            lowest: 3,
            age_per_work: 32,
            books_returns: false,
            accounts: BTreeMap::new(),
            reuses_connections: false,
        }
    }
}

/// An answer that the scheduler requests to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SchedulerAction {
    /// The daemon to send to.
    pub entry: DaemonId,
    /// The answer.
    pub answer: PermitAnswer,
    /// The tier that the answer refuses for lack of capacity.
    pub shed: Option<TierRank>,
    /// Units of its account's rate that a refused request was charged and did not use.
    pub unused: Option<RateCharge>,
}

/// Units of an account's rate that a request was charged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateCharge {
    /// The account.
    pub account: AccountId,
    /// The number of units.
    pub cost: u64,
}

impl RateCharge {
    /// Returns the units that a request was charged. Only the first attempt is charged.
    pub(crate) fn of(request: &PermitRequest) -> Option<RateCharge> {
        let first = request.permit.attempt == 0;
        first.then(|| RateCharge { account: request.account.clone(), cost: request.cost })
    }
}

/// The scheduler of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolScheduler {
    pub(crate) pool: PoolId,
    pub(crate) options: PoolOptions,
    pub(crate) targets: BTreeMap<TargetId, TargetState>,
    pub(crate) queues: TierQueues,
    pub(crate) permits: BTreeMap<PermitId, PermitRecord>,
    /// Permits that lost entry daemons had in use.
    pub(crate) lost_permits: LostPermits,
    pub(crate) buckets: BTreeMap<AccountId, RateBucket>,
    pub(crate) level: OverloadLevel,
    /// VMs that are leaving.
    pub(crate) leaving_vms: BTreeSet<VmId>,
    /// Data centres of the entry daemons' VMs, as far as they are known.
    pub(crate) data_centres: BTreeMap<VmId, String>,
    /// Numbers of the entry daemons that are assumed to have idle connections.
    pub(crate) entry_numbers: EntryNumbers,
    /// Learned pace of all its targets together.
    pub(crate) pace: StreamPace,
    /// Learned capacity.
    pub(crate) throughput: PoolThroughput,
    /// Requested and granted work of each urgency.
    pub(crate) flows: UrgencyFlows,
    /// Work per second that new requests of each tier ask for.
    pub(crate) demand: BTreeMap<TierRank, WorkMicros>,
    /// Booked returns of refused requests.
    pub(crate) returns: ReturnBook,
    /// When the learned state of the targets last decayed.
    pub(crate) last_decay: Uptime,
    /// The refusals a second that each target bears before it terminates, `None` if its targets are not brittle.
    pub(crate) brittle: Option<u32>,
    /// The share of the targets' limits, and of a trial, that it grants.
    pub(crate) rate_share: RateShare,
    /// Requests that it has granted to a version on trial and to others.
    pub(crate) trial: Option<TrialShare>,
    /// Whether targets were added or removed since the waiting requests were last checked for a target.
    pub(crate) targets_changed: bool,
}

impl PoolScheduler {
    /// Creates a scheduler without targets.
    pub fn new(pool: PoolId, options: PoolOptions) -> PoolScheduler {
        PoolScheduler {
            pool,
            options,
            targets: BTreeMap::new(),
            queues: TierQueues::default(),
            permits: BTreeMap::new(),
            lost_permits: LostPermits::default(),
            buckets: BTreeMap::new(),
            level: OverloadLevel::default(),
            leaving_vms: BTreeSet::new(),
            data_centres: BTreeMap::new(),
            entry_numbers: EntryNumbers::default(),
            pace: StreamPace::of_pool(),
            throughput: PoolThroughput::default(),
            flows: UrgencyFlows::default(),
            demand: BTreeMap::new(),
            returns: ReturnBook::default(),
            last_decay: Duration::ZERO,
            brittle: None,
            rate_share: RateShare { reached: 1, all: 1, role: RateRole::Leader },
            trial: None,
            targets_changed: false,
        }
    }

    /// Builds the action that sends a decision.
    pub(crate) fn answer(
        &self,
        entry: DaemonId,
        permit: PermitId,
        decision: PermitDecision,
    ) -> SchedulerAction {
        SchedulerAction {
            entry,
            answer: PermitAnswer { permit, pool: self.pool.clone(), decision },
            shed: None,
            unused: None,
        }
    }

    /// Builds the refusal of a permit request that did not run.
    pub(crate) fn refuse(
        &self,
        entry: DaemonId,
        request: &PermitRequest,
        refusal: Refusal,
    ) -> SchedulerAction {
        let action = self.answer(entry, request.permit, PermitDecision::Refused(refusal));
        SchedulerAction { unused: RateCharge::of(request), ..action }
    }
}
