//! Accepts and serves connections on the daemon's own arbiter, without a separate server thread.
//!
//! Owns: the listeners of a single-threaded daemon. Relies on: actix-http for the protocol, [`ConnectionIntake`] for
//! what is read next.

mod accept_queue;
mod intake;
pub mod read_limit;

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{fn_service, Service, ServiceFactory};
use anyhow::{Context, Result};
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpSocket};

use self::intake::ConnectionIntake;
use self::read_limit::ReadLimit;
use crate::byte_budget::SharedBudget;
use crate::caller_stream::CallerStream;
use crate::metrics::DaemonMetrics;
use crate::unwritten::UnwrittenCount;

/// Most connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// How connections are served.
#[derive(Clone)]
pub struct ListenOptions {
    /// Time within which the head of a request must arrive.
    pub head_limit: Duration,
    /// Returns the time for which a connection may be idle; called once for each connection.
    pub idle_limit: Rc<dyn Fn() -> Duration>,
    /// Most connections open at the same time.
    pub connection_limit: usize,
    /// Returns the time after which a connection that could not be read is closed; `None` if it waits on.
    pub unread_limit: Rc<dyn Fn() -> Option<Duration>>,
    /// Returns the largest body in bytes that any request may have.
    pub body_limit: Rc<dyn Fn() -> u64>,
    /// Counts the connections that are closed unread, and those that send without end.
    pub metrics: Arc<DaemonMetrics>,
    /// Counts the connections that have bytes to write.
    pub unwritten: UnwrittenCount,
    /// Budget in which the connections and what they leave unread are counted; `None` without a memory limit.
    pub budget: Option<SharedBudget>,
}

/// Binds an address and serves its connections until the process exits.
///
/// # Errors
/// If the address cannot be bound.
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
    let metrics = Arc::clone(&options.metrics);
    let read_limit = ReadLimit::new(name, Rc::clone(&options.body_limit), metrics);
    let mut intake = ConnectionIntake::new(name, listener, options.clone());
    actix_rt::spawn(async move {
        loop {
            let (stream, peer) = intake.next().await;
            let factory = HttpService::build()
                .client_request_timeout(options.head_limit)
                .keep_alive(KeepAlive::Timeout((options.idle_limit)()))
                .h1_allow_half_closed(false)
                .on_connect_ext(CallerStream::share_guard)
                .h1(service.clone());
            let Ok(handler) = factory.new_service(()).await else { continue };
            let stream =
                CallerStream::new(stream, options.unwritten.clone(), options.budget.as_ref())
                    .with_read_limit(read_limit.begin(peer));
            serve_counted(name, handler.call((stream, Some(peer))), intake.open_count());
        }
    });
    Ok(())
}

/// Serves a connection in a task of its own, which is counted while it runs.
fn serve_counted(
    name: &'static str,
    connection: impl Future<Output = Result<(), DispatchError>> + 'static,
    open_count: Rc<Cell<usize>>,
) {
    open_count.set(open_count.get() + 1);
    actix_rt::spawn(async move {
        log_connection_end(name, connection.await);
        open_count.set(open_count.get() - 1);
    });
}

/// Logs the error that ended a connection. At debug level only: callers disconnect often, and a caller's requests
/// report how its connection ended.
fn log_connection_end(name: &str, result: Result<(), DispatchError>) {
    if let Err(error) = result {
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
