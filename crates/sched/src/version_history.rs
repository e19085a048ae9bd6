//! Decides at which version of a pool's targets a new stream begins, so that
//! [`version_proof`](crate::version_proof) can tell which version began a stream that no daemon remembers.
//!
//! Streams are spread over slots by the digest of their first attempt, and a split gives each slot a version. A split is
//! stored by the platform before it is used, so that what its callers bring back tells the version of a stream even
//! after all daemons have been killed. The rule:
//! 1. A stream begins at the version of its slot, while the pool has targets of it.
//! 2. A daemon uses a split for [`SPLIT_TERM`] after it sent a read that showed it. A split is in force from its decision until
//!    that time after a read has shown the next one, however late the platform has stored that.
//! 3. A stream that is taken up may have begun under each split that was in force since its caller's first attempt can
//!    have been made. If all of them give its slot the same version, that version began it.
//! 4. Otherwise its version is not known.
//! 5. The next split is used by daemons that reach half of the fleet, and those that reach most of it state so in the store; until
//!    then the others begin only streams whose slots keep their version. So a scheduler which reaches most daemons, and not the
//!    platform, knows every split that is used.
//!
//! Load pattern: a release replaces targets one by one, while all daemons are killed at once and callers take up their
//! streams.
//!
//! Owns: when a split changes and how long it is in force, how many are kept. Relies on: the caller for storing and reading them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    StreamId, VersionDigest, VersionHistory, VersionSplit, WallTime, SPLIT_SLOTS,
};

/// Time for which a split may be used, from when the read was sent that showed it.
pub const SPLIT_TERM: Duration = Duration::from_secs(2);
/// Slots by which the share of a version differs from the share of its targets before a split changes. With one slot,
/// each target that fails and returns would change it.
const TOLERATED_SLOTS: usize = 2;
/// Most splits that are stored; the oldest are dropped first.
const SPLIT_LIMIT: usize = 32;
/// Unit of the longest timeout, so that it is stored rarely.
const TIMEOUT_UNIT: Duration = Duration::from_secs(1);
/// Longest timeout that is stored; it stands for any longer one, beside which nothing is proved.
pub(crate) const TIMEOUT_LIMIT: Duration = Duration::from_secs(3_600);

/// Targets of each version that take new requests, weighted by their slots.
pub type VersionWeights = BTreeMap<VersionDigest, u64>;

/// At which version the splits let a new stream begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SplitChoice {
    /// There is no split yet.
    Unsplit,
    /// Any of these versions.
    AnyOf(BTreeSet<VersionDigest>),
    /// This version.
    Version(VersionDigest),
    /// The next split gives its slot another version and may not be used yet, nor the former one any more.
    Undecided,
}

/// Returns at which version a new stream begins. `is_adopting` states whether the daemon may use the last split although no
/// daemon has stated in the store that it is in use. Others begin streams only where that makes no difference.
pub fn choose_version(
    history: &VersionHistory,
    stream: &StreamId,
    is_adopting: bool,
) -> SplitChoice {
    let Some((last, earlier)) = history.splits.split_last() else { return SplitChoice::Unsplit };
    let unended = earlier.iter().filter(|split| !is_adopting && split.until.is_none());
    let is_undecided = unended.clone().next().is_some();
    let mut versions = last.candidates(Some(stream));
    versions.extend(unended.flat_map(|split| split.candidates(Some(stream))));
    match versions.len() {
        1 => versions.pop_first().map_or(SplitChoice::Unsplit, SplitChoice::Version),
        _ if is_undecided => SplitChoice::Undecided,
        _ => SplitChoice::AnyOf(versions),
    }
}

/// Returns whether the stored timeout covers that of a caller, so that proofs count back far enough. Nothing is proved
/// where none can be stored.
pub fn is_timeout_stored(history: &VersionHistory, timeout: Duration) -> bool {
    history.is_unreadable || history.longest_timeout >= Some(timeout.min(TIMEOUT_LIMIT))
}

/// Returns the history with another split or a longer timeout, `None` where the stored one still holds. `is_open`
/// states that a rollout decides which version gets which request.
pub fn revise_history(
    history: &VersionHistory,
    now: WallTime,
    weights: &VersionWeights,
    is_open: bool,
    longest_timeout: Duration,
) -> Option<VersionHistory> {
    let timeout = history.longest_timeout.max(Some(rounded_up(longest_timeout)));
    // Until the first split is in use, streams begin at any version.
    let is_open = is_open || history.splits.is_empty();
    let quotas = quotas(weights, is_open);
    let slots = match history.splits.last() {
        // A pool without targets keeps its split: nothing begins there.
        _ if weights.is_empty() => None,
        Some(last) if last.is_open == is_open && is_tolerated(last, &quotas) => None,
        last => Some(divided(last.map(|last| &last.slots), quotas)),
    };
    let is_changed = slots.is_some() || timeout != history.longest_timeout;
    if !is_changed || (slots.is_none() && history.splits.is_empty()) {
        return None;
    }
    let mut revised = VersionHistory { longest_timeout: timeout, ..history.clone() };
    // The clock of the daemon that decided the last split may be ahead.
    let since = history.splits.last().map_or(now, |last| now.max(last.since));
    revised.splits.extend(slots.map(|slots| VersionSplit { since, until: None, slots, is_open }));
    let excess = revised.splits.len().saturating_sub(SPLIT_LIMIT);
    revised.splits.drain(..excess);
    Some(revised)
}

/// Returns the history that states from when on only the last split is in use, `None` where the stored one does.
pub fn confirm_last_split(history: &VersionHistory, from: WallTime) -> Option<VersionHistory> {
    let (_, earlier) = history.splits.split_last()?;
    if earlier.iter().all(|split| split.until.is_some()) {
        return None;
    }
    let mut confirmed = history.clone();
    let last = confirmed.splits.len().saturating_sub(1);
    for split in confirmed.splits.iter_mut().take(last) {
        split.until.get_or_insert(from);
    }
    Some(confirmed)
}

fn rounded_up(timeout: Duration) -> Duration {
    let units = timeout.min(TIMEOUT_LIMIT).as_millis().div_ceil(TIMEOUT_UNIT.as_millis());
    TIMEOUT_UNIT * u32::try_from(units).unwrap_or(u32::MAX)
}

fn counted(slots: &[VersionDigest]) -> BTreeMap<VersionDigest, usize> {
    let mut counts = BTreeMap::new();
    slots.iter().for_each(|version| *counts.entry(*version).or_default() += 1);
    counts
}

/// Returns whether a split still fits the targets: every slot has a version with targets, and no version has far more or
/// fewer slots than its share. An open split names every version.
fn is_tolerated(split: &VersionSplit, quotas: &BTreeMap<VersionDigest, usize>) -> bool {
    let counts = counted(&split.slots);
    let is_near = |(version, quota): (&VersionDigest, &usize)| match counts.get(version) {
        Some(count) => count.abs_diff(*quota) < TOLERATED_SLOTS,
        None => *quota < if split.is_open { 1 } else { TOLERATED_SLOTS },
    };
    counts.keys().all(|version| quotas.contains_key(version)) && quotas.iter().all(is_near)
}

/// Returns the slots that each version should have, by the largest remainders. In an open split each version has one at
/// least, as far as there are slots.
fn quotas(weights: &VersionWeights, is_open: bool) -> BTreeMap<VersionDigest, usize> {
    let total = weights.values().sum::<u64>().max(1);
    let slots = SPLIT_SLOTS as u64;
    let mut quotas: BTreeMap<_, _> = weights
        .iter()
        .map(|(version, weight)| (*version, (weight * slots / total) as usize))
        .collect();
    let mut by_remainder: Vec<_> = weights
        .iter()
        .map(|(version, weight)| (std::cmp::Reverse(weight * slots % total), *version))
        .collect();
    by_remainder.sort();
    let missing = SPLIT_SLOTS.saturating_sub(quotas.values().sum::<usize>());
    for (_, version) in by_remainder.into_iter().cycle().take(missing) {
        *quotas.entry(version).or_default() += 1;
    }
    if is_open {
        give_each_one(&mut quotas);
    }
    quotas
}

/// Takes slots from the versions that have most, until each version has one or there are no more.
fn give_each_one(quotas: &mut BTreeMap<VersionDigest, usize>) {
    while let Some(without) = quotas.iter().find(|(_, quota)| **quota == 0).map(|(id, _)| *id) {
        let most = quotas.iter().max_by_key(|(_, quota)| **quota).map(|(id, quota)| (*id, *quota));
        let Some((most, 2..)) = most else { return };
        quotas.entry(most).and_modify(|quota| *quota -= 1);
        quotas.insert(without, 1);
    }
}

/// Divides the slots among the versions; as many slots as possible keep their version.
fn divided(
    before: Option<&[VersionDigest; SPLIT_SLOTS]>,
    mut left: BTreeMap<VersionDigest, usize>,
) -> [VersionDigest; SPLIT_SLOTS] {
    let versions: Vec<VersionDigest> = left.keys().copied().collect();
    let mut take = |version: &VersionDigest| {
        let slots = left.get_mut(version).filter(|slots| **slots > 0)?;
        *slots -= 1;
        Some(*version)
    };
    let mut kept: [Option<VersionDigest>; SPLIT_SLOTS] =
        std::array::from_fn(|slot| take(before?.get(slot)?));
    for slot in kept.iter_mut().filter(|slot| slot.is_none()) {
        *slot = versions.iter().find_map(&mut take);
    }
    // The quotas cover all slots, so that each has a version.
    kept.map(|slot| slot.unwrap_or_default())
}
