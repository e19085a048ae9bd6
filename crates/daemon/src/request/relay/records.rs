//! Records that end with their connection: another target is asked for the same record, since one that lives may have
//! closed its answer too early. Of two such records the longer one counts.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: the rule of the request, which lets it run more than
//! once.

use std::cmp::Ordering;
use std::time::Duration;

use curlewcleat_core::{AttemptEnd, RefusalReason, TargetEntry};
use curlewcleat_targets::BodyFrame;

use crate::byte_budget::ByteHold;
use crate::request::answer::CallerAnswer;
use crate::request::cause::AttemptCause;
use crate::request::run::{AttemptOutcome, EndStatement, RequestRun, SettledEnd};

/// Number of times that the other target may take as long as the first one.
const RUN_FACTOR: u32 = 2;
/// Part of the remaining time that is left for the caller to get the record if the other target does not answer.
const TIME_LEFT_DIVISOR: u32 = 2;

/// A record that has arrived.
pub struct WholeRecord {
    /// The answer to the caller.
    pub answer: CallerAnswer,
    /// What determined its end.
    pub frame: BodyFrame,
    /// Length of its body in bytes.
    pub length: usize,
}

/// A record that is sent to the caller unless another target has a longer one.
pub struct HeldRecord {
    answer: CallerAnswer,
    length: usize,
    /// Counts its bytes.
    hold: Option<ByteHold>,
}

impl RequestRun {
    /// Returns the record for the caller, or how the attempt ends if another target is asked or has confirmed the record of
    /// the first one.
    pub(super) async fn confirmed_record(
        &mut self,
        record: WholeRecord,
        target: &TargetEntry,
    ) -> Result<CallerAnswer, AttemptOutcome> {
        if let Some(length) = self.settled.as_ref().and_then(SettledEnd::record_length) {
            return self.compare_record(record, length);
        }
        let is_provable = record.frame != BodyFrame::UntilClose;
        if is_provable || !record.answer.status.is_success() || !self.may_repeat_record() {
            return Ok(record.answer);
        }
        let end = self.progress.whole_end();
        let Some(limit) = self.second_run_limit(end) else {
            self.log_end_statement(EndStatement::Unasked);
            return Ok(record.answer);
        };
        match self.target_for_confirmation(target, end).await {
            Some(other) => {
                let WholeRecord { answer, length, .. } = record;
                let held = HeldRecord { answer, length, hold: self.buffered.take() };
                self.settled = Some(SettledEnd::of_record(held, target, limit));
                Err(AttemptOutcome::Replaced(other, AttemptCause::EndUnproven))
            }
            None => {
                self.log_end_statement(EndStatement::Unasked);
                Ok(record.answer)
            }
        }
    }

    /// Decides between the record of a second target and the settled one, which has this length.
    fn compare_record(
        &mut self,
        record: WholeRecord,
        settled: usize,
    ) -> Result<CallerAnswer, AttemptOutcome> {
        if !record.answer.status.is_success() {
            return Err(self.interrupted(RefusalReason::TargetProtocol, AttemptCause::Unreadable));
        }
        let order = record.length.cmp(&settled);
        if order == Ordering::Equal {
            return Err(AttemptOutcome::Served(self.progress.whole_end()));
        }
        if order == Ordering::Less && record.frame == BodyFrame::UntilClose {
            // The shorter one may be the one that was closed too early.
            return Err(self.interrupted(RefusalReason::TargetClosed, AttemptCause::EndUnproven));
        }
        self.settled = None;
        self.log_end_statement(EndStatement::Continued);
        Ok(record.answer)
    }

    /// Sends a record that was held until another target had answered.
    pub(in crate::request) fn send_held_record(&mut self, record: HeldRecord) {
        self.buffered = record.hold;
        self.record_answer_begin();
        self.answer.send_head(record.answer);
    }

    fn may_repeat_record(&self) -> bool {
        self.protocol().may_repeat(&self.request)
    }

    /// Returns for how long a second target may take for a record whose first run ended like this; `None` where too little
    /// time remains for another run.
    fn second_run_limit(&self, first: AttemptEnd) -> Option<Duration> {
        let AttemptEnd::Whole(took) = first else { return None };
        let available = self.request.time_left() / TIME_LEFT_DIVISOR;
        let wanted = self.part_limit().max(took * RUN_FACTOR);
        (took <= available).then(|| wanted.min(available))
    }
}

impl HeldRecord {
    /// Returns the length of the body in bytes.
    pub fn length(&self) -> usize {
        self.length
    }
}
