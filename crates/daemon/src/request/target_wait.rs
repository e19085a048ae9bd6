//! The wait for the next sign of a target that has the request.
//!
//! Owns: the rule when a silent target is left: where the request may be repeated, only for another one that the
//! node has granted. Relies on: the node, which grants one or says nothing.

use std::future::Future;
use std::time::{Duration, Instant};

use curlewcleat_core::TargetEntry;
use curlewcleat_node::CallerDecision;
use spdlog::prelude::*;

use crate::context::PendingRequest;

/// How a wait ended.
pub enum WaitEnd<T> {
    /// What was waited for has come.
    Came(T),
    /// The target is left for this one.
    Replaced(Box<TargetEntry>),
    /// The limit has passed and the request may not go elsewhere.
    TimedOut,
}

/// Waits for a target.
pub struct TargetWait<'a> {
    /// `None` where the request may not go to another target; then the limit ends the wait.
    pending: Option<&'a mut PendingRequest>,
    target: &'a TargetEntry,
}

impl<'a> TargetWait<'a> {
    /// A wait for `target`, with the way to the node where the request may go to another one.
    pub fn new(pending: Option<&'a mut PendingRequest>, target: &'a TargetEntry) -> TargetWait<'a> {
        TargetWait { pending, target }
    }

    /// Waits for `expected`, for `limit` where the request may not go elsewhere. Where it may, another target is
    /// asked for after `limit`, again after twice as long and so on, and the wait goes on meanwhile. Dropped with
    /// its exchange, it leaves the target.
    pub async fn wait<T>(self, limit: Duration, expected: impl Future<Output = T>) -> WaitEnd<T> {
        let Some(pending) = self.pending else {
            return match tokio::time::timeout(limit, expected).await {
                Ok(value) => WaitEnd::Came(value),
                Err(_) => WaitEnd::TimedOut,
            };
        };
        tokio::pin!(expected);
        let (begun, mut pause) = (Instant::now(), limit);
        let mut ask_at = begun + pause;
        loop {
            tokio::select! {
                biased;
                value = &mut expected => return WaitEnd::Came(value),
                // While the request is at a target the node decides nothing else.
                Some(CallerDecision::Dispatch(_, target)) = pending.decision() => {
                    if pending.take_replacement() {
                        return WaitEnd::Replaced(Box::new(target));
                    }
                }
                () = tokio::time::sleep_until(ask_at.into()) => {
                    note_silent(pending, self.target, begun.elapsed());
                    pending.target_silent();
                    pause *= 2;
                    ask_at += pause;
                }
            }
        }
    }
}

fn note_silent(pending: &PendingRequest, target: &TargetEntry, silent: Duration) {
    info!("target_silent", kv: {
        request = pending.id().to_string(), target = target.id.as_str(),
        silent_ms = silent.as_millis() as i64
    });
}
