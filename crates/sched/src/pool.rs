//! The scheduler of one pool: holds the queue, knows what is in flight, and binds late.
//!
//! An ask waits until a target has room, and only then is the target chosen. The role is soft: if
//! two daemons act as scheduler for a moment, targets may get more than their slots, and no promise
//! depends on it.

mod admission;
mod placement;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    AccountId, AttemptEnd, DaemonId, PermitAnswer, PermitAsk, PermitDecision, PermitHeld, PermitId,
    PermitReturn, PoolId, RefusalReason, StreamTiming, TargetId, TargetPool, TargetReport,
    TierRank, Uptime, VmId, WorkMicros,
};

pub use self::admission::spread_advice;
use self::admission::{is_for_capacity, wait_too_long};
use crate::account::{AccountLimit, RateBucket};
use crate::flow::PoolFlow;
use crate::pace::StreamPace;
use crate::queue::TierQueues;
use crate::shed::OverloadLevel;
use crate::target::TargetState;

/// Permits older than this are confirmed with their entry.
const CONFIRM_AFTER: Duration = Duration::from_secs(5);
/// Share of the targets that may be ejected at the same time, in percent. Where all fail, the fault is
/// hardly theirs, and refusing everything would help nobody.
const EJECT_PERCENT: usize = 50;
/// Estimates are taken this much longer, in percent, where a deadline depends on them.
const MARGIN_PERCENT: u64 = 125;
/// At least this part of the time to the first part, one in so many, is for the own prompt.
const OWN_PART: u32 = 4;

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

    /// Whether an ask of a tier below this one waits.
    pub fn holds_below(&self, tier: TierRank) -> bool {
        !self.queues.below(tier).is_empty()
    }

    /// Rank of the lowest tier.
    pub fn lowest(&self) -> TierRank {
        self.options.lowest
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

/// Microseconds of a time, at most what fits.
fn micros(time: Duration) -> WorkMicros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// An estimate with room for its error.
fn with_margin(estimate: WorkMicros) -> WorkMicros {
    estimate * MARGIN_PERCENT / 100
}
