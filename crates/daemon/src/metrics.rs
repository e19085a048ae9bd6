//! Counters, gauges and histograms of the daemon.
//!
//! Owns: every counter, gauge and histogram; names are stable. Relies on: prometheus.

use curlewcleat_core::{RefusalReason, RetryReason, Verdict};
use curlewcleat_node::NodeStatus;
use curlewcleat_peers::TransportCounts;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use spdlog::prelude::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Bounds of times in seconds.
const TIME_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.56, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// All metrics; see docs/OPERATIONS.md for what each says.
pub struct DaemonMetrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    ends: IntCounterVec,
    wait: HistogramVec,
    first_byte: HistogramVec,
    callers_gone: IntCounter,
    callers_stalled: IntCounter,
    platform_errors: IntCounterVec,
    reports: IntCounterVec,
    generation: IntGauge,
    table: IntGauge,
    key_slots: IntGauge,
    keys: IntGauge,
    in_progress: IntGauge,
    peers_live: IntGauge,
    waiting: IntGaugeVec,
    in_flight: IntGaugeVec,
    frames: IntGaugeVec,
    counts: Arc<TransportCounts>,
}

impl DaemonMetrics {
    /// Registers everything, with each reason at zero.
    ///
    /// # Errors
    /// Where a name is registered twice.
    pub fn new(counts: Arc<TransportCounts>) -> prometheus::Result<DaemonMetrics> {
        let registry = Registry::new();
        let metrics = DaemonMetrics {
            requests: counter(
                &registry,
                "requests_total",
                "Requests that matched a rule",
                &["tier", "pool"],
            )?,
            refusals: counter(
                &registry,
                "refusals_total",
                "Refusals by reason",
                &["reason", "tier", "pool"],
            )?,
            retries: counter(
                &registry,
                "retries_total",
                "Retries inside the system by reason",
                &["reason"],
            )?,
            ends: counter(
                &registry,
                "ends_total",
                "Dispatched requests by verdict",
                &["verdict", "tier", "pool"],
            )?,
            wait: histogram(&registry, "wait_seconds", "Time from arrival to dispatch")?,
            first_byte: histogram(
                &registry,
                "first_byte_seconds",
                "Time from arrival to the answer's first byte",
            )?,
            callers_gone: single(
                &registry,
                "callers_gone_total",
                "Callers that left before their answer was whole",
            )?,
            callers_stalled: single(
                &registry,
                "callers_stalled_total",
                "Callers given up because they did not read",
            )?,
            platform_errors: counter(
                &registry,
                "platform_errors_total",
                "Failed platform calls",
                &["call"],
            )?,
            reports: counter(&registry, "target_reports_total", "Reports of targets", &["result"])?,
            generation: gauge(&registry, "config_generation", "Configuration in force")?,
            table: gauge(&registry, "key_table_version", "Known key table")?,
            key_slots: gauge(&registry, "key_slots", "Key slots held")?,
            keys: gauge(&registry, "keys", "Keys held")?,
            in_progress: gauge(&registry, "requests_in_progress", "Requests in progress")?,
            peers_live: gauge(&registry, "peers_live", "Reachable peers")?,
            waiting: gauges(
                &registry,
                "queue_length",
                "Asks that wait at this scheduler",
                &["pool"],
            )?,
            in_flight: gauges(
                &registry,
                "permits_in_use",
                "Permits given by this scheduler",
                &["pool"],
            )?,
            frames: gauges(
                &registry,
                "peer_frames",
                "Peer frames and their bytes since the start",
                &["kind"],
            )?,
            counts,
            registry,
        };
        for reason in RefusalReason::ALL {
            metrics.refusals.with_label_values(&[reason.code(), "", ""]);
        }
        for reason in RetryReason::ALL {
            metrics.retries.with_label_values(&[reason.code()]);
        }
        Ok(metrics)
    }

    /// A request matched a rule.
    pub fn request(&self, tier: &str, pool: &str) {
        self.requests.with_label_values(&[tier, pool]).inc();
    }

    /// A request was refused; tier and pool are empty where no rule matched.
    pub fn refusal(&self, reason: RefusalReason, tier: &str, pool: &str) {
        self.refusals.with_label_values(&[reason.code(), tier, pool]).inc();
    }

    /// Something was tried again.
    pub fn retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.code()]).inc();
    }

    /// A dispatched request ended.
    pub fn end(&self, verdict: Verdict, tier: &str, pool: &str) {
        let verdict = match verdict {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        };
        self.ends.with_label_values(&[verdict, tier, pool]).inc();
    }

    /// A request was dispatched after this many seconds.
    pub fn waited(&self, seconds: f64, tier: &str, pool: &str) {
        self.wait.with_label_values(&[tier, pool]).observe(seconds);
    }

    /// An answer began after this many seconds.
    pub fn began(&self, seconds: f64, tier: &str, pool: &str) {
        self.first_byte.with_label_values(&[tier, pool]).observe(seconds);
    }

    /// A caller left.
    pub fn caller_gone(&self) {
        self.callers_gone.inc();
    }

    /// A target's report was read, or could not be.
    pub fn report(&self, taken: bool) {
        let result = if taken { "taken" } else { "failed" };
        self.reports.with_label_values(&[result]).inc();
    }

    /// A caller left parts of its answer unread for too long.
    pub fn caller_stalled(&self) {
        self.callers_stalled.inc();
    }

    /// A call of the platform failed.
    pub fn platform_error(&self, call: &str) {
        self.platform_errors.with_label_values(&[call]).inc();
    }

    /// The metrics as text, with the gauges of a node's status.
    pub fn render(&self, status: &NodeStatus) -> String {
        self.set_gauges(status);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            error!("metrics_not_written", kv: { error = error.to_string() });
            String::new()
        })
    }

    fn set_gauges(&self, status: &NodeStatus) {
        self.generation.set(status.generation as i64);
        self.table.set(status.table as i64);
        self.key_slots.set(status.key_slots as i64);
        self.keys.set(status.keys as i64);
        self.in_progress.set(status.requests as i64);
        self.peers_live.set(status.peers.iter().filter(|(_, peer)| peer.live).count() as i64);
        for pool in &status.pools {
            self.waiting.with_label_values(&[&pool.id]).set(pool.waiting as i64);
            self.in_flight.with_label_values(&[&pool.id]).set(pool.in_flight as i64);
        }
        let kinds = [
            ("sent", &self.counts.sent),
            ("sent_bytes", &self.counts.sent_bytes),
            ("dropped", &self.counts.dropped),
            ("received", &self.counts.received),
            ("unreadable", &self.counts.unreadable),
        ];
        for (kind, count) in kinds {
            self.frames.with_label_values(&[kind]).set(count.load(Ordering::Relaxed) as i64);
        }
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("curlewcleat")
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let counter = IntCounterVec::new(options(name, help), labels)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn single(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::with_opts(options(name, help))?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::with_opts(options(name, help))?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntGaugeVec> {
    let gauges = IntGaugeVec::new(options(name, help), labels)?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    let options =
        HistogramOpts::new(name, help).namespace("curlewcleat").buckets(TIME_BUCKETS.to_vec());
    let histogram = HistogramVec::new(options, &["tier", "pool"])?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
