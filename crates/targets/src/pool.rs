//! Pools idle connections by target instance.
//!
//! Each connection belongs to one target instance. A later instance at the same address, or another target there, gets
//! separate connections: bytes on an earlier connection don't come from the later instance, and the close of that
//! connection may not have been noticed yet.
//!
//! Owns: idle connections. Relies on: `answer` for returning only reusable ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{RequestId, TargetEntry, TargetInstance};
use tokio::net::TcpStream;

use crate::error::Result;
use crate::intake::{AnswerIntake, IntakeHold};
use crate::links::{connect_directly, TargetLinks};
use crate::stream::TargetStream;

/// Limits of a connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Time after which an idle connection is closed.
    pub idle_limit: Duration,
    /// Maximum number of idle connections for each target instance; 0 disables reuse.
    pub max_idle_connections: usize,
    /// Minimum idle time before a connection is reused, so that unsolicited bytes have arrived and are detected.
    pub min_idle: Duration,
}

impl Default for ConnectionOptions {
    fn default() -> ConnectionOptions {
        ConnectionOptions {
            idle_limit: Duration::from_secs(15),
            max_idle_connections: 64,
            min_idle: Duration::from_millis(20),
        }
    }
}

/// The endpoint of a connection: an address and the target instance there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionEndpoint {
    /// `ip:port`.
    pub address: String,
    /// The target instance, or `None` if only its address is known.
    instance: Option<TargetInstance>,
}

impl ConnectionEndpoint {
    fn of(target: &TargetEntry) -> ConnectionEndpoint {
        let (address, instance) = (target.address.clone(), Some(target.instance()));
        ConnectionEndpoint { address, instance }
    }
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
#[derive(Clone, Default)]
pub struct ConnectionPool {
    options: ConnectionOptions,
    idle: Rc<RefCell<BTreeMap<ConnectionEndpoint, Vec<IdleConnection>>>>,
    /// How connections to targets are established; `None` for direct connections only.
    links: Option<Rc<dyn TargetLinks>>,
    /// Bounds the undelivered bytes of answers; `None` without a memory limit.
    intake: Option<Rc<dyn AnswerIntake>>,
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, form: &mut fmt::Formatter<'_>) -> fmt::Result {
        form.debug_struct("ConnectionPool").field("idle", &self.idle).finish_non_exhaustive()
    }
}

/// Where a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// It was opened for the request.
    Opened,
    /// It was idle.
    Reused,
    /// It was opened through a peer.
    Relayed,
}

impl ConnectionOrigin {
    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            ConnectionOrigin::Opened => "opened",
            ConnectionOrigin::Reused => "reused",
            ConnectionOrigin::Relayed => "relayed",
        }
    }
}

/// A connection without an exchange in progress.
#[derive(Debug)]
pub struct PooledConnection {
    pub(crate) stream: TargetStream,
    pub(crate) endpoint: ConnectionEndpoint,
    pub(crate) pool: ConnectionPool,
    /// Whether it was idle before.
    reused: bool,
}

impl PooledConnection {
    /// Returns where the connection comes from.
    pub fn origin(&self) -> ConnectionOrigin {
        match self.reused {
            true => ConnectionOrigin::Reused,
            false if self.stream.is_relayed() => ConnectionOrigin::Relayed,
            false => ConnectionOrigin::Opened,
        }
    }

    /// Returns an unused connection to its pool.
    pub fn put_back(self) {
        let PooledConnection { stream, endpoint, pool, .. } = self;
        pool.put_idle(&endpoint, stream, None);
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(options: ConnectionOptions) -> ConnectionPool {
        ConnectionPool { options, ..ConnectionPool::default() }
    }

    /// Returns the pool with connections to targets that are established by `links`.
    pub fn with_links(self, links: Rc<dyn TargetLinks>) -> ConnectionPool {
        ConnectionPool { links: Some(links), ..self }
    }

    /// Returns the pool with answers whose undelivered bytes are bounded by `intake`, if there is one.
    pub fn with_intake(self, intake: Option<Rc<dyn AnswerIntake>>) -> ConnectionPool {
        ConnectionPool { intake, ..self }
    }

    pub(crate) fn intake_hold(&self, endpoint: &ConnectionEndpoint) -> IntakeHold {
        IntakeHold::new(self.intake.clone(), &endpoint.address)
    }

    /// Returns a usable idle connection to this target instance, or opens a new one for the request. Nothing is written.
    ///
    /// # Errors
    /// Returns [`Error::Connect`](crate::Error::Connect) if the target does not accept the connection within `limit`.
    pub async fn connect_to(
        &self,
        target: &TargetEntry,
        limit: Duration,
        request: Option<RequestId>,
    ) -> Result<PooledConnection> {
        let endpoint = ConnectionEndpoint::of(target);
        let idle = self.take_idle(&endpoint);
        let reused = idle.is_some();
        let stream = match (idle, &self.links) {
            (Some(stream), _) => TargetStream::Direct(stream),
            (None, Some(links)) => links.connect(target, limit, request).await?,
            (None, None) => TargetStream::Direct(connect_directly(&target.address, limit).await?),
        };
        Ok(PooledConnection { stream, endpoint, pool: self.clone(), reused })
    }

    /// Same as [`connect_to`](ConnectionPool::connect_to), if only an address is known.
    ///
    /// # Errors
    /// Returns [`Error::Connect`](crate::Error::Connect) if the connection is not accepted within `limit`.
    pub async fn connect(&self, address: &str, limit: Duration) -> Result<PooledConnection> {
        let endpoint = ConnectionEndpoint { address: address.to_string(), instance: None };
        let idle = self.take_idle(&endpoint);
        let reused = idle.is_some();
        let stream = match idle {
            Some(stream) => stream,
            None => connect_directly(address, limit).await?,
        };
        let stream = TargetStream::Direct(stream);
        Ok(PooledConnection { stream, endpoint, pool: self.clone(), reused })
    }

    /// Returns the links that observe an exchange, if it is one with a target on a direct connection.
    pub(crate) fn observing_links(
        &self,
        endpoint: &ConnectionEndpoint,
        is_direct: bool,
    ) -> Option<Rc<dyn TargetLinks>> {
        let is_observed = is_direct && endpoint.instance.is_some();
        self.links.clone().filter(|_| is_observed)
    }

    fn take_idle(&self, endpoint: &ConnectionEndpoint) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let is_trusted = |connection: &IdleConnection| {
            let links = self.links.as_ref();
            links.is_none_or(|links| links.trusts_idle(&endpoint.address, connection.since))
        };
        connections.retain(|connection| {
            connection.is_fresh()
                && has_nothing_to_read(&connection.stream)
                && is_trusted(connection)
        });
        // Of the connections that were idle for the minimum time, the newest is the least likely to have been closed.
        let is_reusable =
            |connection: &IdleConnection| connection.since.elapsed() >= self.options.min_idle;
        let index = connections.iter().rposition(is_reusable)?;
        Some(connections.remove(index).stream)
    }

    /// Closes the connections to an endpoint that became idle before a moment.
    pub(crate) fn discard_idle_before(&self, endpoint: &ConnectionEndpoint, moment: Moment) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(endpoint) {
            connections.retain(|connection| connection.since >= moment);
        }
    }

    /// Stores an idle connection for reuse; `limit` is the idle time after which its target closes it.
    pub(crate) fn put_idle(
        &self,
        endpoint: &ConnectionEndpoint,
        stream: TargetStream,
        limit: Option<Duration>,
    ) {
        // A connection through a peer carries one exchange.
        let TargetStream::Direct(stream) = stream else { return };
        if self.options.max_idle_connections == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(IdleConnection::is_fresh);
            !connections.is_empty()
        });
        let connections = idle.entry(endpoint.clone()).or_default();
        // The oldest connection is the least likely to be still usable.
        if connections.len() >= self.options.max_idle_connections {
            connections.remove(0);
        }
        let limit = limit.unwrap_or(self.options.idle_limit).min(self.options.idle_limit);
        connections.push(IdleConnection { stream, since: Moment::now(), limit });
    }
}

/// Returns whether an idle connection is usable: it has nothing to read, neither its close nor unsolicited bytes.
fn has_nothing_to_read(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
