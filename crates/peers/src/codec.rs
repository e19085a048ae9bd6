//! Encodes and decodes peer frames.

use curlewcleat_core::PeerFrame;

/// Version of the frame format, the first byte of each frame.
const FORMAT: u8 = 1;
/// Longest frame in bytes; limits the memory that a peer can make this daemon allocate.
pub const FRAME_LIMIT: usize = 16 << 20;

/// Why a frame cannot be encoded or decoded.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame is empty or has another format version.
    #[error("peers: unknown frame format")]
    Format,
    /// The frame is longer than [`FRAME_LIMIT`].
    #[error("peers: frame of {0} bytes is too long")]
    TooLong(usize),
    /// Bytes follow the frame.
    #[error("peers: {0} bytes follow the frame")]
    Surplus(usize),
    /// The frame cannot be encoded.
    #[error("peers: frame cannot be encoded: {0}")]
    Encode(postcard::Error),
    /// The frame cannot be decoded.
    #[error("peers: frame does not decode: {0}")]
    Decode(postcard::Error),
}

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a frame.
///
/// # Errors
/// Returns [`Error::Encode`] where postcard cannot encode the frame. No other bytes may be sent in its place.
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>> {
    postcard::to_extend(frame, vec![FORMAT]).map_err(Error::Encode)
}

/// Decodes a frame.
///
/// # Errors
/// Returns an error where the bytes are too long, have another format version, cannot be decoded, or are longer than
/// the frame.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame> {
    if bytes.len() > FRAME_LIMIT {
        return Err(Error::TooLong(bytes.len()));
    }
    match bytes.split_first() {
        Some((&FORMAT, rest)) => match postcard::take_from_bytes(rest) {
            Ok((frame, [])) => Ok(frame),
            Ok((_, surplus)) => Err(Error::Surplus(surplus.len())),
            Err(error) => Err(Error::Decode(error)),
        },
        _ => Err(Error::Format),
    }
}
