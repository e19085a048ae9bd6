//! Handles the events at the scheduler of a pool: permit requests, returned permits and the passing of time.
//!
//! A permit request waits until a target has capacity; its target is selected only then. Only one daemon should act as
//! scheduler of a pool, but this is not guaranteed: if two do so briefly, targets may get more requests than they
//! have slots. No guarantee depends on it.
//!
//! Owns: queue, permits in use, what is learned about the targets. Relies on: the rules in `admission`,
//! `order` and `placement`, which are methods of [`PoolScheduler`]; entry daemons that return permits.

mod lost_entries;
mod permit_ends;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, PermitDecision, PermitHeld, PermitId, PermitRequest, PermitReturn,
    RefusalReason, TierRank, Uptime, WorkMicros,
};

use crate::admission::is_for_capacity;
use crate::admission::overload::OverloadLevel;
use crate::order::flows::UrgencyFlows;
use crate::order::shares::divide_capacity;
use crate::order::waiting::{RequestAdmission, RequestKind};
use crate::permit_record::PermitRecord;
use crate::placement::ejection::may_eject_one_more;
use crate::pool::{PoolScheduler, RateCharge, SchedulerAction};
use crate::returns::ReturnCounts;
use crate::targets::state_of;

impl PoolScheduler {
    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Returns the number of waiting requests that can no longer begin in time.
    pub fn waiting_late(&self) -> usize {
        self.queues.late_len()
    }

    /// Returns the number of permits in use.
    pub fn in_flight(&self) -> usize {
        self.permits.len()
    }

    /// Returns the requested and granted work of each urgency.
    pub fn flows(&self) -> &UrgencyFlows {
        &self.flows
    }

    /// Clears the requested and granted work of the urgencies. A model with one urgency, which has all slots, uses
    /// this to have fewer states.
    pub fn clear_flows(&mut self) {
        self.flows = UrgencyFlows::default();
        self.demand.clear();
        self.queues.clear_shares();
    }

    /// Returns what was booked and redeemed of the returns of refused requests.
    pub fn return_counts(&self) -> ReturnCounts {
        self.returns.counts
    }

    /// Returns the overload level.
    pub fn level(&self) -> &OverloadLevel {
        &self.level
    }

    /// Returns the permits in use.
    pub fn permits(&self) -> &BTreeMap<PermitId, PermitRecord> {
        &self.permits
    }

    /// Returns whether a permit request waits here or has its permit.
    pub fn knows(&self, permit: &PermitId) -> bool {
        self.permits.contains_key(permit) || self.queues.contains(permit)
    }

    /// Handles a permit request: grants, queues or refuses it. A repeated request gets the same answer again.
    pub fn request_permit(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
    ) -> Vec<SchedulerAction> {
        self.request_permit_as(now, entry, request, RequestKind::New)
    }

    /// Same as [`request_permit`](PoolScheduler::request_permit), for a request that takes up a stream.
    pub fn request_take_up(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
    ) -> Vec<SchedulerAction> {
        self.request_permit_as(now, entry, request, RequestKind::TakeUp)
    }

    fn request_permit_as(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
        kind: RequestKind,
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
        self.flows.record_request(&request);
        let mut actions = Vec::new();
        let kind = match kind {
            RequestKind::New if self.redeem_return(now, &request) => RequestKind::Return,
            kind => kind,
        };
        let admission = match self.admit(now, &entry, &request, kind, &mut actions) {
            Ok(admission) => admission,
            Err(refusal) => {
                let action = match is_for_capacity(&refusal) {
                    true => self.refuse_for_capacity(entry, &request, refusal),
                    false => self.refuse(entry, &request, refusal),
                };
                actions.push(action);
                return actions;
            }
        };
        self.enqueue(now, entry, request, admission, &mut actions);
        actions
    }

    /// Adds a permit request to the queue, and grants permits.
    pub(crate) fn enqueue(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
        admission: RequestAdmission,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let permit = request.permit;
        let weight = self.account_limit(&request.account).weight;
        let waiting = self.waiting_request(now, entry.clone(), request, admission);
        self.throughput.record_arrival(waiting.request.tier, waiting.work);
        self.queues.push(now, waiting, weight);
        self.grant(now, actions);
        if self.queues.contains(&permit) {
            actions.push(self.answer(entry, permit, PermitDecision::Queued));
        }
    }

    /// Returns the units that a waiting permit request was charged.
    pub fn charge_of_waiting(&self, permit: &PermitId) -> Option<RateCharge> {
        self.queues.get(permit).and_then(|waiting| RateCharge::of(&waiting.request))
    }

    /// Handles a returned permit or a withdrawn permit request.
    pub fn return_permit(&mut self, now: Uptime, returned: &PermitReturn) -> Vec<SchedulerAction> {
        self.queues.remove(&returned.permit);
        self.lost_permits.forget(&returned.permit);
        if let Some(record) = self.permits.remove(&returned.permit) {
            self.record_end(now, &record, returned.end);
        }
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Records a permit in use that another scheduler granted.
    pub fn record_held_permit(&mut self, now: Uptime, entry: DaemonId, held: PermitHeld) {
        self.queues.remove(&held.request.permit);
        self.lost_permits.forget(&held.request.permit);
        if let Some(earlier) = self.permits.remove(&held.request.permit) {
            self.record_end(now, &earlier, AttemptEnd::Unused);
        }
        let (prompt_work, output_work) = (held.request.prompt_work, held.request.output_work);
        let expected = prompt_work + output_work;
        let target = self.instance_of(&held.target);
        if let Some(state) = state_of(&mut self.targets, &target) {
            state.held_request_reported();
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

    /// Removes the requests and permits of an entry daemon that has left.
    pub fn remove_entry_daemon(&mut self, now: Uptime, entry: &DaemonId) -> Vec<SchedulerAction> {
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
                self.record_end(now, &record, AttemptEnd::Unused);
            }
        }
        self.entry_numbers.remove(entry);
        self.lost_permits.take(entry);
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Advances the time: refuses requests whose latest start has passed, confirms old permits, and grants
    /// permits.
    pub fn tick(&mut self, now: Uptime) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        self.lost_permits.expire(now);
        self.level.tick(self.options.lowest, now);
        self.throughput.tick(now, self.queues.has_new());
        if self.flows.tick(now) {
            self.update_shares();
        }
        if now >= self.last_decay + Duration::from_secs(1) {
            self.last_decay = now;
            let pace = self.pace;
            self.targets.values_mut().for_each(|target| target.second_passed(&pace));
        }
        for permit in self.queues.overdue(now) {
            if let Some(waiting) = self.queues.remove(&permit) {
                // That the targets of one version are busy is no lack of capacity of the pool.
                let is_take_up = waiting.kind == RequestKind::TakeUp;
                if now > waiting.wait_until || is_take_up || self.is_at_target(&permit) {
                    let drain_time = self.queue_drain_time();
                    let refusal = self.refuse_wait(now, &waiting.request, drain_time);
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
        self.refuse_without_target(now, &mut actions);
        self.confirm_permits(now, &mut actions);
        self.grant(now, &mut actions);
        actions
    }

    /// Returns whether a permit request of a tier below this one waits.
    pub fn has_waiting_below(&self, tier: TierRank) -> bool {
        !self.queues.below(tier).is_empty()
    }

    /// Returns the rank of the lowest tier.
    pub fn lowest(&self) -> TierRank {
        self.options.lowest
    }

    /// Returns whether one more target may be ejected.
    pub(crate) fn may_eject(&self) -> bool {
        let ejected = self.targets.values().filter(|target| target.ejected()).count();
        may_eject_one_more(ejected, self.targets.len())
    }

    /// Divides the slots of each tier among its urgencies, by their requested work.
    fn update_shares(&mut self) {
        let requested = self.flows.requested_per_second();
        let work_of_tier = |(tier, work): (&TierRank, &BTreeMap<TierRank, WorkMicros>)| {
            (*tier, work.values().sum())
        };
        self.demand = requested.iter().map(work_of_tier).collect();
        for (tier, requested) in requested {
            let capacity = self.throughput.capacity_for(tier);
            self.queues.set_shares(tier, divide_capacity(&requested, capacity));
        }
    }
}
