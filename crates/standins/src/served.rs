//! Serves a stand-in that can be terminated like a process: its address becomes free and its connections close.

use std::cell::RefCell;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use anyhow::{Context, Result};
use tokio::net::TcpListener;

use crate::http::{serve_connection, PlainHandler};

type Connections = Rc<RefCell<Vec<JoinHandle<()>>>>;

/// A running server at an address.
pub struct ServedHandler {
    /// Address of the server.
    pub address: String,
    listening: JoinHandle<()>,
    connections: Connections,
}

impl ServedHandler {
    /// Starts a server at an address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(address: &str, handler: Rc<dyn PlainHandler>) -> Result<ServedHandler> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("stand-in: bind {address}"))?;
        let connections = Connections::default();
        let listening = actix_rt::spawn(accept(listener, handler, Rc::clone(&connections)));
        Ok(ServedHandler { address: address.to_string(), listening, connections })
    }

    /// Stops the server and all running requests at once. The address can be bound again afterwards.
    pub async fn close(self) {
        let mut tasks = self.connections.take();
        tasks.push(self.listening);
        for task in &tasks {
            task.abort();
        }
        for task in tasks {
            // An aborted task has no result.
            let _ = task.await;
        }
    }
}

async fn accept(listener: TcpListener, handler: Rc<dyn PlainHandler>, connections: Connections) {
    while let Ok((stream, _)) = listener.accept().await {
        // A connection without this option is served as well.
        let _ = stream.set_nodelay(true);
        let handler = Rc::clone(&handler);
        let task = actix_rt::spawn(async move {
            // Interrupted connections are expected in tests and do not affect the others.
            let _ = serve_connection(stream, handler).await;
        });
        let mut connections = connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.push(task);
    }
}
