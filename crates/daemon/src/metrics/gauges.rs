//! Gauges of a node's status, of peer frames, of the byte budget and of the process's memory.
//!
//! Owns: the gauges, which are set when the metrics are read. Relies on: [`NodeStatus`] and the counts of the
//! transport.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use curlewcleat_core::FaultEffect;
use curlewcleat_node::NodeStatus;
use curlewcleat_peers::TransportCounts;
use prometheus::{IntGauge, IntGaugeVec, Result};

use super::budget_gauges::BudgetGauges;
use super::feature_gauges::FeatureGauges;
use super::registry::MetricRegistry;
use crate::byte_budget::BudgetStatus;
use crate::memory::resident_bytes;

/// All gauges of one daemon.
pub struct StatusGauges {
    generation: IntGauge,
    config_faults: IntGaugeVec,
    table_version: IntGauge,
    key_slots: IntGauge,
    keys: IntGauge,
    in_progress: IntGauge,
    peers_live: IntGauge,
    features: FeatureGauges,
    waiting: IntGaugeVec,
    in_flight: IntGaugeVec,
    returns_booked: IntGaugeVec,
    returns_redeemed: IntGaugeVec,
    config_intake: IntGaugeVec,
    resident: IntGauge,
    targets_unreachable: IntGauge,
    target_links_lost: IntGauge,
    frames: IntGaugeVec,
    budget: BudgetGauges,
    counts: Arc<TransportCounts>,
}

impl StatusGauges {
    /// Registers all gauges.
    pub fn new(registry: &MetricRegistry, counts: Arc<TransportCounts>) -> Result<StatusGauges> {
        let faults_help = "Values of the configuration in force that cannot be used";
        let permits_help = "Permits given by this scheduler";
        let frames_help = "Peer frames and their bytes since the start";
        let intake_help = "Bytes of configurations that peers have sent since the start";
        Ok(StatusGauges {
            generation: registry.gauge("config_generation", "Configuration in force")?,
            config_faults: registry.gauges("config_faults", faults_help, "effect")?,
            table_version: registry.gauge("key_table_version", "Known key table")?,
            key_slots: registry.gauge("key_slots", "Key slots held")?,
            keys: registry.gauge("keys", "Keys held")?,
            in_progress: registry.gauge("requests_in_progress", "Requests in progress")?,
            peers_live: registry.gauge("peers_live", "Reachable peers")?,
            features: FeatureGauges::new(registry)?,
            waiting: registry.gauges("queue_length", "Asks that wait at this scheduler", "pool")?,
            in_flight: registry.gauges("permits_in_use", permits_help, "pool")?,
            returns_booked: registry.gauges(
                "returns_booked",
                "Refused requests that this scheduler has booked a return for",
                "pool",
            )?,
            returns_redeemed: registry.gauges(
                "returns_redeemed",
                "Requests that came back as booked by this scheduler",
                "pool",
            )?,
            config_intake: registry.gauges("config_intake_bytes", intake_help, "use")?,
            targets_unreachable: registry.gauge(
                "targets_unreachable",
                "1 while this daemon reaches no target, 0 otherwise",
            )?,
            target_links_lost: registry
                .gauge("target_links_lost", "Targets that only peers reach for this daemon")?,
            resident: registry.gauge("resident_bytes", "Resident memory of the process")?,
            frames: registry.gauges("peer_frames", frames_help, "kind")?,
            budget: BudgetGauges::new(registry)?,
            counts,
        })
    }

    /// Sets the gauges of this daemon's links to targets.
    pub fn set_links(&self, is_partitioned: bool, links_lost: usize) {
        self.targets_unreachable.set(i64::from(is_partitioned));
        self.target_links_lost.set(links_lost as i64);
    }

    /// Sets the gauges of the byte budget.
    pub fn set_budget(&self, budget: &BudgetStatus) {
        self.budget.set(budget);
    }

    /// Sets all gauges from a status, the transport's counts and the process's memory.
    pub fn set(&self, status: &NodeStatus) {
        self.generation.set(status.generation as i64);
        for effect in FaultEffect::ALL {
            let faults = status.config_faults.iter().filter(|fault| fault.effect == effect);
            self.config_faults.with_label_values(&[effect.code()]).set(faults.count() as i64);
        }
        self.table_version.set(status.table as i64);
        self.key_slots.set(status.key_slots as i64);
        self.keys.set(status.keys as i64);
        self.in_progress.set(status.requests as i64);
        self.peers_live.set(status.peers.iter().filter(|(_, peer)| peer.live).count() as i64);
        self.features.set(status);
        for pool in &status.pools {
            self.waiting.with_label_values(&[&pool.id]).set(pool.waiting as i64);
            self.in_flight.with_label_values(&[&pool.id]).set(pool.in_flight as i64);
            let returns = pool.returns;
            self.returns_booked.with_label_values(&[&pool.id]).set(returns.booked as i64);
            self.returns_redeemed.with_label_values(&[&pool.id]).set(returns.redeemed as i64);
        }
        let intake = status.config_intake;
        for (use_label, bytes) in [("taken", intake.taken), ("unused", intake.unused)] {
            self.config_intake.with_label_values(&[use_label]).set(bytes as i64);
        }
        // If the memory cannot be read, the gauge keeps its last value; `log_usage` logs the error.
        if let Ok(bytes) = resident_bytes() {
            self.resident.set(bytes as i64);
        }
        self.set_frames();
    }

    fn set_frames(&self) {
        let kinds = [
            ("sent", &self.counts.sent),
            ("sent_bytes", &self.counts.sent_bytes),
            ("dropped", &self.counts.dropped),
            ("received", &self.counts.received),
            ("received_bytes", &self.counts.received_bytes),
            ("unreadable", &self.counts.unreadable),
            ("refused", &self.counts.refused),
            ("dialed_anew", &self.counts.redialed),
        ];
        for (kind, count) in kinds {
            self.frames.with_label_values(&[kind]).set(count.load(Ordering::Relaxed) as i64);
        }
    }
}
