//! Exponential back-off between calls to the platform.
//!
//! Owns: the length of the next pause. Relies on: the calling loop, which resets it after a successful call.

use std::future::Future;
use std::ops::RangeInclusive;
use std::time::Duration;

use curlewcleat_store::Error;
use rand::Rng;
use spdlog::prelude::*;

use crate::context::DaemonContext;

/// Lengths of the pauses.
#[derive(Clone, Debug, PartialEq)]
pub struct BackOffOptions {
    /// First pause; each further one is twice as long, up to the limit.
    pub first: Duration,
    /// Longest pause.
    pub limit: Duration,
    /// Range of the random factor by which each pause is multiplied.
    pub jitter: RangeInclusive<f64>,
}

/// Pauses between calls, each twice as long as the one before.
pub struct BackOff {
    options: BackOffOptions,
    next: Duration,
}

impl BackOff {
    /// Creates a back-off that begins with its first pause.
    pub fn new(options: BackOffOptions) -> BackOff {
        BackOff { next: options.first, options }
    }

    /// Makes the next pause the first one again.
    pub fn reset(&mut self) {
        self.next = self.options.first;
    }

    /// Makes the next pause the longest one.
    pub fn skip_to_longest(&mut self) {
        self.next = self.options.limit;
    }

    /// Counts a failed call, and logs it if it is the first of a series.
    pub fn record_failure(&self, call: &str, error: &Error, context: &DaemonContext) {
        context.metrics.count_platform_error(call);
        if self.next == self.options.first {
            warn!("platform_call_failed", kv: { call, error = error.to_string() });
        }
    }

    /// Waits for the next pause.
    pub async fn wait(&mut self) {
        self.wait_at_most(self.options.limit, std::future::pending()).await;
    }

    /// Waits for the next pause, for `limit` at most, or until `event` completes.
    pub async fn wait_at_most(&mut self, limit: Duration, event: impl Future<Output = ()>) {
        let jitter = rand::rng().random_range(self.options.jitter.clone());
        // It makes no difference whether the time or the event ended the wait.
        let _ = tokio::time::timeout(self.next.min(limit).mul_f64(jitter), event).await;
        self.next = (self.next * 2).min(self.options.limit);
    }
}
