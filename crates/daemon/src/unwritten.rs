//! Counts connections of callers with bytes that the kernel does not accept yet.
//!
//! For the node, a request has ended once the last part of its answer is passed to the caller's connection. A caller
//! that reads slowly receives the end of the answer later; if the process exits before that, the answer is cut off.
//!
//! Owns: the count of such connections. Relies on: writers that retry a write that was pending.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of connections that have bytes to write.
#[derive(Clone, Default)]
pub struct UnwrittenCount(Rc<Cell<usize>>);

impl UnwrittenCount {
    /// Returns the number of connections that have bytes to write.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Returns whether no connection has bytes to write.
    pub fn is_zero(&self) -> bool {
        self.get() == 0
    }
}

/// A connection that is counted in an [`UnwrittenCount`] while it has bytes to write.
pub struct CountedStream {
    stream: TcpStream,
    count: UnwrittenCount,
    counted: bool,
}

impl CountedStream {
    /// Wraps a connection so that it is counted in `count`.
    pub fn new(stream: TcpStream, count: UnwrittenCount) -> CountedStream {
        CountedStream { stream, count, counted: false }
    }

    fn set_unwritten(&mut self, unwritten: bool) {
        let count = &self.count.0;
        match (self.counted, unwritten) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get() - 1),
            _ => {}
        }
        self.counted = unwritten;
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.set_unwritten(false);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.set_unwritten(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ActixStream for CountedStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
