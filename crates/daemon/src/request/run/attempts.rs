//! Makes one attempt of a request and decides what its result means for the request.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: [`send`] for what may have been written.

use curlewcleat_core::{AttemptEnd, RefusalReason, RetryReason, TargetEntry, Verdict};
use curlewcleat_targets::PooledConnection;

use super::{AttemptOutcome, RequestRun};
use crate::request::attempt::{connect, send, AttemptStart};
use crate::request::cause::AttemptCause;
use crate::request::protocol::TargetAttempt;
use crate::request::target_wait::{ReplacementReason, TargetWait};

impl RequestRun {
    /// Sends the request to a target, over `connection` if there is one, and relays the answer to the caller.
    pub(super) async fn attempt(
        &mut self,
        target: &TargetEntry,
        connection: Option<PooledConnection>,
    ) -> AttemptOutcome {
        if let Err(reason) = self.protocol().check_sendable(&self.request) {
            return AttemptOutcome::NotSent(reason);
        }
        let waited = self.request.arrived.elapsed().as_secs_f64();
        let metrics = &self.service.context.metrics;
        metrics.observe_wait(waited, &self.request.tier, &self.request.pool.id);
        self.progress.record_sent(target);
        self.log_continued_stream(target);
        // From here on the request may have run, however the wait ends, until it is proved that it did not.
        let previous_verdict = std::mem::replace(&mut self.verdict, Verdict::MayHaveRun);
        match self.send(target, connection).await {
            AttemptStart::Answer(answer) => {
                self.report_target_activity();
                self.relay_answer(*answer, target).await
            }
            AttemptStart::Failed(reason, cause) => self.interrupted(reason, cause),
            AttemptStart::Replaced(other) => {
                AttemptOutcome::Replaced(other, AttemptCause::HeadTimeout)
            }
            AttemptStart::NotRun(reason, cause) => {
                self.verdict = previous_verdict;
                self.not_run(reason, cause)
            }
        }
    }

    /// Sends the request and waits for the head of the answer.
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
            last_event: self.framing.last_event(),
        };
        let context = &self.service.context;
        let limit = self.confirmation_limit();
        let wait = TargetWait {
            context,
            pending: self.pending.as_mut().filter(|_| may_repeat && limit.is_none()),
            protocol: self.service.protocol.as_ref(),
            request: &self.request,
            target,
            version: self.progress.required_version(),
            reason: ReplacementReason::Stalled,
            limit,
        };
        let connection = match connect(&attempt, connection, &wait).await {
            Ok(connection) => connection,
            Err(start) => return start,
        };
        let origin = connection.origin();
        self.progress.record_connection(origin);
        context.metrics.count_target_connection(
            origin.code(),
            &self.request.pool.id,
            &target.data_centre,
        );
        send(attempt, connection, wait).await
    }

    /// Decides how to go on after an attempt that did not run: another one, if the body can be sent again.
    fn not_run(&self, reason: RetryReason, cause: AttemptCause) -> AttemptOutcome {
        match self.caller.body.can_be_sent() {
            true => AttemptOutcome::Retry(reason, cause),
            false => AttemptOutcome::Failed(cause.attempt_end(), reason.final_refusal(), cause),
        }
    }

    /// Creates a wait for the target that runs the request. It may be replaced only where another target can continue
    /// the answer at the right place.
    pub(in crate::request) fn target_wait<'a>(
        &'a mut self,
        target: &'a TargetEntry,
    ) -> TargetWait<'a> {
        let protocol = self.service.protocol.as_ref();
        let limit = self.confirmation_limit();
        let may_move =
            protocol.may_repeat(&self.request) && self.framing.is_resumable() && limit.is_none();
        let pending = self.pending.as_mut().filter(|_| may_move);
        let context = &self.service.context;
        let (request, version) = (&self.request, self.progress.required_version());
        let reason = ReplacementReason::Stalled;
        TargetWait { context, pending, protocol, request, target, version, reason, limit }
    }

    /// Reports that the target has sent data and is not stalled.
    pub(in crate::request) fn report_target_activity(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.target_resumed();
        }
    }

    /// Decides how to go on after an attempt that may have run but gave no complete answer.
    pub(in crate::request) fn interrupted(
        &mut self,
        reason: RefusalReason,
        cause: AttemptCause,
    ) -> AttemptOutcome {
        self.framing.restart();
        if let Some(error) = self.caller.body.error() {
            // The caller's body was at fault, so the target is not counted as failed.
            let (end, cause) = (AttemptEnd::Unused, AttemptCause::CallerBody);
            return AttemptOutcome::Failed(end, error.reason(), cause);
        }
        if self.protocol().may_repeat(&self.request) && self.framing.is_resumable() {
            return AttemptOutcome::Retry(RetryReason::StreamResumed, cause);
        }
        AttemptOutcome::Failed(AttemptEnd::Failed, reason, cause)
    }
}
