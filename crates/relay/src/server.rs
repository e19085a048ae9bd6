//! The end of a relayed connection at the peer that makes it.
//!
//! Owns: the connection to the target until either side ends. Relies on: its caller for the decision whether to connect.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, FramedRead, FramedWrite};

use futures_util::{SinkExt, StreamExt};

use crate::error::{Error, Result};
use crate::message::{
    FrameCodec, RelayPart, RelayRefusal, RelayReply, RelayRequest, PART_SIZE, WINDOW_SIZE,
};

/// How a relayed connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The asking daemon closed its connection.
    ClosedByDaemon,
    /// The target closed its connection.
    ClosedByTarget,
    /// The connection to the target broke.
    TargetBroken,
    /// The daemon or the target has not read what was sent to it.
    Stalled,
}

impl RelayEnd {
    /// Returns the code for log lines.
    pub fn code(self) -> &'static str {
        match self {
            RelayEnd::ClosedByDaemon => "closed_by_daemon",
            RelayEnd::ClosedByTarget => "closed_by_target",
            RelayEnd::TargetBroken => "target_broken",
            RelayEnd::Stalled => "stalled",
        }
    }
}

/// A daemon that has asked for a connection and waits for the answer.
#[derive(Debug)]
pub struct IncomingRelay {
    frames: Framed<TcpStream, FrameCodec>,
    /// What the daemon asks for.
    pub request: RelayRequest,
}

/// Reads what a daemon asks for on a connection that it has opened.
///
/// # Errors
/// Returns an error where the connection closes first or the request cannot be decoded.
pub async fn accept_relay(stream: TcpStream) -> Result<IncomingRelay> {
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, FrameCodec::default());
    let frame = frames.next().await.ok_or(Error::Closed)??;
    let request = postcard::from_bytes(&frame)?;
    Ok(IncomingRelay { frames, request })
}

impl IncomingRelay {
    /// Refuses the connection.
    ///
    /// # Errors
    /// Returns an error where the daemon is no longer connected.
    pub async fn refuse(mut self, refusal: RelayRefusal) -> Result<()> {
        self.reply(RelayReply::Refused(refusal)).await
    }

    /// Carries bytes between the daemon and a target that has accepted a connection, until either side ends or does not
    /// read a part for `stall_limit`.
    ///
    /// # Errors
    /// Returns an error where the daemon has closed its connection before the reply, or a socket option cannot be set.
    pub async fn carry(mut self, target: TcpStream, stall_limit: Duration) -> Result<RelayEnd> {
        for stream in [self.frames.get_ref(), &target] {
            limit_buffers(stream)?;
        }
        self.reply(RelayReply::Connected).await?;
        let (target_read, target_write) = target.into_split();
        let FramedParts { io, read_buf, .. } = self.frames.into_parts();
        let (daemon_read, daemon_write) = io.into_split();
        let mut from_daemon = FramedRead::new(daemon_read, FrameCodec::default());
        from_daemon.read_buffer_mut().unsplit(read_buf);
        let to_daemon = FramedWrite::new(daemon_write, FrameCodec::default());
        let write_failed = Cell::new(false);
        // Both connections are closed when either direction has ended: the daemon closes only to abandon the exchange.
        Ok(tokio::select! {
            end = carry_request(from_daemon, target_write, &write_failed, stall_limit) => end,
            end = carry_answer(target_read, to_daemon, &write_failed, stall_limit) => end,
        })
    }

    async fn reply(&mut self, reply: RelayReply) -> Result<()> {
        let frame = postcard::to_stdvec(&reply)?;
        Ok(self.frames.send(frame.into()).await?)
    }
}

/// Limits what the kernel holds for a connection whose other end does not read.
fn limit_buffers(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_send_buffer_size(WINDOW_SIZE)?;
    socket.set_recv_buffer_size(WINDOW_SIZE)
}

/// Carries bytes from the daemon to the target until the daemon closes its connection.
async fn carry_request(
    mut from_daemon: FramedRead<OwnedReadHalf, FrameCodec>,
    mut to_target: OwnedWriteHalf,
    write_failed: &Cell<bool>,
    stall_limit: Duration,
) -> RelayEnd {
    while let Some(Ok(frame)) = from_daemon.next().await {
        let Some(RelayPart::Data(bytes)) = RelayPart::decode(frame) else {
            return RelayEnd::ClosedByDaemon;
        };
        match written(to_target.write_all(&bytes), stall_limit).await {
            WriteOutcome::Written => {}
            // While it waits for the target, a daemon that has left is not noticed.
            WriteOutcome::Stalled => return RelayEnd::Stalled,
            WriteOutcome::Failed => {
                // The target may have answered before it stopped reading; the other direction reports how it ended.
                write_failed.set(true);
                return std::future::pending().await;
            }
        }
    }
    RelayEnd::ClosedByDaemon
}

/// Carries bytes from the target to the daemon until the target's connection ends, and reports how it ended. A reset is
/// reported by the system once: where a write has failed, reading ends as after an orderly close.
async fn carry_answer(
    mut from_target: OwnedReadHalf,
    mut to_daemon: FramedWrite<OwnedWriteHalf, FrameCodec>,
    write_failed: &Cell<bool>,
    stall_limit: Duration,
) -> RelayEnd {
    let mut buffer = vec![0u8; PART_SIZE];
    let end = loop {
        match from_target.read(&mut buffer).await {
            Ok(0) if write_failed.get() => break RelayEnd::TargetBroken,
            Ok(0) => break RelayEnd::ClosedByTarget,
            Ok(length) => {
                let frame = RelayPart::encode_data(&buffer[..length]);
                match written(to_daemon.send(frame), stall_limit).await {
                    WriteOutcome::Written => {}
                    WriteOutcome::Stalled => return RelayEnd::Stalled,
                    WriteOutcome::Failed => return RelayEnd::ClosedByDaemon,
                }
            }
            Err(_) => break RelayEnd::TargetBroken,
        }
    };
    let last = RelayPart::encode_end(end == RelayEnd::TargetBroken);
    match written(to_daemon.send(last), stall_limit).await {
        WriteOutcome::Written => end,
        WriteOutcome::Stalled => RelayEnd::Stalled,
        WriteOutcome::Failed => RelayEnd::ClosedByDaemon,
    }
}

/// How the write of a part ended.
enum WriteOutcome {
    Written,
    Failed,
    Stalled,
}

/// Waits for the write of a part, at most for `stall_limit`.
async fn written(
    write: impl Future<Output = std::io::Result<()>>,
    stall_limit: Duration,
) -> WriteOutcome {
    match tokio::time::timeout(stall_limit, write).await {
        Ok(Ok(())) => WriteOutcome::Written,
        Ok(Err(_)) => WriteOutcome::Failed,
        Err(_) => WriteOutcome::Stalled,
    }
}
