//! Metrics of requests: their number, refusals, retries, ends and times.
//!
//! Owns: the registered metrics. Relies on: the runs of requests for the values.

use curlewcleat_core::{RefusalReason, RetryReason, Verdict};
use curlewcleat_targets::{DeviationKind, FormBasis, IrregularityKind};
use prometheus::{HistogramVec, IntCounterVec, Result};

use super::registry::MetricRegistry;
use super::DaemonMetrics;
use crate::request::{EndStatement, TargetLiveness};

/// Name and description of the counter of [`TargetLiveness`].
const END_CHECKS: (&str, &str) = (
    "answer_end_checks_total",
    "Answers that ended with their connection, by what their target did afterwards",
);
/// Name and description of the counter of [`EndStatement`].
const END_STATEMENTS: (&str, &str) = (
    "answer_end_confirmations_total",
    "Ends of unframed answers that another target was asked to confirm, by its statement",
);
/// Name and help of the counter of compared streams.
const COMPARED: (&str, &str) = (
    "streams_compared_total",
    "Streams that callers have whole, by what their events were compared with",
);

/// Requests, and how they end.
pub struct RequestMetrics {
    matched: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    ends: IntCounterVec,
    answer_ends: IntCounterVec,
    end_checks: IntCounterVec,
    end_statements: IntCounterVec,
    stream_irregularities: IntCounterVec,
    streams_compared: IntCounterVec,
    stream_deviations: IntCounterVec,
    wait: HistogramVec,
    first_byte: HistogramVec,
}

impl RequestMetrics {
    /// Registers the metrics. Counters by reason start with a zero for each reason.
    ///
    /// # Errors
    /// If a name is registered twice.
    pub fn new(registry: &MetricRegistry) -> Result<RequestMetrics> {
        let count = |name, help, labels: &[&str]| registry.counters(name, help, labels);
        let metrics = RequestMetrics {
            matched: count("requests_total", "Requests that matched a rule", &["tier", "pool"])?,
            refusals: count("refusals_total", "Refusals by reason", &["reason", "tier", "pool"])?,
            retries: count("retries_total", "Retries inside the system by reason", &["reason"])?,
            ends: count(
                "ends_total",
                "Dispatched requests by verdict",
                &["verdict", "tier", "pool"],
            )?,
            answer_ends: count(
                "answer_ends_total",
                "Served answers by what marked the end of the target's answer",
                &["ended_by", "tier", "pool"],
            )?,
            end_checks: registry.counters(END_CHECKS.0, END_CHECKS.1, &["liveness"])?,
            end_statements: registry.counters(
                END_STATEMENTS.0,
                END_STATEMENTS.1,
                &["statement"],
            )?,
            stream_irregularities: count(
                "stream_irregularities_total",
                "Answers of targets with irregular event numbers, by what is irregular",
                &["kind"],
            )?,
            streams_compared: count(COMPARED.0, COMPARED.1, &["with"])?,
            stream_deviations: count(
                "stream_deviations_total",
                "Answers of targets with events unlike those of other streams, by the difference",
                &["kind"],
            )?,
            wait: registry.histograms("wait_seconds", "Time from arrival to dispatch")?,
            first_byte: registry
                .histograms("first_byte_seconds", "Time from arrival to the answer's first byte")?,
        };
        metrics.begin_with_zeros();
        Ok(metrics)
    }

    /// Begins the counters by reason, which are then known before the first count.
    fn begin_with_zeros(&self) {
        for reason in RefusalReason::ALL {
            self.refusals.with_label_values(&[reason.code(), "", ""]);
        }
        for reason in RetryReason::ALL {
            self.retries.with_label_values(&[reason.code()]);
        }
        for liveness in TargetLiveness::ALL {
            self.end_checks.with_label_values(&[liveness.code()]);
        }
        for statement in EndStatement::ALL {
            self.end_statements.with_label_values(&[statement.code()]);
        }
        for kind in IrregularityKind::ALL {
            self.stream_irregularities.with_label_values(&[kind.code()]);
        }
        for basis in FormBasis::ALL {
            self.streams_compared.with_label_values(&[basis.code()]);
        }
        for kind in DeviationKind::ALL {
            self.stream_deviations.with_label_values(&[kind.code()]);
        }
    }
}

impl DaemonMetrics {
    /// Counts a request that matched a rule.
    pub fn count_request(&self, tier: &str, pool: &str) {
        self.requests.matched.with_label_values(&[tier, pool]).inc();
    }

    /// Counts a served answer by what marked its end.
    pub fn count_answer_end(&self, ended_by: &str, tier: &str, pool: &str) {
        self.requests.answer_ends.with_label_values(&[ended_by, tier, pool]).inc();
    }

    /// Counts an answer that ended with its connection, by what its target did afterwards.
    pub fn count_end_check(&self, liveness: TargetLiveness) {
        self.requests.end_checks.with_label_values(&[liveness.code()]).inc();
    }

    /// Counts the end of an unframed answer by what another target stated about it.
    pub fn count_end_statement(&self, statement: EndStatement) {
        self.requests.end_statements.with_label_values(&[statement.code()]).inc();
    }

    /// Counts an answer with irregular event numbers, by what is irregular.
    pub fn count_stream_irregularity(&self, kind: &str) {
        self.requests.stream_irregularities.with_label_values(&[kind]).inc();
    }

    /// Counts a stream that its caller has whole, by what its events were compared with.
    pub fn count_compared_stream(&self, basis: FormBasis) {
        self.requests.streams_compared.with_label_values(&[basis.code()]).inc();
    }

    /// Counts an answer with events unlike those of other streams, by the difference.
    pub fn count_stream_deviation(&self, kind: &str) {
        self.requests.stream_deviations.with_label_values(&[kind]).inc();
    }

    /// Counts a refused request; tier and pool are empty if no rule matched.
    pub fn count_refusal(&self, reason: RefusalReason, tier: &str, pool: &str) {
        self.requests.refusals.with_label_values(&[reason.code(), tier, pool]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.requests.retries.with_label_values(&[reason.code()]).inc();
    }

    /// Counts the end of a dispatched request.
    pub fn count_end(&self, verdict: Verdict, tier: &str, pool: &str) {
        let verdict = match verdict {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        };
        self.requests.ends.with_label_values(&[verdict, tier, pool]).inc();
    }

    /// Records the time in seconds between a request's arrival and its dispatch.
    pub fn observe_wait(&self, seconds: f64, tier: &str, pool: &str) {
        self.requests.wait.with_label_values(&[tier, pool]).observe(seconds);
    }

    /// Records the time in seconds between a request's arrival and the first byte of its answer.
    pub fn observe_first_byte(&self, seconds: f64, tier: &str, pool: &str) {
        self.requests.first_byte.with_label_values(&[tier, pool]).observe(seconds);
    }
}
