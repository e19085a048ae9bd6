//! Detects watches that no longer deliver.
//!
//! A connection may stall permanently while others work, so a watch that keeps waiting proves nothing. Each read of the
//! configuration states the version of the store. If that is later than the version up to which a watch has delivered,
//! the changes after the latter are requested by a second call, which does not wait and uses another connection. The
//! watch is abandoned if that call finds changes.
//!
//! Owns: nothing; these are methods of [`FleetFollower`]. Relies on: reads of the configuration, each on a connection
//! without a waiting call.

use std::time::{Duration, Instant};

use curlewcleat_core::ObjectVersion;
use curlewcleat_store::{Result, StoreFuture};
use spdlog::prelude::*;

use super::FleetFollower;

/// Most checks of a watch within the time between two reads. The pause before a check lets the watch deliver the changes
/// that the read has shown, and one check cover changes in quick succession.
const CHECKS_PER_READ: u32 = 2;

/// Names of the calls of a watch in logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchCalls {
    /// The call that waits for changes.
    pub watch: &'static str,
    /// The call that checks whether the watch has missed changes.
    pub check: &'static str,
}

impl FleetFollower {
    /// Records the version of the store that a read of the configuration has stated.
    pub(super) fn record_store_version(&self, version: Option<ObjectVersion>) {
        let Some(version) = version else { return };
        self.store_version.send_if_modified(|latest| {
            let is_later = version > *latest;
            *latest = version.max(*latest);
            is_later
        });
    }

    /// Checks a watch that has delivered all changes up to `delivered` whenever a read shows a later version of the
    /// store. Returns the first result with changes that the watch has missed. `unchanged_until` returns the version of
    /// a result without changes.
    pub(super) async fn check_watch<'p, T>(
        &self,
        calls: WatchCalls,
        mut delivered: ObjectVersion,
        watch: &impl Fn(ObjectVersion, Duration) -> StoreFuture<'p, T>,
        unchanged_until: impl Fn(&T) -> Option<ObjectVersion>,
    ) -> Result<T> {
        let begun = Instant::now();
        loop {
            self.wait_for_version_after(delivered).await;
            tokio::time::sleep(self.limits.read_every / CHECKS_PER_READ).await;
            let shown = *self.store_version.borrow();
            self.context.metrics.count_platform_call(calls.check);
            let checked = watch(delivered, Duration::ZERO).await?;
            let Some(version) = unchanged_until(&checked) else {
                let waited_ms = begun.elapsed().as_millis() as u64;
                warn!("watch_behind", kv: { call = calls.watch, delivered, shown, waited_ms });
                return Ok(checked);
            };
            // The store answers no read with an earlier state than a previous one.
            delivered = version.max(shown);
        }
    }

    /// Waits until a read shows a later version of the store than `version`.
    async fn wait_for_version_after(&self, version: ObjectVersion) {
        let mut latest = self.store_version.subscribe();
        // The sender is a field of `self`, so the channel cannot close while this waits.
        let _ = latest.wait_for(|latest| *latest > version).await;
    }
}
