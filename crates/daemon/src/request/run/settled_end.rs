//! Serves a stream up to an end that another target was asked to confirm, and did not contradict.
//!
//! Owns: the end, while the other target is asked. Relies on: the framing for the events that the other target adds.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{AttemptEnd, TargetEntry, Verdict};
use curlewcleat_targets::BodyFrame;

use super::{AttemptOutcome, RequestRun};

/// Longest time for which the head of the other target's answer is waited for.
pub const CONFIRMATION_LIMIT: Duration = Duration::from_secs(1);
/// Part of the time for which a caller waits that is left for the end of the answer to reach them.
const CALLER_MARGIN_DIVISOR: u32 = 8;

/// The end of a stream whose target lives. The answer may end there unless another target continues it.
pub struct SettledEnd {
    last_event: Option<u64>,
    target: TargetEntry,
    until: Moment,
    /// Until when the caller waits for the rest of the stream.
    caller_until: Moment,
}

impl SettledEnd {
    /// Creates the end of a target's answer after this event, whose caller waits for `caller_wait`.
    pub fn new(last_event: Option<u64>, target: &TargetEntry, caller_wait: Duration) -> SettledEnd {
        let now = Moment::now();
        let target = target.clone();
        let (until, caller_until) = (now + CONFIRMATION_LIMIT, now + caller_wait);
        SettledEnd { last_event, target, until, caller_until }
    }
}

/// What another target stated about a settled end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStatement {
    /// The stream ends there.
    Agreed,
    /// The stream goes on.
    Continued,
    /// Nothing: the target failed, or did not answer in time.
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
    /// Returns the event behind which another target is asked whether the stream ends.
    pub(in crate::request) fn asked_end(&self) -> Option<u64> {
        self.settled.as_ref().and_then(|settled| settled.last_event)
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

    /// Ends the request after another target has ended the stream at its settled end; returns whether it has one. What the
    /// other target answered shows nothing of its speed.
    pub(super) fn serve_confirmed(&mut self) -> bool {
        let Some(SettledEnd { target, .. }) = self.settled.take() else { return false };
        self.log_end_statement(EndStatement::Agreed);
        self.log_served(&target);
        self.report_end(AttemptEnd::Unused);
        true
    }

    /// Ends the answer at the settled end that another target was `asked` to confirm, and has failed to; returns whether the
    /// answer ends there.
    pub(super) fn serve_settled(&mut self, asked: Option<u64>) -> bool {
        if asked.is_none() || asked != self.asked_end() {
            return false;
        }
        let Some(SettledEnd { target, .. }) = self.settled.take() else { return false };
        self.log_end_statement(EndStatement::Missing);
        self.answer.finish();
        self.verdict = Verdict::Ran;
        self.progress.record_frame(BodyFrame::UntilClose);
        self.log_served(&target);
        // The other target answered nothing that its caller needs.
        self.report_end(AttemptEnd::Unused);
        true
    }
}
