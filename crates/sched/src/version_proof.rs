//! Proves which version of a pool's targets began a stream that no daemon remembers, by the stored splits.
//!
//! A stream may have begun under each split that was in force since its caller's first attempt can have been made. If
//! all of them give its slot the same version, that version began it. Otherwise it is not known, and the proof states why.
//!
//! Owns: when a stream can have begun, and what a proof needs. Relies on: [`version_history`](crate::version_history) for
//! when a split is in force.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{StreamId, VersionDigest, VersionHistory, VersionSplit, WallTime};

use crate::version_history::TIMEOUT_LIMIT;

/// Difference of the clocks of two daemons that a proof allows for, and the time for which a request may have been under way.
const CLOCK_MARGIN: Duration = Duration::from_millis(2_500);

/// Why the version that began a stream is not proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnprovedReason {
    /// The daemon that was asked does not know the pool.
    PoolNotKnown,
    /// No longest timeout is stored for the pool.
    TimeoutNotStored,
    /// The stored timeout is so long that it stands for any longer one.
    TimeoutTooLong,
    /// The caller does not state the time that it has left.
    TimeNotStated,
    /// The caller has more time left than is stored.
    TimeNotCovered,
    /// No split has come into use.
    NoSplit,
    /// The stream can have begun while the first split that is kept was in force.
    BeforeFirstSplit,
    /// Several versions can have begun it, and the caller does not name it.
    StreamNotNamed,
    /// Several versions can have begun it, since a rollout decided which one did.
    SplitOpen,
    /// The splits in force give its slot several versions.
    VersionsDiffer,
}

impl UnprovedReason {
    /// Returns the code for log lines.
    pub fn code(self) -> &'static str {
        match self {
            UnprovedReason::PoolNotKnown => "pool_not_known",
            UnprovedReason::TimeoutNotStored => "timeout_not_stored",
            UnprovedReason::TimeoutTooLong => "timeout_too_long",
            UnprovedReason::TimeNotStated => "time_not_stated",
            UnprovedReason::TimeNotCovered => "time_not_covered",
            UnprovedReason::NoSplit => "no_split",
            UnprovedReason::BeforeFirstSplit => "before_first_split",
            UnprovedReason::StreamNotNamed => "stream_not_named",
            UnprovedReason::SplitOpen => "split_open",
            UnprovedReason::VersionsDiffer => "versions_differ",
        }
    }
}

/// What a proof took into account, and what came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionProof {
    /// The version that began the stream, or why it is not proved.
    pub result: Result<VersionDigest, UnprovedReason>,
    /// How long before the question the stream can have begun, `None` where an input was missing.
    pub reach: Option<Duration>,
    /// Number of splits that were in force since.
    pub splits: usize,
    /// Versions that can have begun the stream by them.
    pub versions: BTreeSet<VersionDigest>,
}

impl VersionProof {
    /// Returns a proof that lacks an input.
    pub fn without(reason: UnprovedReason) -> VersionProof {
        VersionProof { result: Err(reason), reach: None, splits: 0, versions: BTreeSet::new() }
    }

    /// Returns the proof of a stream whose version was reported.
    pub fn known(version: VersionDigest) -> VersionProof {
        VersionProof {
            result: Ok(version),
            reach: None,
            splits: 0,
            versions: BTreeSet::from([version]),
        }
    }

    /// Returns the version that began the stream, `None` if it is not proved.
    pub fn version(&self) -> Option<VersionDigest> {
        self.result.ok()
    }
}

/// Proves which version began a stream. `stream` is `None` where the caller does not name it, and `time_left`, how long the
/// caller still waits, where the caller does not state it.
pub fn prove_version(
    history: &VersionHistory,
    stream: Option<&StreamId>,
    now: WallTime,
    time_left: Option<Duration>,
) -> VersionProof {
    let reach = match longest_age(history, time_left) {
        Ok(age) => age + CLOCK_MARGIN,
        Err(reason) => return VersionProof::without(reason),
    };
    let begun_after = now.saturating_sub(reach);
    let in_force: Vec<&VersionSplit> =
        history.splits.iter().filter(|split| is_in_force_after(split, begun_after)).collect();
    let versions: BTreeSet<VersionDigest> =
        in_force.iter().flat_map(|split| split.candidates(stream)).collect();
    // Streams began at any version before the first split was in use; where it is not the first any more, earlier ones
    // may have been in force until then.
    let first_ended = history.splits.first().map(|first| !is_in_force_after(first, begun_after));
    let result = match (first_ended, versions.first()) {
        (None, _) | (_, None) => Err(UnprovedReason::NoSplit),
        (Some(false), _) => Err(UnprovedReason::BeforeFirstSplit),
        (_, Some(version)) if versions.len() == 1 => Ok(*version),
        _ if stream.is_none() => Err(UnprovedReason::StreamNotNamed),
        _ if in_force.iter().any(|split| split.is_open) => Err(UnprovedReason::SplitOpen),
        _ => Err(UnprovedReason::VersionsDiffer),
    };
    VersionProof { result, reach: Some(reach), splits: in_force.len(), versions }
}

/// Returns how long ago the caller's first attempt can have been made.
fn longest_age(
    history: &VersionHistory,
    time_left: Option<Duration>,
) -> Result<Duration, UnprovedReason> {
    let longest = history.longest_timeout.ok_or(UnprovedReason::TimeoutNotStored)?;
    if longest >= TIMEOUT_LIMIT {
        return Err(UnprovedReason::TimeoutTooLong);
    }
    let time_left = time_left.ok_or(UnprovedReason::TimeNotStated)?;
    // A caller with more time than was ever stored tells nothing of when it began.
    longest.checked_sub(time_left).ok_or(UnprovedReason::TimeNotCovered)
}

/// Returns whether a stream that began after a time may have begun by a split.
fn is_in_force_after(split: &VersionSplit, begun_after: WallTime) -> bool {
    split.until.is_none_or(|until| until >= begun_after)
}
