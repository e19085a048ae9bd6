//! The state of one pool's scheduler: its options, its memory and its answers.
//!
//! Owns: [`PoolScheduler`] and its parts. The events that change it are in `scheduler`, the rules in
//! `admission`, `order` and `placement`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AccountId, DaemonId, PermitAnswer, PermitDecision, PermitId, PermitRequest, PoolId, Refusal,
    TargetId, TargetLife, TierRank, Uptime, VmId, WorkMicros,
};

use crate::admission::account::{AccountLimit, RateBucket};
use crate::admission::overload::OverloadLevel;
use crate::admission::shared_rate::{RatePart, RateTurn};
use crate::admission::throughput::PoolThroughput;
use crate::order::flows::UrgencyFlows;
use crate::order::queue::TierQueues;
use crate::placement::pace::StreamPace;
use crate::placement::target::TargetState;
use crate::rollout::exposure::TrialShare;

/// Estimates are taken as this part, in percent, where a deadline depends on them.
const MARGIN_PERCENT: u64 = 125;

/// Options of a pool's scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolOptions {
    /// Requests that may wait.
    pub queue_limit: usize,
    /// Slots in percent that only the top tier may use.
    pub reserve_percent: u32,
    /// Prompt prefixes that a target is believed to cache.
    pub cached_prefixes: usize,
    /// Rank of the top tier.
    pub top: TierRank,
    /// Rank of the lowest tier.
    pub lowest: TierRank,
    /// Age that makes up for a unit of work in the order of an account's queue. At 0 the oldest goes
    /// first, at infinity the shortest.
    pub age_per_work: u64,
    /// Limits of the accounts.
    pub accounts: BTreeMap<AccountId, AccountLimit>,
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
            accounts: BTreeMap::new(),
        }
    }
}

/// A permit in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitRecord {
    /// Daemon that uses it.
    pub entry: DaemonId,
    /// Target that it is for, in the life in which it was given.
    pub target: TargetLife,
    /// Work as estimated at normal speed, without the prompt where its prefix was cached.
    pub expected: WorkMicros,
    /// Prompt work as estimated by the entry.
    pub prompt_work: WorkMicros,
    /// Other work as estimated by the entry.
    pub output_work: WorkMicros,
    /// Time that the target needed for earlier prompts when the permit was given.
    pub backlog: Duration,
    /// When it was given, or last confirmed.
    pub confirmed: Uptime,
    /// Whether its target was stalled, so that its request asked for another one; that counts as a failure.
    pub stalled: bool,
}

/// What a scheduler wants sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SchedulerAction {
    /// The daemon to send to.
    pub entry: DaemonId,
    /// The answer.
    pub answer: PermitAnswer,
    /// Tier that the answer refuses for want of capacity.
    pub shed: Option<TierRank>,
    /// Units of its account's rate that a refused request was charged and does not use.
    pub unused: Option<RateCharge>,
}

/// Units of an account's rate that a request was charged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateCharge {
    /// The account.
    pub account: AccountId,
    /// Its units.
    pub cost: u64,
}

impl RateCharge {
    /// What a request was charged. Only its first attempt was.
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
    pub(crate) buckets: BTreeMap<AccountId, RateBucket>,
    pub(crate) level: OverloadLevel,
    pub(crate) away: BTreeSet<VmId>,
    /// Data centres of the entries, as far as they are known.
    pub(crate) places: BTreeMap<VmId, String>,
    /// How fast its targets stream on the whole.
    pub(crate) pace: StreamPace,
    /// How much work it takes in.
    pub(crate) throughput: PoolThroughput,
    /// How much work each urgency asks for and is granted.
    pub(crate) flows: UrgencyFlows,
    /// When the targets' beliefs last faded.
    pub(crate) faded: Uptime,
    /// The part of the targets' limits, and of a trial, that it grants.
    pub(crate) part: RatePart,
    /// What it has granted of a version on trial.
    pub(crate) trial: Option<TrialShare>,
}

impl PoolScheduler {
    /// A scheduler without targets.
    pub fn new(pool: PoolId, options: PoolOptions) -> PoolScheduler {
        PoolScheduler {
            pool,
            options,
            targets: BTreeMap::new(),
            queues: TierQueues::default(),
            permits: BTreeMap::new(),
            buckets: BTreeMap::new(),
            level: OverloadLevel::default(),
            away: BTreeSet::new(),
            places: BTreeMap::new(),
            pace: StreamPace::of_pool(),
            throughput: PoolThroughput::default(),
            flows: UrgencyFlows::default(),
            faded: Duration::ZERO,
            part: RatePart { reached: 1, all: 1, turn: RateTurn::Leader },
            trial: None,
        }
    }

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

    /// Refuses a permit request that ran nowhere.
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

/// Microseconds of a time, at most what fits.
pub(crate) fn micros(time: Duration) -> WorkMicros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// An estimate with room for its error.
pub(crate) fn with_margin(estimate: WorkMicros) -> WorkMicros {
    estimate * MARGIN_PERCENT / 100
}
