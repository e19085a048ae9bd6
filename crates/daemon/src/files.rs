//! The platform kind `files`: a daemon on the product's own object API, with configuration files that operators apply.
//!
//! Owns: the server with a thread for each of `[callers] workers`, the calls for the key table. Relies on:
//! [`ObjectStore`] for objects and the list of VMs.

mod follow;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::error::DispatchError;
use actix_http::HttpService;
use actix_server::{Server, ServerBuilder, ServerHandle};
use actix_service::{fn_service, ServiceFactoryExt};
use anyhow::{Context, Result};
use curlewcleat_config::DaemonSettings;
use curlewcleat_core::{DaemonId, ObjectVersion, WallTime};
use curlewcleat_keys::{KeyTable, TABLE_KEY};
use curlewcleat_node::{NodeEvent, NodeOptions, PlatformCall, TableWrite};
use curlewcleat_store::{Error, ObjectStore, PutOutcome, Result as StoreResult};
use spdlog::prelude::*;
use tokio::net::TcpStream;

use crate::byte_budget::SharedBudget;
use crate::caller_stream::CallerStream;
use crate::context::DaemonContext;
use crate::operators::serve_operator;
use crate::platform_adapter::{node_options, CallerServer, LocalFuture, PlatformAdapter};
use crate::reports::poll_target_reports;
use crate::request::{BuiltinProtocol, RequestService};
use crate::unwritten::UnwrittenCount;

/// Time in seconds for sending the last bytes of answers after the node has ended.
const FLUSH_TIMEOUT_S: u64 = 3;

/// Connects a daemon to the object API.
pub struct FilesAdapter {
    store: Rc<dyn ObjectStore>,
}

impl FilesAdapter {
    /// Creates the adapter for a store.
    pub fn new(store: Rc<dyn ObjectStore>) -> FilesAdapter {
        FilesAdapter { store }
    }
}

impl PlatformAdapter for FilesAdapter {
    fn node_options(&self, settings: &DaemonSettings, me: DaemonId, _: WallTime) -> NodeOptions {
        node_options(settings, me)
    }

    fn serve<'a>(
        &'a self,
        context: &'a DaemonContext,
    ) -> LocalFuture<'a, Result<Box<dyn CallerServer>>> {
        Box::pin(async move {
            let server = bind(context)?;
            let handle = server.handle();
            let task = actix_rt::spawn(server);
            Ok(Box::new(ThreadedServer { handle, task }) as Box<dyn CallerServer>)
        })
    }

    fn follow(&mut self, context: &DaemonContext, _: DaemonId) -> Result<()> {
        follow::follow_platform(Rc::clone(&self.store), context.clone());
        poll_target_reports(context.clone());
        Ok(())
    }

    fn call(&self, context: &DaemonContext, call: PlatformCall) {
        let (store, context) = (Rc::clone(&self.store), context.clone());
        match call {
            PlatformCall::ProposeTable(expected, table) => {
                actix_rt::spawn(async move {
                    let write = propose_table(store.as_ref(), &context, expected, table).await;
                    context.send_event(NodeEvent::TableWritten(write));
                });
            }
            PlatformCall::ReadTable => {
                actix_rt::spawn(async move { follow::read_table(store.as_ref(), &context).await });
            }
            // Each daemon reads the object API itself.
            PlatformCall::ConfigConfirmed(_) | PlatformCall::Read(_) => {}
            // Refused requests are known to the daemons only. After a restart of all daemons they have to be detected
            // again.
            PlatformCall::StoreRefusal(_) | PlatformCall::DropRefusal(_) => {}
            // Targets are listed in configuration files, which have no versions, so there are no rollouts.
            PlatformCall::ReadRollouts | PlatformCall::WriteRollout(_) => {}
            // The object API has no evacuations.
            PlatformCall::ReadEvacuations => {}
            PlatformCall::ReadVersionHistories
            | PlatformCall::WriteVersionHistory(_)
            | PlatformCall::WriteStreamForms(..) => {}
        }
    }
}

/// Stores a key table if the version in the store is still `expected`.
async fn propose_table(
    store: &dyn ObjectStore,
    context: &DaemonContext,
    expected: ObjectVersion,
    table: KeyTable,
) -> TableWrite {
    match put_table(store, expected, &table).await {
        Ok(PutOutcome::Stored(version)) => TableWrite::Stored(version, table),
        Ok(PutOutcome::Conflict) => TableWrite::ReadAgain,
        Err(error) => {
            context.metrics.count_platform_error("put_table");
            warn!("key_table_write_unclear", kv: { error = error.to_string() });
            TableWrite::ReadAgain
        }
    }
}

async fn put_table(
    store: &dyn ObjectStore,
    expected: ObjectVersion,
    table: &KeyTable,
) -> StoreResult<PutOutcome> {
    let bytes = serde_json::to_vec(table).map_err(|error| Error::Protocol(error.to_string()))?;
    store.put(TABLE_KEY, expected, bytes).await
}

/// Binds the callers' and the operators' addresses.
fn bind(context: &DaemonContext) -> Result<Server> {
    let settings = &context.settings;
    let builder = Server::build()
        .workers(settings.workers)
        .max_concurrent_connections(settings.connection_limit)
        .shutdown_timeout(FLUSH_TIMEOUT_S)
        .disable_signals();
    let builder = bind_callers(builder, context.clone())
        .with_context(|| format!("callers: bind {}", settings.caller_address))?;
    let builder = bind_operators(builder, context.clone())
        .with_context(|| format!("operators: bind {}", settings.operator_address))?;
    Ok(builder.run())
}

fn bind_callers(builder: ServerBuilder, context: DaemonContext) -> std::io::Result<ServerBuilder> {
    let address = context.settings.caller_address.clone();
    builder.bind("callers", address, move || {
        let protocol = BuiltinProtocol::new(&context);
        let service = RequestService::new(context.clone(), Box::new(protocol));
        let connections = HttpService::build()
            .client_request_timeout(context.settings.head_limit)
            .h1_allow_half_closed(false)
            .on_connect_ext(CallerStream::share_guard)
            .h1(move |request| {
                let answer = Rc::clone(&service).serve(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
        let budget = context.budget.clone();
        fn_service(move |stream| caller_stream(stream, budget.clone())).and_then(connections)
    })
}

fn bind_operators(
    builder: ServerBuilder,
    context: DaemonContext,
) -> std::io::Result<ServerBuilder> {
    let address = context.settings.operator_address.clone();
    builder.bind("operators", address, move || {
        let context = context.clone();
        HttpService::build()
            .client_request_timeout(context.settings.head_limit)
            .h1(move |request| {
                let answer = serve_operator(context.clone(), request);
                async move { Ok::<_, Infallible>(answer.await) }
            })
            .tcp()
    })
}

/// Prepares a connection of a caller to be served.
async fn caller_stream(
    stream: TcpStream,
    budget: Option<SharedBudget>,
) -> std::result::Result<(CallerStream, Option<SocketAddr>), DispatchError> {
    // The address is only logged.
    let peer = stream.peer_addr().ok();
    Ok((CallerStream::new(stream, UnwrittenCount::default(), budget.as_ref()), peer))
}

/// A server that runs on threads of its own.
struct ThreadedServer {
    handle: ServerHandle,
    task: actix_rt::task::JoinHandle<std::io::Result<()>>,
}

impl CallerServer for ThreadedServer {
    fn close(self: Box<Self>) -> LocalFuture<'static, ()> {
        Box::pin(async move {
            self.handle.stop(true).await;
            if let Ok(Err(error)) = self.task.await {
                error!("server_failed", kv: { error = error.to_string() });
            }
        })
    }
}
