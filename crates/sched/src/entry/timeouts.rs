//! When is a request given up that waits?
//!
//! Inputs: its deadline, and when the holder of its key or its scheduler was asked last; times are
//! those of the daemon's own clock. The rule: at the deadline it is refused, as not run. A holder of
//! its key that does not answer within `key_limit` is asked `key_tries` times; then a first attempt
//! goes on without it, and any other is refused. A scheduler that does not answer within
//! `answer_timeout`, or the longer time that its late answers have taken, is asked `answer_tries` times; then the next one is asked
//! ([`unresponsive`](crate::election)). One that has answered is asked again every `refresh_every`, so
//! that its end is noticed. What the scheduler itself gives up is decided in `scheduler` by the
//! request's wait limit and latest start.
//!
//! The limits come from the settings (`[peers] ask_limit`, `ask_tries`) or [`EntryOptions`].
//!
//! [`EntryOptions`]: super::EntryOptions
//!
//! Owns: nothing; these are methods of `EntryRequests`. Relies on: a tick every few milliseconds.

use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, Refusal, RefusalReason, RequestId, RetryReason, Uptime, Verdict,
};

use super::request::{PermitWait, RequestPhase};
use super::{EntryAction, EntryRequests, SchedulerOrder};
use crate::advice::DEFAULT_ADVICE;

impl EntryRequests {
    /// Lets time pass: deadlines, unresponsive schedulers and holders of keys.
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
                    actions.extend(self.key_silent(now, id, tries, order));
                }
                RequestPhase::Waiting(wait) if now >= wait.sent + self.answer_limit(&wait) => {
                    actions.extend(self.repeat_request(now, id, wait, order));
                }
                RequestPhase::Claiming { .. } | RequestPhase::Waiting(_) => {}
            }
        }
        actions
    }

    pub(super) fn deadline_passed(&mut self, id: RequestId) -> Vec<EntryAction> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let mut actions = request.return_permit(AttemptEnd::Unused);
        if self.keep_target(id) {
            return actions;
        }
        let Some(request) = self.requests.remove(&id) else { return actions };
        // A claim without an answer may be on its way; the holder is notified so that the key is free.
        actions.extend(request.report(Verdict::NotRun, None));
        let refusal = match request.phase {
            RequestPhase::Claiming { .. } => request.unreachable_home(),
            _ => Refusal::not_run(RefusalReason::DeadlinePassed, Some(DEFAULT_ADVICE)),
        };
        actions.push(EntryAction::Refuse(id, refusal));
        actions
    }

    fn key_silent(
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
        // A caller's first attempt needs no memory of earlier ones; a later one without a record
        // of it never runs, so it may go ahead.
        if request.first_attempt() {
            return self.request_permit(now, id, order);
        }
        let refusal = request.unreachable_home();
        let mut actions: Vec<EntryAction> =
            request.report(Verdict::NotRun, None).into_iter().collect();
        actions.extend(self.drop_refused(id, refusal));
        actions
    }

    /// Time after which a scheduler is asked again.
    fn answer_limit(&self, wait: &PermitWait) -> Duration {
        match wait.acknowledged {
            true => self.options.refresh_every,
            false => self.unresponsive.answer_limit(&wait.scheduler),
        }
    }

    fn repeat_request(
        &mut self,
        now: Uptime,
        id: RequestId,
        wait: PermitWait,
        order: SchedulerOrder<'_>,
    ) -> Vec<EntryAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        let PermitWait { scheduler, acknowledged, timeouts, sent } = wait;
        if acknowledged {
            // The scheduler answered last time; it is asked again so that its end is noticed.
            return vec![request.ask(now, scheduler, 0)];
        }
        let mut actions = vec![EntryAction::Count(RetryReason::SchedulerSilent)];
        if timeouts + 1 < self.options.answer_tries {
            actions.push(request.ask(now, scheduler, timeouts + 1));
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
