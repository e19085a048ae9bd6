//! The scheduler of one pool: holds the queue, knows what is in flight, and binds late.
//!
//! An ask waits until a target has room, and only then is the target chosen. The role is soft: if
//! two daemons act as scheduler for a moment, targets may get more than their slots, and no promise
//! depends on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AccountId, AttemptEnd, DaemonId, PermitAnswer, PermitAsk, PermitDecision, PermitHeld, PermitId,
    PermitReturn, PoolId, Refusal, RefusalReason, StreamTiming, TargetId, TargetPool, TargetReport,
    TierRank, Uptime, VmId, WorkMicros,
};

use crate::account::{AccountLimit, RateBucket};
use crate::flow::PoolFlow;
use crate::pace::StreamPace;
use crate::queue::{TierQueues, WaitingAsk};
use crate::shed::OverloadLevel;
use crate::target::TargetState;

/// Accounts of each tier whose first ask is tried when the best one finds no target.
const HEADS_TRIED: usize = 8;
/// Permits older than this are confirmed with their entry.
const CONFIRM_AFTER: Duration = Duration::from_secs(5);
/// Age that makes up for one rank of the rule inside an account's line.
const URGENCY_AGE: Duration = Duration::from_secs(1_000);
/// Age that a request is credited with that was refused before and came back as it was told.
const HEAD_START: Duration = Duration::from_secs(60);
/// Share of the targets that may be ejected at the same time, in percent. Where all fail, the fault is
/// hardly theirs, and refusing everything would help nobody.
const EJECT_PERCENT: usize = 50;
/// A guessed length may be this many times too long.
const GUESS_DIVISOR: u64 = 3;
/// Estimates are taken this much longer, in percent, where a deadline depends on them.
const MARGIN_PERCENT: u64 = 125;
/// Reading prompts for this part of the longest allowed pause, in percent, stalls no stream.
const STALL_PERCENT: u32 = 70;
/// How much more the time on a target of another data centre counts, in percent.
const FAR_PERCENT: u64 = 15;
/// At least this part of the time to the first part, one in so many, is for the own prompt.
const OWN_PART: u32 = 4;
/// Times that a target's time counts more where all its requests failed lately.
const FAILING_PENALTY: u64 = 8;
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

/// What a scheduler is told of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolOptions {
    /// Asks that may wait.
    pub queue_limit: usize,
    /// Slots in percent that only the top tier may use.
    pub reserve_percent: u32,
    /// Prompt prefixes that a target is believed to cache.
    pub cached_prefixes: usize,
    /// Rank of the top tier.
    pub top: TierRank,
    /// Rank of the lowest tier.
    pub lowest: TierRank,
    /// Age that makes up for a unit of work in the order of an account's line. At 0 the oldest goes
    /// first, at infinity the shortest; docs/MEASUREMENTS.md gives the figures for the values tried.
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

/// How well a target suits an ask; the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TargetFit {
    /// Streams there would pause for too long.
    stalls: bool,
    /// The answer would begin too late.
    late: bool,
    /// Time until its end, longer where requests failed there lately.
    penalized: WorkMicros,
    /// Time until its end.
    time: WorkMicros,
}

/// A permit in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitRecord {
    /// Daemon that uses it.
    pub entry: DaemonId,
    /// Target that it is for.
    pub target: TargetId,
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
}

/// The scheduler of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolScheduler {
    pool: PoolId,
    options: PoolOptions,
    targets: BTreeMap<TargetId, TargetState>,
    queues: TierQueues,
    permits: BTreeMap<PermitId, PermitRecord>,
    buckets: BTreeMap<AccountId, RateBucket>,
    level: OverloadLevel,
    away: BTreeSet<VmId>,
    /// Data centres of the entries, as far as they are known.
    places: BTreeMap<VmId, String>,
    /// How fast its targets stream on the whole.
    pace: StreamPace,
    /// How much work it takes in.
    flow: PoolFlow,
    /// When the targets' beliefs last faded.
    faded: Uptime,
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
            flow: PoolFlow::default(),
            faded: Duration::ZERO,
        }
    }

    /// Takes a new configuration over. What is learned of targets that stay is kept.
    pub fn configure(&mut self, options: PoolOptions, pool: &TargetPool) {
        self.options = options;
        self.targets.retain(|id, _| pool.targets.contains_key(id));
        for (id, entry) in &pool.targets {
            let away = self.away.contains(&entry.vm);
            let state = self.targets.entry(id.clone()).or_insert_with(|| {
                TargetState::new(entry.vm.clone(), entry.slots).with_pace(self.pace.of_new_target())
            });
            state.slots = entry.slots;
            state.data_centre.clone_from(&entry.data_centre);
            state.vm.clone_from(&entry.vm);
            state.leaving = away;
        }
        for (id, state) in &mut self.targets {
            state.in_flight =
                self.permits.values().filter(|permit| permit.target == *id).count() as u32;
        }
    }

    /// Names the VMs that leave or are gone; their targets get no new permits.
    pub fn set_away(&mut self, away: BTreeSet<VmId>) {
        for state in self.targets.values_mut() {
            state.leaving = away.contains(&state.vm);
        }
        self.away = away;
    }

    /// Names the data centres of the entries, so that near targets go first among equals.
    pub fn set_places(&mut self, places: BTreeMap<VmId, String>) {
        self.places = places;
    }

    /// Whether a target is known to be in another data centre than the entry.
    fn is_far(&self, entry: &DaemonId, state: &TargetState) -> bool {
        let place = self.places.get(&entry.vm).filter(|place| !place.is_empty());
        place.is_some_and(|place| !state.data_centre.is_empty() && *place != state.data_centre)
    }

    /// Takes a target's report in.
    pub fn reported(
        &mut self,
        now: Uptime,
        target: &TargetId,
        report: &TargetReport,
    ) -> Vec<SchedulerAction> {
        if let Some(state) = self.targets.get_mut(target) {
            state.reported(now, report);
        }
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Known targets.
    pub fn targets(&self) -> &BTreeMap<TargetId, TargetState> {
        &self.targets
    }

    /// Number of waiting asks.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Number of permits in use.
    pub fn in_flight(&self) -> usize {
        self.permits.len()
    }

    /// The overload level.
    pub fn level(&self) -> &OverloadLevel {
        &self.level
    }

    /// Permits in use.
    pub fn permits(&self) -> &BTreeMap<PermitId, PermitRecord> {
        &self.permits
    }

    /// Whether an ask waits here or has its permit.
    pub fn knows(&self, permit: &PermitId) -> bool {
        self.permits.contains_key(permit) || self.queues.contains(permit)
    }

    /// Takes an ask. A repeated ask gets the answer that it had.
    pub fn ask(&mut self, now: Uptime, entry: DaemonId, ask: PermitAsk) -> Vec<SchedulerAction> {
        if let Some(record) = self.permits.get(&ask.permit) {
            let decision = PermitDecision::Granted(record.target.clone());
            return vec![self.answer(entry, ask.permit, decision)];
        }
        if self.queues.contains(&ask.permit) {
            return vec![self.answer(entry, ask.permit, PermitDecision::Queued)];
        }
        let mut actions = Vec::new();
        if let Err(refusal) = self.admit(now, &ask, &mut actions) {
            let capacity = is_for_capacity(&refusal);
            let action = match capacity {
                true => self.refuse_for_capacity(entry, ask.permit, ask.tier, refusal),
                false => self.answer(entry, ask.permit, PermitDecision::Refused(refusal)),
            };
            actions.push(action);
            return actions;
        }
        let permit = ask.permit;
        let weight = self.limit_of(&ask.account).weight;
        let waiting = self.waiting_ask(now, entry.clone(), ask);
        self.flow.arrived(waiting.ask.tier, waiting.work);
        self.queues.push(waiting, weight);
        self.grant(now, &mut actions);
        if self.queues.contains(&permit) {
            actions.push(self.answer(entry, permit, PermitDecision::Queued));
        }
        actions
    }

    /// Takes a permit or an ask back.
    pub fn give_back(&mut self, now: Uptime, back: &PermitReturn) -> Vec<SchedulerAction> {
        self.queues.remove(&back.permit);
        if let Some(record) = self.permits.remove(&back.permit) {
            self.settle(now, &record, back.end);
        }
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Learns of a permit in use that another scheduler gave.
    pub fn hold(&mut self, now: Uptime, entry: DaemonId, held: PermitHeld) {
        self.queues.remove(&held.ask.permit);
        if let Some(earlier) = self.permits.remove(&held.ask.permit) {
            self.settle(now, &earlier, AttemptEnd::Unused);
        }
        let (prompt_work, output_work) = (held.ask.prompt_work, held.ask.output_work);
        let expected = prompt_work + output_work;
        if let Some(state) = self.targets.get_mut(&held.target) {
            state.in_flight += 1;
        }
        let record = PermitRecord {
            entry,
            target: held.target,
            expected,
            prompt_work,
            output_work,
            backlog: Duration::ZERO,
            confirmed: now,
        };
        self.permits.insert(held.ask.permit, record);
    }

    /// An entry is gone: its asks and permits go with it.
    pub fn entry_gone(&mut self, now: Uptime, entry: &DaemonId) -> Vec<SchedulerAction> {
        for permit in self.queues.of_entry(entry) {
            self.queues.remove(&permit);
        }
        let held: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, record)| record.entry == *entry)
            .map(|(id, _)| *id)
            .collect();
        for permit in held {
            if let Some(record) = self.permits.remove(&permit) {
                self.settle(now, &record, AttemptEnd::Unused);
            }
        }
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Lets time pass: refuses what can no longer finish, confirms old permits, grants.
    pub fn tick(&mut self, now: Uptime) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        self.level.tick(self.options.lowest, now);
        self.flow.tick(now, !self.queues.is_empty());
        if now >= self.faded + Duration::from_secs(1) {
            self.faded = now;
            let pace = self.pace;
            self.targets.values_mut().for_each(|target| target.second_passed(&pace));
        }
        for permit in self.queues.overdue(now) {
            if let Some(waiting) = self.queues.remove(&permit) {
                if now > waiting.wait_until {
                    let refusal = wait_too_long(&waiting.ask, self.drain_time());
                    let decision = PermitDecision::Refused(refusal);
                    actions.push(self.answer(waiting.entry, permit, decision));
                    continue;
                }
                let refusal = self.capacity_refusal(
                    now,
                    waiting.ask.tier,
                    RefusalReason::DeadlineUnreachable,
                );
                let tier = waiting.ask.tier;
                actions.push(self.refuse_for_capacity(waiting.entry, permit, tier, refusal));
                self.shed_below(now, tier, &mut actions);
            }
        }
        self.refuse_unreachable(now, &mut actions);
        self.confirm(now, &mut actions);
        self.grant(now, &mut actions);
        actions
    }

    /// Refuses what waits and has no target left that could take it.
    fn refuse_unreachable(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
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
    fn admit(
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
    fn shed_below(&mut self, now: Uptime, tier: TierRank, actions: &mut Vec<SchedulerAction>) {
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

    /// Whether an ask of a tier below this one waits.
    pub fn holds_below(&self, tier: TierRank) -> bool {
        !self.queues.below(tier).is_empty()
    }

    /// Rank of the lowest tier.
    pub fn lowest(&self) -> TierRank {
        self.options.lowest
    }

    fn refuse_for_capacity(
        &self,
        entry: DaemonId,
        permit: PermitId,
        tier: TierRank,
        refusal: Refusal,
    ) -> SchedulerAction {
        let action = self.answer(entry, permit, PermitDecision::Refused(refusal));
        SchedulerAction { shed: Some(tier), ..action }
    }

    fn capacity_refusal(&mut self, now: Uptime, tier: TierRank, reason: RefusalReason) -> Refusal {
        self.level.raise(tier, now);
        Refusal::not_run(reason, Some(self.drain_time()))
    }

    /// Gives permits as long as the best waiting asks find targets with room.
    fn grant(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
        while let Some((permit, target)) = self.next_grant(now) {
            let Some(waiting) = self.queues.take(&permit) else { return };
            self.flow.granted(waiting.work, !self.queues.is_empty());
            let Some(state) = self.targets.get_mut(&target) else { return };
            let estimate = state.estimate(&waiting.ask);
            let expected = estimate * 1_000 / state.slowness().max(1);
            state.in_flight += 1;
            let backlog = state.prompt_backlog(now);
            if let Some(time) = state.pace.prompt_time(waiting.ask.prompt_work) {
                state.prompt_sent(now, time);
            }
            if let Some(prefix) = waiting.ask.prefix {
                state.prefixes.touch(prefix, self.options.cached_prefixes);
            }
            let record = PermitRecord {
                entry: waiting.entry.clone(),
                target: target.clone(),
                expected,
                prompt_work: waiting.ask.prompt_work,
                output_work: waiting.ask.output_work,
                backlog,
                confirmed: now,
            };
            self.permits.insert(permit, record);
            actions.push(self.answer(waiting.entry, permit, PermitDecision::Granted(target)));
        }
    }

    fn next_grant(&self, now: Uptime) -> Option<(PermitId, TargetId)> {
        // Where everything is busy, and at an overload it is, no ask needs to be looked at.
        let room = |state: &TargetState| state.has_room(true, 0, now);
        if self.queues.is_empty() || !self.targets.values().any(room) {
            return None;
        }
        let heads = self.queues.heads(HEADS_TRIED);
        heads.filter_map(|waiting| Some((waiting.ask.permit, self.place(now, waiting)?))).next()
    }

    /// The target with room that suits the ask best, `None` where waiting for another one is better.
    fn place(&self, now: Uptime, waiting: &WaitingAsk) -> Option<TargetId> {
        let top = waiting.ask.tier == self.options.top;
        let reserve = self.options.reserve_percent;
        let open = self.targets.iter().filter(|(id, state)| {
            state.has_room(top, reserve, now) && !waiting.ask.avoid.contains(id)
        });
        let scored = open.map(|(id, state)| {
            let fit = self.fit(now, waiting, state);
            (fit, load_permille(state), id)
        });
        let (fit, _, target) = scored.min()?;
        // Waiting for a better target is worth while only as long as the answer need not begin yet, and
        // where there is a better one that is busy.
        let may_wait = now < waiting.first_by;
        let time_left = micros(waiting.deadline.saturating_sub(now));
        let too_slow = with_margin(fit.time) > time_left;
        if too_slow && may_wait && self.has_fast_target(now, waiting, time_left) {
            return None;
        }
        if fit.stalls && may_wait && self.has_steady_target(now, waiting) {
            return None;
        }
        Some(target.clone())
    }

    /// How well a target suits an ask.
    fn fit(&self, now: Uptime, waiting: &WaitingAsk, state: &TargetState) -> TargetFit {
        let ask = &waiting.ask;
        let prompt = state.pace.prompt_time(ask.prompt_work);
        let output = state.pace.output_time(ask.output_work, &self.pace);
        let (Some(prompt), Some(output)) = (prompt, output) else {
            let time = state.estimate(ask);
            let penalty = penalty(time, state) + self.distance(waiting, state, time);
            return TargetFit { stalls: false, late: false, penalized: time + penalty, time };
        };
        let backlog = state.prompt_backlog(now);
        let reading = backlog + Duration::from_micros(prompt);
        let stalls = state.in_flight > 0 && self.would_stall(now, state, reading, ask);
        let late = now + reading > waiting.first_by;
        let time = micros(reading) + output;
        let penalty = penalty(time, state) + self.distance(waiting, state, time);
        TargetFit { stalls, late, penalized: time + penalty, time }
    }

    /// Whether reading prompts for so long makes the streams of a target pause for too long. A target
    /// that was seen to pause so long does so again, unless it has little to read.
    fn would_stall(
        &self,
        now: Uptime,
        state: &TargetState,
        reading: Duration,
        ask: &PermitAsk,
    ) -> bool {
        let limit = ask.aims.pause_limit;
        let pauses = state.pace.longest_pause(now) > limit;
        pauses && reading > limit / 100 * STALL_PERCENT
    }

    /// What a target's time counts more since it is far from the entry.
    fn distance(&self, waiting: &WaitingAsk, state: &TargetState, time: WorkMicros) -> WorkMicros {
        match self.is_far(&waiting.entry, state) {
            true => time / 100 * FAR_PERCENT,
            false => 0,
        }
    }

    /// Whether some target that takes new work, busy or not, would end the answer in time.
    fn has_fast_target(&self, now: Uptime, waiting: &WaitingAsk, time_left: WorkMicros) -> bool {
        self.targets.iter().any(|(id, state)| {
            let usable = state.usable(now) && !waiting.ask.avoid.contains(id);
            usable && with_margin(self.fit(now, waiting, state).time) <= time_left
        })
    }

    /// Whether some target that takes new work, busy or not, has not been seen to stall.
    fn has_steady_target(&self, now: Uptime, waiting: &WaitingAsk) -> bool {
        let limit = waiting.ask.aims.pause_limit;
        self.targets.iter().any(|(id, state)| {
            let usable = state.usable(now) && !waiting.ask.avoid.contains(id);
            usable && state.pace.longest_pause(now) <= limit
        })
    }

    fn settle(&mut self, now: Uptime, record: &PermitRecord, end: AttemptEnd) {
        let ejected = self.targets.values().filter(|target| target.ejected()).count();
        let may_eject = (ejected + 1) * 100 <= self.targets.len() * EJECT_PERCENT;
        let Some(state) = self.targets.get_mut(&record.target) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Unused => {}
            AttemptEnd::Whole(took) => state.succeeded(record.expected, took),
            AttemptEnd::Streamed(seen) => {
                state.succeeded(record.expected, seen.first + seen.rest);
                // What it waited for earlier prompts says nothing of its own.
                let own = seen.first.saturating_sub(record.backlog).max(seen.first / OWN_PART);
                let seen = StreamTiming { first: own, ..seen };
                state.pace.learn(now, record.prompt_work, record.output_work, &seen);
                self.pace.learn(now, record.prompt_work, record.output_work, &seen);
            }
            AttemptEnd::Failed => state.failed(now, may_eject),
        }
    }

    /// Sends old permits again; an entry that does not know one any more gives it back.
    fn confirm(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
        for (permit, record) in &mut self.permits {
            if now.saturating_sub(record.confirmed) < CONFIRM_AFTER {
                continue;
            }
            record.confirmed = now;
            let decision = PermitDecision::Granted(record.target.clone());
            let answer = PermitAnswer { permit: *permit, pool: self.pool.clone(), decision };
            actions.push(SchedulerAction { entry: record.entry.clone(), answer, shed: None });
        }
    }

    fn waiting_ask(&self, now: Uptime, entry: DaemonId, ask: PermitAsk) -> WaitingAsk {
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
        if let Some(capacity) = self.flow.capacity_for(ask.tier) {
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

    fn drain_time(&self) -> Duration {
        let time = Duration::from_micros(self.queues.total_work() / self.speed_slots().max(1));
        time.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    fn limit_of(&self, account: &AccountId) -> AccountLimit {
        self.options.accounts.get(account).cloned().unwrap_or_default()
    }

    fn answer(
        &self,
        entry: DaemonId,
        permit: PermitId,
        decision: PermitDecision,
    ) -> SchedulerAction {
        SchedulerAction {
            entry,
            answer: PermitAnswer { permit, pool: self.pool.clone(), decision },
            shed: None,
        }
    }
}

/// The refusal of an ask that would wait too long. It is for the ask's own sake: whatever goes after
/// it waits longer still, so no tier is shed for it.
fn wait_too_long(ask: &PermitAsk, wait: Duration) -> Refusal {
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

/// Microseconds of a time, at most what fits.
fn micros(time: Duration) -> WorkMicros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// What the time on a target counts more where its requests failed lately.
fn penalty(time: WorkMicros, state: &TargetState) -> WorkMicros {
    time / 1_000 * state.failing() * FAILING_PENALTY
}

fn load_permille(state: &TargetState) -> u32 {
    state.in_flight * 1_000 / state.slots.max(1)
}

/// Whether an ask is refused because the pool has not enough room, and not for its own sake.
fn is_for_capacity(refusal: &Refusal) -> bool {
    match refusal.reason {
        RefusalReason::QueueFull | RefusalReason::TierShed => true,
        RefusalReason::DeadlineUnreachable => refusal.retry_after.is_some(),
        _ => false,
    }
}

/// An estimate with room for its error.
fn with_margin(estimate: WorkMicros) -> WorkMicros {
    estimate * MARGIN_PERCENT / 100
}
