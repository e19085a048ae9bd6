//! A request that may run more than once and whose target is silent: the steps of the holder of its connection.
//!
//! What the node tells the holder waits until it is looked at, so that it crosses whatever the target does; what the
//! holder tells the node arrives at once.

use curlewcleat_core::{AttemptEnd, PermitDecision, PermitId, RetryReason, TargetId, Verdict};
use curlewcleat_sched::{EntryAction, ReplacementStep};

use super::{dispatch, request, RequestFault, RequestModel, RequestState};

impl RequestModel {
    /// Whether this answer ends the request, by the fault that was put in.
    pub(super) fn ends_at_refusal(
        &self,
        state: &RequestState,
        permit: PermitId,
        decision: &PermitDecision,
    ) -> bool {
        let refused = matches!(decision, PermitDecision::Refused(_));
        let of_other = state.silent && !state.exchanges.contains_key(&permit);
        self.fault == RequestFault::RefusalEndsRequest && refused && of_other
    }

    /// The target that has the request is silent, speaks again, or is left for another one.
    pub(super) fn silence_steps(
        &self,
        state: &RequestState,
        at: PermitId,
    ) -> Vec<(String, RequestState)> {
        let mut steps = Vec::new();
        let attempt = at.attempt;
        if state.silences < self.silences {
            let name = format!("the target of attempt {attempt} is silent");
            steps.push((name, self.fall_silent(state, at)));
        }
        if state.silent {
            let mut next = state.clone();
            next.silent = false;
            self.tell(&mut next, ReplacementStep::Withdrawn);
            steps.push((format!("the target of attempt {attempt} speaks again"), next));
        }
        if state.offered.is_some() && state.silent {
            steps.push((format!("the target of attempt {attempt} is left"), self.take(state, at)));
            let unreachable = self.pass_over(state, ReplacementStep::Unreachable);
            steps.push(("the other target takes no connection".to_string(), unreachable));
        }
        if state.offered.is_some() {
            let declined = self.pass_over(state, ReplacementStep::Declined);
            steps.push(("the other target is not needed".to_string(), declined));
        }
        steps
    }

    fn fall_silent(&self, state: &RequestState, at: PermitId) -> RequestState {
        let mut next = state.clone();
        next.silences += 1;
        if self.fault == RequestFault::SilentTargetLeft {
            next.exchanges.remove(&at);
            next.left_at_work = true;
            self.broke_off(&mut next);
            return next;
        }
        next.silent = true;
        self.tell(&mut next, ReplacementStep::Requested);
        next
    }

    /// The silent target, which may run the request, is left for the other one.
    fn take(&self, state: &RequestState, at: PermitId) -> RequestState {
        let mut next = state.clone();
        let Some((permit, target)) = next.offered.take() else { return next };
        next.exchanges.remove(&at);
        next.runs += 1;
        next.may_have_run = true;
        next.silent = false;
        self.tell(&mut next, ReplacementStep::Accepted);
        dispatch(&mut next, permit, target);
        next
    }

    fn pass_over(&self, state: &RequestState, step: ReplacementStep) -> RequestState {
        let mut next = state.clone();
        next.offered = None;
        self.tell(&mut next, step);
        next
    }

    fn tell(&self, state: &mut RequestState, step: ReplacementStep) {
        let order = Self::order(state);
        let mut actions = state.entry.replacement(state.now, request(), step, &|_| order.clone());
        if self.fault == RequestFault::KeptPermitLost && step == ReplacementStep::Accepted {
            actions.retain(|action| !matches!(action, EntryAction::ReturnPermit(..)));
        }
        self.perform(state, actions);
    }

    /// A target that may have run the request gives no whole answer; it goes to another one.
    pub(super) fn broke_off(&self, state: &mut RequestState) {
        state.may_have_run = true;
        self.not_run_for(state, AttemptEnd::Failed, RetryReason::StreamResumed);
    }
}

/// Whoever waits for a target follows its grant at once; whoever is at one has it before them.
pub(super) fn offer(state: &mut RequestState, permit: PermitId, target: TargetId) {
    state.in_use.insert(permit);
    match state.exchanges.is_empty() {
        true => dispatch(state, permit, target),
        false => state.offered = Some((permit, target)),
    }
}

pub(super) fn follow_offer(state: &mut RequestState) {
    if let Some((permit, target)) = state.offered.take() {
        dispatch(state, permit, target);
    }
}

pub(super) fn refuse(state: &mut RequestState, verdict: Verdict) {
    if !state.exchanges.is_empty() {
        state.breach = Some("it was refused while a target had it");
    } else if state.left_at_work {
        state.breach = Some("it was given up though its target was at work");
    }
    state.told = Some(if state.may_have_run { Verdict::MayHaveRun } else { verdict });
}

pub(super) fn give_back(state: &mut RequestState, permit: PermitId) {
    if state.exchanges.contains_key(&permit) {
        state.breach = Some("the permit of a target that has it was given back");
    }
    state.in_use.remove(&permit);
}

/// What must not come of a silent target.
pub(super) fn violation(state: &RequestState, attempts: u32) -> Option<&'static str> {
    if state.exchanges.len() > 1 {
        return Some("it was at two targets at once");
    }
    if state.dispatched.len() > attempts as usize {
        return Some("it was sent to more targets than its rule allows");
    }
    if state.told.is_some() && state.breach.is_none() && !state.in_use.is_empty() {
        return Some("a permit was not given back");
    }
    state.breach
}
