//! Relays the answer of a target to the caller.
//!
//! Owns: the choice between relaying parts as they arrive and buffering an answer until it is complete, and the
//! handling of interrupted answers. Relies on: [`AnswerFraming`](super::framing::AnswerFraming) for the position in the
//! answer.

mod broken;
mod complete;
mod ends;
mod forms;
mod records;

use std::time::Duration;

use bytes::Bytes;
use curlewcleat_core::{RefusalReason, StreamVersion, TargetEntry, Verdict, VersionDigest};
use curlewcleat_node::NodeEvent;
use curlewcleat_targets::{
    buffer_size, AnswerBody, AnswerExcess, BodyFrame, ExcessForm, IntakeHold, TargetAnswer,
};
use futures_util::StreamExt;

use super::cause::AttemptCause;
use super::run::{AttemptOutcome, RequestRun};
use super::target_wait::{GrantedTarget, WaitEnd};

use self::ends::EndProof;
pub use self::records::HeldRecord;

/// Next event in an answer.
enum NextPart {
    /// A part of the answer.
    Part(Bytes),
    /// The end of the answer.
    End,
    /// The target is replaced by this one.
    Replaced(Box<GrantedTarget>, AttemptCause),
    /// The answer was interrupted before its end.
    Interrupted(AttemptCause),
    /// The answer has too many bytes that cannot be delivered.
    Excess(AnswerExcess),
}

impl RequestRun {
    /// Relays an answer to the caller.
    pub(super) async fn relay_answer(
        &mut self,
        answer: TargetAnswer,
        target: &TargetEntry,
    ) -> AttemptOutcome {
        self.progress.record_frame(answer.body.frame());
        let _hold = self.hold_for_end(answer.body.frame(), target);
        if answer.head.status.is_server_error() {
            self.progress.record_server_error();
        }
        match self.protocol().buffers_answer(&self.request, answer.head.status) {
            true => self.relay_complete(answer, target).await,
            false => self.relay_parts(answer, target).await,
        }
    }

    /// Relays parts as they arrive.
    async fn relay_parts(&mut self, answer: TargetAnswer, target: &TargetEntry) -> AttemptOutcome {
        let TargetAnswer { head, mut body } = answer;
        let mut undelivered = body.intake_hold();
        self.begin_parts(&head, target);
        let mut limit = self.part_limit();
        loop {
            let part = match self.next_part(&mut body, target, limit).await {
                NextPart::Part(part) => self.framing.push(part),
                NextPart::End => break,
                NextPart::Excess(excess) => return self.exceeded(target, excess),
                NextPart::Replaced(other, cause) => return AttemptOutcome::Replaced(other, cause),
                NextPart::Interrupted(cause) => match self.resume(target, limit).await {
                    Some(rest) => {
                        body = rest;
                        continue;
                    }
                    None => return self.interrupted(RefusalReason::TargetClosed, cause),
                },
            };
            self.report_numbers(target);
            self.review_settled_end();
            if !part.is_empty() {
                if !self.answer.has_begun() {
                    self.begin_stream(&head, target);
                    limit = self.part_limit();
                }
                if !self.relay_part(part).await {
                    return AttemptOutcome::CallerStalled;
                }
                self.report_part(target);
            }
            // The last step: an answer that ends here is continued after the events that were relayed.
            if let Some(outcome) = self.evaluate_buffered(target, &mut undelivered) {
                return outcome;
            }
        }
        undelivered.close();
        // Sends the head of an answer that has no parts.
        self.begin_answer(&head);
        self.finish_parts(target).await
    }

    /// Counts what is kept of the answer after a part; returns the end of the attempt if the answer cannot go on.
    fn evaluate_buffered(
        &mut self,
        target: &TargetEntry,
        undelivered: &mut IntakeHold,
    ) -> Option<AttemptOutcome> {
        if self.framing.is_misplaced() {
            return Some(self.interrupted(RefusalReason::TargetProtocol, AttemptCause::Misplaced));
        }
        let size = buffer_size(self.framing.buffered());
        let excess = undelivered.resize(size, ExcessForm::Event).err()?;
        Some(self.exceeded(target, excess))
    }

    fn report_part(&mut self, target: &TargetEntry) {
        self.report_observations(target, self.progress.part_observation());
        self.report_established_answer();
    }

    /// Reports to the node, once for each attempt, that the target began the answer and went on with it.
    fn report_established_answer(&mut self) {
        if self.progress.take_established() {
            self.send_established();
        }
    }

    /// Reports to the node that the target completed the answer, unless it knows already that the answer began.
    pub(super) fn report_completed_answer(&mut self) {
        if self.progress.take_completed() {
            self.send_established();
        }
    }

    fn send_established(&self) {
        if !self.request.part_features.is_empty() {
            self.service.context.send_event(NodeEvent::AnswerEstablished(self.request.id));
        }
    }

    fn begin_parts(&mut self, head: &actix_http::ResponseHead, target: &TargetEntry) {
        self.framing.begin(head);
        self.extend_settled_end();
        self.expect_form(target);
        if !self.framing.delays_head() {
            self.begin_answer(head);
        }
    }

    /// Waits for the next part of the answer, its end, an interruption or a replacement of the target.
    async fn next_part(
        &mut self,
        body: &mut AnswerBody,
        target: &TargetEntry,
        limit: Duration,
    ) -> NextPart {
        let limit = match self.confirmation_limit() {
            Some(limit) => limit,
            None if self.framing.is_resumable() => limit,
            // A target that cannot be replaced has all the remaining time.
            None => limit.max(self.request.time_left()),
        };
        let wait = self.target_wait(target);
        match wait.wait(limit, body.next()).await {
            WaitEnd::Arrived(Some(Ok(part))) => {
                self.report_target_activity();
                NextPart::Part(part)
            }
            WaitEnd::Arrived(None) => {
                if body.is_left_unread() {
                    self.progress.record_left_unread();
                }
                let end = self.evaluate_end(body.frame(), target, limit).await;
                self.report_numbers(target);
                end
            }
            WaitEnd::Arrived(Some(Err(_))) => match body.excess() {
                Some(excess) => NextPart::Excess(excess),
                None => NextPart::Interrupted(AttemptCause::Closed),
            },
            WaitEnd::Replaced(other) => NextPart::Replaced(other, AttemptCause::PartTimeout),
            WaitEnd::TimedOut => NextPart::Interrupted(AttemptCause::PartTimeout),
        }
    }

    /// Decides whether the answer is complete after the end of a body. What the end says about the stream counts only once
    /// it is proven: a target that terminated has stated nothing.
    async fn evaluate_end(
        &mut self,
        frame: BodyFrame,
        target: &TargetEntry,
        limit: Duration,
    ) -> NextPart {
        let is_complete = self.framing.is_complete(frame);
        if !is_complete && !self.framing.adds_nothing() {
            return NextPart::Interrupted(AttemptCause::Closed);
        }
        let proof = self.end_proof(frame, target, limit).await;
        // What a target that terminates leaves out shows nothing of the end.
        if is_complete != matches!(proof, EndProof::Whole) {
            self.framing.leave_end_unproven();
        }
        match proof {
            EndProof::Replaced(other) => NextPart::Replaced(other, AttemptCause::PartTimeout),
            EndProof::Whole if is_complete => self.evaluate_whole(frame, target).await,
            // Another target has to confirm that nothing follows.
            EndProof::Whole => NextPart::Interrupted(AttemptCause::EndUnproven),
            EndProof::Missing(_) if !is_complete => NextPart::Interrupted(AttemptCause::Closed),
            EndProof::Missing(cause) => NextPart::Interrupted(cause),
        }
    }

    /// Relays what the framing has buffered, and finishes the answer.
    async fn finish_parts(&mut self, target: &TargetEntry) -> AttemptOutcome {
        let remaining = self.framing.take_remaining();
        if !remaining.is_empty() && !self.relay_part(remaining).await {
            return AttemptOutcome::CallerStalled;
        }
        self.answer.finish();
        self.record_stream_shape(target);
        self.verdict = Verdict::Ran;
        match self.framing.reports_timing() {
            true => AttemptOutcome::Served(self.stream_end()),
            false => AttemptOutcome::Served(self.progress.whole_end()),
        }
    }

    /// Records the version that begins a stream, so that it is continued at no other one.
    fn record_stream_begin(&mut self, target: &TargetEntry) {
        self.progress.record_begin(target);
        let request = &self.request;
        let Some(stream) = request.begun_stream() else { return };
        let version = VersionDigest::of(target.version.as_ref());
        let begun = StreamVersion { stream, version };
        let event = NodeEvent::StreamBegun(request.id, request.pool.id.clone(), begun);
        self.service.context.send_event(event);
    }

    fn begin_stream(&mut self, head: &actix_http::ResponseHead, target: &TargetEntry) {
        self.record_stream_begin(target);
        self.begin_answer(head);
    }

    fn begin_answer(&mut self, head: &actix_http::ResponseHead) {
        if self.answer.has_begun() {
            return;
        }
        self.record_answer_begin();
        let mut answer = self.protocol().caller_answer(self.request.id, head);
        if let Some(frame) = self.progress.frame() {
            answer = answer.with_parts_of(frame);
        }
        self.answer.send_head(answer);
    }

    /// Relays a part; returns `false` if the caller has not read for `stall_limit`, or for the shorter time for which
    /// the target's answer may be left unread.
    async fn relay_part(&mut self, mut part: Bytes) -> bool {
        self.progress.record_part(part.len());
        let limit = self.answer.part_wait(self.service.context.settings.stall_limit);
        while !part.is_empty() {
            let piece = self.answer.next_piece(&mut part);
            if tokio::time::timeout(limit, self.answer.send_piece(piece)).await.is_err() {
                return false;
            }
        }
        true
    }

    fn part_limit(&self) -> Duration {
        self.protocol().limits(&self.request).between_parts
    }

    fn record_answer_begin(&self) {
        let elapsed_s = self.request.arrived.elapsed().as_secs_f64();
        let metrics = &self.service.context.metrics;
        metrics.observe_first_byte(elapsed_s, &self.request.tier, &self.request.pool.id);
    }
}
