//! Counters, gauges and histograms of the daemon.
//!
//! Owns: nothing; each module owns the metrics of its subject, whose names are stable. Relies on: `registry` for their
//! registration, `gauges` for the values of the node's status.

mod budget_gauges;
mod caller_metrics;
mod feature_gauges;
mod gauges;
mod load_metrics;
mod platform_metrics;
mod registry;
mod request_metrics;
mod target_metrics;

use std::sync::Arc;

use curlewcleat_node::NodeStatus;
use curlewcleat_peers::TransportCounts;
use spdlog::prelude::*;

use self::caller_metrics::CallerMetrics;
use self::gauges::StatusGauges;
use self::load_metrics::LoadMetrics;
use self::platform_metrics::PlatformMetrics;
use self::registry::MetricRegistry;
use self::request_metrics::RequestMetrics;
use self::target_metrics::TargetMetrics;
use crate::byte_budget::BudgetStatus;
use crate::target_reach::SharedReach;

/// All metrics of the daemon; docs/OPERATIONS.md describes each of them.
pub struct DaemonMetrics {
    /// What the daemon's processor can handle.
    pub load: LoadMetrics,
    registry: MetricRegistry,
    requests: RequestMetrics,
    callers: CallerMetrics,
    targets: TargetMetrics,
    platform: PlatformMetrics,
    gauges: StatusGauges,
}

impl DaemonMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// If a name is registered twice.
    pub fn new(counts: Arc<TransportCounts>) -> prometheus::Result<DaemonMetrics> {
        let registry = MetricRegistry::default();
        Ok(DaemonMetrics {
            load: LoadMetrics::new(&registry)?,
            requests: RequestMetrics::new(&registry)?,
            callers: CallerMetrics::new(&registry)?,
            targets: TargetMetrics::new(&registry)?,
            platform: PlatformMetrics::new(&registry)?,
            gauges: StatusGauges::new(&registry, counts)?,
            registry,
        })
    }

    /// Returns the metrics as text, with the gauges set from a node's status, the links to targets and the byte budget.
    pub fn render(
        &self,
        status: &NodeStatus,
        reach: &SharedReach,
        budget: Option<&BudgetStatus>,
    ) -> String {
        self.gauges.set(status);
        if let Some(budget) = budget {
            self.gauges.set_budget(budget);
        }
        self.gauges.set_links(reach.is_partitioned(), reach.lost_links());
        self.registry.render().unwrap_or_else(|error| {
            error!("metrics_not_written", kv: { error = error.to_string() });
            String::new()
        })
    }
}
