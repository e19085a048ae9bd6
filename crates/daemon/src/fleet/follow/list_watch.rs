//! Waits for changes to a list that is read again after each change.
//!
//! Owns: nothing; these are methods of [`FleetFollower`]. Relies on: the platform, which may end a watch at any time.

use std::time::{Duration, Instant};

use curlewcleat_core::ObjectVersion;
use curlewcleat_store::{ListWatch, StoreFuture};
use spdlog::prelude::*;

use super::{FleetFollower, READER_PAUSE};

/// Longest wait of a watch.
pub(super) const WATCH_LIMIT: Duration = Duration::from_secs(20);

impl FleetFollower {
    /// Waits until a list may have changed since a revision. `call` names the watch in logs and metrics.
    pub(super) async fn wait_for_list_change<'p>(
        &self,
        call: &str,
        mut at: ObjectVersion,
        watch: impl Fn(ObjectVersion) -> StoreFuture<'p, ListWatch>,
    ) {
        loop {
            let begun = Instant::now();
            self.context.metrics.count_platform_call(call);
            match watch(at).await {
                Ok(ListWatch::Unchanged(newer)) => at = newer,
                Ok(ListWatch::Changed) => return,
                Err(error) => {
                    self.context.metrics.count_platform_error(call);
                    debug!("platform_call_failed", kv: { call, error = error.to_string() });
                    return tokio::time::sleep(READER_PAUSE).await;
                }
            }
            // A watch may return early without a change; the next one is delayed.
            tokio::time::sleep(READER_PAUSE.saturating_sub(begun.elapsed())).await;
        }
    }
}
