//! Makes one attempt of a request and decides what its result means for the request.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: [`send`] for what may have been written.

use curlewcleat_clock::Moment;
use curlewcleat_core::{AttemptEnd, RefusalReason, RetryReason, TargetEntry, Verdict};
use curlewcleat_targets::PooledConnection;

use super::{AttemptVerdict, RequestRun};
use crate::request::attempt::{send, AttemptStart};
use crate::request::cause::AttemptCause;
use crate::request::protocol::TargetAttempt;
use crate::request::target_wait::TargetWait;

impl RequestRun {
    /// Sends the request to a target, over `connection` if there is one, and relays the answer to the caller.
    pub(super) async fn attempt(
        &mut self,
        target: &TargetEntry,
        connection: Option<PooledConnection>,
    ) -> AttemptVerdict {
        if let Err(reason) = self.protocol().check_sendable(&self.request) {
            return AttemptVerdict::NotSent(reason);
        }
        let waited = self.request.arrived.elapsed().as_secs_f64();
        let metrics = &self.service.context.metrics;
        metrics.waited(waited, &self.request.tier, &self.request.pool.id);
        let sent = Moment::now();
        self.progress.note_sent(&target.id);
        // From here on the request may have run, however the wait ends, until the target reports that it did
        // not.
        let before = std::mem::replace(&mut self.verdict, Verdict::MayHaveRun);
        match self.send(target, connection).await {
            AttemptStart::Answer(answer) => {
                self.note_heard();
                self.pass_on(*answer, target, sent).await
            }
            AttemptStart::Failed(reason, cause) => self.broken(reason, cause),
            AttemptStart::Replaced(other) => {
                AttemptVerdict::Replaced(other, AttemptCause::HeadTimeout)
            }
            AttemptStart::NotRun(reason, cause) => {
                self.verdict = before;
                self.not_run(reason, cause)
            }
        }
    }

    async fn send(
        &mut self,
        target: &TargetEntry,
        connection: Option<PooledConnection>,
    ) -> AttemptStart {
        let may_repeat = self.protocol().may_repeat(&self.request);
        let attempt = TargetAttempt {
            request: &self.request,
            caller: &self.caller,
            target,
            last_event: self.form.last_event(),
        };
        let context = &self.service.context;
        let wait = TargetWait {
            context,
            pending: self.pending.as_mut().filter(|_| may_repeat),
            protocol: self.service.protocol.as_ref(),
            request: &self.request,
            target,
        };
        send(attempt, connection, wait).await
    }

    fn not_run(&self, reason: RetryReason, cause: AttemptCause) -> AttemptVerdict {
        match self.caller.body.is_intact() {
            true => AttemptVerdict::Again(reason, cause),
            false => AttemptVerdict::Failed(cause.attempt_end(), reason.final_refusal(), cause),
        }
    }

    /// Creates a wait for the target that runs the request.
    pub(in crate::request) fn target_wait<'a>(
        &'a mut self,
        target: &'a TargetEntry,
    ) -> TargetWait<'a> {
        let protocol = self.service.protocol.as_ref();
        let may_repeat = protocol.may_repeat(&self.request);
        let pending = self.pending.as_mut().filter(|_| may_repeat);
        let context = &self.service.context;
        TargetWait { context, pending, protocol, request: &self.request, target }
    }

    /// Reports that the target has sent data and is not stalled.
    pub(in crate::request) fn note_heard(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.target_heard();
        }
    }

    /// Decides how to go on after an attempt that may have run but gave no complete answer.
    pub(in crate::request) fn broken(
        &mut self,
        reason: RefusalReason,
        cause: AttemptCause,
    ) -> AttemptVerdict {
        self.form.restart();
        if let Some(fault) = self.caller.body.fault() {
            // The caller's body was at fault, so the target is not counted as failed.
            let (end, cause) = (AttemptEnd::Unused, AttemptCause::CallerBody);
            return AttemptVerdict::Failed(end, fault.reason(), cause);
        }
        if self.protocol().may_repeat(&self.request) {
            return AttemptVerdict::Again(RetryReason::StreamResumed, cause);
        }
        AttemptVerdict::Failed(AttemptEnd::Failed, reason, cause)
    }
}
