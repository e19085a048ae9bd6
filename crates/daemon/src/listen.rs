//! Accepts connections on the daemon's own arbiter, without threads of a server.
//!
//! Owns: the listeners of a daemon with one thread. Relies on: actix-http for the protocol.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{fn_service, Service, ServiceFactory};
use anyhow::{Context, Result};
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::unwritten::{CountedStream, UnwrittenCount};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted, as where descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How connections are served.
#[derive(Clone)]
pub struct ListenOptions {
    /// Time for the head of a request.
    pub head_limit: Duration,
    /// Time for which a connection may rest, asked anew for each connection.
    pub idle_limit: Rc<dyn Fn() -> Duration>,
    /// Connections held at the same time.
    pub connection_limit: usize,
    /// Counts the connections that have bytes to write.
    pub unwritten: UnwrittenCount,
}

/// Binds an address and serves its connections until the process ends.
///
/// # Errors
/// Where the address cannot be bound.
pub async fn listen<F, A>(
    name: &'static str,
    address: &str,
    options: ListenOptions,
    serve: F,
) -> Result<()>
where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = bind(address).with_context(|| format!("{name}: bind {address}"))?;
    let service = fn_service(move |request: Request| {
        let answer = serve(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let open = Rc::new(Cell::new(0usize));
    actix_rt::spawn(async move {
        loop {
            while open.get() >= options.connection_limit {
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            let Some((stream, peer)) = accept(name, &listener).await else { continue };
            let factory = HttpService::build()
                .client_request_timeout(options.head_limit)
                .keep_alive(KeepAlive::Timeout((options.idle_limit)()))
                .h1_allow_half_closed(false)
                .h1(service.clone());
            let Ok(handler) = factory.new_service(()).await else { continue };
            let stream = CountedStream::new(stream, options.unwritten.clone());
            let connection = handler.call((stream, Some(peer)));
            let open = Rc::clone(&open);
            open.set(open.get() + 1);
            actix_rt::spawn(async move {
                note_end(name, connection.await);
                open.set(open.get() - 1);
            });
        }
    });
    Ok(())
}

/// Accepts a connection, or pauses where that fails.
async fn accept(name: &str, listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok((stream, peer)) => {
            // A connection that does not take the option is served all the same.
            let _ = stream.set_nodelay(true);
            Some((stream, peer))
        }
        Err(error) => {
            warn!("accept_failed", kv: { listener = name, error = error.to_string() });
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// How a caller's connection ends is known to its requests; callers that leave are many, so it is logged
/// at debug level only.
fn note_end(name: &str, end: Result<(), DispatchError>) {
    if let Err(error) = end {
        debug!("connection_failed", kv: { listener = name, error = error.to_string() });
    }
}

fn bind(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
