//! Decides at which version of a pool's targets a stream may be continued.
//!
//! Inputs: the streams that targets of this pool have begun, as far as this daemon knows; the versions that the pool
//! has had, and when each was first seen. The rule:
//! 1. A stream continues at the version that began it, where that is known.
//! 2. Where the pool has had one version only, that version began it.
//! 3. A stream that no daemon knows began before a second version was seen, if that was a short time ago: from then on
//!    daemons report to each other which version begins which stream.
//! 4. No other stream is continued.
//!
//! Load pattern: a release replaces targets one by one, while targets and daemons fail and callers take up their
//! streams at other daemons.
//!
//! Owns: the streams and versions that were reported to it. Relies on: the caller for the exchange with other daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{PoolId, StreamId, StreamVersion, Uptime, VersionDigest};

/// Time for which a stream is remembered after it was begun or continued, and a version after its last target was
/// removed.
const RETENTION: Duration = Duration::from_secs(30);
/// Most streams that are remembered; the oldest are forgotten first. Each needs some 100 bytes.
const STREAM_LIMIT: usize = 1 << 17;
/// Time after the second version of a pool was first seen, within which unknown streams belong to the first one.
const UNREPORTED_PERIOD: Duration = Duration::from_secs(5);

/// The version that a stream may be continued at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamBegin {
    /// This version began the stream.
    Version(VersionDigest),
    /// The pool has no targets, so that nothing can be continued now.
    NoTargets,
    /// This daemon does not know it.
    Unknown,
}

/// What a daemon knows of the streams and versions of its pools.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    streams: BTreeMap<StreamId, RememberedStream>,
    /// The same streams, by when they were begun or last continued.
    by_time: BTreeSet<(Uptime, StreamId)>,
    pools: BTreeMap<PoolId, BTreeMap<VersionDigest, VersionPresence>>,
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
    first: Uptime,
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
            presences.entry(*version).or_insert(VersionPresence { first: now, removed: None });
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

    /// Returns the version that began a stream, as far as this daemon knows without the others. `None` stands for a
    /// stream that its caller does not name.
    pub fn find(&self, now: Uptime, pool: &str, stream: Option<&StreamId>) -> StreamBegin {
        if let Some(version) = stream.and_then(|stream| self.version_of(stream)) {
            return StreamBegin::Version(version);
        }
        let mut versions = self.recent(now, pool).map(|(version, _)| *version);
        match (versions.next(), versions.next()) {
            (None, _) => StreamBegin::NoTargets,
            (Some(version), None) => StreamBegin::Version(version),
            _ => StreamBegin::Unknown,
        }
    }

    /// Returns the version that began a stream that no daemon knows.
    pub fn unreported(&self, now: Uptime, pool: &str) -> StreamBegin {
        let mut presences: Vec<_> = self.recent(now, pool).collect();
        presences.sort_by_key(|(_, presence)| presence.first);
        let [(version, first), (_, second), ..] = presences.as_slice() else {
            return self.find(now, pool, None);
        };
        let was_alone = second.first >= first.first + UNREPORTED_PERIOD;
        match was_alone && now < second.first + UNREPORTED_PERIOD {
            true => StreamBegin::Version(**version),
            false => StreamBegin::Unknown,
        }
    }
}
