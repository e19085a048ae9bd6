//! Waits for the next data from the target that runs the request.
//!
//! Owns: the rule when a stalled target is replaced: only if the request may be repeated, and only by a target that
//! the node has granted and that accepts a connection; a target that confirms the end of an answer is waited for in the
//! same way. Relies on: the node, which grants a replacement if there is one and otherwise sends no decision.

use std::future::{pending, Future};
use std::pin::Pin;
use std::time::{Duration, Instant};

use curlewcleat_core::{PermitId, TargetEntry, VersionDigest};
use curlewcleat_node::CallerDecision;
use curlewcleat_sched::AnswerEnd;
use curlewcleat_targets::{PooledConnection, Result};
use spdlog::prelude::*;

use super::admitted::AdmittedRequest;
use super::protocol::CallerProtocol;
use crate::context::DaemonContext;
use crate::pending::PendingRequest;

/// Minimum wait before another target is requested, so that a request without remaining time ends at its deadline
/// first.
const MIN_STALL_LIMIT: Duration = Duration::from_millis(10);

/// A target that was granted, with the connection to it if one is established.
pub struct GrantedTarget {
    pub entry: TargetEntry,
    pub connection: Option<PooledConnection>,
}

/// Why another target is requested during a wait.
#[derive(Clone, Copy, Debug)]
pub enum ReplacementReason {
    /// The target is stalled.
    Stalled,
    /// Another target has to confirm the end of the answer, which the target has ended.
    EndConfirmed(AnswerEnd),
}

/// Result of a wait.
pub enum WaitEnd<T> {
    /// The expected value arrived.
    Arrived(T),
    /// The target stalled and is replaced by this one.
    Replaced(Box<GrantedTarget>),
    /// The limit has passed and the request may not move to another target.
    TimedOut,
}

/// A wait for the target that runs a request.
pub struct TargetWait<'a> {
    pub context: &'a DaemonContext,
    /// `None` where the request may not move to another target; then the limit ends the wait.
    pub pending: Option<&'a mut PendingRequest>,
    pub protocol: &'a dyn CallerProtocol,
    pub request: &'a AdmittedRequest,
    pub target: &'a TargetEntry,
    /// Version that a target must have to continue the answer, `None` for any.
    pub version: Option<VersionDigest>,
    pub reason: ReplacementReason,
    /// Longest time for the wait, `None` for the limit of its phase.
    pub limit: Option<Duration>,
}

/// A granted replacement to which a connection is being established.
struct ConnectingTarget {
    permit: PermitId,
    entry: TargetEntry,
    connecting: Pin<Box<dyn Future<Output = Result<PooledConnection>>>>,
}

/// Next event in a wait during which the target may be replaced.
enum WaitStep<T> {
    Arrived(T),
    Granted(PermitId, TargetEntry),
    Connected(Result<PooledConnection>),
    IntervalPassed,
}

/// A wait during which the target may be replaced.
struct ReplaceableWait<'a> {
    context: &'a DaemonContext,
    pending: &'a mut PendingRequest,
    protocol: &'a dyn CallerProtocol,
    request: &'a AdmittedRequest,
    target: &'a TargetEntry,
    version: Option<VersionDigest>,
    reason: ReplacementReason,
    replacement: Option<ConnectingTarget>,
}

impl TargetWait<'_> {
    /// Returns whether a target has the version that is required to continue the answer.
    pub fn allows(&self, target: &TargetEntry) -> bool {
        allows_version(self.version, target)
    }

    /// Waits for `expected`, at most for `limit` if the request may not move to another target. If it may, the wait
    /// requests another target after `limit`, doubles the interval after each such request, and goes on until
    /// `expected` arrives or a replacement is connected. Dropping the wait with its exchange abandons the target.
    pub async fn wait<T>(self, limit: Duration, expected: impl Future<Output = T>) -> WaitEnd<T> {
        let limit = self.limit.map_or(limit, |longest| limit.min(longest));
        let TargetWait { context, pending, protocol, request, target, version, reason, .. } = self;
        match pending {
            Some(pending) => {
                let wait = ReplaceableWait {
                    context,
                    pending,
                    protocol,
                    request,
                    target,
                    version,
                    reason,
                    replacement: None,
                };
                wait.run(limit.max(MIN_STALL_LIMIT), expected).await
            }
            None => match tokio::time::timeout(limit, expected).await {
                Ok(value) => WaitEnd::Arrived(value),
                Err(_) => WaitEnd::TimedOut,
            },
        }
    }
}

fn allows_version(required: Option<VersionDigest>, target: &TargetEntry) -> bool {
    required.is_none_or(|required| required == VersionDigest::of(target.version.as_ref()))
}

impl ReplaceableWait<'_> {
    /// Waits until `expected` arrives or a replacement is connected.
    async fn run<T>(
        mut self,
        mut interval: Duration,
        expected: impl Future<Output = T>,
    ) -> WaitEnd<T> {
        tokio::pin!(expected);
        let started = Instant::now();
        let mut replacement_due = started + interval;
        loop {
            match self.next_step(expected.as_mut(), replacement_due).await {
                WaitStep::Arrived(value) => {
                    self.put_back_replacement();
                    return WaitEnd::Arrived(value);
                }
                WaitStep::Granted(permit, entry) => self.connect_replacement(permit, entry),
                WaitStep::Connected(result) => {
                    if let Some(granted) = self.finish_connecting(result) {
                        return WaitEnd::Replaced(Box::new(granted));
                    }
                }
                WaitStep::IntervalPassed => {
                    self.request_replacement(started.elapsed());
                    interval *= 2;
                    replacement_due += interval;
                }
            }
        }
    }

    /// Waits for the next event; if several are ready, the first branch has priority.
    async fn next_step<T>(
        &mut self,
        expected: Pin<&mut impl Future<Output = T>>,
        replacement_due: Instant,
    ) -> WaitStep<T> {
        let no_replacement = self.replacement.is_none();
        let connected = async {
            match &mut self.replacement {
                Some(replacement) => (&mut replacement.connecting).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            value = expected => WaitStep::Arrived(value),
            result = connected => WaitStep::Connected(result),
            // While the request is at a target, the node sends no other kind of decision.
            Some(CallerDecision::Dispatch(permit, entry)) = self.pending.decision(),
                if no_replacement =>
            {
                WaitStep::Granted(permit, entry)
            }
            () = tokio::time::sleep_until(replacement_due.into()), if no_replacement => {
                WaitStep::IntervalPassed
            }
        }
    }

    /// Requests another target from the node.
    fn request_replacement(&mut self, stalled: Duration) {
        if let ReplacementReason::EndConfirmed(end) = self.reason {
            return self.pending.confirm_end(end);
        }
        info!("target_silent", kv: {
            request = self.pending.id().to_string(), target = self.target.id.as_str(),
            silent_ms = stalled.as_millis() as i64
        });
        self.pending.target_stalled();
    }

    /// Starts to connect to the replacement, or declines it if the request no longer needs it or may not be sent to
    /// it. The stalled target is kept until the replacement accepts a connection: if connecting failed after the
    /// target was abandoned, an answer that has begun could only be cut, though its target may still be working.
    fn connect_replacement(&mut self, permit: PermitId, entry: TargetEntry) {
        let excluded = self.context.gate.stop(self.context.uptime(), &entry).is_some()
            || !allows_version(self.version, &entry);
        let sendable = self.protocol.check_sendable(self.request).is_ok();
        let is_needed = match self.reason {
            ReplacementReason::Stalled => self.pending.is_stalled(),
            ReplacementReason::EndConfirmed(_) => true,
        };
        if !is_needed || !sendable || excluded {
            return self.pending.decline_replacement();
        }
        let connections = self.protocol.connections(&self.request.pool);
        let limit = self.protocol.limits(self.request).connect;
        let target = entry.clone();
        let request = Some(self.request.id);
        let connecting =
            Box::pin(async move { connections.connect_to(&target, limit, request).await });
        self.replacement = Some(ConnectingTarget { permit, entry, connecting });
    }

    /// Accepts the replacement if the connection was established; otherwise the request stays at the stalled target.
    fn finish_connecting(&mut self, result: Result<PooledConnection>) -> Option<GrantedTarget> {
        let entry = self.replacement.take()?.entry;
        match result {
            Ok(connection) => {
                self.pending.accept_replacement();
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

    /// Keeps a replacement that is not yet connected as the next decision: the next wait declines it, or the attempt
    /// that follows an interruption uses it.
    fn put_back_replacement(&mut self) {
        if let Some(ConnectingTarget { permit, entry, .. }) = self.replacement.take() {
            self.pending.put_back(CallerDecision::Dispatch(permit, entry));
        }
    }
}
