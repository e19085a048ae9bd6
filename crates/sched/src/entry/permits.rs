//! Handles the answers of schedulers, and attempts that did not run.
//!
//! Owns: nothing; these are methods of `EntryRequests`. Relies on: schedulers that may repeat or delay
//! an answer.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, PermitAnswer, PermitDecision, PermitId, PermitReturn, PoolId, Refusal,
    RefusalReason, RequestId, RetryReason, TargetId, Uptime, Verdict, VmId,
};

use super::request::{PermitWait, RequestPhase, UsedPermit};
use super::{EntryAction, EntryRequests, SchedulerOrder};
use crate::retry::{decide_retry, RetryBound, RetryDecision};
use crate::retry_after::DEFAULT_RETRY_AFTER;

/// Shortest time after which a permit request that was refused is repeated.
const MIN_REPEAT_WAIT: Duration = Duration::from_millis(100);
/// Time after which it is repeated where the targets of a version accept no requests.
const TARGET_WAIT: Duration = Duration::from_millis(250);

impl EntryRequests {
    /// Applies the answer of a scheduler to its request.
    pub fn permit_answered(
        &mut self,
        now: Uptime,
        from: &VmId,
        answer: PermitAnswer,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let sent = self.unanswered_since(from, answer.permit);
        self.unresponsive.answered(now, from, &answer.permit, sent);
        match answer.decision {
            PermitDecision::Queued => self.queued(now, from, answer.permit),
            PermitDecision::Granted(target) => {
                self.granted(now, from, answer.permit, answer.pool, target)
            }
            PermitDecision::Refused(refusal) => {
                self.refused(now, from, answer.permit, refusal, order)
            }
        }
    }

    /// Handles an attempt that provably did not run: tries the request again if [`decide_retry`] allows it, and
    /// refuses it otherwise.
    pub fn not_run(
        &mut self,
        now: Uptime,
        id: RequestId,
        end: AttemptEnd,
        retry: RetryReason,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        if !retry.is_unsent() {
            if let Some(actions) = self.stalled_target_failed(id, end, retry) {
                return actions;
            }
        }
        let limit = self.options.attempt_limit;
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        let mut actions = request.return_permit(end);
        if let RequestPhase::Dispatched(used) = request.phase.clone() {
            request.avoid_target(&used.target);
        }
        let input = request.next_attempt(retry, limit);
        let pool = request.spec.pool.clone();
        match decide_retry(now, input, self.budget_of(&pool)) {
            RetryDecision::Again => {
                actions.push(EntryAction::Count(retry));
                actions.extend(self.request_permit(now, id, order));
            }
            RetryDecision::GiveUp(reason) => {
                // The permit has been returned above, so only the key report remains.
                if let Some(request) = self.requests.remove(&id) {
                    actions.extend(request.key_report(Verdict::NotRun, None));
                }
                actions.push(EntryAction::RetryDenied(id, input.bound(now)));
                let refusal = Refusal::not_run(reason, Some(DEFAULT_RETRY_AFTER));
                actions.push(EntryAction::Refuse(id, refusal));
            }
        }
        actions
    }

    fn queued(&mut self, now: Uptime, from: &VmId, permit: PermitId) -> Vec<EntryAction> {
        if let Some(request) = self.requests.get_mut(&permit.request) {
            if let RequestPhase::Waiting(wait) = &mut request.phase {
                if wait.scheduler == *from && request.attempt == permit.attempt {
                    wait.acknowledged = true;
                    wait.timeouts = 0;
                    wait.sent = now;
                }
            }
        }
        Vec::new()
    }

    fn granted(
        &mut self,
        now: Uptime,
        from: &VmId,
        permit: PermitId,
        pool: PoolId,
        target: TargetId,
    ) -> Vec<EntryAction> {
        let permit_return = PermitReturn { permit, pool, end: AttemptEnd::Unused };
        let unused = EntryAction::ReturnPermit(from.clone(), permit_return);
        let Some(request) = self.requests.get(&permit.request) else { return vec![unused] };
        let stalled_permit = request.stalled_permit.as_ref();
        if let Some(stalled_permit) = stalled_permit.filter(|used| used.attempt == permit.attempt) {
            return request.confirm_permit(now, from, stalled_permit, &target);
        }
        if request.permit() != permit {
            return vec![unused];
        }
        match &request.phase {
            RequestPhase::Claiming { .. } => vec![unused],
            RequestPhase::Waiting(_) if now >= request.deadline => {
                let mut actions = vec![unused];
                actions.extend(self.deadline_passed(permit.request));
                actions
            }
            RequestPhase::Waiting(wait) => {
                // A late grant of an earlier scheduler is valid; it is reported to the current scheduler as in use.
                let late_grant = (wait.scheduler != *from).then(|| {
                    let current = wait.scheduler.clone();
                    request.hold_permit(now, current, permit.attempt, target.clone())
                });
                let (attempt, scheduler) = (permit.attempt, from.clone());
                let used = UsedPermit { attempt, scheduler, target: target.clone() };
                self.set_phase(permit.request, RequestPhase::Dispatched(used));
                late_grant.into_iter().chain([EntryAction::Dispatch { permit, target }]).collect()
            }
            RequestPhase::Dispatched(used) => request.confirm_permit(now, from, used, &target),
        }
    }

    fn refused(
        &mut self,
        now: Uptime,
        from: &VmId,
        permit: PermitId,
        refusal: Refusal,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        if !self.is_waiting_at(from, permit) || self.is_confirming(permit.request) {
            return Vec::new();
        }
        if refusal.reason == RefusalReason::RateUnknown {
            if let Some(actions) = self.rate_unknown(now, from, permit.request, &refusal, order) {
                return actions;
            }
        }
        let Some(request) = self.requests.get(&permit.request) else { return Vec::new() };
        // If no target remains because earlier ones failed, the refusal states the latest failure as its reason.
        let refusal = match (refusal.reason, request.last_failure) {
            (RefusalReason::NoTarget, Some(retry)) => {
                Refusal { reason: retry.final_refusal(), ..refusal }
            }
            _ => refusal,
        };
        if request.stalled_permit.is_some() {
            return self.refuse_request(permit.request, refusal);
        }
        if request.answer_begun && now < request.deadline {
            return self.request_again_later(now, from, permit.request, refusal.reason);
        }
        let mut actions: Vec<EntryAction> =
            request.key_report(Verdict::NotRun, None).into_iter().collect();
        actions.extend(self.refuse_request(permit.request, refusal));
        actions
    }

    /// Repeats the permit request after `refresh_every` instead of refusing. The caller has received a part of
    /// the answer, which a refusal would truncate, so this goes on until the deadline. Targets that failed the
    /// request may serve it by then, so none is avoided any more.
    fn request_again_later(
        &mut self,
        now: Uptime,
        from: &VmId,
        id: RequestId,
        reason: RefusalReason,
    ) -> Vec<EntryAction> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.avoid.clear();
            let wait = PermitWait::begin(from.clone(), now, 0);
            request.phase = RequestPhase::Waiting(PermitWait { acknowledged: true, ..wait });
        }
        vec![EntryAction::RetryDenied(id, RetryBound::Refused(reason))]
    }

    /// Requests a permit elsewhere, or later, where a scheduler does not know the rate. Returns `None` where the request is
    /// refused.
    fn rate_unknown(
        &mut self,
        now: Uptime,
        from: &VmId,
        id: RequestId,
        refusal: &Refusal,
        order: SchedulerOrder<'_>,
    ) -> Option<Vec<EntryAction>> {
        let actions = self.request_from_first_scheduler(now, from, id, order);
        if actions.is_some() || !self.takes_up(id) {
            return actions;
        }
        let wait = refusal.retry_after.unwrap_or(self.options.refresh_every);
        self.request_take_up_later(now, from, id, wait);
        Some(Vec::new())
    }

    /// Returns whether a request takes up a stream.
    fn takes_up(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.spec.takes_up.is_some())
    }

    /// Repeats the permit request of a stream that is taken up for which a scheduler has no target, since the targets of its
    /// version may accept requests again before its time is over. Returns whether the request waits for this answer.
    pub fn await_target(&mut self, now: Uptime, from: &VmId, permit: PermitId) -> bool {
        let is_waiting = self.is_waiting_at(from, permit)
            && self.takes_up(permit.request)
            && !self.is_confirming(permit.request);
        let Some(request) = self.requests.get_mut(&permit.request).filter(|_| is_waiting) else {
            return false;
        };
        if request.stalled_permit.is_some() || now >= request.deadline {
            return false;
        }
        request.avoid.clear();
        let sent = self.unanswered_since(from, permit);
        self.unresponsive.answered(now, from, &permit, sent);
        self.request_take_up_later(now, from, permit.request, TARGET_WAIT);
        true
    }

    /// Repeats the permit request of a stream that is taken up after `wait`. Its caller would lose what it has of the answer.
    fn request_take_up_later(&mut self, now: Uptime, from: &VmId, id: RequestId, wait: Duration) {
        let every = self.options.refresh_every;
        let wait = wait.clamp(MIN_REPEAT_WAIT.min(every), every);
        if let Some(request) = self.requests.get_mut(&id) {
            // A scheduler that has answered is asked again after `refresh_every`.
            let answered = (now + wait).saturating_sub(every);
            let wait = PermitWait::begin(from.clone(), answered, 0);
            request.phase = RequestPhase::Waiting(PermitWait { acknowledged: true, ..wait });
        }
    }

    /// Returns when the permit request was sent that a scheduler has not answered yet.
    fn unanswered_since(&self, scheduler: &VmId, permit: PermitId) -> Option<Uptime> {
        let request = self.requests.get(&permit.request)?;
        let RequestPhase::Waiting(wait) = &request.phase else { return None };
        let awaited = !wait.acknowledged && wait.scheduler == *scheduler;
        (awaited && request.attempt == permit.attempt).then_some(wait.sent)
    }

    /// Returns whether the attempt of a permit waits for an answer of this scheduler.
    fn is_waiting_at(&self, scheduler: &VmId, permit: PermitId) -> bool {
        self.requests.get(&permit.request).is_some_and(|request| {
            let waits = matches!(&request.phase, RequestPhase::Waiting(wait) if wait.scheduler == *scheduler);
            waits && request.attempt == permit.attempt
        })
    }

    /// Requests a permit from the first scheduler in order, if another one does not know the account's rate
    /// and the first was skipped only because it left earlier requests unanswered. Load pattern: a fleet that
    /// has just started, in which the first frames are lost, so that the first scheduler is skipped for a
    /// second while it is the one that holds the rates.
    fn request_from_first_scheduler(
        &mut self,
        now: Uptime,
        from: &VmId,
        id: RequestId,
        order: SchedulerOrder<'_>,
    ) -> Option<Vec<EntryAction>> {
        let request = self.requests.get_mut(&id)?;
        let first_scheduler = order(&request.spec.pool).into_iter().next()?.vm;
        if first_scheduler == *from || request.unresponsive.contains(&first_scheduler) {
            return None;
        }
        Some(vec![
            EntryAction::Count(RetryReason::SchedulerMoved),
            request.request_permit_from(now, first_scheduler, 0),
        ])
    }
}
