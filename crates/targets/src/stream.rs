//! The byte stream to a target, direct or through a peer.
//!
//! Owns: the choice between both. Relies on: nothing.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A byte stream that ends without an error only if the target has closed its connection.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> ByteStream for S {}

/// An established connection to a target.
pub enum TargetStream {
    /// This daemon's own connection to the target.
    Direct(TcpStream),
    /// A connection through a peer. It carries one exchange.
    Relayed(Box<dyn ByteStream>),
}

impl TargetStream {
    /// Returns whether the connection goes through a peer.
    pub fn is_relayed(&self) -> bool {
        matches!(self, TargetStream::Relayed(_))
    }

    fn as_stream(self: Pin<&mut Self>) -> Pin<&mut dyn ByteStream> {
        match self.get_mut() {
            TargetStream::Direct(stream) => Pin::new(stream),
            TargetStream::Relayed(stream) => Pin::new(stream),
        }
    }
}

impl fmt::Debug for TargetStream {
    fn fmt(&self, form: &mut fmt::Formatter<'_>) -> fmt::Result {
        form.write_str(if self.is_relayed() { "Relayed" } else { "Direct" })
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.as_stream().poll_read(context, buffer)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.as_stream().poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.as_stream().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.as_stream().poll_shutdown(context)
    }
}
