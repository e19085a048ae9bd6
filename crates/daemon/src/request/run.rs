//! Runs one request: waits for a permit, sends it to a target, and retries or refuses it after a failed attempt.
//!
//! Owns: the request until its end. Only this module sends it, and it makes a further attempt only after proof
//! that the earlier one did not run, or where the rule lets requests run more than once.
//! Relies on: the node, which grants permits and counts attempts ([`PendingRequest`]).

mod attempts;
mod fault;
mod log;
mod replay;
mod sample;
mod settled_end;

use std::rc::Rc;

use curlewcleat_core::{
    AttemptEnd, KeptAnswer, Refusal, RefusalReason, RetryReason, StreamSource, TargetEntry, Verdict,
};
use curlewcleat_node::{CallerDecision, NodeEvent, RequestEnd};
use curlewcleat_targets::FormBasis;

use super::admitted::AdmittedRequest;
use super::answer::CallerAnswer;
use super::answer_channel::AnswerChannel;
use super::cause::AttemptCause;
use super::framing::AnswerFraming;
use super::progress::RequestProgress;
use super::protocol::CallerProtocol;
use super::target_wait::GrantedTarget;
use super::{CallerRequest, RequestService};
use crate::byte_budget::ByteHold;
use crate::pending::PendingRequest;

pub use self::log::record_refusal;
pub use self::settled_end::{EndStatement, SettledEnd, CONFIRMATION_LIMIT};

/// Result of an attempt, which decides how the request goes on.
pub enum AttemptOutcome {
    /// The caller has the complete answer.
    Served(AttemptEnd),
    /// The request is sent to another target if the node grants one.
    Retry(RetryReason, AttemptCause),
    /// The target stalled in the phase that the cause names; the request moves to this other target.
    Replaced(Box<GrantedTarget>, AttemptCause),
    /// The request was not sent and is refused.
    NotSent(RefusalReason),
    /// The request was sent, failed, and is refused.
    Failed(AttemptEnd, RefusalReason, AttemptCause),
    /// The caller stopped reading its answer.
    CallerStalled,
}

/// The node's decision about a request that waits for a permit.
enum PermitOutcome {
    /// The request may be sent to this target.
    Granted(Box<GrantedTarget>),
    /// The node refuses the request.
    Refused(Refusal),
    /// This answer was kept from an earlier attempt with the same idempotency key.
    Replayed(KeptAnswer),
}

/// One admitted request in progress.
pub struct RequestRun {
    pub(super) service: Rc<RequestService>,
    pub(super) request: AdmittedRequest,
    caller: CallerRequest,
    /// `None` once the node knows that the request has ended.
    pending: Option<PendingRequest>,
    pub(super) answer: AnswerChannel,
    pub(super) framing: Box<dyn AnswerFraming>,
    /// Whether any attempt so far ran or may have run.
    pub(super) verdict: Verdict,
    /// A target's server error, which the caller gets if no later attempt succeeds.
    pub(super) fallback: Option<CallerAnswer>,
    /// Counts the latest answer that was buffered until it was complete.
    pub(super) buffered: Option<ByteHold>,
    pub(super) progress: RequestProgress,
    /// Where the latest event comes from that deviates from the form of its source.
    pub(super) deviating_source: Option<StreamSource>,
    /// What the events of the stream are compared with, `None` before the first attempt.
    pub(super) form_basis: Option<FormBasis>,
    /// Where the stream ends unless another target continues it.
    pub(super) settled: Option<SettledEnd>,
}

impl RequestRun {
    /// Creates the run of an admitted request.
    pub(super) fn new(
        service: Rc<RequestService>,
        request: AdmittedRequest,
        caller: CallerRequest,
        pending: PendingRequest,
        answer: AnswerChannel,
    ) -> RequestRun {
        let framing = service.protocol.answer_framing(&request);
        RequestRun {
            service,
            request,
            caller,
            pending: Some(pending),
            answer,
            framing,
            verdict: Verdict::NotRun,
            fallback: None,
            buffered: None,
            progress: RequestProgress::default(),
            deviating_source: None,
            form_basis: None,
            settled: None,
        }
    }

    /// Runs until the caller has the complete answer or a final refusal.
    pub async fn run(mut self) {
        if !self.protocol().options().cuts_at_deadline {
            return self.run_attempts().await;
        }
        let context = self.service.context.clone();
        // Otherwise an answer whose bytes never pause uses up the task's turn, and the deadline is never looked at.
        let deadline = tokio::task::unconstrained(context.sleep_until(self.request.deadline));
        let deadline_passed = tokio::select! {
            // If a limit of the attempt expires together with the deadline, the limit has priority: it names the
            // reason of the refusal.
            biased;
            () = self.run_attempts() => false,
            () = deadline => true,
        };
        if deadline_passed && !self.serve_settled(self.asked_end()) {
            let end = self.attempt_end_at_deadline();
            self.report_end(end);
            self.refuse(RefusalReason::DeadlinePassed);
        }
    }

    pub(super) fn protocol(&self) -> &dyn CallerProtocol {
        self.service.protocol.as_ref()
    }

    /// Sends the request to one target after another until it has ended.
    async fn run_attempts(&mut self) {
        let mut granted = None;
        loop {
            let next = match granted.take() {
                Some(granted) => Some(granted),
                None => self.next_target().await,
            };
            let Some(next) = next else { return };
            let GrantedTarget { entry: target, connection } = *next;
            let asked = self.asked_end();
            let outcome = self.attempt(&target, connection).await;
            if outcome.is_failure() && self.serve_settled(asked) {
                return;
            }
            match outcome {
                AttemptOutcome::Served(_) if self.serve_confirmed() => return,
                AttemptOutcome::Served(end) => {
                    self.report_observations(&target, self.progress.end_observations());
                    self.report_completed_answer();
                    self.log_served(&target);
                    return self.report_end(end);
                }
                AttemptOutcome::Retry(reason, cause) => self.retry(&target, reason, cause),
                AttemptOutcome::Replaced(other, cause) => {
                    self.leave_target(&target, cause);
                    granted = Some(other);
                }
                AttemptOutcome::NotSent(reason) => {
                    self.report_end(AttemptEnd::Unused);
                    return self.refuse(reason);
                }
                AttemptOutcome::Failed(end, reason, cause) => {
                    return self.give_up(&target, end, reason, cause)
                }
                AttemptOutcome::CallerStalled => return self.abandon_stalled_caller(),
            }
        }
    }

    /// Waits for the target that the node grants; `None` where the node refused the request or replayed an answer.
    async fn next_target(&mut self) -> Option<Box<GrantedTarget>> {
        match self.wait_for_permit().await {
            PermitOutcome::Granted(granted) => return Some(granted),
            PermitOutcome::Refused(refusal) => {
                self.close_pending();
                self.refuse_with(refusal);
            }
            PermitOutcome::Replayed(answer) => {
                self.close_pending();
                self.answer.send_head(replay::replayed_answer(self.request.id, answer));
            }
        }
        None
    }

    /// Waits for the node's decision. If the process ends without one, the request is refused as draining.
    async fn wait_for_permit(&mut self) -> PermitOutcome {
        let decision = match &mut self.pending {
            Some(pending) => pending.decision().await,
            None => None,
        };
        match decision {
            Some(CallerDecision::Dispatch(_, entry)) => {
                PermitOutcome::Granted(Box::new(GrantedTarget { entry, connection: None }))
            }
            Some(CallerDecision::Refuse(refusal)) => PermitOutcome::Refused(refusal),
            Some(CallerDecision::Replay(answer)) => PermitOutcome::Replayed(answer),
            None => {
                let retry_after = self.protocol().options().retry_after;
                PermitOutcome::Refused(Refusal::not_run(RefusalReason::Draining, Some(retry_after)))
            }
        }
    }

    /// Reports a failed attempt to the node, which then decides about another one.
    fn retry(&mut self, target: &TargetEntry, reason: RetryReason, cause: AttemptCause) {
        // The node needs the report before it decides about another attempt.
        let fault = self.record_failed_attempt(target, reason.code(), cause);
        let answer_begun = self.answer.has_begun();
        if let Some(pending) = &mut self.pending {
            if answer_begun {
                pending.answer_begun();
            }
            pending.attempt_not_run(fault.reported_end(cause.attempt_end()), reason);
        }
    }

    /// Closes the request at the node without a report: the node ended it itself.
    fn close_pending(&mut self) {
        if let Some(pending) = self.pending.take() {
            pending.close();
        }
    }

    /// Reports to the node how the request ended.
    fn report_end(&mut self, end: AttemptEnd) {
        let Some(pending) = self.pending.take() else { return };
        let request = &self.request;
        self.service.context.metrics.count_end(self.verdict, &request.tier, &request.pool.id);
        let kept = match self.verdict {
            Verdict::Ran => self.framing.kept_answer(),
            Verdict::NotRun | Verdict::MayHaveRun => None,
        };
        let end = RequestEnd {
            verdict: self.verdict,
            attempt_end: end,
            is_proved: self.progress.is_end_proved(),
            kept_answer: kept,
        };
        pending.finish(NodeEvent::Finished(request.id, Box::new(end)));
    }

    /// Gives up a request whose caller stopped reading: dropping it cancels it at the node and cuts its answer.
    fn abandon_stalled_caller(&mut self) {
        self.log_caller_stalled();
        self.service.context.metrics.count_caller_stalled();
        self.answer.end_stalled();
        self.pending = None;
    }

    /// Refuses the request with the verdict so far and the protocol's `Retry-After`.
    fn refuse(&mut self, reason: RefusalReason) {
        let retry_after = Some(self.protocol().options().retry_after);
        self.refuse_with(Refusal { reason, verdict: self.verdict, retry_after });
    }

    /// Sends the caller the final refusal, which states whether the request may have run, or the fallback answer.
    /// An answer that has begun is cut when its channel is dropped.
    fn refuse_with(&mut self, mut refusal: Refusal) {
        refusal.verdict = refusal.verdict.join(self.verdict);
        self.record_unresolved_deviation();
        let request = &self.request;
        record_refusal(&self.service, request.id, &request.attempt_id, Some(request), &refusal);
        if self.answer.has_begun() {
            return self.log_cut(refusal.reason);
        }
        let fallback = self.fallback.take();
        let answer =
            fallback.unwrap_or_else(|| self.protocol().refusal_answer(request.id, &refusal));
        self.answer.send_head(answer);
    }
}

impl Drop for RequestRun {
    /// Logs a stream whose caller has left: what was passed on may be more than its caller has.
    fn drop(&mut self) {
        if self.pending.is_some() && self.answer.has_begun() {
            self.log_caller_left();
        }
    }
}
