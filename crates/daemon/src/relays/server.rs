//! Makes connections to targets for peers that have lost their own links.
//!
//! A connection is made only for a daemon that is a known peer at its address, and only to a target that this daemon
//! knows and would send its own requests to. This daemon connects directly and never asks another peer, so a connection
//! passes one peer at most.
//!
//! Owns: the listener, and the count of relayed connections. Relies on: the node for the peers.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use curlewcleat_clock::Moment;
use curlewcleat_config::PlatformKind;
use curlewcleat_core::TargetEntry;
use curlewcleat_relay::{accept_relay, IncomingRelay, RelayEnd, RelayRefusal, RelayRequest};
use curlewcleat_sched::TargetRoute;
use curlewcleat_targets::connect_directly;
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use super::request_text;
use crate::byte_budget::ByteOwner;
use crate::context::DaemonContext;

/// Connections of callers for each relayed connection that is allowed.
const CALLERS_PER_RELAY: usize = 8;
/// Connections accepted beyond those that may be relayed, for daemons that get a refusal.
const WAITING_LIMIT: usize = 64;
/// Longest time for which a connection to a target is awaited.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Share of the time that the asking daemon waits in which the target has to accept the connection, in percent.
const CONNECT_PERCENT: u32 = 75;
/// Time within which a daemon that has connected must state what it asks for.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);
/// Pause after an accept that failed, for example because no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which the end of the last relayed connection is awaited.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes that a relayed connection holds at most: one part in each direction, as read and as a frame.
const RELAY_COST: u64 = 32 << 10;
/// Time after which a connection whose daemon or target reads nothing is closed, as a multiple of the time after which a
/// daemon that uses it gives up its caller.
const STALL_FACTOR: u32 = 2;
/// Time before the stop limit at which relayed connections are given up.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Serves the daemons that ask for connections.
pub struct RelayServer {
    context: DaemonContext,
    open: Rc<Cell<usize>>,
}

impl RelayServer {
    /// Listens on the relay port, if the settings name one.
    ///
    /// # Errors
    /// If the port cannot be bound.
    pub async fn start(context: &DaemonContext) -> Result<RelayServer> {
        let server = RelayServer { context: context.clone(), open: Rc::default() };
        if let Some(port) = context.settings.relay_port {
            let peers: SocketAddr = context.settings.peer_address.parse().context("relays")?;
            let address = SocketAddr::new(peers.ip(), port);
            let listener = TcpListener::bind(address)
                .await
                .with_context(|| format!("relays: bind {address}"))?;
            let (context, open) = (context.clone(), Rc::clone(&server.open));
            actix_rt::spawn(accept_all(listener, context, open));
        }
        Ok(server)
    }

    /// Waits until no connection is relayed any more. A daemon of a fleet ends shortly before it would be killed.
    pub async fn close(self) {
        while self.open.get() > 0 && !self.must_end_now() {
            tokio::time::sleep(CLOSE_INTERVAL).await;
        }
        if self.open.get() > 0 {
            warn!("relays_unfinished", kv: { connections = self.open.get() });
        }
    }

    fn must_end_now(&self) -> bool {
        let is_limited = self.context.settings.platform_kind == PlatformKind::Fleet;
        let stop_deadline = self.context.stop_deadline().filter(|_| is_limited);
        stop_deadline.is_some_and(|stop_deadline| Moment::now() + STOP_MARGIN >= stop_deadline)
    }
}

async fn accept_all(listener: TcpListener, context: DaemonContext, open: Rc<Cell<usize>>) {
    loop {
        match listener.accept().await {
            // A daemon whose connection is closed at once asks another peer.
            Ok((stream, _)) if open.get() >= relay_limit(&context) + WAITING_LIMIT => drop(stream),
            Ok((stream, from)) => {
                let guard = OpenRelay::new(&open);
                let serving = serve(context.clone(), stream, from.ip(), guard);
                actix_rt::spawn(serving);
            }
            Err(error) => {
                warn!("accept_failed", kv: { listener = "relays", error = error.to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns the most connections that are relayed at a time.
fn relay_limit(context: &DaemonContext) -> usize {
    context.settings.connection_limit / CALLERS_PER_RELAY
}

/// Counts a connection while it is open.
struct OpenRelay(Rc<Cell<usize>>);

impl OpenRelay {
    fn new(open: &Rc<Cell<usize>>) -> OpenRelay {
        open.set(open.get() + 1);
        OpenRelay(Rc::clone(open))
    }

    fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for OpenRelay {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve(context: DaemonContext, stream: TcpStream, from: IpAddr, open: OpenRelay) {
    let relay = match tokio::time::timeout(REQUEST_LIMIT, accept_relay(stream)).await {
        Ok(Ok(relay)) => relay,
        Ok(Err(error)) => {
            return debug!("relay_unreadable", kv: { error = error.to_string() });
        }
        Err(_) => return debug!("relay_unreadable", kv: { error = "no request" }),
    };
    let begun = Moment::now();
    let request = relay.request.clone();
    let outcome = match connect(&context, &request, from, open.count()).await {
        Ok(target) => {
            context.metrics.count_relay("served", "connected");
            let budget = context.budget.as_ref();
            let _held = budget.map(|budget| budget.hold(ByteOwner::Relay, RELAY_COST));
            let stall_limit = context.settings.stall_limit * STALL_FACTOR;
            let end = relay.carry(target, stall_limit).await;
            if matches!(end, Ok(RelayEnd::Stalled)) {
                context.metrics.count_relay("served", RelayEnd::Stalled.code());
            }
            end.map_or("daemon_gone", |end| end.code())
        }
        Err(refusal) => {
            context.metrics.count_relay("served", refusal.code());
            refuse(relay, refusal).await
        }
    };
    info!("relay_served", kv: {
        request = request_text(request.request),
        peer = request.from.vm.as_str(), target = request.target.id.as_str(),
        outcome, time_ms = begun.elapsed().as_millis() as i64
    });
}

async fn refuse(relay: IncomingRelay, refusal: RelayRefusal) -> &'static str {
    // A daemon that no longer waits for the answer has asked another peer.
    match relay.refuse(refusal).await {
        Ok(()) => refusal.code(),
        Err(_) => "daemon_gone",
    }
}

/// Connects to the target that a peer asks for, or returns why not.
async fn connect(
    context: &DaemonContext,
    request: &RelayRequest,
    from: IpAddr,
    open: usize,
) -> std::result::Result<TcpStream, RelayRefusal> {
    if !context.knows_peer_at(&request.from.vm, from).await {
        return Err(RelayRefusal::UnknownPeer);
    }
    if context.is_draining() {
        return Err(RelayRefusal::Draining);
    }
    if open > relay_limit(context) {
        return Err(RelayRefusal::Full);
    }
    let target = known_target(context, request).ok_or(RelayRefusal::UnknownTarget)?;
    if context.gate.stop(context.uptime(), &target).is_some() {
        return Err(RelayRefusal::TargetStopped);
    }
    if context.reach.route(&target.address) == TargetRoute::Peer {
        return Err(RelayRefusal::LinkLost);
    }
    // The daemon that asks has to receive the answer before it gives up.
    let limit = (request.time_limit * CONNECT_PERCENT / 100).min(CONNECT_LIMIT);
    match connect_directly(&target.address, limit).await {
        Ok(stream) => {
            context.reach.connected(context.uptime(), &target.address);
            Ok(stream)
        }
        Err(_) if context.reach.has_recent_activity(context.uptime()) => {
            Err(RelayRefusal::TargetUnreachable)
        }
        Err(_) => Err(RelayRefusal::LinkLost),
    }
}

/// Returns the target as this daemon knows it, if its address is the one that the peer knows.
fn known_target(context: &DaemonContext, request: &RelayRequest) -> Option<TargetEntry> {
    let config = context.config();
    let target = config.pools.get(&request.pool)?.targets.get(&request.target.id)?;
    (target.address == request.target.address).then(|| target.clone())
}
