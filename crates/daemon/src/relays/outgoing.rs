//! Connects to a target through a peer.
//!
//! Owns: the peers of one thread as relays. Relies on: [`RelayChoice`] for the choice, the node for the peers.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{RequestId, TargetEntry, VmId};
use curlewcleat_relay::{
    connect_through_peer, Error, RelayRefusal, RelayRequest, RelayedConnection,
};
use curlewcleat_sched::{RelayChoice, RelayPeer};
use curlewcleat_targets::TargetStream;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use spdlog::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::request_text;
use crate::context::DaemonContext;

/// Most peers that are asked for one connection. Only if all of them find the target unreachable does the target count
/// as failed: some may have lost their own links to it.
const MOST_ASKED: usize = 3;
/// Time for which the list of peers is used.
const PEERS_VALID: Duration = Duration::from_millis(500);

/// Why no peer has connected to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// Peers that reach other targets do not reach this one.
    Target,
    /// No peer could be asked, or none reaches any target.
    NoPeer,
}

/// Makes connections through peers.
#[derive(Clone)]
pub struct RelayDialer {
    context: DaemonContext,
    /// IP number from which this daemon connects to peers, and the port of the relays of all daemons.
    source: IpAddr,
    port: u16,
    state: Rc<RefCell<RelayDialerState>>,
}

struct RelayDialerState {
    choice: RelayChoice,
    /// When the peers were last listed.
    listed: Option<Moment>,
    random: StdRng,
}

impl RelayDialer {
    /// Creates a dialer; `None` if the settings name no port for relays.
    pub fn new(context: &DaemonContext) -> Option<RelayDialer> {
        let port = context.settings.relay_port?;
        // The settings are checked when they are read.
        let source = context.settings.peer_address.parse::<SocketAddr>().ok()?.ip();
        let state = RelayDialerState {
            choice: RelayChoice::default(),
            listed: None,
            random: StdRng::from_os_rng(),
        };
        let state = Rc::new(RefCell::new(state));
        Some(RelayDialer { context: context.clone(), source, port, state })
    }

    /// Connects to a target through a peer within `limit`. Each peer that is asked gets half of the time that is left.
    pub async fn connect(
        &self,
        target: &TargetEntry,
        limit: Duration,
        request: Option<RequestId>,
    ) -> Result<TargetStream, RelayFailure> {
        let deadline = Moment::now() + limit;
        self.refresh_peers().await;
        let mut asked: Vec<VmId> = Vec::new();
        let mut unreachable = 0;
        while asked.len() < MOST_ASKED && !deadline.time_left().is_zero() {
            let Some(peer) = self.choose(&asked) else { break };
            let time_limit = deadline.time_left() / 2;
            match self.ask(&peer, target, time_limit, request).await {
                Ok(connection) => return Ok(TargetStream::Relayed(Box::new(connection))),
                Err(refusal) => {
                    unreachable += usize::from(refusal.is_some_and(RelayRefusal::is_about_target));
                    asked.push(peer.vm);
                }
            }
        }
        match unreachable > 0 && unreachable == asked.len() {
            true => Err(RelayFailure::Target),
            false => Err(RelayFailure::NoPeer),
        }
    }

    fn choose(&self, asked: &[VmId]) -> Option<RelayPeer> {
        let RelayDialerState { choice, random, .. } = &mut *self.state.borrow_mut();
        choice.choose(self.context.uptime(), asked, random)
    }

    /// Asks one peer; an error is the peer's refusal, if it has sent one.
    async fn ask(
        &self,
        peer: &RelayPeer,
        target: &TargetEntry,
        time_limit: Duration,
        request: Option<RequestId>,
    ) -> Result<CountedRelay, Option<RelayRefusal>> {
        // The target has left the configuration since it was granted.
        let pool = self.context.pool_of(target).ok_or(None)?;
        let from = self.context.daemon.clone();
        let relay_request =
            RelayRequest { from, request, pool, target: target.clone(), time_limit };
        let address = SocketAddr::new(peer.ip, self.port);
        let connecting = connect_through_peer(address, self.source, &relay_request);
        let result = tokio::time::timeout(time_limit, connecting).await;
        let (code, refusal) = match &result {
            Ok(Ok(_)) => ("connected", None),
            Ok(Err(Error::Refused(refusal))) => (refusal.code(), Some(*refusal)),
            Ok(Err(_)) => ("failed", None),
            Err(_) => ("timeout", None),
        };
        self.context.metrics.count_relay("asked", code);
        info!("relay_asked", kv: {
            request = request_text(request), peer = peer.vm.as_str(), target = target.id.as_str(),
            outcome = code
        });
        match result {
            Ok(Ok(connection)) => Ok(CountedRelay::new(connection, peer.vm.clone(), self)),
            _ => {
                self.record_failure(peer, refusal);
                Err(refusal)
            }
        }
    }

    /// Records that a peer has refused or failed, unless its refusal is about the target.
    fn record_failure(&self, peer: &RelayPeer, refusal: Option<RelayRefusal>) {
        let (now, choice) = (self.context.uptime(), &mut self.state.borrow_mut().choice);
        match refusal {
            Some(refusal) if refusal.is_about_target() => {}
            Some(RelayRefusal::UnknownPeer) => choice.refused_as_stranger(now, &peer.vm),
            _ => choice.failed(now, &peer.vm),
        }
    }

    async fn refresh_peers(&self) {
        let draw = {
            let mut state = self.state.borrow_mut();
            if state.listed.is_some_and(|listed| listed.elapsed() < PEERS_VALID) {
                return;
            }
            state.listed = Some(Moment::now());
            state.random.random::<u32>()
        };
        let peers = self.context.relay_peers(draw as usize).await;
        self.state.borrow_mut().choice.set_peers(peers);
    }
}

/// A relayed connection that is counted for its peer while it is open.
struct CountedRelay {
    connection: RelayedConnection,
    peer: VmId,
    state: Rc<RefCell<RelayDialerState>>,
}

impl CountedRelay {
    fn new(connection: RelayedConnection, peer: VmId, dialer: &RelayDialer) -> CountedRelay {
        let state = Rc::clone(&dialer.state);
        state.borrow_mut().choice.opened(&peer);
        CountedRelay { connection, peer, state }
    }
}

impl Drop for CountedRelay {
    fn drop(&mut self) {
        self.state.borrow_mut().choice.closed(&self.peer);
    }
}

impl AsyncRead for CountedRelay {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedRelay {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(context)
    }
}
