//! Gauges of the features of requests under which targets terminated.
//!
//! Owns: the registered gauges. Relies on: the status of the node for the values.

use curlewcleat_core::FeatureKind;
use curlewcleat_node::NodeStatus;
use prometheus::{IntGauge, IntGaugeVec, Result};

use super::registry::MetricRegistry;

/// Numbers of suspect and refused features, whole requests apart from parts of prompts.
pub struct FeatureGauges {
    suspect_requests: IntGauge,
    lethal_requests: IntGauge,
    suspect_parts: IntGaugeVec,
    lethal_parts: IntGaugeVec,
}

impl FeatureGauges {
    /// Registers the gauges.
    ///
    /// # Errors
    /// Returns an error if a name is registered already.
    pub fn new(registry: &MetricRegistry) -> Result<FeatureGauges> {
        Ok(FeatureGauges {
            suspect_requests: registry
                .gauge("suspect_requests", "Requests under which targets ended, or may have")?,
            lethal_requests: registry.gauge(
                "lethal_requests",
                "Requests that are refused since targets ended under them",
            )?,
            suspect_parts: registry.gauges(
                "suspect_parts",
                "Parts of prompts under which targets ended, or may have, by kind of feature",
                "kind",
            )?,
            lethal_parts: registry.gauges(
                "lethal_parts",
                "Parts of prompts with which requests are refused, by kind of feature",
                "kind",
            )?,
        })
    }

    /// Sets the gauges from a status.
    pub fn set(&self, status: &NodeStatus) {
        for kind in FeatureKind::ALL {
            let suspects = status.suspects.iter().filter(|report| report.feature.kind == kind);
            let refused = status.refused.iter().filter(|feature| feature.kind == kind);
            let (suspects, refused) = (suspects.count() as i64, refused.count() as i64);
            if kind.is_shared() {
                self.suspect_parts.with_label_values(&[kind.code()]).set(suspects);
                self.lethal_parts.with_label_values(&[kind.code()]).set(refused);
            } else {
                self.suspect_requests.set(suspects);
                self.lethal_requests.set(refused);
            }
        }
    }
}
