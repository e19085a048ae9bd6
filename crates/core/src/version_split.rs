//! At which version of the targets' software the streams of a pool begin, and since when.
//!
//! Owns: the types, and how a stream selects a slot. Relies on: digests of streams that are spread evenly.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{PoolId, StreamId, StreamKey, VersionDigest, WallTime};

/// Slots of a split. A stream has one of them, whatever the split is.
pub const SPLIT_SLOTS: usize = 16;

/// The versions at which streams begin from a moment on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionSplit {
    /// When the split was decided, by the clock of the daemon that decided it.
    pub since: WallTime,
    /// When the next split came into use, by the clock of the daemon that uses it; `None` while streams may still begin by
    /// this one.
    pub until: Option<WallTime>,
    /// Version of the streams of each slot.
    pub slots: [VersionDigest; SPLIT_SLOTS],
    /// Whether each stream may begin at any of the versions, whatever its slot.
    pub is_open: bool,
}

impl VersionSplit {
    /// Returns the version at which a stream begins, `None` where it may be any.
    pub fn version_of(&self, stream: &StreamId) -> Option<VersionDigest> {
        let slot = self.slots.get(stream.slot(SPLIT_SLOTS)).copied();
        slot.filter(|_| !self.is_open)
    }

    /// Returns the versions at which a stream may have begun; `None` stands for any stream.
    pub fn candidates(&self, stream: Option<&StreamId>) -> BTreeSet<VersionDigest> {
        match stream.and_then(|stream| self.version_of(stream)) {
            Some(version) => BTreeSet::from([version]),
            None => self.slots.iter().copied().collect(),
        }
    }
}

/// Streams that targets of one version have begun, as the platform keeps them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BegunStreams {
    /// When they were listed, by the clock of the daemon that listed them.
    pub listed: WallTime,
    /// The version that began them.
    pub version: VersionDigest,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// The latest splits of a pool, as the platform keeps them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionHistory {
    /// The pool.
    pub pool: PoolId,
    /// Revision of the stored object, `None` while there is none.
    pub revision: Option<u64>,
    /// The splits in the order in which they were decided.
    pub splits: Vec<VersionSplit>,
    /// Longest time that callers have for a stream over all of their attempts, rounded up; `None` if it is not known.
    pub longest_timeout: Option<Duration>,
    /// Streams whose version the splits don't tell, in the order in which they were listed. A daemon of an earlier version
    /// drops them when it stores a split.
    pub begun: Vec<BegunStreams>,
    /// Whether the platform has an object of the pool's name that holds no splits, so that none can be stored. It is not
    /// stored itself.
    pub is_unreadable: bool,
}
