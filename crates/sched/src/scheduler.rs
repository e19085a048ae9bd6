//! What happens at the scheduler of a pool: it holds the queue, knows what is in flight, and binds
//! late.
//!
//! A permit request waits until a target has room, and only then is the target picked. The role is
//! soft: if two daemons act as scheduler for a moment, targets may get more than their slots, and no
//! promise depends on it.
//!
//! Owns: queue, permits in use, what is learned of the targets. Relies on: the rules in `admission`,
//! `order` and `placement`, which are methods of [`PoolScheduler`]; entries that give permits back.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, PermitAnswer, PermitDecision, PermitHeld, PermitId, PermitRequest,
    PermitReturn, RefusalReason, StreamTiming, TierRank, Uptime,
};

use crate::admission::overload::OverloadLevel;
use crate::admission::{is_for_capacity, wait_too_long};
use crate::order::flows::UrgencyFlows;
use crate::order::shares::divide;
use crate::placement::ejection::may_eject_one_more;
use crate::pool::{PermitRecord, PoolScheduler, RateCharge, SchedulerAction};
use crate::targets::state_of;

/// Permits older than this are confirmed with their entry.
const CONFIRM_AFTER: Duration = Duration::from_secs(5);
/// Of the time to the first part, at least one part in this many is for the own prompt.
const OWN_PART: u32 = 4;

impl PoolScheduler {
    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Number of waiting requests that can no longer begin in time.
    pub fn waiting_late(&self) -> usize {
        self.queues.late_len()
    }

    /// Number of permits in use.
    pub fn in_flight(&self) -> usize {
        self.permits.len()
    }

    /// How much work each urgency asks for and is granted.
    pub fn flows(&self) -> &UrgencyFlows {
        &self.flows
    }

    /// Forgets how much work each urgency asks for. A model with one urgency, whose share is all, has fewer states so.
    pub fn forget_flows(&mut self) {
        self.flows = UrgencyFlows::default();
        self.queues.forget_shares();
    }

    /// The overload level.
    pub fn level(&self) -> &OverloadLevel {
        &self.level
    }

    /// Permits in use.
    pub fn permits(&self) -> &BTreeMap<PermitId, PermitRecord> {
        &self.permits
    }

    /// Whether a permit request waits here or has its permit.
    pub fn knows(&self, permit: &PermitId) -> bool {
        self.permits.contains_key(permit) || self.queues.contains(permit)
    }

    /// Takes a permit request. A repeated request gets the answer that it had.
    pub fn request_permit(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
    ) -> Vec<SchedulerAction> {
        if let Some(record) = self.permits.get(&request.permit) {
            let decision = PermitDecision::Granted(record.target.id.clone());
            return vec![self.answer(entry, request.permit, decision)];
        }
        if self.queues.contains(&request.permit) {
            return vec![self.answer(entry, request.permit, PermitDecision::Queued)];
        }
        if self.is_at_target(&request.permit) {
            return self.request_replacement(now, entry, request);
        }
        self.flows.asked(&request);
        let mut actions = Vec::new();
        let in_time_until = match self.admit(now, &entry, &request, &mut actions) {
            Ok(in_time_until) => in_time_until,
            Err(refusal) => {
                let action = match is_for_capacity(&refusal) {
                    true => self.refuse_for_capacity(entry, &request, refusal),
                    false => self.refuse(entry, &request, refusal),
                };
                actions.push(action);
                return actions;
            }
        };
        self.enqueue(now, entry, request, in_time_until, &mut actions);
        actions
    }

    /// Lets a permit request wait, and grants what can be granted.
    pub(crate) fn enqueue(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
        in_time_until: Uptime,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let permit = request.permit;
        let weight = self.limit_of(&request.account).weight;
        let waiting = self.waiting_request(now, entry.clone(), request, in_time_until);
        self.throughput.arrived(waiting.request.tier, waiting.work);
        self.queues.push(now, waiting, weight);
        self.grant(now, actions);
        if self.queues.contains(&permit) {
            actions.push(self.answer(entry, permit, PermitDecision::Queued));
        }
    }

    /// What a permit request that waits was charged.
    pub fn charge_of_waiting(&self, permit: &PermitId) -> Option<RateCharge> {
        self.queues.get(permit).and_then(|waiting| RateCharge::of(&waiting.request))
    }

    /// Takes a permit or a permit request back.
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
        self.queues.remove(&held.request.permit);
        if let Some(earlier) = self.permits.remove(&held.request.permit) {
            self.settle(now, &earlier, AttemptEnd::Unused);
        }
        let (prompt_work, output_work) = (held.request.prompt_work, held.request.output_work);
        let expected = prompt_work + output_work;
        let target = self.life_of(&held.target);
        if let Some(state) = state_of(&mut self.targets, &target) {
            state.in_flight += 1;
        }
        let record = PermitRecord {
            entry,
            target,
            expected,
            prompt_work,
            output_work,
            backlog: Duration::ZERO,
            confirmed: now,
            stalled: false,
        };
        self.permits.insert(held.request.permit, record);
    }

    /// An entry is gone: its requests and permits go with it.
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
        self.throughput.tick(now, !self.queues.is_empty());
        if self.flows.tick(now) {
            self.share_out();
        }
        if now >= self.faded + Duration::from_secs(1) {
            self.faded = now;
            let pace = self.pace;
            self.targets.values_mut().for_each(|target| target.second_passed(&pace));
        }
        for permit in self.queues.overdue(now) {
            if let Some(waiting) = self.queues.remove(&permit) {
                if now > waiting.wait_until || self.is_at_target(&permit) {
                    let refusal = wait_too_long(&waiting.request, self.drain_time());
                    actions.push(self.refuse(waiting.entry, &waiting.request, refusal));
                    continue;
                }
                let refusal = self.capacity_refusal(
                    now,
                    waiting.request.tier,
                    RefusalReason::DeadlineUnreachable,
                );
                let tier = waiting.request.tier;
                actions.push(self.refuse_for_capacity(waiting.entry, &waiting.request, refusal));
                self.shed_below(now, tier, &mut actions);
            }
        }
        self.refuse_unreachable(now, &mut actions);
        self.confirm(now, &mut actions);
        self.grant(now, &mut actions);
        actions
    }

    /// Whether a permit request of a tier below this one waits.
    pub fn holds_below(&self, tier: TierRank) -> bool {
        !self.queues.below(tier).is_empty()
    }

    /// Rank of the lowest tier.
    pub fn lowest(&self) -> TierRank {
        self.options.lowest
    }

    pub(crate) fn may_eject(&self) -> bool {
        let ejected = self.targets.values().filter(|target| target.ejected()).count();
        may_eject_one_more(ejected, self.targets.len())
    }

    /// Divides the places of each tier among its urgencies, by what they ask for.
    fn share_out(&mut self) {
        for (tier, asked) in self.flows.asked_per_second() {
            let capacity = self.throughput.capacity_for(tier);
            self.queues.share_out(tier, divide(&asked, capacity));
        }
    }

    fn settle(&mut self, now: Uptime, record: &PermitRecord, end: AttemptEnd) {
        let may_eject = self.may_eject();
        let Some(state) = state_of(&mut self.targets, &record.target) else { return };
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
            // Counted when its request asked for another one.
            AttemptEnd::Failed if record.stalled => {}
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
            let decision = PermitDecision::Granted(record.target.id.clone());
            let answer = PermitAnswer { permit: *permit, pool: self.pool.clone(), decision };
            let entry = record.entry.clone();
            actions.push(SchedulerAction { entry, answer, shed: None, unused: None });
        }
    }
}
