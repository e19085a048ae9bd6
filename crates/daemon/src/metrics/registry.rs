//! Registers metrics under the prefix `curlewcleat`.
//!
//! Owns: the registry. Relies on: prometheus, which rejects a name that is registered twice.

use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, Result, TextEncoder,
};

/// Histogram bounds in seconds: from 1 ms, the time for a permit from another daemon, up to the longest answers.
const TIME_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.56, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// The metrics of one daemon.
#[derive(Default)]
pub struct MetricRegistry {
    registry: Registry,
}

impl MetricRegistry {
    /// Registers a counter without labels.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.register(IntCounter::with_opts(options(name, help)))
    }

    /// Registers counters with labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.register(IntCounterVec::new(options(name, help), labels))
    }

    /// Registers a gauge without labels.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(IntGauge::with_opts(options(name, help)))
    }

    /// Registers gauges with one label.
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(options(name, help), &[label]))
    }

    /// Registers histograms of times in seconds, by tier and pool.
    pub fn histograms(&self, name: &str, help: &str) -> Result<HistogramVec> {
        self.register(HistogramVec::new(histogram_options(name, help), &["tier", "pool"]))
    }

    /// Registers a histogram of times in seconds without labels.
    pub fn histogram(&self, name: &str, help: &str) -> Result<Histogram> {
        self.register(Histogram::with_opts(histogram_options(name, help)))
    }

    /// Returns all metrics as text.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    fn register<C: Collector + Clone + 'static>(&self, metric: Result<C>) -> Result<C> {
        let metric = metric?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("curlewcleat")
}

fn histogram_options(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts { common_opts: options(name, help), buckets: TIME_BUCKETS.into() }
}
