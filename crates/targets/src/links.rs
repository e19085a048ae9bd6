//! The border between a connection pool and the rules by which a daemon reaches its targets.
//!
//! Owns: the interface. Relies on: nothing.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{RequestId, TargetEntry};
use tokio::net::TcpStream;

use crate::error::{Error, Result};
use crate::stream::TargetStream;

/// A connection that is being established.
pub type ConnectFuture<'a> = Pin<Box<dyn Future<Output = Result<TargetStream>> + 'a>>;

/// Establishes connections to targets, and observes what the direct ones do.
pub trait TargetLinks {
    /// Connects to a target within `limit`, for the request if it is made for one. Nothing is written to the target.
    fn connect<'a>(
        &'a self,
        target: &'a TargetEntry,
        limit: Duration,
        request: Option<RequestId>,
    ) -> ConnectFuture<'a>;

    /// Returns whether a direct connection that has been idle since this moment may be used.
    fn trusts_idle(&self, address: &str, idle_since: Moment) -> bool;

    /// Records that an exchange waits for the target at an address.
    fn exchange_begun(&self, address: &str);

    /// Records that bytes have arrived from the target at an address.
    fn bytes_arrived(&self, address: &str);

    /// Records that an exchange no longer waits for the target at an address.
    fn exchange_ended(&self, address: &str);
}

/// Opens a direct connection to an `ip:port`.
///
/// # Errors
/// Returns [`Error::Connect`] if the connection is not accepted within `limit`.
pub async fn connect_directly(address: &str, limit: Duration) -> Result<TcpStream> {
    let stream = match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(|error| Error::Connect(error.to_string()))?,
        Err(_) => return Err(Error::Connect(format!("no connection within {limit:?}"))),
    };
    stream.set_nodelay(true).map_err(|error| Error::Connect(error.to_string()))?;
    Ok(stream)
}
