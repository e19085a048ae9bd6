//! Another target for a request whose target is stalled.
//!
//! Inputs: how long the target has been stalled, which the holder of the caller's connection measures; what bounds retries
//! ([`retry`](crate::retry)); the scheduler's answer. The rule: a stalled target is left only for another one that
//! is granted and takes a connection. Until the holder of the connection has taken that one, both permits are held;
//! where there is no further attempt, no room in the budget, or the scheduler refuses, the request stays where it is. Load pattern:
//! targets that pause while they are at work, and queues in targets, beside rules that allow two attempts.
//!
//! Owns: nothing; these are methods of `EntryRequests`. Relies on: [`ReplacementStep`]s in the order in which
//! things happened on the connections.

use curlewcleat_core::{AttemptEnd, RequestId, RetryReason, TargetId, Uptime, VmId};

use super::request::{EntryRequest, RequestPhase, UsedPermit};
use super::{EntryAction, EntryRequests, SchedulerOrder};
use crate::retry::{decide_retry, RetryDecision};

/// What happens between a request and its stalled target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplacementStep {
    /// The target is stalled; another one is wanted.
    Wanted,
    /// The target speaks again.
    Unwanted,
    /// The target was left for the one that was granted.
    Taken,
    /// The one that was granted is not needed, or the request may not be sent there.
    Declined,
    /// The one that was granted takes no connection.
    Unreachable,
}

impl EntryRequests {
    /// Takes a step of the holder of the connection.
    pub fn replacement(
        &mut self,
        now: Uptime,
        id: RequestId,
        step: ReplacementStep,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        match step {
            ReplacementStep::Wanted => self.want_replacement(now, id, order),
            ReplacementStep::Unwanted => self.withdraw_replacement(id),
            ReplacementStep::Taken => self.take_replacement(id),
            ReplacementStep::Declined => self.decline_replacement(id, AttemptEnd::Unused),
            ReplacementStep::Unreachable => self.replacement_unreachable(id),
        }
    }

    fn want_replacement(
        &mut self,
        now: Uptime,
        id: RequestId,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let limit = self.options.attempt_limit;
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        request.stalled = true;
        let RequestPhase::Dispatched(used) = request.phase.clone() else { return Vec::new() };
        if request.kept.is_some() {
            return Vec::new();
        }
        let input = request.retry_input(RetryReason::StreamResumed, request.attempt + 1, limit);
        let pool = request.spec.pool.clone();
        if decide_retry(now, input, self.budget_of(&pool)) != RetryDecision::Again {
            return vec![EntryAction::RetryDenied(id, input.bound(now))];
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt += 1;
            request.avoid_target(&used.target);
            request.note_not_run(RetryReason::StreamResumed);
            request.kept = Some(used);
            request.wanted = now;
        }
        self.request_permit(now, id, order)
    }

    fn withdraw_replacement(&mut self, id: RequestId) -> Vec<EntryAction> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stalled = false;
        }
        let waits = |request: &&EntryRequest| matches!(request.phase, RequestPhase::Waiting(_));
        self.give_replacement_up(id, AttemptEnd::Unused, waits)
    }

    fn decline_replacement(&mut self, id: RequestId, end: AttemptEnd) -> Vec<EntryAction> {
        let granted =
            |request: &&EntryRequest| matches!(request.phase, RequestPhase::Dispatched(_));
        self.give_replacement_up(id, end, granted)
    }

    /// Nothing was sent, so that no attempt is used up; a further ask is for yet another target.
    fn replacement_unreachable(&mut self, id: RequestId) -> Vec<EntryAction> {
        if let Some(request) = self.requests.get_mut(&id).filter(|request| request.kept.is_some()) {
            if let RequestPhase::Dispatched(granted) = request.phase.clone() {
                request.avoid_target(&granted.target);
            }
        }
        self.decline_replacement(id, AttemptEnd::Failed)
    }

    fn give_replacement_up(
        &mut self,
        id: RequestId,
        end: AttemptEnd,
        stands: impl Fn(&&EntryRequest) -> bool,
    ) -> Vec<EntryAction> {
        let asked = self.requests.get(&id).filter(|request| request.kept.is_some());
        let Some(request) = asked.filter(stands) else { return Vec::new() };
        let actions = request.return_permit(end);
        self.keep_target(id);
        actions
    }

    fn take_replacement(&mut self, id: RequestId) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        if !matches!(request.phase, RequestPhase::Dispatched(_)) {
            return Vec::new();
        }
        let Some(kept) = request.kept.take() else { return Vec::new() };
        request.stalled = false;
        vec![
            request.return_kept(&kept, AttemptEnd::Failed),
            EntryAction::Count(RetryReason::StreamResumed),
        ]
    }

    /// The request stays at its stalled target, where it has one: what was asked for another one is not used.
    pub(super) fn keep_target(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(kept) = request.kept.take() else { return false };
        request.unsent += 1;
        request.phase = RequestPhase::Dispatched(kept);
        let (pool, wanted) = (request.spec.pool.clone(), request.wanted);
        self.budget_of(&pool).refund(wanted);
        true
    }

    /// The stalled target has failed while another one was asked for, which goes on.
    pub(super) fn kept_target_failed(
        &mut self,
        id: RequestId,
        end: AttemptEnd,
        retry: RetryReason,
    ) -> Option<Vec<EntryAction>> {
        let request = self.requests.get_mut(&id)?;
        let kept = request.kept.take()?;
        request.stalled = false;
        request.failed = Some(retry);
        Some(vec![request.return_kept(&kept, end), EntryAction::Count(retry)])
    }
}

impl EntryRequest {
    /// Tells a new scheduler of the stalled target.
    pub(super) fn move_kept(&mut self, now: Uptime, best: &VmId) -> Option<EntryAction> {
        let kept = self.kept.as_ref().filter(|kept| kept.scheduler != *best)?;
        let moved = UsedPermit { scheduler: best.clone(), ..kept.clone() };
        let held = self.hold_permit(now, best.clone(), moved.attempt, moved.target.clone());
        self.kept = Some(moved);
        Some(held)
    }

    /// A scheduler confirms a permit that is in use, or grants it for another target.
    pub(super) fn confirm_used(
        &self,
        now: Uptime,
        from: &VmId,
        used: &UsedPermit,
        target: &TargetId,
    ) -> Vec<EntryAction> {
        match used.target == *target {
            true => Vec::new(),
            false => {
                vec![self.hold_permit(now, from.clone(), used.attempt, used.target.clone())]
            }
        }
    }
}
