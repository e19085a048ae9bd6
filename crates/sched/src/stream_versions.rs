//! Remembers which version of a pool's targets began a stream, and whether the pool has several versions.
//!
//! A stream continues at the version that began it. While a pool has several versions, daemons report to each other
//! which version begins which stream, and also for some time after their first stream of a pool: its splits may be too new
//! to prove anything. What no daemon remembers is proved by the stored splits
//! ([`version_history`](crate::version_history)), or is not known.
//!
//! Load pattern: a release replaces targets one by one, while targets and daemons fail and callers take up their
//! streams at other daemons; a large fleet has just begun, and callers take up its first streams.
//!
//! Owns: the streams and versions that were reported to it. Relies on: the caller for the exchange with other daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{PoolId, StreamId, StreamVersion, Uptime, VersionDigest};

/// Time for which a stream is remembered after it was begun or continued, and a version after its last target was
/// removed.
const RETENTION: Duration = Duration::from_secs(30);
/// Time after its first stream of a pool for which a daemon reports its streams. No stream of the pool can have begun before
/// its first split was stored. That one is replaced within a second and in force for the term of a split after that, and
/// proofs count back by their margin for clocks further than to the stream.
const FIRST_STREAMS_TIME: Duration = Duration::from_secs(10);
/// Most streams that are remembered; the oldest are forgotten first. Each needs some 100 bytes.
const STREAM_LIMIT: usize = 1 << 17;

/// What a daemon knows of the streams and versions of its pools.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    streams: BTreeMap<StreamId, RememberedStream>,
    /// The same streams, by when they were begun or last continued.
    by_time: BTreeSet<(Uptime, StreamId)>,
    pools: BTreeMap<PoolId, BTreeMap<VersionDigest, VersionPresence>>,
    /// When a target first began a stream of a pool for a caller of this daemon.
    first_begun: BTreeMap<PoolId, Uptime>,
}

/// A stream that is remembered.
#[derive(Clone, Copy, Debug)]
struct RememberedStream {
    version: VersionDigest,
    /// When it was begun or last continued.
    at: Uptime,
    /// Whether a target began it for a caller of this daemon.
    is_own: bool,
}

/// When targets of a version were seen.
#[derive(Clone, Copy, Debug)]
struct VersionPresence {
    /// When the last target was found to be removed, `None` while there are targets.
    removed: Option<Uptime>,
}

impl VersionPresence {
    /// Returns whether there are targets of the version, or were a short time ago.
    fn is_recent(&self, now: Uptime) -> bool {
        self.removed.is_none_or(|removed| now < removed + RETENTION)
    }
}

impl StreamVersions {
    /// Records the versions that the targets of a pool have now. Returns whether the pool has several from now on.
    pub fn set_versions(
        &mut self,
        now: Uptime,
        pool: &PoolId,
        versions: &BTreeSet<VersionDigest>,
    ) -> bool {
        let was_mixed = self.is_mixed(now, pool);
        let presences = self.pools.entry(pool.clone()).or_default();
        presences.retain(|_, presence| presence.is_recent(now));
        for (version, presence) in presences.iter_mut() {
            match versions.contains(version) {
                true => presence.removed = None,
                false => presence.removed = presence.removed.or(Some(now)),
            }
        }
        for version in versions {
            presences.entry(*version).or_insert(VersionPresence { removed: None });
        }
        !was_mixed && self.is_mixed(now, pool)
    }

    /// Returns the versions of a pool that have targets, or had them a short time ago.
    fn recent<'a>(
        &'a self,
        now: Uptime,
        pool: &str,
    ) -> impl Iterator<Item = (&'a VersionDigest, &'a VersionPresence)> {
        let presences = self.pools.get(pool).into_iter().flatten();
        presences.filter(move |(_, presence)| presence.is_recent(now))
    }

    /// Returns whether a pool has targets of several versions, or had them a short time ago.
    pub fn is_mixed(&self, now: Uptime, pool: &str) -> bool {
        self.recent(now, pool).nth(1).is_some()
    }

    /// Records that a target has begun a stream of a pool for a caller of this daemon.
    pub fn record_begin(&mut self, now: Uptime, pool: &PoolId) {
        self.first_begun.entry(pool.clone()).or_insert(now);
    }

    /// Returns whether streams of a pool are reported to other daemons: the splits may not prove their versions.
    pub fn is_reported(&self, now: Uptime, pool: &str) -> bool {
        let first_begun = self.first_begun.get(pool);
        let is_new = first_begun.is_some_and(|first| now < *first + FIRST_STREAMS_TIME);
        is_new || self.is_mixed(now, pool)
    }

    /// Records the version that began a stream, or at which it was continued.
    pub fn remember(&mut self, now: Uptime, stream: StreamVersion, is_own: bool) {
        self.forget_old(now);
        let StreamVersion { stream, version } = stream;
        let known = self.streams.get(&stream).copied();
        // A stream has one version; another report of it cannot be right for both.
        if known.is_some_and(|known| known.version != version) {
            return;
        }
        let is_own = is_own || known.is_some_and(|known| known.is_own);
        if let Some(known) = known {
            self.by_time.remove(&(known.at, stream));
        }
        self.streams.insert(stream, RememberedStream { version, at: now, is_own });
        self.by_time.insert((now, stream));
        if self.streams.len() > STREAM_LIMIT {
            self.forget_oldest();
        }
    }

    fn forget_old(&mut self, now: Uptime) {
        while self.by_time.first().is_some_and(|(at, _)| now >= *at + RETENTION) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, stream)) = self.by_time.pop_first() {
            self.streams.remove(&stream);
        }
    }

    /// Returns the version that began a stream, `None` if it was not reported to this daemon.
    pub fn version_of(&self, stream: &StreamId) -> Option<VersionDigest> {
        self.streams.get(stream).map(|known| known.version)
    }

    /// Returns the streams that targets began for callers of this daemon.
    pub fn own_streams(&self, now: Uptime) -> Vec<StreamVersion> {
        let own =
            self.streams.iter().filter(|(_, known)| known.is_own && now < known.at + RETENTION);
        own.map(|(stream, known)| StreamVersion { stream: *stream, version: known.version })
            .collect()
    }

    /// Returns the streams that are remembered with when each was begun, continued or reported, the newest first.
    pub fn newest_streams(&self) -> impl Iterator<Item = (StreamVersion, Uptime)> + '_ {
        self.by_time.iter().rev().filter_map(|(at, stream)| {
            let version = self.streams.get(stream)?.version;
            Some((StreamVersion { stream: *stream, version }, *at))
        })
    }

    /// Returns at most `limit` streams that were begun, continued or reported since a time: those that targets began for
    /// callers of this daemon before others, and the newest first.
    pub fn streams_since(&self, now: Uptime, since: Uptime, limit: usize) -> Vec<StreamVersion> {
        let is_recent = |at: Uptime| at >= since && now < at + RETENTION;
        let newest = self.by_time.iter().rev().take_while(|(at, _)| is_recent(*at));
        let known = newest.filter_map(|(_, id)| self.streams.get(id).map(|known| (*id, *known)));
        let (own, others): (Vec<_>, Vec<_>) = known.partition(|(_, known)| known.is_own);
        let first = own.into_iter().chain(others).take(limit);
        first.map(|(stream, known)| StreamVersion { stream, version: known.version }).collect()
    }
}
