//! Reads a whole answer of bounded size.
//!
//! Owns: the bytes read so far. Relies on: a body that ends without an error only where it is complete.

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

use crate::answer::TruncatedBody;

/// Why an answer could not be read completely.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CollectError {
    /// The answer was truncated.
    #[error(transparent)]
    Truncated(#[from] TruncatedBody),
    /// The answer has more bytes than the limit.
    #[error("targets: the answer has more than {0} bytes")]
    TooLong(usize),
}

/// Reads a complete answer of at most `limit` bytes.
///
/// # Errors
/// Returns an error if the answer is truncated or too long.
pub async fn collect(
    mut parts: impl Stream<Item = std::result::Result<Bytes, TruncatedBody>> + Unpin,
    limit: usize,
) -> std::result::Result<Bytes, CollectError> {
    let mut bytes = BytesMut::new();
    while let Some(part) = parts.next().await {
        bytes.extend_from_slice(&part?);
        if bytes.len() > limit {
            return Err(CollectError::TooLong(limit));
        }
    }
    Ok(bytes.freeze())
}
