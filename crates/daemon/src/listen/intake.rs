//! Accepts connections and hands them over one for each turn of the daemon's loop.
//!
//! Owns: a listener and its connections until they are read. Relies on: [`AcceptQueue`] for the order, a runtime that
//! wakes a task that yields only after the others that were ready.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use futures_util::FutureExt;
use socket2::SockRef;
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use super::accept_queue::AcceptQueue;
use super::ListenOptions;

/// Pause before the next accept after a failed one (for example if no file descriptor is free), and between two checks
/// of the connection limit.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Shortest time between two log lines about connections that were closed unread.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A connection and the address of its caller.
type AcceptedConnection = (TcpStream, SocketAddr);

/// Connections of a listener.
pub struct ConnectionIntake {
    name: &'static str,
    listener: TcpListener,
    options: ListenOptions,
    queue: AcceptQueue<AcceptedConnection>,
    open_count: Rc<Cell<usize>>,
    /// Connections closed unread since the last log line.
    closed_unread: usize,
    /// When the last log line was written; `None` before the first.
    logged_at: Option<Moment>,
}

impl ConnectionIntake {
    /// Creates the intake of a listener.
    pub fn new(
        name: &'static str,
        listener: TcpListener,
        options: ListenOptions,
    ) -> ConnectionIntake {
        ConnectionIntake {
            name,
            listener,
            options,
            queue: AcceptQueue::default(),
            open_count: Rc::default(),
            closed_unread: 0,
            logged_at: None,
        }
    }

    /// Returns the count of the connections that are open, for the caller to keep.
    pub fn open_count(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.open_count)
    }

    /// Waits for the connection that is to be read next.
    pub async fn next(&mut self) -> AcceptedConnection {
        loop {
            // What was read before goes first.
            tokio::task::yield_now().await;
            if self.queue.is_empty() && self.has_room() {
                let accepted = self.listener.accept().await;
                self.take_accepted(accepted).await;
            }
            self.take_arrived().await;
            // Without a limit all connections are read, in order.
            let (now, limit) =
                (Moment::now(), (self.options.unread_limit)().unwrap_or(Duration::MAX));
            let has_open_room = self.open_count.get() < self.options.connection_limit;
            let next = if has_open_room { self.queue.take_next(now, limit) } else { None };
            self.close_expired(now, limit);
            match next {
                Some(connection) => return connection,
                None if has_open_room => {}
                None => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn has_room(&self) -> bool {
        self.open_count.get() + self.queue.len() < self.options.connection_limit
    }

    /// Accepts the connections that have arrived.
    async fn take_arrived(&mut self) {
        while self.has_room() {
            let Some(accepted) = self.listener.accept().now_or_never() else { return };
            if !self.take_accepted(accepted).await {
                return;
            }
        }
    }

    /// Queues a connection; returns whether there is one. Logs the error otherwise, and pauses.
    async fn take_accepted(&mut self, accepted: std::io::Result<AcceptedConnection>) -> bool {
        match accepted {
            Ok((stream, peer)) => {
                // The connection is served even if the option cannot be set.
                let _ = stream.set_nodelay(true);
                self.queue.push(Moment::now(), (stream, peer));
                true
            }
            Err(error) => {
                warn!("accept_failed", kv: { listener = self.name, error = error.to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
                false
            }
        }
    }

    /// Closes the connections that cannot be read in time.
    fn close_expired(&mut self, now: Moment, limit: Duration) {
        while let Some((stream, _)) = self.queue.take_expired(now, limit) {
            // With a reset the caller knows at once that nothing was read; without one it does as soon as it writes.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            self.options.metrics.load.count_unread(self.name);
            self.closed_unread += 1;
        }
        self.log_closed_unread(now, limit);
    }

    fn log_closed_unread(&mut self, now: Moment, limit: Duration) {
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if self.closed_unread == 0 || !is_due {
            return;
        }
        warn!("connections_unread", kv: {
            listener = self.name, closed = self.closed_unread, limit_ms = limit.as_millis() as i64,
            unread = self.queue.len(), open = self.open_count.get()
        });
        self.closed_unread = 0;
        self.logged_at = Some(now);
    }
}
