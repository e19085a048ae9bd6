//! What the process uses: one log line every few seconds, so that the log of a process that was killed
//! tells what it held shortly before.
//!
//! Owns: the line `daemon_usage`. Relies on: `memory`, the node's status, the transport's counts.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_node::NodeStatus;
use curlewcleat_peers::TransportCounts;
use spdlog::prelude::*;

use crate::context::DaemonContext;
use crate::memory::resident_bytes;

/// Time between two lines: a fifth of a line a second, and memory that grows too fast for it shows in the bytes of
/// the line before.
const USAGE_EVERY: Duration = Duration::from_secs(5);
/// Bytes in a megabyte of the log line. From the unit of VMs' memory.
const MEGABYTE: u64 = 1 << 20;

/// Logs the usage on this arbiter until the process ends.
pub fn log_usage(context: DaemonContext, counts: Arc<TransportCounts>) {
    actix_rt::spawn(async move {
        loop {
            tokio::time::sleep(USAGE_EVERY).await;
            let Some(status) = context.status().await else { return };
            log_line(&status, &counts);
        }
    });
}

fn log_line(status: &NodeStatus, counts: &TransportCounts) {
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
        peer_frames_dropped = counts.dropped.load(Ordering::Relaxed)
    });
}
