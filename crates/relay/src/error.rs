//! Errors of a relayed connection before it is established.

use crate::message::RelayRefusal;

/// Why a peer has not established a connection. Nothing was written to the target.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer has refused.
    #[error("relay: refused: {}", .0.code())]
    Refused(RelayRefusal),
    /// The connection to the peer failed.
    #[error("relay: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed its connection without an answer.
    #[error("relay: closed before the answer")]
    Closed,
    /// A frame cannot be encoded or decoded.
    #[error("relay: frame: {0}")]
    Frame(#[from] postcard::Error),
}

/// Result of establishing a relayed connection.
pub type Result<T> = std::result::Result<T, Error>;
