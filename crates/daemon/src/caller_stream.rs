//! The connection of a caller, with what the daemon does when it is written to and when it ends.
//!
//! Owns: the connection. Relies on: [`UnwrittenCount`] for a planned stop, [`ConnectionGuard`] for cut answers,
//! [`CallerReader`] for what a slow caller leaves unread.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::Extensions;
use actix_rt::net::{ActixStream, Ready};
use socket2::SockRef;
use spdlog::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::byte_budget::{CallerReader, SharedBudget};
use crate::connection_guard::ConnectionGuard;
use crate::listen::read_limit::ReadCount;
use crate::unwritten::UnwrittenCount;

/// Send buffer in bytes of a connection whose unread bytes are counted. Without it the kernel buffers up to megabytes of
/// each answer, which are memory of the VM and hide a slow caller. On a link of 10 Mbit/s it holds 50 ms.
const SEND_BUFFER: usize = 64 << 10;

/// The connection of a caller.
pub struct CallerStream {
    stream: TcpStream,
    /// `None` where the daemon has no memory limit.
    reader: Option<CallerReader>,
    /// `None` where what the caller sends is not limited.
    read: Option<ReadCount>,
    guard: ConnectionGuard,
    count: UnwrittenCount,
    counted: bool,
}

impl CallerStream {
    /// Wraps a connection, which is counted in `count` while it has bytes to write, and in `budget` if there is one.
    pub fn new(
        stream: TcpStream,
        count: UnwrittenCount,
        budget: Option<&SharedBudget>,
    ) -> CallerStream {
        let reader = budget.map(CallerReader::open);
        if reader.is_some() {
            if let Err(error) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER) {
                // The connection is served; the kernel may hold more of its answers.
                debug!("send_buffer_not_set", kv: { error = error.to_string() });
            }
        }
        let guard = ConnectionGuard::default();
        CallerStream { stream, reader, read: None, guard, count, counted: false }
    }

    /// Ends the connection where it sends more than its limit.
    pub fn with_read_limit(mut self, read: ReadCount) -> CallerStream {
        self.read = Some(read);
        self
    }

    /// Makes the guard and the reader of the connection available to its requests.
    pub fn share_guard(&self, data: &mut Extensions) {
        data.insert(self.guard.clone());
        if let Some(reader) = &self.reader {
            data.insert(reader.clone());
        }
    }

    /// Fails once the connection has to end. It ends with a reset, so that no caller takes the answer for complete, and
    /// the kernel discards what it has buffered.
    fn check_ended(&self) -> io::Result<()> {
        if !self.reader.as_ref().is_some_and(CallerReader::is_ended) {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        Err(io::Error::new(io::ErrorKind::TimedOut, "caller reads too slowly"))
    }

    /// Reports a write of `offered` bytes to the reader.
    fn record_write(
        &self,
        context: &Context<'_>,
        offered: usize,
        written: &Poll<io::Result<usize>>,
    ) {
        let Some(reader) = &self.reader else { return };
        let accepted = match written {
            Poll::Ready(Ok(accepted)) => *accepted,
            Poll::Pending => 0,
            // The connection closes, which releases what is counted.
            Poll::Ready(Err(_)) => return,
        };
        reader.record_write(accepted as u64, (offered - accepted) as u64, context.waker());
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
        if let Some(reader) = self.reader.take() {
            reader.close();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Some(read) = &mut self.read {
            read.record_read(buffer.filled().len() - before)?;
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_ended()?;
        self.guard.before_write(&self.stream)?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, bytes.len(), &written);
        if let (Some(read), Poll::Ready(Ok(1..))) = (&mut self.read, &written) {
            read.record_write();
        }
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
