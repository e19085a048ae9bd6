//! Errors of an exchange with a target, which distinguish whether the request may have been written.
//!
//! Owns: the codes in log lines and metrics, which are stable. Relies on: nothing.

/// Why an exchange failed before its answer began.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established; nothing was written.
    #[error("targets: connect: {0}")]
    Connect(String),
    /// The connection closed after part of the request may have been written.
    #[error("targets: connection closed during a request: {0}")]
    Closed(String),
    /// The answer is invalid, or its end cannot be determined.
    #[error("targets: unreadable answer: {0}")]
    Protocol(String),
    /// The head of the answer was ended because of its size.
    #[error(transparent)]
    Excess(#[from] AnswerExcess),
    /// The body of the request failed while it was sent.
    #[error("targets: request body: {0}")]
    Upload(String),
}

/// The part of an answer that had bytes which could not be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExcessForm {
    /// The head, or what precedes it.
    Head,
    /// The encoding of the body in chunks.
    Framing,
    /// An event that has not ended, or events that were seen before.
    Event,
    /// A body that is buffered until it is complete.
    Body,
}

impl ExcessForm {
    /// All forms in a fixed order.
    pub const ALL: [ExcessForm; 4] =
        [ExcessForm::Head, ExcessForm::Framing, ExcessForm::Event, ExcessForm::Body];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            ExcessForm::Head => "head",
            ExcessForm::Framing => "framing",
            ExcessForm::Event => "event",
            ExcessForm::Body => "body",
        }
    }
}

/// What an answer exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExcessLimit {
    /// The size limit of its form.
    Size,
    /// The share of its target, which has more undelivered bytes than any other.
    Share,
    /// The memory that other targets and callers leave for undelivered bytes.
    Memory,
}

impl ExcessLimit {
    /// Returns the code for log lines.
    pub fn code(self) -> &'static str {
        match self {
            ExcessLimit::Size => "size",
            ExcessLimit::Share => "share",
            ExcessLimit::Memory => "memory",
        }
    }
}

/// An answer that was ended because of bytes which could not be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("targets: {bytes} undelivered bytes in the {} of an answer exceed the {} limit", form.code(), limit.code())]
pub struct AnswerExcess {
    /// Where the bytes were.
    pub form: ExcessForm,
    /// Number of undelivered bytes.
    pub bytes: u64,
    /// What they exceeded.
    pub limit: ExcessLimit,
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;
