//! Metrics of callers: those that leave or stall, and what they send.
//!
//! Owns: the registered metrics. Relies on: the runs of requests for the values.

use curlewcleat_node::StartObstacle;
use prometheus::{IntCounter, IntCounterVec, Result};

use super::registry::MetricRegistry;
use super::DaemonMetrics;

/// Callers that leave or stall, and what they send.
pub struct CallerMetrics {
    disconnected: IntCounter,
    stalled: IntCounter,
    reserved_headers: IntCounter,
    streams_taken_up: IntCounterVec,
    stream_starts_refused: IntCounterVec,
}

impl CallerMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// If a name is registered twice.
    pub fn new(registry: &MetricRegistry) -> Result<CallerMetrics> {
        let metrics = CallerMetrics {
            disconnected: registry
                .counter("callers_gone_total", "Callers that left before their answer was whole")?,
            stalled: registry
                .counter("callers_stalled_total", "Callers given up because they did not read")?,
            reserved_headers: registry.counter(
                "reserved_headers_total",
                "Headers of callers that ended here since only a daemon may set them",
            )?,
            streams_taken_up: registry.counters(
                "streams_taken_up_total",
                "Streams that callers took up, by how the version that began them was found",
                &["known_from"],
            )?,
            stream_starts_refused: registry.counters(
                "stream_starts_refused_total",
                "New streams that this scheduler refused since no split selects their version",
                &["reason"],
            )?,
        };
        for obstacle in StartObstacle::ALL {
            metrics.stream_starts_refused.with_label_values(&[obstacle.code()]);
        }
        Ok(metrics)
    }
}

impl DaemonMetrics {
    /// Counts a stream that a caller took up, by how the version that began it was found.
    pub fn count_stream_taken_up(&self, known_from: &str) {
        self.callers.streams_taken_up.with_label_values(&[known_from]).inc();
    }

    /// Counts a new stream that this scheduler refused, by what was missing.
    pub fn count_stream_start_refused(&self, reason: &str) {
        self.callers.stream_starts_refused.with_label_values(&[reason]).inc();
    }

    /// Counts headers of a caller that only a daemon may set.
    pub fn count_reserved_headers(&self, count: usize) {
        self.callers.reserved_headers.inc_by(count as u64);
    }

    /// Counts a caller that disconnected before its answer was complete.
    pub fn count_caller_disconnected(&self) {
        self.callers.disconnected.inc();
    }

    /// Counts a caller that did not read its answer for too long.
    pub fn count_caller_stalled(&self) {
        self.callers.stalled.inc();
    }
}
