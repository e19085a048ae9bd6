//! Serves a stream up to an end that another target was asked to confirm, and did not contradict.
//!
//! Owns: the end, while the other target is asked. Relies on: the framing for the events that the other target adds.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{AttemptEnd, TargetEntry, Verdict};
use curlewcleat_targets::BodyFrame;

use super::{AttemptOutcome, RequestRun};

/// Longest time for which the other target is asked. Callers give a stream up two seconds after its latest event.
const CONFIRMATION_LIMIT: Duration = Duration::from_secs(1);

/// The end of a stream whose target lives. The answer may end there unless another target continues it.
pub struct SettledEnd {
    last_event: Option<u64>,
    target: TargetEntry,
    until: Moment,
}

impl SettledEnd {
    /// Creates the end of a target's answer after this event.
    pub fn new(last_event: Option<u64>, target: &TargetEntry) -> SettledEnd {
        let until = Moment::now() + CONFIRMATION_LIMIT;
        SettledEnd { last_event, target: target.clone(), until }
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
}

impl EndStatement {
    /// All values.
    pub const ALL: [EndStatement; 3] =
        [EndStatement::Agreed, EndStatement::Continued, EndStatement::Missing];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EndStatement::Agreed => "agreed",
            EndStatement::Continued => "continued",
            EndStatement::Missing => "missing",
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
    /// Returns the settled end of the stream, unless another target has continued it.
    fn settled_end(&self) -> Option<&SettledEnd> {
        self.settled.as_ref().filter(|settled| settled.last_event == self.framing.last_event())
    }

    /// Returns the event behind which another target is asked whether the stream ends.
    pub(super) fn asked_end(&self) -> Option<u64> {
        self.settled_end().and_then(|settled| settled.last_event)
    }

    /// Returns the time for which the latest target may take, `None` where the end of the stream is not settled.
    pub(super) fn confirmation_limit(&self) -> Option<Duration> {
        self.settled_end().map(|settled| settled.until.time_left())
    }

    /// Logs what another target stated about the end of the stream.
    pub(super) fn report_end_statement(&self) {
        if self.settled.is_some() {
            let has_agreed = self.settled_end().is_some();
            let statement = if has_agreed { EndStatement::Agreed } else { EndStatement::Continued };
            self.log_end_statement(statement);
        }
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
