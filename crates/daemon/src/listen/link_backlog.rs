//! Decides whether the link of the VM has room for another connection of a caller.
//!
//! Load pattern: for some seconds a load balancer sends one daemon more bytes of request bodies than its link can carry.
//! Each connection takes its share of the link, so all bodies arrive late. A caller whose connection is closed unread
//! loses a moment, since its next one meets another daemon.
//!
//! The rule: a connection counts with the mean size of a request until its head states the size, and the link carries
//! what is counted at its bandwidth. Where it needs longer for that than a limit, connections are closed unread; a burst
//! after a pause may take twice the limit, so that chance bursts at a daemon that is not crowded are read whole. One in each
//! limit is read nevertheless, so that callers are served if they send less than their heads state. What a caller
//! sends later than the link could have carried it is no longer counted: a slow caller leaves the link to others.
//!
//! Owns: the bytes that callers are about to send. Relies on: heads that state the size of their body.

#[cfg(test)]
mod tests;

use std::time::Duration;

use curlewcleat_clock::Moment;

/// Bytes that a caller sends before it learns that its connection is closed: one packet.
const CLOSED_SIZE: f64 = 1_500.0;
/// Number of requests over which their mean size is taken.
const MEAN_REQUESTS: f64 = 64.0;
/// Fraction of the limit for which one request counts at most. Connections beside a larger body still get their share of
/// the link.
const REQUEST_DIVISOR: u32 = 2;

/// Multiple of the limit that a burst may take of the link.
const BURST_FACTOR: u32 = 2;
/// Multiple of the limit for which the link is used without a pause before that is no burst any more.
const BURST_TIME: u32 = 8;

/// Bytes that the link has to carry for callers.
pub struct LinkBacklog {
    bytes_per_second: f64,
    /// Bytes still to be carried at `updated`.
    bytes: f64,
    updated: Moment,
    /// When the link had nothing to carry last.
    idle: Moment,
    /// Mean size of a request in bytes.
    mean_size: f64,
    /// When a connection was admitted last; `None` before the first.
    admitted: Option<Moment>,
}

impl LinkBacklog {
    /// Creates the backlog of a link with nothing to carry.
    pub fn new(bytes_per_second: u64, now: Moment) -> LinkBacklog {
        LinkBacklog {
            bytes_per_second: bytes_per_second as f64,
            bytes: 0.0,
            updated: now,
            idle: now,
            mean_size: 0.0,
            admitted: None,
        }
    }

    /// Counts a new connection. Returns the bytes expected of it, or `None` if it is to be closed unread.
    pub fn admit(&mut self, now: Moment, limit: Duration) -> Option<f64> {
        self.carry(now);
        let is_due = self.admitted.is_none_or(|at| now.saturating_duration_since(at) >= limit);
        if !is_due && self.bytes > self.capacity(self.bound(now, limit)) {
            self.bytes += CLOSED_SIZE;
            return None;
        }
        self.admitted = Some(now);
        self.bytes += self.mean_size;
        Some(self.mean_size)
    }

    /// Counts a request whose head states its size, of which `expected` bytes were counted before.
    pub fn record_request(&mut self, now: Moment, size: u64, expected: f64, limit: Duration) {
        self.carry(now);
        let size = (size as f64).min(self.capacity(limit / REQUEST_DIVISOR));
        self.mean_size += (size - self.mean_size) / MEAN_REQUESTS;
        self.bytes = (self.bytes + size - expected).max(0.0);
    }

    /// Returns the time that the link may need for what it has to carry.
    fn bound(&self, now: Moment, limit: Duration) -> Duration {
        let is_burst = now.saturating_duration_since(self.idle) < limit * BURST_TIME;
        if is_burst {
            limit * BURST_FACTOR
        } else {
            limit
        }
    }

    /// Returns the bytes that the link carries in a time.
    fn capacity(&self, time: Duration) -> f64 {
        self.bytes_per_second * time.as_secs_f64()
    }

    /// Subtracts what the link has carried until now.
    fn carry(&mut self, now: Moment) {
        let carried = self.capacity(now.saturating_duration_since(self.updated));
        self.bytes = (self.bytes - carried).max(0.0);
        self.updated = now;
        if self.bytes == 0.0 {
            self.idle = now;
        }
    }
}
