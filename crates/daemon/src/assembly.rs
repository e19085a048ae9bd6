//! Builds a daemon and runs it until its planned stop is complete.
//!
//! Owns: the order of the steps of start and stop. Relies on: [`PlatformAdapter`] for the steps that depend on the
//! platform kind.

use std::sync::Arc;

use anyhow::{anyhow, Context, Result};
use curlewcleat_config::DaemonSettings;
use curlewcleat_core::{DaemonId, Incarnation};
use curlewcleat_node::{Node, NodeEvent};
use curlewcleat_peers::{NngTransport, PeerTransport, TransportCounts, WaitingFrames};
use spdlog::prelude::*;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use crate::context::{DaemonContext, NodeMessage};
use crate::loop_turn::probe_turns;
use crate::metrics::DaemonMetrics;
use crate::node_loop::NodeLoop;
use crate::platform_adapter::PlatformAdapter;
use crate::relays::{probe_lost_links, RelayServer};
use crate::usage::log_usage;

/// Most bytes of peers' frames that wait for the node without a memory limit.
const WAITING_FRAMES_LIMIT: u64 = 64 << 20;
/// Part of the VM's memory that frames of peers may use while they wait. It is not in the byte budget.
const WAITING_FRAMES_SHARE: u64 = 8;

/// Runs a daemon until its planned stop is complete.
///
/// # Errors
/// If an address cannot be bound or a signal handler cannot be installed.
pub fn run_daemon(settings: DaemonSettings, adapter: Box<dyn PlatformAdapter>) -> Result<()> {
    actix_rt::System::new().block_on(run(settings, adapter))
}

async fn run(settings: DaemonSettings, mut adapter: Box<dyn PlatformAdapter>) -> Result<()> {
    let incarnation: Incarnation = rand::random();
    let me = DaemonId { vm: settings.vm.clone(), incarnation };
    let counts = Arc::new(TransportCounts::default());
    let metrics = Arc::new(DaemonMetrics::new(Arc::clone(&counts)).context("metrics")?);
    let (sender, messages) = mpsc::unbounded_channel();
    let context = DaemonContext::new(me.clone(), settings.clone(), metrics, sender.clone());

    // The peer address is bound first: a successful bind shows that no earlier process of this daemon still runs.
    let transport = listen_for_peers(&settings, Arc::clone(&counts), sender)?;
    let node = Node::new(adapter.node_options(&settings, me.clone(), context.wall()))
        .starting_at(context.uptime());
    let relays = RelayServer::start(&context).await?;
    let server = adapter.serve(&context).await?;
    probe_lost_links(context.clone());
    adapter.follow(&context, me)?;
    watch_signals(context.clone())?;
    probe_turns(context.clone());
    log_usage(context.clone(), counts);
    if let Some(budget) = context.budget.clone() {
        actix_rt::spawn(budget.end_waiting_readers());
    }
    info!("started", kv: { vm = settings.vm.as_str(), incarnation });

    NodeLoop::new(node, context, transport, adapter).run(messages).await;
    server.close().await;
    relays.close().await;
    info!("ended", kv: { vm = settings.vm.as_str() });
    Ok(())
}

fn listen_for_peers(
    settings: &DaemonSettings,
    counts: Arc<TransportCounts>,
    sender: mpsc::UnboundedSender<NodeMessage>,
) -> Result<Box<dyn PeerTransport>> {
    let (frames, mut received) = mpsc::unbounded_channel();
    // Shorter than the time after which a peer counts as unreachable, and at least 1.5 heartbeat intervals.
    let dead_after = settings.suspect_after / 2;
    let waiting = WaitingFrames::new(waiting_frames_limit(settings));
    let transport =
        NngTransport::listen(&settings.peer_address, dead_after, frames, waiting, counts)
            .map_err(|error| anyhow!("peers: bind {}: {error}", settings.peer_address))?;
    actix_rt::spawn(async move {
        while let Some(frame) = received.recv().await {
            if sender.send(NodeMessage::PeerFrame(frame)).is_err() {
                return;
            }
        }
    });
    Ok(Box::new(transport))
}

/// Returns how many bytes of peers' frames may wait for the node.
fn waiting_frames_limit(settings: &DaemonSettings) -> u64 {
    settings.memory_limit.map_or(WAITING_FRAMES_LIMIT, |limit| limit / WAITING_FRAMES_SHARE)
}

/// Starts the planned stop on SIGTERM or SIGINT.
fn watch_signals(context: DaemonContext) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("signals")?;
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            context.send_event(NodeEvent::Drain);
        }
    });
    Ok(())
}
