//! Steps of the connection holder (the task that holds the connection to the target) for a request that may run more
//! than once and whose target is unresponsive.
//!
//! A replacement that the node offers waits until the connection holder looks at it, so any step of the target may come
//! before. What the connection holder reports to the node arrives immediately.

use curlewcleat_core::{AttemptEnd, PermitDecision, PermitId, RetryReason, TargetId, Verdict};
use curlewcleat_sched::{EntryAction, ReplacementStep};

use super::{dispatch, request, RequestFault, RequestModel, RequestState};

impl RequestModel {
    /// Checks whether this answer ends the request because of the fault `RefusalEndsRequest`.
    pub(super) fn ends_at_refusal(
        &self,
        state: &RequestState,
        permit: PermitId,
        decision: &PermitDecision,
    ) -> bool {
        let is_refusal = matches!(decision, PermitDecision::Refused(_));
        let is_of_other_permit = state.is_unresponsive && !state.exchanges.contains_key(&permit);
        self.fault == RequestFault::RefusalEndsRequest && is_refusal && is_of_other_permit
    }

    /// Returns the steps of an unresponsive target: it stops responding, responds again, or is replaced by another one.
    pub(super) fn unresponsive_steps(
        &self,
        state: &RequestState,
        current_permit: PermitId,
    ) -> Vec<(String, RequestState)> {
        let mut steps = Vec::new();
        let attempt = current_permit.attempt;
        if state.unresponsive_count < self.unresponsive_count {
            let name = format!("the target of attempt {attempt} stops responding");
            steps.push((name, self.stop_responding(state, current_permit)));
        }
        if state.is_unresponsive {
            let mut next = state.clone();
            next.is_unresponsive = false;
            self.report_step(&mut next, ReplacementStep::Withdrawn);
            steps.push((format!("the target of attempt {attempt} responds again"), next));
        }
        if state.offered.is_some() && state.is_unresponsive {
            steps.push((
                format!("the target of attempt {attempt} is replaced"),
                self.replace_target(state, current_permit),
            ));
            let unreachable = self.reject_offer(state, ReplacementStep::Unreachable);
            steps.push(("the other target accepts no connection".to_string(), unreachable));
        }
        if state.offered.is_some() {
            let declined = self.reject_offer(state, ReplacementStep::Declined);
            steps.push(("the other target is not needed".to_string(), declined));
        }
        steps
    }

    /// Makes the target unresponsive, and requests a replacement.
    fn stop_responding(&self, state: &RequestState, current_permit: PermitId) -> RequestState {
        let mut next = state.clone();
        next.unresponsive_count += 1;
        if self.fault == RequestFault::UnresponsiveTargetAbandoned {
            next.exchanges.remove(&current_permit);
            next.left_working_target = true;
            self.interrupt(&mut next);
            return next;
        }
        next.is_unresponsive = true;
        self.report_step(&mut next, ReplacementStep::Requested);
        next
    }

    /// Replaces the unresponsive target, which may run the request, by the offered one.
    fn replace_target(&self, state: &RequestState, current_permit: PermitId) -> RequestState {
        let mut next = state.clone();
        let Some((permit, target)) = next.offered.take() else { return next };
        next.exchanges.remove(&current_permit);
        next.runs += 1;
        next.may_have_run = true;
        next.is_unresponsive = false;
        self.report_step(&mut next, ReplacementStep::Accepted);
        dispatch(&mut next, permit, target);
        next
    }

    /// Rejects the offered target, for the reason that the step gives.
    fn reject_offer(&self, state: &RequestState, step: ReplacementStep) -> RequestState {
        let mut next = state.clone();
        next.offered = None;
        self.report_step(&mut next, step);
        next
    }

    /// Reports a step of the replacement to the node.
    fn report_step(&self, state: &mut RequestState, step: ReplacementStep) {
        let order = Self::order(state);
        let mut actions = state.entry.replacement(state.now, request(), step, &|_| order.clone());
        if self.fault == RequestFault::ReplacedPermitLost && step == ReplacementStep::Accepted {
            actions.retain(|action| !matches!(action, EntryAction::ReturnPermit(..)));
        }
        self.perform_actions(state, actions);
    }

    /// Interrupts the request at a target that may have run it and gives no complete answer. It is sent to another
    /// target.
    pub(super) fn interrupt(&self, state: &mut RequestState) {
        state.may_have_run = true;
        self.not_run_for(state, AttemptEnd::Failed, RetryReason::StreamResumed);
    }
}

/// Dispatches a granted request that is at no target, or records the grant as an offer if the request is at a target.
pub(super) fn offer(state: &mut RequestState, permit: PermitId, target: TargetId) {
    state.unreturned_permits.insert(permit);
    match state.exchanges.is_empty() {
        true => dispatch(state, permit, target),
        false => state.offered = Some((permit, target)),
    }
}

/// Dispatches the request to the offered target, if there is one.
pub(super) fn follow_offer(state: &mut RequestState) {
    if let Some((permit, target)) = state.offered.take() {
        dispatch(state, permit, target);
    }
}

/// Refuses the request, which must neither be at a target nor have been taken from a working one.
pub(super) fn refuse(state: &mut RequestState, verdict: Verdict) {
    if !state.exchanges.is_empty() {
        state.violated_invariant = Some("the request was refused while a target had it");
    } else if state.left_working_target {
        state.violated_invariant = Some("the request was given up while its target was working");
    }
    state.reported_verdict = Some(if state.may_have_run { Verdict::MayHaveRun } else { verdict });
}

/// Returns a permit, whose target must not have the request.
pub(super) fn return_permit(state: &mut RequestState, permit: PermitId) {
    if state.exchanges.contains_key(&permit) {
        state.violated_invariant = Some("the permit of a target that has the request was returned");
    }
    state.unreturned_permits.remove(&permit);
}

/// Returns the invariant that the handling of an unresponsive target has violated.
pub(super) fn violation(state: &RequestState, attempts: u32) -> Option<&'static str> {
    if state.exchanges.len() > 1 {
        return Some("the request was at two targets at once");
    }
    if state.dispatched.len() > attempts as usize {
        return Some("the request was sent to more targets than its rule allows");
    }
    if state.reported_verdict.is_some()
        && state.violated_invariant.is_none()
        && !state.unreturned_permits.is_empty()
    {
        return Some("a permit was not returned");
    }
    state.violated_invariant
}
