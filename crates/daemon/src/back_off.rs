//! The back-off between calls of the platform.
//!
//! Owns: how long the next pause lasts. Relies on: its loop, which resets it after a call that
//! succeeded.

use std::future::Future;
use std::ops::RangeInclusive;
use std::time::Duration;

use curlewcleat_store::Error;
use rand::Rng;
use spdlog::prelude::*;

use crate::context::DaemonContext;

/// How pauses grow.
#[derive(Clone, Debug, PartialEq)]
pub struct BackOffOptions {
    /// First pause; each further one is twice as long.
    pub first: Duration,
    /// Longest pause.
    pub limit: Duration,
    /// A pause is multiplied by a number drawn from this range.
    pub jitter: RangeInclusive<f64>,
}

/// Pauses between calls, longer each time.
pub struct BackOff {
    options: BackOffOptions,
    next: Duration,
}

impl BackOff {
    /// A back-off that begins with its first pause.
    pub fn new(options: BackOffOptions) -> BackOff {
        BackOff { next: options.first, options }
    }

    /// Begins with the first pause again.
    pub fn reset(&mut self) {
        self.next = self.options.first;
    }

    /// Goes on with the longest pause.
    pub fn skip_to_longest(&mut self) {
        self.next = self.options.limit;
    }

    /// Counts a failed call, and logs the first one of several.
    pub fn failed(&self, call: &str, error: &Error, context: &DaemonContext) {
        context.metrics.platform_error(call);
        if self.next == self.options.first {
            warn!("platform_call_failed", kv: { call, error = error.to_string() });
        }
    }

    /// Waits for the next pause.
    pub async fn wait(&mut self) {
        self.wait_until(self.options.limit, std::future::pending()).await;
    }

    /// Waits, `limit` at most, or until something happens.
    pub async fn wait_until(&mut self, limit: Duration, happens: impl Future<Output = ()>) {
        let jitter = rand::rng().random_range(self.options.jitter.clone());
        // Whether the time or the event ended the wait makes no difference.
        let _ = tokio::time::timeout(self.next.min(limit).mul_f64(jitter), happens).await;
        self.next = (self.next * 2).min(self.options.limit);
    }
}
