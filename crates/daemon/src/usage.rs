//! Logs the resource usage of the process every few seconds, so that the log of a process that was killed shows its
//! state shortly before.
//!
//! Owns: the log event `daemon_usage`. Relies on: `memory`, the node's status, the transport's counts.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_node::NodeStatus;
use curlewcleat_peers::TransportCounts;
use spdlog::prelude::*;

use crate::byte_budget::{BudgetStatus, SharedBudget};
use crate::context::DaemonContext;
use crate::memory::resident_bytes;

/// Time between two lines: 0.2 lines a second. Memory growth too fast for this interval shows in the byte counts of
/// the line before.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Bytes in a megabyte of the log line: the unit in which the memory of VMs is given.
const MEGABYTE: u64 = 1 << 20;

/// Starts a task on this arbiter that logs the usage until the process ends.
pub fn log_usage(context: DaemonContext, counts: Arc<TransportCounts>) {
    actix_rt::spawn(async move {
        let mut turns = MeanTurn::default();
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            let Some(status) = context.status().await else { return };
            let budget = context.budget.as_ref().map(SharedBudget::status);
            let turn = turns.update(context.metrics.load.turns());
            log_status(&status, &counts, budget.as_ref(), turn);
        }
    });
}

/// Mean time of the loop's turns between two lines.
#[derive(Default)]
struct MeanTurn {
    sum: Duration,
    count: u64,
}

impl MeanTurn {
    /// Returns the mean since the previous call, from the sum and the number of all turns.
    fn update(&mut self, (sum, count): (Duration, u64)) -> Duration {
        // There may have been none in between.
        let number = u32::try_from(count - self.count).unwrap_or(u32::MAX).max(1);
        let mean = sum.saturating_sub(self.sum) / number;
        *self = MeanTurn { sum, count };
        mean
    }
}

fn log_status(
    status: &NodeStatus,
    counts: &TransportCounts,
    budget: Option<&BudgetStatus>,
    loop_turn: Duration,
) {
    let resident_mb = match resident_bytes() {
        Ok(bytes) => (bytes / MEGABYTE) as i64,
        Err(error) => {
            debug!("memory_not_read", kv: { error = error.to_string() });
            -1
        }
    };
    let live = status.peers.iter().filter(|(_, peer)| peer.live).count();
    let intake = status.config_intake;
    info!("daemon_usage", kv: {
        resident_mb, requests = status.requests, peers_live = live, generation = status.generation,
        config_taken_bytes = intake.taken, config_unused_bytes = intake.unused,
        peer_sent_bytes = counts.sent_bytes.load(Ordering::Relaxed),
        peer_received_bytes = counts.received_bytes.load(Ordering::Relaxed),
        peer_frames_dropped = counts.dropped.load(Ordering::Relaxed),
        held_bytes = budget.map_or(-1, |budget| budget.total as i64),
        memory_level = budget.map_or("", |budget| budget.level.code()),
        loop_turn_us = loop_turn.as_micros() as i64
    });
}
