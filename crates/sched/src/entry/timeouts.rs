//! Decides when a waiting request is given up, and when its key claim or permit request is repeated.
//!
//! Inputs: the deadline of the request, and when its latest key claim or permit request was sent, by this
//! daemon's own clock.
//!
//! The rules:
//! - At its deadline a waiting request is refused as not run.
//! - A key holder that does not answer within `key_limit` is sent `key_tries` claims in total. Then a first
//!   attempt proceeds without it, and any other is refused.
//! - A scheduler that does not answer within `answer_timeout`, or within the longer time that its late
//!   answers have taken, is sent `answer_tries` permit requests in total. Then the request moves to the next
//!   scheduler ([`unresponsive`](crate::election)).
//! - To a scheduler that has answered, the permit request is repeated every `refresh_every`, so that its
//!   failure is detected.
//!
//! The scheduler gives requests up by their wait limit and latest start; that is decided in `scheduler`.
//!
//! The limits come from the settings (`[peers] ask_limit`, `ask_tries`) or [`EntryOptions`].
//!
//! [`EntryOptions`]: super::EntryOptions
//!
//! Owns: nothing; these are methods of `EntryRequests`. Relies on: a tick every few milliseconds.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, PermitId, Refusal, RefusalReason, RequestId, RetryReason, Uptime, Verdict,
};

use super::request::{PermitWait, RequestPhase};
use super::{EntryAction, EntryRequests, SchedulerOrder};
use crate::retry_after::DEFAULT_RETRY_AFTER;

impl EntryRequests {
    /// Returns whether a granted permit is that of its request's current attempt.
    pub fn uses_permit(&self, permit: &PermitId) -> bool {
        let request = self.requests.get(&permit.request);
        request.is_some_and(|request| {
            matches!(&request.phase, RequestPhase::Dispatched(used) if used.attempt == permit.attempt)
        })
    }

    /// Returns whether the deadline of a request has passed.
    pub fn is_deadline_passed(&self, now: Uptime, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| now >= request.deadline)
    }

    /// Refuses requests whose deadline has passed, and handles schedulers and key holders that have not answered.
    pub fn tick(&mut self, now: Uptime, order: SchedulerOrder<'_>) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        self.unresponsive.tick(now);
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get(&id) else { continue };
            match request.phase.clone() {
                RequestPhase::Dispatched(_) => {}
                _ if now >= request.deadline => actions.extend(self.deadline_passed(id)),
                RequestPhase::Claiming { tries, sent } if now >= sent + self.options.key_limit => {
                    actions.extend(self.key_holder_timed_out(now, id, tries, order));
                }
                RequestPhase::Waiting(wait) if now >= wait.sent + self.answer_limit(&wait) => {
                    actions.extend(self.repeat_permit_request(now, id, wait, order));
                }
                RequestPhase::Claiming { .. } | RequestPhase::Waiting(_) => {}
            }
        }
        actions
    }

    /// Refuses a request whose deadline has passed before it was sent, or leaves it at its stalled target.
    pub fn deadline_passed(&mut self, id: RequestId) -> Vec<EntryAction> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let mut actions = request.return_permit(AttemptEnd::Unused);
        if self.resume_stalled_target(id) {
            return actions;
        }
        let Some(request) = self.requests.remove(&id) else { return actions };
        // A claim may still be under way to the key holder; this report releases the key.
        actions.extend(request.key_report(Verdict::NotRun, None));
        let refusal = match request.phase {
            RequestPhase::Claiming { .. } => request.key_holder_refusal(),
            _ => Refusal::not_run(RefusalReason::DeadlinePassed, Some(DEFAULT_RETRY_AFTER)),
        };
        actions.push(EntryAction::Refuse(id, refusal));
        actions
    }

    fn key_holder_timed_out(
        &mut self,
        now: Uptime,
        id: RequestId,
        tries: u32,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        if tries < self.options.key_tries {
            request.phase = RequestPhase::Claiming { tries: tries + 1, sent: now };
            let claim = request.claim().map(EntryAction::ClaimKey);
            return claim
                .into_iter()
                .chain([EntryAction::Count(RetryReason::KeyHomeSilent)])
                .collect();
        }
        // A first attempt needs no record of earlier ones, so it may proceed: a later attempt never runs
        // without a record of this one.
        if request.is_first_attempt() {
            return self.request_permit(now, id, order);
        }
        let refusal = request.key_holder_refusal();
        let mut actions: Vec<EntryAction> =
            request.key_report(Verdict::NotRun, None).into_iter().collect();
        actions.extend(self.refuse_request(id, refusal));
        actions
    }

    /// Returns the time after which a permit request is repeated.
    fn answer_limit(&self, wait: &PermitWait) -> Duration {
        match wait.acknowledged {
            true => self.options.refresh_every,
            false => self.unresponsive.answer_limit(&wait.scheduler),
        }
    }

    fn repeat_permit_request(
        &mut self,
        now: Uptime,
        id: RequestId,
        wait: PermitWait,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        let PermitWait { scheduler, acknowledged, timeouts, sent } = wait;
        if acknowledged {
            // The scheduler answered the latest permit request; this repetition detects its failure.
            return vec![request.request_permit_from(now, scheduler, 0)];
        }
        let mut actions = vec![EntryAction::Count(RetryReason::SchedulerSilent)];
        if timeouts + 1 < self.options.answer_tries {
            actions.push(request.request_permit_from(now, scheduler, timeouts + 1));
            return actions;
        }
        let permit = request.permit();
        actions.extend(request.return_permit(AttemptEnd::Unused));
        request.unresponsive.push(scheduler.clone());
        self.unresponsive.timed_out(now, scheduler, permit, sent);
        actions.extend(self.request_permit(now, id, order));
        actions
    }
}
