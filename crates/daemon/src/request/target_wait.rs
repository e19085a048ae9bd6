//! The wait for the next sign of a target that has the request.
//!
//! Owns: the rule when a stalled target is left: where the request may be repeated, only for another one that the
//! node has granted and that takes a connection. Relies on: the node, which grants one or says nothing.

use std::future::{pending, Future};
use std::pin::Pin;
use std::time::{Duration, Instant};

use curlewcleat_core::{PermitId, TargetEntry};
use curlewcleat_node::CallerDecision;
use curlewcleat_targets::{PooledConnection, Result};
use spdlog::prelude::*;

use super::admitted::AdmittedRequest;
use super::protocol::CallerProtocol;
use crate::context::DaemonContext;
use crate::pending::PendingRequest;

/// Least time after which another target is asked for: where no time is left, the deadline comes first.
const LEAST_PAUSE: Duration = Duration::from_millis(10);

/// A target that was granted, with the connection to it where one stands.
pub struct GrantedTarget {
    pub entry: TargetEntry,
    pub connection: Option<PooledConnection>,
}

/// How a wait ended.
pub enum WaitEnd<T> {
    /// What was waited for has come.
    Came(T),
    /// The target is left for this one.
    Replaced(Box<GrantedTarget>),
    /// The limit has passed and the request may not go elsewhere.
    TimedOut,
}

/// Waits for a target.
pub struct TargetWait<'a> {
    pub context: &'a DaemonContext,
    /// `None` where the request may not go to another target; then the limit ends the wait.
    pub pending: Option<&'a mut PendingRequest>,
    pub protocol: &'a dyn CallerProtocol,
    pub request: &'a AdmittedRequest,
    pub target: &'a TargetEntry,
}

/// Another target that was granted and is being connected to.
struct OfferedTarget {
    permit: PermitId,
    entry: TargetEntry,
    connecting: Pin<Box<dyn Future<Output = Result<PooledConnection>>>>,
}

/// What happens next in a wait that may end at another target.
enum WaitStep<T> {
    Came(T),
    Granted(PermitId, TargetEntry),
    Connected(Result<PooledConnection>),
    Stalled,
}

/// A wait that may end at another target.
struct ReplaceableWait<'a> {
    context: &'a DaemonContext,
    pending: &'a mut PendingRequest,
    protocol: &'a dyn CallerProtocol,
    request: &'a AdmittedRequest,
    target: &'a TargetEntry,
    offered: Option<OfferedTarget>,
}

impl TargetWait<'_> {
    /// Waits for `expected`, for `limit` where the request may not go elsewhere. Where it may, another target is
    /// asked for after `limit`, again after twice as long and so on, and the wait goes on meanwhile. Dropped with
    /// its exchange, it leaves the target.
    pub async fn wait<T>(self, limit: Duration, expected: impl Future<Output = T>) -> WaitEnd<T> {
        let TargetWait { context, pending, protocol, request, target } = self;
        match pending {
            Some(pending) => {
                let offered = None;
                let wait = ReplaceableWait { context, pending, protocol, request, target, offered };
                wait.run(limit.max(LEAST_PAUSE), expected).await
            }
            None => match tokio::time::timeout(limit, expected).await {
                Ok(value) => WaitEnd::Came(value),
                Err(_) => WaitEnd::TimedOut,
            },
        }
    }
}

impl ReplaceableWait<'_> {
    async fn run<T>(
        mut self,
        mut pause: Duration,
        expected: impl Future<Output = T>,
    ) -> WaitEnd<T> {
        tokio::pin!(expected);
        let begun = Instant::now();
        let mut ask_at = begun + pause;
        loop {
            match self.next_step(expected.as_mut(), ask_at).await {
                WaitStep::Came(value) => {
                    self.put_offer_back();
                    return WaitEnd::Came(value);
                }
                WaitStep::Granted(permit, entry) => self.consider(permit, entry),
                WaitStep::Connected(result) => {
                    if let Some(granted) = self.connected(result) {
                        return WaitEnd::Replaced(Box::new(granted));
                    }
                }
                WaitStep::Stalled => {
                    self.ask(begun.elapsed());
                    pause *= 2;
                    ask_at += pause;
                }
            }
        }
    }

    async fn next_step<T>(
        &mut self,
        expected: Pin<&mut impl Future<Output = T>>,
        ask_at: Instant,
    ) -> WaitStep<T> {
        let free = self.offered.is_none();
        let connected = async {
            match &mut self.offered {
                Some(offered) => (&mut offered.connecting).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            value = expected => WaitStep::Came(value),
            result = connected => WaitStep::Connected(result),
            // While the request is at a target the node decides nothing else.
            Some(CallerDecision::Dispatch(permit, entry)) = self.pending.decision(), if free => {
                WaitStep::Granted(permit, entry)
            }
            () = tokio::time::sleep_until(ask_at.into()), if free => WaitStep::Stalled,
        }
    }

    fn ask(&mut self, stalled: Duration) {
        info!("target_silent", kv: {
            request = self.pending.id().to_string(), target = self.target.id.as_str(),
            silent_ms = stalled.as_millis() as i64
        });
        self.pending.target_stalled();
    }

    /// The stalled target is not left before the other one takes a connection: where that fails, an answer that
    /// has begun could only be cut, though its target may be at work.
    fn consider(&mut self, permit: PermitId, entry: TargetEntry) {
        let excluded = self.context.gate.stop(self.context.uptime(), &entry.instance()).is_some();
        let sendable = self.protocol.check_sendable(self.request).is_ok();
        if !self.pending.is_stalled() || !sendable || excluded {
            return self.pending.decline_replacement();
        }
        let connections = self.protocol.connections(&self.request.pool);
        let limit = self.protocol.limits(self.request).connect;
        let target = entry.clone();
        let connecting = Box::pin(async move { connections.connect_to(&target, limit).await });
        self.offered = Some(OfferedTarget { permit, entry, connecting });
    }

    fn connected(&mut self, result: Result<PooledConnection>) -> Option<GrantedTarget> {
        let entry = self.offered.take()?.entry;
        match result {
            Ok(connection) => {
                self.pending.take_replacement();
                Some(GrantedTarget { entry, connection: Some(connection) })
            }
            Err(error) => {
                info!("replacement_unreachable", kv: {
                    request = self.pending.id().to_string(), target = entry.id.as_str(),
                    error = error.to_string()
                });
                self.pending.replacement_unreachable();
                None
            }
        }
    }

    /// The grant stands until the next wait, which declines it, or until an attempt that broke off is followed by it.
    fn put_offer_back(&mut self) {
        if let Some(OfferedTarget { permit, entry, .. }) = self.offered.take() {
            self.pending.put_back(CallerDecision::Dispatch(permit, entry));
        }
    }
}
