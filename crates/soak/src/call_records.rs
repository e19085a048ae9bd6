//! Requests of callers and what became of them.
//!
//! Owns: the records that a run is judged by. Relies on: callers that fill them in.

use std::time::Instant;

use crate::streams::TakenUp;

/// Kind of a request, by whether and how it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A request for a record that may run at most once.
    Once,
    /// The same, without an API key.
    Keyless,
    /// A request for a record that may be repeated.
    Repeatable,
    /// A request for a stream that another engine may resume.
    ResumableStream,
    /// A request for a stream that may not be resumed.
    PlainStream,
    /// A request for a long stream that another engine may resume.
    LongStream,
    /// A request for a stream of a few events that another engine may resume.
    ShortStream,
    /// A request for a long stream that may not be resumed.
    LongPlainStream,
}

impl CallKind {
    pub(crate) const ALL: [CallKind; 5] = [
        CallKind::Once,
        CallKind::Keyless,
        CallKind::Repeatable,
        CallKind::ResumableStream,
        CallKind::PlainStream,
    ];

    /// Those of runs with streams of several lengths.
    pub(crate) const MIXED: [CallKind; 6] = [
        CallKind::Once,
        CallKind::Keyless,
        CallKind::Repeatable,
        CallKind::LongStream,
        CallKind::ShortStream,
        CallKind::LongPlainStream,
    ];

    /// Returns the path of the request.
    pub fn path(self) -> &'static str {
        match self {
            CallKind::Once => "/once/1",
            CallKind::Keyless => "/once/open/1",
            CallKind::Repeatable => "/again/1",
            CallKind::ResumableStream => "/resumed/stream/1",
            CallKind::PlainStream => "/plain/stream/1",
            CallKind::LongStream => "/resumed/stream/events-76/1",
            CallKind::ShortStream => "/resumed/stream/events-5/1",
            CallKind::LongPlainStream => "/plain/stream/events-58/1",
        }
    }

    /// Returns the number of events of a whole stream, `None` where the path does not state it.
    pub fn events(self) -> Option<u64> {
        match self {
            CallKind::LongStream => Some(76),
            CallKind::ShortStream => Some(5),
            CallKind::LongPlainStream => Some(58),
            _ => None,
        }
    }

    /// Returns whether the answer is a stream that may be taken up.
    pub fn is_resumable(self) -> bool {
        self.is_stream() && self.is_repeatable()
    }

    /// Returns whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            CallKind::Repeatable
                | CallKind::ResumableStream
                | CallKind::LongStream
                | CallKind::ShortStream
        )
    }

    /// Returns whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        !matches!(self, CallKind::Once | CallKind::Keyless | CallKind::Repeatable)
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The connection failed; nothing was sent.
    Unsent,
    /// The connection closed, or the caller stopped waiting, before an answer began.
    NoAnswer(String),
    /// A complete or interrupted answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// The received part of the body.
        text: String,
        /// Whether the answer stated that it was complete.
        complete: bool,
        /// Engine that the seal header names.
        sealed_by: Option<String>,
        /// Attempt that the answer names.
        echoed_attempt: Option<String>,
    },
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id of the attempt.
    pub attempt: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// API key of the request, empty if it had none.
    pub key: &'static str,
    /// Index of the daemon.
    pub daemon: usize,
    /// When the request was sent.
    pub sent: Instant,
    /// When the outcome was known.
    pub ended: Instant,
    /// The outcome.
    pub outcome: CallOutcome,
    /// The stream that the request takes up, `None` where it begins one or has another answer.
    pub taken_up: Option<TakenUp>,
    /// When the time had passed that the caller stated.
    pub deadline: Instant,
}

impl CallRecord {
    /// Returns whether the request got a complete answer of an engine.
    pub(crate) fn is_served(&self) -> bool {
        matches!(&self.outcome, CallOutcome::Answer { status: 200, complete: true, .. })
    }
}
