//! Gauges of the byte budget.
//!
//! Owns: the gauges, which are set when the metrics are read and stay zero without a memory limit. Relies on:
//! [`BudgetStatus`].

use prometheus::{IntGauge, IntGaugeVec, Result};

use super::registry::MetricRegistry;
use crate::byte_budget::BudgetStatus;

/// The gauges of the byte budget.
pub(super) struct BudgetGauges {
    held: IntGaugeVec,
    decisions: IntGaugeVec,
    budget: IntGauge,
    pressure: IntGauge,
}

impl BudgetGauges {
    /// Registers the gauges.
    pub fn new(registry: &MetricRegistry) -> Result<BudgetGauges> {
        let decisions_help = "Decisions of the byte budget since the start";
        let pressure_help =
            "0 calm, 1 bodies wait, 2 large bodies are refused, 3 slowest readers end";
        Ok(BudgetGauges {
            held: registry.gauges("held_bytes", "Bytes held for callers and targets", "owner")?,
            decisions: registry.gauges("memory_decisions", decisions_help, "decision")?,
            budget: registry
                .gauge("memory_budget_bytes", "Bytes that may be held, 0 without a limit")?,
            pressure: registry.gauge("memory_pressure", pressure_help)?,
        })
    }

    /// Sets the gauges.
    pub fn set(&self, status: &BudgetStatus) {
        for (owner, bytes) in &status.held {
            self.held.with_label_values(&[owner.code()]).set(*bytes as i64);
        }
        let counts = status.counts;
        let decisions = [
            ("body_paused", counts.bodies_paused),
            ("body_refused", counts.bodies_refused),
            ("reader_ended", counts.readers_ended),
            ("reader_stalled", counts.readers_stalled),
        ];
        for (decision, count) in decisions {
            self.decisions.with_label_values(&[decision]).set(count as i64);
        }
        self.budget.set(status.budget as i64);
        self.pressure.set(status.level as i64);
    }
}
