//! Relays an answer that is buffered until it is complete, so that another attempt may replace a failed one.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: the byte budget, which counts what is buffered.

use curlewcleat_clock::Moment;
use curlewcleat_core::{AttemptEnd, RefusalReason, RetryReason, TargetEntry, Verdict};
use curlewcleat_targets::{collect, TargetAnswer};
use futures_util::StreamExt;
use spdlog::prelude::*;

use crate::byte_budget::{ByteHold, ByteOwner};
use crate::request::cause::AttemptCause;
use crate::request::run::{AttemptOutcome, RequestRun};

/// Longest answer in bytes that is buffered until it is complete: the platform's values have a megabyte at most.
const BUFFERED_ANSWER_LIMIT: usize = 1 << 20;

impl RequestRun {
    /// Relays an answer once it is complete. A server error is kept as a fallback if the request may be
    /// sent to another target.
    pub(super) async fn relay_complete(
        &mut self,
        answer: TargetAnswer,
        target: &TargetEntry,
        sent: Moment,
    ) -> AttemptOutcome {
        let TargetAnswer { head, body } = answer;
        let frame = body.frame();
        let mut held = self.hold_answer();
        let body = body.inspect(|part| {
            if let (Some(held), Ok(part)) = (&mut held, part) {
                held.grow(part.len() as u64);
            }
        });
        let collected = collect(body, BUFFERED_ANSWER_LIMIT).await;
        // Counted until the connection has the answer, or a fallback is no longer needed.
        self.buffered = held;
        let bytes = match collected {
            Ok(bytes) => bytes,
            Err(error) => {
                debug!("exchange_broken", kv: { target = target.id.as_str(), error = error.to_string() });
                return self.interrupted(RefusalReason::TargetClosed, AttemptCause::Closed);
            }
        };
        if self.answer.has_begun() {
            // The caller has the beginning of another target's answer, which this one cannot continue.
            return self.interrupted(RefusalReason::TargetProtocol, AttemptCause::Unreadable);
        }
        let caller_answer = self.protocol().caller_answer(self.request.id, &head);
        let caller_answer = caller_answer.with_body(frame, bytes);
        if head.status.is_server_error() && self.protocol().may_repeat(&self.request) {
            self.fallback = Some(caller_answer);
            return AttemptOutcome::Retry(RetryReason::TargetFailed, AttemptCause::Failed);
        }
        self.record_answer_begin();
        self.answer.send_head(caller_answer);
        self.verdict = Verdict::Ran;
        AttemptOutcome::Served(AttemptEnd::Whole(sent.elapsed()))
    }

    /// Starts to count an answer that is buffered; `None` without a memory limit.
    fn hold_answer(&self) -> Option<ByteHold> {
        let budget = self.service.context.budget.as_ref()?;
        Some(budget.hold(ByteOwner::Answer, 0))
    }
}
