//! The end of a relayed connection at the daemon that uses it.
//!
//! Owns: the connection to the peer. Relies on: the peer, which reports how the connection to the target ended.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::Framed;

use crate::error::{Error, Result};
use crate::message::{FrameCodec, RelayPart, RelayReply, RelayRequest, PART_SIZE, WINDOW_SIZE};

type PeerFrames = Framed<TcpStream, FrameCodec>;

/// Asks the peer at an address for a connection to a target. `source` is the IP number on which this daemon listens for
/// peers, since a peer checks from where it is asked.
///
/// # Errors
/// Returns an error where the peer cannot be reached or refuses. Nothing was written to the target.
pub async fn connect_through_peer(
    peer: SocketAddr,
    source: IpAddr,
    request: &RelayRequest,
) -> Result<RelayedConnection> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_send_buffer_size(WINDOW_SIZE as u32)?;
    socket.set_recv_buffer_size(WINDOW_SIZE as u32)?;
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(peer).await?;
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, FrameCodec::default());
    frames.send(postcard::to_stdvec(request)?.into()).await?;
    let reply = frames.next().await.ok_or(Error::Closed)??;
    match postcard::from_bytes(&reply)? {
        RelayReply::Connected => {
            Ok(RelayedConnection { frames, unread: Bytes::new(), ended: false })
        }
        RelayReply::Refused(refusal) => Err(Error::Refused(refusal)),
    }
}

/// A connection to a target through a peer. Its end is reported only if the target has closed its connection; if the
/// connection to the target or the one to the peer breaks, reading fails.
#[derive(Debug)]
pub struct RelayedConnection {
    frames: PeerFrames,
    /// Bytes of the latest frame that were not read yet.
    unread: Bytes,
    ended: bool,
}

impl RelayedConnection {
    /// Receives the next frame with bytes. Returns `false` at the end of the target's connection.
    fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.ended {
            return Poll::Ready(Ok(false));
        }
        let frame = match ready!(Pin::new(&mut self.frames).poll_next(context)) {
            Some(frame) => frame?,
            None => return Poll::Ready(Err(broken("the connection to the peer closed"))),
        };
        match RelayPart::decode(frame) {
            Some(RelayPart::Data(bytes)) => {
                self.unread = bytes;
                Poll::Ready(Ok(true))
            }
            Some(RelayPart::End) => {
                self.ended = true;
                Poll::Ready(Ok(false))
            }
            Some(RelayPart::Broken) => {
                Poll::Ready(Err(broken("the connection from the peer to the target broke")))
            }
            None => Poll::Ready(Err(broken("the peer sent an unknown frame"))),
        }
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, what)
}

impl AsyncRead for RelayedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            if !ready!(self.poll_frame(context))? {
                return Poll::Ready(Ok(()));
            }
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread.split_to(length));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(Pin::new(&mut self.frames).poll_ready(context))?;
        let part = &bytes[..bytes.len().min(PART_SIZE)];
        Pin::new(&mut self.frames).start_send(RelayPart::encode_data(part))?;
        Poll::Ready(Ok(part.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.frames).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.frames).poll_close(context)
    }
}
