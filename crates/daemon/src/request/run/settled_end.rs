//! Serves an answer up to an end that another target was asked to confirm, and did not contradict.
//!
//! Owns: the end, while the other target is asked. Relies on: the framing for the events that the other target adds.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{AttemptEnd, TargetEntry, Verdict};
use curlewcleat_targets::BodyFrame;

use super::{AttemptOutcome, RequestRun};
use crate::request::relay::HeldRecord;

/// Longest time for which the head of the other target's answer is waited for.
pub const CONFIRMATION_LIMIT: Duration = Duration::from_secs(1);
/// Part of the time for which a caller waits that is left for the end of the answer to reach them.
const CALLER_MARGIN_DIVISOR: u32 = 8;

/// The end of an answer whose target lives. The answer may end there unless another target continues it.
pub struct SettledEnd {
    answer: SettledAnswer,
    target: TargetEntry,
    until: Moment,
    /// Until when the caller waits for the rest of the answer.
    caller_until: Moment,
}

/// What the caller has, or gets, of an answer with a settled end.
enum SettledAnswer {
    /// A stream up to this event.
    Stream(Option<u64>),
    /// This record.
    Record(HeldRecord),
}

/// What another target is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedEnd {
    /// Whether a stream ends at this event.
    Event(u64),
    /// Whether it has a longer record.
    Record,
}

impl SettledEnd {
    /// Creates the end of a target's stream after this event, whose caller waits for `caller_wait`.
    pub fn new(last_event: Option<u64>, target: &TargetEntry, caller_wait: Duration) -> SettledEnd {
        let now = Moment::now();
        let (until, caller_until) = (now + CONFIRMATION_LIMIT, now + caller_wait);
        let answer = SettledAnswer::Stream(last_event);
        SettledEnd { answer, target: target.clone(), until, caller_until }
    }

    /// Creates the end of a target's record, for which another target may take as long as `limit`.
    pub fn of_record(record: HeldRecord, target: &TargetEntry, limit: Duration) -> SettledEnd {
        let until = Moment::now() + limit;
        let answer = SettledAnswer::Record(record);
        SettledEnd { answer, target: target.clone(), until, caller_until: until }
    }

    /// Returns the length of the settled record in bytes, `None` for a stream.
    pub fn record_length(&self) -> Option<usize> {
        match &self.answer {
            SettledAnswer::Stream(_) => None,
            SettledAnswer::Record(record) => Some(record.length()),
        }
    }

    fn asked(&self) -> Option<AskedEnd> {
        match &self.answer {
            SettledAnswer::Stream(last_event) => last_event.map(AskedEnd::Event),
            SettledAnswer::Record(_) => Some(AskedEnd::Record),
        }
    }
}

/// What another target stated about a settled end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStatement {
    /// The stream ends there, or the record is as long.
    Agreed,
    /// The stream goes on, or the record is longer.
    Continued,
    /// Nothing: the target failed, did not answer in time, or its record is shorter.
    Missing,
    /// Nothing: no other target was granted, or no retry is to spare.
    Unasked,
}

impl EndStatement {
    /// All values.
    pub const ALL: [EndStatement; 4] = [
        EndStatement::Agreed,
        EndStatement::Continued,
        EndStatement::Missing,
        EndStatement::Unasked,
    ];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EndStatement::Agreed => "agreed",
            EndStatement::Continued => "continued",
            EndStatement::Missing => "missing",
            EndStatement::Unasked => "unasked",
        }
    }
}

impl AttemptOutcome {
    /// Returns whether the target has not answered.
    pub(super) fn is_failure(&self) -> bool {
        !matches!(self, AttemptOutcome::Served(_) | AttemptOutcome::CallerStalled)
    }
}

impl RequestRun {
    /// Returns the end that another target is asked about.
    pub(in crate::request) fn asked_end(&self) -> Option<AskedEnd> {
        self.settled.as_ref().and_then(SettledEnd::asked)
    }

    /// Returns the time for which the latest target may take, `None` where the end of the stream is not settled.
    pub(in crate::request) fn confirmation_limit(&self) -> Option<Duration> {
        self.settled.as_ref().map(|settled| settled.until.time_left())
    }

    /// Returns for how long the caller goes on waiting for the rest of its stream.
    pub(in crate::request) fn caller_wait(&self) -> Duration {
        let gap = self.protocol().limits(&self.request).caller_gap;
        let wait = |limit: Duration| limit - limit / CALLER_MARGIN_DIVISOR;
        let between_parts = wait(gap).saturating_sub(self.progress.caller_idle_time());
        between_parts.min(wait(self.request.time_left()))
    }

    /// Gives the other target, whose answer has begun, as long as the caller waits: it may have a prompt to read before it
    /// goes on with the stream or ends it.
    pub(in crate::request) fn extend_settled_end(&mut self) {
        if let Some(settled) = &mut self.settled {
            settled.until = settled.until.max(settled.caller_until);
        }
    }

    /// Forgets the settled end once the other target goes on with the stream, if only with a part of an event. The former
    /// target has broken off its answer then.
    pub(in crate::request) fn review_settled_end(&mut self) {
        if self.settled.is_some() && !self.framing.adds_nothing() {
            self.settled = None;
            let context = &self.service.context;
            context.breaks.record(context.uptime(), &self.request.pool.id);
            self.log_end_statement(EndStatement::Continued);
        }
    }

    /// Ends the request after another target has ended the answer at its settled end; returns whether it has one. What the
    /// other target answered shows nothing of its speed.
    pub(super) fn serve_confirmed(&mut self) -> bool {
        let Some(SettledEnd { answer, target, .. }) = self.settled.take() else { return false };
        self.log_end_statement(EndStatement::Agreed);
        if let SettledAnswer::Record(record) = answer {
            self.send_held_record(record);
            self.verdict = Verdict::Ran;
            self.progress.record_frame(BodyFrame::UntilClose);
        }
        self.log_served(&target);
        self.report_end(AttemptEnd::Unused);
        true
    }

    /// Ends the answer at the settled end that another target was `asked` to confirm, and has failed to; returns whether the
    /// answer ends there.
    pub(super) fn serve_settled(&mut self, asked: Option<AskedEnd>) -> bool {
        if asked.is_none() || asked != self.asked_end() {
            return false;
        }
        let Some(SettledEnd { answer, target, .. }) = self.settled.take() else { return false };
        self.log_end_statement(EndStatement::Missing);
        match answer {
            SettledAnswer::Stream(_) => self.answer.finish(),
            SettledAnswer::Record(record) => self.send_held_record(record),
        }
        self.verdict = Verdict::Ran;
        self.progress.record_frame(BodyFrame::UntilClose);
        self.log_served(&target);
        // The other target answered nothing that its caller needs.
        self.report_end(AttemptEnd::Unused);
        true
    }
}
