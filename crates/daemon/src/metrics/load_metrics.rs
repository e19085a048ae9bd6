//! Metrics of what the daemon's processor can handle.
//!
//! Owns: the registered metrics. Relies on: the probe of the loop and the listeners for the values.

use std::time::Duration;

use prometheus::{Histogram, IntCounterVec, Result};

use super::registry::MetricRegistry;

/// Turns of the loop, and connections that were not read for lack of time.
pub struct LoadMetrics {
    loop_turn: Histogram,
    connections_unread: IntCounterVec,
    connections_endless: IntCounterVec,
}

impl LoadMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// If a name is registered twice.
    pub fn new(registry: &MetricRegistry) -> Result<LoadMetrics> {
        Ok(LoadMetrics {
            loop_turn: registry.histogram(
                "loop_turn_seconds",
                "Time until the daemon has handled what was ready",
            )?,
            connections_unread: registry.counters(
                "connections_unread_total",
                "Connections closed unread since the daemon could not read them in time",
                &["listener"],
            )?,
            connections_endless: registry.counters(
                "connections_endless_total",
                "Connections closed since they sent without end",
                &["listener"],
            )?,
        })
    }

    /// Records the time that a turn of the daemon's loop took.
    pub fn observe_turn(&self, time: Duration) {
        self.loop_turn.observe(time.as_secs_f64());
    }

    /// Returns the sum of all turns that were observed, and their number.
    pub fn turns(&self) -> (Duration, u64) {
        let sum = Duration::from_secs_f64(self.loop_turn.get_sample_sum());
        (sum, self.loop_turn.get_sample_count())
    }

    /// Counts a connection that was closed because it sent without end.
    pub fn count_endless(&self, listener: &str) {
        self.connections_endless.with_label_values(&[listener]).inc();
    }

    /// Counts a connection that was closed unread.
    pub fn count_unread(&self, listener: &str) {
        self.connections_unread.with_label_values(&[listener]).inc();
    }
}
