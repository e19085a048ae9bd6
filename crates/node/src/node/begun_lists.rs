//! Stores lists of the streams whose version the splits don't prove, beside the splits.
//!
//! The daemon that schedules is a keeper, so that it gets a report of each stream that begins while a pool has several
//! versions.
//!
//! Owns: when a pool's streams are listed. Relies on: `begun_lists` for which streams are, [`StreamVersions`] for what is
//! remembered.

use curlewcleat_core::{PoolId, StreamId, Uptime, VersionDigest, VersionHistory, WallTime};
use curlewcleat_sched::{list_begun, list_interval, listed_version, StreamVersions, LISTED_LIMIT};

use super::version_histories::{PoolHistory, REPEAT_AFTER};
use super::Node;

/// Most streams that are looked at for one list.
const REVIEWED_LIMIT: usize = 2 * LISTED_LIMIT;

impl Node {
    /// Returns the version that began a stream by the lists that this daemon has read.
    pub(super) fn listed_version(&self, stream: &StreamId) -> Option<VersionDigest> {
        let mut pools = self.histories.pools.values();
        pools.find_map(|pool| listed_version(&pool.history, stream))
    }
}

impl PoolHistory {
    /// Returns the history to store, with the streams listed whose version it does not tell. `decided` is the one to be
    /// stored in any case.
    pub(super) fn with_lists(
        &mut self,
        id: &PoolId,
        (now, wall): (Uptime, WallTime),
        versions: &StreamVersions,
        decided: Option<VersionHistory>,
    ) -> Option<VersionHistory> {
        if !(decided.is_some() || self.is_list_due(now)) || !versions.is_mixed(now, id) {
            return decided;
        }
        self.last_list = Some(now);
        let begun = versions.newest_streams().take(REVIEWED_LIMIT);
        let begun = begun.map(|(stream, at)| (stream, wall.saturating_sub(now.saturating_sub(at))));
        let current = decided.as_ref().unwrap_or(&self.history);
        let listed = list_begun(current, wall, begun);
        if listed.is_some() {
            self.list_requested = Some(now);
        }
        listed.or(decided)
    }

    fn is_list_due(&self, now: Uptime) -> bool {
        let interval = list_interval(&self.history);
        let is_pending = self.list_requested.is_some_and(|at| now < at + REPEAT_AFTER);
        !is_pending && self.last_list.is_none_or(|last| now >= last + interval)
    }
}
