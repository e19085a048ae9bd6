//! Connects to targets, directly or through a peer.
//!
//! Owns: the order in which both ways are tried. Relies on: [`SharedReach`](crate::target_reach::SharedReach) for the
//! lost links, [`RelayDialer`] for connections through peers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{RequestId, TargetEntry};
use curlewcleat_sched::TargetRoute;
use curlewcleat_targets::{
    connect_directly, ConnectFuture, Error, Result, TargetLinks, TargetStream,
};
use tokio::net::TcpStream;

use super::outgoing::{RelayDialer, RelayFailure};
use crate::context::DaemonContext;

/// Time for which no peer is asked again for a target that a peer did not reach either.
const UNREACHABLE_FOR: Duration = Duration::from_secs(1);

/// Connects to targets for the requests of one thread.
pub struct TargetDialer {
    context: DaemonContext,
    /// `None` if the settings name no port for relays.
    relays: Option<RelayDialer>,
    /// Targets that peers did not reach either, and when that was found.
    unreachable: RefCell<BTreeMap<String, Moment>>,
}

impl TargetDialer {
    /// Creates a dialer for one thread.
    pub fn new(context: &DaemonContext) -> Rc<TargetDialer> {
        Rc::new(TargetDialer {
            context: context.clone(),
            relays: RelayDialer::new(context),
            unreachable: RefCell::default(),
        })
    }

    /// Connects directly. A peer is asked as soon as the connection is refused, or when half of the time has passed.
    async fn connect_directly_first(
        &self,
        target: &TargetEntry,
        limit: Duration,
        request: Option<RequestId>,
    ) -> Result<TargetStream> {
        let deadline = Moment::now() + limit;
        let mut direct = std::pin::pin!(connect_directly(&target.address, limit));
        let refused = match tokio::time::timeout(limit / 2, direct.as_mut()).await {
            Ok(Ok(stream)) => return Ok(self.connected(target, stream)),
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        let mut relayed =
            std::pin::pin!(self.connect_by_peer(target, deadline.time_left(), request));
        let error = match refused {
            Some(error) => error,
            None => tokio::select! {
                biased;
                connected = direct.as_mut() => match connected {
                    Ok(stream) => return Ok(self.connected(target, stream)),
                    Err(error) => error,
                },
                relay = relayed.as_mut() => match relay {
                    Ok(stream) => return Ok(self.relayed(target, stream)),
                    Err(failure) => return self.await_direct(target, direct, failure).await,
                },
            },
        };
        match relayed.await {
            Ok(stream) => Ok(self.relayed(target, stream)),
            Err(failure) => Err(self.unreached(target, failure, error)),
        }
    }

    /// Waits for the direct connection after no peer has connected.
    async fn await_direct(
        &self,
        target: &TargetEntry,
        direct: impl Future<Output = Result<TcpStream>>,
        failure: RelayFailure,
    ) -> Result<TargetStream> {
        match direct.await {
            Ok(stream) => Ok(self.connected(target, stream)),
            Err(error) => Err(self.unreached(target, failure, error)),
        }
    }

    /// Connects through a peer, and directly if no peer can.
    async fn connect_by_peer_first(
        &self,
        target: &TargetEntry,
        limit: Duration,
        request: Option<RequestId>,
    ) -> Result<TargetStream> {
        let deadline = Moment::now() + limit;
        match self.connect_by_peer(target, limit, request).await {
            Ok(stream) => {
                self.context.reach.reached_by_peer(self.context.uptime(), &target.address);
                Ok(stream)
            }
            Err(_) => {
                let direct = connect_directly(&target.address, deadline.time_left()).await?;
                Ok(self.connected(target, direct))
            }
        }
    }

    async fn connect_by_peer(
        &self,
        target: &TargetEntry,
        limit: Duration,
        request: Option<RequestId>,
    ) -> std::result::Result<TargetStream, RelayFailure> {
        let Some(relays) = &self.relays else { return Err(RelayFailure::NoPeer) };
        if self.is_unreachable(&target.address) {
            return Err(RelayFailure::Target);
        }
        let result = relays.connect(target, limit, request).await;
        if matches!(result, Err(RelayFailure::Target)) {
            self.unreachable.borrow_mut().insert(target.address.clone(), Moment::now());
        }
        result
    }

    fn is_unreachable(&self, address: &str) -> bool {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.retain(|_, since| since.elapsed() < UNREACHABLE_FOR);
        unreachable.contains_key(address)
    }

    fn connected(&self, target: &TargetEntry, stream: TcpStream) -> TargetStream {
        self.context.reach.connected(self.context.uptime(), &target.address);
        TargetStream::Direct(stream)
    }

    /// Records that a peer has connected to a target that this daemon did not reach itself.
    fn relayed(&self, target: &TargetEntry, stream: TargetStream) -> TargetStream {
        let (now, reach) = (self.context.uptime(), &self.context.reach);
        reach.connect_failed(now, &target.address);
        reach.reached_by_peer(now, &target.address);
        stream
    }

    /// Records that neither this daemon nor a peer has connected to a target. If peers that reach other targets do not
    /// reach this one either, the target is at fault and not the link.
    fn unreached(&self, target: &TargetEntry, failure: RelayFailure, error: Error) -> Error {
        if failure == RelayFailure::NoPeer {
            self.context.reach.connect_failed(self.context.uptime(), &target.address);
        }
        error
    }
}

impl TargetLinks for TargetDialer {
    fn connect<'a>(
        &'a self,
        target: &'a TargetEntry,
        limit: Duration,
        request: Option<RequestId>,
    ) -> ConnectFuture<'a> {
        Box::pin(async move {
            match self.context.reach.route(&target.address) {
                TargetRoute::Direct => self.connect_directly_first(target, limit, request).await,
                TargetRoute::Peer => self.connect_by_peer_first(target, limit, request).await,
            }
        })
    }

    fn trusts_idle(&self, address: &str, idle_since: Moment) -> bool {
        self.context.reach.trusts_idle(address, self.context.uptime_at(idle_since))
    }

    fn exchange_begun(&self, address: &str) {
        self.context.reach.request_sent(self.context.uptime(), address);
    }

    fn bytes_arrived(&self, _: &str) {
        self.context.reach.activity(self.context.uptime());
    }

    fn exchange_ended(&self, address: &str) {
        self.context.reach.request_ended(address);
    }
}
