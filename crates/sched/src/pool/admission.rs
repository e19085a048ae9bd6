//! Who may wait, who is refused at once, and who makes room.

use std::time::Duration;

use curlewcleat_core::{
    AccountId, DaemonId, PermitAsk, PermitDecision, PermitId, Refusal, RefusalReason, TierRank,
    Uptime, WorkMicros,
};

use super::{micros, with_margin, PoolScheduler, SchedulerAction};
use crate::account::{AccountLimit, RateBucket};
use crate::queue::WaitingAsk;
use crate::target::TargetState;

/// Age that makes up for one rank of the rule inside an account's line.
const URGENCY_AGE: Duration = Duration::from_secs(1_000);
/// Age that a request is credited with that was refused before and came back as it was told.
const HEAD_START: Duration = Duration::from_secs(60);
/// A guessed length may be this many times too long.
const GUESS_DIVISOR: u64 = 3;
/// Part of the time left over which returns are spread, in percent.
const SPREAD_PERCENT: u32 = 25;
/// Part of the time left after which there is no use in coming back, in percent.
const ADVICE_PERCENT: u32 = 30;
/// Steps in which returns are spread.
const SPREAD_STEPS: u32 = 1_024;
/// Shortest advice when to come back.
const LEAST_ADVICE: Duration = Duration::from_millis(100);
/// Bounds of the advice when to come back.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

impl PoolScheduler {
    /// Refuses what waits and has no target left that could take it.
    pub(super) fn refuse_unreachable(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
        if self.targets.values().all(|target| target.usable(now)) && !self.targets.is_empty() {
            return;
        }
        let lost =
            self.queues.heads(usize::MAX).filter(|waiting| !self.reachable(now, &waiting.ask));
        for permit in lost.map(|waiting| waiting.ask.permit).collect::<Vec<_>>() {
            if let Some(waiting) = self.queues.remove(&permit) {
                let refusal = self.no_target(now);
                actions.push(self.answer(waiting.entry, permit, PermitDecision::Refused(refusal)));
            }
        }
    }

    /// Whether a target takes new work that has not failed this request already.
    fn reachable(&self, now: Uptime, ask: &PermitAsk) -> bool {
        self.targets.iter().any(|(id, target)| target.usable(now) && !ask.avoid.contains(id))
    }

    fn no_target(&self, now: Uptime) -> Refusal {
        let back = self.targets.values().filter_map(|target| target.back_after(now)).min();
        let wait = back.unwrap_or(RETRY_AFTER_RANGE.0).max(RETRY_AFTER_RANGE.0);
        Refusal::not_run(RefusalReason::NoTarget, Some(wait))
    }

    /// Decides whether an ask may wait; makes room for it if that takes nothing from a higher tier.
    pub(super) fn admit(
        &mut self,
        now: Uptime,
        ask: &PermitAsk,
        actions: &mut Vec<SchedulerAction>,
    ) -> Result<(), Refusal> {
        if self.level.sheds(ask.tier) {
            let wait = Some(self.level.remaining(now).max(RETRY_AFTER_RANGE.0));
            return Err(Refusal::not_run(RefusalReason::TierShed, wait));
        }
        let limit = self.limit_of(&ask.account);
        self.check_account(now, ask, &limit)?;
        if !self.reachable(now, ask) {
            return Err(self.no_target(now));
        }
        let estimate = self.fastest_estimate(ask);
        let time_left = ask.time_left.as_micros() as u64;
        if estimate > time_left {
            return Err(Refusal::not_run(RefusalReason::DeadlineUnreachable, None));
        }
        let wait = self.wait_estimate(ask, &limit);
        if wait > micros(ask.aims.forecast_limit) {
            return Err(wait_too_long(ask, Duration::from_micros(wait)));
        }
        if wait + estimate > time_left {
            let refusal = self.capacity_refusal(now, ask.tier, RefusalReason::DeadlineUnreachable);
            self.shed_below(now, ask.tier, actions);
            return Err(refusal);
        }
        if self.queues.len() >= self.options.queue_limit {
            self.make_room(now, ask, actions)?;
        }
        Ok(())
    }

    fn check_account(
        &mut self,
        now: Uptime,
        ask: &PermitAsk,
        limit: &AccountLimit,
    ) -> Result<(), Refusal> {
        if self.queues.account_len(&ask.account) >= limit.queue_limit as usize {
            return Err(Refusal::not_run(RefusalReason::AccountQueue, Some(self.drain_time())));
        }
        let Some(rate) = limit.rate_per_s else { return Ok(()) };
        // A retry inside the system is the same request and is not charged again.
        if ask.permit.attempt > 0 {
            return Ok(());
        }
        let bucket =
            self.buckets.entry(ask.account.clone()).or_insert_with(|| RateBucket::new(rate, now));
        bucket
            .take(rate, now)
            .map_err(|wait| Refusal::not_run(RefusalReason::AccountRate, Some(wait)))
    }

    /// Evicts from a lower tier, or from the account of the same tier that takes the most room.
    fn make_room(
        &mut self,
        now: Uptime,
        ask: &PermitAsk,
        actions: &mut Vec<SchedulerAction>,
    ) -> Result<(), Refusal> {
        if let Some(victim) = self.queues.victim_below(ask.tier) {
            self.evict(now, victim, RefusalReason::ShedForHigherTier, actions);
            return Ok(());
        }
        if let Some(victim) = self.queues.victim_within(ask.tier, &ask.account) {
            self.evict(now, victim, RefusalReason::AccountQueue, actions);
            return Ok(());
        }
        let refusal = self.capacity_refusal(now, ask.tier, RefusalReason::QueueFull);
        self.shed_below(now, ask.tier, actions);
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
        let tier = waiting.ask.tier;
        let refusal = self.capacity_refusal(now, tier, reason);
        actions.push(self.refuse_for_capacity(waiting.entry, victim, tier, refusal));
        self.shed_below(now, tier, actions);
    }

    /// Refuses what waits in the tiers below one that was refused for want of capacity.
    pub(super) fn shed_below(
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
                let tier = waiting.ask.tier;
                actions.push(self.refuse_for_capacity(waiting.entry, permit, tier, refusal));
            }
        }
    }

    /// Another scheduler of this pool refuses a tier for want of capacity: sheds all below it here.
    pub fn shed_for_peer(&mut self, now: Uptime, tier: TierRank) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        self.shed_below(now, tier, &mut actions);
        actions
    }

    pub(super) fn refuse_for_capacity(
        &self,
        entry: DaemonId,
        permit: PermitId,
        tier: TierRank,
        refusal: Refusal,
    ) -> SchedulerAction {
        let action = self.answer(entry, permit, PermitDecision::Refused(refusal));
        SchedulerAction { shed: Some(tier), ..action }
    }

    pub(super) fn capacity_refusal(
        &mut self,
        now: Uptime,
        tier: TierRank,
        reason: RefusalReason,
    ) -> Refusal {
        self.level.raise(tier, now);
        Refusal::not_run(reason, Some(self.drain_time()))
    }

    pub(super) fn waiting_ask(&self, now: Uptime, entry: DaemonId, ask: PermitAsk) -> WaitingAsk {
        let work = ask.prompt_work + ask.output_work;
        let deadline = now + ask.time_left;
        let estimate = self.fastest_estimate(&ask);
        let wait_until = now.saturating_add(ask.aims.wait_limit);
        let latest_start = deadline.saturating_sub(Duration::from_micros(estimate)).min(wait_until);
        let urgency = URGENCY_AGE * u32::from(ask.aims.urgency);
        let head_start = if ask.aims.came_back { HEAD_START } else { Duration::ZERO };
        let order = now.saturating_sub(head_start)
            + urgency
            + Duration::from_micros(work * self.options.age_per_work);
        let first_by = now.saturating_add(ask.aims.first_by);
        WaitingAsk { entry, ask, deadline, first_by, wait_until, latest_start, order, work }
    }

    /// Time that the fastest target needs, with room for the error of the estimate: too late where the
    /// work is known, too early where the length of the answer is a guess.
    fn fastest_estimate(&self, ask: &PermitAsk) -> WorkMicros {
        let usable = self.targets.values().filter(|state| !state.leaving && !state.ejected());
        if ask.aims.length_guessed {
            let times = usable.filter_map(|state| self.stream_time(ask, state));
            return times.min().unwrap_or(0) / GUESS_DIVISOR;
        }
        let fastest = usable.map(|state| state.estimate(ask)).min();
        with_margin(fastest.unwrap_or(ask.prompt_work + ask.output_work))
    }

    /// Time of a stream on an idle target by what was learned, `None` while nothing is known.
    fn stream_time(&self, ask: &PermitAsk, state: &TargetState) -> Option<WorkMicros> {
        let prompt = state.pace.prompt_time(ask.prompt_work)?;
        let output = state.pace.output_time(ask.output_work, &self.pace)?;
        Some(prompt + output)
    }

    /// Estimated time until a new ask would be granted.
    fn wait_estimate(&self, ask: &PermitAsk, limit: &AccountLimit) -> WorkMicros {
        let ahead = self.queues.work_ahead(ask, limit.weight);
        // Where the work is known, the targets' speeds tell more than what happened to be granted lately.
        let capacity = self.flow.capacity_for(ask.tier).filter(|_| ask.aims.length_guessed);
        if let Some(capacity) = capacity {
            let micros = u128::from(ahead) * 1_000_000 / u128::from(capacity);
            return u64::try_from(micros).unwrap_or(u64::MAX);
        }
        ahead / self.speed_slots().max(1)
    }

    /// Slots of the usable targets, each weighed by its speed.
    fn speed_slots(&self) -> u64 {
        let usable = self.targets.values().filter(|state| !state.leaving && !state.ejected());
        usable.map(|state| u64::from(state.slots) * 1_000 / state.slowness().max(1)).sum()
    }

    pub(super) fn drain_time(&self) -> Duration {
        let time = Duration::from_micros(self.queues.total_work() / self.speed_slots().max(1));
        time.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    pub(super) fn limit_of(&self, account: &AccountId) -> AccountLimit {
        self.options.accounts.get(account).cloned().unwrap_or_default()
    }
}

/// The refusal of an ask that would wait too long. It is for the ask's own sake: whatever goes after
/// it waits longer still, so no tier is shed for it.
pub(super) fn wait_too_long(ask: &PermitAsk, wait: Duration) -> Refusal {
    let advice = spread_advice(ask.permit, wait, ask.time_left);
    Refusal::not_run(RefusalReason::WaitTooLong, Some(advice))
}

/// Advice when to come back: not before `wait`, and spread over a part of the time that is left, so that
/// those who are refused together do not come back together.
pub fn spread_advice(permit: PermitId, wait: Duration, time_left: Duration) -> Duration {
    let drawn = (permit.request.as_u128() % u128::from(SPREAD_STEPS)) as u32;
    let spread = time_left / 100 * SPREAD_PERCENT / SPREAD_STEPS * drawn;
    let most = (time_left / 100 * ADVICE_PERCENT).max(LEAST_ADVICE);
    (wait + spread).clamp(LEAST_ADVICE, most)
}

/// Whether an ask is refused because the pool has not enough room, and not for its own sake.
pub(super) fn is_for_capacity(refusal: &Refusal) -> bool {
    match refusal.reason {
        RefusalReason::QueueFull | RefusalReason::TierShed => true,
        RefusalReason::DeadlineUnreachable => refusal.retry_after.is_some(),
        _ => false,
    }
}
