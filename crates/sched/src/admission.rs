//! Is a request admitted to a pool? Who may wait, who is refused at once, and who makes room.
//!
//! Inputs: the request's tier, account, work (microseconds of a slot), deadline and forecast limit; the
//! overload level, the account's limits, the targets and the queue of the pool.
//!
//! The rule, in this order; the first that holds refuses:
//! 1. its tier is shed ([`overload`]): `tier_shed`
//! 2. its account has too much waiting, or no token left ([`account`]): `account_queue`, `account_rate`
//! 3. no target that it has not failed at takes new work: `no_target`
//! 4. the fastest target needs longer than its deadline ([`forecast`]): `deadline_unreachable`
//! 5. its forecast wait is above its forecast limit: `wait_too_long`
//! 6. wait and work together are above its deadline: `deadline_unreachable`, and all lower tiers are shed
//! 7. the queue is full and nothing can be evicted: `queue_full`, and all lower tiers are shed
//!
//! A full queue evicts from the lowest tier first, then from the account of the same tier with the most
//! waiting for its weight. Whenever a tier is refused for want of capacity, everything below it is shed
//! everywhere before the refusal goes out ([`level_guard`]). The account's rate over all daemons is
//! charged before ([`shared_rate`]).
//!
//! Owns: the rules; the state is the [`PoolScheduler`]'s. Relies on: work estimates of the entries.

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
use crate::advice::{rest_advice, spread_advice, DEFAULT_ADVICE};
use crate::placement::target::TargetState;
use crate::pool::{micros, PoolScheduler, SchedulerAction};

impl PoolScheduler {
    /// Refuses what waits and has no target left that could take it.
    pub(crate) fn refuse_unreachable(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
        let open = |target: &TargetState| target.usable(now) && !target.rests(now);
        if self.targets.values().all(open) && !self.targets.is_empty() {
            return;
        }
        let lost = self
            .queues
            .heads(usize::MAX)
            .filter(|waiting| !self.reachable(now, &waiting.entry, &waiting.request));
        for permit in lost.map(|waiting| waiting.request.permit).collect::<Vec<_>>() {
            if let Some(waiting) = self.queues.remove(&permit) {
                let refusal = self.no_target(now, &waiting.entry, &waiting.request);
                actions.push(self.refuse(waiting.entry, &waiting.request, refusal));
            }
        }
    }

    /// Whether a target takes new work from this entry that has not failed this request already.
    pub(crate) fn reachable(&self, now: Uptime, entry: &DaemonId, request: &PermitRequest) -> bool {
        self.targets.iter().any(|(id, target)| {
            let takes = target.usable(now) && target.rest_left(now, &entry.vm).is_none();
            takes && !request.avoid.contains(id)
        })
    }

    pub(crate) fn no_target(
        &self,
        now: Uptime,
        entry: &DaemonId,
        request: &PermitRequest,
    ) -> Refusal {
        let back = self.targets.values().filter_map(|target| target.back_after(now)).min();
        let back = back.unwrap_or(DEFAULT_ADVICE).max(DEFAULT_ADVICE);
        let rests = self.targets.values().filter(|target| target.usable(now));
        let rested = rests.filter_map(|target| target.rest_left(now, &entry.vm)).min();
        let wait = match rested {
            Some(rest) => rest_advice(request.permit, rest),
            None => back,
        };
        Refusal::not_run(RefusalReason::NoTarget, Some(wait))
    }

    /// Decides whether a permit request may wait, and until when it can begin in time; makes room for it if
    /// that takes nothing from a higher tier.
    pub(crate) fn admit(
        &mut self,
        now: Uptime,
        entry: &DaemonId,
        request: &PermitRequest,
        actions: &mut Vec<SchedulerAction>,
    ) -> Result<Uptime, Refusal> {
        if self.level.sheds(request.tier) {
            let wait = Some(self.level.remaining(now).max(DEFAULT_ADVICE));
            return Err(Refusal::not_run(RefusalReason::TierShed, wait));
        }
        let limit = self.limit_of(&request.account);
        self.check_account(now, request, &limit)?;
        if !self.reachable(now, entry, request) {
            return Err(self.no_target(now, entry, request));
        }
        let estimate = self.fastest_estimate(request);
        let time_left = request.time_left.as_micros() as u64;
        if estimate > time_left {
            return Err(Refusal::not_run(RefusalReason::DeadlineUnreachable, None));
        }
        let in_time_until = self.in_time_until(now, request);
        let wait = self.wait_estimate(request, &limit, in_time_until <= now);
        let wait = wait.max(self.limit_wait(now));
        if wait > micros(request.objectives.forecast_limit) {
            return Err(wait_too_long(request, Duration::from_micros(wait)));
        }
        if wait + estimate > time_left {
            let refusal =
                self.capacity_refusal(now, request.tier, RefusalReason::DeadlineUnreachable);
            self.shed_below(now, request.tier, actions);
            return Err(refusal);
        }
        if self.queues.len() >= self.options.queue_limit {
            self.make_room(now, request, actions)?;
        }
        Ok(in_time_until)
    }

    fn check_account(
        &mut self,
        now: Uptime,
        request: &PermitRequest,
        limit: &AccountLimit,
    ) -> Result<(), Refusal> {
        if self.queues.account_len(&request.account) >= limit.queue_limit as usize {
            return Err(Refusal::not_run(RefusalReason::AccountQueue, Some(self.drain_time())));
        }
        let Some(rate) = limit.rate_per_s else { return Ok(()) };
        // A retry inside the system is the same request and is not charged again.
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

    /// Evicts from a lower tier, or from the account of the same tier that takes the most room.
    fn make_room(
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

    /// Refuses what waits in the tiers below one that was refused for want of capacity.
    pub(crate) fn shed_below(
        &mut self,
        now: Uptime,
        tier: TierRank,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.level.raise(tier, now);
        for permit in self.queues.below(tier) {
            if let Some(waiting) = self.queues.remove(&permit) {
                let refusal =
                    Refusal::not_run(RefusalReason::ShedForHigherTier, Some(self.drain_time()));
                actions.push(self.refuse_for_capacity(waiting.entry, &waiting.request, refusal));
            }
        }
    }

    /// Another scheduler of this pool refuses a tier for want of capacity: sheds all below it here.
    pub fn shed_for_peer(&mut self, now: Uptime, tier: TierRank) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        self.shed_below(now, tier, &mut actions);
        actions
    }

    pub(crate) fn refuse_for_capacity(
        &self,
        entry: DaemonId,
        request: &PermitRequest,
        refusal: Refusal,
    ) -> SchedulerAction {
        let action = self.refuse(entry, request, refusal);
        SchedulerAction { shed: Some(request.tier), ..action }
    }

    pub(crate) fn capacity_refusal(
        &mut self,
        now: Uptime,
        tier: TierRank,
        reason: RefusalReason,
    ) -> Refusal {
        self.level.raise(tier, now);
        Refusal::not_run(reason, Some(self.drain_time()))
    }

    pub(crate) fn limit_of(&self, account: &AccountId) -> AccountLimit {
        // An account that the configuration no longer has keeps its queue with the defaults.
        self.options.accounts.get(account).cloned().unwrap_or_default()
    }
}

/// The refusal of a permit request that would wait too long. The wait is longer still for whatever
/// goes after it, so the refusal sheds no tier.
pub(crate) fn wait_too_long(request: &PermitRequest, wait: Duration) -> Refusal {
    let advice = spread_advice(request.permit, wait, request.time_left);
    Refusal::not_run(RefusalReason::WaitTooLong, Some(advice))
}

/// Whether a permit request is refused because the pool has not enough room.
pub(crate) fn is_for_capacity(refusal: &Refusal) -> bool {
    match refusal.reason {
        RefusalReason::QueueFull | RefusalReason::TierShed => true,
        RefusalReason::DeadlineUnreachable => refusal.retry_after.is_some(),
        _ => false,
    }
}
