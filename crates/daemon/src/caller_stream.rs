//! The connection of a caller, with what the daemon does when it is written to and when it ends.
//!
//! Owns: the connection. Relies on: [`UnwrittenCount`] for a planned stop, [`ConnectionGuard`] for cut answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::Extensions;
use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection_guard::ConnectionGuard;
use crate::unwritten::UnwrittenCount;

/// The connection of a caller.
pub struct CallerStream {
    stream: TcpStream,
    guard: ConnectionGuard,
    count: UnwrittenCount,
    counted: bool,
}

impl CallerStream {
    /// Wraps a connection, which is counted in `count` while it has bytes to write.
    pub fn new(stream: TcpStream, count: UnwrittenCount) -> CallerStream {
        CallerStream { stream, guard: ConnectionGuard::default(), count, counted: false }
    }

    /// Makes the guard of the connection available to its requests.
    pub fn share_guard(&self, data: &mut Extensions) {
        data.insert(self.guard.clone());
    }

    fn set_unwritten(&mut self, unwritten: bool) {
        match (self.counted, unwritten) {
            (false, true) => self.count.increment(),
            (true, false) => self.count.decrement(),
            _ => {}
        }
        self.counted = unwritten;
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.set_unwritten(false);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.guard.before_write(&self.stream)?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.set_unwritten(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.guard.before_shutdown(&self.stream)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ActixStream for CallerStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
