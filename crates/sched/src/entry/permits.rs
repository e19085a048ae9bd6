//! What a scheduler's answer means for a request, and what follows an attempt that did not run.
//!
//! Owns: nothing; these are methods of `EntryRequests`. Relies on: schedulers that may repeat or delay
//! an answer.

use curlewcleat_core::{
    AttemptEnd, PermitAnswer, PermitDecision, PermitId, PermitReturn, PoolId, Refusal,
    RefusalReason, RequestId, RetryReason, TargetId, Uptime, Verdict, VmId,
};

use super::request::{PermitWait, RequestPhase, UsedPermit};
use super::{EntryAction, EntryRequests, SchedulerOrder};
use crate::advice::DEFAULT_ADVICE;
use crate::retry::{decide_retry, RetryBound, RetryDecision};

impl EntryRequests {
    /// Takes the answer of a scheduler.
    pub fn permit_answered(
        &mut self,
        now: Uptime,
        from: &VmId,
        answer: PermitAnswer,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let sent = self.asked_at(from, answer.permit);
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

    /// An attempt provably did not run. Tries again where time and budget allow it.
    pub fn not_run(
        &mut self,
        now: Uptime,
        id: RequestId,
        end: AttemptEnd,
        retry: RetryReason,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        if !retry.is_unsent() {
            if let Some(actions) = self.kept_target_failed(id, end, retry) {
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
                // The permit is back already, so only the key is left to report.
                if let Some(request) = self.requests.remove(&id) {
                    actions.extend(request.report(Verdict::NotRun, None));
                }
                actions.push(EntryAction::RetryDenied(id, input.bound(now)));
                let refusal = Refusal::not_run(reason, Some(DEFAULT_ADVICE));
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
        let back = PermitReturn { permit, pool, end: AttemptEnd::Unused };
        let unused = EntryAction::ReturnPermit(from.clone(), back);
        let Some(request) = self.requests.get(&permit.request) else { return vec![unused] };
        if let Some(kept) = request.kept.iter().find(|kept| kept.attempt == permit.attempt) {
            return request.confirm_used(now, from, kept, &target);
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
                let mut actions = Vec::new();
                // A late grant of an earlier scheduler is good; the present one has to know of it.
                if wait.scheduler != *from {
                    let present = wait.scheduler.clone();
                    actions.push(request.hold_permit(now, present, permit.attempt, target.clone()));
                }
                let (attempt, scheduler) = (permit.attempt, from.clone());
                let used = UsedPermit { attempt, scheduler, target: target.clone() };
                self.set_phase(permit.request, RequestPhase::Dispatched(used));
                actions.push(EntryAction::Dispatch { permit, target });
                actions
            }
            RequestPhase::Dispatched(used) => request.confirm_used(now, from, used, &target),
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
        if !self.waits_at(from, permit) {
            return Vec::new();
        }
        if refusal.reason == RefusalReason::RateUnknown {
            if let Some(actions) = self.ask_rate_keeper(now, from, permit.request, order) {
                return actions;
            }
        }
        let Some(request) = self.requests.get(&permit.request) else { return Vec::new() };
        // Where every target has failed the request, the latest failure says more than their absence.
        let refusal = match (refusal.reason, request.failed) {
            (RefusalReason::NoTarget, Some(retry)) => {
                Refusal { reason: retry.final_refusal(), ..refusal }
            }
            _ => refusal,
        };
        if request.kept.is_some() {
            return self.drop_refused(permit.request, refusal);
        }
        if request.begun && now < request.deadline {
            return self.ask_later(now, from, permit.request, refusal.reason);
        }
        let mut actions: Vec<EntryAction> =
            request.report(Verdict::NotRun, None).into_iter().collect();
        actions.extend(self.drop_refused(permit.request, refusal));
        actions
    }

    /// A refusal would cut an answer that has begun, and nothing else can be given to its caller: the scheduler is
    /// asked again after `refresh_every`, until the deadline. What has failed the request may serve it by then.
    fn ask_later(
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

    /// When a scheduler was asked for a permit for which it has not answered yet.
    fn asked_at(&self, scheduler: &VmId, permit: PermitId) -> Option<Uptime> {
        let request = self.requests.get(&permit.request)?;
        let RequestPhase::Waiting(wait) = &request.phase else { return None };
        let awaited = !wait.acknowledged && wait.scheduler == *scheduler;
        (awaited && request.attempt == permit.attempt).then_some(wait.sent)
    }

    /// Whether the attempt of a permit waits for an answer of this scheduler.
    fn waits_at(&self, scheduler: &VmId, permit: PermitId) -> bool {
        self.requests.get(&permit.request).is_some_and(|request| {
            let waits = matches!(&request.phase, RequestPhase::Waiting(wait) if wait.scheduler == *scheduler);
            waits && request.attempt == permit.attempt
        })
    }

    /// Asks the first scheduler after all, where another one does not know the account's rate and the first
    /// was passed over for what it did to earlier requests. Load pattern: a fleet that begins anew, in
    /// which the first frames are lost and the first scheduler is then passed over for a second, while
    /// it keeps the rates.
    fn ask_rate_keeper(
        &mut self,
        now: Uptime,
        from: &VmId,
        id: RequestId,
        order: SchedulerOrder<'_>,
    ) -> Option<Vec<EntryAction>> {
        let request = self.requests.get_mut(&id)?;
        let keeper = order(&request.spec.pool).into_iter().next()?.vm;
        if keeper == *from || request.unresponsive.contains(&keeper) {
            return None;
        }
        Some(vec![EntryAction::Count(RetryReason::SchedulerMoved), request.ask(now, keeper, 0)])
    }
}
