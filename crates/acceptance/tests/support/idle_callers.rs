//! Callers that keep connections open without a request.

use std::cell::RefCell;
use std::io::ErrorKind;

use anyhow::Result;
use tokio::net::TcpStream;

/// Callers that connect again where the daemon closes their connection unread.
pub struct IdleCallers {
    entry: String,
    connections: RefCell<Vec<TcpStream>>,
}

impl IdleCallers {
    /// Opens this many connections to a daemon, one after the other.
    pub async fn connect(entry: &str, count: usize) -> Result<IdleCallers> {
        let callers = IdleCallers { entry: entry.to_string(), connections: RefCell::default() };
        callers.open(count).await?;
        Ok(callers)
    }

    /// Replaces the connections that were closed unread.
    pub async fn connect_again(&self) -> Result<()> {
        let unread = {
            let mut connections = self.connections.borrow_mut();
            let count = connections.len();
            connections.retain(|connection| !is_closed_unread(connection));
            count - connections.len()
        };
        self.open(unread).await
    }

    async fn open(&self, count: usize) -> Result<()> {
        for _ in 0..count {
            let connection = TcpStream::connect(&self.entry).await?;
            self.connections.borrow_mut().push(connection);
        }
        Ok(())
    }
}

/// Returns whether a connection was reset. Before a byte of an answer this tells its caller that it was closed unread.
pub fn is_closed_unread(connection: &TcpStream) -> bool {
    let error = connection.take_error().ok().flatten();
    error.is_some_and(|error| error.kind() == ErrorKind::ConnectionReset)
}
