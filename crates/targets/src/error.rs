//! Errors of an exchange with a target, which distinguish whether the request may have been written.

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
    /// The body of the request failed while it was sent.
    #[error("targets: request body: {0}")]
    Upload(String),
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;
