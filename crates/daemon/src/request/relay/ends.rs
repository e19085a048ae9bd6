//! Answers that end with their connection: whether anything proves that they are whole.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: the service's status queries.

use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_core::{AttemptEnd, TargetEntry};
use curlewcleat_sched::AnswerEnd;
use curlewcleat_targets::BodyFrame;

use super::NextPart;
use crate::request::cause::AttemptCause;
use crate::request::liveness::TargetLiveness;
use crate::request::run::RequestRun;
use crate::request::run::{EndStatement, SettledEnd, CONFIRMATION_LIMIT};
use crate::request::status_queries::{StatusHold, StatusTarget};
use crate::request::target_wait::{GrantedTarget, ReplacementReason, TargetWait, WaitEnd};

/// Longest time for which another target is waited for that may confirm an end.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(100);

/// What is known of an answer once its body has ended.
pub(super) enum EndProof {
    /// Its length or last chunk has arrived, or its target outlived it and had no reason to cut it off.
    Whole,
    /// Its target may have terminated while sending, or have cut off what was left unread. The cause is
    /// [`AttemptCause::Closed`] if it has terminated for certain.
    Missing(AttemptCause),
    /// Its target does not answer, and is replaced by this one.
    Replaced(Box<GrantedTarget>),
}

impl RequestRun {
    /// Holds a connection for the status request to the target of an answer that ends with its connection.
    pub(super) fn hold_for_end(
        &self,
        frame: BodyFrame,
        target: &TargetEntry,
    ) -> Option<StatusHold> {
        let is_needed = frame == BodyFrame::UntilClose;
        is_needed.then(|| self.service.hold_status_connection(self.status_target(target)))
    }

    /// Returns whether an answer is whole whose body has ended as `frame` states. A target that does not answer is waited
    /// for as long as for a part of its answer.
    pub(super) async fn end_proof(
        &mut self,
        frame: BodyFrame,
        target: &TargetEntry,
        limit: Duration,
    ) -> EndProof {
        if frame != BodyFrame::UntilClose {
            return EndProof::Whole;
        }
        // A target that cuts off an answer which is not read lives on.
        let is_left_unread = self.progress.is_left_unread();
        let asked = Instant::now();
        let service = Rc::clone(&self.service);
        let query = service.query_status(self.status_target(target));
        let wait = self.target_wait(target);
        let (liveness, replacement) = match wait.wait(limit, query).await {
            WaitEnd::Arrived(liveness) => (liveness, None),
            WaitEnd::Replaced(other) => (TargetLiveness::Unresponsive, Some(other)),
            WaitEnd::TimedOut => (TargetLiveness::Unresponsive, None),
        };
        self.log_end_check(target, liveness, asked.elapsed(), is_left_unread);
        match (liveness, replacement) {
            (TargetLiveness::Alive, _) if !is_left_unread => EndProof::Whole,
            (_, Some(other)) => EndProof::Replaced(other),
            (TargetLiveness::Replaced, None) => EndProof::Missing(AttemptCause::Closed),
            (_, None) => EndProof::Missing(AttemptCause::EndUnproven),
        }
    }

    /// Decides whether the stream, and the caller's answer, may end with a whole body.
    pub(super) async fn evaluate_whole(
        &mut self,
        frame: BodyFrame,
        target: &TargetEntry,
    ) -> NextPart {
        if !self.framing.may_end() {
            return NextPart::Interrupted(AttemptCause::Misplaced);
        }
        if !self.answer.may_end_with(frame) {
            return NextPart::Interrupted(AttemptCause::EndUnproven);
        }
        if frame != BodyFrame::UntilClose || self.asked_end().is_some() {
            return NextPart::End;
        }
        let is_agreed = self.framing.agrees_on_end();
        let is_doubtful = self.is_end_doubtful();
        if is_agreed && !is_doubtful {
            return NextPart::End;
        }
        if is_doubtful && !is_agreed && self.has_to_confirm(target) {
            return NextPart::Interrupted(AttemptCause::EndUnproven);
        }
        // Two targets that break off answers may have ended theirs at the same event.
        match self.end_confirmation(target).await {
            Some(other) => NextPart::Replaced(other, AttemptCause::EndUnproven),
            None => NextPart::End,
        }
    }

    /// Returns whether another target has to confirm the end of a stream: targets of the pool break off answers, and this
    /// one may have done so at the end of an event.
    pub(super) fn is_end_doubtful(&self) -> bool {
        let context = &self.service.context;
        self.protocol().may_repeat(&self.request)
            && self.framing.is_resumable()
            && context.breaks.are_recent(context.uptime(), &self.request.pool.id)
    }

    /// Returns whether a doubtful end counts only once another target has confirmed it: the first one of an answer, and later
    /// ones where a further target can be asked.
    pub(super) fn has_to_confirm(&mut self, target: &TargetEntry) -> bool {
        let source = self.stream_source(target);
        let may_ask =
            self.has_further_attempt() && self.service.context.forms.has_third_target(&source);
        self.framing.begins_doubt() || may_ask
    }

    /// Returns another target that is asked what follows on an unframed stream whose target lives, since one that lives
    /// may close its answer too early. `None` where none has to be asked, or none is granted while retries are to spare.
    pub(super) async fn end_confirmation(
        &mut self,
        target: &TargetEntry,
    ) -> Option<Box<GrantedTarget>> {
        if !self.protocol().may_repeat(&self.request) || !self.framing.may_go_on() {
            return None;
        }
        let granted = match self.request.time_left() > CONFIRMATION_LIMIT {
            true => self.target_for_confirmation(target, self.stream_end()).await,
            false => None,
        };
        match granted {
            Some(_) => {
                let (last_event, wait) = (self.framing.last_event(), self.caller_wait());
                self.settled = Some(SettledEnd::new(last_event, target, wait));
            }
            None => self.log_end_statement(EndStatement::Unasked),
        }
        granted
    }

    /// Returns what the end of a stream shows of its target's speed. An answer that only confirms the end shows nothing.
    pub(super) fn stream_end(&self) -> AttemptEnd {
        match self.framing.adds_nothing() {
            true => AttemptEnd::Unused,
            false => self.progress.stream_end(),
        }
    }

    /// Returns another target if one is granted at once, while retries are to spare. The first one has ended its answer like
    /// this.
    pub(super) async fn target_for_confirmation(
        &mut self,
        target: &TargetEntry,
        end: AttemptEnd,
    ) -> Option<Box<GrantedTarget>> {
        let reason =
            ReplacementReason::EndConfirmed(AnswerEnd { end, is_doubtful: self.is_end_doubtful() });
        let wait = TargetWait { reason, ..self.target_wait(target) };
        match wait.wait(Duration::ZERO, tokio::time::sleep(CONFIRMATION_WAIT)).await {
            WaitEnd::Replaced(other) => Some(other),
            WaitEnd::Arrived(()) | WaitEnd::TimedOut => None,
        }
    }

    fn status_target(&self, target: &TargetEntry) -> StatusTarget {
        StatusTarget {
            pool: self.request.pool.clone(),
            entry: target.clone(),
            request: self.request.id,
            connect_limit: self.protocol().limits(&self.request).connect,
        }
    }
}
