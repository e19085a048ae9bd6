//! A stand-in that can end as a process does: its address is free and its connections are reset.

use std::cell::RefCell;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use anyhow::{Context, Result};
use tokio::net::TcpListener;

use crate::http::{serve_connection, PlainHandler};

type Connections = Rc<RefCell<Vec<JoinHandle<()>>>>;

/// A handler that is served at an address.
pub struct ServedHandler {
    /// Where it is served.
    pub address: String,
    listening: JoinHandle<()>,
    connections: Connections,
}

impl ServedHandler {
    /// Begins to serve at an address.
    ///
    /// # Errors
    /// Where it cannot be bound.
    pub async fn start(address: &str, handler: Rc<dyn PlainHandler>) -> Result<ServedHandler> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("stand-in: bind {address}"))?;
        let connections = Connections::default();
        let listening = actix_rt::spawn(accept(listener, handler, Rc::clone(&connections)));
        Ok(ServedHandler { address: address.to_string(), listening, connections })
    }

    /// Ends at once, whatever is under way; then the address may be bound again.
    pub async fn close(self) {
        let mut tasks = self.connections.take();
        tasks.push(self.listening);
        for task in &tasks {
            task.abort();
        }
        for task in tasks {
            // What was aborted gives nothing.
            let _ = task.await;
        }
    }
}

async fn accept(listener: TcpListener, handler: Rc<dyn PlainHandler>, connections: Connections) {
    while let Ok((stream, _)) = listener.accept().await {
        // A connection that does not take the option is served all the same.
        let _ = stream.set_nodelay(true);
        let handler = Rc::clone(&handler);
        let task = actix_rt::spawn(async move {
            // A connection that breaks is part of the play and ends only itself.
            let _ = serve_connection(stream, handler).await;
        });
        let mut connections = connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.push(task);
    }
}
