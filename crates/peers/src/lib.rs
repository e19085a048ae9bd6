//! Sends and receives frames between daemons over nng: one subscriber socket to receive, one publisher socket per peer.
//!
//! Sending never blocks: a frame for a full or missing connection is dropped and counted, because every message may be
//! lost without harm. Frames are defined by `curlewcleat-core` and encoded by postcard after a version byte.

mod activity;
mod codec;
mod pending;
mod receiver;
mod transport;
mod waiting;

pub use activity::PeerActivity;
pub use codec::{decode_frame, encode_frame, Error, Result, FRAME_LIMIT};
pub use pending::PendingAnswers;
pub use transport::{NngTransport, PeerTransport, TransportCounts};
pub use waiting::{FrameRefused, ReceivedFrame, WaitingFrames};
