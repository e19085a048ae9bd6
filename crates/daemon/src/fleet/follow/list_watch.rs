//! Waits for changes to a list that is read again after each change.
//!
//! Owns: nothing; these are methods of [`FleetFollower`]. Relies on: the platform, which may end a watch at any time.

use std::time::{Duration, Instant};

use curlewcleat_core::ObjectVersion;
use curlewcleat_store::{ListWatch, Result, StoreFuture};
use spdlog::prelude::*;

use super::watch_check::WatchCalls;
use super::{FleetFollower, READER_PAUSE};

/// Longest wait of a watch.
pub(super) const WATCH_LIMIT: Duration = Duration::from_secs(20);

impl FleetFollower {
    /// Waits until a list may have changed since a version. `watch` waits for changes after a version, at most for the
    /// given time.
    pub(super) async fn wait_for_list_change<'p>(
        &self,
        calls: WatchCalls,
        mut at: ObjectVersion,
        watch: impl Fn(ObjectVersion, Duration) -> StoreFuture<'p, ListWatch>,
    ) {
        loop {
            let begun = Instant::now();
            match self.next_list_watch(calls, at, &watch).await {
                Ok(ListWatch::Unchanged(newer)) => at = newer,
                Ok(ListWatch::Changed) => return,
                Err(error) => {
                    self.context.metrics.count_platform_error(calls.watch);
                    debug!("platform_call_failed", kv: { call = calls.watch, error = error.to_string() });
                    return tokio::time::sleep(READER_PAUSE).await;
                }
            }
            // A watch may return early without a change; the next one is delayed.
            tokio::time::sleep(READER_PAUSE.saturating_sub(begun.elapsed())).await;
        }
    }

    /// Makes one watch, and checks meanwhile that it delivers.
    async fn next_list_watch<'p>(
        &self,
        calls: WatchCalls,
        at: ObjectVersion,
        watch: &impl Fn(ObjectVersion, Duration) -> StoreFuture<'p, ListWatch>,
    ) -> Result<ListWatch> {
        self.context.metrics.count_platform_call(calls.watch);
        let unchanged_until = |watched: &ListWatch| match watched {
            ListWatch::Unchanged(version) => Some(*version),
            ListWatch::Changed => None,
        };
        tokio::select! {
            watched = watch(at, WATCH_LIMIT) => watched,
            missed = self.check_watch(calls, at, watch, unchanged_until) => missed,
        }
    }
}
