//! Puts the daemon together and runs it until its planned stop is complete.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpService;
use actix_server::{Server, ServerHandle};
use anyhow::{anyhow, Context, Result};
use curlewcleat_config::DaemonSettings;
use curlewcleat_core::{DaemonId, Incarnation};
use curlewcleat_keys::KeyHomeOptions;
use curlewcleat_node::{Node, NodeEvent, NodeOptions};
use curlewcleat_peers::{NngTransport, PeerTransport, TransportCounts};
use curlewcleat_sched::{EntryOptions, MemberOptions};
use curlewcleat_store::{HttpStore, ObjectStore};
use spdlog::prelude::*;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use crate::brain::BrainLoop;
use crate::context::{BrainMessage, DaemonContext};
use crate::metrics::DaemonMetrics;
use crate::operators::serve_operator;
use crate::platform::follow_platform;
use crate::reports::follow_targets;
use crate::request::{OwnProtocol, RequestService};

/// Time for which an unreachable platform may delay a planned stop.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(30);
/// Seconds for the last bytes of answers to leave after the node has ended.
const FLUSH_LIMIT: u64 = 3;

/// Runs a daemon.
///
/// # Errors
/// Where an address cannot be bound.
pub fn run_daemon(settings: DaemonSettings) -> Result<()> {
    actix_rt::System::new().block_on(run(settings))
}

async fn run(settings: DaemonSettings) -> Result<()> {
    let incarnation: Incarnation = rand::random();
    let counts = Arc::new(TransportCounts::default());
    let metrics = Arc::new(DaemonMetrics::new(Arc::clone(&counts)).context("metrics")?);
    let (brain, messages) = mpsc::unbounded_channel();
    let context = DaemonContext::new(settings.clone(), metrics, brain.clone());

    // The peer address is bound first: a process that has it knows that no earlier one lives here.
    let transport = listen_for_peers(&settings, counts, brain)?;
    let store: Rc<dyn ObjectStore> =
        Rc::new(HttpStore::new(&settings.platform_address, settings.platform_limit));
    let node = Node::new(node_options(&settings, incarnation));
    let server = serve(&settings, &context)?;
    let handle = server.handle();
    let serving = actix_rt::spawn(server);
    follow_platform(Rc::clone(&store), context.clone());
    follow_targets(context.clone());
    watch_signals(context.clone())?;
    info!("started", kv: { vm = settings.vm.as_str(), incarnation });

    BrainLoop::new(node, context, transport, Some(store), None).run(messages).await;
    stop_serving(handle, serving).await;
    info!("ended", kv: { vm = settings.vm.as_str() });
    Ok(())
}

pub(crate) fn listen_for_peers(
    settings: &DaemonSettings,
    counts: Arc<TransportCounts>,
    brain: mpsc::UnboundedSender<BrainMessage>,
) -> Result<Box<dyn PeerTransport>> {
    let (frames, mut received) = mpsc::unbounded_channel();
    let transport = NngTransport::listen(&settings.peer_address, frames, counts)
        .map_err(|error| anyhow!("peers: bind {}: {error}", settings.peer_address))?;
    actix_rt::spawn(async move {
        while let Some(frame) = received.recv().await {
            if brain.send(BrainMessage::Event(NodeEvent::Peer(frame))).is_err() {
                return;
            }
        }
    });
    Ok(Box::new(transport))
}

pub(crate) fn node_options(settings: &DaemonSettings, incarnation: Incarnation) -> NodeOptions {
    NodeOptions {
        me: DaemonId { vm: settings.vm.clone(), incarnation },
        members: MemberOptions {
            address: settings.advertised_address.clone(),
            data_centre: settings.data_centre.clone(),
            seeds: settings.seeds.clone(),
            suspect_after: settings.suspect_after,
            mesh_limit: usize::MAX,
            capacity: settings.capacity_percent,
            born: 0,
        },
        keys: KeyHomeOptions {
            retention: settings.key_retention,
            key_limit: settings.key_limit,
            ..KeyHomeOptions::default()
        },
        key_slots: settings.key_slots,
        entry: EntryOptions {
            ask_limit: settings.ask_limit,
            ask_tries: settings.ask_tries,
            ..EntryOptions::default()
        },
        rate_margin: curlewcleat_sched::RateMargin::default(),
        one_scheduler: false,
        age_per_work: settings.age_per_work,
        request_limit: settings.request_limit,
        freshness: None,
        beat: settings.beat,
        drain_grace: settings.drain_grace,
        hand_over_limit: HAND_OVER_LIMIT,
    }
}

/// Binds the callers' and the operators' addresses.
fn serve(settings: &DaemonSettings, context: &DaemonContext) -> Result<Server> {
    let head_limit = settings.head_limit;
    let caller_context = context.clone();
    let operator_context = context.clone();
    let builder = Server::build()
        .workers(settings.workers)
        .max_concurrent_connections(settings.connection_limit)
        .shutdown_timeout(FLUSH_LIMIT)
        .disable_signals();
    let server = builder
        .bind("callers", settings.caller_address.as_str(), move || {
            let context = caller_context.clone();
            let protocol = Box::new(OwnProtocol::new(context.clone()));
            let service = RequestService::new(context, protocol);
            HttpService::build()
                .client_request_timeout(head_limit)
                .h1_allow_half_closed(false)
                .h1(move |request| {
                    let answer = Rc::clone(&service).serve(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                })
                .tcp()
        })
        .with_context(|| format!("callers: bind {}", settings.caller_address))?
        .bind("operators", settings.operator_address.as_str(), move || {
            let context = operator_context.clone();
            HttpService::build()
                .client_request_timeout(head_limit)
                .h1(move |request| {
                    let answer = serve_operator(context.clone(), request);
                    async move { Ok::<_, Infallible>(answer.await) }
                })
                .tcp()
        })
        .with_context(|| format!("operators: bind {}", settings.operator_address))?;
    Ok(server.run())
}

/// A termination signal begins the planned stop.
pub(crate) fn watch_signals(context: DaemonContext) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("signals")?;
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            context.tell(NodeEvent::Drain);
        }
    });
    Ok(())
}

/// Lets the last bytes of finished answers leave, then closes the listeners.
async fn stop_serving(
    handle: ServerHandle,
    serving: actix_rt::task::JoinHandle<std::io::Result<()>>,
) {
    handle.stop(true).await;
    if let Ok(Err(error)) = serving.await {
        error!("server_failed", kv: { error = error.to_string() });
    }
}
