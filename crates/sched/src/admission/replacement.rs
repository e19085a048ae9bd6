//! May a request that is at a stalled target wait for another one?
//!
//! Inputs: the permits of the request, as the scheduler knows them; the overload level and the queue of the pool.
//!
//! The rule: it waits like any other of its tier, but it has a target, so it takes nothing from requests that have
//! none: where its tier is shed or the queue is full it is refused, and neither that nor the end of its wait evicts
//! anything or sheds a tier. Load pattern: an overload in which targets pause, so that every stream asks again and
//! again for another one.
//!
//! Owns: the rule; the state is the [`PoolScheduler`]'s. Relies on: entries that hold both permits until they leave
//! the stalled target.

use curlewcleat_core::{DaemonId, PermitId, PermitRequest, Refusal, RefusalReason, Uptime};

use crate::pool::{PoolScheduler, SchedulerAction};
use crate::targets::state_of;

impl PoolScheduler {
    /// Whether a permit of an earlier attempt of the same request is in use.
    pub(crate) fn is_at_target(&self, permit: &PermitId) -> bool {
        let first = PermitId { attempt: 0, ..*permit };
        self.permits.range(first..*permit).next().is_some()
    }

    /// Takes the permit request of a request that is at a stalled target.
    pub(crate) fn request_replacement(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
    ) -> Vec<SchedulerAction> {
        self.note_stalled(now, &request);
        if let Some(refusal) = self.replacement_refusal(now, &entry, &request) {
            return vec![self.refuse(entry, &request, refusal)];
        }
        let in_time_until = self.in_time_until(now, &request);
        let mut actions = Vec::new();
        self.enqueue(now, entry, request, in_time_until, &mut actions);
        actions
    }

    fn replacement_refusal(
        &self,
        now: Uptime,
        entry: &DaemonId,
        request: &PermitRequest,
    ) -> Option<Refusal> {
        if !self.reachable(now, entry, request) {
            return Some(self.no_target(now, entry, request));
        }
        let account = self.limit_of(&request.account);
        let reason = if self.level.sheds(request.tier) {
            RefusalReason::TierShed
        } else if self.queues.len() >= self.options.queue_limit {
            RefusalReason::QueueFull
        } else if self.queues.account_len(&request.account) >= account.queue_limit as usize {
            RefusalReason::AccountQueue
        } else {
            return None;
        };
        Some(Refusal::not_run(reason, Some(self.drain_time())))
    }

    /// The target of a request that asks for another one has failed now, not only once the request can leave it:
    /// under overload that takes seconds, in which an ended target would be given further requests.
    fn note_stalled(&mut self, now: Uptime, request: &PermitRequest) {
        let may_eject = self.may_eject();
        let first = PermitId { attempt: 0, ..request.permit };
        for (_, record) in self.permits.range_mut(first..request.permit) {
            if std::mem::replace(&mut record.stalled, true) {
                continue;
            }
            if let Some(state) = state_of(&mut self.targets, &record.target) {
                state.failed(now, may_eject);
            }
        }
    }
}
