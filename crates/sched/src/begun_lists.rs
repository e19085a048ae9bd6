//! Lists the streams whose version the splits of a pool don't prove, so that the platform's store knows them after all
//! daemons have been killed.
//!
//! A list states what a target has begun. Unlike a proof it depends on no clock and on no time that a caller states, and a
//! list that is old, or lost in part, is true of what it still holds.
//!
//! Load pattern: all daemons lose power while a version joins, and callers take up their streams.
//!
//! Owns: which streams are listed, for how long and how often. Relies on: the caller for the streams that were begun and for
//! storing the lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    BegunStreams, StreamId, StreamKey, StreamVersion, VersionDigest, VersionHistory, WallTime,
};

use crate::version_proof::prove_version;

/// Most streams that are listed for a pool; the oldest are dropped first.
pub const LISTED_LIMIT: usize = 512;
/// Longest time for which a stream is listed where callers have more.
const LISTED_FOR: Duration = Duration::from_secs(30);
/// Least time between two lists of a pool.
const LEAST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two lists for each stream that is listed, and for each split that is stored with them: the store then gets
/// at most 16 KB a second of a pool.
const STREAM_INTERVAL: Duration = Duration::from_millis(1);
const SPLIT_INTERVAL: Duration = Duration::from_millis(24);

/// Returns the version that began a stream, `None` if it is not listed.
pub fn listed_version(history: &VersionHistory, stream: &StreamId) -> Option<VersionDigest> {
    let key = stream.key();
    let begun = history.begun.iter().find(|begun| begun.streams.contains(&key));
    begun.map(|begun| begun.version)
}

/// Returns the time between two lists of a pool.
pub fn list_interval(history: &VersionHistory) -> Duration {
    let times = |interval: Duration, count: usize| {
        interval.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    };
    let streams = times(STREAM_INTERVAL, listed_count(history));
    let splits = times(SPLIT_INTERVAL, history.splits.len());
    LEAST_INTERVAL.max(streams.saturating_add(splits))
}

/// Returns the history with those of the streams listed whose version it does not tell, `None` where it tells all.
/// `begun` are the streams with when each was begun, the newest first.
pub fn list_begun(
    history: &VersionHistory,
    now: WallTime,
    begun: impl Iterator<Item = (StreamVersion, WallTime)>,
) -> Option<VersionHistory> {
    let listed_for = history.longest_timeout?.min(LISTED_FOR);
    let known: BTreeSet<StreamKey> =
        history.begun.iter().flat_map(|begun| begun.streams.iter().copied()).collect();
    let is_untold = |(StreamVersion { stream, version }, at): &(StreamVersion, WallTime)| {
        let is_named = history.splits.iter().any(|split| split.slots.contains(version));
        is_named && !known.contains(&stream.key()) && !is_proved(history, stream, *at)
    };
    let awaited = begun.take_while(|(_, at)| now < *at + listed_for);
    let mut untold: BTreeMap<VersionDigest, Vec<StreamKey>> = BTreeMap::new();
    for (StreamVersion { stream, version }, _) in awaited.filter(is_untold).take(LISTED_LIMIT) {
        untold.entry(version).or_default().push(stream.key());
    }
    if untold.is_empty() {
        return None;
    }
    let mut extended = history.clone();
    extended.begun.retain(|begun| now < begun.listed + listed_for);
    let new =
        untold.into_iter().map(|(version, streams)| BegunStreams { listed: now, version, streams });
    extended.begun.extend(new);
    drop_oldest(&mut extended);
    Some(extended)
}

/// Returns whether the splits prove the version of a stream, however late its caller takes it up.
fn is_proved(history: &VersionHistory, stream: &StreamId, begun: WallTime) -> bool {
    prove_version(history, Some(stream), begun, Some(Duration::ZERO)).version().is_some()
}

fn listed_count(history: &VersionHistory) -> usize {
    history.begun.iter().map(|begun| begun.streams.len()).sum()
}

fn drop_oldest(history: &mut VersionHistory) {
    let mut excess = listed_count(history).saturating_sub(LISTED_LIMIT);
    for begun in &mut history.begun {
        let dropped = excess.min(begun.streams.len());
        begun.streams.drain(..dropped);
        excess -= dropped;
    }
    history.begun.retain(|begun| !begun.streams.is_empty());
}
