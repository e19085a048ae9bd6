//! The links from this daemon to its targets, shared by all threads of the daemon.
//!
//! Owns: the [`TargetReach`] of the daemon, and the log lines about it. Relies on: the tasks that connect to targets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::Uptime;
use curlewcleat_sched::{ReachChange, TargetReach, TargetRoute};
use spdlog::prelude::*;

/// The daemon's [`TargetReach`], shared by its threads.
#[derive(Clone, Default)]
pub struct SharedReach(Arc<Mutex<TargetReach>>);

impl SharedReach {
    /// Returns how to connect to a target.
    pub fn route(&self, address: &str) -> TargetRoute {
        self.lock().route(address)
    }

    /// Returns whether an open connection that became idle at this time may be used.
    pub fn trusts_idle(&self, address: &str, idle_since: Uptime) -> bool {
        self.lock().trusts_idle(address, idle_since)
    }

    /// Returns whether all links to targets count as lost.
    pub fn is_partitioned(&self) -> bool {
        self.lock().is_partitioned()
    }

    /// Returns whether anything has arrived from any target recently.
    pub fn has_recent_activity(&self, now: Uptime) -> bool {
        self.lock().has_recent_activity(now)
    }

    /// Returns the number of targets whose links are known to be lost.
    pub fn lost_links(&self) -> usize {
        self.lock().lost_links()
    }

    /// Records a direct connection that was established.
    pub fn connected(&self, now: Uptime, address: &str) {
        let changes = self.lock().connected(now, address);
        changes.iter().for_each(log_change);
    }

    /// Records a direct connection that failed.
    pub fn connect_failed(&self, now: Uptime, address: &str) {
        let change = self.lock().connect_failed(now, address);
        change.iter().for_each(log_change);
    }

    /// Records that a peer has connected to a target.
    pub fn reached_by_peer(&self, now: Uptime, address: &str) {
        let change = self.lock().reached_by_peer(now, address);
        change.iter().for_each(log_change);
    }

    /// Records that an exchange waits for a target on a direct connection.
    pub fn request_sent(&self, now: Uptime, address: &str) {
        self.lock().request_sent(now, address);
    }

    /// Records that an exchange no longer waits for a target on a direct connection.
    pub fn request_ended(&self, address: &str) {
        self.lock().request_ended(address);
    }

    /// Records that something has arrived from a target on a direct connection.
    pub fn activity(&self, now: Uptime) {
        self.lock().activity(now);
    }

    /// Records a direct connection that broke. Returns whether the cause is probably the link of this daemon.
    pub fn broke(&self, now: Uptime, address: &str) -> bool {
        self.lock().broke(now, address)
    }

    /// Returns the targets to try now with a new direct connection.
    pub fn probes(&self, now: Uptime) -> Vec<String> {
        self.lock().probes(now)
    }

    fn lock(&self) -> MutexGuard<'_, TargetReach> {
        // No panic can leave a change half done, so the value of a poisoned lock is valid.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(change: &ReachChange) {
    match change {
        ReachChange::Partitioned(failed) => {
            warn!("targets_unreachable", kv: { failed = failed.join(" ") })
        }
        ReachChange::PartitionEnded(time) => {
            info!("targets_reachable", kv: { unreachable_ms = time.as_millis() as i64 });
        }
        ReachChange::LinkLost(address) => {
            warn!("target_link_lost", kv: { address = address.as_str() })
        }
        ReachChange::LinkRestored(address) => {
            info!("target_link_restored", kv: { address = address.as_str() });
        }
    }
}
