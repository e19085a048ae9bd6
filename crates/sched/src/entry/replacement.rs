//! Finds another target (the replacement) for a request whose target is stalled.
//!
//! Inputs: [`ReplacementStep`]s of the connection handler, which measures how long a target has been stalled; the
//! limits on retries ([`retry`](crate::retry)); the scheduler's answer.
//!
//! The rule: a request leaves its stalled target only for another one that is granted and accepts a connection.
//! Both permits are held until the connection handler has switched to the replacement. The request stays at its
//! stalled target if no attempt remains, the retry budget is used up or the scheduler refuses. Load pattern:
//! targets that pause while they work, and queues inside targets, together with rules that allow two attempts.
//!
//! Owns: nothing; these are methods of `EntryRequests`. Relies on: receiving the steps in the order in which they
//! happened on the connections.

use curlewcleat_core::{AttemptEnd, RequestId, RetryReason, TargetId, Uptime, VmId};

use super::request::{EntryRequest, RequestPhase, UsedPermit};
use super::{AnswerEnd, EntryAction, EntryRequests, SchedulerOrder};
use crate::retry::{decide_retry, RetryDecision};

/// A step in the replacement of a stalled target, reported by the connection handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplacementStep {
    /// The target is stalled; a replacement is requested.
    Requested,
    /// The target has ended its answer; another one is requested that confirms the end.
    ConfirmationRequested(AnswerEnd),
    /// The target sends data again; no replacement is needed.
    Withdrawn,
    /// The request has moved to the replacement.
    Accepted,
    /// The replacement is not needed, or the request may not be sent to it.
    Declined,
    /// The replacement accepts no connection.
    Unreachable,
}

impl EntryRequests {
    /// Applies a step that the connection handler reports.
    pub fn replacement(
        &mut self,
        now: Uptime,
        id: RequestId,
        step: ReplacementStep,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        match step {
            ReplacementStep::Requested => self.request_replacement(now, id, order),
            ReplacementStep::ConfirmationRequested(end) => {
                self.request_confirmation(now, id, end, order)
            }
            ReplacementStep::Withdrawn => self.withdraw_replacement(id),
            ReplacementStep::Accepted => self.accept_replacement(id),
            ReplacementStep::Declined => self.decline_replacement(id, AttemptEnd::Unused),
            ReplacementStep::Unreachable => self.replacement_unreachable(id),
        }
    }

    fn request_replacement(
        &mut self,
        now: Uptime,
        id: RequestId,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let limit = self.options.attempt_limit;
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        request.stalled = true;
        let RequestPhase::Dispatched(used) = request.phase.clone() else { return Vec::new() };
        if request.stalled_permit.is_some() {
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
            request.record_not_run(RetryReason::StreamResumed);
            request.stalled_permit = Some(used);
            request.replacement_since = now;
        }
        self.request_permit(now, id, order)
    }

    fn withdraw_replacement(&mut self, id: RequestId) -> Vec<EntryAction> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stalled = false;
        }
        let waits = |request: &&EntryRequest| matches!(request.phase, RequestPhase::Waiting(_));
        self.abandon_replacement(id, AttemptEnd::Unused, waits)
    }

    fn decline_replacement(&mut self, id: RequestId, end: AttemptEnd) -> Vec<EntryAction> {
        let granted =
            |request: &&EntryRequest| matches!(request.phase, RequestPhase::Dispatched(_));
        self.abandon_replacement(id, end, granted)
    }

    /// Gives up a replacement that accepts no connection. Nothing was sent, so no attempt is used up, and a further
    /// permit request avoids this target.
    fn replacement_unreachable(&mut self, id: RequestId) -> Vec<EntryAction> {
        if let Some(request) =
            self.requests.get_mut(&id).filter(|request| request.stalled_permit.is_some())
        {
            if let RequestPhase::Dispatched(granted) = request.phase.clone() {
                request.avoid_target(&granted.target);
            }
        }
        self.decline_replacement(id, AttemptEnd::Failed)
    }

    fn abandon_replacement(
        &mut self,
        id: RequestId,
        end: AttemptEnd,
        condition: impl Fn(&&EntryRequest) -> bool,
    ) -> Vec<EntryAction> {
        let awaiting = self.requests.get(&id).filter(|request| request.stalled_permit.is_some());
        let Some(request) = awaiting.filter(condition) else { return Vec::new() };
        let actions = request.return_permit(end);
        self.resume_stalled_target(id);
        actions
    }

    fn accept_replacement(&mut self, id: RequestId) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        if !matches!(request.phase, RequestPhase::Dispatched(_)) {
            return Vec::new();
        }
        if request.accept_confirmation() {
            return vec![EntryAction::Count(RetryReason::StreamResumed)];
        }
        let Some(stalled_permit) = request.stalled_permit.take() else { return Vec::new() };
        request.stalled = false;
        vec![
            request.return_stalled_permit(&stalled_permit, AttemptEnd::Failed),
            EntryAction::Count(RetryReason::StreamResumed),
        ]
    }

    /// Puts a request back to its stalled target and refunds the retry; returns whether it had a stalled target.
    pub(super) fn resume_stalled_target(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(stalled_permit) = request.stalled_permit.take() else { return false };
        request.unsent_attempts += 1;
        request.phase = RequestPhase::Dispatched(stalled_permit);
        let (pool, replacement_since) = (request.spec.pool.clone(), request.replacement_since);
        self.budget_of(&pool).refund(replacement_since);
        true
    }

    /// Returns the permit of a stalled target that failed while a replacement is requested. The replacement continues
    /// as the next attempt.
    pub(super) fn stalled_target_failed(
        &mut self,
        id: RequestId,
        end: AttemptEnd,
        retry: RetryReason,
    ) -> Option<Vec<EntryAction>> {
        let request = self.requests.get_mut(&id)?;
        let stalled_permit = request.stalled_permit.take()?;
        request.stalled = false;
        request.last_failure = Some(retry);
        Some(vec![request.return_stalled_permit(&stalled_permit, end), EntryAction::Count(retry)])
    }
}

impl EntryRequest {
    /// Moves the permit of the stalled target to a new scheduler, and returns the report to that scheduler.
    pub(super) fn move_stalled_permit(&mut self, now: Uptime, best: &VmId) -> Option<EntryAction> {
        let stalled_permit = self
            .stalled_permit
            .as_ref()
            .filter(|stalled_permit| stalled_permit.scheduler != *best)?;
        let moved = UsedPermit { scheduler: best.clone(), ..stalled_permit.clone() };
        let held = self.hold_permit(now, best.clone(), moved.attempt, moved.target.clone());
        self.stalled_permit = Some(moved);
        Some(held)
    }

    /// Handles a grant for a permit that is in use. If the grant names another target, the scheduler is sent the
    /// target that is in use.
    pub(super) fn confirm_permit(
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
