//! Decides which requests may wait in a pool's queue, which are refused at once, and which waiting requests are
//! evicted for them.
//!
//! Inputs: the request's tier, account, work (microseconds of a slot), deadline and forecast limit; the
//! overload level, the account's limits, the targets and the queue of the pool.
//!
//! The checks, in this order; the first that applies refuses the request:
//! 1. its tier is shed ([`overload`]): `tier_shed`
//! 2. its account has too many requests waiting, or no token remaining ([`account`]): `account_queue`, `account_rate`
//! 3. no target accepts new work, apart from those at which it has failed: `no_target`
//! 4. the fastest target needs more time than remains until its deadline ([`forecast`]): `deadline_unreachable`
//! 5. its forecast wait exceeds its forecast limit, unless it is a booked return ([`returns`](crate::returns)) or takes up
//!    a stream: `wait_too_long`
//! 6. wait and work together exceed its deadline, unless it takes up a stream: `deadline_unreachable`, and all lower tiers
//!    are shed
//! 7. the queue is full and nothing can be evicted: `queue_full`, and all lower tiers are shed
//!
//! A full queue evicts from the lowest tier first, then from the account of the same tier with the most
//! waiting requests relative to its weight. Whenever a tier is refused for lack of capacity, all schedulers of the
//! pool shed the tiers below it before the refusal is sent ([`level_guard`]). The account's rate over all daemons has
//! been charged before these checks ([`shared_rate`]).
//!
//! Owns: the rules; the state is in [`PoolScheduler`]. Relies on: work estimates of the entry daemons.

pub mod account;
mod burst_window;
mod forecast;
pub mod level_guard;
pub mod overload;
mod replacement;
pub mod shared_rate;
pub mod throughput;
pub mod token_bucket;

use std::time::Duration;

use curlewcleat_core::{
    AccountId, DaemonId, PermitId, PermitRequest, Refusal, RefusalReason, TierRank, Uptime,
};

use self::account::{AccountLimit, RateBucket};
use crate::order::waiting::{RequestAdmission, RequestKind};
use crate::placement::target::TargetState;
use crate::pool::{PoolScheduler, SchedulerAction};
use crate::retry_after::{rest_retry_after, DEFAULT_RETRY_AFTER};
use crate::work_estimate::micros;

impl PoolScheduler {
    /// Refuses waiting requests for which no target remains.
    pub(crate) fn refuse_without_target(
        &mut self,
        now: Uptime,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let open = |target: &TargetState| target.accepts_requests(now) && !target.rests(now);
        // The last target of a version that a request is limited to may have been removed.
        let changed = std::mem::take(&mut self.targets_changed);
        if !changed && self.targets.values().all(open) && !self.targets.is_empty() {
            return;
        }
        let without_target = self
            .queues
            .candidates(usize::MAX)
            .filter(|waiting| !self.has_usable_target(now, &waiting.entry, &waiting.request));
        for permit in without_target.map(|waiting| waiting.request.permit).collect::<Vec<_>>() {
            if let Some(waiting) = self.queues.remove(&permit) {
                let refusal = self.no_target_refusal(now, &waiting.entry, &waiting.request);
                actions.push(self.refuse(waiting.entry, &waiting.request, refusal));
            }
        }
    }

    /// Returns whether some target accepts new work from this entry daemon, has not failed this request and has a version
    /// that the request allows.
    pub(crate) fn has_usable_target(
        &self,
        now: Uptime,
        entry: &DaemonId,
        request: &PermitRequest,
    ) -> bool {
        let only_ejected = self.has_only_ejected_targets(now, request);
        self.targets.iter().any(|(id, target)| {
            let is_open = match only_ejected {
                true => target.is_open_to(request.version),
                false => target.accepts_requests_for(request.version, now),
            };
            let accepts = is_open && target.rest_remaining(now, &entry.vm).is_none();
            let excluded =
                request.avoid.contains(id) || !request.allows_version(target.version_digest);
            accepts && !excluded
        })
    }

    /// Builds the `no_target` refusal. It advises retrying when the first target accepts new work again.
    pub(crate) fn no_target_refusal(
        &self,
        now: Uptime,
        entry: &DaemonId,
        request: &PermitRequest,
    ) -> Refusal {
        let recovery =
            self.targets.values().filter_map(|target| target.ejection_remaining(now)).min();
        let recovery = recovery.unwrap_or(DEFAULT_RETRY_AFTER).max(DEFAULT_RETRY_AFTER);
        let accepting = self.targets.values().filter(|target| target.accepts_requests(now));
        let shortest_rest =
            accepting.filter_map(|target| target.rest_remaining(now, &entry.vm)).min();
        let wait = match shortest_rest {
            Some(rest) => rest_retry_after(request.permit, rest),
            None => recovery,
        };
        Refusal::not_run(RefusalReason::NoTarget, Some(wait))
    }

    /// Decides whether a permit request may wait. If the queue is full, evicts a request of a lower tier, or one of
    /// the same tier.
    ///
    /// A booked return is not refused for its forecast wait. Neither is a request that takes up a stream: it waits before
    /// the new ones of its account, mostly for a slot of one version, of which the forecast knows nothing.
    ///
    /// # Errors
    /// The refusal of the first check that the request does not pass.
    pub(crate) fn admit(
        &mut self,
        now: Uptime,
        entry: &DaemonId,
        request: &PermitRequest,
        kind: RequestKind,
        actions: &mut Vec<SchedulerAction>,
    ) -> Result<RequestAdmission, Refusal> {
        if self.level.sheds(request.tier) {
            let wait = Some(self.level.remaining(now).max(DEFAULT_RETRY_AFTER));
            return Err(Refusal::not_run(RefusalReason::TierShed, wait));
        }
        let limit = self.account_limit(&request.account);
        self.check_account(now, request, &limit)?;
        if !self.has_usable_target(now, entry, request) {
            return Err(self.no_target_refusal(now, entry, request));
        }
        let estimate = self.fastest_estimate(request);
        let time_left = request.time_left.as_micros() as u64;
        if estimate > time_left {
            return Err(Refusal::not_run(RefusalReason::DeadlineUnreachable, None));
        }
        let in_time_until = self.in_time_until(now, request, kind);
        let wait = self.wait_estimate(request, &limit, in_time_until <= now);
        let wait = wait.max(self.target_limit_wait(now));
        if wait > micros(request.objectives.forecast_limit) && kind == RequestKind::New {
            return Err(self.refuse_wait(now, request, Duration::from_micros(wait)));
        }
        if wait + estimate > time_left && kind != RequestKind::TakeUp {
            let refusal =
                self.capacity_refusal(now, request.tier, RefusalReason::DeadlineUnreachable);
            self.shed_below(now, request.tier, actions);
            return Err(refusal);
        }
        if self.queues.len() >= self.options.queue_limit {
            self.evict_for(now, request, actions)?;
        }
        Ok(RequestAdmission { in_time_until, kind })
    }

    /// Checks the account's queue limit and takes a token from its rate bucket.
    ///
    /// # Errors
    /// The refusal, if a limit is exceeded.
    fn check_account(
        &mut self,
        now: Uptime,
        request: &PermitRequest,
        limit: &AccountLimit,
    ) -> Result<(), Refusal> {
        if self.queues.account_len(&request.account) >= limit.queue_limit as usize {
            return Err(Refusal::not_run(
                RefusalReason::AccountQueue,
                Some(self.queue_drain_time()),
            ));
        }
        let Some(rate) = limit.rate_per_s else { return Ok(()) };
        // A further attempt belongs to the same request and is not charged again.
        if request.permit.attempt > 0 {
            return Ok(());
        }
        let bucket = self
            .buckets
            .entry(request.account.clone())
            .or_insert_with(|| RateBucket::new(rate, now));
        bucket
            .take(rate, now)
            .map_err(|wait| Refusal::not_run(RefusalReason::AccountRate, Some(wait)))
    }

    /// Evicts a request of the lowest tier, or of the account of the same tier that waits with the most requests for
    /// its weight.
    ///
    /// # Errors
    /// `queue_full`, if nothing may be evicted; the tiers below are shed then.
    fn evict_for(
        &mut self,
        now: Uptime,
        request: &PermitRequest,
        actions: &mut Vec<SchedulerAction>,
    ) -> Result<(), Refusal> {
        if let Some(victim) = self.queues.victim_below(request.tier) {
            self.evict(now, victim, RefusalReason::ShedForHigherTier, actions);
            return Ok(());
        }
        if let Some(victim) = self.queues.victim_within(request.tier, &request.account) {
            self.evict(now, victim, RefusalReason::AccountQueue, actions);
            return Ok(());
        }
        let refusal = self.capacity_refusal(now, request.tier, RefusalReason::QueueFull);
        self.shed_below(now, request.tier, actions);
        Err(refusal)
    }

    /// Refuses a waiting request and sheds the tiers below it.
    fn evict(
        &mut self,
        now: Uptime,
        victim: PermitId,
        reason: RefusalReason,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(waiting) = self.queues.remove(&victim) else { return };
        let tier = waiting.request.tier;
        let refusal = self.capacity_refusal(now, tier, reason);
        actions.push(self.refuse_for_capacity(waiting.entry, &waiting.request, refusal));
        self.shed_below(now, tier, actions);
    }

    /// Raises the overload level and refuses all waiting requests of the tiers below `tier`, of which a request was
    /// refused for lack of capacity.
    pub(crate) fn shed_below(
        &mut self,
        now: Uptime,
        tier: TierRank,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.level.raise(tier, now);
        for permit in self.queues.below(tier) {
            if let Some(waiting) = self.queues.remove(&permit) {
                let refusal = Refusal::not_run(
                    RefusalReason::ShedForHigherTier,
                    Some(self.queue_drain_time()),
                );
                actions.push(self.refuse_for_capacity(waiting.entry, &waiting.request, refusal));
            }
        }
    }

    /// Sheds the tiers below one that another scheduler of this pool refuses for lack of capacity.
    pub fn shed_for_peer(&mut self, now: Uptime, tier: TierRank) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        self.shed_below(now, tier, &mut actions);
        actions
    }

    /// Refuses a permit request and marks its tier as refused for lack of capacity.
    pub(crate) fn refuse_for_capacity(
        &self,
        entry: DaemonId,
        request: &PermitRequest,
        refusal: Refusal,
    ) -> SchedulerAction {
        let action = self.refuse(entry, request, refusal);
        SchedulerAction { shed: Some(request.tier), ..action }
    }

    /// Raises the overload level and builds the refusal of a request of this tier for lack of capacity.
    pub(crate) fn capacity_refusal(
        &mut self,
        now: Uptime,
        tier: TierRank,
        reason: RefusalReason,
    ) -> Refusal {
        self.level.raise(tier, now);
        Refusal::not_run(reason, Some(self.queue_drain_time()))
    }

    /// Returns the limits of an account.
    pub(crate) fn account_limit(&self, account: &AccountId) -> AccountLimit {
        // An account that was removed from the configuration may still have waiting requests.
        self.options.accounts.get(account).cloned().unwrap_or_default()
    }
}

/// Returns whether a permit request is refused because the pool lacks capacity.
pub(crate) fn is_for_capacity(refusal: &Refusal) -> bool {
    match refusal.reason {
        RefusalReason::QueueFull | RefusalReason::TierShed => true,
        RefusalReason::DeadlineUnreachable => refusal.retry_after.is_some(),
        _ => false,
    }
}
