//! Connections of callers that have bytes to write which the kernel does not take yet.
//!
//! A request has ended for the node once the last part of its answer is handed to the caller's connection. A caller
//! that reads slowly has the end of it only later: a process that ends before cuts the answer.
//!
//! Owns: the count of such connections. Relies on: writers that try again whatever was not taken.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts connections that have bytes to write.
#[derive(Clone, Default)]
pub struct UnwrittenCount(Rc<Cell<usize>>);

impl UnwrittenCount {
    /// Connections that have bytes to write.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Whether every connection has written all it has.
    pub fn is_zero(&self) -> bool {
        self.get() == 0
    }
}

/// A connection that is counted while it has bytes to write.
pub struct CountedStream {
    stream: TcpStream,
    count: UnwrittenCount,
    counted: bool,
}

impl CountedStream {
    /// A connection that is counted in `count`.
    pub fn new(stream: TcpStream, count: UnwrittenCount) -> CountedStream {
        CountedStream { stream, count, counted: false }
    }

    fn note(&mut self, unwritten: bool) {
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
        self.note(false);
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
        self.note(written.is_pending());
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
