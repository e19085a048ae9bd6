//! Ends connections that send without end.
//!
//! The HTTP codec reads a chunked body to its end, also after its request was answered, and discards what does not count
//! as body: chunk extensions, zeros before a chunk size, trailers. No limit of a body notices these bytes, and reading
//! them takes the loop from all other connections.
//!
//! Rule: between two writes, a connection may send the largest body that any rule allows, in chunks of a byte, and
//! [`FREE_BYTES`] for heads and the rest of a refused body.
//!
//! Owns: the bytes read from each connection since its last write. Relies on: answers, which are written for each request.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use spdlog::prelude::*;

use crate::metrics::DaemonMetrics;

/// Bytes that a connection may send between two writes beside a body.
const FREE_BYTES: u64 = 8 << 20;
/// Bytes on the wire for each byte of a body in the smallest chunks, rounded up.
const CHUNK_FACTOR: u64 = 8;
/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The limit of the connections of one listener.
pub struct ReadLimit {
    name: &'static str,
    body_limit: Rc<dyn Fn() -> u64>,
    metrics: Arc<DaemonMetrics>,
    logged: Cell<Option<Moment>>,
}

impl ReadLimit {
    /// Creates the limit of a listener. `body_limit` returns the largest body in bytes that any request may have.
    pub fn new(
        name: &'static str,
        body_limit: Rc<dyn Fn() -> u64>,
        metrics: Arc<DaemonMetrics>,
    ) -> Rc<ReadLimit> {
        Rc::new(ReadLimit { name, body_limit, metrics, logged: Cell::default() })
    }

    /// Begins to count a connection.
    pub fn begin(self: &Rc<Self>, peer: SocketAddr) -> ReadCount {
        ReadCount { limit: Rc::clone(self), peer, read: 0 }
    }

    /// Counts a connection that is ended, and logs the first of a second.
    fn record_end(&self, peer: SocketAddr, bytes: u64) {
        self.metrics.load.count_endless(self.name);
        if self.logged.get().is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged.set(Some(Moment::now()));
        warn!("connection_endless", kv: { listener = self.name, peer = peer.to_string(), bytes });
    }
}

/// Counts what a connection has sent since the last write to it.
pub struct ReadCount {
    limit: Rc<ReadLimit>,
    peer: SocketAddr,
    read: u64,
}

impl ReadCount {
    /// Counts bytes that were read.
    ///
    /// # Errors
    /// Returns an error once the connection has to end.
    pub fn record_read(&mut self, bytes: usize) -> io::Result<()> {
        self.read += bytes as u64;
        if self.read <= FREE_BYTES
            || self.read <= FREE_BYTES + (self.limit.body_limit)().saturating_mul(CHUNK_FACTOR)
        {
            return Ok(());
        }
        self.limit.record_end(self.peer, self.read);
        Err(io::Error::new(io::ErrorKind::InvalidData, "the connection sends without end"))
    }

    /// Records that bytes were written.
    pub fn record_write(&mut self) {
        self.read = 0;
    }
}
