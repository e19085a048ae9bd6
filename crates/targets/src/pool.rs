//! Idle connections by the life of their target.
//!
//! A connection reaches one life of a target. A later life at the same address, or another target there,
//! gets connections of its own: what an earlier connection says is nothing that the later life says, and
//! its end may not have been noticed yet.
//!
//! Owns: idle connections. Relies on: `answer` for giving back only sound ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{TargetEntry, TargetInstance};
use tokio::net::TcpStream;

use crate::error::{Error, Result};

/// Bounds of a connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Time after which an idle connection is closed.
    pub idle_limit: Duration,
    /// Idle connections kept for each life of a target; 0 never uses one twice.
    pub idle_count: usize,
    /// Time for which a connection rests before it is used again, so that unsolicited bytes
    /// have arrived and are noticed.
    pub rest: Duration,
}

impl Default for ConnectionOptions {
    fn default() -> ConnectionOptions {
        ConnectionOptions {
            idle_limit: Duration::from_secs(15),
            idle_count: 64,
            rest: Duration::from_millis(20),
        }
    }
}

/// What a connection leads to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionEnd {
    /// `ip:port`.
    pub address: String,
    /// The target there, `None` where only its address is known.
    instance: Option<TargetInstance>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Moment,
    limit: Duration,
}

impl IdleConnection {
    fn is_fresh(&self) -> bool {
        self.since.elapsed() < self.limit
    }
}

/// Connections of one thread to the targets of one pool.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    options: ConnectionOptions,
    idle: Rc<RefCell<BTreeMap<ConnectionEnd, Vec<IdleConnection>>>>,
}

/// A connection on which nothing is under way.
#[derive(Debug)]
pub struct PooledConnection {
    pub(crate) stream: TcpStream,
    pub(crate) end: ConnectionEnd,
    pub(crate) pool: ConnectionPool,
}

impl PooledConnection {
    /// Gives back a connection on which nothing was written.
    pub fn put_back(self) {
        let PooledConnection { stream, end, pool } = self;
        pool.put_idle(&end, stream, None);
    }
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(options: ConnectionOptions) -> ConnectionPool {
        ConnectionPool { options, idle: Rc::default() }
    }

    /// An idle connection to this life of the target that is still sound, or a new one. Nothing is written.
    ///
    /// # Errors
    /// [`Error::Connect`] where the target does not take the connection within `limit`.
    pub async fn connect_to(
        &self,
        target: &TargetEntry,
        limit: Duration,
    ) -> Result<PooledConnection> {
        let end =
            ConnectionEnd { address: target.address.clone(), instance: Some(target.instance()) };
        self.connect_end(end, limit).await
    }

    /// As [`connect_to`](ConnectionPool::connect_to), where only an address is known.
    ///
    /// # Errors
    /// [`Error::Connect`] where the connection is not taken within `limit`.
    pub async fn connect(&self, address: &str, limit: Duration) -> Result<PooledConnection> {
        let end = ConnectionEnd { address: address.to_string(), instance: None };
        self.connect_end(end, limit).await
    }

    async fn connect_end(&self, end: ConnectionEnd, limit: Duration) -> Result<PooledConnection> {
        let stream = match self.take_idle(&end) {
            Some(stream) => stream,
            None => connect(&end.address, limit).await?,
        };
        Ok(PooledConnection { stream, end, pool: self.clone() })
    }

    fn take_idle(&self, end: &ConnectionEnd) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(end)?;
        connections.retain(|connection| connection.is_fresh() && is_sound(&connection.stream));
        // The newest that has rested is the least likely to be closed by its target meanwhile.
        let rested = |connection: &IdleConnection| connection.since.elapsed() >= self.options.rest;
        let place = connections.iter().rposition(rested)?;
        Some(connections.remove(place).stream)
    }

    /// Closes the idle connections that were used last before then.
    pub(crate) fn discard_rested(&self, end: &ConnectionEnd, before: Moment) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(end) {
            connections.retain(|connection| connection.since >= before);
        }
    }

    /// Keeps a connection for a further request; `limit` is the time for which its target does.
    pub(crate) fn put_idle(&self, end: &ConnectionEnd, stream: TcpStream, limit: Option<Duration>) {
        if self.options.idle_count == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(IdleConnection::is_fresh);
            !connections.is_empty()
        });
        let connections = idle.entry(end.clone()).or_default();
        // The oldest connections are the least likely to be sound.
        if connections.len() >= self.options.idle_count {
            connections.remove(0);
        }
        let limit = limit.unwrap_or(self.options.idle_limit).min(self.options.idle_limit);
        connections.push(IdleConnection { stream, since: Moment::now(), limit });
    }
}

async fn connect(address: &str, limit: Duration) -> Result<TcpStream> {
    let stream = match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(|error| Error::Connect(error.to_string()))?,
        Err(_) => return Err(Error::Connect(format!("no connection within {limit:?}"))),
    };
    stream.set_nodelay(true).map_err(|error| Error::Connect(error.to_string()))?;
    Ok(stream)
}

/// A sound idle connection has nothing to read: neither its end nor unsolicited bytes.
fn is_sound(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
