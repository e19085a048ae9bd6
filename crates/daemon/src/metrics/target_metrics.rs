//! Metrics of targets: their reports and notices, and the connections to them.
//!
//! Owns: the registered metrics. Relies on: attempts, reports and the gate for the values.

use curlewcleat_core::LoadFault;
use curlewcleat_targets::ExcessForm;
use prometheus::{IntCounter, IntCounterVec, Result};

use super::registry::MetricRegistry;
use super::DaemonMetrics;

/// Reports and notices of targets, and the connections to them.
pub struct TargetMetrics {
    reports: IntCounterVec,
    terminated: IntCounter,
    gate_stops: IntCounterVec,
    load_faults: IntCounterVec,
    excesses: IntCounterVec,
    relays: IntCounterVec,
    connections: IntCounterVec,
}

impl TargetMetrics {
    /// Registers the metrics. Counters by reason start with a zero for each reason.
    ///
    /// # Errors
    /// If a name is registered twice.
    pub fn new(registry: &MetricRegistry) -> Result<TargetMetrics> {
        let count = |name, help, labels: &[&str]| registry.counters(name, help, labels);
        let metrics = TargetMetrics {
            reports: count("target_reports_total", "Reports of targets", &["result"])?,
            terminated: registry.counter(
                "targets_ended_under_requests_total",
                "Ends of targets that were found to have happened under a request, one for each of them",
            )?,
            gate_stops: count(
                "gate_stops_total",
                "Requests not sent to a target, by what the target had said",
                &["cause"],
            )?,
            load_faults: count(
                "target_load_faults_total",
                "Stated loads of targets of which figures were ignored, by cause",
                &["cause"],
            )?,
            excesses: count(
                "target_answer_excesses_total",
                "Answers ended because of bytes that could not be delivered, by where these were",
                &["form"],
            )?,
            relays: count(
                "relays_total",
                "Connections to targets through a peer that were asked for or served, by outcome",
                &["role", "outcome"],
            )?,
            connections: count(
                "target_connections_total",
                "Attempts sent to targets, by where their connection came from",
                &["origin", "pool", "data_centre"],
            )?,
        };
        metrics.begin_at_zero();
        Ok(metrics)
    }

    fn begin_at_zero(&self) {
        for fault in LoadFault::ALL {
            self.load_faults.with_label_values(&[fault.code()]);
        }
        for form in ExcessForm::ALL {
            self.excesses.with_label_values(&[form.code()]);
        }
    }
}

impl DaemonMetrics {
    /// Counts a connection through a peer that this daemon has asked for or served.
    pub fn count_relay(&self, role: &str, outcome: &str) {
        self.targets.relays.with_label_values(&[role, outcome]).inc();
    }

    /// Counts an attempt by where its connection to the target came from.
    pub fn count_target_connection(&self, origin: &str, pool: &str, data_centre: &str) {
        self.targets.connections.with_label_values(&[origin, pool, data_centre]).inc();
    }

    /// Counts a read of a target's report, successful or failed.
    pub fn count_report(&self, succeeded: bool) {
        let result = if succeeded { "taken" } else { "failed" };
        self.targets.reports.with_label_values(&[result]).inc();
    }

    /// Counts a target that terminated while running a request.
    pub fn count_target_terminated(&self) {
        self.targets.terminated.inc();
    }

    /// Counts a request that was not sent to a target because of the target's notices.
    pub fn count_gate_stop(&self, cause: &str) {
        self.targets.gate_stops.with_label_values(&[cause]).inc();
    }

    /// Counts an answer that was ended because of bytes that could not be delivered.
    pub fn count_answer_excess(&self, form: ExcessForm) {
        self.targets.excesses.with_label_values(&[form.code()]).inc();
    }

    /// Counts a stated load of a target of which figures were ignored.
    pub fn count_load_fault(&self, cause: &str) {
        self.targets.load_faults.with_label_values(&[cause]).inc();
    }
}
