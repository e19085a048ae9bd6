//! Messages and frames of a relayed connection.
//!
//! The codec (postcard) is positional: the order of fields and variants may not change.
//!
//! Owns: their format. Relies on: the length-delimited codec of tokio-util.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use curlewcleat_core::{DaemonId, PoolId, RequestId, TargetEntry};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Longest frame in bytes; limits the memory that the other daemon can make this one allocate.
const FRAME_LIMIT: usize = 64 << 10;
/// Most bytes that one frame carries, and the size of a read from the target.
pub(crate) const PART_SIZE: usize = 8 << 10;
/// Size of the kernel's buffers in bytes for what one side has not read yet. Without it they grow to several megabytes,
/// and a reader shows progress only after it has read a large part of them.
pub(crate) const WINDOW_SIZE: usize = 256 << 10;

/// First byte of a frame that carries bytes.
const DATA: u8 = 0;
/// First byte of the frame after the last bytes of a target that has closed its connection.
const END: u8 = 1;
/// First byte of the frame that reports a broken connection to the target.
const BROKEN: u8 = 2;

/// Asks a peer for a connection to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The daemon that asks.
    pub from: DaemonId,
    /// The request for which the connection is used, for the logs of both daemons; `None` for a connection that is not
    /// made for a request.
    pub request: Option<RequestId>,
    /// Pool of the target.
    pub pool: PoolId,
    /// The target as the asking daemon knows it.
    pub target: TargetEntry,
    /// Time after which the asking daemon no longer waits for the connection.
    pub time_limit: Duration,
}

/// Answer of a peer that was asked for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The target has accepted the connection.
    Connected,
    /// The peer makes no connection.
    Refused(RelayRefusal),
}

/// Why a peer makes no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRefusal {
    /// The asking daemon is not a known peer at the address from which it asks.
    UnknownPeer,
    /// The peer relays as many connections as it may.
    Full,
    /// The peer is stopping.
    Draining,
    /// The peer does not know this target at this address.
    UnknownTarget,
    /// The target accepts no requests: it is leaving, resting, or its data centre is evacuated.
    TargetStopped,
    /// The peer has lost its own link to the target.
    LinkLost,
    /// The target has not accepted the connection, although the peer reaches others.
    TargetUnreachable,
}

impl RelayRefusal {
    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            RelayRefusal::UnknownPeer => "unknown_peer",
            RelayRefusal::Full => "full",
            RelayRefusal::Draining => "draining",
            RelayRefusal::UnknownTarget => "unknown_target",
            RelayRefusal::TargetStopped => "target_stopped",
            RelayRefusal::LinkLost => "link_lost",
            RelayRefusal::TargetUnreachable => "target_unreachable",
        }
    }

    /// Returns whether the refusal is a finding about the target itself, not about the peer.
    pub fn is_about_target(self) -> bool {
        matches!(self, RelayRefusal::TargetUnreachable | RelayRefusal::TargetStopped)
    }
}

/// A frame after the connection is established.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RelayPart {
    /// Bytes.
    Data(Bytes),
    /// The target has closed its connection after its last byte.
    End,
    /// The connection to the target broke.
    Broken,
}

impl RelayPart {
    /// Encodes a part that carries these bytes.
    pub fn encode_data(bytes: &[u8]) -> Bytes {
        let mut frame = BytesMut::with_capacity(bytes.len() + 1);
        frame.put_u8(DATA);
        frame.put_slice(bytes);
        frame.freeze()
    }

    /// Encodes the part after which nothing follows.
    pub fn encode_end(is_broken: bool) -> Bytes {
        match is_broken {
            true => Bytes::from_static(&[BROKEN]),
            false => Bytes::from_static(&[END]),
        }
    }

    /// Decodes a frame; `None` if it is none of these parts.
    pub fn decode(frame: BytesMut) -> Option<RelayPart> {
        let mut frame = frame.freeze();
        match *frame.first()? {
            DATA => Some(RelayPart::Data(frame.split_off(1))),
            END => Some(RelayPart::End),
            BROKEN => Some(RelayPart::Broken),
            _ => None,
        }
    }
}

/// Codec of both directions: frames with their length before them.
#[derive(Debug)]
pub(crate) struct FrameCodec(LengthDelimitedCodec);

impl Default for FrameCodec {
    fn default() -> FrameCodec {
        FrameCodec(LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec())
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        self.0.encode(frame, buffer)
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        self.0.decode(buffer)
    }
}

#[cfg(test)]
mod tests;
