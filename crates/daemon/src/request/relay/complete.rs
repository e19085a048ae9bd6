//! Relays an answer that is buffered until it is complete, so that another attempt may replace a failed one.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: the byte budget, which counts what is buffered.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use curlewcleat_core::{RefusalReason, RetryReason, TargetEntry, Verdict};
use curlewcleat_targets::{
    buffer_size, AnswerBody, AnswerExcess, BodyFrame, ExcessForm, ExcessLimit, TargetAnswer,
    TruncatedBody,
};
use futures_util::StreamExt;
use spdlog::prelude::*;

use super::ends::EndProof;
use super::records::WholeRecord;
use crate::byte_budget::{ByteHold, ByteOwner};
use crate::request::answer::CallerAnswer;
use crate::request::cause::AttemptCause;
use crate::request::run::{AttemptOutcome, RequestRun};

/// Longest answer in bytes that is buffered until it is complete: the platform's values have a megabyte at most.
const BUFFERED_ANSWER_LIMIT: usize = 1 << 20;

/// Why an answer could not be buffered until it was complete.
#[derive(Debug, thiserror::Error)]
enum BufferError {
    /// The answer was truncated.
    #[error(transparent)]
    Truncated(#[from] TruncatedBody),
    /// The answer has too many bytes.
    #[error(transparent)]
    Excess(#[from] AnswerExcess),
}

impl RequestRun {
    /// Relays an answer once it is complete. A server error is kept as a fallback if the request may be
    /// sent to another target.
    pub(super) async fn relay_complete(
        &mut self,
        answer: TargetAnswer,
        target: &TargetEntry,
    ) -> AttemptOutcome {
        let TargetAnswer { head, body } = answer;
        let frame = body.frame();
        let limit = self.confirmation_limit().unwrap_or(Duration::MAX);
        let Ok(buffered) = tokio::time::timeout(limit, buffer_answer(body)).await else {
            return self.interrupted(RefusalReason::TargetClosed, AttemptCause::PartTimeout);
        };
        let bytes = match buffered {
            Ok(bytes) => bytes,
            Err(BufferError::Excess(excess)) => return self.exceeded(target, excess),
            Err(BufferError::Truncated(error)) => {
                debug!("exchange_broken", kv: { target = target.id.as_str(), error = error.to_string() });
                return self.interrupted(RefusalReason::TargetClosed, AttemptCause::Closed);
            }
        };
        if let Some(outcome) = self.unproved_end(frame, target).await {
            return outcome;
        }
        // Counted until the connection has the answer, or a fallback is no longer needed.
        self.buffered = self.hold_answer(bytes.len());
        if self.answer.has_begun() {
            // The caller has the beginning of another target's answer, which this one cannot continue.
            return self.interrupted(RefusalReason::TargetProtocol, AttemptCause::Unreadable);
        }
        let length = bytes.len();
        let answer = self.protocol().caller_answer(self.request.id, &head).with_body(frame, bytes);
        if head.status.is_server_error() && self.protocol().may_repeat(&self.request) {
            self.fallback = Some(answer);
            return AttemptOutcome::Retry(RetryReason::TargetFailed, AttemptCause::Failed);
        }
        let record = WholeRecord { answer, frame, length };
        match self.confirmed_record(record, target).await {
            Ok(answer) => self.send_record(answer),
            Err(outcome) => outcome,
        }
    }

    fn send_record(&mut self, answer: CallerAnswer) -> AttemptOutcome {
        self.record_answer_begin();
        self.answer.send_head(answer);
        self.verdict = Verdict::Ran;
        AttemptOutcome::Served(self.progress.whole_end())
    }

    /// Returns how the attempt ends if nothing proves that a record is whole.
    async fn unproved_end(
        &mut self,
        frame: BodyFrame,
        target: &TargetEntry,
    ) -> Option<AttemptOutcome> {
        match self.end_proof(frame, target, self.record_limit()).await {
            EndProof::Whole => None,
            EndProof::Missing(cause) => Some(self.interrupted(RefusalReason::TargetClosed, cause)),
            EndProof::Replaced(other) => {
                Some(AttemptOutcome::Replaced(other, AttemptCause::EndUnproven))
            }
        }
    }

    /// Returns for how long the target of a record is waited for. One that cannot be replaced has all the remaining time.
    fn record_limit(&self) -> Duration {
        match self.protocol().may_repeat(&self.request) {
            true => self.part_limit(),
            false => self.request.time_left(),
        }
    }

    /// Counts an answer that is complete; `None` without a memory limit.
    fn hold_answer(&self, bytes: usize) -> Option<ByteHold> {
        let budget = self.service.context.budget.as_ref()?;
        Some(budget.hold(ByteOwner::Answer, bytes as u64))
    }
}

/// Reads an answer until it is complete.
async fn buffer_answer(mut body: AnswerBody) -> Result<Bytes, BufferError> {
    let mut undelivered = body.intake_hold();
    let mut bytes = BytesMut::new();
    while let Some(part) = body.next().await {
        let part = match (part, body.excess()) {
            (Ok(part), _) => part,
            (Err(_), Some(excess)) => return Err(excess.into()),
            (Err(truncated), None) => return Err(truncated.into()),
        };
        let size = bytes.len() + part.len();
        if size > BUFFERED_ANSWER_LIMIT {
            let (form, limit) = (ExcessForm::Body, ExcessLimit::Size);
            return Err(AnswerExcess { form, bytes: size as u64, limit }.into());
        }
        undelivered.resize(buffer_size(size), ExcessForm::Body)?;
        bytes.extend_from_slice(&part);
    }
    Ok(bytes.freeze())
}
