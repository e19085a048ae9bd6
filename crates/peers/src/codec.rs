//! Bytes of a peer frame.

use curlewcleat_core::PeerFrame;

/// Version of the frame format; the first byte of each frame: the first format.
const FORMAT: u8 = 1;
/// Longest frame in bytes: bounds what a peer can make this daemon hold.
pub const FRAME_LIMIT: usize = 16 << 20;

/// Why bytes are not a frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame is empty or of another format.
    #[error("peers: unknown frame format")]
    Format,
    /// The frame is too long.
    #[error("peers: frame of {0} bytes is too long")]
    TooLong(usize),
    /// Bytes follow the frame.
    #[error("peers: {0} bytes follow the frame")]
    Surplus(usize),
    /// The frame cannot be encoded.
    #[error("peers: frame cannot be encoded: {0}")]
    Encode(postcard::Error),
    /// The frame does not decode.
    #[error("peers: frame does not decode: {0}")]
    Decode(postcard::Error),
}

/// Result of coding.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a frame.
///
/// # Errors
/// Where it cannot be encoded; nothing may be sent in its place.
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>> {
    postcard::to_extend(frame, vec![FORMAT]).map_err(Error::Encode)
}

/// Decodes a frame.
///
/// # Errors
/// Whatever keeps the bytes from being a frame.
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
