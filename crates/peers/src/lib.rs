//! Frames between daemons over nng: one subscriber to receive, one publisher for each peer.
//!
//! Sending never waits: a frame that finds a full or missing connection is dropped and counted,
//! since every message is safe to lose. The shape of frames is that of `curlewcleat-core`, encoded
//! by postcard with a leading version byte.

mod codec;
mod hearing;
mod owed;
mod transport;

pub use codec::{decode_frame, encode_frame, Error, Result, FRAME_LIMIT};
pub use hearing::PeerHearing;
pub use owed::OwedAnswers;
pub use transport::{NngTransport, PeerTransport, TransportCounts};
