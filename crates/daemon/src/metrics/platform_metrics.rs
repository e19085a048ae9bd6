//! Metrics of the platform: calls, unusable entries and rollouts.
//!
//! Owns: the registered metrics. Relies on: the platform's adapters and the node for the values.

use curlewcleat_store::FaultReason;
use prometheus::{IntCounterVec, Result};

use super::registry::MetricRegistry;
use super::DaemonMetrics;

/// Calls of the platform, unusable entries, and stages of rollouts.
pub struct PlatformMetrics {
    calls: IntCounterVec,
    errors: IntCounterVec,
    unusable_entries: IntCounterVec,
    rollout_stages: IntCounterVec,
}

impl PlatformMetrics {
    /// Registers the metrics. Counters by reason start with a zero for each reason.
    ///
    /// # Errors
    /// If a name is registered twice.
    pub fn new(registry: &MetricRegistry) -> Result<PlatformMetrics> {
        let count = |name, help, labels: &[&str]| registry.counters(name, help, labels);
        let metrics = PlatformMetrics {
            calls: count("platform_calls_total", "Calls of the platform", &["call"])?,
            errors: count("platform_errors_total", "Failed platform calls", &["call"])?,
            unusable_entries: count(
                "unusable_entries_total",
                "Entries of the platform that came to name nothing to use, by reason",
                &["kind", "reason"],
            )?,
            rollout_stages: count(
                "rollout_stages_total",
                "Stages of roll-outs on which this daemon has decided",
                &["stage", "reason"],
            )?,
        };
        for reason in FaultReason::ALL {
            for kind in ["target", "daemon", "refusal", "rollout"] {
                metrics.unusable_entries.with_label_values(&[kind, reason.code()]);
            }
        }
        Ok(metrics)
    }
}

impl DaemonMetrics {
    /// Counts a rollout stage decided by this daemon.
    pub fn count_rollout_stage(&self, stage: &str, reason: &str) {
        self.platform.rollout_stages.with_label_values(&[stage, reason]).inc();
    }

    /// Counts a call to the platform.
    pub fn count_platform_call(&self, call: &str) {
        self.platform.calls.with_label_values(&[call]).inc();
    }

    /// Counts a list entry of the platform that became unusable, or is unusable for another reason than before.
    pub fn count_unusable_entry(&self, kind: &str, reason: FaultReason) {
        self.platform.unusable_entries.with_label_values(&[kind, reason.code()]).inc();
    }

    /// Counts a failed call to the platform.
    pub fn count_platform_error(&self, call: &str) {
        self.platform.errors.with_label_values(&[call]).inc();
    }
}
