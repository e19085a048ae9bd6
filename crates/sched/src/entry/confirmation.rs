//! Finds another target that confirms the end of an answer, whose target lives but may have closed it too early, or that
//! sends the answer as well.
//!
//! Inputs: the end of an answer that nothing but its target's life proves; the limits on retries ([`retry`](crate::retry)).
//!
//! The rule: the target has ended its answer, so its permit is returned with its result. Another one is requested if
//! attempts remain and half of the retry budget is left, or a quarter while targets of the pool break off answers, and only if it is granted at once: the request needs none, so
//! that it neither waits nor takes anything from others. Load pattern: targets that break off some of their answers in an
//! orderly way, beside many that end soundly.
//!
//! Owns: nothing; these are methods of `EntryRequests`. Relies on: the connection handler, which ends the request if no
//! target is granted.

use std::time::Duration;

use curlewcleat_core::{AttemptEnd, RequestId, RetryReason, Uptime};

use super::request::{EntryRequest, RequestPhase};
use super::{EntryAction, EntryRequests, SchedulerOrder};
use crate::retry::allows_confirmation;

/// Time for which the request may wait for the other target.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(100);

/// The end of an answer that another target is asked to confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerEnd {
    /// How the attempt has ended.
    pub end: AttemptEnd,
    /// Whether targets of the pool break off answers.
    pub is_doubtful: bool,
}

impl EntryRequests {
    /// Requests another target for a request whose target has ended its answer.
    pub(super) fn request_confirmation(
        &mut self,
        now: Uptime,
        id: RequestId,
        end: AnswerEnd,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let limit = self.options.attempt_limit;
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let RequestPhase::Dispatched(used) = request.phase.clone() else { return Vec::new() };
        if request.stalled_permit.is_some() || request.confirming_since.is_some() {
            return Vec::new();
        }
        let input = request.retry_input(RetryReason::StreamResumed, request.attempt + 1, limit);
        let pool = request.spec.pool.clone();
        if !allows_confirmation(now, input, end.is_doubtful, self.budget_of(&pool)) {
            return Vec::new();
        }
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        let mut actions: Vec<EntryAction> = request.return_permit(end.end).into_iter().collect();
        request.attempt += 1;
        request.avoid_target(&used.target);
        request.confirming_since = Some(now);
        request.wait_until = now.saturating_add(CONFIRMATION_WAIT);
        actions.extend(self.request_permit(now, id, order));
        actions
    }

    /// Returns whether a request needs another target only to confirm its end.
    pub(super) fn is_confirming(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.confirming_since.is_some())
    }

    /// Refunds the retry of a request that ended without its other target.
    pub(super) fn refund_confirmation(&mut self, request: &EntryRequest) {
        if let Some(since) = request.confirming_since {
            self.budget_of(&request.spec.pool).refund(since);
        }
    }

    /// Returns how the current permit of a request ends that has ended in this way: the target that ended the answer has its
    /// result already, and another one that was granted is not used.
    pub(super) fn end_after_confirmation(
        &mut self,
        request: &EntryRequest,
        end: AttemptEnd,
    ) -> AttemptEnd {
        self.refund_confirmation(request);
        request.confirming_since.map_or(end, |_| AttemptEnd::Unused)
    }
}

impl EntryRequest {
    /// Makes the other target the one that has the request, which goes on like any further attempt. Returns whether the
    /// request was confirming its end.
    pub(super) fn accept_confirmation(&mut self) -> bool {
        if self.confirming_since.take().is_none() {
            return false;
        }
        self.record_not_run(RetryReason::StreamResumed);
        true
    }
}
