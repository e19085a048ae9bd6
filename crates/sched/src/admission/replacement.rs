//! Decides whether a request at a stalled target may wait for another target.
//!
//! Inputs: the permits of the request that the scheduler knows; the overload level and the queue of the pool.
//!
//! The rule: the request waits like any other of its tier, but since it already has a target, it takes nothing from
//! requests that have none. It is refused if its tier is shed or the queue is full. Neither that refusal nor one at
//! the end of its wait evicts a request or sheds a tier. Load pattern: an overload in which targets pause, so that
//! every stream repeatedly requests another target.
//!
//! Owns: the rule; the state is in [`PoolScheduler`]. Relies on: entry daemons that hold both permits until they leave
//! the stalled target.

use curlewcleat_core::{DaemonId, PermitId, PermitRequest, Refusal, RefusalReason, Uptime};

use crate::order::waiting::{RequestAdmission, RequestKind};
use crate::pool::{PoolScheduler, SchedulerAction};
use crate::targets::state_of;

impl PoolScheduler {
    /// Returns whether a permit of an earlier attempt of the same request is in use.
    pub(crate) fn is_at_target(&self, permit: &PermitId) -> bool {
        let first = PermitId { attempt: 0, ..*permit };
        self.permits.range(first..*permit).next().is_some()
    }

    /// Handles the permit request of a request that is at a stalled target: queues or refuses it.
    pub(crate) fn request_replacement(
        &mut self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
    ) -> Vec<SchedulerAction> {
        self.record_stalled(now, &request);
        if let Some(refusal) = self.replacement_refusal(now, &entry, &request) {
            return vec![self.refuse(entry, &request, refusal)];
        }
        let in_time_until = self.in_time_until(now, &request, RequestKind::New);
        let admission = RequestAdmission { in_time_until, kind: RequestKind::New };
        let mut actions = Vec::new();
        self.enqueue(now, entry, request, admission, &mut actions);
        actions
    }

    /// Returns the refusal of a request that may not wait for another target, `None` if it may.
    fn replacement_refusal(
        &self,
        now: Uptime,
        entry: &DaemonId,
        request: &PermitRequest,
    ) -> Option<Refusal> {
        if !self.has_usable_target(now, entry, request) {
            return Some(self.no_target_refusal(now, entry, request));
        }
        let account = self.account_limit(&request.account);
        let reason = if self.level.sheds(request.tier) {
            RefusalReason::TierShed
        } else if self.queues.len() >= self.options.queue_limit {
            RefusalReason::QueueFull
        } else if self.queues.account_len(&request.account) >= account.queue_limit as usize {
            RefusalReason::AccountQueue
        } else {
            return None;
        };
        Some(Refusal::not_run(reason, Some(self.queue_drain_time())))
    }

    /// Counts a failure of the target of a request that requests another one. This happens now and not when the
    /// request leaves the target: under overload that takes seconds, in which a terminated target would get further
    /// requests.
    fn record_stalled(&mut self, now: Uptime, request: &PermitRequest) {
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
